"""Proxies between the processes of a deployment that hold bytes during a partition."""

import asyncio
import contextlib
import re

CHUNK_BYTES = 65_536


class Partition:
    """Which zone is cut off from the others, and from the store."""

    def __init__(self):
        self._zone = None
        self._changed = asyncio.Event()

    def set(self, zone):
        """Cut a zone off; None to heal. Bytes that were held go on then."""
        self._zone = zone
        self._changed.set()
        self._changed = asyncio.Event()

    async def cross(self, source_zone, target_zone):
        """Return once bytes may go from one zone to another."""
        while self._zone is not None and (
            (source_zone == self._zone) != (target_zone == self._zone)
        ):
            await self._changed.wait()


class Proxy:
    """Takes connections at an address and passes their bytes to a process.

    Parameters
    ----------
    partition : Partition
        Says which bytes are held.
    listen, target : tuple
        Host and port of the proxy, and of the process behind it.
    zone : str
        The zone of the process.
    source_zone : str or None
        The zone of who connects; None if the bytes tell it.
    zone_by_host : dict
        The zone of each host, to recognize who connects.
    """

    def __init__(self, partition, listen, target, zone, source_zone, zone_by_host):
        self._partition = partition
        self._listen = listen
        self._target = target
        self._zone = zone
        self._source_zone = source_zone
        self._zone_by_host = zone_by_host
        self._server = None
        self._serving = set()

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(self._accept, *self._listen)

    async def stop(self):
        """Cease to listen, and end all connections."""
        self._server.close()
        for task in self._serving:
            task.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)

    def _accept(self, reader, writer):
        task = asyncio.create_task(self._serve(reader, writer))
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)

    async def _serve(self, reader, writer):
        """Pass the bytes of one connection both ways."""
        try:
            inner_reader, inner_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        source = [self._source_zone]
        await asyncio.gather(
            self._pass_on(reader, inner_writer, source, inward=True),
            self._pass_on(inner_reader, writer, source, inward=False),
        )

    async def _pass_on(self, reader, writer, source, inward):
        """Pass the bytes of one direction on, until it ends."""
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if source[0] is None and inward:
                    source[0] = self._recognize(data)
                await self._cross(source[0], inward)
                writer.write(data)
                await writer.drain()
            await self._cross(source[0], inward)
        with contextlib.suppress(OSError):
            writer.close()

    async def _cross(self, source_zone, inward):
        """Wait while the zones are apart; who connects may be unknown yet."""
        if source_zone is None:
            return
        ends = (source_zone, self._zone)
        await self._partition.cross(*(ends if inward else ends[::-1]))

    def _recognize(self, data):
        """Return the zone of the process whose address a message begins with."""
        found = re.search(rb"tcp://([0-9.]+):", data)
        return None if found is None else self._zone_by_host.get(found[1].decode())


class Silencer:
    """A proxy whose open connections can go silent for good, without an end.

    Parameters
    ----------
    listen, target : tuple
        Host and port of the proxy, and of the process behind it.
    """

    def __init__(self, listen, target):
        self._listen = listen
        self._target = target
        self._silent = False
        self._server = None
        self._serving = set()

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(self._accept, *self._listen)

    async def stop(self):
        """Cease to listen, and end all connections."""
        self._server.close()
        for task in self._serving:
            task.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)

    def silence(self):
        """Let nothing pass any more, not even an end or a reset."""
        self._silent = True

    def _accept(self, reader, writer):
        task = asyncio.create_task(self._serve(reader, writer))
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)

    async def _serve(self, reader, writer):
        """Pass the bytes of one connection both ways."""
        inner_reader, inner_writer = await asyncio.open_connection(*self._target)
        try:
            await asyncio.gather(
                self._pass_on(reader, inner_writer),
                self._pass_on(inner_reader, writer),
            )
        finally:
            writer.close()
            inner_writer.close()

    async def _pass_on(self, reader, writer):
        """Pass the bytes of one direction on."""
        while data := await reader.read(CHUNK_BYTES):
            if self._silent:
                break
            writer.write(data)
            await writer.drain()
        if self._silent:
            await asyncio.Event().wait()
        writer.close()
