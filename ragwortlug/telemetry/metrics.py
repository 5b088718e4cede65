"""Metrics: counters, gauges and HDR histograms."""

from collections import Counter

from hdrh.histogram import HdrHistogram

MIN_DURATION_US = 1
MAX_DURATION_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000


class Metrics:
    """The metrics of one process."""

    def __init__(self):
        self._counters = Counter()
        self._histograms = {}
        self._gauges = {}

    @property
    def counters(self):
        """Return the values of the counters, by (name, label)."""
        return self._counters

    @property
    def gauges(self):
        """Return the functions that read the gauges, by name."""
        return self._gauges

    @property
    def histograms(self):
        """Return the histograms of durations, in microseconds, by name."""
        return self._histograms

    def count(self, name, label="", by=1):
        """Add `by` to a counter; `label` distinguishes the kinds of one name."""
        self._counters[(name, label)] += by

    def counter(self, name, label=""):
        """Return the value of a counter; 0 if it was never increased."""
        return self._counters[(name, label)]

    def gauge(self, name, read):
        """Register a gauge; the function `read` returns its present value."""
        self._gauges[name] = read

    def time(self, name, seconds):
        """Record a duration, in seconds, in the histogram of that name."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(
                MIN_DURATION_US, MAX_DURATION_US, SIGNIFICANT_DIGITS
            )
            self._histograms[name] = histogram
        histogram.record_value(max(MIN_DURATION_US, int(seconds * US_PER_S)))
