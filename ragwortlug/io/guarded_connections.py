"""The HTTP library's protocol, with limits on what its caller may hold."""

import asyncio
import time

from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.http_exceptions import LineTooLong

from ragwortlug.codes import Code
from ragwortlug.errors import RequestError
from ragwortlug.io.request_limits import (
    CHUNK_BYTES,
    REQUEST_BYTES,
    REQUEST_TIMEOUT_S,
    Rejection,
)
from ragwortlug.io.responses import error_response, raw_error_response

EMPTY_LINE = b"\r\n"
MAX_FIELDS = 128
# Size of the pieces in which a request is parsed. One of chunks of one byte takes 2 ms.
SLICE_BYTES = 4096
# What a request gets parsed at once; ordinary requests are smaller.
DIRECT_BYTES = 16_384
DIRECT_LINES = 256
# Unread bytes that the library keeps for a request whose handler doesn't read them.
READ_BUFFER_BYTES = 16_384
# Pieces of unread chunks that the library keeps at most with such a buffer.
MAX_UNREAD_CHUNKS = READ_BUFFER_BYTES // 16
# After a response to an unfinished request, further bytes are discarded for so long.
# Closing at once would reset the connection, and the caller might miss the response.
LINGER_S = 0.5


class GuardedConnection(web.RequestHandler):
    """The library's protocol, with limits on what a caller may hold.

    Parameters
    ----------
    server : aiohttp.web.Server
        Handles the requests.
    guard : ConnectionGuard
        What all connections share.
    limits : RequestLimits
        The limits of this connection.
    group : set
        The open connections of the same `HttpServer`.
    """

    __slots__ = (
        "_address",
        "_begun_at",
        "_chunked_lines",
        "_group",
        "_guard",
        "_guarded_payload",
        "_head_bytes",
        "_last_data_at",
        "_limits",
        "_lingers",
        "_pending",
        "_refused",
        "_request_bytes",
        "_unanswered",
    )

    def __init__(self, server, guard, limits, group, loop):
        super().__init__(
            server,
            loop=loop,
            logger=guard.library_log,
            access_log=None,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
            max_headers=MAX_FIELDS,
            read_bufsize=READ_BUFFER_BYTES,
            keepalive_timeout=limits.idle_timeout_s,
            lingering_time=LINGER_S,
        )
        self._guard = guard
        self._limits = limits
        self._group = group
        self._address = ""
        self._pending = bytearray()
        # The body of the latest request, until it is complete.
        self._guarded_payload = None
        self._head_bytes = 0
        self._request_bytes = 0
        self._chunked_lines = 0
        self._begun_at = None
        self._last_data_at = 0.0
        self._unanswered = 0
        self._refused = False
        self._lingers = True

    @property
    def is_idle(self):
        """Return whether no request is in progress and no byte of one is here."""
        return not self._unanswered and self._begun_at is None and not self._pending

    @property
    def is_unfinished(self):
        """Return whether a part of a request is here, and the rest is not."""
        return self._begun_at is not None and not self._refused

    @property
    def is_serving(self):
        """Return whether a request that is complete has no response yet."""
        return self._unanswered > (self._guarded_payload is not None)

    @property
    def can_feed(self):
        """Return whether bytes that wait can be parsed now.

        The bytes of the next request wait until the response has been sent.
        """
        if not self._pending or self._refused or self._reading_paused:
            return False
        return not self._unanswered or self._guarded_payload is not None

    def connection_made(self, transport):
        """Start to count the connection."""
        peer = transport.get_extra_info("peername")
        self._address = peer[0] if peer else ""
        self._last_data_at = time.monotonic()
        self._group.add(self)
        self._guard.add(self)
        super().connection_made(transport)

    def connection_lost(self, exc):
        """Count the connection no longer."""
        self._pending.clear()
        self._group.discard(self)
        self._guard.remove(self, self._address)
        super().connection_lost(exc)

    def data_received(self, data):
        """Parse received bytes, at once if they are few, else in turn with others."""
        if self._refused:
            return
        if not data:
            # The library goes on with what it has kept.
            self._feed(data)
            return
        if data == EMPTY_LINE and self._begun_at is None:
            # Some clients send one after a body. It begins no request.
            super().data_received(data)
            return
        self._last_data_at = time.monotonic()
        if self._begun_at is None:
            self._begun_at = self._last_data_at
            self._guard.mark_busy(self)
        if not self._pending and self._is_small(data):
            self._feed(data)
        else:
            self._pending += data
            if len(self._pending) > SLICE_BYTES:
                self._pause_transport_reading()
            self._guard.enqueue(self)
        self._charge()

    def resume_reading(self, resume_parser=True):
        """Parse what waits, after the handler has read the body so far."""
        super().resume_reading(resume_parser)
        if self._pending:
            self._guard.enqueue(self)

    def feed_slice(self):
        """Parse the next slice of what waits."""
        size = min(SLICE_BYTES, self._head_left())
        piece = bytes(self._pending[:size])
        del self._pending[:size]
        self._feed(piece)
        if not self._refused:
            self._charge()
            if not self._pending and not self._reading_paused:
                self._resume_transport_reading()

    def has_begun_by(self, latest):
        """Return whether the unfinished request began at a time or before."""
        return self._begun_at is not None and self._begun_at <= latest

    def check_times(self, now):
        """Refuse an unfinished request that takes too long."""
        if self._begun_at is None or self._refused:
            return
        age_s = now - self._begun_at
        if self._guarded_payload is None:
            is_waiting = self._unanswered or self._pending
            if not is_waiting and age_s > self._limits.header_timeout_s:
                self.refuse(Code.REQUEST_TIMEOUT, Rejection.HEAD_TIME)
            return
        silence_s = now - self._last_data_at
        is_held_up = self._pending or self._reading_paused
        if age_s > REQUEST_TIMEOUT_S or (
            silence_s > self._limits.idle_timeout_s and not is_held_up
        ):
            self.refuse(Code.REQUEST_TIMEOUT, Rejection.BODY_TIME)

    def refuse(self, code, kind):
        """Refuse the unfinished request, and close the connection.

        A request in progress is still answered.
        """
        if self._refused:
            return
        self._guard.reject(kind)
        # At a planned stop no time is left for callers that don't read.
        self._lingers = kind is not Rejection.STOPPING
        self._stop_reading()
        payload = self._guarded_payload
        if payload is not None and self._unanswered:
            # The handler that reads the body responds with the error.
            payload.set_exception(RequestError("", code))
        elif self._unanswered or self.transport is None:
            self._drop_queued()
            self.close()
        else:
            if payload is None:
                self._respond(code)
            self.close()
            self._loop.call_later(LINGER_S, self.force_close)

    def abort(self):
        """Close the connection at once."""
        self._stop_reading()
        if self.transport is not None:
            self.transport.abort()
        self.force_close()

    def handle_error(self, request, status=500, exc=None, message=None):
        """Return the response to what the library could not parse or handle."""
        if request.writer.output_size > 0:
            raise ConnectionError("a part of another response is sent")
        if status != Code.BAD_HTTP.http_status:
            self.log_exception("", exc_info=exc)
            response = error_response(RequestError("", Code.INTERNAL))
        else:
            is_size = isinstance(exc, LineTooLong)
            code = Code.HEAD_TOO_LARGE if is_size else Code.BAD_HTTP
            response = error_response(RequestError("", code))
        response.force_close()
        return response

    async def finish_response(self, request, resp, start_time):
        """Send a response, then go on with the bytes that wait."""
        if resp.status == Code.BODY_TOO_LARGE.http_status:
            self._guard.reject(Rejection.BODY_SIZE)
        is_last = self._refused and (not self._messages or self._close)
        if is_last:
            resp.force_close()
        result = await super().finish_response(request, resp, start_time)
        self._unanswered = max(0, self._unanswered - 1)
        if is_last:
            await self._linger()
        elif self._pending:
            # The time of the next head counts from here.
            self._begun_at = time.monotonic()
            self._guard.enqueue(self)
        elif self._begun_at is None and not self._unanswered:
            self._guard.mark_idle(self)
        self._charge()
        return result

    def _resume_transport_reading(self):
        """Read on, unless too much waits to be parsed."""
        if len(self._pending) <= SLICE_BYTES or self._refused:
            super()._resume_transport_reading()

    def _is_small(self, data):
        """Return whether received bytes are parsed at once."""
        if self._unanswered and self._guarded_payload is None:
            return False
        size = len(data)
        return (
            self._request_bytes + size <= DIRECT_BYTES
            and size <= self._head_left()
            and data.count(b"\n") <= DIRECT_LINES
        )

    def _head_left(self):
        """Return how many more bytes the head may have."""
        if self._guarded_payload is not None:
            return DIRECT_BYTES
        return self._limits.header_bytes - self._head_bytes

    def _feed(self, data):
        """Let the library parse bytes, and note what they complete."""
        heads = self._request_count
        super().data_received(data)
        payload = self._guarded_payload
        self._request_bytes += len(data)
        if self._request_count != heads:
            self._on_heads(self._request_count - heads)
        elif payload is not None:
            if payload.is_eof():
                self._on_complete()
            elif self._chunked_lines is not None:
                self._chunked_lines += data.count(b"\n")
        elif data:
            self._head_bytes += len(data)
            if self._head_bytes >= self._limits.header_bytes:
                self.refuse(Code.HEAD_TOO_LARGE, Rejection.HEAD_SIZE)

    def _on_heads(self, count):
        """Note that heads have been parsed, or have turned out to be invalid."""
        message, payload = self._messages[-1]
        body = self._guarded_payload
        self._unanswered += count
        if not isinstance(message, RawRequestMessage):
            self._on_bad_http(message.exc, body)
            return
        self._head_bytes = 0
        self._chunked_lines = 0 if message.chunked else None
        self._guarded_payload = payload
        if payload.is_eof():
            self._on_complete()

    def _on_bad_http(self, error, body):
        """Stop reading after bytes that are not HTTP."""
        is_size = isinstance(error, LineTooLong)
        self._guard.reject(Rejection.HEAD_SIZE if is_size else Rejection.BAD_HTTP)
        self._stop_reading()
        if body is not None and not body.is_eof():
            # The error is in a body: its handler responds, and there is no other head.
            self._messages.pop()
            self._unanswered -= 1
            body.set_exception(RequestError("", Code.BAD_HTTP))

    def _on_complete(self):
        """Note that the latest request is complete."""
        self._guarded_payload = None
        self._begun_at = self._last_data_at if self._pending else None
        self._head_bytes = 0
        self._request_bytes = 0

    def _charge(self):
        """Count what the unfinished requests hold."""
        if self._refused:
            return
        held = len(self._pending)
        if self._unanswered > 1:
            held += (self._unanswered - 1) * REQUEST_BYTES
        if self._begun_at is not None:
            held += REQUEST_BYTES
        payload = self._guarded_payload
        if payload is not None:
            held += payload.total_bytes
            if self._chunked_lines:
                unread = min(self._chunked_lines // 2, MAX_UNREAD_CHUNKS)
                held += unread * CHUNK_BYTES
        elif self._begun_at is not None:
            held += self._head_bytes
        if held:
            self._guard.charge(self, self._address, held, self._limits)
        else:
            self._guard.release(self, self._address)

    def _stop_reading(self):
        """Discard what waits and whatever comes."""
        self._refused = True
        self._pending.clear()
        self._begun_at = None
        self._guard.release(self, self._address)
        if not self.is_serving:
            self._guard.mark_ending(self)
        self._resume_transport_reading()

    def _drop_queued(self):
        """Drop the requests that wait for the one in progress."""
        # The library takes the first one if it was about to.
        first = 0 if self._request_in_progress else 1
        while len(self._messages) > first:
            self._messages.pop()
            self._unanswered -= 1

    def _respond(self, code):
        """Send an error response to a request whose head is not complete."""
        self.transport.write(raw_error_response(code))
        if self.transport.can_write_eof():
            self.transport.write_eof()

    async def _linger(self):
        """Let the caller read the response, and discard what it still sends."""
        if self.transport is not None and self.transport.can_write_eof():
            self.transport.write_eof()
            if self._lingers:
                await asyncio.sleep(LINGER_S)
        payload = self._guarded_payload
        if payload is not None and not payload.is_eof():
            # The library reads no more of the body then.
            payload.feed_eof()
