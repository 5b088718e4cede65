"""Estimates of run times from declared estimates and measured run times.

Declared estimates are far off for single jobs, and so is the mean run time of a
queue, but their errors are independent, so the estimate is the mean of both. The
declared estimate is scaled by the ratio of the queue's measured to declared mean.
"""

from ragwortlug.policy.run_times import DEFAULT_RUN_MS, MeanRunTimes

SMOOTHING_FACTOR = 0.02


class RunTimeEstimator:
    """Estimates the run times of each queue on a worker of average speed."""

    def __init__(self):
        self._actual = MeanRunTimes(SMOOTHING_FACTOR)
        self._declared = MeanRunTimes(SMOOTHING_FACTOR)

    def add_run_time(self, queue, declared_ms, actual_ms):
        """Record the declared and actual run times of a task that succeeded."""
        self._actual.add_run_time(queue, actual_ms)
        if declared_ms > 0:
            self._declared.add_run_time(queue, declared_ms)

    def expected_run_ms(self, queue, declared_ms):
        """Return the expected run time of a task, in ms."""
        mean_ms = self._actual.mean_ms(queue, None)
        if mean_ms is None:
            return float(declared_ms) or DEFAULT_RUN_MS
        declared_mean_ms = self._declared.mean_ms(queue, None)
        if declared_ms <= 0 or declared_mean_ms is None:
            return mean_ms
        return (mean_ms + declared_ms * mean_ms / declared_mean_ms) / 2
