"""Requests of other entries that have ended, of which messages may still arrive."""

from dataclasses import dataclass

from ragwortlug.envelope import Send

# Longer than a message between entries is repeated, or delayed by an agent.
KEEP_S = 2.0


@dataclass(frozen=True, slots=True)
class EndedRequest:
    """A request that ended at `ended_at` monotonic seconds.

    Attributes
    ----------
    answer : Send or None
        The message that has ended it; None if it was withdrawn.
    """

    ended_at: float
    answer: Send | None


class EndedRequests:
    """The requests of other entries that were answered or withdrawn lately.

    A copy of such a request, or one that its end has overtaken, must not attach it.
    """

    def __init__(self):
        self._requests = {}

    def add(self, request_id, answer, now):
        """Record how a request has ended; return the answer in a list."""
        self._requests[request_id] = EndedRequest(now, answer)
        return [] if answer is None else [answer]

    def get(self, request_id):
        """Return the `EndedRequest` of an id, or None if it has not ended lately."""
        return self._requests.get(request_id)

    def expire(self, now):
        """Forget the requests that ended more than `KEEP_S` ago."""
        self._requests = {
            request_id: ended
            for request_id, ended in self._requests.items()
            if now - ended.ended_at <= KEEP_S
        }
