"""Outlier ejection: a target whose tasks fail in a row is taken out of rotation."""

FAILURES_TO_EJECT = 5
EJECTION_S = 2.0
MAX_EJECTION_S = 60.0


class WorkerHealth:
    """Decides whether a target should get work.

    After a number of consecutive failures the target is ejected: it gets no tasks
    for `EJECTION_S`, then one probe task at a time. A success ends the ejection,
    a further failure doubles its duration, up to `MAX_EJECTION_S`.

    Parameters
    ----------
    failures_to_eject : int
        Number of consecutive failures after which the target is ejected.
    """

    def __init__(self, failures_to_eject=FAILURES_TO_EJECT):
        self._failures_to_eject = failures_to_eject
        self._failures = 0
        self._ejection_s = EJECTION_S
        self._ejected_until = None
        self._probing = False

    @property
    def ejected(self):
        """Return whether the target is ejected and gets probe tasks at most."""
        return self._ejected_until is not None

    def usable_slots(self, free_slots, now):
        """Return how many of the free slots may be used now."""
        if self._ejected_until is None:
            return free_slots
        if now < self._ejected_until or self._probing:
            return 0
        return min(free_slots, 1)

    def on_started(self):
        """Record that a task was started; during an ejection it is the probe."""
        self._probing = self.ejected

    def undo_failure(self):
        """Remove one failure that the target did not cause."""
        self._failures = max(0, self._failures - 1)

    def on_start_failed(self):
        """Record that a task could not be started."""
        self._probing = False

    def on_succeeded(self):
        """Record that a task succeeded."""
        self._failures = 0
        self._ejection_s = EJECTION_S
        self._ejected_until = None
        self._probing = False

    def on_failed(self, now):
        """Record that a task failed."""
        self._failures += 1
        self._probing = False
        if self._failures < self._failures_to_eject:
            return
        if self._ejected_until is not None:
            self._ejection_s = min(self._ejection_s * 2, MAX_EJECTION_S)
        self._ejected_until = now + self._ejection_s
