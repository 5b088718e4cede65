"""The timer service: parts subscribe to ticks instead of sleeping themselves."""

import asyncio
import time

import reactivex
from reactivex.disposable import CompositeDisposable
from reactivex.scheduler.eventloop import AsyncIOScheduler


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
        scheduler = AsyncIOScheduler(asyncio.get_running_loop())
        ticks = reactivex.interval(period_s, scheduler=scheduler)
        self._subscriptions.add(ticks.subscribe(lambda _: action()))

    async def stop(self):
        """End all subscriptions."""
        self._subscriptions.dispose()
