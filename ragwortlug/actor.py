"""Actors: tasks that own their state and take messages from an inbox."""

import asyncio
from collections import deque
from dataclasses import dataclass

from ragwortlug.telemetry.logs import logger

TICK_S = 0.1
BURST = 200


@dataclass(frozen=True, slots=True)
class Tick:
    """Some time has passed."""


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """The view has changed."""


async def cancel_all(tasks):
    """Cancel some tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


class Actor:
    """A task with an inbox.

    A part registers a handler for each kind of message, and whoever wants
    something of it posts a message. Handlers run one after the other.

    Parameters
    ----------
    name : str
        The prefix of the part's log lines.
    metrics : Metrics
        Counts handlers that raised.
    """

    def __init__(self, name, metrics):
        self._inbox = deque()
        self._arrival = None
        self._handlers = {}
        self._metrics = metrics
        self._task = None
        self._log = logger(name)

    @property
    def backlog(self):
        """Return the number of messages that wait in the inbox."""
        return len(self._inbox)

    def register_handler(self, kind, handler):
        """Call ``handler(sender, message)`` for messages of a kind."""
        self._handlers[kind] = handler

    def post(self, sender, message):
        """Put a message into the inbox."""
        self._inbox.append((sender, message))
        if self._arrival is not None and not self._arrival.done():
            self._arrival.set_result(None)

    async def start(self):
        """Begin to take messages."""
        self._task = asyncio.create_task(self._run())

    async def stop(self):
        """Take no more messages."""
        await cancel_all([self._task])

    async def _run(self):
        """Handle messages as they come; after a burst others have their turn."""
        loop = asyncio.get_running_loop()
        while True:
            for _ in range(min(len(self._inbox), BURST)):
                self._handle_one(*self._inbox.popleft())
            if self._inbox:
                await asyncio.sleep(0)
            else:
                self._arrival = loop.create_future()
                await self._arrival

    def _handle_one(self, sender, message):
        """Handle a message; one that fails harms no other."""
        kind = type(message)
        try:
            self._handlers[kind](sender, message)
        except Exception:
            self._metrics.count("handler_errors", kind.__name__)
            self._log.exception("A {} could not be handled.", kind.__name__)


class PeerActor(Actor):
    """An actor that answers other processes' messages by decisions.

    A subclass carries out the effects of its decisions in `_perform`.

    Parameters
    ----------
    name : str
        The prefix of the part's log lines.
    peers, timer, metrics
        The services of those names.
    """

    def __init__(self, name, peers, timer, metrics):
        super().__init__(name, metrics)
        self._peers = peers
        self._timer = timer
        self._calls = set()

    async def stop(self):
        """End the calls under way, and take no more messages."""
        for call in self._calls:
            call.cancel()
        await super().stop()

    def _serve(self, kind, decide):
        """Answer messages of a kind by ``decide(sender, message, now)``."""

        def handler(sender, message):
            self._perform(decide(sender, message, self._timer.monotonic()))

        self.register_handler(kind, handler)
        self._peers.register_handler(kind, self.post)

    def _spawn_call(self, coroutine):
        """Make a call to the outside in a task of its own; return the task."""
        call = asyncio.create_task(coroutine)
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)
        return call
