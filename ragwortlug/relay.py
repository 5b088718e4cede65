"""The relay of an entry: sends requests to homes and matches their replies.

The relay holds no state that outlives its callers' requests. It never reports
"not run" itself, since only a home can decide that.
"""

import asyncio
import uuid
from dataclasses import dataclass

from ragwortlug.codes import Code
from ragwortlug.envelope import Message
from ragwortlug.invariants import Invariant, check
from ragwortlug.messages import Cancel, Fetch, Moved, Reply, Submit, peer_of
from ragwortlug.model import Answer, new_job_id

FETCH_RETRY_INTERVAL_S = 5.0
CHECK_INTERVAL_S = 0.5
HOME_TIMEOUT_S = 1.0
MAX_ID_ATTEMPTS = 50


@dataclass(slots=True)
class PendingRequest:
    """A request that waits for its reply."""

    job_id: str
    message: Message
    future: asyncio.Future
    home: str
    sent_at: float
    started_at: float


class Relay:
    """Finds homes, sends requests and matches replies.

    Parameters
    ----------
    view_sync : ViewSync
        Keeps the entry's view up to date.
    peers, timer, metrics
        The services of those names.
    """

    def __init__(self, view_sync, peers, timer, metrics):
        self._view_sync = view_sync
        self._view = view_sync.view
        self._peers = peers
        self._timer = timer
        self._metrics = metrics
        self._pending = {}

    @property
    def pending(self):
        """Return the number of requests without a reply."""
        return len(self._pending)

    async def start(self):
        """Start handling replies and retrying requests."""
        self._peers.register_handler(Reply, self._on_reply)
        self._peers.register_handler(Moved, self._on_moved)
        self._view_sync.changes.subscribe(lambda _: self._check_homes())
        self._timer.every(CHECK_INTERVAL_S, self._retry_requests)

    def generate_job_id(self):
        """Return a new job id, whose home is present if one can be found."""
        job_id = new_job_id(self._timer.unix_ms())
        for _ in range(MAX_ID_ATTEMPTS):
            home = self._view.home_map.home_of(job_id)
            if home is not None and home.is_present:
                break
            job_id = new_job_id(self._timer.unix_ms())
        return job_id

    async def submit(self, job, wait, trace=""):
        """Return the answer to a job, or its acceptance if not `wait`."""
        return await self._request(
            job.id, lambda request_id: Submit(request_id, job, trace, wait)
        )

    async def fetch(self, job_id, team, wait):
        """Return the answer to a job that was submitted earlier."""
        return await self._request(
            job_id, lambda request_id: Fetch(request_id, job_id, team, wait)
        )

    async def cancel(self, job_id, team):
        """Cancel a job and return its answer."""
        return await self._request(
            job_id, lambda request_id: Cancel(request_id, job_id, team)
        )

    async def _request(self, job_id, build):
        """Send ``build(request_id)`` to the id's home and return the answer."""
        request_id = uuid.uuid4().hex
        future = asyncio.get_running_loop().create_future()
        now = self._timer.monotonic()
        pending = PendingRequest(job_id, build(request_id), future, "", now, now)
        self._pending[request_id] = pending
        self._send(request_id, pending)
        try:
            return await future
        finally:
            del self._pending[request_id]

    def _send(self, request_id, pending):
        """Send a request to the process that holds the id's record."""
        now = self._timer.monotonic()
        pending.sent_at = now
        holder = self._view.home_map.record_holder(pending.job_id)
        if holder is None or not self._reachable(holder):
            code = Code.NO_HOME if holder is None else Code.HOME_LOST
            if now - pending.started_at >= HOME_TIMEOUT_S:
                self._answer(request_id, pending, Answer(pending.job_id, int(code)))
            return
        pending.home = holder.incarnation
        message = pending.message
        home = self._view.home_map.home_of(pending.job_id)
        inherited = home is not None and holder.name != home.name
        if inherited and isinstance(message, Submit):
            job = message.job
            message = Fetch(request_id, job.id, job.team, True)
        self._peers.send(peer_of(holder), message)

    def _reachable(self, holder):
        """Return whether the process may be running, even in a later session."""
        if not holder.lost:
            return True
        return any(
            member.incarnation == holder.incarnation and member.is_present
            for member in self._view.roster.members
        )

    def _on_reply(self, sender, message):
        """Answer the request that a reply names."""
        pending = self._pending.get(message.request_id)
        if pending is None or pending.future.done():
            self._metrics.count("late_replies", "Reply")
            return
        check(
            Invariant.REPLY_MATCHES,
            message.answer.id == pending.job_id,
            asked=pending.job_id,
            answered=message.answer.id,
        )
        unknown = message.answer.code == Code.NO_RECORD
        if unknown and isinstance(pending.message, Submit):
            self._on_unknown_submission(sender, message.request_id, pending)
            return
        self._answer(message.request_id, pending, message.answer)

    def _on_unknown_submission(self, sender, request_id, pending):
        """Resubmit if the home never received the job; a successor can't run it."""
        home = self._view.home_map.home_of(pending.job_id)
        if home is not None and home.incarnation == sender.incarnation:
            self._metrics.count("requests_repeated", "Submit")
            self._send(request_id, pending)
            return
        self._answer(request_id, pending, Answer(pending.job_id, int(Code.HOME_LOST)))

    def _on_moved(self, _sender, message):
        """Forward a request once the roster that moved the id is known."""
        pending = self._pending.get(message.request_id)
        if pending is None:
            return
        self._metrics.count("requests_repeated", "Moved")
        if message.roster <= self._view.roster.version:
            holder = self._view.home_map.record_holder(pending.job_id)
            if holder is not None and holder.incarnation != pending.home:
                self._send(message.request_id, pending)
                return
        pending.home = ""
        self._view_sync.poll()

    def _check_homes(self):
        """After a change of the view, forward requests whose home has changed."""
        for request_id, pending in tuple(self._pending.items()):
            if pending.future.done():
                continue
            holder = self._view.home_map.record_holder(pending.job_id)
            if holder is None:
                continue
            lost = not self._reachable(holder)
            if lost and pending.home:
                answer = Answer(pending.job_id, int(Code.HOME_LOST))
                self._answer(request_id, pending, answer)
            elif holder.incarnation != pending.home:
                self._send(request_id, pending)

    def _retry_requests(self):
        """Send unsent requests, and fetch the answers of those sent long ago.

        A fetch does not repeat the body of a submission.
        """
        now = self._timer.monotonic()
        for request_id, pending in tuple(self._pending.items()):
            if pending.future.done():
                continue
            if not pending.home:
                self._send(request_id, pending)
            elif now - pending.sent_at >= FETCH_RETRY_INTERVAL_S:
                pending.sent_at = now
                self._metrics.count("requests_repeated", "Fetch")
                self._send_fetch(request_id, pending)

    def _send_fetch(self, request_id, pending):
        """Ask the home for the answer to a request that it should already have."""
        holder = self._view.home_map.record_holder(pending.job_id)
        message = pending.message
        if holder is None:
            return
        if isinstance(message, Submit):
            job = message.job
            message = Fetch(request_id, job.id, job.team, message.wait)
        self._peers.send(peer_of(holder), message)

    def _answer(self, request_id, pending, answer):
        """Set the answer that a request waits for."""
        if not pending.future.done():
            pending.future.set_result(answer)
            elapsed = self._timer.monotonic() - pending.started_at
            self._metrics.time("job", elapsed)
            self._metrics.count("jobs_answered", str(answer.code))
