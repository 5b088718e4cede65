"""The leased runner, by its messages."""

import dataclasses

import msgspec
import pytest

from ragwortlug.envelope import Peer, Send
from ragwortlug.events import Event, EventName
from ragwortlug.jobs.leased import LeasedRunner
from ragwortlug.jobs.worker_calls import (
    AskBoot,
    ListedRun,
    RequestRenewals,
    RequestSnapshot,
    StartAnswer,
    StartOnWorker,
    StoreBoot,
    WorkerClock,
    WorkerReport,
    WorkerSnapshot,
)
from ragwortlug.lease_messages import (
    Offer,
    Renewed,
    RunsEnded,
    StartRuns,
    Wants,
    WorkerCrashed,
)
from ragwortlug.lease_settings import RestartSettings
from ragwortlug.platform import wire
from ragwortlug.restartable_model import Rank, Resources, Run, RunEnd

ROOM = Resources(64000, 1000, 0)
SENDER = Peer("tcp://10.1.0.1:7720", "entry-1")
OTHER = Peer("tcp://10.1.0.3:7720", "entry-2")
RANK = Rank(False, 0, True, 1.0)
REPORT = WorkerReport("i-1", 1, 1, "s", "10.1.0.2:80", "patan", (), ROOM, 0)
RUN = Run(1, "00c0ffee00c0ffee", 0, 0, 1, "text", Resources(6000, 64, 0), 100.0)


def runner():
    """Return a runner whose worker is ready at second 10."""
    found = LeasedRunner(RestartSettings(lease_ms=900))
    found.on_report(REPORT, 10.0)
    look(found, WorkerSnapshot(200, 1, (), ()), 10.0)
    look(found, WorkerSnapshot(200, 1, (), ()), 10.0)
    return found


def look(agent, snapshot, now):
    """Return the effects of a snapshot that is requested and answered at once."""
    return agent.on_snapshot(snapshot, agent.build_snapshot_request(now), now)


def asked(effects):
    """Return the effects that ask boots whether they run."""
    return [each for each in effects if isinstance(each, AskBoot)]


def replace_boot(agent, report, now):
    """Return the effects of the report of a boot that answers when it is asked."""
    effects = agent.on_report(report, now)
    for ask in asked(effects):
        snapshot = WorkerSnapshot(report.clock_ms, report.booted_at_ms, (), ())
        effects += agent.on_snapshot(snapshot, ask.request, now)
    return effects


def refusal(effects):
    """Return the message that refuses runs."""
    (found,) = [
        each.body
        for each in effects
        if isinstance(each, Send) and isinstance(each.body, RunsEnded)
    ]
    return found


def start(agent, now=10.0, run=RUN):
    """Start a run of `SENDER`; return the command to the worker."""
    requested_at_ms = int(now * 1000)
    agent.on_renewed(SENDER, Renewed(requested_at_ms), now)
    effects = agent.on_start_runs(SENDER, StartRuns(requested_at_ms, (run,)), now)
    (command,) = [each for each in effects if isinstance(each, StartOnWorker)]
    return command


def answer_start(agent, now, clock_ms, number=1):
    """Return the effects of an answer that a run has started."""
    key = (SENDER.incarnation, number)
    return agent.on_start_answered(key, StartAnswer.STARTED, now, WorkerClock(clock_ms))


def reported_ends(effects):
    """Return the ends in messages: number of the assignment and end."""
    return [
        (number, end)
        for _, message in messages(effects, RunsEnded)
        for number, end, _ in message.ends
    ]


def events(effects, name):
    """Return the events of a name."""
    return [each for each in effects if isinstance(each, Event) and each.name is name]


class TestRefusals:
    def test_no_room_is_told_without_a_permission(self):
        stale_ms = 9100
        told = refusal(
            runner().on_start_runs(SENDER, StartRuns(stale_ms, (RUN,)), 10.0)
        )
        assert told.ends == ((1, RunEnd.NO_RESOURCES, 0.0),)
        assert told.free_resources == Resources()

    def test_the_room_left_is_told_to_whom_it_is_permitted(self):
        agent = runner()
        agent.on_renewed(SENDER, Renewed(10_000), 10.0)
        large = Run(
            2, "00c0ffee00c0ffef", 0, 0, 1, "text", Resources(65000, 64, 0), 100.0
        )
        told = refusal(agent.on_start_runs(SENDER, StartRuns(10_000, (large,)), 10.0))
        assert told.free_resources == ROOM


class TestOtherKinds:
    """A dispatcher may choose the worker by the report of a former boot."""

    @pytest.mark.parametrize(
        ("service", "label", "starts"),
        [
            ("", "", True),
            (REPORT.service, "a", True),
            (REPORT.service, "b", False),
            ("other", "", False),
        ],
    )
    def test_a_run_that_the_current_boot_is_not_for_is_refused(
        self, service, label, starts
    ):
        """Guards against a start on a worker of another kind than it was chosen for."""
        agent = runner()
        agent.on_report(dataclasses.replace(REPORT, sequence=2, labels=("a",)), 10.0)
        agent.on_renewed(SENDER, Renewed(10_000), 10.0)
        run = msgspec.structs.replace(RUN, label=label)
        message = StartRuns(10_000, (run,), service=service)
        effects = agent.on_start_runs(SENDER, message, 10.0)
        assert any(isinstance(each, StartOnWorker) for each in effects) is starts
        if not starts:
            assert refusal(effects).ends == ((RUN.number, RunEnd.NO_RESOURCES, 0.0),)
            assert refusal(effects).free_resources == Resources()
            assert RequestRenewals() in effects


class TestCopies:
    """An assignment that arrives twice starts one run."""

    def test_a_copy_of_a_live_run_is_not_reported_as_refused(self):
        agent = runner()
        start(agent)
        effects = agent.on_start_runs(SENDER, StartRuns(10_000, (RUN,)), 10.1)
        assert messages(effects, RunsEnded) == []
        assert agent.running == 1

    def test_a_copy_of_a_refused_run_does_not_start(self):
        agent = runner()
        other = Run(9, RUN.job_id, 0, 9, 1, "text", ROOM, 100.0)
        start(agent, run=other)
        copied = StartRuns(10_000, (RUN,))
        assert refusal(agent.on_start_runs(SENDER, copied, 10.05)).ends
        ended = ListedRun((other.job_id, 0, 9), 1, 1.0, 1, RunEnd.DONE)
        look(agent, WorkerSnapshot(100, 1, (), (ended,)), 10.1)
        assert refusal(agent.on_start_runs(SENDER, copied, 10.2)).ends
        assert agent.running == 0


class TestOffers:
    """Reports of free resources beside offers of the same resources."""

    def test_offered_resources_are_not_reported_as_free(self):
        _, effects = self._end_a_run_while_another_dispatcher_waits()
        (offer,) = messages(effects, Offer)
        assert offer[0] == OTHER
        ((receiver, report),) = messages(effects, RunsEnded)
        assert receiver == SENDER
        assert report.ends[0][:2] == (1, RunEnd.DONE)
        assert report.free_resources == Resources()

    def test_what_an_answered_offer_leaves_is_reported(self):
        agent, effects = self._end_a_run_while_another_dispatcher_waits()
        ((_, offer),) = messages(effects, Offer)
        answer = StartRuns(10_000, (), offer.number)
        effects = agent.on_start_runs(OTHER, answer, 10.2)
        assert messages(effects, RunsEnded) == [(SENDER, RunsEnded((), ROOM))]
        assert agent.on_start_runs(OTHER, StartRuns(10_000, ()), 10.2) == []

    def test_a_late_answer_may_use_what_is_on_offer_to_its_sender(self):
        agent, effects = self._end_a_run_while_another_dispatcher_waits()
        ((_, first),) = messages(effects, Offer)
        agent.on_wants(OTHER, Wants(RANK, RUN.resources), 10.2)
        ((receiver, second),) = messages(agent.tick(10.25), Offer)
        assert receiver == OTHER
        assert second.number != first.number
        answer = StartRuns(10_000, (RUN,), first.number)
        effects = agent.on_start_runs(OTHER, answer, 10.26)
        assert messages(effects, RunsEnded) == []
        assert agent.running == 1

    def test_resources_on_offer_are_kept_from_others(self):
        agent, _ = self._end_a_run_while_another_dispatcher_waits()
        run = Run(2, RUN.job_id, 0, 1, 1, "text", RUN.resources, 100.0)
        refused = refusal(agent.on_start_runs(SENDER, StartRuns(10_000, (run,)), 10.1))
        assert refused.ends == ((2, RunEnd.NO_RESOURCES, 0.0),)

    @staticmethod
    def _end_a_run_while_another_dispatcher_waits():
        """Return an agent, and the effects of the end of a run of `SENDER`."""
        agent = runner()
        for peer in (SENDER, OTHER):
            agent.on_renewed(peer, Renewed(10_000), 10.0)
        whole = Run(1, RUN.job_id, 0, 0, 1, "text", ROOM, 100.0)
        agent.on_start_runs(SENDER, StartRuns(10_000, (whole,)), 10.0)
        answer_start(agent, 10.0, 200)
        assert agent.on_wants(OTHER, Wants(RANK, RUN.resources), 10.0) == []
        ended = ListedRun((RUN.job_id, 0, 0), 1, 1.0, 1, RunEnd.DONE)
        snapshot = WorkerSnapshot(100, 1, (), (ended,))
        return agent, look(agent, snapshot, 10.1)


def messages(effects, kind):
    """Return the receiver and the body of each message of a type."""
    return [
        (each.receiver, each.body)
        for each in effects
        if isinstance(each, Send) and isinstance(each.body, kind)
    ]


class TestCrashes:
    """The end of a worker without notice differs from a planned one."""

    def crashing(self, draining=False):
        """Return the events of refused calls with one run acknowledged of two."""
        agent = runner()
        agent.on_renewed(SENDER, Renewed(10_000), 10.0)
        later = msgspec.structs.replace(RUN, number=2, job_id="00c0ffee00c0ffef")
        agent.on_start_runs(SENDER, StartRuns(10_000, (RUN,)), 10.0)
        answer_start(agent, 10.01, 210)
        agent.on_start_runs(SENDER, StartRuns(10_000, (later,)), 10.1)
        if draining:
            agent.on_report(
                dataclasses.replace(REPORT, sequence=2, draining=True), 10.1
            )
        effects = agent.on_snapshot_failed(REPORT.boot_id, True, 10.17)
        effects += agent.on_snapshot_failed(REPORT.boot_id, True, 10.8)
        assert reported_ends(effects) == []
        effects += agent.tick(10.9)
        assert reported_ends(effects) == [(1, RunEnd.LOST), (2, RunEnd.LOST)]
        return [each for each in effects if isinstance(each, Event)]

    def test_refused_calls_name_the_runs_and_what_was_acknowledged(self):
        (crashed,) = [
            each for each in self.crashing() if each.name is EventName.WORKER_CRASHED
        ]
        rows = [
            (each["job"], each["age_ms"], each["acknowledged"])
            for each in crashed.fields["runs"]
        ]
        assert rows == [
            ("00c0ffee00c0ffee", 170, True),
            ("00c0ffee00c0ffef", 70, False),
        ]

    def test_a_refused_connection_to_a_worker_that_runs_on_ends_nothing(self):
        agent = runner()
        start(agent)
        answer_start(agent, 10.01, 210)
        effects = agent.on_snapshot_failed(REPORT.boot_id, True, 10.17)
        assert not agent.accepting
        assert agent.build_snapshot_request(10.2).lease_until_ms is None
        row = ListedRun((RUN.job_id, 0, 0), 1, 0.4)
        effects += look(agent, WorkerSnapshot(500, 1, (row,), ()), 10.3)
        effects += agent.tick(10.91)
        assert reported_ends(effects) == []
        assert events(effects, EventName.RUN_FOREIGN) == []
        assert agent.running == 1

    def test_dispatchers_learn_of_a_suspected_crash_before_its_runs_have_ended(self):
        agent = runner()
        start(agent)
        answer_start(agent, 10.01, 210)
        agent.on_renewed(OTHER, Renewed(10_000), 10.0)
        effects = agent.on_snapshot_failed(REPORT.boot_id, True, 10.03)
        reports = messages(effects, WorkerCrashed)
        assert [receiver for receiver, _ in reports] == [SENDER, OTHER]
        assert [run.age_ms for run in reports[0][1].runs] == [30]
        assert reported_ends(effects) == []
        assert agent.on_snapshot_failed(REPORT.boot_id, True, 10.05) == []
        ((_, ended),) = messages(agent.tick(10.9), RunsEnded)
        assert ended.crash == reports[0][1]

    def test_a_suspected_crash_is_withdrawn_when_the_boot_answers(self):
        agent = runner()
        start(agent)
        answer_start(agent, 10.01, 210)
        agent.on_snapshot_failed(REPORT.boot_id, True, 10.03)
        row = ListedRun((RUN.job_id, 0, 0), 1, 0.4)
        effects = look(agent, WorkerSnapshot(500, 1, (row,), ()), 10.3)
        assert messages(effects, WorkerCrashed) == [(SENDER, WorkerCrashed(1, ()))]
        assert agent.on_renewed(OTHER, Renewed(10_300), 10.3) == []

    def test_a_worker_that_was_only_silent_has_not_crashed(self):
        agent = runner()
        start(agent)
        answer_start(agent, 10.01, 210)
        effects = agent.on_snapshot_failed(REPORT.boot_id, False, 10.5)
        effects += agent.tick(10.89)
        assert reported_ends(effects) == []
        effects += agent.tick(10.9)
        assert reported_ends(effects) == [(1, RunEnd.LOST)]
        assert events(effects, EventName.WORKER_CRASHED) == []

    def test_a_refused_call_then_another_boot_is_a_crash_at_once(self):
        agent = runner()
        start(agent)
        answer_start(agent, 10.01, 210)
        agent.on_snapshot_failed(REPORT.boot_id, True, 10.03)
        later = dataclasses.replace(REPORT, booted_at_ms=10_050, clock_ms=5)
        (ask,) = agent.on_report(later, 10.07)
        effects = agent.on_snapshot(
            WorkerSnapshot(6, 10_050, (), ()), ask.request, 10.07
        )
        (crashed,) = events(effects, EventName.WORKER_CRASHED)
        assert [each["age_ms"] for each in crashed.fields["runs"]] == [30]
        assert reported_ends(effects) == [(1, RunEnd.LOST)]

    def test_the_answer_of_another_id_is_a_crash_at_once(self):
        agent = runner()
        start(agent)
        assert agent.on_other_id_answered(("i-0", 1), 10.02) == []
        effects = agent.on_other_id_answered(REPORT.boot_id, 10.03)
        assert len(events(effects, EventName.WORKER_CRASHED)) == 1
        assert reported_ends(effects) == [(1, RunEnd.LOST)]

    def test_the_end_of_a_draining_worker_is_no_crash(self):
        names = [each.name for each in self.crashing(draining=True)]
        assert EventName.WORKER_CRASHED not in names


class TestFencing:
    """Commands that are carried out late run under no lease that was given later."""

    SNAPSHOT = WorkerSnapshot(2000, 1, (), ())

    def test_after_a_silence_a_lease_waits_for_an_answer_under_a_higher_token(self):
        agent = runner()
        sent = start(agent)
        key = (SENDER.incarnation, 1)
        agent.on_start_answered(key, StartAnswer.NO_ANSWER, 10.06)
        former = agent.build_snapshot_request(10.1)
        agent.on_snapshot_failed(REPORT.boot_id, False, 10.5)
        assert reported_ends(agent.tick(11.0)) == [(1, RunEnd.LOST)]
        agent.on_snapshot(self.SNAPSHOT, former, 11.1)
        assert not agent.accepting
        request = agent.build_snapshot_request(11.2)
        assert request.fencing_token > sent.fencing_token
        assert request.lease_until_ms is None
        agent.on_snapshot(self.SNAPSHOT, request, 11.2)
        assert agent.accepting
        assert agent.build_snapshot_request(11.3).lease_until_ms is not None

    def test_a_refused_request_with_a_former_token_raises_it_no_further(self):
        agent = runner()
        request = agent.build_snapshot_request(10.1)
        agent.on_fenced(request, 300)
        raised = agent.build_snapshot_request(10.2).fencing_token
        assert raised > request.fencing_token
        assert agent.on_fenced(request, 300) == []
        assert agent.build_snapshot_request(10.2).fencing_token == raised

    def test_the_tokens_of_a_boot_whose_clock_was_an_hour_ahead_are_soon_exceeded(self):
        seen = 3_600_000
        agent = LeasedRunner(RestartSettings(lease_ms=900))
        agent.on_report(REPORT, 10.0)
        for attempt in range(64):
            request = agent.build_snapshot_request(10.0 + attempt / 1000)
            if request.fencing_token > seen:
                break
            assert agent.on_fenced(request, 200 + attempt) == [RequestSnapshot()]
        assert seen < request.fencing_token < 3 * seen
        for now in (10.1, 10.2):
            look(agent, WorkerSnapshot(300, 1, (), ()), now)
        assert agent.accepting


class TestNewProcess:
    """A new process of an agent finds what the former one started."""

    FOREIGN = (ListedRun((RUN.job_id, 0, 0), 1, 0.4),)

    def test_nothing_starts_by_a_report_that_the_former_process_stored(self):
        agent = LeasedRunner(RestartSettings(lease_ms=900))
        agent.on_report(REPORT, 10.0, recalled=True)
        look(agent, WorkerSnapshot(5000, 1, (), ()), 10.0)
        look(agent, WorkerSnapshot(5000, 1, (), ()), 10.0)
        agent.on_renewed(SENDER, Renewed(10_000), 10.0)
        ends = refusal(agent.on_start_runs(SENDER, StartRuns(10_000, (RUN,)), 10.0))
        assert ends.ends == ((1, RunEnd.NO_RESOURCES, 0.0),)
        shrunken = Resources(1000, 64, 0)
        later = dataclasses.replace(REPORT, sequence=9, capacity=shrunken)
        effects = agent.on_report(later, 10.1)
        assert RequestRenewals() in effects
        assert agent.accepting
        assert agent.free_resources == shrunken

    def test_a_stored_report_does_not_replace_one_of_the_worker(self):
        agent = runner()
        older = dataclasses.replace(REPORT, booted_at_ms=REPORT.booted_at_ms + 9)
        assert agent.on_report(older, 10.1, recalled=True) == []
        assert agent.accepting

    def test_runs_of_the_former_process_get_no_lease(self):
        agent = LeasedRunner(RestartSettings(lease_ms=900))
        agent.on_report(REPORT, 10.0)
        assert agent.build_snapshot_request(10.0).lease_until_ms is None
        for now in (10.0, 10.1, 10.2):
            look(agent, WorkerSnapshot(5000, 1, self.FOREIGN, ()), now)
            assert agent.build_snapshot_request(now).lease_until_ms is None
        ended = ListedRun((RUN.job_id, 0, 0), 1, 0.4, 1, RunEnd.STOPPED)
        look(agent, WorkerSnapshot(5300, 1, (), (ended,)), 10.3)
        assert agent.build_snapshot_request(10.3).lease_until_ms is not None

    def test_starts_of_the_former_process_are_fenced_before_the_first_lease(self):
        agent = LeasedRunner(RestartSettings(lease_ms=900))
        agent.on_report(REPORT, 10.0)
        first = agent.build_snapshot_request(10.0)
        effects = agent.on_snapshot(WorkerSnapshot(5000, 1, (), ()), first, 10.0)
        assert RequestSnapshot() in effects
        assert not agent.accepting
        second = agent.build_snapshot_request(10.0)
        assert second.fencing_token == REPORT.booted_at_ms + 5000
        assert second.lease_until_ms is None
        agent.on_snapshot(WorkerSnapshot(5001, 1, (), ()), second, 10.0)
        assert agent.accepting


class TestDelayedReports:
    """A report may arrive after its boot has ended, and clocks are set back.

    Boots follow each other in the order of `BOOTS`; the clock of the first was ahead.
    """

    BOOTS = tuple(
        dataclasses.replace(REPORT, id=worker_id, booted_at_ms=born)
        for worker_id, born in (("i-1", 12_500), ("i-2", 11_000), ("i-3", 11_400))
    )
    RUNNING = (ListedRun((RUN.job_id, 0, 0), 1, 0.4),)

    def agent_with_run(self, boots):
        """Return an agent that saw these boots, with a run on the last one."""
        agent = LeasedRunner(RestartSettings(lease_ms=900))
        for second, boot in enumerate(boots, 1):
            if agent.worker is not None:
                agent.on_other_id_answered(agent.worker.boot_id, second)
            replace_boot(agent, boot, second)
            for now in (second + 0.1, second + 0.2):
                look(agent, WorkerSnapshot(200, boot.booted_at_ms, (), ()), now)
        start(agent)
        key = (SENDER.incarnation, 1)
        clock = WorkerClock(1010, boots[-1].booted_at_ms)
        agent.on_start_answered(key, StartAnswer.STARTED, 10.01, clock)
        return agent

    @pytest.mark.parametrize("known", [BOOTS, BOOTS[1:], BOOTS[2:]])
    def test_a_delayed_report_of_an_older_boot_born_later_ends_no_live_run(self, known):
        agent = self.agent_with_run(known)
        effects = agent.on_report(self.BOOTS[0], 10.1)
        effects += agent.on_other_id_answered(self.BOOTS[0].boot_id, 10.11)
        effects += look(agent, WorkerSnapshot(1120, 11_400, self.RUNNING, ()), 10.12)
        effects += agent.tick(10.15)
        assert reported_ends(effects) == []
        assert events(effects, EventName.WORKER_BOOT) == []
        assert not any(isinstance(each, StoreBoot) for each in effects)
        assert agent.running == 1
        assert agent.accepting

    def test_a_delayed_report_of_an_older_boot_with_the_same_id_ends_no_live_run(self):
        agent = self.agent_with_run(self.BOOTS[2:])
        older = dataclasses.replace(self.BOOTS[2], booted_at_ms=12_500)
        effects = agent.on_report(older, 10.1)
        for ask in asked(effects):
            snapshot = WorkerSnapshot(1110, 11_400, self.RUNNING, ())
            effects += agent.on_snapshot(snapshot, ask.request, 10.11)
        assert reported_ends(effects) == []
        assert agent.running == 1
        assert agent.accepting

    def test_a_delayed_report_after_a_boot_with_the_same_id_ends_no_open_run(self):
        agent = LeasedRunner(RestartSettings(lease_ms=900))
        replace_boot(agent, self.BOOTS[2], 9.0)
        for now in (9.1, 9.2):
            look(agent, WorkerSnapshot(200, 11_400, (), ()), now)
        start(agent)
        look(agent, WorkerSnapshot(5, 11_500, self.RUNNING, ()), 10.1)
        effects = agent.on_report(self.BOOTS[0], 10.2)
        assert reported_ends(effects) == []
        assert agent.running == 1

    def test_a_later_boot_whose_clock_was_set_back_is_used(self):
        agent = self.agent_with_run(self.BOOTS[:1])
        token = agent.build_snapshot_request(10.02).fencing_token
        effects = replace_boot(agent, self.BOOTS[1], 10.1)
        assert StoreBoot(self.BOOTS[1].boot_id) in effects
        assert reported_ends(effects) == [(1, RunEnd.LOST)]
        for now in (10.2, 10.3):
            look(agent, WorkerSnapshot(300, 11_000, (), ()), now)
        assert agent.accepting
        assert agent.build_snapshot_request(10.4).fencing_token > token

    def test_an_answer_from_before_the_current_boot_was_known_ends_no_run(self):
        agent = self.agent_with_run(self.BOOTS[:1])
        (former,) = asked(agent.on_report(self.BOOTS[1], 10.1))
        replace_boot(agent, self.BOOTS[2], 10.12)
        for now in (10.13, 10.14):
            look(agent, WorkerSnapshot(300, 11_400, (), ()), now)
        start(agent, 10.15, msgspec.structs.replace(RUN, number=2))
        snapshot = WorkerSnapshot(9, 11_000, (), ())
        assert agent.on_snapshot(snapshot, former.request, 10.16) == []
        assert agent.running == 1

    def test_a_boot_is_asked_again_at_once_when_the_current_one_has_ended(self):
        agent = self.agent_with_run(self.BOOTS[:1])
        agent.on_report(self.BOOTS[1], 10.1)
        effects = agent.on_other_id_answered(self.BOOTS[0].boot_id, 10.11)
        assert reported_ends(effects) == [(1, RunEnd.LOST)]
        assert [ask.report for ask in asked(effects)] == [self.BOOTS[1]]

    def test_a_boot_that_answers_a_call_to_the_current_one_is_used_at_once(self):
        agent = self.agent_with_run(self.BOOTS[2:])
        later = dataclasses.replace(self.BOOTS[2], booted_at_ms=11_000)
        agent.on_report(later, 10.1)
        effects = look(agent, WorkerSnapshot(9, 11_000, (), ()), 10.11)
        assert reported_ends(effects) == [(1, RunEnd.LOST)]
        assert agent.worker == later

    def test_a_late_answer_that_a_boot_runs_proves_nothing_about_commands_to_it(self):
        agent = LeasedRunner(RestartSettings(lease_ms=900))
        agent.on_report(self.BOOTS[2], 9.0)
        for now in (9.1, 9.2):
            look(agent, WorkerSnapshot(200, 11_400, (), ()), now)
        start(agent)
        later = dataclasses.replace(self.BOOTS[2], booted_at_ms=11_500)
        (first,) = asked(agent.on_report(later, 10.1))
        (second,) = asked(agent.tick(10.15))
        empty = WorkerSnapshot(9, 11_500, (), ())
        effects = agent.on_snapshot(empty, second.request, 10.16)
        assert agent.worker == later
        effects += agent.on_snapshot(empty, first.request, 10.17)
        assert reported_ends(effects) == []
        effects = look(agent, WorkerSnapshot(20, 11_500, self.RUNNING, ()), 10.18)
        assert reported_ends(effects) == []
        assert agent.running == 1

    def test_a_boot_without_an_answer_is_asked_again_for_a_while(self):
        agent = self.agent_with_run(self.BOOTS[2:])
        agent.on_report(self.BOOTS[0], 10.1)
        agent.on_snapshot_failed(self.BOOTS[0].boot_id, True, 10.11)
        (again,) = asked(agent.tick(10.15))
        assert again.request.lease_until_ms is None
        assert asked(agent.tick(10.16)) == []
        assert asked(agent.tick(13.0)) == []

    def test_a_later_boot_that_saw_higher_tokens_is_asked_with_a_higher_one(self):
        agent = LeasedRunner(RestartSettings(lease_ms=900))
        agent.on_report(self.BOOTS[1], 9.0, recalled=True)
        (ask,) = asked(agent.on_report(self.BOOTS[2], 9.1))
        agent.on_fenced(ask.request, 3000)
        (again,) = asked(agent.tick(9.2))
        assert again.request.fencing_token >= 11_400 + 3000
        agent.on_snapshot(WorkerSnapshot(3100, 11_400, (), ()), again.request, 9.21)
        assert agent.worker == self.BOOTS[2]


class TestSnapshotsThatProveNothing:
    """A run ends only by a snapshot of its boot that can be read in full."""

    LATER = dataclasses.replace(REPORT, booted_at_ms=10_050, clock_ms=5)

    def test_an_answer_of_the_former_boot_ends_no_run_of_the_next(self):
        agent = runner()
        former = agent.build_snapshot_request(10.0)
        replace_boot(agent, self.LATER, 10.05)
        for now in (10.06, 10.07):
            look(agent, WorkerSnapshot(20, 10_050, (), ()), now)
        start(agent, 10.1)
        answer_start(agent, 10.11, 70)
        effects = agent.on_snapshot(WorkerSnapshot(250, 1, (), ()), former, 10.12)
        assert effects == []
        assert agent.running == 1

    def test_a_listed_run_that_cannot_be_read_does_not_end(self):
        agent = runner()
        start(agent)
        answer_start(agent, 10.01, 210)
        raw = b'{"clock_ms":300,"born":1,"running":[["odd"]],"finished":[]}'
        effects = look(agent, wire.snapshot_of(raw), 10.1)
        assert reported_ends(effects) == []
        assert agent.running == 1

    def test_no_run_starts_before_a_snapshot_can_be_read(self):
        agent = LeasedRunner(RestartSettings(lease_ms=900))
        agent.on_report(REPORT, 10.0)
        raw = b'{"clock_ms":300,"born":1,"running":[["odd"]],"finished":[]}'
        for now in (10.0, 10.1):
            look(agent, wire.snapshot_of(raw), now)
        assert not agent.accepting
        for now in (10.2, 10.3):
            look(agent, WorkerSnapshot(500, 1, (), ()), now)
        assert agent.accepting

    def test_a_clock_that_went_back_without_a_boot_ends_no_run(self):
        agent = runner()
        start(agent)
        answer_start(agent, 10.01, 210)
        effects = look(agent, WorkerSnapshot(30, 0, (), ()), 10.1)
        assert reported_ends(effects) == []
        assert agent.running == 1

    def test_a_report_of_an_older_boot_ends_no_run_that_is_open(self):
        agent = runner()
        replace_boot(agent, self.LATER, 10.05)
        for now in (10.06, 10.07):
            look(agent, WorkerSnapshot(200, 10_050, (), ()), now)
        start(agent, 10.1)
        look(agent, WorkerSnapshot(2, 10_150, (), ()), 10.2)
        older = dataclasses.replace(REPORT, id="i-0", booted_at_ms=9000)
        (ask,) = agent.on_report(older, 10.21)
        assert ask.report == older
        assert agent.on_other_id_answered(older.boot_id, 10.22) == []
        assert asked(agent.tick(10.3)) == []
        assert agent.running == 1

    @pytest.mark.parametrize(
        "raw",
        [
            b"",
            b"{}",
            b"\xff",
            b'{"clock_ms":"1"}',
            b'{"clock_ms":1,"running":{}}',
            b'{"clock_ms":' + b"9" * 40 + b"}",
            b'{"clock_ms":1,"born":' + b"9" * 40 + b"}",
            b'{"clock_ms":1,"running":' + b"[" * 100_000,
        ],
    )
    def test_what_is_no_snapshot(self, raw):
        with pytest.raises(msgspec.DecodeError):
            wire.snapshot_of(raw)

    @pytest.mark.parametrize(
        "row", ["7", "[]", '"x"', "{}", '["00c0.0.0.0",1,"",1e300]', "null"]
    )
    def test_a_row_that_cannot_be_read_costs_only_itself(self, row):
        good = f'["{RUN.job_id}.0.0.0",1,"",40]'
        raw = f'{{"clock_ms":300,"running":[{row},{good}],"finished":[{row}]}}'
        snapshot = wire.snapshot_of(raw.encode())
        assert ListedRun((RUN.job_id, 0, 0), 1, 0.4) in snapshot.running


class TestDepartures:
    """A worker that announced its shutdown may still run for a moment."""

    RUNNING = (ListedRun((RUN.job_id, 0, 0), 1, 0.4),)

    def departed(self, booted_at_ms=1):
        """Return an agent with a run, and the effects of a notice at 10.1 s."""
        agent = runner()
        start(agent)
        answer_start(agent, 10.01, 210)
        return agent, agent.on_departed(REPORT.id, booted_at_ms)

    def test_its_runs_go_on_without_a_further_lease_until_their_ends_are_listed(self):
        agent, effects = self.departed()
        assert reported_ends(effects) == []
        assert not agent.accepting
        assert RequestRenewals() in effects
        assert agent.build_snapshot_request(10.1).lease_until_ms is None
        effects = look(agent, WorkerSnapshot(400, 1, self.RUNNING, ()), 10.2)
        effects += agent.tick(10.95)
        assert reported_ends(effects) == []
        done = ListedRun((RUN.job_id, 0, 0), 1, 1.0, 1, RunEnd.DONE)
        effects = look(agent, WorkerSnapshot(800, 1, (), (done,)), 11.0)
        assert reported_ends(effects) == [(1, RunEnd.DONE)]
        assert agent.state() is None

    def test_its_runs_are_lost_when_it_is_silent_and_the_lease_has_expired(self):
        agent, _ = self.departed()
        effects = agent.on_snapshot_failed(REPORT.boot_id, True, 10.3)
        effects += agent.tick(10.85)
        assert reported_ends(effects) == []
        effects += agent.tick(10.9)
        assert reported_ends(effects) == [(1, RunEnd.LOST)]
        assert events(effects, EventName.WORKER_CRASHED) == []

    def test_a_notice_of_another_boot_is_ignored(self):
        agent, effects = self.departed(booted_at_ms=2)
        assert effects == []
        assert agent.accepting

    def test_a_report_after_a_notice_without_a_boot_revokes_it(self):
        agent, effects = self.departed(booted_at_ms=0)
        assert not agent.accepting
        agent.on_report(dataclasses.replace(REPORT, sequence=2), 10.2)
        assert not agent.accepting
        effects = look(agent, WorkerSnapshot(400, 1, self.RUNNING, ()), 10.2)
        effects += look(agent, WorkerSnapshot(400, 1, self.RUNNING, ()), 10.2)
        assert agent.accepting
        assert agent.build_snapshot_request(10.2).lease_until_ms is not None
        assert reported_ends(effects) == []

    @pytest.mark.parametrize(
        ("raw", "born"),
        [
            (b"", 0),
            (b'{"born": 17}', 17),
            (b"{}", 0),
            (b'{"born": "x"}', 0),
            (b"\xff", 0),
            (b"[" * 200_000, 0),
            (b'{"born": 1e400}', 0),
        ],
    )
    def test_the_boot_in_a_notice(self, raw, born):
        assert wire.departed_boot_of(raw) == born


class TestNextBootWithTheSameId:
    """A boot under the id of the former may carry out commands sent to that one."""

    LATER = dataclasses.replace(REPORT, booted_at_ms=10_050, clock_ms=5)
    SECOND = msgspec.structs.replace(RUN, number=2, job_id="00c0ffee00c0ffef")
    RUNNING = (ListedRun((RUN.job_id, 0, 0), 1, 0.1),)

    def test_a_run_that_it_has_goes_on(self):
        agent = runner()
        start(agent)
        assert reported_ends(answer_start(agent, 10.06, 8)) == []
        snapshot = WorkerSnapshot(9, 10_050, self.RUNNING, ())
        effects = look(agent, snapshot, 10.061)
        effects += replace_boot(agent, self.LATER, 10.07)
        effects += look(agent, WorkerSnapshot(15, 10_050, self.RUNNING, ()), 10.08)
        assert reported_ends(effects) == []
        assert events(effects, EventName.RUN_FOREIGN) == []
        assert events(effects, EventName.WORKER_CRASHED) == []
        assert agent.running == 1
        done = ListedRun((RUN.job_id, 0, 0), 1, 1.0, 1, RunEnd.DONE)
        effects = look(agent, WorkerSnapshot(90, 10_050, (), (done,)), 10.2)
        assert reported_ends(effects) == [(1, RunEnd.DONE)]

    def test_a_start_that_it_answered_is_logged_with_both_boots(self):
        """Guards against logs that don't say which boot carried out a start."""
        agent = runner()
        start(agent)
        key = (SENDER.incarnation, 1)
        clock = WorkerClock(8, self.LATER.booted_at_ms)
        effects = agent.on_start_answered(key, StartAnswer.STARTED, 10.06, clock)
        (logged,) = events(effects, EventName.RUN_OTHER_BOOT)
        boots = (logged.fields["sent_to_ms"], logged.fields["answered_by_ms"])
        assert boots == (REPORT.booted_at_ms, self.LATER.booted_at_ms)
        assert logged.fields["labels"] == REPORT.labels

    def test_a_start_that_was_not_sent_ends_and_its_boot_is_asked(self):
        """Guards against starts that are assigned to a boot that is gone again."""
        agent = runner()
        start(agent)
        key = (SENDER.incarnation, 1)
        effects = agent.on_start_answered(key, StartAnswer.NOT_SENT, 10.06)
        assert reported_ends(effects) == [(1, RunEnd.NOT_STARTED)]
        assert RequestSnapshot() in effects
        look(agent, WorkerSnapshot(9, 10_050, (), ()), 10.061)
        assert not agent.accepting

    def test_a_start_without_an_answer_waits_for_its_first_snapshot(self):
        agent = runner()
        start(agent)
        key = (SENDER.incarnation, 1)
        agent.on_start_answered(key, StartAnswer.NO_ANSWER, 10.06)
        effects = replace_boot(agent, self.LATER, 10.07)
        assert reported_ends(effects) == []
        effects = look(agent, WorkerSnapshot(15, 10_050, (), ()), 10.08)
        assert reported_ends(effects) == [(1, RunEnd.LOST)]

    def test_a_run_that_the_former_boot_acknowledged_is_in_the_crash_report(self):
        agent = runner()
        start(agent)
        answer_start(agent, 10.01, 210)
        start(agent, 10.02, self.SECOND)
        agent.on_snapshot_failed(REPORT.boot_id, False, 10.03)
        effects = replace_boot(agent, self.LATER, 10.07)
        effects += look(agent, WorkerSnapshot(15, 10_050, (), ()), 10.08)
        (crashed,) = events(effects, EventName.WORKER_CRASHED)
        rows = [(row["age_ms"], row["acknowledged"]) for row in crashed.fields["runs"]]
        assert rows == [(30, True), (10, False)]
        crashes = {message.crash for _, message in messages(effects, RunsEnded)}
        ((first, second),) = [each.runs for each in crashes]
        assert (first.acknowledged, second.acknowledged) == (True, False)
        ends = reported_ends(effects)
        assert ends == [(1, RunEnd.LOST), (2, RunEnd.LOST)]

    def test_a_run_that_goes_on_is_not_in_the_crash_report(self):
        agent = runner()
        start(agent, run=self.SECOND)
        answer_start(agent, 10.01, 210, number=2)
        start(agent, 10.02)
        effects = replace_boot(agent, self.LATER, 10.07)
        effects += look(agent, WorkerSnapshot(15, 10_050, self.RUNNING, ()), 10.08)
        (crashed,) = events(effects, EventName.WORKER_CRASHED)
        assert [row["job"] for row in crashed.fields["runs"]] == [self.SECOND.job_id]
        assert reported_ends(effects) == [(2, RunEnd.LOST)]
        assert agent.running == 1

    def test_a_start_that_another_id_answered_ends_without_a_report(self):
        agent = runner()
        start(agent)
        snapshot = WorkerSnapshot(9, 10_050, (), ())
        assert reported_ends(look(agent, snapshot, 10.01)) == []
        key = (SENDER.incarnation, 1)
        effects = agent.on_start_answered(key, StartAnswer.OTHER_BOOT, 10.02)
        assert reported_ends(effects) == [(1, RunEnd.NOT_STARTED)]
        assert events(effects, EventName.WORKER_CRASHED) == []

    def test_a_start_that_another_id_answered_late_ends_no_run_of_the_next_boot(self):
        agent = runner()
        start(agent, run=self.SECOND)
        start(agent)
        replace_boot(agent, self.LATER, 10.07)
        key = (SENDER.incarnation, 2)
        effects = agent.on_start_answered(key, StartAnswer.OTHER_BOOT, 10.08)
        assert reported_ends(effects) == [(2, RunEnd.NOT_STARTED)]
        snapshot = WorkerSnapshot(20, 10_050, self.RUNNING, ())
        assert reported_ends(look(agent, snapshot, 10.09)) == []
        assert agent.running == 1

    def test_a_start_that_another_id_answered_ends_the_runs_of_its_boot(self):
        agent = runner()
        start(agent, run=self.SECOND)
        start(agent)
        key = (SENDER.incarnation, 2)
        effects = agent.on_start_answered(key, StartAnswer.OTHER_BOOT, 10.08)
        assert reported_ends(effects) == [(2, RunEnd.LOST), (1, RunEnd.LOST)]

    def test_acknowledged_runs_end_at_once(self):
        agent = runner()
        start(agent)
        answer_start(agent, 10.01, 210)
        effects = replace_boot(agent, self.LATER, 10.07)
        assert reported_ends(effects) == [(1, RunEnd.LOST)]

    def test_commands_to_another_id_do_not_reach_it(self):
        agent = runner()
        start(agent)
        effects = replace_boot(agent, dataclasses.replace(self.LATER, id="i-2"), 10.07)
        assert reported_ends(effects) == [(1, RunEnd.LOST)]


class TestLateReadingOfTheClock:
    """An agent may handle an answer long after the worker has read its clock."""

    def test_a_start_by_the_next_boot_is_not_taken_for_one_by_the_former(self):
        agent = LeasedRunner(RestartSettings())
        agent.on_report(REPORT, 9.99)
        look(agent, WorkerSnapshot(40, 1, (), ()), 9.99)
        request = agent.build_snapshot_request(10.0)
        agent.on_snapshot(WorkerSnapshot(50, 1, (), ()), request, 10.2)
        command = start(agent, now=10.2)
        # The next boot began at 10.06.
        answer_start(agent, 10.21, clock_ms=150)
        later = dataclasses.replace(REPORT, booted_at_ms=2, clock_ms=155)
        effects = replace_boot(agent, later, 10.215)
        assert reported_ends(effects) == []
        task = (command.run.job_id, command.run.step, command.run.index)
        running = ListedRun(task, command.run.attempt, 0.0)
        effects = look(agent, WorkerSnapshot(160, 2, (running,), ()), 10.22)
        assert reported_ends(effects) == []
        assert agent.running == 1


class TestIncompleteSnapshots:
    """Snapshots of a worker whose lists have invalid rows."""

    def test_they_are_not_requested_without_a_pause(self):
        agent = LeasedRunner(RestartSettings())
        agent.on_report(REPORT, 10.0)
        requests = 0
        for step in range(100):
            now = 10.0 + step / 1000
            incomplete = WorkerSnapshot(200 + step, 1, (), (), False)
            effects = look(agent, incomplete, now)
            requests += sum(isinstance(each, RequestSnapshot) for each in effects)
        assert requests == 1


class TestReports:
    def test_a_changed_capacity_is_reported_to_dispatchers_at_once(self):
        agent = runner()
        report = dataclasses.replace(
            REPORT, sequence=2, capacity=Resources(9000, 900, 0)
        )
        effects = agent.on_report(report, 10.1)
        assert RequestRenewals() in effects
        assert agent.state().free_resources == Resources(9000, 900, 0)
        same = dataclasses.replace(report, sequence=3)
        assert agent.on_report(same, 10.2) == []


class TestRunsThatAgentDidNotStart:
    """The log tells a run that was reported as ended too early from any other."""

    def test_the_report_of_its_end_is_in_the_event(self):
        agent = runner()
        agent.on_renewed(SENDER, Renewed(10_000), 10.0)
        agent.on_start_runs(SENDER, StartRuns(10_000, (RUN,)), 10.0)
        agent.on_start_answered((SENDER.incarnation, 1), StartAnswer.REJECTED, 10.1)
        event = self._foreign(agent, (RUN.job_id, 0, 0))
        assert event.fields["reported"] == RunEnd.NOT_STARTED.value
        assert event.fields["proof"] == "not started"
        assert event.fields["dispatcher"] == SENDER.address
        assert event.fields["reported_ms_ago"] == 400

    def test_a_run_of_a_former_process_was_never_reported(self):
        event = self._foreign(runner(), ("00c0ffee00c0ffef", 0, 0))
        assert event.fields["reported"] is None

    @staticmethod
    def _foreign(agent, task):
        """Return the event of a snapshot that lists an unknown run."""
        snapshot = WorkerSnapshot(500, 1, (ListedRun(task, 1, 0.5),), ())
        effects = look(agent, snapshot, 10.5)
        (event,) = [each for each in effects if isinstance(each, Event)]
        assert event.name is EventName.RUN_FOREIGN
        return event


class TestPresumedEnds:
    """The log shows ends that no worker listed, and those that it contradicts later."""

    ROW = ListedRun((RUN.job_id, 0, 0), 1, 0.5)

    def start_and_omit(self, now=10.1):
        """Return a runner whose worker omitted a live run, and the effects."""
        agent = runner()
        start(agent)
        answer_start(agent, 10.01, 210)
        return agent, look(agent, WorkerSnapshot(300, 1, (), ()), now)

    def start_and_expire(self):
        """Return a runner that reported a run as lost with the worker's lease."""
        agent = runner()
        start(agent)
        answer_start(agent, 10.01, 210)
        look(agent, WorkerSnapshot(300, 1, (self.ROW,), ()), 10.1)
        boot = REPORT.boot_id
        agent.on_snapshot_failed(boot, False, 10.5)
        effects = agent.on_snapshot_failed(boot, False, 12.0)
        assert reported_ends(effects) == [(1, RunEnd.LOST)]
        return agent, effects

    def end_row(self, end, number=1):
        """Return the row of the run's end."""
        return dataclasses.replace(self.ROW, number=number, end=end)

    def test_an_end_that_no_snapshot_listed_is_logged_with_its_proof(self):
        _, effects = self.start_and_omit()
        (event,) = events(effects, EventName.RUN_PRESUMED_LOST)
        assert event.job_id == RUN.job_id
        assert event.fields == {
            "dispatcher": SENDER.address,
            "proof": "not listed",
            "task": "0.0",
            "attempt": 1,
            "number": 1,
            "end": "lost",
            "answered_ms_ago": 0,
        }

    def test_an_expired_lease_is_logged_for_each_run(self):
        _, effects = self.start_and_expire()
        (event,) = events(effects, EventName.RUN_PRESUMED_LOST)
        assert event.fields["proof"] == "lease expired"
        assert event.fields["answered_ms_ago"] == 1900

    def test_runs_of_a_replaced_boot_are_logged(self):
        agent = runner()
        start(agent)
        answer_start(agent, 10.01, 210)
        later = dataclasses.replace(REPORT, id="i-2", booted_at_ms=9000)
        effects = replace_boot(agent, later, 10.2)
        (event,) = events(effects, EventName.RUN_PRESUMED_LOST)
        assert event.fields["proof"] == "replaced"

    def test_a_listed_end_is_no_presumption(self):
        agent = runner()
        start(agent)
        answer_start(agent, 10.01, 210)
        ended = (self.end_row(RunEnd.STOPPED),)
        effects = look(agent, WorkerSnapshot(300, 1, (), ended), 10.1)
        assert reported_ends(effects) == [(1, RunEnd.LOST)]
        assert events(effects, EventName.RUN_PRESUMED_LOST) == []
        again = (self.end_row(RunEnd.STOPPED, 2),)
        effects = look(agent, WorkerSnapshot(400, 1, (), again), 10.2)
        assert events(effects, EventName.RUN_OUTLIVED_REPORT) == []

    @pytest.mark.parametrize(
        "end", [RunEnd.DONE, RunEnd.FAILED, RunEnd.STOPPED, RunEnd.LOST]
    )
    def test_an_end_listed_after_its_report_is_logged_once(self, end):
        agent, _ = self.start_and_omit()
        snapshot = WorkerSnapshot(600, 1, (), (self.end_row(end),))
        (event,) = events(look(agent, snapshot, 10.4), EventName.RUN_OUTLIVED_REPORT)
        assert event.job_id == RUN.job_id
        assert event.fields == {
            "reported": "lost",
            "proof": "not listed",
            "dispatcher": SENDER.address,
            "reported_ms_ago": 300,
            "task": "0.0",
            "attempt": 1,
            "end": end.value,
        }
        snapshot = WorkerSnapshot(700, 1, (), (self.end_row(end, 2),))
        effects = look(agent, snapshot, 10.5)
        assert events(effects, EventName.RUN_OUTLIVED_REPORT) == []

    @pytest.mark.parametrize(
        ("end", "names"),
        [
            (RunEnd.LOST, []),
            (RunEnd.STOPPED, []),
            (RunEnd.DONE, [EventName.RUN_END_LISTED_LATE]),
            (RunEnd.FAILED, [EventName.RUN_END_LISTED_LATE]),
        ],
    )
    def test_a_run_that_ended_unheard_is_not_said_to_have_outlived_its_report(
        self, end, names
    ):
        agent, _ = self.start_and_expire()
        snapshot = WorkerSnapshot(2300, 1, (), (self.end_row(end),))
        effects = look(agent, snapshot, 12.2)
        late = (EventName.RUN_OUTLIVED_REPORT, EventName.RUN_END_LISTED_LATE)
        logged = [each.name for name in late for each in events(effects, name)]
        assert logged == names

    def test_a_run_listed_after_its_lease_expired_outlived_its_report(self):
        agent, _ = self.start_and_expire()
        effects = look(agent, WorkerSnapshot(2300, 1, (self.ROW,), ()), 12.2)
        (foreign,) = events(effects, EventName.RUN_FOREIGN)
        assert foreign.fields["proof"] == "lease expired"
        assert foreign.fields["listed_after_report"] is True
        stopped = (self.end_row(RunEnd.STOPPED),)
        effects = look(agent, WorkerSnapshot(2400, 1, (), stopped), 12.3)
        assert len(events(effects, EventName.RUN_OUTLIVED_REPORT)) == 1

    def test_a_list_older_than_the_report_contradicts_nothing(self):
        """Guards against false alarms of an agent that stood still."""
        agent = runner()
        start(agent)
        answer_start(agent, 10.01, 210)
        request = agent.build_snapshot_request(10.1)
        agent.on_snapshot_failed(REPORT.boot_id, False, 10.5)
        agent.on_snapshot_failed(REPORT.boot_id, False, 12.0)
        running = WorkerSnapshot(300, 1, (self.ROW,), ())
        effects = agent.on_snapshot(running, request, 12.0)
        (foreign,) = events(effects, EventName.RUN_FOREIGN)
        assert foreign.fields["listed_after_report"] is False
        lapsed = (self.end_row(RunEnd.LOST),)
        effects = look(agent, WorkerSnapshot(2300, 1, (), lapsed), 12.1)
        assert events(effects, EventName.RUN_OUTLIVED_REPORT) == []

    def test_a_refused_copy_does_not_hide_the_first_report(self):
        agent, _ = self.start_and_omit()
        start(agent, 10.2, msgspec.structs.replace(RUN, number=2))
        key = (SENDER.incarnation, 2)
        agent.on_start_answered(key, StartAnswer.OUTDATED, 10.21)
        snapshot = WorkerSnapshot(600, 1, (), (self.end_row(RunEnd.DONE),))
        (event,) = events(look(agent, snapshot, 10.4), EventName.RUN_OUTLIVED_REPORT)
        assert event.fields["proof"] == "not listed"

    def test_a_new_agent_process_raises_no_alarm(self):
        snapshot = WorkerSnapshot(600, 1, (), (self.end_row(RunEnd.DONE),))
        effects = look(runner(), snapshot, 10.4)
        assert events(effects, EventName.RUN_OUTLIVED_REPORT) == []
