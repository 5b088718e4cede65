"""The effect by which decisions answer a caller's request."""

from dataclasses import dataclass

from ragwortlug.codes import Code

RETRY_AFTER_S = 1
HTTP_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class RequestAnswer:
    """An effect: sends a request its answer.

    Attributes
    ----------
    retry_after_s : int
        Seconds after which a refused caller may retry; 0 if it must not.
    """

    request_id: str
    job_id: str
    code: Code
    retry_after_s: int = 0


def default_retry_after_s(code):
    """Return the seconds after which a caller may retry; 0 if it must not."""
    return RETRY_AFTER_S if code.http_status == HTTP_UNAVAILABLE else 0
