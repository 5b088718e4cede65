"""The entry: serves callers and operators; the only role that uses the store."""

import asyncio

DRAIN_CHECK_S = 0.05


class EntryShutdown:
    """The graceful shutdown of an entry.

    Parameters
    ----------
    view_sync, relay, operators, timer
        The services of those names.
    drain_s : float
        How long to wait for the balancer to notice that the entry is not ready.
    """

    def __init__(self, view_sync, relay, operators, timer, drain_s):
        self._view_sync = view_sync
        self._relay = relay
        self._operators = operators
        self._timer = timer
        self._drain_s = drain_s

    async def run(self, limit_s):
        """Report not ready, leave and finish; return False after `limit_s`."""
        self._operators.serving = False
        try:
            async with asyncio.timeout(limit_s):
                await asyncio.sleep(self._drain_s)
                self._view_sync.leaving = True
                while self._relay.pending or not self._departed():
                    await asyncio.sleep(DRAIN_CHECK_S)
        except TimeoutError:
            return False
        return True

    def _departed(self):
        """Return whether the roster no longer lists this entry as present."""
        return not any(each.is_present for each in self._view_sync.own_members)
