"""Randomised plays of dispatchers, agents and workers under every failure."""

import random
from unittest import mock

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from ragwortlug.codes import Code
from ragwortlug.envelope import Peer
from ragwortlug.jobs.leased import LeasedRunner
from ragwortlug.jobs.permissions import Permissions
from ragwortlug.jobs.restartable import RestartableRecord, RunState
from ragwortlug.lease_settings import RestartSettings
from ragwortlug.policy.run_time_estimator import RunTimeEstimate
from ragwortlug.restartable_model import Queue, Resources, RestartableJob, RunEnd, Step
from tests.play import Faults, Play

LENGTH_S = 12.0
REST_S = 12.0
MOVES = (
    "kill entry",
    "kill agent",
    "freeze entry",
    "freeze agent",
    "cut agent",
    "cut entry",
    "crash worker",
    "hang worker",
    "drain worker",
    "caller leaves",
)

HOME = Peer("tcp://10.0.0.1:1", "home")

trouble = st.tuples(
    st.sampled_from(MOVES),
    st.floats(0.5, LENGTH_S),
    st.integers(0, 7),
    st.sampled_from((0.2, 0.6, 1.0, 1.6, 3.0)),
)


def strike(play, what, which, for_s):
    """Let one failure begin now, and end after a while."""
    agent = play.agents[which % len(play.agents)]
    entry = play.homes[which % len(play.homes)]
    if what == "kill entry" and entry.alive:
        play.kill_entry(entry, for_s)
    elif what == "kill agent" and agent.alive:
        play.kill_agent(agent, for_s)
    elif what == "freeze entry":
        entry.frozen_until = max(entry.frozen_until, play.now + for_s)
    elif what == "freeze agent":
        agent.frozen_until = max(agent.frozen_until, play.now + for_s)
    elif what in ("cut agent", "cut entry"):
        cut = agent if what == "cut agent" else entry
        cut.cut = True
        play.at(for_s, lambda: setattr(cut, "cut", False))
    elif what == "crash worker" and agent.worker.up:
        play.crash_worker(agent, for_s)
    elif what == "hang worker":
        agent.worker.stands = True
        play.at(for_s, lambda: setattr(agent.worker, "stands", False))
    elif what == "drain worker" and agent.worker.up:
        report = agent.worker.report(draining=True)
        agent.run(lambda now: agent.runner.on_report(report, now))
    elif what == "caller leaves":
        leave(play, which)


def leave(play, which):
    """Let a caller give up its open job."""
    waiting = [each for each in play.callers.values() if each.code is None]
    if waiting:
        caller = waiting[which % len(waiting)]
        caller.code = Code.CANCELLED
        entry = caller.entry
        entry.run(
            lambda now: entry.dispatcher.cancel(caller.request, caller.job.id, now)
        )


def play_under(seed, faults, troubles, rate=9.0, longest_s=0.9, **options):
    """Return a play in which jobs came under some failures."""
    play = Play(seed=seed, faults=faults, **options).build(3, 5, cpu=32_000)
    play.run_until(0.5)
    kinds = ((8, 0.12), (3, longest_s), (2, 0.4))

    def arrive():
        if play.now < LENGTH_S:
            kind = play.rng.randrange(3)
            play.hand_in(kind, *kinds[kind], deadline_s=6.0)
            play.at(play.rng.expovariate(rate), arrive)

    play.at(0.0, arrive)
    for what, at, which, for_s in troubles:
        play.at(at, lambda w=what, i=which, f=for_s: strike(play, w, i, f))
    play.run_until(LENGTH_S + REST_S)
    return play


def random_troubles(seed, count=8):
    """Return failures at random times."""
    rng = random.Random(seed)
    return [
        (
            rng.choice(MOVES),
            rng.uniform(0.5, LENGTH_S),
            rng.randrange(8),
            rng.choice((0.2, 0.6, 1.0, 1.6, 3.0)),
        )
        for _ in range(count)
    ]


def random_faults(seed):
    """Return shares of lost messages, lost answers and failed runs."""
    rng = random.Random(seed)
    return Faults(
        lose=rng.choice((0.0, 0.0, 0.02, 0.1)),
        no_answer=rng.choice((0.0, 0.03, 0.2)),
        fail=rng.choice((0.0, 0.02, 0.2)),
    )


def assert_sound(play):
    """Fail with what the witnesses saw, and with work that nobody waits for."""
    assert not play.broken, f"seed {play.seed}: {play.broken[:5]}"
    for agent in play.agents:
        agent.worker.lapse()
        left = agent.worker.running
        assert not left, f"seed {play.seed}: {agent.name} still runs {list(left)}"
        assert not agent.runner.running, f"seed {play.seed}: {agent.name}"
    for entry in play.homes:
        dispatcher = entry.dispatcher
        assert not dispatcher.open_jobs, f"seed {play.seed}: {entry.name}"
        assert not dispatcher.running_tasks, f"seed {play.seed}: {entry.name}"


class TestOneRun:
    """A task never has two runs, and no worker is sent more than it holds."""

    @pytest.mark.parametrize("seed", range(40))
    def test_under_every_failure(self, seed):
        print(f"seed {seed}")
        troubles = random_troubles(seed)
        assert_sound(play_under(seed, random_faults(seed), troubles))

    @settings(
        max_examples=25,
        deadline=None,
        derandomize=True,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(st.integers(0, 1 << 20), st.lists(trouble, max_size=10))
    def test_any_series_of_failures(self, seed, troubles):
        assert_sound(play_under(seed, random_faults(seed), troubles))


class TestFoundByPlays:
    """Seeds that once failed, each with its cause."""

    @pytest.mark.parametrize(
        ("seed", "count"),
        [
            (0, 4),  # A lost worker's orders were looked up after it was forgotten.
            (5, 9),  # The answer of a former boot ended the runs of the next one.
            (26, 10),  # An order reached the boot after the one that it was for.
            (37, 11),  # As seed 5.
            (69, 13),  # As seed 5.
            (307, 11),  # A lease given before outlived a later run's permission.
        ],
    )
    def test_no_longer_fails(self, seed, count):
        troubles = random_troubles(seed, count)
        assert_sound(play_under(seed, random_faults(seed), troubles))


class TestNoFailures:
    """Without failures every job is done."""

    def test_all_jobs_are_done(self):
        benefits = []
        for seed in range(12):
            play = play_under(seed, Faults(), [])
            assert_sound(play)
            assert {each.code for each in play.callers.values()} == {Code.OK}
            benefits.append(play.benefit())
        assert sum(benefits) / len(benefits) > 0.99

    def test_failed_runs_are_tried_elsewhere(self):
        play = play_under(8, Faults(fail=0.02), [])
        assert_sound(play)
        assert {each.code for each in play.callers.values()} == {Code.OK}

    def test_a_job_whose_runs_all_fail_is_failed(self):
        play = Play(seed=9).build(3, 5, cpu=32_000)
        play.run_until(0.5)
        poison = play.hand_in(0, 4, 0.1)
        play.poison.add(poison.job.id)
        others = [play.hand_in(2, 2, 0.1) for _ in range(4)]
        play.run_until(LENGTH_S)
        assert_sound(play)
        assert poison.code is Code.JOB_FAILED
        assert {each.code for each in others} == {Code.OK}


class TestRecord:
    """What is left of a job."""

    @given(st.lists(st.tuples(st.integers(0, 8), st.sampled_from(list(RunEnd)))))
    def test_what_waits_and_is_left(self, moves):
        steps = (
            Step(4, Resources(1000, 1, 0)),
            Step(2, Resources(500, 1, 0), after=(0,)),
        )
        job = RestartableJob("00c0ffee00c0ffee", "text", steps)
        queue = Queue("q", "a.example", "/p/", "carving")
        estimates = [RunTimeEstimate(each, each) for each in (100.0, 50.0)]
        record = RestartableRecord(job, queue, 0.0, 9.0, 5.0, estimates)
        for number, (which, end) in enumerate(moves, 1):
            ready = list(record.ready())
            if which < len(ready):
                record.assign(ready[which], number, "agent", 0.01 * number)
            elif record.assigned_tasks:
                record.end_run(
                    record.assigned_tasks[which % len(record.assigned_tasks)], end
                )
            now = 0.01 * number
            states = [(each.step, each.state) for each in record.tasks]
            first = [
                100.0
                if each.state is RunState.WAITING
                else 100.0 - (now - each.assigned_at) * 1e3
                for each in record.tasks
                if each.step == 0 and each.state is not RunState.DONE
            ]
            second = (1, RunState.WAITING) in states
            left = max([0.0, *first])
            assert record.has_waiting == bool(list(record.ready()))
            if second:
                assert record.remaining_path_ms(now) == pytest.approx(left + 50.0)
            undone = [each for each in states if each[1] is not RunState.DONE]
            assert record.done == (not undone)


class TestPermissions:
    """An agent carries out only what is permitted now, and until its lease ends."""

    def permissions(self):
        """Return permissions of one dispatcher, asked for at 10 s."""
        permissions = Permissions(RestartSettings())
        permissions.on_renewed(HOME, 10_000)
        return permissions

    def test_an_order_on_an_old_stamp_is_refused(self):
        permissions = self.permissions()
        assert permissions.allows(HOME, 10_000, 0.0, 10.1)
        assert not permissions.allows(HOME, 9_000, 0.0, 10.1)

    def test_an_order_late_in_its_permission_is_refused(self):
        assert not self.permissions().allows(HOME, 10_000, 0.0, 10.75)

    def test_an_order_waits_for_a_renewal_that_covers_the_lease(self):
        permissions = self.permissions()
        assert not permissions.allows(HOME, 10_000, 11.0, 10.1)
        permissions.on_renewed(HOME, 10_150)
        assert permissions.allows(HOME, 10_150, 11.0, 10.3)

    def test_a_lease_ends_with_the_first_live_permission(self):
        permissions = self.permissions()
        permissions.on_renewed(Peer("tcp://10.0.0.2:1", "other"), 10_300)
        assert permissions.earliest_expiry(set(), 99.0, 10.4) == pytest.approx(10.9)

    def test_a_lease_passes_over_a_silent_dispatcher_without_runs(self):
        permissions = self.permissions()
        permissions.on_renewed(Peer("tcp://10.0.0.2:1", "other"), 10_800)
        assert permissions.earliest_expiry(set(), 99.0, 10.85) == pytest.approx(11.7)
        assert permissions.earliest_expiry({"home"}, 99.0, 10.85) == pytest.approx(10.9)


class TestMechanisms:
    """Each mechanism is needed: without it, a witness sees what it prevents."""

    def broken(self, seeds=range(12), **options):
        """Return whether some play breaks a promise."""
        for seed in seeds:
            faults = Faults(no_answer=0.1)
            troubles = random_troubles(seed, 12)
            play = play_under(seed, faults, troubles, longest_s=2.5, **options)
            if play.broken:
                return True
        return False

    def test_waiting_for_silent_agents(self):
        assert self.broken(settings=RestartSettings(orphan_ms=200))

    def test_callers_that_retry_after_permissions_have_ended(self):
        assert self.broken(settings=RestartSettings(caller_retry_ms=400))

    def test_ending_with_the_permission(self):
        limit = lambda _self, _homes, limit, _now: limit  # noqa: E731
        with (
            mock.patch.object(Permissions, "earliest_expiry", limit),
            mock.patch.object(Permissions, "is_expiring", lambda *_: False),
        ):
            assert self.broken()

    def test_room_kept_until_the_end_is_sure(self):
        original = LeasedRunner.on_start_answered

        def forget(runner, key, answer, now, clock=None):
            if answer.value == "no answer":
                runner._runs.pop(key, None)
                return []
            return original(runner, key, answer, now, clock)

        with mock.patch.object(LeasedRunner, "on_start_answered", forget):
            assert self.broken()
