"""Metrics: counters, gauges and HDR histograms."""

from collections import Counter

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000


class Metrics:
    """The figures of one process."""

    def __init__(self):
        self._counters = Counter()
        self._histograms = {}
        self._gauges = {}

    @property
    def counters(self):
        """Return the counters, by name and label."""
        return self._counters

    @property
    def gauges(self):
        """Return the functions that read the gauges, by name."""
        return self._gauges

    @property
    def histograms(self):
        """Return the histograms, in microseconds, by name."""
        return self._histograms

    def count(self, name, label="", by=1):
        """Add to a counter; `label` tells kinds of the same thing apart."""
        self._counters[(name, label)] += by

    def counter(self, name, label=""):
        """Return the value of a counter."""
        return self._counters[(name, label)]

    def gauge(self, name, read):
        """Serve what the function `read` returns as a gauge."""
        self._gauges[name] = read

    def time(self, name, seconds):
        """Record a duration in a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self._histograms[name] = histogram
        histogram.record_value(max(LOWEST_US, int(seconds * US_PER_S)))
