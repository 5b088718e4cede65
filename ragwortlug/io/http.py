"""Code shared by all HTTP interfaces: the server, bodies and error responses."""

import asyncio
import time

import msgspec
from aiohttp import web
from aiohttp.web_protocol import RequestPayloadError

from ragwortlug.codes import Code
from ragwortlug.errors import RagwortlugError, RequestError
from ragwortlug.io.connection_guard import ConnectionGuard
from ragwortlug.io.guarded_connections import GuardedConnection
from ragwortlug.io.listener import Listener
from ragwortlug.io.request_limits import Rejection, RequestLimits
from ragwortlug.io.responses import error_response
from ragwortlug.telemetry.logs import logger

BYTES_PER_KB = 1024
BLOCK_BYTES = 16_384
SHUTDOWN_TIMEOUT_S = 5.0
# What connections that were accepted last have sent is read within this time.
LAST_REQUESTS_S = 0.05
# Building an exposition takes up to 0.1 s of the event loop, so that many requests for
# it at once would block all others.
EXPOSITION_INTERVAL_S = 1.0
EXPOSITION_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

log = logger("http")


async def read_raw(request, limit):
    """Return the body of a request, or raise `RequestError`.

    The request keeps no copy, as it would with its method ``read``. A body that is
    declared too long is not read.

    Parameters
    ----------
    request : aiohttp.web.Request
        The request.
    limit : int
        Maximum size of the body in bytes.
    """
    if (request.content_length or 0) > limit:
        raise _too_large(limit)
    # Blocks of one size leave the heap less fragmented than a body that grows.
    blocks = []
    block = bytearray()
    size = 0
    try:
        while piece := await request.content.readany():
            size += len(piece)
            if size > limit:
                raise _too_large(limit)
            block += piece
            if len(block) >= BLOCK_BYTES:
                blocks.append(bytes(block))
                block.clear()
        blocks.append(block)
        return b"".join(blocks)
    except (ConnectionError, RequestPayloadError) as error:
        raise RequestError("the body is not complete", Code.BAD_HTTP) from error
    except RuntimeError as error:
        # The library raises it if the connection was closed before the read.
        if request.protocol.connected:
            raise
        raise RequestError("the body is not complete", Code.BAD_HTTP) from error
    finally:
        # The traceback of an error would keep them as long as the connection.
        blocks.clear()
        block.clear()


def _too_large(limit):
    """Return the error for a body that is over the limit."""
    return RequestError(f"the body is over {limit} bytes", Code.BODY_TOO_LARGE)


async def read_body(request, decoder):
    """Return the decoded body of a request, or raise `RequestError`."""
    return decode_body(await read_raw(request, request.client_max_size), decoder)


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
    guard : ConnectionGuard, optional
        What all servers of the process share; by default one of this server only.
    limits : callable, optional
        Returns the `RequestLimits` of a new connection.
    """

    def __init__(
        self,
        host,
        port,
        body_limit_kb,
        cancel_on_disconnect=False,
        shutdown_s=SHUTDOWN_TIMEOUT_S,
        guard=None,
        limits=None,
    ):
        self._shutdown_s = shutdown_s
        self._host = host
        self._port = port
        self._cancel_on_disconnect = cancel_on_disconnect
        self._runner = None
        self._listener = None
        self._busy_connections = set()
        self._guard = guard or ConnectionGuard()
        body_bytes = body_limit_kb * BYTES_PER_KB
        self._limits = limits or (lambda: RequestLimits(body_bytes=body_bytes))
        self._connections = set()
        self.app = web.Application(
            client_max_size=body_bytes,
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
        self._guard.start()
        self._listener = Listener(
            self._host, self._port, self._new_connection, self._guard, self._connections
        )
        self._listener.start()

    def _new_connection(self):
        """Return the protocol of a new connection."""
        loop = asyncio.get_running_loop()
        return GuardedConnection(
            self._runner.server, self._guard, self._limits(), self._connections, loop
        )

    async def stop_listening(self):
        """Stop accepting connections, and close those without a request in progress.

        Connections that wait are accepted, and get answers to what they have sent.
        Requests that are not complete soon after are refused.
        """
        if self._listener is None:
            return
        connections = tuple(self._connections)
        has_new_connections = self._listener.stop()
        for connection in connections:
            if connection.is_idle and connection not in self._busy_connections:
                connection.force_close()
        if has_new_connections:
            await self._listener.wait_opened()
        if has_new_connections or self._has_unfinished():
            await asyncio.sleep(LAST_REQUESTS_S)
        for connection in tuple(self._connections):
            if connection.is_unfinished:
                connection.refuse(Code.ENTRY_LEAVING, Rejection.STOPPING)

    def _has_unfinished(self):
        """Return whether some requests have arrived in part."""
        return any(connection.is_unfinished for connection in self._connections)

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
        self._guard.stop()


def health_routes(metrics):
    """Return the routes that every daemon serves."""
    body, built_at = b"", -EXPOSITION_INTERVAL_S

    async def health(_request):
        return web.json_response({"alive": True})

    async def exposition(_request):
        nonlocal body, built_at
        now = time.monotonic()
        if now - built_at >= EXPOSITION_INTERVAL_S:
            # Imported on use: the import is slow, and most processes never need it.
            from ragwortlug.telemetry.exposition import exposition_of

            body, built_at = exposition_of(metrics), now
        return web.Response(
            body=body, headers={"Content-Type": EXPOSITION_CONTENT_TYPE}
        )

    return [web.get("/health", health), web.get("/metrics", exposition)]
