"""What the ends and the progress of runs tell about workers and run times."""

from ragwortlug.jobs import dispatch_events as events
from ragwortlug.policy.known_workers import STALL_WEIGHT
from ragwortlug.policy.run_time_estimator import RunTimeEstimator
from ragwortlug.restartable_model import RunEnd

RESCHEDULE_FACTOR = 1.5
RESCHEDULE_COST_MS = 40.0


class RunFeedback:
    """Learns run times, and the speed and the health of workers.

    Parameters
    ----------
    workers : KnownWorkers
        The workers whose speed and health are updated.
    """

    def __init__(self, workers):
        self._workers = workers
        self._run_time_estimator = RunTimeEstimator()

    def estimates(self, queue_name, steps, now):
        """Return the `RunTimeEstimate` of a task of each step, a list."""
        return [
            self._run_time_estimator.estimate(queue_name, step.estimate_ms, now)
            for step in steps
        ]

    def expire(self, now):
        """Forget what was measured too long ago."""
        self._run_time_estimator.expire(now)
        self._workers.expire_slowdowns(now)

    def on_run_ended(self, worker, record, task, end, run_ms, now):
        """Record how a run ended; return the events of an ejection.

        `worker` is None if its agent has been removed already.
        """
        if worker is None:
            return []
        was_ejected = worker.health.ejected
        if end is RunEnd.DONE:
            worker.health.on_succeeded()
            declared_ms = record.job.steps[task.step].estimate_ms
            slowdown = run_ms / max(task.expected_ms, 1.0)
            self._workers.update_slowdown(worker, slowdown, now)
            self._run_time_estimator.add_run_time(
                record.queue.name, declared_ms, run_ms / worker.slowdown, now
            )
        elif end is RunEnd.FAILED:
            for blamed_worker in task.blamed_workers:
                blamed_worker.health.undo_failure()
            if not task.failures:
                worker.health.on_failed(now)
                task.blamed_workers.append(worker)
        else:
            worker.health.on_start_failed()
        if worker.health.ejected and not was_ejected:
            return [events.worker_ejected(record, worker, end)]
        return []

    def should_reschedule(self, worker, record, task, run_ms, remaining_run_ms, now):
        """Return whether a late run must be stopped and run elsewhere.

        `remaining_run_ms` is None for a run that makes no progress.
        """
        others = [
            other
            for other in self._workers.serving(record.queue.service, now)
            if other is not worker and not other.health.ejected
        ]
        if not others:
            return False
        rerun_ms = task.expected_ms * min(other.slowdown for other in others)
        if remaining_run_ms is not None:
            if (
                task.rescheduled
                or remaining_run_ms <= RESCHEDULE_FACTOR * rerun_ms + RESCHEDULE_COST_MS
            ):
                return False
            task.rescheduled = True
            slowdown = (run_ms + remaining_run_ms) / max(task.expected_ms, 1.0)
            self._workers.update_slowdown(worker, slowdown, now, STALL_WEIGHT)
        worker.health.on_failed(now)
        task.excluded_agents.add(worker.peer.incarnation)
        return True
