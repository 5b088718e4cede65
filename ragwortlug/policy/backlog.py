"""Forecasts when work that goes last can start, to refuse in time what can't.

In an overload, jobs that miss their latency objective wait behind all others. Whether
they are served before their callers' deadlines depends on how much capacity the others
leave, here and at other dispatchers. The forecast therefore follows the rate at which
such late work is started while some of it waits.
"""

import math

from ragwortlug.policy.job_ranking import misses_deadline

MS_PER_S = 1000.0
# Time constant of the moving averages of rates.
SMOOTHING_S = 1.0
# Nothing is forecast before rates have been observed for this long.
WARM_UP_S = 1.0
# Bounds of the time after which refused callers may return.
MIN_RETRY_S = 1
MAX_RETRY_S = 5


class LateWork:
    """The rate at which late work of one service is started.

    Work is in core-milliseconds, rates are in core-milliseconds per second.
    """

    def __init__(self):
        self._since = None
        self._updated_at = None
        self._started = 0.0
        self._late_started = 0.0
        self._rate = 0.0
        self._late_rate = 0.0

    @property
    def _is_warm(self):
        """Whether rates have been observed for long enough."""
        return self._since is not None and self._updated_at - self._since >= WARM_UP_S

    def on_started(self, work, is_late):
        """Record work that was started."""
        self._started += work
        if is_late:
            self._late_started += work

    def update(self, waiting, now):
        """Update the rates; `waiting` says whether late work has been waiting.

        Without waiting late work, its rate is not known: it is set to that of all work.
        """
        if self._since is None:
            self._since = self._updated_at = now
        elapsed_s = now - self._updated_at
        self._updated_at = now
        if elapsed_s <= 0.0:
            return
        weight = 1.0 - math.exp(-elapsed_s / SMOOTHING_S)
        self._rate += weight * (self._started / elapsed_s - self._rate)
        if waiting:
            late_rate = self._late_started / elapsed_s
            self._late_rate += weight * (late_rate - self._late_rate)
        else:
            self._late_rate = self._rate
        self._started = self._late_started = 0.0

    def unreachable(self, ranked, now):
        """Return the late jobs that can't start before it is too late for them.

        Parameters
        ----------
        ranked : list of (Rank, RestartableRecord)
            The waiting jobs of the service in their order.

        Returns
        -------
        list of (RestartableRecord, int)
            Jobs of which nothing may have started, and the seconds after which the
            caller of each may return.
        """
        late = [record for rank, record in ranked if rank.misses_objective]
        self.update(bool(late), now)
        unreachable = []
        all_work = sum(record.remaining_work() for _, record in ranked)
        late_work_ahead = 0.0
        for record in late:
            starts_at = now + self.wait_s(late_work_ahead)
            path_ms = record.least_path_ms(now)
            if record.begun or not misses_deadline(path_ms, record.deadline, starts_at):
                late_work_ahead += record.remaining_work()
                continue
            unreachable.append((record, self.retry_after_s(all_work)))
            all_work += record.remaining_work()
        return unreachable

    def wait_s(self, work_ahead):
        """Return the seconds until late work behind `work_ahead` can start."""
        if work_ahead <= 0.0 or not self._is_warm:
            return 0.0
        return math.inf if self._late_rate <= 0.0 else work_ahead / self._late_rate

    def retry_after_s(self, work_waiting):
        """Return the whole seconds after which refused callers may return."""
        if self._rate <= 0.0:
            return MAX_RETRY_S
        wait_s = math.ceil(work_waiting / self._rate)
        return min(max(wait_s, MIN_RETRY_S), MAX_RETRY_S)
