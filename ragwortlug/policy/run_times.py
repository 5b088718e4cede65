"""Estimates: run times learned for each service, as declared ones are far off."""

FIRST_GUESS_MS = 400.0
SMOOTHING_FACTOR = 0.05


class MeanRunTimes:
    """The smoothed run time of each service, in milliseconds.

    Parameters
    ----------
    weight : float
        Weight of the newest run time.
    """

    def __init__(self, weight=SMOOTHING_FACTOR):
        self._weight = weight
        self._mean_ms = {}

    def add_run_time(self, service, run_ms):
        """Take the run time of a task that ended."""
        known = self._mean_ms.get(service)
        if known is None:
            self._mean_ms[service] = run_ms
        else:
            self._mean_ms[service] = known + self._weight * (run_ms - known)

    def mean_ms(self, service, first_guess_ms=FIRST_GUESS_MS):
        """Return the expected run time of a task; the first guess if none is known."""
        return self._mean_ms.get(service, first_guess_ms)

    def expected_wait_ms(self, service, tasks_ahead, slots):
        """Return the expected wait behind the tasks ahead, on so many slots."""
        return tasks_ahead * self.mean_ms(service) / max(slots, 1)
