"""Figures: latency histograms and how results are printed."""

import json

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1000


def histogram(seconds):
    """Return an HDR histogram of durations, in microseconds."""
    found = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    for each in seconds:
        found.record_value(max(LOWEST_US, int(each * US_PER_S)))
    return found


def quantiles_ms(seconds):
    """Return p50, p99 and p99.9 of durations, in milliseconds."""
    found = histogram(seconds)
    return {
        f"p{quantile:g}": round(found.get_value_at_percentile(quantile) / US_PER_MS, 3)
        for quantile in (50, 99, 99.9)
    }


def quantile(values, percent):
    """Return a quantile of some values; 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


def print_line(**fields):
    """Print one result as a line of JSON."""
    print(json.dumps(fields), flush=True)
