"""Limits on what callers may hold, and the accounting of what they hold.

Nothing here uses a socket or a clock.
"""

import enum
from dataclasses import dataclass

BYTES_PER_MB = 1_000_000
MS_PER_S = 1000.0
# Unfinished requests may hold this part of a process's memory.
MEMORY_DIVISOR = 8
# Two reports of workers, the largest requests there are, fit into the least budget.
MIN_BUDGET_BYTES = 4_000_000
# Descriptors that files need.
FILE_DESCRIPTORS = 200
# Descriptors for the agents, the store and connections that are being closed. An entry
# with 73 agents uses 170.
MAX_RESERVED_DESCRIPTORS = 256
RESERVED_DIVISOR = 4
MIN_CONNECTIONS = 16
# Connections that each server may have although the process has no more to give, so
# that readiness and metrics are answered.
MIN_SERVER_CONNECTIONS = 8
# Connections that may be closing while new ones are accepted in their place.
MAX_CLOSING = 32
# A request is received within this time, as the documentation promises.
REQUEST_TIMEOUT_S = 60.0
# What a chunk takes until it is read: a bytes object, its end and two references.
CHUNK_BYTES = 80
# What a request takes besides its bytes while it is unfinished, or waits for another
# one on its connection.
REQUEST_BYTES = 4096
# What one connection may hold over a head and a body: bytes that aren't parsed yet,
# and chunks that aren't read yet.
CONNECTION_MARGIN_BYTES = 400_000


class Rejection(enum.StrEnum):
    """Kinds of what is not accepted from callers; the metric has them as labels."""

    BAD_HTTP = "bad_http"
    HEAD_SIZE = "head_size"
    HEAD_TIME = "head_time"
    BODY_SIZE = "body_size"
    BODY_TIME = "body_time"
    MEMORY = "memory"
    CONNECTIONS = "connections"
    STOPPING = "stopping"
    LIBRARY = "library"


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """What one request on one address may take.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Maximum sizes of a request's head and body.
    header_timeout_s : float
        Longest time from the first byte of a head to its last.
    idle_timeout_s : float
        Longest time without a byte: of a body, or between two requests.
    """

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0

    @property
    def connection_bytes(self):
        """Return what the unfinished requests of one connection may hold."""
        return self.header_bytes + self.body_bytes + CONNECTION_MARGIN_BYTES


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """What all callers of a process may take together.

    Attributes
    ----------
    unfinished_bytes : int
        What unfinished requests may hold.
    connections : int
        Maximum number of connections.
    """

    unfinished_bytes: int
    connections: int

    @property
    def address_bytes(self):
        """Return what unfinished requests of one IP address may hold."""
        return self.unfinished_bytes // 2


def request_limits(settings, body_bytes):
    """Return the `RequestLimits` of an address.

    Parameters
    ----------
    settings : LimitSettings
        The other limits.
    body_bytes : int
        Maximum size of a request's body.
    """
    return RequestLimits(
        settings.max_header_bytes,
        body_bytes,
        settings.header_timeout_ms / MS_PER_S,
        settings.idle_timeout_ms / MS_PER_S,
    )


def process_limits(memory_mb, max_fds):
    """Return the `ProcessLimits` of a process.

    Parameters
    ----------
    memory_mb : int
        Memory of the process, in MB.
    max_fds : int
        Maximum number of its descriptors.
    """
    budget = memory_mb * BYTES_PER_MB // MEMORY_DIVISOR
    sockets = max(0, max_fds - FILE_DESCRIPTORS)
    reserved = min(MAX_RESERVED_DESCRIPTORS, sockets // RESERVED_DIVISOR)
    return ProcessLimits(
        max(budget, MIN_BUDGET_BYTES), max(sockets - reserved, MIN_CONNECTIONS)
    )


class UnfinishedRequests:
    """Counts what unfinished requests hold, and names those that are over a budget.

    Parameters
    ----------
    limits : ProcessLimits
        The budgets.
    """

    def __init__(self, limits):
        self._limits = limits
        # The bytes that each connection holds, by IP address. The order is that of
        # the first byte.
        self._held = {}
        self._address_totals = {}
        self._total = 0

    @property
    def total(self):
        """Return the bytes that all unfinished requests hold."""
        return self._total

    def charge(self, connection, address, held, limit):
        """Set what a connection holds; return the connections to refuse.

        Those are no longer counted. The largest goes first; of equal ones, the
        oldest.

        Parameters
        ----------
        connection : object
            The connection, by identity.
        address : str
            IP address of its caller.
        held : int
            The bytes that its unfinished requests hold.
        limit : int
            What they may hold.
        """
        group = self._held.setdefault(address, {})
        growth = held - group.get(connection, 0)
        group[connection] = held
        self._total += growth
        self._address_totals[address] = self._address_totals.get(address, 0) + growth
        refused = []
        if held > limit:
            refused.append(self._remove(connection, address))
        while self._address_totals.get(address, 0) > self._limits.address_bytes:
            group = self._held[address]
            refused.append(self._remove(max(group, key=group.get), address))
        while self._total > self._limits.unfinished_bytes:
            refused.append(self._remove(*self._largest()))
        return refused

    def release(self, connection, address):
        """Count a connection no longer."""
        if connection in self._held.get(address, ()):
            self._remove(connection, address)

    def oldest(self, may_close):
        """Return the oldest connection that may be closed, or None.

        Connections of the IP address that holds most come first.

        Parameters
        ----------
        may_close : callable
            Returns whether a connection may be closed.
        """
        totals = self._address_totals
        for address in sorted(totals, key=totals.get, reverse=True):
            for connection in self._held[address]:
                if may_close(connection):
                    return connection
        return None

    def _largest(self):
        """Return the connection that holds most, and its IP address."""
        _, connection, address = max(
            (
                (held, connection, address)
                for address, group in self._held.items()
                for connection, held in group.items()
            ),
            key=lambda each: each[0],
        )
        return connection, address

    def _remove(self, connection, address):
        """Remove a connection and return it."""
        group = self._held[address]
        held = group.pop(connection)
        self._total -= held
        self._address_totals[address] -= held
        if not group:
            del self._held[address]
            del self._address_totals[address]
        return connection


class RejectionCounts:
    """Counts rejections by kind, and says when a line of the log is due.

    Parameters
    ----------
    interval_s : float
        Least time between two lines.
    """

    def __init__(self, interval_s):
        self._interval_s = interval_s
        self._counts = {}
        self._due_at = 0.0

    def add(self, kind):
        """Count a rejection of a kind."""
        self._counts[kind] = self._counts.get(kind, 0) + 1

    def take_due(self, now):
        """Return the counts since the last line by kind, empty if none is due."""
        if not self._counts or now < self._due_at:
            return {}
        counts, self._counts = self._counts, {}
        self._due_at = now + self._interval_s
        return counts
