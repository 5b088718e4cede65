"""The ends that an agent has reported, so that it can repeat and explain them."""

import enum
from dataclasses import dataclass

from ragwortlug.restartable_model import RunEnd

MS_PER_S = 1000.0
MAX_KEPT = 5000
NEVER_STARTED = (RunEnd.NOT_STARTED, 0.0)


class EndProof(enum.StrEnum):
    """Why an agent reported a run as ended."""

    LISTED = "listed"
    NOT_LISTED = "not listed"
    NOT_STARTED = "not started"
    LEASE_EXPIRED = "lease expired"
    REPLACED = "replaced"


# A worker that lists such a run afterwards contradicts the report.
PRESUMPTIONS = frozenset(
    {EndProof.NOT_LISTED, EndProof.LEASE_EXPIRED, EndProof.REPLACED}
)


@dataclass(slots=True)
class ReportedEnd:
    """The report of a run's end to a dispatcher.

    Attributes
    ----------
    reported_at : float
        Monotonic seconds.
    seen_running : bool
        Whether the worker has listed the run as running when asked since.
    """

    end: RunEnd
    proof: EndProof
    dispatcher: str
    reported_at: float
    seen_running: bool = False

    @property
    def is_contradicted(self):
        """Return whether the report was wrong, if the worker lists the run's end now.

        A silent worker may have ended the run before its lease expired.
        """
        return self.proof is not EndProof.LEASE_EXPIRED or self.seen_running

    def describe(self, now):
        """Return fields of a log line; what matters most if it is cut comes first."""
        return {
            "proof": self.proof.value,
            "dispatcher": self.dispatcher,
            "reported": self.end.value,
            "reported_ms_ago": round((now - self.reported_at) * MS_PER_S),
        }


class EndedRuns:
    """The latest ends of the runs of one agent, by assignment and by attempt."""

    def __init__(self):
        # The end and the run time in ms, by the dispatcher's incarnation and number.
        self._by_assignment = {}
        self._by_attempt = {}

    def __contains__(self, key):
        return key in self._by_assignment

    def add(self, key, local_run, end, run_ms, proof, now):
        """Record how a run ended, as it was reported to its dispatcher."""
        _add(self._by_assignment, key, (end, run_ms))
        attempt = (local_run.task, local_run.run.attempt)
        if end is RunEnd.OUTDATED and attempt in self._by_attempt:
            # The worker refused it because of the run that was reported before.
            return
        address = local_run.dispatcher.address
        _add(self._by_attempt, attempt, ReportedEnd(end, proof, address, now))

    def refuse(self, key, end):
        """Record that an assignment was refused and how that was reported."""
        _add(self._by_assignment, key, (end, 0.0))

    def end_or_refuse(self, key):
        """Return an assignment's end and run time; refuse one that has not arrived."""
        return self._by_assignment.setdefault(key, NEVER_STARTED)

    def on_listed_running(self, task, attempt, requested_at):
        """Return the `ReportedEnd` of a run that is listed as running, or None.

        An agent that stood still may read a list that is older than its report.
        """
        reported = self._by_attempt.get((task, attempt))
        if reported is not None:
            reported.seen_running |= requested_at >= reported.reported_at
        return reported

    def on_listed_ended(self, task, attempt):
        """Return the `ReportedEnd` of a run whose end the worker lists only now.

        None if no end was reported, if the worker had confirmed it before, or if this
        was called for the run before.
        """
        reported = self._by_attempt.get((task, attempt))
        if reported is None or reported.proof not in PRESUMPTIONS:
            return None
        return self._by_attempt.pop((task, attempt))


def _add(ends, key, value):
    """Add an entry, and drop the oldest above the limit."""
    ends.pop(key, None)
    ends[key] = value
    while len(ends) > MAX_KEPT:
        del ends[next(iter(ends))]
