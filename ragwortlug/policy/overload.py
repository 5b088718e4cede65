"""Which jobs an entry refuses because its processor can't handle more.

This answers for callers that come unevenly: the platform spreads them by a hash,
without regard to an entry's strength, so one entry may get twice what it can handle
while others are idle. Without a bound everything it has then waits in its event loop,
and nothing is answered in time.

Periodic ticks that stay late say that work waits in the loop. Then jobs are taken at
a bounded rate, below that at which the queue built up, which rises slowly as long as
ticks are in time; the others are refused at once, at a tenth of the cost. When that
lasts, the balancer is told to send callers elsewhere. A single late tick says nothing:
the process may have been paused.
"""

LAG_THRESHOLD_S = 0.025
# A queue that long is not only kept from growing: nothing is taken until it is shorter.
SEVERE_LAG_S = 0.1
BACKOFF = 0.7
# A bound shows in the ticks only when what was taken before has been worked off.
BACKOFF_EVERY_S = 0.3
GROWTH_PER_S = 0.5
# Tasks that are taken each second whatever the ticks say.
MIN_TASKS_PER_S = 20.0
RATE_WINDOW_S = 0.3
PEAK_WINDOW_S = 5.0
BURST_S = 0.1
# Share of the time in which jobs were refused lately, at which callers are to go
# elsewhere, and at which they may come again.
SATURATED_FRACTION = 0.3
RELIEVED_FRACTION = 0.05
FRACTION_WINDOW_S = 1.0
LONGEST_WEIGHT = 0.3


class LoadShedder:
    """How late the ticks of one process are, and how many tasks it takes.

    Parameters
    ----------
    period_s : float
        Seconds between two ticks.
    """

    def __init__(self, period_s):
        self._period_s = period_s
        self._ticked_at = None
        self._lag_s = 0.0
        self._lag_before_s = 0.0
        self._admitted = 0
        self._refused = 0
        self._admitted_per_s = 0.0
        self._peak_per_s = 0.0
        self._limit_per_s = None
        self._tokens = 0.0
        self._backed_off_at = float("-inf")
        self._refusing_fraction = 0.0
        self._saturated = False

    @property
    def lag_s(self):
        """Return by how many seconds ticks stay late."""
        return min(self._lag_s, self._lag_before_s)

    @property
    def limit_per_s(self):
        """Return how many tasks are taken each second at most, or None."""
        return self._limit_per_s

    @property
    def saturated(self):
        """Return whether callers are to go elsewhere."""
        return self._saturated

    def admit(self, tasks):
        """Return whether a job of that many tasks is taken, and count it."""
        if self._limit_per_s is not None:
            if self._tokens <= 0.0 or self.lag_s > SEVERE_LAG_S:
                self._refused += 1
                return False
            self._tokens -= tasks
        self._admitted += tasks
        return True

    def on_tick(self, now):
        """Take note of a tick, at monotonic seconds."""
        if self._ticked_at is not None:
            elapsed_s = now - self._ticked_at
            self._lag_before_s = self._lag_s
            self._lag_s = max(0.0, elapsed_s - self._period_s)
            self._measure(elapsed_s)
            self._adapt(elapsed_s, now)
        self._ticked_at = now

    def _measure(self, elapsed_s):
        """Take note of what came since the last tick."""
        weight = min(elapsed_s / RATE_WINDOW_S, LONGEST_WEIGHT)
        self._admitted_per_s += weight * (
            self._admitted / elapsed_s - self._admitted_per_s
        )
        fade = 1.0 - min(elapsed_s / PEAK_WINDOW_S, 1.0)
        self._peak_per_s = max(self._admitted_per_s, fade * self._peak_per_s)
        weight = min(elapsed_s / FRACTION_WINDOW_S, LONGEST_WEIGHT)
        self._refusing_fraction += weight * (
            (self._refused > 0) - self._refusing_fraction
        )
        bound = RELIEVED_FRACTION if self._saturated else SATURATED_FRACTION
        self._saturated = self._refusing_fraction > bound
        self._admitted = self._refused = 0

    def _adapt(self, elapsed_s, now):
        """Lower the bound while ticks are late, else raise it."""
        limit = self._limit_per_s
        if self.lag_s > LAG_THRESHOLD_S:
            shrinking = limit is not None and self._lag_s < self._lag_before_s
            if not shrinking and now - self._backed_off_at > BACKOFF_EVERY_S:
                self._backed_off_at = now
                before = self._peak_per_s if limit is None else limit
                limit = max(MIN_TASKS_PER_S, BACKOFF * before)
        elif self._refusing_fraction <= RELIEVED_FRACTION:
            limit = None
        elif limit is not None:
            limit *= 1.0 + GROWTH_PER_S * elapsed_s
        self._limit_per_s = limit
        if limit is None:
            self._tokens = 0.0
        else:
            self._tokens = min(self._tokens + limit * elapsed_s, limit * BURST_S)
