"""Persistent HTTP connections, each of which reaches one process only.

Only the process that accepted a connection reads what is sent on it. A process that
starts later at the same address resets it. So a process that has identified itself on a
connection is the one that gets the next request on it. This needs a server that keeps
connections open between requests, and no HTTP proxy in between.
"""

import contextlib

import aiohttp

from ragwortlug.timer import Timer


class ConnectionEndedError(aiohttp.ClientConnectionError):
    """A connection has ended between two requests; the later one was not sent."""


class ProcessConnection:
    """One connection to an address, which the first request opens.

    It is never opened again: a request after its end raises `ConnectionEndedError`.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the process.
    keepalive_s : float
        Time without a request after which the connection is closed, in seconds.

    Attributes
    ----------
    process : object
        What identifies the process at the other end; None until that is known.
    last_used_at : float
        Monotonic seconds.
    """

    def __init__(self, address, keepalive_s):
        self.address = address
        self.process = None
        self.last_used_at = 0.0
        self._opened = False
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_start.append(self._on_opening)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=1, keepalive_timeout=keepalive_s),
            cookie_jar=aiohttp.DummyCookieJar(),
            headers={"Content-Type": "application/json"},
            trace_configs=[trace],
        )

    @property
    def closed(self):
        """Return whether it was closed here."""
        return self._session.closed

    async def post(self, path, data, headers, timeout_s):
        """Send a request; return the status and the body of the response.

        Raises
        ------
        ConnectionEndedError
            The connection has ended; nothing was sent.
        aiohttp.ClientError, TimeoutError, OSError
            There is no answer within `timeout_s`. A request on an open connection may
            have been carried out.
        """
        async with self._session.post(
            f"http://{self.address}{path}",
            data=data,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as response:
            return response.status, await response.read()

    async def close(self):
        """Close the connection."""
        await self._session.close()

    async def _on_opening(self, session, context, params):
        """Allow the session to open one connection only."""
        if self._opened:
            raise ConnectionEndedError(f"the connection to {self.address} has ended")
        self._opened = True


class ProcessConnections:
    """A pool of connections, from which a process can be chosen.

    Parameters
    ----------
    keepalive_s : float
        Time without a request after which a connection is closed, in seconds.
    """

    def __init__(self, keepalive_s):
        self._keepalive_s = keepalive_s
        self._idle = []
        self._closed = False

    @contextlib.asynccontextmanager
    async def take(self, address, process=None):
        """Lend an idle connection to an address, the latest used first, or a new one.

        With `process` given, an idle one is lent only if it reaches that process. After
        an error the connection is closed, as its state is not known.
        """
        connection = self._take_idle(address, process)
        if connection is None:
            connection = ProcessConnection(address, self._keepalive_s)
        try:
            yield connection
        except BaseException:
            await connection.close()
            raise
        if self._closed:
            await connection.close()
            return
        connection.last_used_at = Timer.monotonic()
        self._idle.append(connection)
        await self._close_expired()

    async def close(self):
        """Close the idle connections now, and the others when they are returned."""
        self._closed = True
        idle, self._idle = self._idle, []
        for connection in idle:
            await connection.close()

    def _take_idle(self, address, process):
        """Remove and return the matching idle connection used last, or None."""
        for connection in reversed(self._idle):
            if connection.address == address and process in (None, connection.process):
                self._idle.remove(connection)
                return connection
        return None

    async def _close_expired(self):
        """Close the connections that were not used for long."""
        used_since = Timer.monotonic() - self._keepalive_s
        while self._idle and self._idle[0].last_used_at < used_since:
            await self._idle.pop(0).close()
