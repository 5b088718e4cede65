"""Policy: order, placement, admission, quotas, health."""

import random

from hypothesis import given
from hypothesis import strategies as st

from ragwortlug.jobs.record import JobRecord
from ragwortlug.model import Job, Task, new_job_id
from ragwortlug.policy import quotas
from ragwortlug.policy.health import EJECTION_S, FAILURES_TO_EJECT, WorkerHealth
from ragwortlug.policy.placement import Placement
from ragwortlug.policy.waiting_queue import WaitingQueue
from ragwortlug.view.note import Team
from ragwortlug.view.roster import Member

AGING_MS = 400.0


def record(tasks, arrived):
    job = Job(new_job_id(), "team", "service", (Task(),) * tasks)
    return JobRecord(job, None, arrived)


def agent(name, centre="patan"):
    return Member(f"{name}/0", "agent", f"tcp://{name}", centre)


def placement(probes=3):
    return Placement("own", "patan", 1.0, probes, random.Random(1))


def choose(chooser, agents, now):
    by_incarnation = {each.incarnation: each for each in agents}
    return chooser.free_agent(by_incarnation, lambda _: True, now)


class TestQueue:
    def test_fewest_tasks_left_goes_first(self):
        queue = WaitingQueue(AGING_MS)
        large, small = record(20, 0.0), record(1, 1.0)
        queue.update(large)
        queue.update(small)
        assert queue.best(lambda _: True) is small

    def test_large_job_is_overtaken_only_within_its_handicap(self):
        queue = WaitingQueue(AGING_MS)
        large, small = record(20, 0.0), record(1, 19 * AGING_MS / 1000 + 0.1)
        queue.update(large)
        queue.update(small)
        assert queue.best(lambda _: True) is large

    def test_job_without_waiting_tasks_is_taken_out(self):
        queue = WaitingQueue(AGING_MS)
        only = record(1, 0.0)
        queue.update(only)
        only.mark_granted(0)
        queue.update(only)
        assert len(queue) == 0


class TestPlacement:
    def test_own_slots_then_the_data_centre_then_the_freest(self):
        chooser = placement()
        agents = [agent("far", "kirtipur"), agent("near"), agent("own")]
        for each in agents:
            chooser.update_free_slots(each.incarnation, 2, 0.0)
        chooser.update_free_slots("far", 8, 0.0)
        assert choose(chooser, agents, 0.1).incarnation == "own"
        assert choose(chooser, agents[:2], 0.1).incarnation == "near"

    def test_hints_grow_stale_and_grants_use_them_up(self):
        chooser = placement()
        agents = [agent("near")]
        chooser.update_free_slots("near", 1, 0.0)
        assert choose(chooser, agents, 1.5) is None
        chooser.update_free_slots("near", 1, 2.0)
        chooser.on_granted("near")
        assert choose(chooser, agents, 2.1) is None

    def test_probes_are_bounded(self):
        agents = [agent(str(each)) for each in range(9)]
        assert len(placement().agents_to_notify(agents, [], 9)) == 3
        assert len(placement().agents_to_notify(agents, [], 1)) == 2
        assert len(placement().agents_to_notify(agents, ["1", "2"], 9)) == 1
        assert placement().agents_to_notify(agents, ["1", "2", "3"], 9) == []


class TestQuotas:
    @given(st.integers(1, 500), st.integers(1, 60))
    def test_shares_add_up_to_the_quota(self, quota, count):
        team = Team("team", quota)
        homes = [f"agent-{each}" for each in range(count)]
        total = sum(quotas.quota_share(team, homes, each) for each in homes)
        assert total == max(quota, count)

    def test_no_quota_is_no_limit(self):
        assert quotas.quota_share(Team("team"), ["a"], "a") is None


class TestHealth:
    def test_failing_target_rests_and_returns_by_a_probe(self):
        health = WorkerHealth()
        for _ in range(FAILURES_TO_EJECT):
            assert health.usable_slots(4, 0.0) == 4
            health.on_started()
            health.on_failed(0.0)
        assert health.usable_slots(4, 0.1) == 0
        assert health.usable_slots(4, EJECTION_S) == 1
        health.on_started()
        assert health.usable_slots(4, EJECTION_S) == 0
        health.on_succeeded()
        assert health.usable_slots(4, EJECTION_S) == 4

    def test_failed_probe_doubles_the_rest(self):
        health = WorkerHealth()
        for _ in range(FAILURES_TO_EJECT):
            health.on_failed(0.0)
        health.on_started()
        health.on_failed(EJECTION_S)
        assert health.usable_slots(4, EJECTION_S + EJECTION_S) == 0
        assert health.usable_slots(4, EJECTION_S + 2 * EJECTION_S) == 1
