"""The agent's graceful shutdown: leave, finish, hand over, go."""

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
        Finish their work first.
    view_sync, timer
        The services of those names.
    """

    def __init__(self, home, runner, view_sync, timer):
        self._home = home
        self._runner = runner
        self._view_sync = view_sync
        self._timer = timer

    async def run(self, limit_s):
        """Leave the roster, finish, hand over; give up after `limit_s`."""
        try:
            async with asyncio.timeout(limit_s):
                await self._leave()
        except TimeoutError:
            return False
        return True

    async def _leave(self):
        """Carry out the steps in their order."""
        self._view_sync.leaving = True
        self._runner.post(None, Leave())
        await self._until(self._departed)
        await self._until(lambda: self._home.idle and self._runner.idle)
        await self._hand_over()
        self._view_sync.handed_over = True
        await self._until(self._acknowledged)

    async def _hand_over(self):
        """Send the records to their heirs until all are taken."""
        taken = False
        while not taken:
            self._home.post(None, HandOver())
            await asyncio.sleep(HANDOVER_RETRY_S)
            taken = not self._home.handing_over

    async def _until(self, holds):
        """Wait until a condition holds."""
        while not holds():
            await asyncio.sleep(CHECK_S)

    def _departed(self):
        """Return whether the roster has no more births for this agent."""
        now_ms = self._timer.unix_ms()
        return all(
            not each.is_present and each.until_ms <= now_ms
            for each in self._view_sync.own_members
        )

    def _acknowledged(self):
        """Return whether the roster says that the records are handed over."""
        return all(each.handed_over for each in self._view_sync.own_members)
