"""A listening port that accepts, in each turn of the event loop, all that wait."""

import asyncio
import socket

from ragwortlug.telemetry.logs import logger

# New connections that can wait while the event loop is busy; further ones are dropped.
BACKLOG = 1024
RETRY_INTERVAL_S = 0.1
# Until one of the connections may be closed for a new one.
GUARD_RETRY_S = 0.02

log = logger("listener")


class Listener:
    """Accepts the connections of one port.

    The servers of some event loops accept one connection a turn. Under load the
    others wait in the kernel then, where no delay of the event loop shows it.

    Parameters
    ----------
    host, port : str, int
        The address to listen on.
    protocol_factory : callable
        Returns the protocol of a new connection.
    guard : ConnectionGuard, optional
        Limits the number of connections.
    group : set, optional
        The open connections of this port, for the guard.
    """

    def __init__(self, host, port, protocol_factory, guard=None, group=()):
        self._guard = guard
        self._group = group
        self._address = (host, port)
        self._protocol_factory = protocol_factory
        self._socket = None
        self._openings = set()

    def start(self):
        """Start listening."""
        self._socket = socket.create_server(self._address, backlog=BACKLOG)
        self._socket.setblocking(False)
        if self._guard is not None:
            self._guard.limit_receive_buffer(self._socket)
        self._resume()

    def stop(self):
        """Stop listening; connections that wait are accepted before.

        Returns
        -------
        bool
            Whether accepted connections have no protocol yet.
        """
        if self._socket is None:
            return False
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket)
        self._accept_all()
        loop.remove_reader(self._socket)
        self._socket.close()
        self._socket = None
        return bool(self._openings)

    async def wait_opened(self):
        """Wait until the accepted connections have their protocols."""
        await asyncio.gather(*self._openings, return_exceptions=True)

    def _resume(self):
        """Accept connections whenever some wait."""
        if self._socket is not None:
            loop = asyncio.get_running_loop()
            loop.add_reader(self._socket, self._accept_all)

    def _accept_all(self):
        """Accept all connections that wait."""
        for _ in range(BACKLOG):
            if self._guard is not None and not self._guard.may_accept(self._group):
                self._pause(GUARD_RETRY_S)
                return
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                # Without a pause the loop would be woken again at once.
                log.warning("A connection can't be accepted: {}.", error)
                self._pause(RETRY_INTERVAL_S)
                return
            if self._guard is None or self._guard.admit(self._group):
                self._open(connection)
            else:
                connection.close()

    def _pause(self, pause_s):
        """Accept no connection for a time."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket)
        loop.call_later(pause_s, self._resume)

    def _open(self, connection):
        """Give a new connection its protocol."""
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        opening = loop.create_task(
            loop.connect_accepted_socket(self._protocol_factory, connection)
        )
        self._openings.add(opening)
        opening.add_done_callback(self._on_opened)

    def _on_opened(self, opening):
        """Log why a connection couldn't be opened, if it couldn't."""
        self._openings.discard(opening)
        error = None if opening.cancelled() else opening.exception()
        if error is None and not opening.cancelled():
            return
        if self._guard is not None:
            self._guard.on_open_failed()
        if error is not None:
            log.warning("A connection can't be opened: {}.", error)
