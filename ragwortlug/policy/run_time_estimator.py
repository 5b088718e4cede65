"""Forecasts of run times from declared estimates and from what was seen.

Declared estimates are far off for single jobs, and so is the mean of a queue, but
their errors are independent: the forecast is the mean of both.
"""

from ragwortlug.policy.run_times import FIRST_GUESS_MS, MeanRunTimes

SMOOTHING_FACTOR = 0.02


class RunTimeEstimator:
    """Learns the run times of each queue on a worker of average speed."""

    def __init__(self):
        self._actual = MeanRunTimes(SMOOTHING_FACTOR)
        self._declared = MeanRunTimes(SMOOTHING_FACTOR)

    def add_run_time(self, queue, declared_ms, actual_ms):
        """Take the run time of a task that ended well."""
        self._actual.add_run_time(queue, actual_ms)
        if declared_ms > 0:
            self._declared.add_run_time(queue, declared_ms)

    def expected_run_ms(self, queue, declared_ms):
        """Return the expected run time of a task."""
        mean_ms = self._actual.mean_ms(queue, None)
        if mean_ms is None:
            return float(declared_ms) or FIRST_GUESS_MS
        declared_mean_ms = self._declared.mean_ms(queue, None)
        if declared_ms <= 0 or declared_mean_ms is None:
            return mean_ms
        return (mean_ms + declared_ms * mean_ms / declared_mean_ms) / 2
