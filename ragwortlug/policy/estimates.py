"""Estimates: run times learned for each service, as declared ones are far off."""

FIRST_GUESS_MS = 400.0
WEIGHT_OF_NEWEST = 0.05


class RunTimes:
    """The smoothed run time of each service, in milliseconds."""

    def __init__(self):
        self._mean_ms = {}

    def learn(self, service, run_ms):
        """Take the run time of a task that ended."""
        known = self._mean_ms.get(service)
        if known is None:
            self._mean_ms[service] = run_ms
        else:
            self._mean_ms[service] = known + WEIGHT_OF_NEWEST * (run_ms - known)

    def mean_ms(self, service):
        """Return the expected run time of a task."""
        return self._mean_ms.get(service, FIRST_GUESS_MS)

    def wait_ms(self, service, tasks_ahead, slots):
        """Return the expected wait behind the tasks ahead, on so many slots."""
        return tasks_ahead * self.mean_ms(service) / max(slots, 1)
