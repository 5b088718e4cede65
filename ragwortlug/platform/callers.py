"""HTTP routes for the platform's clients, and the load balancer's readiness probe."""

import re
import time

from aiohttp import web

from ragwortlug.codes import Code
from ragwortlug.errors import RagwortlugError, RequestError
from ragwortlug.events import EventName
from ragwortlug.io.connections import is_closed_by_peer, unread_s
from ragwortlug.io.http import read_raw
from ragwortlug.io.responses import error_body, json_response
from ragwortlug.platform import wire
from ragwortlug.restartable_model import MAX_JOB_MS

DEADLINE_HEADER = "Deadline-Ms"
REQUEST_HEADER = "Request-Id"
JOB_ID_LENGTH = 16
DEFAULT_DEADLINE_MS = 10_000
MS_PER_S = 1000.0
RETRY_AFTER_S = 1

_JOB_ID = re.compile(r"^[0-9a-fA-F]{16}$")

# The state in the response for a job that has ended.
_STATE_BY_CODE = {Code.OK: "completed", Code.JOB_FAILED: "failed"}


class ClientRoutes:
    """The routes for the platform's clients.

    Parameters
    ----------
    server : HttpServer
        The server that the routes are added to.
    dispatcher : DispatcherActor
        Runs the jobs.
    gossip : Gossip
        Provides the configuration.
    journal : Journal
        Records each response, with the id that the client gave its request.
    """

    def __init__(self, server, dispatcher, gossip, journal):
        self._journal = journal
        self._dispatcher = dispatcher
        self._gossip = gossip
        self.draining = False
        self.closed = False
        server.app.add_routes(
            [
                web.post("/{path:.*}", self._on_post),
                web.get("/{path:.*}", self._on_get),
                web.delete("/{path:.*}", self._on_delete),
            ]
        )

    async def _on_post(self, request):
        """Run a job, respond once it has ended, and record the response."""
        started_at = time.monotonic()
        try:
            response = await self._run_job(request)
        except RagwortlugError as error:
            self._write_event(request, started_at, error.code.http_status, error.detail)
            raise
        self._write_event(request, started_at, response.status)
        return response

    def _write_event(self, request, started_at, status, why=""):
        """Write the response to a request to the journal."""
        fields = {
            "request": request.headers.get(REQUEST_HEADER, ""),
            "status": status,
            "elapsed_ms": round((time.monotonic() - started_at) * MS_PER_S),
        }
        if why:
            fields["why"] = why
        job_id = request.path.rpartition("/")[2][:JOB_ID_LENGTH]
        self._journal.write_event(EventName.REQUEST_ANSWERED, job_id, **fields)

    async def _run_job(self, request):
        """Run a job and return the response once it has ended."""
        queue, job_id = self._match_queue(request)
        job = await self._read_job(request, job_id)
        if self.closed:
            return self._refusal(Code.ENTRY_LEAVING, RETRY_AFTER_S)
        transport = request.transport
        answer = await self._dispatcher.run(
            job,
            queue,
            _timeout_s(request, queue),
            unread_s(transport),
            lambda: is_closed_by_peer(transport),
        )
        state = _STATE_BY_CODE.get(answer.code)
        if state is None:
            return self._refusal(answer.code, answer.retry_after_s)
        return self._close_if_shedding(json_response({"state": state}))

    async def _read_job(self, request, job_id):
        """Return the job in a request; its body is not kept."""
        raw = await read_raw(request, self._gossip.orders.table.body_limit)
        if not _JOB_ID.match(job_id):
            raise RequestError(f"{job_id!r} is no job id", Code.BAD_JOB_ID)
        return wire.job_of(job_id, raw)

    async def _on_get(self, request):
        """Return the number of unstarted jobs of a queue; 410 for a single job."""
        queue, job_id = self._match_queue(request)
        if job_id:
            return self._close_if_shedding(web.Response(status=410))
        pending = self._dispatcher.unstarted_jobs(queue.name)
        return self._close_if_shedding(json_response({"pending": pending}))

    async def _on_delete(self, request):
        """Cancel a job; 410 for an id that no job can have."""
        _, job_id = self._match_queue(request)
        if not _JOB_ID.match(job_id):
            return self._close_if_shedding(web.Response(status=410))
        if not await self._dispatcher.delete(job_id):
            return self._refusal(Code.CANCEL_UNCONFIRMED, RETRY_AFTER_S)
        return self._close_if_shedding(web.Response(status=200))

    def _match_queue(self, request):
        """Return the queue of a request and the rest of its path."""
        table = self._gossip.orders.table
        if table is None:
            raise RequestError("", Code.NO_CONFIGURATION)
        host = request.host.partition(":")[0]
        queue = table.match(host, request.path)
        if queue is None:
            raise RequestError(f"{host}{request.path}", Code.NO_SUCH_PATH)
        return queue, request.path[len(queue.prefix) :]

    def _refusal(self, code, retry_after_s):
        """Return the error response for a job that was not run to its end."""
        response = json_response(error_body(code), code)
        if retry_after_s:
            response.headers["Retry-After"] = str(retry_after_s)
        return self._close_if_shedding(response)

    def _close_if_shedding(self, response):
        """Close the connection after the response if callers must use other entries."""
        if self.draining or self._dispatcher.saturated:
            response.force_close()
        return response


class ReadyRoutes:
    """Answers the load balancer's readiness probe.

    Parameters
    ----------
    server : HttpServer
        The server that the route is added to.
    ready : callable
        Returns whether this entry is ready.
    """

    def __init__(self, server, ready):
        self._ready = ready
        server.app.add_routes([web.get("/api/readiness", self._on_get)])

    async def _on_get(self, _request):
        """Respond with 200 if this entry is ready, else 503."""
        return web.Response(status=200 if self._ready() else 503)


def _timeout_s(request, queue):
    """Return how long the caller waits, in seconds; at most `MAX_JOB_MS`."""
    header = request.headers.get(DEADLINE_HEADER, "")
    try:
        timeout_ms = int(header) if header else queue.timeout_ms or DEFAULT_DEADLINE_MS
    except ValueError as error:
        raise RequestError(f"{DEADLINE_HEADER}: {header!r}", Code.BAD_FIELD) from error
    return min(max(timeout_ms, 1), MAX_JOB_MS) / MS_PER_S
