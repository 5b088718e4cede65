"""The timer service: reads the clocks and calls periodic actions."""

import asyncio
import time

from reactivex.disposable import CompositeDisposable
from reactivex.subject import Subject

from ragwortlug.telemetry.logs import logger

log = logger("timer")


class Timer:
    """The clocks and periodic actions of one process."""

    def __init__(self):
        self._subscriptions = CompositeDisposable()

    @staticmethod
    def monotonic():
        """Return seconds on a monotonic clock that includes time in suspend."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    @staticmethod
    def unix_ms():
        """Return the Unix time in milliseconds."""
        return int(time.time() * 1000)

    def every(self, period_s, action):
        """Call an action without arguments once per period until the timer stops.

        Parameters
        ----------
        period_s : float
            Seconds between two calls.
        action : callable
            Must not block. If it raises, the exception is logged and the
            action is called again after the next period.
        """
        loop = asyncio.get_running_loop()
        ticks = Subject()
        self._subscriptions.add(ticks)
        ticks.subscribe(lambda _: self._call_and_log(action))

        def tick():
            if ticks.is_disposed:
                return
            loop.call_later(period_s, tick)
            ticks.on_next(None)

        loop.call_later(period_s, tick)

    @staticmethod
    def _call_and_log(action):
        """Call an action, and log an exception instead of raising it."""
        try:
            action()
        except Exception:
            log.exception("A periodic action failed.")

    async def stop(self):
        """Stop calling the periodic actions."""
        self._subscriptions.dispose()
