"""Estimates of run times from declared estimates and measured run times.

Declared estimates are far off for single jobs, and so is the mean run time of a
queue, but their errors are independent, so the estimate is the mean of both. The
declared estimate is scaled by the ratio of the queue's measured to declared mean.

Tasks of one queue may differ a hundred times, so only those of similar declared size
are compared. Measurements count for less as time passes: jobs that are refused because
of an estimate don't correct it, so without new measurements it returns to the declared
one.
"""

import math
from dataclasses import dataclass

from ragwortlug.policy.run_times import DEFAULT_RUN_MS

# Declared estimates within this factor belong to one size class.
SIZE_CLASS_RATIO = 4.0
# Upper bound of the number of measurements that the means are taken over.
MAX_SAMPLES = 50.0
# The declared estimate counts as that many measurements.
DECLARED_SAMPLES = 2.0
# Time in which a measurement loses half of its weight.
HALF_LIFE_S = 5.0
# A size class without that many measurements left is removed.
MIN_SAMPLES = 0.01


@dataclass(frozen=True, slots=True)
class RunTimeEstimate:
    """The estimated run time of a task on a worker of average speed.

    Attributes
    ----------
    expected_ms : float
        The expected run time.
    least_ms : float
        The expected run time less the typical error of such estimates.
    """

    expected_ms: float
    least_ms: float


@dataclass(slots=True)
class _SizeClass:
    """Weighted means over the measured tasks of one queue and declared size.

    Attributes
    ----------
    samples : float
        The number of measurements, by their remaining weight.
    updated_at : float
        Monotonic seconds of the latest measurement.
    actual_ms, declared_ms : float
        Mean measured and declared run times.
    squared_error : float
        Mean square of the relative errors of the estimates.
    """

    samples: float
    updated_at: float
    actual_ms: float
    declared_ms: float
    squared_error: float = 0.0

    def samples_at(self, now):
        """Return the number of measurements by their weight at that time."""
        return self.samples * 0.5 ** ((now - self.updated_at) / HALF_LIFE_S)

    def add(self, declared_ms, actual_ms, error, now):
        """Add a measurement; `error` is the relative error of its estimate."""
        self.samples = min(self.samples_at(now) + 1.0, MAX_SAMPLES)
        self.updated_at = now
        weight = 1.0 / self.samples
        self.actual_ms += weight * (actual_ms - self.actual_ms)
        self.declared_ms += weight * (declared_ms - self.declared_ms)
        self.squared_error += weight * (error * error - self.squared_error)


class RunTimeEstimator:
    """Estimates the run times of each queue on a worker of average speed."""

    def __init__(self):
        self._size_classes = {}

    def add_run_time(self, queue, declared_ms, actual_ms, now):
        """Record the declared and actual run times of a task that succeeded."""
        key = queue, size_class(declared_ms)
        measured = self._size_classes.get(key)
        if measured is None:
            measured = _SizeClass(0.0, now, actual_ms, float(declared_ms))
            self._size_classes[key] = measured
        expected_ms = self.estimate(queue, declared_ms, now).expected_ms
        error = actual_ms / max(expected_ms, 1.0) - 1.0
        measured.add(declared_ms, actual_ms, error, now)

    def estimate(self, queue, declared_ms, now):
        """Return the `RunTimeEstimate` of a task."""
        unmeasured_ms = float(declared_ms) or DEFAULT_RUN_MS
        measured = self._size_classes.get((queue, size_class(declared_ms)))
        if measured is None:
            return RunTimeEstimate(unmeasured_ms, unmeasured_ms)
        measured_ms = measured.actual_ms
        if declared_ms > 0:
            scaled_ms = declared_ms * measured.actual_ms / measured.declared_ms
            measured_ms = (measured_ms + scaled_ms) / 2
        samples = measured.samples_at(now)
        confidence = samples / (samples + DECLARED_SAMPLES)
        expected_ms = unmeasured_ms + confidence * (measured_ms - unmeasured_ms)
        typical_error = min(confidence * math.sqrt(measured.squared_error), 1.0)
        return RunTimeEstimate(expected_ms, (1.0 - typical_error) * expected_ms)

    def expire(self, now):
        """Forget the size classes whose measurements no longer count."""
        expired = [
            key
            for key, measured in self._size_classes.items()
            if measured.samples_at(now) < MIN_SAMPLES
        ]
        for key in expired:
            del self._size_classes[key]


def size_class(declared_ms):
    """Return the number of the size class of a declared run time; -1 if none."""
    if declared_ms <= 0:
        return -1
    return int(math.log(max(declared_ms, 1.0), SIZE_CLASS_RATIO))
