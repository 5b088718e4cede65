"""The reason of a refusal of a job that has not started, and the response to it."""

from dataclasses import dataclass, field

from ragwortlug.codes import Code
from ragwortlug.events import Event, EventName
from ragwortlug.jobs.request_answer import RequestAnswer, default_retry_after_s


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a job of which nothing has started is refused.

    Attributes
    ----------
    retry_after_s : int or None
        Seconds after which its caller may return; None for the default of the code.
    fields : dict
        The event fields that explain the refusal beside its code.
    """

    code: Code
    retry_after_s: int | None = None
    fields: dict = field(default_factory=dict)

    @property
    def answered_retry_s(self):
        """Return the seconds after which its caller may return; 0 if it must not."""
        if self.retry_after_s is None:
            return default_retry_after_s(self.code)
        return self.retry_after_s

    def event_fields(self, queue):
        """Return the event fields that explain the refusal of a job of a queue."""
        return {
            "code": self.code.name,
            "reason": self.code.name.lower(),
            "queue": queue.name,
            "priority": queue.priority,
            "retry_after_s": self.answered_retry_s,
            **self.fields,
        }


def refuse_request(request_id, job_id, refusal, queue, fields=None):
    """Return the effects that refuse a job that is not open here.

    `fields` are logged beside those of the refusal.
    """
    fields = (fields or {}) | refusal.event_fields(queue) | {"elapsed_ms": 0}
    return [
        Event(EventName.JOB_REFUSED, job_id, fields),
        RequestAnswer(request_id, job_id, refusal.code, refusal.answered_retry_s),
    ]
