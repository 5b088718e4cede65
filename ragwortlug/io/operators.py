"""HTTP interface for operators: release notes, status, health, metrics and traces."""

import asyncio
import uuid

from aiohttp import web

from ragwortlug.codes import Code
from ragwortlug.decoding import JsonDecoder
from ragwortlug.errors import RequestError
from ragwortlug.io.http import health_routes, read_body
from ragwortlug.io.responses import error_body, json_response
from ragwortlug.io.view_sync import possibly_live_peers
from ragwortlug.messages import Spans
from ragwortlug.view.note import ReleaseNote, apply_note

TRACE_TIMEOUT_S = 1.0
MAX_DIGITS = 18

_note_decoder = JsonDecoder(ReleaseNote)


class OperatorRoutes:
    """The routes for operators.

    Parameters
    ----------
    server : HttpServer
        The server to add the routes to.
    registrar : Registrar
        Commits release notes and lists the accepted ones.
    view_sync, peers, timer, metrics, traces, relay
        The services of those names.
    """

    def __init__(
        self, server, registrar, view_sync, peers, timer, metrics, traces, relay
    ):
        self._registrar = registrar
        self._view_sync = view_sync
        self._peers = peers
        self._timer = timer
        self._traces = traces
        self._relay = relay
        self._span_queues = {}
        self.serving = True
        server.app.add_routes(
            [
                web.post("/notes", self._submit),
                web.post("/notes/check", self._check),
                web.get("/notes", self._history),
                web.get("/notes/{id}", self._accepted_note),
                web.get("/configuration", self._configuration),
                web.get("/configuration/in-force", self._in_force),
                web.get("/status", self._status),
                web.get("/ready", self._ready),
                web.get("/traces/{id}", self._trace),
                *health_routes(metrics),
            ]
        )

    async def start(self):
        """Start to handle `Spans` messages of other processes."""
        self._peers.register_handler(Spans, self._on_spans)

    async def _submit(self, request):
        """Commit a release note and respond with the result."""
        note = await read_body(request, _note_decoder)
        result = await self._registrar.submit(note)
        return _note_response(result.code, result.version, result.reasons)

    async def _check(self, request):
        """Respond whether a release note would be accepted now."""
        note = await read_body(request, _note_decoder)
        current = self._view_sync.view.configuration
        if note.base != current.version:
            reason = f"base is {note.base}, but version {current.version} holds"
            return _note_response(Code.NOTE_CONFLICT, current.version, (reason,))
        apply_note(current, note)
        return _note_response(Code.OK, current.version, ())

    async def _history(self, _request):
        """Respond with the accepted notes, oldest first."""
        return json_response(await self._registrar.history())

    async def _accepted_note(self, request):
        """Respond with one accepted note."""
        note_id = request.match_info["id"]
        accepted = await self._registrar.accepted(note_id)
        if accepted is None:
            raise RequestError(f"note {note_id!r}", Code.NO_SUCH_NOTE)
        return json_response(accepted)

    async def _configuration(self, _request):
        """Respond with the configuration in force."""
        return json_response(self._view_sync.view.configuration)

    async def _in_force(self, request):
        """Respond whether a version is in force everywhere, and which members lag."""
        version = _query_number(request, "version")
        lagging_members = self._registrar.lagging_members(version)
        return json_response(
            {
                "version": version,
                "in_force": not lagging_members,
                "behind": lagging_members,
            }
        )

    async def _status(self, _request):
        """Respond with the roster and the age of this entry's view."""
        view = self._view_sync.view
        now = self._timer.monotonic()
        return json_response(
            {
                "configuration": view.configuration.version,
                "roster": view.roster,
                "confirmed": view.is_confirmed(now),
                "view_age_s": view.age_s(now),
                "store_age_s": self._registrar.store_age_s,
                "now_ms": self._timer.unix_ms(),
                "pending": self._relay.pending,
            }
        )

    async def _ready(self, _request):
        """Respond whether the load balancer should send callers to this entry."""
        view = self._view_sync.view
        has_homes = any(
            agent.since_ms <= self._timer.unix_ms()
            for agent in view.roster.present_members("agent")
        )
        ready = self.serving and has_homes
        status = 200 if ready else 503
        return web.json_response({"ready": ready}, status=status)

    async def _trace(self, request):
        """Respond with a job's spans from all processes, sorted by start.

        Spans that do not arrive within `TRACE_TIMEOUT_S` are left out.
        """
        job_id = request.match_info["id"]
        other_peers = possibly_live_peers(self._view_sync.view, self._peers.own_peer)
        spans = list(self._traces.spans(job_id))
        request_id = uuid.uuid4().hex
        answers = asyncio.Queue()
        self._span_queues[request_id] = answers
        for peer in other_peers:
            self._peers.send(peer, Spans(request_id, job_id))
        try:
            async with asyncio.timeout(TRACE_TIMEOUT_S):
                for _ in other_peers:
                    spans += await answers.get()
        except TimeoutError:
            pass
        finally:
            del self._span_queues[request_id]
        spans.sort(key=lambda span: span["start_ms"])
        return json_response(spans)

    def _on_spans(self, sender, message):
        """Send this process's spans if requested, or collect another's."""
        if message.spans is None:
            answer_spans(self._peers, self._traces, sender, message)
        elif message.request_id in self._span_queues:
            self._span_queues[message.request_id].put_nowait(message.spans)


def answer_spans(peers, traces, sender, message):
    """Send this process's spans of the requested job to the sender."""
    spans = traces.spans(message.job_id)
    peers.send(sender, Spans(message.request_id, message.job_id, spans))


def _note_response(code, version, reasons):
    """Return the response with the result of submitting or checking a note."""
    body = error_body(code, reasons=reasons)
    body["version"] = version
    return json_response(body, code)


def _query_number(request, name):
    """Return a whole number from the query, or raise `RequestError`."""
    text = request.query.get(name, "")
    if not text.isdecimal() or len(text) > MAX_DIGITS:
        detail = f"query `{name}` is {text!r}; wanted a whole number"
        raise RequestError(detail, Code.BAD_FIELD)
    return int(text)
