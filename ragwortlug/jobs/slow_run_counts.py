"""Counts the slow runs of an agent's worker, over the jobs of all dispatchers."""

from collections import deque
from dataclasses import dataclass

from ragwortlug.envelope import Send
from ragwortlug.lease_messages import Progress
from ragwortlug.policy.slow_runs import SLOW_RUN_SPEED, SlowCounts
from ragwortlug.restartable_model import RunEnd

# Time in which an ended run loses half of its weight. Runs that ended before a worker
# became slow hide it for some half-lives: 21 runs end at a loaded worker in a second,
# and 11 are in progress.
HALF_LIFE_S = 0.3
FORGOTTEN_S = 6 * HALF_LIFE_S
MAX_ENDED = 200
# Each dispatcher asks for the share with each renewal. Counting for each of them took
# 4% of the processor time of all agents and entries of a large deployment.
SHARE_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class _EndedRun:
    """A run that ended, and whether it was slow."""

    ended_at: float
    job_id: str
    slow: bool


class SlowRunCounts:
    """The recent and current runs of one worker.

    Parameters
    ----------
    runs : dict
        The current runs by key, each a `LocalRun`.
    """

    def __init__(self, runs):
        self._runs = runs
        self._ended = deque(maxlen=MAX_ENDED)
        self._share = None
        self._shared_at = float("-inf")

    def on_ended(self, local_run, end, run_ms, now):
        """Count a run that ended; one that ended by a failure tells nothing.

        A run that was stopped counts as it was last sampled.
        """
        if end is RunEnd.DONE:
            slow = run_ms * SLOW_RUN_SPEED > local_run.run.expected_ms
        elif end is RunEnd.STOPPED and local_run.is_sampled:
            slow = local_run.relative_speed < SLOW_RUN_SPEED
        else:
            return
        self._ended.append(_EndedRun(now, local_run.run.job_id, slow))

    def share(self, now):
        """Return the share of slow jobs, counted at most once in an interval."""
        if now - self._shared_at >= SHARE_INTERVAL_S:
            self._shared_at = now
            self._share = self.counts(now).share
        return self._share

    def counts(self, now):
        """Return the `SlowCounts` of the worker.

        Tasks of one job share the error of its declared run time, so that each job
        counts once, by the weight of its latest run.
        """
        while self._ended and now - self._ended[0].ended_at > FORGOTTEN_S:
            self._ended.popleft()
        rows = [
            (run.job_id, 0.5 ** ((now - run.ended_at) / HALF_LIFE_S), run.slow)
            for run in self._ended
        ]
        rows += [
            (each.run.job_id, 1.0, each.relative_speed < SLOW_RUN_SPEED)
            for each in self._runs.values()
            if each.is_sampled
        ]
        jobs = {}
        for job_id, weight, slow in rows:
            greatest, total, slow_total = jobs.get(job_id, (0.0, 0.0, 0.0))
            jobs[job_id] = (
                max(greatest, weight),
                total + weight,
                slow_total + weight * slow,
            )
        return SlowCounts(
            sum(greatest * slow / total for greatest, total, slow in jobs.values()),
            sum(greatest for greatest, _, _ in jobs.values()),
        )


def progress_reports(rows, slow_run_counts, now):
    """Return the messages that report late runs, with the counts of the worker.

    Parameters
    ----------
    rows : dict
        For each dispatcher the rows of its late runs.
    slow_run_counts : SlowRunCounts
        Counts the runs of all dispatchers.
    """
    if not rows:
        return []
    counts = slow_run_counts.counts(now)
    return [
        Send(receiver, Progress(runs, counts.slow, counts.counted))
        for receiver, runs in rows.items()
    ]
