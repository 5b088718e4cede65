"""Actors: tasks that own their state and handle messages from an inbox."""

import asyncio
from collections import deque
from dataclasses import dataclass

from ragwortlug.telemetry.logs import logger

TICK_S = 0.1
MAX_BURST_MESSAGES = 200


@dataclass(frozen=True, slots=True)
class Tick:
    """A tick period has passed."""


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """The view has changed."""


async def cancel_all(tasks):
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


class Actor:
    """A task with an inbox.

    A subclass registers a handler for each message type, and other code posts
    messages. Handlers run one at a time.

    Parameters
    ----------
    name : str
        The prefix of the actor's log lines.
    metrics : Metrics
        Counts handlers that raised an exception.
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

    def register_handler(self, message_type, handler):
        """Call ``handler(sender, message)`` for messages of a type."""
        self._handlers[message_type] = handler

    def post(self, sender, message):
        """Append a message to the inbox."""
        self._inbox.append((sender, message))
        if self._arrival is not None and not self._arrival.done():
            self._arrival.set_result(None)

    async def start(self):
        """Start handling messages."""
        self._task = asyncio.create_task(self._run())

    async def stop(self):
        """Stop handling messages."""
        await cancel_all([self._task])

    async def _run(self):
        """Handle messages as they arrive, yielding to other tasks after a burst."""
        loop = asyncio.get_running_loop()
        while True:
            for _ in range(min(len(self._inbox), MAX_BURST_MESSAGES)):
                self._handle_one(*self._inbox.popleft())
            if self._inbox:
                await asyncio.sleep(0)
            else:
                self._arrival = loop.create_future()
                await self._arrival

    def _handle_one(self, sender, message):
        """Handle a message; log an exception instead of raising it."""
        message_type = type(message)
        try:
            self._handlers[message_type](sender, message)
        except Exception:
            self._metrics.count("handler_errors", message_type.__name__)
            self._log.exception("The handler of {} failed.", message_type.__name__)


class PeerActor(Actor):
    """An actor that passes the messages of other processes to decision functions.

    A subclass carries out the effects of its decisions in `_perform`.

    Parameters
    ----------
    name : str
        The prefix of the actor's log lines.
    peers, timer, metrics
        The services of those names.
    """

    def __init__(self, name, peers, timer, metrics):
        super().__init__(name, metrics)
        self._peers = peers
        self._timer = timer
        self._calls = set()

    async def stop(self):
        """Cancel the calls in progress and stop handling messages."""
        for call in self._calls:
            call.cancel()
        await super().stop()

    def _register_decision(self, message_type, decide):
        """Handle messages of a type by ``decide(sender, message, now)``."""

        def handler(sender, message):
            self._perform(decide(sender, message, self._timer.monotonic()))

        self.register_handler(message_type, handler)
        self._peers.register_handler(message_type, self.post)

    def _spawn_call(self, coroutine):
        """Run a call to another process in a new task and return the task."""
        call = asyncio.create_task(coroutine)
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)
        return call
