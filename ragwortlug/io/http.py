"""What all HTTP interfaces share: bodies, numbered errors and their JSON."""

import msgspec
from aiohttp import web

from ragwortlug.codes import Code
from ragwortlug.errors import RagwortlugError, RequestError
from ragwortlug.telemetry.logs import logger

KB = 1024
SHUTDOWN_S = 5.0
# New connections that wait while the event loop is busy; more are dropped.
BACKLOG = 1024
EXPOSITION_TYPE = "text/plain; version=0.0.4; charset=utf-8"

log = logger("http")
_encoder = msgspec.json.Encoder()


def json_response(value, code=Code.OK):
    """Return a response with a JSON body and the status of the code."""
    return web.Response(
        body=_encoder.encode(value),
        status=code.http_status,
        content_type="application/json",
    )


def error_body(code, detail="", reasons=()):
    """Return what the body of a numbered error says."""
    body = {
        "code": int(code),
        "name": code.name,
        "verdict": code.verdict.value,
        "meaning": code.meaning,
    }
    if detail:
        body["detail"] = detail
    if reasons:
        body["reasons"] = list(reasons)
    return body


def error_response(error):
    """Return the response that tells an error."""
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
    """Return a decoded body, or raise `RequestError`."""
    try:
        return decoder.decode(raw)
    except msgspec.ValidationError as error:
        raise RequestError(str(error), Code.BAD_FIELD) from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RequestError(str(error), Code.BAD_JSON) from error


@web.middleware
async def numbered_errors(request, handler):
    """Turn every error into its numbered response."""
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
    """An HTTP server with the routes that parts have added.

    Parameters
    ----------
    host, port : str, int
        Where to listen.
    body_limit_kb : int
        Largest body taken.
    cancel_on_disconnect : bool
        Whether a request's handler is cancelled when its caller disconnects.
    shutdown_s : float
        Longest time that a stop waits for requests under way.
    """

    def __init__(
        self,
        host,
        port,
        body_limit_kb,
        cancel_on_disconnect=False,
        shutdown_s=SHUTDOWN_S,
    ):
        self._shutdown_s = shutdown_s
        self._host = host
        self._port = port
        self._cancel_on_disconnect = cancel_on_disconnect
        self._runner = None
        self._site = None
        self._busy = set()
        self.app = web.Application(
            client_max_size=body_limit_kb * KB,
            middlewares=[self._track, numbered_errors],
        )

    async def start(self):
        """Begin to listen."""
        self._runner = web.AppRunner(
            self.app,
            access_log=None,
            shutdown_timeout=self._shutdown_s,
            handler_cancellation=self._cancel_on_disconnect,
        )
        await self._runner.setup()
        self._site = web.TCPSite(
            self._runner,
            self._host,
            self._port,
            backlog=BACKLOG,
            reuse_address=True,
        )
        await self._site.start()

    async def stop_listening(self):
        """Take no new connections, and close those without a request under way."""
        if self._site is None:
            return
        await self._site.stop()
        self._site = None
        for connection in tuple(self._runner.server.connections):
            if connection not in self._busy:
                connection.force_close()

    @web.middleware
    async def _track(self, request, handler):
        """Remember which connections have a request under way."""
        self._busy.add(request.protocol)
        try:
            return await handler(request)
        finally:
            self._busy.discard(request.protocol)

    async def stop(self):
        """Stop listening; requests under way are let finish."""
        await self._runner.cleanup()


def health_routes(metrics):
    """Return the routes that every daemon serves."""

    async def health(_request):
        return web.json_response({"alive": True})

    async def exposition(_request):
        # Most processes are never asked, and the library takes long to import.
        from ragwortlug.telemetry.exposition import exposition_of

        return web.Response(
            body=exposition_of(metrics), headers={"Content-Type": EXPOSITION_TYPE}
        )

    return [web.get("/health", health), web.get("/metrics", exposition)]
