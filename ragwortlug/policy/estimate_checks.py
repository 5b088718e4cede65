"""Which jobs are admitted although they are estimated to miss their deadlines.

An estimate that refuses all jobs of a kind gets no measurement that could correct it.
So after it has refused jobs for a time, a single one is admitted to check it. If that
job ends in time, the estimate was wrong: further jobs are admitted against it, until
one of them misses its deadline. If not, the next check comes later.
"""

from dataclasses import dataclass

# Time from the first refusal until the first check, and the longest time between two.
FIRST_CHECK_S = 1.0
MAX_INTERVAL_S = 8.0
# A kind without refusals for this long is forgotten.
KEEP_S = 30.0


@dataclass(slots=True)
class _Check:
    """How far the estimates of one kind of job have been checked.

    Attributes
    ----------
    due_at : float
        Monotonic seconds from which a job may be admitted to check them.
    used_at : float
        Monotonic seconds of the latest job that they would refuse.
    interval_s : float
        Time to the next check if the current one confirms the estimates.
    under_way : bool
        Whether a job that checks them is open.
    disproved : bool
        Whether the latest such job ended in time.
    """

    due_at: float
    used_at: float
    interval_s: float = FIRST_CHECK_S
    under_way: bool = False
    disproved: bool = False


class EstimateChecks:
    """Decides by kind which jobs are admitted against an estimate.

    A kind is any hashable value; jobs of one kind have similar estimates.
    """

    def __init__(self):
        self._checks = {}

    def admit(self, kind, now):
        """Return whether a job that is estimated to miss its deadline is admitted.

        The end of each job that is admitted must be reported to `on_ended`.
        """
        check = self._checks.setdefault(kind, _Check(now + FIRST_CHECK_S, now))
        check.used_at = now
        if check.disproved:
            return True
        if check.under_way or now < check.due_at:
            return False
        check.under_way = True
        return True

    def on_ended(self, kind, in_time, now):
        """Record how a job ended that was admitted against an estimate.

        Parameters
        ----------
        in_time : bool or None
            Whether it ended in time; None if it ended for another reason.
        """
        check = self._checks.get(kind)
        if check is None:
            return
        check.under_way = False
        if in_time:
            check.disproved = True
            check.interval_s = FIRST_CHECK_S
            return
        check.due_at = now + check.interval_s
        if in_time is False:
            check.disproved = False
            check.interval_s = min(2 * check.interval_s, MAX_INTERVAL_S)

    def expire(self, now):
        """Forget the kinds of which no job was refused for long."""
        for kind, check in tuple(self._checks.items()):
            if not check.under_way and now - check.used_at > KEEP_S:
                del self._checks[kind]
