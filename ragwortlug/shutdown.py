"""Graceful shutdowns of the programs that run restartable jobs."""

import asyncio

CHECK_S = 0.05


class DispatchShutdown:
    """The graceful shutdown of an entry that dispatches jobs.

    Connections are accepted until the balancer must have noticed. Later jobs on open
    connections are refused, since the shutdown could interrupt them.

    Parameters
    ----------
    routes : object
        Has the flags ``draining``, by which connections end with their next
        response, and ``closed``, by which jobs are refused.
    server : HttpServer
        Serves the callers.
    dispatcher : DispatcherActor
        Finishes its jobs before the shutdown ends.
    drain_s : float
        How long to accept connections until the balancer notices.
    """

    def __init__(self, routes, server, dispatcher, drain_s):
        self._routes = routes
        self._server = server
        self._dispatcher = dispatcher
        self._drain_s = drain_s

    async def run(self, limit_s):
        """Report not ready, then finish the jobs; return False after `limit_s`."""
        self._routes.draining = True
        try:
            async with asyncio.timeout(limit_s):
                await asyncio.sleep(self._drain_s)
                await self._server.stop_listening()
                self._routes.closed = True
                while self._dispatcher.open_jobs:
                    await asyncio.sleep(CHECK_S)
        except TimeoutError:
            return False
        return True


class LeasedShutdown:
    """The graceful shutdown of an agent: accept no new runs, finish the others.

    Parameters
    ----------
    runner : LeasedActor
        Finishes its runs before the shutdown ends.
    """

    def __init__(self, runner):
        self._runner = runner

    async def run(self, limit_s):
        """Leave, then finish the runs; return False after `limit_s`."""
        self._runner.leave()
        try:
            async with asyncio.timeout(limit_s):
                await asyncio.sleep(CHECK_S)
                while not self._runner.idle:
                    await asyncio.sleep(CHECK_S)
        except TimeoutError:
            return False
        return True
