"""What all HTTP connections of a process share: budgets, turns and timeouts."""

import asyncio
import resource
import socket
import time
from collections import deque

from ragwortlug.codes import Code
from ragwortlug.io.rejections import Rejections
from ragwortlug.io.request_limits import (
    MAX_CLOSING,
    MIN_SERVER_CONNECTIONS,
    Rejection,
    UnfinishedRequests,
    process_limits,
)

DEFAULT_MEMORY_MB = 160
DEFAULT_MAX_FDS = 1638
# Longest time that requests in slices are parsed in one iteration of the event loop.
TURN_S = 0.002
# The kernel takes twice as much for each connection, and pauses the caller beyond.
RECEIVE_BUFFER_BYTES = 32_768
SWEEP_INTERVAL_S = 0.25
# A younger connection is not closed for a new one: its request may not be read yet.
MIN_AGE_S = 0.1


def guard_of(settings, metrics, journal=None):
    """Return the `ConnectionGuard` of a process.

    Parameters
    ----------
    settings : LimitSettings
        The limits; that of the operating system on descriptors holds too.
    metrics : Metrics
        Counts the rejections.
    journal : Journal, optional
        Gets the rejections as events.
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    max_fds = settings.max_fds
    if soft_limit != resource.RLIM_INFINITY:
        max_fds = min(max_fds, soft_limit)
    limits = process_limits(settings.memory_mb, max_fds)
    guard = ConnectionGuard(limits, metrics, journal)
    metrics.gauge("connections", lambda: guard.connections)
    metrics.gauge("unfinished_request_bytes", lambda: guard.unfinished_bytes)
    return guard


class ConnectionGuard:
    """What all HTTP connections of a process share: budgets, turns and timeouts.

    Parameters
    ----------
    limits : ProcessLimits, optional
        The limits; by default those of the smallest entry.
    metrics : Metrics, optional
        Counts the rejections.
    journal : Journal, optional
        Gets the rejections as events.
    """

    def __init__(self, limits=None, metrics=None, journal=None):
        self._limits = limits or process_limits(DEFAULT_MEMORY_MB, DEFAULT_MAX_FDS)
        self._rejections = Rejections(metrics, journal)
        self._unfinished = UnfinishedRequests(self._limits)
        # The times since when connections are idle, or only discard what comes, each
        # in order of time.
        self._idle = {}
        self._ending = {}
        self._connections = {}
        self._waiting = deque()
        self._is_waiting = set()
        self._is_pumping = False
        self._opening = 0
        self._closing = set()
        self._servers = 0
        self._sweep = None

    @property
    def library_log(self):
        """Return the logger for the HTTP library."""
        return self._rejections

    @property
    def unfinished_bytes(self):
        """Return the bytes that unfinished requests hold."""
        return self._unfinished.total

    @property
    def connections(self):
        """Return the number of connections."""
        return len(self._connections) + self._opening

    def start(self):
        """Start to check times, for one more server."""
        self._servers += 1
        if self._sweep is None:
            self._schedule_sweep()

    def stop(self):
        """Cease to check times after the last server has stopped."""
        self._servers -= 1
        if not self._servers and self._sweep is not None:
            self._sweep.cancel()
            self._sweep = None

    def limit_receive_buffer(self, listening):
        """Bound what the kernel holds for each connection of a listening socket."""
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    def may_accept(self, group):
        """Return whether another connection may be accepted, or refused, now.

        It may not while others are about to end, or soon may be closed for it.

        Parameters
        ----------
        group : set
            The open connections of the same server.
        """
        if len(group) < MIN_SERVER_CONNECTIONS or not self._is_full():
            return True
        if len(self._closing) >= MAX_CLOSING:
            return False
        if self._displaceable(time.monotonic() - MIN_AGE_S) is not None:
            return True
        return all(each.is_serving for each in self._connections)

    def admit(self, group):
        """Return whether an accepted connection may stay; close another if need be.

        Parameters
        ----------
        group : set
            The open connections of the same server.
        """
        if self._is_full():
            displaced = self._displaceable(time.monotonic() - MIN_AGE_S)
            if displaced is not None:
                self._closing.add(displaced)
                self._idle.pop(displaced, None)
                displaced.abort()
                self._ending.pop(displaced, None)
                self.reject(Rejection.CONNECTIONS)
            elif len(group) >= MIN_SERVER_CONNECTIONS:
                self.reject(Rejection.CONNECTIONS)
                return False
        self._opening += 1
        return True

    def on_open_failed(self):
        """Note that an admitted connection got no protocol."""
        self._opening -= 1

    def add(self, connection):
        """Count a new connection, which was admitted before."""
        self._opening -= 1
        self._connections[connection] = None
        self.mark_idle(connection)

    def remove(self, connection, address):
        """Count a connection no longer."""
        self._connections.pop(connection, None)
        self._idle.pop(connection, None)
        self._ending.pop(connection, None)
        self._closing.discard(connection)
        self._unfinished.release(connection, address)

    def mark_busy(self, connection):
        """Note that a connection has received a byte of a request."""
        self._idle.pop(connection, None)

    def mark_idle(self, connection):
        """Note that a connection waits for a request."""
        if connection in self._connections:
            self._idle[connection] = time.monotonic()

    def mark_ending(self, connection):
        """Note that a connection only discards what still comes."""
        self._idle.pop(connection, None)
        if connection in self._connections:
            self._ending[connection] = time.monotonic()

    def charge(self, connection, address, held, limits):
        """Count what a connection holds, and refuse requests that are over a budget."""
        refused = self._unfinished.charge(
            connection, address, held, limits.connection_bytes
        )
        for each in refused:
            each.refuse(Code.TOO_MUCH_UNFINISHED, Rejection.MEMORY)

    def release(self, connection, address):
        """Note that a connection holds nothing."""
        self._unfinished.release(connection, address)

    def reject(self, kind):
        """Count a rejection."""
        self._rejections.add(kind)

    def enqueue(self, connection):
        """Let a connection parse what waits when its turn comes."""
        if connection in self._is_waiting or not connection.can_feed:
            return
        self._is_waiting.add(connection)
        self._waiting.append(connection)
        if not self._is_pumping:
            self._is_pumping = True
            asyncio.get_running_loop().call_soon(self._feed_waiting)

    def _is_full(self):
        """Return whether a new connection needs the place of another one."""
        return self.connections - len(self._closing) >= self._limits.connections

    def _displaceable(self, latest):
        """Return a connection to close for a new one, or None.

        Parameters
        ----------
        latest : float
            The connection has been idle, or its request unfinished, since then at
            the latest.
        """
        for group in (self._ending, self._idle):
            connection, since = next(iter(group.items()), (None, latest))
            if connection is not None and since <= latest:
                return connection
        return self._unfinished.oldest(
            lambda each: not each.is_serving and each.has_begun_by(latest)
        )

    def _feed_waiting(self):
        """Parse a slice of each request that waits, for `TURN_S` at most.

        Then the event loop is left to others for as long.
        """
        started_at = time.monotonic()
        elapsed_s = 0.0
        # No connection is fed twice in a turn, so that its handler can read before.
        for _ in range(len(self._waiting)):
            connection = self._waiting.popleft()
            self._is_waiting.discard(connection)
            if connection.can_feed:
                connection.feed_slice()
            if connection.can_feed:
                self._is_waiting.add(connection)
                self._waiting.append(connection)
            elapsed_s = time.monotonic() - started_at
            if elapsed_s > TURN_S:
                break
        self._is_pumping = bool(self._waiting)
        if self._is_pumping:
            loop = asyncio.get_running_loop()
            if elapsed_s > TURN_S:
                loop.call_later(elapsed_s, self._feed_waiting)
            else:
                loop.call_soon(self._feed_waiting)

    def _schedule_sweep(self):
        """Check times after an interval."""
        loop = asyncio.get_running_loop()
        self._sweep = loop.call_later(SWEEP_INTERVAL_S, self._check_times)

    def _check_times(self):
        """Refuse the requests that take too long, and log the rejections."""
        self._schedule_sweep()
        now = time.monotonic()
        for connection in tuple(self._connections):
            connection.check_times(now)
        self._rejections.write(now)
