"""Load shedding: which jobs an entry refuses because its processor is overloaded.

The platform distributes callers over the entries by a hash, without regard to the
capacity of an entry, so one entry may get twice the load that it can handle while
others are idle. Without a limit, all its work then waits in its event loop, and no
request is answered in time.

Periodic ticks that stay late show that work waits in the loop. The entry then limits
the rate at which it admits jobs, to below the rate at which the queue built up. The
limit rises slowly while ticks are on time. Other jobs are refused at once, which costs
a tenth of handling them. Where the link is the bottleneck, ticks are on time and
messages wait to be sent: round trips to agents beyond the usual count as lag too,
since assignments that arrive too late are refused and would be sent again. If refusals
continue, the load balancer is told to send callers to other entries. A single late tick
is ignored, since the process may have been paused.

While jobs of different priorities arrive, `policy/priority_tokens.py` divides the
limit among them.
"""

from ragwortlug.policy.priority_tokens import PriorityTokens

LAG_THRESHOLD_S = 0.025
# At this lag no job is admitted at all until the queue is shorter.
SEVERE_LAG_S = 0.1
# Round trips between data centres far apart, with some work at both ends.
MAX_ROUND_TRIP_S = 0.05
BACKOFF_FACTOR = 0.7
# A lower limit affects the ticks only after the work admitted before it is done.
BACKOFF_INTERVAL_S = 0.3
GROWTH_PER_S = 0.5
# The rate limit is never lower than this, however late the ticks are.
MIN_TASKS_PER_S = 20.0
RATE_WINDOW_S = 0.3
PEAK_WINDOW_S = 5.0
BURST_S = 0.1
# Fractions of recent time with refusals at which callers are sent to other entries, and
# at which they are accepted again.
SATURATED_FRACTION = 0.3
RELIEVED_FRACTION = 0.05
FRACTION_WINDOW_S = 1.0
# Upper bound of the weight of one tick interval in the moving averages.
MAX_INTERVAL_WEIGHT = 0.3


class LoadShedder:
    """Limits the rate of admitted tasks by the lag of one process.

    Parameters
    ----------
    period_s : float
        Seconds between two ticks.
    """

    def __init__(self, period_s):
        self._period_s = period_s
        self._ticked_at = None
        self._lag_s = 0.0
        self._previous_lag_s = 0.0
        self._admitted = 0
        self._refused = 0
        self._admitted_per_s = 0.0
        self._peak_per_s = 0.0
        self._limit_per_s = None
        self._tokens = PriorityTokens(BURST_S)
        self._backed_off_at = float("-inf")
        self._refusing_fraction = 0.0
        self._saturated = False

    @property
    def lag_s(self):
        """Return the lag in seconds: the smaller one at the last two ticks."""
        return min(self._lag_s, self._previous_lag_s)

    @property
    def limit_per_s(self):
        """Return the maximum of admitted tasks per second, or None for no limit."""
        return self._limit_per_s

    @property
    def saturated(self):
        """Return whether callers should be sent to other entries."""
        return self._saturated

    def admit(self, tasks, priority=0):
        """Return whether a job of that many tasks is admitted, and count it.

        Parameters
        ----------
        priority : int
            The priority of the job's queue. The least urgent jobs are refused first,
            but each priority keeps a share of the limit.
        """
        self._tokens.on_arrival(tasks, priority)
        if self._limit_per_s is not None:
            severe = self.lag_s > SEVERE_LAG_S
            if severe or not self._tokens.take(tasks, priority):
                self._refused += 1
                return False
        self._admitted += tasks
        return True

    def on_tick(self, now, round_trip_s=0.0):
        """Update the lag and the rate limit.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        round_trip_s : float
            How long a message to an agent and its answer take, in seconds.
        """
        if self._ticked_at is not None:
            elapsed_s = now - self._ticked_at
            self._previous_lag_s = self._lag_s
            tick_lag_s = elapsed_s - self._period_s
            self._lag_s = max(0.0, tick_lag_s, round_trip_s - MAX_ROUND_TRIP_S)
            self._update_rates(elapsed_s)
            self._update_limit(elapsed_s, now)
        self._ticked_at = now

    def _update_rates(self, elapsed_s):
        """Update the moving averages with the jobs since the last tick."""
        weight = min(elapsed_s / RATE_WINDOW_S, MAX_INTERVAL_WEIGHT)
        self._admitted_per_s += weight * (
            self._admitted / elapsed_s - self._admitted_per_s
        )
        decay = 1.0 - min(elapsed_s / PEAK_WINDOW_S, 1.0)
        self._peak_per_s = max(self._admitted_per_s, decay * self._peak_per_s)
        weight = min(elapsed_s / FRACTION_WINDOW_S, MAX_INTERVAL_WEIGHT)
        self._refusing_fraction += weight * (
            (self._refused > 0) - self._refusing_fraction
        )
        threshold = RELIEVED_FRACTION if self._saturated else SATURATED_FRACTION
        self._saturated = self._refusing_fraction > threshold
        self._admitted = self._refused = 0

    def _update_limit(self, elapsed_s, now):
        """Lower the limit while ticks are late; else raise or remove it."""
        limit = self._limit_per_s
        if self.lag_s > LAG_THRESHOLD_S:
            lag_falls = limit is not None and self._lag_s < self._previous_lag_s
            if not lag_falls and now - self._backed_off_at > BACKOFF_INTERVAL_S:
                self._backed_off_at = now
                rate_per_s = self._peak_per_s if limit is None else limit
                limit = max(MIN_TASKS_PER_S, BACKOFF_FACTOR * rate_per_s)
        elif self._refusing_fraction <= RELIEVED_FRACTION:
            limit = None
        elif limit is not None:
            limit *= 1.0 + GROWTH_PER_S * elapsed_s
        self._limit_per_s = limit
        self._tokens.refill(limit, elapsed_s)
