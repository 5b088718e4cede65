"""Stragglers: agents whose tasks take far longer than elsewhere get one at a time.

Run times of one service differ from task to task, so an agent counts as slow only
by the smoothed mean of many, against the median of all agents known. The one task
that it still gets shows when it has recovered.
"""

from dataclasses import dataclass
from statistics import median

NEWEST_WEIGHT = 0.1
LEAST_SAMPLES = 8
LEAST_AGENTS = 3
SLOW_FACTOR = 2.5


@dataclass(slots=True)
class RunTime:
    """The smoothed run time of an agent's tasks, in milliseconds."""

    mean_ms: float
    samples: int


class Stragglers:
    """Which agents are slow, by what one home has seen."""

    def __init__(self):
        self._run_times = {}
        self._slow = frozenset()

    @property
    def slow(self):
        """Return the incarnations of the agents that are slow."""
        return self._slow

    def learn(self, incarnation, run_ms):
        """Take the run time of a task that ended well."""
        known = self._run_times.get(incarnation)
        if known is None:
            self._run_times[incarnation] = RunTime(run_ms, 1)
            return
        known.mean_ms += NEWEST_WEIGHT * (run_ms - known.mean_ms)
        known.samples += 1
        self._judge()

    def keep(self, incarnations):
        """Forget all agents but these."""
        for each in [each for each in self._run_times if each not in incarnations]:
            del self._run_times[each]
        self._judge()

    def _judge(self):
        """Compare every agent with the median."""
        known = {
            name: each.mean_ms
            for name, each in self._run_times.items()
            if each.samples >= LEAST_SAMPLES
        }
        if len(known) < LEAST_AGENTS:
            self._slow = frozenset()
            return
        limit_ms = SLOW_FACTOR * median(known.values())
        self._slow = frozenset(name for name, ms in known.items() if ms > limit_ms)
