"""What the ends and the progress of runs tell about workers and run times."""

import statistics

from ragwortlug.envelope import Send
from ragwortlug.jobs import dispatch_events as events
from ragwortlug.lease_messages import StopRuns
from ragwortlug.policy.known_workers import STALL_WEIGHT
from ragwortlug.policy.run_time_estimator import RunTimeEstimator
from ragwortlug.policy.slow_runs import (
    LateRun,
    MoveDecision,
    MoveHistory,
    MoveReason,
    decide_move,
    fault_probability,
)
from ragwortlug.restartable_model import RunEnd

MS_PER_S = 1000.0


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
        self._move_history = MoveHistory()

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
        self._record_outcome_of_move(record, task, end, now)
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

    def on_late_runs(self, worker, late_runs, counts, now):
        """Stop the late runs of a worker that are expected to end sooner elsewhere.

        Parameters
        ----------
        late_runs : iterable of tuple
            Record, task, milliseconds since the start and remaining milliseconds, None
            without progress.
        counts : SlowCounts
            The recent runs of the worker, of all dispatchers.
        """
        effects = []
        stops = []
        for record, task, run_ms, remaining_run_ms in late_runs:
            others = self._other_workers(worker, record, now)
            usual_share = _median_slow_share(others)
            run = LateRun(run_ms, remaining_run_ms, _rerun_ms(task, others))
            decision = self._decide(record, task, run, counts, usual_share, now)
            moves = self.should_reschedule(worker, task, run, decision, now)
            if moves:
                stops.append(task.number)
            elif task.left_attempt == task.attempt:
                continue
            task.left_attempt = task.attempt
            effects.append(
                events.late_run_decided(
                    record, task, worker, run, decision, moves, counts, usual_share
                )
            )
        if stops:
            effects.append(Send(worker.peer, StopRuns(tuple(stops))))
        return effects

    def should_reschedule(self, worker, task, run, decision, now):
        """Return whether a late run is moved, and record what that says of its worker.

        Parameters
        ----------
        run : LateRun
            The late run of the task.
        decision : MoveDecision
            What was decided about it.
        """
        if not decision.moves:
            return False
        if run.remaining_ms is not None:
            task.rescheduled = True
            task.replaced_attempt = task.attempt
            task.replaced_ends_at = now + run.remaining_ms / MS_PER_S
            slowdown = (run.run_ms + run.remaining_ms) / max(task.expected_ms, 1.0)
            weight = STALL_WEIGHT * decision.blame
            self._workers.update_slowdown(worker, slowdown, now, weight)
        if decision.blames_worker:
            worker.health.on_failed(now)
        task.excluded_agents.add(worker.peer.incarnation)
        return True

    def _decide(self, record, task, run, counts, usual_share, now):
        """Return the `MoveDecision` on a late run."""
        if run.rerun_ms is None:
            return MoveDecision(False, MoveReason.NO_OTHER_WORKER)
        if task.rescheduled and run.remaining_ms is not None:
            return MoveDecision(False, MoveReason.MOVED_BEFORE)
        earlier_moves = self._move_history.share_sooner(record.queue.name, now)
        fault = fault_probability(counts, usual_share, earlier_moves)
        if fault is not None:
            task.weighed_attempt, task.weighed_fault = task.attempt, fault
        elif task.weighed_attempt == task.attempt:
            # A large task outlasts the evidence when the load falls.
            fault = task.weighed_fault
        return decide_move(run, fault)

    def _record_outcome_of_move(self, record, task, end, now):
        """Record whether a moved task ended sooner than the run that was stopped.

        The stopped run itself may end well before it is reached by the command.
        """
        ends_at = task.replaced_ends_at
        if ends_at is None or task.attempt == task.replaced_attempt:
            return
        if end is not RunEnd.DONE and now < ends_at:
            return
        task.replaced_ends_at = None
        self._move_history.add(record.queue.name, now < ends_at, now)

    def _other_workers(self, worker, record, now):
        """Return the workers to which a task of a worker may be moved."""
        return [
            other
            for other in self._workers.serving(record.queue.service, now)
            if other is not worker and not other.health.ejected
        ]


def _rerun_ms(task, others):
    """Return the expected time of a task on the fastest worker, None without any."""
    if not others:
        return None
    return task.expected_ms * min(other.slowdown for other in others)


def _median_slow_share(workers):
    """Return the median share of slow runs at workers, or None if none reports it."""
    shares = [each.slow_share for each in workers if each.slow_share is not None]
    return statistics.median(shares) if shares else None
