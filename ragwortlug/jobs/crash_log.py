"""An agent's record of the crashes of its worker, which it reports to dispatchers.

A dispatcher that starts later, or that took over the callers of another, must know
which tasks have crashed workers. The agents keep that, since they outlive both.
"""

from collections import deque

from ragwortlug.lease_messages import WorkerCrashed
from ragwortlug.restartable_model import CrashedRun

MS_PER_S = 1000.0
KEEP_S = 60.0
MAX_KEPT = 32


class CrashLog:
    """The latest crashes of one agent's worker."""

    def __init__(self):
        self._next_number = 0
        # Monotonic seconds of each crash, its number and its runs.
        self._crashes = deque(maxlen=MAX_KEPT)

    def add(self, local_runs, crashed_at):
        """Record a crash at `crashed_at`, in monotonic seconds, with its runs.

        Runs that were sent to the worker after its crash are left out.

        Returns
        -------
        WorkerCrashed
            The report for the dispatchers.
        """
        self._next_number += 1
        runs = tuple(
            CrashedRun(
                local_run.run.job_id,
                local_run.run.step,
                local_run.run.index,
                local_run.run.queue,
                round((crashed_at - local_run.started_at) * MS_PER_S),
                local_run.acknowledged,
            )
            for local_run in local_runs
            if local_run.started_at <= crashed_at
        )
        message = WorkerCrashed(self._next_number, runs)
        self._crashes.append((crashed_at, message))
        return message

    def remove(self, report):
        """Remove a crash that turned out to be none."""
        self._crashes = deque(
            (each for each in self._crashes if each[1] is not report), maxlen=MAX_KEPT
        )

    def reports(self, now):
        """Return the reports of the crashes that are still of use, a list."""
        return [
            message
            for crashed_at, message in self._crashes
            if now - crashed_at < KEEP_S
        ]
