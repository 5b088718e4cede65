"""Requests at one entry for jobs that another entry, their owner, has open.

Such a request is attached to the owner's job, whose runs go on, and gets the owner's
answer. If the owner does not have the job any more, the job is started at this entry,
unless its caller may have submitted it to yet another one meanwhile.
"""

from dataclasses import dataclass

from ragwortlug.envelope import Peer, Send
from ragwortlug.lease_messages import AttachRequest, DetachRequest
from ragwortlug.restartable_model import Queue, RestartableJob

MS_PER_S = 1000.0
REPEAT_INTERVAL_S = 0.25


@dataclass(slots=True)
class RemoteRequest:
    """A request that waits for a job of another entry.

    Attributes
    ----------
    arrived, deadline : float
        Monotonic seconds at which the request arrived, and at which its caller stops
        waiting.
    owner : Peer
        The process that has the job open.
    last_contact_at : float
        Monotonic seconds of the owner's latest message.
    sent_at : float
        Monotonic seconds at which the owner was last asked.
    """

    request_id: str
    job: RestartableJob
    queue: Queue
    arrived: float
    deadline: float
    owner: Peer
    last_contact_at: float
    sent_at: float = float("-inf")

    def attach(self, now):
        """Return the message that attaches the request to the owner's job."""
        self.sent_at = now
        limit_ms = max(1, round((self.deadline - now) * MS_PER_S))
        return Send(self.owner, AttachRequest(self.request_id, self.job.id, limit_ms))

    def detach(self):
        """Return the message that withdraws the request."""
        return Send(self.owner, DetachRequest(self.request_id, self.job.id))


class RemoteRequests:
    """The requests of one entry that wait for jobs of other entries."""

    def __init__(self):
        self._requests = {}

    def __len__(self):
        """Return the number of requests."""
        return len(self._requests)

    def add(self, request, now):
        """Add a `RemoteRequest`; return the message that attaches it."""
        self._requests[request.request_id] = request
        return request.attach(now)

    def pop(self, request_id):
        """Remove and return a request, or return None if there is no such one."""
        return self._requests.pop(request_id, None)

    def on_contact(self, sender, now):
        """Record a message of an owner."""
        for request in self._requests.values():
            if request.owner == sender:
                request.last_contact_at = now

    def pop_ended(self, sender, request_id):
        """Remove and return a request that its owner has ended, or return None."""
        request = self._requests.get(request_id)
        if request is None or request.owner != sender:
            return None
        return self._requests.pop(request_id)

    def pop_expired(self, now):
        """Remove and return the requests whose deadline has passed, a list."""
        return self._pop_all(lambda request: now >= request.deadline)

    def pop_orphaned(self, silence_s, now):
        """Remove and return the requests whose owner has been silent, a list."""
        return self._pop_all(lambda request: now - request.last_contact_at > silence_s)

    def pop_all(self):
        """Remove and return all requests, a list."""
        return self._pop_all(lambda request: True)

    def repeat(self, now):
        """Return the messages that are due to attach the requests again."""
        return [
            request.attach(now)
            for request in self._requests.values()
            if now - request.sent_at >= REPEAT_INTERVAL_S
        ]

    def _pop_all(self, condition):
        """Remove and return the requests that meet a condition."""
        found = [each for each in self._requests.values() if condition(each)]
        for request in found:
            del self._requests[request.request_id]
        return found
