"""The agent's graceful shutdown: leave, finish, hand over, stop."""

import asyncio

from ragwortlug.home_actor import HandOver
from ragwortlug.runner_actor import Leave

CHECK_S = 0.1
HANDOVER_RETRY_S = 0.5


class AgentShutdown:
    """The graceful shutdown of an agent.

    Parameters
    ----------
    home, runner : HomeActor, RunnerActor
        Finish their work before the agent stops.
    view_sync, timer
        The services of those names.
    """

    def __init__(self, home, runner, view_sync, timer):
        self._home = home
        self._runner = runner
        self._view_sync = view_sync
        self._timer = timer

    async def run(self, limit_s):
        """Leave the roster, finish and hand over; return False after `limit_s`."""
        try:
            async with asyncio.timeout(limit_s):
                await self._leave()
        except TimeoutError:
            return False
        return True

    async def _leave(self):
        """Carry out the steps of the shutdown in order."""
        self._view_sync.leaving = True
        self._runner.post(None, Leave())
        await self._until(self._departed)
        await self._until(lambda: self._home.idle and self._runner.idle)
        await self._hand_over()
        self._view_sync.handed_over = True
        await self._until(self._acknowledged)

    async def _hand_over(self):
        """Send the records to their successors until all are acknowledged."""
        acknowledged = False
        while not acknowledged:
            self._home.post(None, HandOver())
            await asyncio.sleep(HANDOVER_RETRY_S)
            acknowledged = not self._home.handing_over

    async def _until(self, condition):
        """Wait until ``condition()`` is true."""
        while not condition():
            await asyncio.sleep(CHECK_S)

    def _departed(self):
        """Return whether the roster makes this agent home to no ids from now on."""
        now_ms = self._timer.unix_ms()
        return all(
            not each.is_present and each.until_ms <= now_ms
            for each in self._view_sync.own_members
        )

    def _acknowledged(self):
        """Return whether the roster marks all records as handed over."""
        return all(each.handed_over for each in self._view_sync.own_members)
