"""Operators' interface: release notes, status, health, metrics and traces."""

import asyncio
import uuid

import msgspec
from aiohttp import web

from ragwortlug.codes import Code
from ragwortlug.errors import RequestError
from ragwortlug.io.http import error_body, health_routes, json_response, read_body
from ragwortlug.io.view_sync import possibly_live_peers
from ragwortlug.messages import Spans
from ragwortlug.view.note import ReleaseNote, apply_note

TRACE_TIMEOUT_S = 1.0

_notes = msgspec.json.Decoder(ReleaseNote)


class OperatorRoutes:
    """The routes for operators.

    Parameters
    ----------
    server : HttpServer
        Gets the routes.
    registrar : Registrar
        Accepts notes.
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
        self._asked = {}
        self.serving = True
        server.app.add_routes(
            [
                web.post("/notes", self._submit),
                web.post("/notes/check", self._check),
                web.get("/notes", self._history),
                web.get("/notes/{id}", self._note),
                web.get("/configuration", self._configuration),
                web.get("/configuration/in-force", self._in_force),
                web.get("/status", self._status),
                web.get("/ready", self._ready),
                web.get("/traces/{id}", self._trace),
                *health_routes(metrics),
            ]
        )

    async def start(self):
        """Begin to take spans from other processes."""
        self._peers.register_handler(Spans, self._on_spans)

    async def _submit(self, request):
        """Commit a release note."""
        note = await read_body(request, _notes)
        result = await self._registrar.submit(note)
        return _note_response(result.code, result.version, result.reasons)

    async def _check(self, request):
        """Say whether a release note would be accepted now."""
        note = await read_body(request, _notes)
        current = self._view_sync.view.configuration
        if note.base != current.version:
            reason = f"base is {note.base}, but version {current.version} holds"
            return _note_response(Code.NOTE_CONFLICT, current.version, (reason,))
        apply_note(current, note)
        return _note_response(Code.OK, current.version, ())

    async def _history(self, _request):
        """List the accepted notes."""
        return json_response(await self._registrar.history())

    async def _note(self, request):
        """Show one accepted note."""
        note_id = request.match_info["id"]
        accepted = await self._registrar.accepted(note_id)
        if accepted is None:
            raise RequestError(f"note {note_id!r}", Code.NO_SUCH_NOTE)
        return json_response(accepted)

    async def _configuration(self, _request):
        """Show what holds."""
        return json_response(self._view_sync.view.configuration)

    async def _in_force(self, request):
        """Say whether a version is in force everywhere."""
        version = _natural(request, "version")
        lagging_members = self._registrar.lagging_members(version)
        return json_response(
            {
                "version": version,
                "in_force": not lagging_members,
                "behind": lagging_members,
            }
        )

    async def _status(self, _request):
        """Show the roster and the freshness of this entry's view."""
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
        """Say whether the balancer should send callers here."""
        view = self._view_sync.view
        homes = any(
            each.since_ms <= self._timer.unix_ms()
            for each in view.roster.present_members("agent")
        )
        ready = self.serving and homes
        status = 200 if ready else 503
        return web.json_response({"ready": ready}, status=status)

    async def _trace(self, request):
        """Gather a job's spans from all processes."""
        job_id = request.match_info["id"]
        others = possibly_live_peers(self._view_sync.view, self._peers.own_peer)
        found = list(self._traces.spans(job_id))
        name = uuid.uuid4().hex
        answers = asyncio.Queue()
        self._asked[name] = answers
        for each in others:
            self._peers.send(each, Spans(name, job_id))
        try:
            async with asyncio.timeout(TRACE_TIMEOUT_S):
                for _ in others:
                    found += await answers.get()
        except TimeoutError:
            pass
        finally:
            del self._asked[name]
        found.sort(key=lambda each: each["start_ms"])
        return json_response(found)

    def _on_spans(self, sender, message):
        """Answer for this process's spans, or take another's."""
        if message.spans is None:
            answer_spans(self._peers, self._traces, sender, message)
        elif message.request_id in self._asked:
            self._asked[message.request_id].put_nowait(message.spans)


def answer_spans(peers, traces, sender, message):
    """Send the spans that were asked for."""
    spans = traces.spans(message.job_id)
    peers.send(sender, Spans(message.request_id, message.job_id, spans))


def _note_response(code, version, reasons):
    """Return the response that tells what became of a note."""
    body = error_body(code, reasons=reasons)
    body["version"] = version
    return json_response(body, code)


def _natural(request, name):
    """Return a whole number of the query, or raise."""
    given = request.query.get(name, "")
    if not given.isdecimal():
        detail = f"query `{name}` is {given!r}; wanted a whole number"
        raise RequestError(detail, Code.BAD_FIELD)
    return int(given)
