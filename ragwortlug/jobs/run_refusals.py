"""Why an agent refuses to start an assigned run, and the event that says so."""

import enum

from ragwortlug.events import Event, EventName
from ragwortlug.restartable_model import RunEnd


class RefusalReason(enum.StrEnum):
    """The reason of a refusal, as operators see it."""

    NO_PERMISSION = "no permission"
    NOT_ACCEPTING = "not accepting"
    EVACUATED = "evacuated"
    OTHER_KIND = "other kind"
    ENDED = "ended"
    SAME_TASK = "same task"
    RESERVED = "reserved"
    FULL = "full"

    @property
    def end(self):
        """Return the `RunEnd` that is reported to the dispatcher."""
        ended = self is RefusalReason.ENDED
        return RunEnd.NOT_STARTED if ended else RunEnd.NO_RESOURCES


def run_refused(run, reason, **fields):
    """Return the event of a refused run; `fields` say what the agent knew."""
    fields = {"number": run.number, "end": reason.end.value, "reason": reason} | fields
    return Event(EventName.RUN_REFUSED, run.job_id, fields)
