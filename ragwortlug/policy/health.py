"""Worker health: a target that fails what it starts is taken out of rotation."""

FAILURES_TO_EJECT = 5
EJECTION_S = 2.0
MAX_EJECTION_S = 60.0


class WorkerHealth:
    """Decides whether a target should get work.

    After some failures in a row the target rests; then one probe task at a time
    is let through. A success ends the rest, a failure doubles it.

    Parameters
    ----------
    failures_to_eject : int
        How many failures in a row begin a rest.
    """

    def __init__(self, failures_to_eject=FAILURES_TO_EJECT):
        self._failures_to_eject = failures_to_eject
        self._failures = 0
        self._ejection_s = EJECTION_S
        self._ejected_until = None
        self._probing = False

    @property
    def ejected(self):
        """Return whether the target is out of rotation, probes apart."""
        return self._ejected_until is not None

    def usable_slots(self, free_slots, now):
        """Return how many of the free slots may be used now."""
        if self._ejected_until is None:
            return free_slots
        if now < self._ejected_until or self._probing:
            return 0
        return min(free_slots, 1)

    def on_started(self):
        """Take note of a start."""
        self._probing = self.ejected

    def undo_failure(self):
        """Take back one failure that was not the target's."""
        self._failures = max(0, self._failures - 1)

    def on_start_failed(self):
        """Take note that a start did not come about."""
        self._probing = False

    def on_succeeded(self):
        """Take note of a task that ended well."""
        self._failures = 0
        self._ejection_s = EJECTION_S
        self._ejected_until = None
        self._probing = False

    def on_failed(self, now):
        """Take note of a task that failed."""
        self._failures += 1
        self._probing = False
        if self._failures < self._failures_to_eject:
            return
        if self._ejected_until is not None:
            self._ejection_s = min(self._ejection_s * 2, MAX_EJECTION_S)
        self._ejected_until = now + self._ejection_s
