"""What dispatchers conclude from reported crashes of workers."""

from ragwortlug.lease_messages import WorkerCrashed
from ragwortlug.policy.crash_history import SAFE_JOBS, CrashHistory
from ragwortlug.restartable_model import CrashedRun

JOB = "00c0ffee00c0ffee"
OTHER = "00c0ffee00c0ffef"
QUEUE = "preview"


def crash(history, number, now, *ages_ms, job_id=JOB, acknowledged=True):
    """Record a crash with runs of these ages; return the jobs given up."""
    runs = tuple(
        CrashedRun(job_id, 0, index, QUEUE, age_ms, acknowledged)
        for index, age_ms in enumerate(ages_ms)
    )
    return history.record("agent-1", WorkerCrashed(number, runs), now)


class TestTasks:
    def test_one_crash_proves_nothing(self):
        history = CrashHistory()
        assert crash(history, 1, 0.0, 10) == []
        assert history.is_suspect(JOB)
        assert not history.is_given_up(JOB)

    def test_two_crashes_shortly_after_the_start_prove(self):
        history = CrashHistory()
        crash(history, 1, 0.0, 10)
        assert crash(history, 2, 1.0, 10) == [JOB]
        assert history.is_given_up(JOB)

    def test_a_withdrawn_crash_counts_for_nothing(self):
        history = CrashHistory()
        for number in range(1, 9):
            assert crash(history, number, 0.0, 10) == []
            assert crash(history, number, 0.1) == []
            assert not history.is_suspect(JOB)
        assert crash(history, 9, 0.2, 10) == []

    def test_runs_lost_beside_the_cause_are_no_suspects(self):
        history = CrashHistory()
        crash(history, 1, 0.0, 900)
        assert not history.is_suspect(JOB)

    def test_a_task_that_crashes_late_is_proven_by_the_third_crash(self):
        history = CrashHistory()
        crash(history, 1, 0.0, 900)
        assert crash(history, 2, 1.0, 900) == []
        assert history.is_suspect(JOB)
        assert crash(history, 3, 2.0, 900) == [JOB]

    def test_a_task_that_may_not_have_started_is_only_suspect(self):
        history = CrashHistory()
        for number in range(1, 5):
            assert crash(history, number, 0.0, 5, acknowledged=False) == []
        assert history.is_suspect(JOB)
        assert crash(history, 5, 0.0, 5, acknowledged=False) == [JOB]

    def test_a_long_run_is_not_blamed_for_what_others_start(self):
        history = CrashHistory()
        for number, age_ms in enumerate((900, 1300, 400, 700), 1):
            job_id = f"{number:016x}"
            runs = (
                CrashedRun(JOB, 0, 0, QUEUE, age_ms, True),
                CrashedRun(job_id, 0, 0, QUEUE, 10, True),
            )
            assert history.record("agent-1", WorkerCrashed(number, runs), 0.0) == []
        assert not history.is_suspect(JOB)

    def test_crashes_at_the_same_age_outweigh_what_had_just_started(self):
        history = CrashHistory()
        given_up = []
        for number, age_ms in enumerate((81, 80, 83)):
            runs = (
                CrashedRun(JOB, 0, 0, QUEUE, age_ms, True),
                CrashedRun(OTHER, 0, 0, "stamp", 10 + number % 2, True),
            )
            if number == 1:
                runs = runs[:1]
            given_up += history.record("a", WorkerCrashed(number, runs), 0.0)
        assert given_up == [JOB]
        assert not history.is_suspect(OTHER)

    def test_a_repeated_report_counts_once(self):
        history = CrashHistory()
        crash(history, 1, 0.0, 10)
        crash(history, 1, 0.5, 10)
        assert not history.is_given_up(JOB)

    def test_a_task_beside_the_cause_is_not_proven_with_it(self):
        history = CrashHistory()
        both = [CrashedRun(job_id, 0, 0, QUEUE, 10, True) for job_id in (JOB, OTHER)]
        history.record("agent-1", WorkerCrashed(1, tuple(both)), 0.0)
        assert history.record("agent-2", WorkerCrashed(1, tuple(both)), 1.0) == []
        assert crash(history, 3, 2.0, 10) == [JOB]
        assert not history.is_given_up(OTHER)

    def test_crashes_under_two_tasks_of_a_job_do_not_add_up(self):
        history = CrashHistory()
        crash(history, 1, 0.0, 10, 900)
        crash(history, 2, 1.0, 900, 10)
        assert not history.is_given_up(JOB)

    def test_a_task_that_ended_well_is_cleared(self):
        history = CrashHistory()
        crash(history, 1, 0.0, 10)
        history.on_task_done(JOB, 0, 0)
        assert not history.is_suspect(JOB)
        assert crash(history, 2, 1.0, 10) == []

    def test_old_crashes_are_forgotten(self):
        history = CrashHistory()
        crash(history, 1, 0.0, 10)
        history.expire(61.0)
        assert not history.is_suspect(JOB)


class TestBaseRate:
    """Crashes that come whatever workers run are no evidence."""

    def crash_by_themselves(self, history, count, first=100, age_ms=10):
        """Record that many crashes, each some time after the start of another job.

        They come every 0.2 s, on eleven workers, until about second 10.
        """
        history.set_workers(range(11))
        given_up = []
        for number in range(first, first + count):
            now = 10.0 - 0.2 * (first + count - number)
            given_up += crash(history, number, now, age_ms, job_id=f"{number:016x}")
        return given_up

    def test_frequent_crashes_make_no_job_suspect(self):
        history = CrashHistory()
        assert self.crash_by_themselves(history, 30) == []
        crash(history, 1, 10.0, 10)
        assert not history.is_suspect(JOB)
        assert history.is_calm

    def test_one_task_is_proven_by_the_fourth_crash_among_them(self):
        history = CrashHistory()
        self.crash_by_themselves(history, 30)
        for number in range(1, 4):
            assert crash(history, number, 10.0 + 0.1 * number, 10) == []
        assert crash(history, 4, 10.4, 10) == [JOB]

    def test_a_task_that_crashes_late_is_proven_by_the_fifth_among_them(self):
        history = CrashHistory()
        self.crash_by_themselves(history, 50)
        given_up = [crash(history, n, 10.0 + 0.1 * n, 80) for n in range(1, 6)]
        assert [JOB] in given_up

    def test_a_long_run_is_not_given_up_for_three_of_them(self):
        history = CrashHistory()
        self.crash_by_themselves(history, 30)
        for number, age_ms in enumerate((900, 400, 700)):
            assert crash(history, number, 10.0, age_ms) == []
        assert not history.is_given_up(JOB)

    def test_suspicion_returns_once_they_have_ceased(self):
        history = CrashHistory()
        self.crash_by_themselves(history, 30)
        history.expire(21.0)
        crash(history, 1, 21.0, 10)
        assert history.is_suspect(JOB)

    def test_a_queue_is_not_risky_for_one_job_among_them(self):
        history = CrashHistory()
        self.crash_by_themselves(history, 30, age_ms=400)
        for number in range(4):
            crash(history, number, 10.0, 10)
        assert history.is_given_up(JOB)
        assert not history.is_risky(QUEUE)

    def test_a_queue_is_released_if_they_go_on(self):
        history = CrashHistory()
        crash(history, 1, 0.0, 10)
        crash(history, 2, 1.0, 10)
        crash(history, 3, 2.0, 10, job_id=OTHER)
        assert history.is_risky(QUEUE)
        self.crash_by_themselves(history, 30, age_ms=400)
        assert not history.is_risky(QUEUE)

    def test_a_queue_is_risky_if_they_all_point_to_it(self):
        history = CrashHistory()
        self.crash_by_themselves(history, 30)
        for number in range(4):
            crash(history, number, 10.0, 10)
        assert history.is_given_up(JOB)
        assert history.is_risky(QUEUE)

    def test_a_queue_is_not_risky_while_more_crashes_do_not_point_to_it(self):
        history = CrashHistory()
        history.set_workers(range(11))
        for number in range(4):
            crash(history, 10 + number, 0.1 * number, 900, job_id=f"{number:016x}")
        for number in range(4):
            crash(history, number, 1.0, 10, job_id=JOB if number else OTHER)
        assert history.is_given_up(JOB)
        assert not history.is_risky(QUEUE)

    def test_a_queue_of_which_two_jobs_are_proven_is_risky_among_them(self):
        history = CrashHistory()
        self.crash_by_themselves(history, 30)
        for number in range(8):
            job_id = JOB if number < 4 else OTHER
            crash(history, number, 10.0 + 0.1 * number, 10, job_id=job_id)
        assert history.is_risky(QUEUE)


class TestQueues:
    def risky(self):
        """Return a history in which two jobs of the queue are given up by second 1."""
        history = CrashHistory()
        for number, job_id in enumerate((JOB, JOB, OTHER, OTHER)):
            crash(history, number, number / 3, 10, job_id=job_id)
        return history

    def test_one_job_makes_no_queue_risky(self):
        history = CrashHistory()
        crash(history, 1, 0.0, 10)
        crash(history, 2, 1.0, 10)
        assert history.is_given_up(JOB)
        assert not history.is_risky(QUEUE)

    def test_a_third_crash_that_points_to_the_queue_makes_it_risky(self):
        history = CrashHistory()
        crash(history, 1, 0.0, 10)
        crash(history, 2, 1.0, 10)
        crash(history, 3, 2.0, 10, job_id=OTHER)
        assert history.is_risky(QUEUE)

    def test_a_queue_is_risky_until_jobs_end_well(self):
        history = self.risky()
        assert history.is_risky(QUEUE)
        for _ in range(SAFE_JOBS):
            history.expire(2.0)
            assert history.is_risky(QUEUE)
            history.on_job_done(QUEUE)
        history.expire(2.0)
        assert not history.is_risky(QUEUE)

    def test_a_further_crash_begins_the_count_anew(self):
        history = self.risky()
        for _ in range(SAFE_JOBS - 1):
            history.on_job_done(QUEUE)
        crash(history, 9, 2.0, 10, job_id="00c0ffee00c0fff0")
        history.on_job_done(QUEUE)
        history.expire(3.0)
        assert history.risky_queues == {QUEUE}

    def test_the_risk_of_a_queue_without_jobs_ends(self):
        history = self.risky()
        history.expire(32.0)
        assert not history.risky_queues
