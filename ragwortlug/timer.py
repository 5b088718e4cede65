"""The timer service: parts subscribe to ticks instead of sleeping themselves."""

import asyncio
import time

from reactivex.disposable import CompositeDisposable
from reactivex.subject import Subject

from ragwortlug.telemetry.logs import logger

log = logger("timer")


class Timer:
    """Clocks and periodic ticks of one process."""

    def __init__(self):
        self._subscriptions = CompositeDisposable()

    @staticmethod
    def monotonic():
        """Return seconds on a clock that never goes back and counts every pause."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    @staticmethod
    def unix_ms():
        """Return the Unix time in milliseconds."""
        return int(time.time() * 1000)

    def every(self, period_s, action):
        """Call `action` with no argument each period until the timer stops.

        Parameters
        ----------
        period_s : float
            Seconds between two calls.
        action : callable
            Must not block.
        """
        loop = asyncio.get_running_loop()
        ticks = Subject()
        self._subscriptions.add(ticks)
        ticks.subscribe(lambda _: self._act(action))

        def tick():
            if ticks.is_disposed:
                return
            loop.call_later(period_s, tick)
            ticks.on_next(None)

        loop.call_later(period_s, tick)

    @staticmethod
    def _act(action):
        """Call an action; one that fails is called again all the same."""
        try:
            action()
        except Exception:
            log.exception("A periodic action failed.")

    async def stop(self):
        """End all subscriptions."""
        self._subscriptions.dispose()
