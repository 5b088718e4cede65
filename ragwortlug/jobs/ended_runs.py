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


@dataclass(frozen=True, slots=True)
class ReportedEnd:
    """The report of a run's end to a dispatcher, at `reported_at` monotonic seconds."""

    end: RunEnd
    proof: EndProof
    dispatcher: str
    reported_at: float


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
        address = local_run.dispatcher.address
        _add(self._by_attempt, attempt, ReportedEnd(end, proof, address, now))

    def refuse(self, key, end):
        """Record that an assignment was refused and how that was reported."""
        _add(self._by_assignment, key, (end, 0.0))

    def end_or_refuse(self, key):
        """Return an assignment's end and run time; refuse one that has not arrived."""
        return self._by_assignment.setdefault(key, NEVER_STARTED)

    def describe(self, task, attempt, now):
        """Return fields of a log line that say whether and how an end was reported."""
        reported = self._by_attempt.get((task, attempt))
        if reported is None:
            return {"reported": None}
        return {
            "reported": reported.end.value,
            "proof": reported.proof.value,
            "dispatcher": reported.dispatcher,
            "reported_ms_ago": round((now - reported.reported_at) * MS_PER_S),
        }


def _add(ends, key, value):
    """Add an entry, and drop the oldest above the limit."""
    ends.pop(key, None)
    ends[key] = value
    while len(ends) > MAX_KEPT:
        del ends[next(iter(ends))]
