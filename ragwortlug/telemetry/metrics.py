"""Metrics: counters, gauges and HDR histograms, in the text exposition format."""

from collections import Counter

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.99, 0.999)
PERCENT = 100.0
US_PER_S = 1_000_000
PREFIX = "ragwortlug"


class Metrics:
    """The figures of one process."""

    def __init__(self):
        self._counters = Counter()
        self._histograms = {}
        self._gauges = {}
        self._registry = CollectorRegistry()
        self._registry.register(self)

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

    def exposition(self):
        """Return all figures in the text exposition format, as bytes."""
        return generate_latest(self._registry)

    def collect(self):
        """Yield the metric families; called by the exposition library."""
        families = {}
        for (name, label), value in sorted(self._counters.items()):
            if name not in families:
                families[name] = CounterMetricFamily(
                    f"{PREFIX}_{name}", f"Number of {name}.", labels=["kind"]
                )
            families[name].add_metric([label], value)
        yield from families.values()
        for name, read in self._gauges.items():
            yield GaugeMetricFamily(f"{PREFIX}_{name}", f"Present {name}.", read())
        for name, histogram in self._histograms.items():
            yield _summary(name, histogram)


def _summary(name, histogram):
    """Return a histogram's quantiles, in seconds."""
    full_name = f"{PREFIX}_{name}_seconds"
    family = Metric(full_name, f"Duration of {name}.", "summary")
    for quantile in QUANTILES:
        value = histogram.get_value_at_percentile(quantile * PERCENT) / US_PER_S
        family.add_sample(full_name, {"quantile": str(quantile)}, value)
    total = histogram.get_total_count()
    family.add_sample(f"{full_name}_count", {}, total)
    mean_us = histogram.get_mean_value() if total else 0
    family.add_sample(f"{full_name}_sum", {}, mean_us * total / US_PER_S)
    return family
