"""Counts what callers send that is not accepted, and logs it at a bounded rate."""

import time

from ragwortlug.events import EventName
from ragwortlug.io.request_limits import Rejection, RejectionCounts
from ragwortlug.telemetry.logs import OnceLogger, logger

LOG_INTERVAL_S = 5.0
METRIC = "rejected_requests"

log = logger("rejections")
once_log = OnceLogger(log)


class Rejections:
    """Counts rejections in the metrics, and logs them without the callers' bytes.

    It also is the logger of the HTTP library, whose lines hold callers' bytes.

    Parameters
    ----------
    metrics : Metrics or None
        Has a counter for each kind.
    journal : Journal or None
        Gets the counts as an event; without it, they are a line of the log.
    """

    def __init__(self, metrics, journal):
        self._metrics = metrics
        self._journal = journal
        self._counts = RejectionCounts(LOG_INTERVAL_S)

    def add(self, kind):
        """Count a rejection, and log it if a line is due."""
        self._counts.add(kind.value)
        if self._metrics is not None:
            self._metrics.count(METRIC, kind.value)
        self.write(time.monotonic())

    def write(self, now):
        """Log the counts if a line is due."""
        counts = self._counts.take_due(now)
        if not counts:
            return
        if self._journal is not None:
            self._journal.write_event(EventName.REQUESTS_REJECTED, counts=counts)
        else:
            shown = ", ".join(f"{kind} {counts[kind]}" for kind in sorted(counts))
            log.warning("Rejected from callers since the last such line: {}.", shown)

    def exception(self, _message, *_arguments, exc_info=None):
        """Count an error that the HTTP library reports; log each type once."""
        self.add(Rejection.LIBRARY)
        kind = type(exc_info).__name__
        once_log.warning(kind, "The HTTP library reports {}.", kind)

    error = warning = exception

    def debug(self, _message, *_arguments, **_options):
        """Ignore a debug message of the HTTP library."""
