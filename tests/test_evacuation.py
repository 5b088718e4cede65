"""Evacuated data centres, where an entry has not learned of the order."""

import random

import pytest

from ragwortlug.envelope import Peer, Send
from ragwortlug.events import Event, EventName
from ragwortlug.jobs.dispatcher import Dispatcher
from ragwortlug.jobs.leased import LeasedRunner
from ragwortlug.jobs.worker_calls import (
    RequestRenewals,
    StartOnWorker,
    WorkerReport,
    WorkerSnapshot,
)
from ragwortlug.lease_messages import Offer, Renewal, Renewed, RunsEnded, StartRuns
from ragwortlug.lease_settings import RestartSettings
from ragwortlug.restartable_model import (
    Evacuations,
    Orders,
    Queue,
    QueueTable,
    Rank,
    Resources,
    RestartableJob,
    Run,
    RunEnd,
    Step,
    WorkerState,
)
from tests.play import Faults, Play

DATA_CENTRES = ("patan", "kirtipur", "bhaktapur")
CUT_FROM_S, CUT_UNTIL_S = 1.2, 9.0
EVACUATED_S, RESTORED_S, END_S = 1.3, 10.0, 14.0
# How long after the order the last runs may start, and how soon after its end the
# first ones must.
BOUND_S = 0.5
ROOM = Resources(64_000, 1000, 0)
CUT_OFF, INFORMED = (
    Peer("tcp://10.1.0.1:7720", "entry-1"),
    Peer("tcp://10.1.0.3:7720", "entry-2"),
)
AGENT = Peer("tcp://10.1.0.9:7720", "agent-1")
REPORT = WorkerReport("i-1", 1, 1, "carving", "10.1.0.2:80", "patan", (), ROOM, 0)
RUN = Run(1, "00c0ffee00c0ffee", 0, 0, 1, "text", Resources(6000, 64, 0), 100.0)
EVACUATED = Evacuations(17, ("patan",))


def is_near_cut(sender, receiver, now):
    """Cut off the first entry from the others, and from agents elsewhere."""
    pair = {sender, receiver}
    near = {"entry-0", "agent-0", "agent-3"}
    return CUT_FROM_S <= now < CUT_UNTIL_S and "entry-0" in pair and not pair <= near


class TestPlay:
    """The entry of a data centre is cut off just before the evacuation of that."""

    def play(self, seed, lose=0.0):
        """Return a play in which all entries get jobs until its end."""
        faults = Faults(is_cut=is_near_cut, lose=lose)
        play = Play(seed=seed, faults=faults, data_centres=DATA_CENTRES)
        play.build(3, 6, speeds=(1.0,))

        def order(entries, orders):
            for entry in entries:
                decide = entry.dispatcher.on_orders_changed
                entry.run(lambda now, decide=decide: decide(orders, now))

        def arrive():
            for entry in play.homes:
                play.hand_in(0, 2, 0.1, deadline_s=1.0, entry=entry)
            play.at(0.1, arrive)

        evacuation = Orders(2, play.table, ("patan",))
        play.at(1.0, arrive)
        play.at(EVACUATED_S, lambda: order(play.homes[1:], evacuation))
        play.at(RESTORED_S, lambda: order(play.homes, Orders(3, play.table)))
        play.run_until(END_S)
        return play

    def starts(self, play, from_s, until_s):
        """Return the moments of the starts in Patan within a span."""
        return [
            moment
            for moment, where in play.starts
            if where == "patan" and from_s <= moment < until_s
        ]

    @pytest.mark.parametrize("seed", range(5))
    def test_a_cut_off_entry_starts_nothing_in_an_evacuated_data_centre(self, seed):
        play = self.play(seed)
        assert self.starts(play, 1.0, EVACUATED_S)
        assert self.starts(play, EVACUATED_S + BOUND_S, RESTORED_S) == []
        assert self.starts(play, RESTORED_S, RESTORED_S + BOUND_S)
        assert play.broken == []

    @pytest.mark.parametrize("seed", range(5))
    def test_the_order_is_repeated_if_messages_are_lost(self, seed):
        play = self.play(seed, lose=0.2)
        assert self.starts(play, EVACUATED_S + 4.0, RESTORED_S) == []
        assert play.broken == []


class TestAgent:
    """What an agent does with the orders that its dispatchers tell it."""

    def runner(self):
        """Return a runner in Patan whose dispatchers both have permissions."""
        runner = LeasedRunner(RestartSettings())
        runner.on_report(REPORT, 10.0)
        for _ in range(2):
            request = runner.build_snapshot_request(10.0)
            runner.on_snapshot(WorkerSnapshot(200, 1, (), ()), request, 10.0)
        for peer in (CUT_OFF, INFORMED):
            runner.on_renewed(peer, Renewed(10_000), 10.0)
        return runner

    def tell(self, runner, sender, evacuations):
        """Return the effects of evacuations that a dispatcher tells."""
        return runner.on_renewed(sender, Renewed(10_000, (), evacuations), 10.0)

    def test_no_run_starts_for_a_dispatcher_with_older_orders(self):
        runner = self.runner()
        self.tell(runner, CUT_OFF, Evacuations(16, ()))
        self.tell(runner, INFORMED, EVACUATED)
        self.tell(runner, CUT_OFF, Evacuations(16, ()))
        effects = runner.on_start_runs(CUT_OFF, StartRuns(10_000, (RUN,)), 10.0)
        assert not any(isinstance(each, StartOnWorker) for each in effects)
        refusal = RunsEnded(((1, RunEnd.NO_RESOURCES, 0.0),), Resources())
        assert Send(CUT_OFF, refusal) in effects
        (refused,) = (each for each in effects if isinstance(each, Event))
        assert refused.fields["in_service"] is False
        assert refused.fields["revision"] == EVACUATED.revision

    def test_the_dispatchers_are_told_at_once(self):
        runner = self.runner()
        applied, renewals = self.tell(runner, INFORMED, EVACUATED)
        assert applied.name is EventName.ORDERS_APPLIED
        assert applied.fields["dispatcher"] == INFORMED.address
        assert isinstance(renewals, RequestRenewals)
        assert not runner.state().in_service
        assert self.tell(runner, CUT_OFF, EVACUATED) == []

    def test_other_data_centres_go_on(self):
        runner = self.runner()
        self.tell(runner, INFORMED, Evacuations(17, ("kirtipur",)))
        effects = runner.on_start_runs(CUT_OFF, StartRuns(10_000, (RUN,)), 10.0)
        assert any(isinstance(each, StartOnWorker) for each in effects)

    def test_nothing_is_offered_until_the_order_is_taken_back(self):
        runner = self.runner()
        self.tell(runner, INFORMED, EVACUATED)
        rank = Rank(False, 0, True, 1.0)
        runner.on_start_runs(CUT_OFF, StartRuns(10_000, (), 0, rank), 10.0)
        assert runner.tick(10.05) == []
        self.tell(runner, INFORMED, Evacuations(18, ()))
        offers = [each.body for each in runner.tick(10.1) if isinstance(each, Send)]
        assert offers == [Offer(1, ROOM)]

    def test_runs_that_have_started_go_on(self):
        runner = self.runner()
        runner.on_start_runs(INFORMED, StartRuns(10_000, (RUN,)), 10.0)
        self.tell(runner, INFORMED, EVACUATED)
        assert runner.running == 1
        assert not any(isinstance(each, Event) for each in runner.tick(10.05))


class TestDispatcher:
    """What a dispatcher tells agents, and does with what they tell."""

    QUEUE = Queue("carve", "a.example", "/c/", "carving", 0, 3, 1.6, 60)
    STEP = Step(1, Resources(1000, 64, 0), 100)

    def renew(self, dispatcher, now, in_service=True):
        """Return the answer to an agent of Patan, and all effects."""
        state = WorkerState("carving", "patan", (), ROOM, ROOM, True, in_service)
        effects = dispatcher.on_renewal(AGENT, Renewal(int(now * 1000), state), now)
        return effects[0].body, effects

    def test_an_agent_is_told_of_changes_at_once_and_again(self):
        dispatcher = Dispatcher(RestartSettings(), random.Random(1))
        orders = Orders(17, QueueTable(4, (self.QUEUE,)), ("patan",))
        self.renew(dispatcher, 10.0)
        dispatcher.on_orders_changed(orders, 10.1)
        told = [self.renew(dispatcher, 10.25 + 0.25 * turn)[0] for turn in range(10)]
        evacuations = [each.evacuations for each in told]
        assert evacuations[:2] == [EVACUATED, None]
        assert evacuations.count(EVACUATED) == 2

    def test_only_evacuated_workers_in_contact_are_told_from_none(self):
        dispatcher = Dispatcher(RestartSettings(), random.Random(1))
        assert not dispatcher.workers.all_evacuated(10.0)
        self.renew(dispatcher, 10.0, in_service=False)
        assert dispatcher.workers.all_evacuated(10.1)
        assert not dispatcher.workers.all_evacuated(11.0)
        self.renew(dispatcher, 11.0, in_service=True)
        assert not dispatcher.workers.all_evacuated(11.0)

    @pytest.mark.parametrize("in_service", [True, False])
    def test_nothing_is_assigned_where_the_agent_knows_of_an_evacuation(
        self, in_service
    ):
        dispatcher = Dispatcher(RestartSettings(), random.Random(1))
        self.renew(dispatcher, 10.0, in_service)
        job = RestartableJob("00c0ffee00c0ffee", "text", (self.STEP,))
        effects = dispatcher.submit("request", job, self.QUEUE, 15.0, 10.0)
        effects += dispatcher.on_offer(AGENT, Offer(1, ROOM), 10.01)
        starts = [
            run
            for each in effects
            if isinstance(each, Send) and isinstance(each.body, StartRuns)
            for run in each.body.runs
        ]
        assert len(starts) == int(in_service)
