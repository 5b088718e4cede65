"""Exposition of a process's metrics in the Prometheus text format."""

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from ragwortlug.telemetry.metrics import US_PER_S

QUANTILES = (0.5, 0.99, 0.999)
PERCENT = 100.0
PREFIX = "ragwortlug"


def exposition_of(metrics):
    """Return all metrics of a `Metrics` in the Prometheus text format, as bytes."""
    registry = CollectorRegistry()
    registry.register(_Collector(metrics))
    return generate_latest(registry)


class _Collector:
    """Supplies the metric families of a `Metrics` to the Prometheus client library."""

    def __init__(self, metrics):
        self._metrics = metrics

    def collect(self):
        """Yield the families of the counters, the gauges and the histograms."""
        families = {}
        for (name, label), value in sorted(self._metrics.counters.items()):
            if name not in families:
                families[name] = CounterMetricFamily(
                    f"{PREFIX}_{name}", f"Number of {name}.", labels=["kind"]
                )
            families[name].add_metric([label], value)
        yield from families.values()
        for name, read_gauge in self._metrics.gauges.items():
            yield GaugeMetricFamily(
                f"{PREFIX}_{name}", f"Present {name}.", read_gauge()
            )
        for name, histogram in self._metrics.histograms.items():
            yield _summary_family(name, histogram)


def _summary_family(name, histogram):
    """Return a histogram's quantiles and sum, in seconds, and its count."""
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
