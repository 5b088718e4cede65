"""What entries tell each other about entries."""

import logbook
import pytest

from ragwortlug.envelope import Peer
from ragwortlug.io.gossip import Gossip
from ragwortlug.lease_messages import EntryState
from ragwortlug.telemetry.metrics import Metrics
from ragwortlug.timer import Timer

OWN, OTHER, THIRD = (f"tcp://127.14.0.{host}:7720" for host in (1, 2, 3))


class FakePeers:
    """Peers that keep the receivers of messages."""

    own_peer = Peer(OWN, "own")

    def __init__(self):
        self.receivers = []
        self.watched = set()

    def watch(self, address):
        self.watched.add(address)

    def send(self, receiver, body):
        self.receivers.append(receiver.address)


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
