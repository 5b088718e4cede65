"""Code shared by all HTTP interfaces: the server, bodies and error responses."""

import asyncio

import msgspec
from aiohttp import web

from ragwortlug.codes import Code
from ragwortlug.errors import RagwortlugError, RequestError
from ragwortlug.io.listener import Listener
from ragwortlug.telemetry.logs import logger

BYTES_PER_KB = 1024
SHUTDOWN_TIMEOUT_S = 5.0
# What connections that were accepted last have sent is read within this time.
LAST_REQUESTS_S = 0.05
EXPOSITION_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

log = logger("http")
_encoder = msgspec.json.Encoder()


def json_response(value, code=Code.OK):
    """Return a response with a JSON body and the HTTP status of a code."""
    return web.Response(
        body=_encoder.encode(value),
        status=code.http_status,
        content_type="application/json",
    )


def error_body(code, detail="", reasons=()):
    """Return the body for a result code, as a dict."""
    body = {
        "code": int(code),
        "name": code.name,
        "verdict": code.verdict.value,
        "meaning": code.meaning,
    }
    if detail:
        # Text of a header may hold bytes that are not UTF-8.
        body["detail"] = detail.encode(errors="replace").decode()
    if reasons:
        body["reasons"] = list(reasons)
    return body


def error_response(error):
    """Return the JSON response for a `RagwortlugError`."""
    reasons = getattr(error, "reasons", ())
    return json_response(error_body(error.code, error.detail, reasons), error.code)


async def read_body(request, decoder):
    """Return the decoded body of a request, or raise `RequestError`."""
    try:
        raw = await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        limit = request.client_max_size
        detail = f"the body is over {limit} bytes"
        raise RequestError(detail, Code.BODY_TOO_LARGE) from error
    return decode_body(raw, decoder)


def decode_body(raw, decoder):
    """Return the decoded form of a raw body, or raise `RequestError`."""
    try:
        return decoder.decode(raw)
    except msgspec.ValidationError as error:
        raise RequestError(str(error), Code.BAD_FIELD) from error
    except msgspec.DecodeError as error:
        raise RequestError(str(error), Code.BAD_JSON) from error


@web.middleware
async def respond_to_errors(request, handler):
    """Convert errors to responses with a result code.

    HTTP errors other than an unknown path are raised again.
    """
    try:
        return await handler(request)
    except RagwortlugError as error:
        return error_response(error)
    except web.HTTPException as error:
        if error.status == Code.NO_SUCH_PATH.http_status:
            detail = f"{request.method} {request.path}"
            return error_response(RequestError(detail, Code.NO_SUCH_PATH))
        raise
    except Exception as error:
        log.exception("{} {} failed.", request.method, request.path)
        return error_response(RagwortlugError(type(error).__name__, Code.INTERNAL))


class HttpServer:
    """An HTTP server; other components add their routes to `app`.

    Parameters
    ----------
    host, port : str, int
        The address to listen on.
    body_limit_kb : int
        Size of the largest accepted request body, in KiB.
    cancel_on_disconnect : bool
        Whether a request's handler is cancelled when its caller disconnects.
    shutdown_s : float
        Longest time that `stop` waits for requests in progress, in seconds.
    """

    def __init__(
        self,
        host,
        port,
        body_limit_kb,
        cancel_on_disconnect=False,
        shutdown_s=SHUTDOWN_TIMEOUT_S,
    ):
        self._shutdown_s = shutdown_s
        self._host = host
        self._port = port
        self._cancel_on_disconnect = cancel_on_disconnect
        self._runner = None
        self._listener = None
        self._busy_connections = set()
        self.app = web.Application(
            client_max_size=body_limit_kb * BYTES_PER_KB,
            middlewares=[self._track_connection, respond_to_errors],
        )

    async def start(self):
        """Start listening."""
        self._runner = web.AppRunner(
            self.app,
            access_log=None,
            shutdown_timeout=self._shutdown_s,
            handler_cancellation=self._cancel_on_disconnect,
        )
        await self._runner.setup()
        self._listener = Listener(self._host, self._port, self._runner.server)
        self._listener.start()

    async def stop_listening(self):
        """Stop accepting connections, and close those without a request in progress.

        Connections that wait are accepted, and get answers to what they have sent.
        """
        if self._listener is None:
            return
        connections = tuple(self._runner.server.connections)
        has_new_connections = self._listener.stop()
        for connection in connections:
            if connection not in self._busy_connections:
                connection.force_close()
        if has_new_connections:
            await self._listener.wait_opened()
            await asyncio.sleep(LAST_REQUESTS_S)

    @web.middleware
    async def _track_connection(self, request, handler):
        """Record which connections have a request in progress."""
        self._busy_connections.add(request.protocol)
        try:
            return await handler(request)
        finally:
            self._busy_connections.discard(request.protocol)

    async def stop(self):
        """Stop listening, and wait for requests in progress."""
        await self.stop_listening()
        await self._runner.cleanup()


def health_routes(metrics):
    """Return the routes that every daemon serves."""

    async def health(_request):
        return web.json_response({"alive": True})

    async def exposition(_request):
        # Imported on use: the import is slow, and most processes never need it.
        from ragwortlug.telemetry.exposition import exposition_of

        return web.Response(
            body=exposition_of(metrics),
            headers={"Content-Type": EXPOSITION_CONTENT_TYPE},
        )

    return [web.get("/health", health), web.get("/metrics", exposition)]
