"""Relays on loopback between the parts, and the faults of their connections."""

import asyncio
import contextlib
import os
import socket
import struct
from dataclasses import dataclass
from pathlib import Path

from ragwortlug.actor import cancel_all

CHUNK_BYTES = 65_536
MUTED_CHECK_S = 0.1
# With this option a closed socket sends a reset instead of an orderly end.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(frozen=True)
class Disturbance:
    """What befalls the bytes from some places to others while it lasts.

    Attributes
    ----------
    applies : callable
        Returns whether bytes from a place to another one are concerned.
    delay_s : float or None
        How much later they arrive; None if they are held until it has passed.
    """

    applies: object
    delay_s: float | None = None


class Links:
    """The state of all connections that pass a relay."""

    def __init__(self):
        self._disturbances = []
        self._changed = asyncio.Event()
        self._open = set()
        self._muted = set()

    def begin(self, disturbance):
        """Let a disturbance begin."""
        self._disturbances.append(disturbance)

    def end(self, disturbance):
        """Let a disturbance end; bytes that were held go on."""
        self._disturbances.remove(disturbance)
        self._changed.set()
        self._changed = asyncio.Event()

    def reset(self, applies):
        """Reset the open connections between the places that are concerned."""
        for source, target, writers in tuple(self._open):
            if applies(source, target) or applies(target, source):
                for writer in writers:
                    _abort(writer)

    def mute(self, applies):
        """Silence open connections for good; new ones work."""
        for connection in self._open:
            if applies(*connection[:2]):
                self._muted.add(connection)

    @contextlib.contextmanager
    def connection(self, source, target, writers):
        """Know of a connection while it is open."""
        entry = (source, target, writers)
        self._open.add(entry)
        try:
            yield entry
        finally:
            self._open.discard(entry)
            self._muted.discard(entry)

    async def cross(self, connection, source, target):
        """Return when bytes of a connection may go on from one place to another."""
        while connection in self._muted:
            await asyncio.sleep(MUTED_CHECK_S)
        while True:
            mine = [x for x in self._disturbances if x.applies(source, target)]
            if not any(each.delay_s is None for each in mine):
                break
            await self._changed.wait()
        await asyncio.sleep(max((each.delay_s for each in mine), default=0.0))


class Relay:
    """Takes connections at an address and passes their bytes to a place's own.

    Parameters
    ----------
    links : Links
        How the bytes fare.
    place : str
        Who listens behind the relay.
    listen, target : tuple
        Host and port of the relay, and of the place.
    source_of : callable
        Returns the name and the host of whoever connects from an address.
    """

    def __init__(self, links, place, listen, target, source_of):
        self._links = links
        self._place = place
        self._listen = listen
        self._target = target
        self._source_of = source_of
        self._server = None
        self._serving = set()

    async def start(self):
        """Begin to listen."""
        self._server = await asyncio.start_server(self._accept, *self._listen)

    async def stop(self):
        """Stop listening."""
        self._server.close()
        await cancel_all(tuple(self._serving))

    def _accept(self, reader, writer):
        """Begin to serve one connection."""
        serving = asyncio.create_task(self._serve(reader, writer))
        self._serving.add(serving)
        serving.add_done_callback(self._serving.discard)

    async def _serve(self, reader, writer):
        """Pass the bytes of one connection both ways."""
        try:
            source, host = self._source_of(writer.get_extra_info("peername"))
            inner_reader, inner = await asyncio.open_connection(
                *self._target, local_addr=(host, 0)
            )
        except OSError:
            _abort(writer)
            return
        writers = (writer, inner)
        with self._links.connection(source, self._place, writers) as connection:
            await asyncio.gather(
                self._pass_on(connection, reader, inner, source, self._place),
                self._pass_on(connection, inner_reader, writer, self._place, source),
            )
        for each in (writer, inner):
            each.close()

    async def _pass_on(self, connection, reader, writer, source, target):
        """Pass bytes one way until that way is closed."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._links.cross(connection, source, target)
                if writer.is_closing():
                    return
                writer.write(data)
                await writer.drain()
            await self._links.cross(connection, source, target)
            writer.close()
        except OSError:
            await self._links.cross(connection, source, target)
            _abort(writer)


def _abort(writer):
    """Reset a connection."""
    if writer.transport.is_closing():
        return
    with contextlib.suppress(OSError):
        own = writer.get_extra_info("socket")
        own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()


def owner_of(address, pids):
    """Return which of some processes has the local end of a connection, or None.

    Parameters
    ----------
    address : tuple
        Host and port of that end.
    pids : dict
        Names by process id.
    """
    host, port = address
    packed = f"{struct.unpack('<I', socket.inet_aton(host))[0]:08X}:{port:04X}"
    inode = _inode_of(packed, Path("/proc/net/tcp").read_text())
    wanted = f"socket:[{inode}]"
    return next((pids[each] for each in pids if _has(each, wanted)), None)


def _inode_of(packed, table):
    """Return the inode of the socket with a local address, or None."""
    at = table.find(f": {packed} ")
    return None if at < 0 else table[at : table.find("\n", at)].split()[9]


def _has(pid, wanted):
    """Return whether a process has a descriptor that refers to something."""
    folder = f"/proc/{pid}/fd"
    with contextlib.suppress(OSError):
        for each in os.listdir(folder):
            with contextlib.suppress(OSError):
                if os.readlink(f"{folder}/{each}") == wanted:
                    return True
    return False
