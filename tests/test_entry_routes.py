"""Entries that can't reach each other directly, while agents reach both."""

import random

import pytest

from ragwortlug.codes import Code
from ragwortlug.envelope import Peer, Send
from ragwortlug.jobs.dispatcher import Dispatcher
from ragwortlug.jobs.entry_routes import RELAY_FOR_S, SILENT_S, EntryRoutes
from ragwortlug.jobs.leased import LeasedRunner
from ragwortlug.lease_messages import CancelJobs, OpenJobs, Relayed, Renewal, Renewed
from ragwortlug.lease_settings import RestartSettings
from ragwortlug.restartable_model import Resources, WorkerState
from tests.play import Faults, Play

LONG_RUN_S = 3.0
CUT_FROM_S, CUT_UNTIL_S = 1.2, 7.0
ZONES = 3
OWN, OTHER = Peer("tcp://10.1.0.1:7720", "a"), Peer("tcp://10.1.0.2:7720", "b")
AGENT = Peer("tcp://10.1.0.9:7720", "agent-1")
ROOM = Resources(64_000, 1000, 0)


def zone_of(name):
    """Return the number of the zone of a process."""
    return int(name.split("-")[1]) % ZONES


def apart(sender, receiver):
    """Cut off the first entry from the others; all of them reach all agents."""
    return sender.startswith("entry") and receiver.startswith("entry")


def one_way(sender, receiver):
    """Cut off what the first entry sends to the others."""
    return sender == "entry-0" and receiver.startswith("entry")


def near(sender, receiver):
    """Cut off the first entry from all processes of other zones, and all entries."""
    if "entry-0" not in (sender, receiver):
        return False
    return apart(sender, receiver) or zone_of(sender) != zone_of(receiver)


def bridge(sender, receiver):
    """Cut off two zones from each other; the third one reaches both."""
    return {zone_of(sender), zone_of(receiver)} == {0, 1}


class TestTwoRuns:
    """A caller leaves its entry unseen, and asks one that doesn't hear that entry."""

    @pytest.mark.parametrize("cut", [apart, one_way, near, bridge])
    @pytest.mark.parametrize("seed", range(6))
    def test_entries_apart_start_no_second_run(self, cut, seed):
        def is_cut(sender, receiver, now):
            return CUT_FROM_S <= now < CUT_UNTIL_S and cut(sender, receiver)

        play = Play(seed=seed, faults=Faults(is_cut=is_cut)).build(3, 6)
        play.run_until(CUT_FROM_S + 0.05)
        callers = [
            play.hand_in(1, 2, LONG_RUN_S, deadline_s=14.0, entry=entry)
            for entry in play.homes
        ]
        play.run_until(2.3)
        for caller in callers:
            play.leave(caller, noticed=False)
        play.run_until(18.0)
        assert play.broken == []
        assert [caller.code for caller in callers] == [Code.OK] * len(callers)


class TestRoutes:
    """Which entries get messages by way of agents."""

    def routes(self):
        """Return routes that know one other entry from second 10 on."""
        routes = EntryRoutes()
        routes.set_entries([OTHER.address], 10.0)
        return routes

    def test_a_silent_entry_needs_a_relay_until_it_is_taken_to_have_stopped(self):
        routes = self.routes()
        assert not routes.needs_relay(OTHER.address, 10.0 + SILENT_S)
        assert routes.needs_relay(OTHER.address, 10.1 + SILENT_S)
        assert routes.silent(10.1 + SILENT_S) == (OTHER.address,)
        assert not routes.needs_relay(OTHER.address, 10.1 + RELAY_FOR_S)

    def test_an_entry_that_is_heard_needs_none(self):
        routes = self.routes()
        routes.on_direct_contact(OTHER.address, 12.0)
        assert not routes.needs_relay(OTHER.address, 12.1)
        assert routes.silent(12.1) == ()

    def test_an_entry_that_does_not_hear_this_one_needs_a_relay(self):
        routes = self.routes()
        routes.on_direct_contact(OTHER.address, 12.0)
        routes.on_silence_reported(OTHER.address, True, 12.0)
        assert routes.needs_relay(OTHER.address, 12.1)
        routes.on_silence_reported(OTHER.address, False, 12.2)
        assert not routes.needs_relay(OTHER.address, 12.3)

    def test_entries_that_are_gone_are_forgotten(self):
        routes = self.routes()
        routes.set_entries([], 11.0)
        assert not routes.needs_relay(OTHER.address, 11.0)


class TestRelays:
    """Messages between entries by way of an agent."""

    def test_an_agent_passes_messages_on_to_dispatchers_in_contact_only(self):
        runner = LeasedRunner(RestartSettings())
        message = Relayed(OWN, OTHER, CancelJobs((("00c0ffee00c0ffee", 60_000),)))
        assert runner.on_relayed(OWN, message, 10.0) == []
        runner.on_renewed(OTHER, Renewed(10_000), 10.0)
        assert runner.on_relayed(OWN, message, 10.0) == [Send(OTHER, message)]
        # What another agent passes on goes no further.
        assert runner.on_relayed(AGENT, message, 10.0) == []

    def test_a_message_for_a_former_process_is_not_taken(self):
        message = Relayed(OWN, OTHER, OpenJobs(1))
        assert message.is_for(OTHER)
        assert not message.is_for(Peer(OTHER.address, "c"))
        assert Relayed(OWN, Peer(OTHER.address), OpenJobs(1)).is_for(OTHER)

    def test_only_messages_to_silent_entries_are_relayed(self):
        dispatcher = Dispatcher(RestartSettings(), random.Random(1))
        dispatcher.set_entries((OWN.address, OTHER.address), OWN.address)
        dispatcher.shared_jobs.on_direct_open_jobs(OTHER, OpenJobs(1), 10.0)
        state = WorkerState("carving", "patan", (), ROOM, ROOM, True)
        dispatcher.on_renewal(AGENT, Renewal(10_000, state), 10.0)
        dispatcher.tick(10.0)
        message = Send(OTHER, CancelJobs((("00c0ffee00c0ffee", 60_000),)))
        assert dispatcher.relays(message, OWN, 10.1) == []
        dispatcher.on_renewal(AGENT, Renewal(10_600, state), 10.6)
        relayed = Relayed(OWN, OTHER, message.body)
        assert dispatcher.relays(message, OWN, 10.6) == [Send(AGENT, relayed)]
        to_agent = Send(AGENT, Renewed(10_600))
        assert dispatcher.relays(to_agent, OWN, 10.6) == []
