"""Divides a limited rate of tasks among the priorities of the arriving jobs.

Each priority has a token bucket. Its rate is half of what it would get if priorities
did not count, and of the rest as much as it demands and more urgent priorities leave.
A demand is estimated from the tasks that arrived lately, admitted or not. What no
priority demands is added to the rate of the most urgent one. With one priority the
whole limit is its rate.
"""

from collections import Counter

# This share of the limit is divided by demand alone, so that no priority starves: each
# is admitted at least half as often as jobs are on average. Equal parts, tried first,
# let in more of a rare priority than of a more urgent frequent one.
GUARANTEED_SHARE = 0.5
# Time constant of the demand. It is longer than the interval between two reductions of
# the limit, so that a limit is divided by what arrived before it was lowered too.
DEMAND_WINDOW_S = 0.5
# Upper bound of the weight of one interval in the moving averages.
MAX_INTERVAL_WEIGHT = 0.3
# A priority with less demand than this is forgotten.
MIN_DEMAND_PER_S = 0.1


class PriorityTokens:
    """Token buckets of the priorities.

    Parameters
    ----------
    burst_s : float
        Seconds of its rate that a bucket holds.
    """

    def __init__(self, burst_s):
        self._burst_s = burst_s
        self._arrived = Counter()
        self._demands = {}
        self._tokens = {}

    def on_arrival(self, tasks, priority):
        """Count the tasks of a job that arrived."""
        self._arrived[priority] += tasks

    def take(self, tasks, priority):
        """Take the tokens of a job; return whether there were any.

        A priority that was not known at the last refill takes those of the most urgent.
        """
        if priority not in self._tokens:
            priority = min(self._tokens, default=priority)
        tokens = self._tokens.get(priority, 0.0)
        if tokens <= 0.0:
            return False
        self._tokens[priority] = tokens - tasks
        return True

    def refill(self, limit_per_s, elapsed_s):
        """Add the tokens of an interval; without a limit, there are none."""
        self._update_demands(elapsed_s)
        if limit_per_s is None:
            self._tokens.clear()
            return
        rates = divide(limit_per_s, self._demands)
        previous, self._tokens = self._tokens, {}
        # What a full bucket can't hold goes to the next less urgent priority.
        overflow = 0.0
        for priority in sorted(rates):
            added = rates[priority] * elapsed_s + overflow
            tokens = previous.get(priority, 0.0) + added
            self._tokens[priority] = min(tokens, rates[priority] * self._burst_s)
            overflow = tokens - self._tokens[priority]

    def _update_demands(self, elapsed_s):
        """Update the moving averages of the tasks that arrive per second."""
        weight = min(elapsed_s / DEMAND_WINDOW_S, MAX_INTERVAL_WEIGHT)
        for priority in {*self._demands, *self._arrived}:
            demand = self._demands.get(priority, 0.0)
            demand += weight * (self._arrived[priority] / elapsed_s - demand)
            self._demands[priority] = demand
            if demand < MIN_DEMAND_PER_S:
                del self._demands[priority]
        self._arrived.clear()


def divide(limit_per_s, demands):
    """Return the rate of each priority under a limit, a dict.

    Parameters
    ----------
    demands : dict
        Tasks per second that arrive, by priority.
    """
    if not demands:
        return {0: limit_per_s}
    demanded = sum(demands.values())
    admitted = min(limit_per_s / demanded, 1.0)
    rates = {
        priority: GUARANTEED_SHARE * admitted * demand
        for priority, demand in demands.items()
    }
    rest = limit_per_s - sum(rates.values())
    for priority in sorted(demands):
        added = min(demands[priority] - rates[priority], rest)
        rates[priority] += added
        rest -= added
    rates[min(demands)] += rest
    return rates
