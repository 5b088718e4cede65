"""Mean measured run times of each service, since declared ones are far off."""

DEFAULT_RUN_MS = 400.0
SMOOTHING_FACTOR = 0.05


class MeanRunTimes:
    """The exponentially smoothed run time of each service, in milliseconds.

    Parameters
    ----------
    smoothing_factor : float
        Weight of the newest run time.
    """

    def __init__(self, smoothing_factor=SMOOTHING_FACTOR):
        self._smoothing_factor = smoothing_factor
        self._mean_ms = {}

    def add_run_time(self, service, run_ms):
        """Record the run time of a task that ended."""
        mean_ms = self._mean_ms.get(service)
        if mean_ms is None:
            self._mean_ms[service] = run_ms
        else:
            self._mean_ms[service] = mean_ms + self._smoothing_factor * (
                run_ms - mean_ms
            )

    def mean_ms(self, service, default_ms=DEFAULT_RUN_MS):
        """Return the mean run time of a service; `default_ms` if none is recorded."""
        return self._mean_ms.get(service, default_ms)

    def expected_wait_ms(self, service, tasks_ahead, slots):
        """Return the expected wait, in ms, behind the tasks ahead on these slots."""
        return tasks_ahead * self.mean_ms(service) / max(slots, 1)
