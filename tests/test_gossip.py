"""What entries tell each other about entries and the operators' orders."""

import asyncio
import random

import logbook
import pytest

from ragwortlug.dispatcher_actor import DispatcherActor
from ragwortlug.envelope import Peer
from ragwortlug.io.gossip import Gossip
from ragwortlug.jobs.dispatcher import Dispatcher
from ragwortlug.lease_messages import EntryState, Relayed, Renewal
from ragwortlug.lease_settings import RestartSettings
from ragwortlug.restartable_model import Orders, QueueTable, Resources, WorkerState
from ragwortlug.telemetry.metrics import Metrics
from ragwortlug.timer import Timer

OWN, OTHER, THIRD = (f"tcp://127.14.0.{host}:7720" for host in (1, 2, 3))
AGENT = Peer("tcp://127.14.0.9:7720", "agent-1")
ORDERS = Orders(17, QueueTable(4), ("patan",))
ROOM = Resources(64_000, 1000, 0)


class FakePeers:
    """Peers that keep the messages and their receivers."""

    own_peer = Peer(OWN, "own")

    def __init__(self):
        self.receivers = []
        self.sent = []
        self.watched = set()

    def register_handler(self, kind, handler):
        pass

    def watch(self, address):
        self.watched.add(address)

    def send(self, receiver, body):
        self.receivers.append(receiver.address)
        self.sent.append((receiver, body))


class FakeJournal:
    """A journal that keeps nothing."""

    def write_event(self, name, job_id="", **fields):
        pass


@pytest.fixture
def gossip():
    """Return the gossip of an entry that knows no other."""
    return Gossip((), FakePeers(), Timer(), Metrics(), FakeJournal())


class TestAddresses:
    @pytest.mark.parametrize(
        "odd", ["", "garbage", "tcp://host.example:7720", "tcp://127.14.0.4:99999"]
    )
    def test_an_odd_one_costs_itself_only(self, gossip, odd):
        with logbook.TestHandler() as handler:
            for _ in range(3):
                gossip.add_addresses([odd, THIRD])
                state = EntryState((odd, OTHER), 1)
                gossip._on_entry_state(Peer(OTHER, "other"), state)
        gossip.broadcast()
        assert sorted(gossip._peers.receivers) == [OTHER, THIRD]
        assert len(handler.records) <= 1

    def test_entries_are_watched_for_silence(self, gossip):
        gossip.add_addresses([OTHER, THIRD])
        gossip.broadcast()
        assert gossip._peers.watched == {OTHER, THIRD}


class TestRelayedOrders:
    """An entry that can't be reached directly gets orders by way of agents."""

    def relayed(self, gossip, silent_s):
        """Return what is sent by way of agents with new orders to a silent entry."""

        async def run():
            timer, metrics = Timer(), Metrics()
            peers, journal = gossip._peers, FakeJournal()
            dispatcher = Dispatcher(RestartSettings(), random.Random(1))
            actor = DispatcherActor(dispatcher, gossip, peers, timer, metrics, journal)
            now = timer.monotonic()
            dispatcher.set_entries((OWN, OTHER), OWN)
            dispatcher.tick(now - silent_s)
            state = WorkerState("carving", "patan", (), ROOM, ROOM, True)
            dispatcher.on_renewal(AGENT, Renewal(int(now * 1000), state), now)
            gossip.add_addresses([OTHER])
            await actor.start()
            try:
                gossip.apply_orders(ORDERS)
            finally:
                await actor.stop()
                await timer.stop()

        asyncio.run(run())
        return [body for receiver, body in gossip._peers.sent if receiver == AGENT]

    def test_a_silent_entry_is_sent_orders_through_agents(self, gossip):
        (message,) = self.relayed(gossip, 1.0)
        assert message.receiver == Peer(OTHER)
        assert message.body == EntryState((OWN,), ORDERS.revision, ORDERS)

    def test_an_entry_that_is_heard_is_sent_them_directly_only(self, gossip):
        assert self.relayed(gossip, 0.0) == []

    def test_they_are_applied_but_are_no_contact(self, gossip):
        origin, receiver = Peer(OTHER, "other"), Peer(OWN)
        peers, journal = gossip._peers, FakeJournal()
        dispatcher = Dispatcher(RestartSettings(), random.Random(1))
        actor = DispatcherActor(dispatcher, gossip, peers, Timer(), Metrics(), journal)
        message = Relayed(origin, receiver, EntryState((OTHER,), 17, ORDERS))
        assert actor._on_relayed(AGENT, message, 10.0) == []
        assert gossip.orders == ORDERS
        assert gossip.entries == (OWN,)
        older = Relayed(origin, receiver, EntryState((OTHER,), 16, Orders(16)))
        actor._on_relayed(AGENT, older, 10.0)
        assert gossip.orders == ORDERS
