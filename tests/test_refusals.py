"""Refusals by estimated run times, which must end when the estimates are wrong."""

import itertools

import pytest

from ragwortlug.codes import Code, Verdict
from ragwortlug.policy.estimate_checks import (
    FIRST_CHECK_S,
    MAX_INTERVAL_S,
    EstimateChecks,
)
from ragwortlug.policy.run_time_estimator import RunTimeEstimator
from ragwortlug.restartable_model import Resources
from tests.play import Play

RESOURCES = Resources(6200, 64, 0)
SHORT_S, SHORT_LIMIT_S = 0.12, 1.5
LONG_S, LONG_LIMIT_S = 3.6, 10.0
# From this long after a disturbance on, at least the share of requests is served.
RECOVERY_S = 12.0
MIN_SERVED = 0.25
SEEDS = (1, 2, 3)


def submit_every(play, interval_s, until, work_s, limit_s, declared_ms):
    """Let each entry get a job of one task at regular times; return all callers."""
    callers = []

    def submit(entry, number):
        if play.now < until:
            job_id = f"{len(play.callers):016x}"
            caller = play.submit_job(
                0, job_id, [work_s], declared_ms, RESOURCES, limit_s, entry
            )
            callers.append(caller)
            play.at(interval_s, lambda: submit(entry, number + 1))

    for index, entry in enumerate(play.homes):
        play.at(0.05 * index, lambda entry=entry: submit(entry, 0))
    return callers


def served_share(callers, since):
    """Return the share of the callers since a time that were served."""
    codes = [caller.code for caller in callers if caller.began >= since]
    assert codes
    return codes.count(Code.OK) / len(codes)


class TestWrongEstimates:
    """Idle entries whose estimates are far off."""

    @pytest.mark.parametrize("declared", [True, False])
    @pytest.mark.parametrize("seed", SEEDS)
    def test_long_first_tasks_do_not_refuse_short_ones_for_good(self, declared, seed):
        play = Play(seed).build(workers=6, speeds=(1.0,))
        play.run_until(1.0)
        declared_ms = int(LONG_S * 1000) if declared else 0
        submit_every(play, LONG_S, 5.0, LONG_S, LONG_LIMIT_S, declared_ms)
        play.run_until(10.0)
        declared_ms = int(SHORT_S * 1000) if declared else 0
        short = submit_every(play, 0.5, 50.0, SHORT_S, SHORT_LIMIT_S, declared_ms)
        play.run_until(55.0)
        assert served_share(short, 10.0 + RECOVERY_S) >= MIN_SERVED

    @pytest.mark.parametrize("seed", SEEDS)
    def test_one_restarted_entry_serves_short_jobs_after_long_ones(self, seed):
        play = Play(seed).build(workers=6, speeds=(1.0,))
        play.run_until(1.0)
        submit_every(play, 0.5, 5.0, SHORT_S, SHORT_LIMIT_S, 120)
        play.run_until(5.0)
        restarted = play.homes[0]
        play.kill_entry(restarted, 0.5)
        play.run_until(5.6)
        job_id = f"{len(play.callers):016x}"
        play.submit_job(0, job_id, [LONG_S], 3600, RESOURCES, LONG_LIMIT_S, restarted)
        play.run_until(10.0)
        short = submit_every(play, 0.5, 50.0, SHORT_S, SHORT_LIMIT_S, 120)
        play.run_until(55.0)
        own = [caller for caller in short if caller.entry is restarted]
        assert served_share(own, 10.0 + RECOVERY_S) >= MIN_SERVED

    @pytest.mark.parametrize("seed", SEEDS)
    def test_short_tasks_are_served_beside_long_ones_of_the_queue(self, seed):
        play = Play(seed).build(workers=6, speeds=(1.0,))
        play.run_until(1.0)
        submit_every(play, 2.0, 50.0, LONG_S, LONG_LIMIT_S, 0)
        play.run_until(10.0)
        short = submit_every(play, 0.5, 50.0, SHORT_S, SHORT_LIMIT_S, 0)
        play.run_until(60.0)
        assert served_share(short, 10.0 + RECOVERY_S) >= MIN_SERVED

    @pytest.mark.parametrize("seed", SEEDS)
    def test_jobs_declared_too_long_are_served(self, seed):
        play = Play(seed).build(workers=6, speeds=(1.0,))
        play.run_until(1.0)
        jobs = submit_every(play, 0.5, 40.0, SHORT_S, SHORT_LIMIT_S, 20_000)
        play.run_until(45.0)
        assert served_share(jobs, 1.0 + RECOVERY_S) >= MIN_SERVED

    @pytest.mark.parametrize("seed", SEEDS)
    def test_workers_that_were_all_slow_are_used_again(self, seed):
        play = Play(seed).build(workers=6, speeds=(0.25,))
        play.run_until(1.0)
        submit_every(play, 0.5, 15.0, 0.4, LONG_LIMIT_S, 400)
        play.run_until(20.0)
        for agent in play.agents:
            agent.worker.speed = 1.0
        jobs = submit_every(play, 0.5, 50.0, 0.4, 0.9, 400)
        play.run_until(55.0)
        assert served_share(jobs, 20.0 + RECOVERY_S) >= MIN_SERVED


class TestRightEstimates:
    """Jobs that can't end before their deadline."""

    @pytest.mark.parametrize("seed", SEEDS)
    def test_jobs_that_cannot_end_in_time_are_refused_at_once(self, seed):
        play = Play(seed).build(workers=6, speeds=(1.0,))
        play.run_until(1.0)
        until = 41.0
        jobs = submit_every(play, 0.1, until, LONG_S, SHORT_LIMIT_S, 3600)
        play.run_until(until + LONG_S)
        held = [job for job in jobs if job.code is None or job.ended > job.began]
        # Each check takes a job's time limit and one interval.
        checks = 5 + (until - 1.0) / (SHORT_LIMIT_S + MAX_INTERVAL_S)
        assert len(held) <= checks * len(play.homes)
        refused = [job for job in jobs if job not in held]
        assert all(job.code.verdict is Verdict.NOT_RUN for job in refused)


class TestEstimates:
    """Estimates from measurements that count for less as time passes."""

    def test_without_measurements_the_declared_time_is_expected(self):
        estimate = RunTimeEstimator().estimate("q", 120, 0.0)
        assert estimate.expected_ms == estimate.least_ms == 120.0

    def test_measurements_of_another_size_leave_the_estimate(self):
        estimator = RunTimeEstimator()
        for each in range(50):
            estimator.add_run_time("q", 3600, 3600.0, 0.1 * each)
        assert estimator.estimate("q", 120, 5.0).expected_ms == 120.0

    def test_many_measurements_outweigh_the_declared_time(self):
        estimator = RunTimeEstimator()
        for each in range(50):
            estimator.add_run_time("q", 100, 200.0, 0.1 * each)
        estimate = estimator.estimate("q", 100, 5.0)
        assert estimate.expected_ms == pytest.approx(200.0, rel=0.1)
        assert estimate.least_ms == pytest.approx(200.0, rel=0.25)

    def test_without_new_measurements_it_returns_to_the_declared_time(self):
        estimator = RunTimeEstimator()
        estimator.add_run_time("q", 100, 400.0, 0.0)
        expected = [
            estimator.estimate("q", 100, now).expected_ms for now in (0.0, 10.0, 60.0)
        ]
        assert expected == sorted(expected, reverse=True)
        assert expected[-1] == pytest.approx(100.0, rel=0.01)
        estimator.expire(60.0)
        assert estimator.estimate("q", 100, 60.0).expected_ms == 100.0

    def test_tasks_that_differ_without_a_declared_time_give_a_low_bound(self):
        estimator = RunTimeEstimator()
        for each in range(100):
            actual_ms = 3600.0 if each % 2 else 120.0
            estimator.add_run_time("q", 0, actual_ms, 0.1 * each)
        estimate = estimator.estimate("q", 0, 10.0)
        assert estimate.least_ms < 1500.0 < estimate.expected_ms


class TestEstimateChecks:
    """Single jobs that are admitted against an estimate."""

    def test_one_job_at_a_time_checks_an_estimate(self):
        checks = EstimateChecks()
        assert not checks.admit("a", 0.0)
        assert checks.admit("a", FIRST_CHECK_S)
        assert not checks.admit("a", FIRST_CHECK_S + 60.0)
        assert not checks.admit("b", FIRST_CHECK_S)

    def test_checks_that_confirm_the_estimate_become_rare(self):
        checks = EstimateChecks()
        admitted_at = []
        for tenth in range(1000):
            if checks.admit("a", tenth / 10):
                admitted_at.append(tenth / 10)
                checks.on_ended("a", False, tenth / 10)
        gaps = [b - a for a, b in itertools.pairwise(admitted_at)]
        assert gaps == sorted(gaps)
        assert gaps[-1] == pytest.approx(MAX_INTERVAL_S)

    def test_a_disproved_estimate_refuses_nothing_until_a_job_is_late(self):
        checks = EstimateChecks()
        checks.admit("a", 0.0)
        assert checks.admit("a", 2.0)
        checks.on_ended("a", True, 2.1)
        assert all(checks.admit("a", 2.1) for _ in range(3))
        checks.on_ended("a", False, 3.0)
        assert not checks.admit("a", 3.0)
        assert checks.admit("a", 3.0 + FIRST_CHECK_S)

    def test_a_check_that_was_abandoned_is_repeated(self):
        checks = EstimateChecks()
        checks.admit("a", 0.0)
        assert checks.admit("a", 2.0)
        checks.on_ended("a", None, 2.1)
        assert not checks.admit("a", 2.2)
        assert checks.admit("a", 2.1 + FIRST_CHECK_S)

    def test_kinds_without_refusals_are_forgotten(self):
        checks = EstimateChecks()
        checks.admit("a", 0.0)
        checks.expire(100.0)
        assert not checks.admit("a", 100.0)
