"""A relay on loopback that can hold what passes between the project's processes.

A relay stands at the address that a process tells the others. A message names its
sender by that address, so the relay learns who has opened a connection.
"""

import asyncio
import contextlib

CHUNK_BYTES = 65_536
HELD_CHECK_S = 0.01


class Relay:
    """Passes the bytes of connections to a process.

    Parameters
    ----------
    listen, target : tuple of (str, int)
        Where it listens, and where it passes connections on.
    names : dict
        Names of processes by the host that they tell.

    Attributes
    ----------
    cut : callable
        Called with the name of the process that opened a connection, or "" if unknown;
        returns whether nothing passes now, in either direction.
    """

    def __init__(self, listen, target, names=None):
        self._listen = listen
        self._target = target
        self._names = names or {}
        self._server = None
        self._tasks = set()
        self._passages = []
        self.cut = lambda _source: False

    async def start(self):
        """Start listening."""
        self._server = await asyncio.start_server(self._accept, *self._listen)

    async def stop(self):
        """Stop listening and drop all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def break_for_openers(self):
        """Reset whoever opened a connection; the other end sees nothing of it."""
        for passage in self._passages:
            passage["broken"] = True
            passage["writer"].transport.abort()

    def _accept(self, reader, writer):
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader, writer):
        passage = {"source": "", "broken": False, "writer": writer}
        self._passages.append(passage)
        inner = None
        try:
            inner_reader, inner = await asyncio.open_connection(*self._target)
            await asyncio.gather(
                self._pass_on(passage, reader, inner, True),
                self._pass_on(passage, inner_reader, writer, False),
            )
        except OSError:
            pass
        finally:
            self._passages.remove(passage)
            for each in (writer, inner):
                if each is not None:
                    with contextlib.suppress(OSError):
                        each.transport.abort()

    async def _pass_on(self, passage, reader, writer, inward):
        try:
            await self._copy(passage, reader, writer, inward)
        except OSError:
            if not passage["broken"]:
                raise
        # The end that was not reset keeps its connection until the relay stops.
        while passage["broken"]:
            await asyncio.sleep(HELD_CHECK_S)
        writer.close()

    async def _copy(self, passage, reader, writer, inward):
        while data := await reader.read(CHUNK_BYTES):
            if inward and not passage["source"]:
                passage["source"] = self._source_of(data)
            # Bytes that a partition holds up are passed on if it ends in time.
            while self.cut(passage["source"]):
                await asyncio.sleep(HELD_CHECK_S)
            writer.write(data)
            await writer.drain()
        while self.cut(passage["source"]):
            await asyncio.sleep(HELD_CHECK_S)

    def _source_of(self, data):
        """Return who has sent a message: its first address is that of its sender."""
        found = {
            data.find(f"tcp://{host}:".encode()): name
            for host, name in self._names.items()
        }
        found.pop(-1, None)
        return found[min(found)] if found else ""
