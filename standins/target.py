"""A stand-in for a target: announces itself, runs tasks and records every start.

A task's payload says what it does: ``run_ms``, ``fail``, ``lose_reply``. The
record of starts is a witness that is independent of the system under test.
"""

import asyncio
import time
import uuid
from collections import Counter

import aiohttp
from aiohttp import web

RENEWALS_PER_TTL = 3


class TargetStandin:
    """A target with its HTTP interface.

    Parameters
    ----------
    url : str
        Where the target is reached.
    agent_url : str
        Where its agent takes announcements.
    capacity : dict
        As in an announcement.
    """

    def __init__(self, url, agent_url, capacity, ttl_ms=1500):
        self._url = url
        self._agent_url = agent_url
        self._capacity = capacity
        self._ttl_ms = ttl_ms
        self._instance = uuid.uuid4().hex
        self._running = {}
        self._runner = None
        self._renewal = None
        self._session = None
        self.starts = Counter()
        self.started_at = []
        self.late_refusals = 0
        self.throttled = []
        self.checkpoints = []
        self.intervals = []
        self.slowness = 1.0
        self.fail_all = False
        self.peak = 0
        self.app = web.Application(client_max_size=1 << 24)
        self.app.add_routes(
            [
                web.post("/tasks", self._run),
                web.delete("/tasks/{id}", self._stop),
                web.post("/tasks/{id}/throttle", self._throttle),
                web.post("/tasks/{id}/checkpoint", self._checkpoint),
                web.get("/starts", self._show_starts),
                web.post("/fail", self._set_fail),
            ]
        )

    async def start(self, host, port, announce=True):
        """Begin to listen, and to announce itself."""
        self._runner = web.AppRunner(
            self.app, access_log=None, keepalive_timeout=75, shutdown_timeout=0.1
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port, reuse_address=True).start()
        if announce:
            self._session = aiohttp.ClientSession()
            self._renewal = asyncio.create_task(self._renew())

    async def stop(self, graceful=True):
        """Leave, if gracefully, and stop listening."""
        if self._renewal is not None:
            self._renewal.cancel()
            if graceful:
                await self._announce(leaving=True)
                while self._running:
                    await asyncio.sleep(0.02)
            await self._session.close()
        await self._runner.cleanup()

    async def _renew(self):
        """Announce again and again."""
        while True:
            await self._announce()
            await asyncio.sleep(self._ttl_ms / 1000 / RENEWALS_PER_TTL)

    async def _announce(self, leaving=False):
        """Announce once; an agent that does not answer is tried again later."""
        body = {
            "url": self._url,
            "instance": self._instance,
            "capacity": self._capacity,
            "ttl_ms": self._ttl_ms,
            "leaving": leaving,
        }
        try:
            async with self._session.put(
                f"{self._agent_url}/target", json=body
            ) as response:
                await response.read()
        except aiohttp.ClientError:
            return

    async def _run(self, request):
        """Run a task."""
        body = await request.json()
        now_ms = time.time() * 1000
        if now_ms > body["start_before_ms"]:
            self.late_refusals += 1
            return web.json_response({"error": "too late"}, status=503)
        name = f"{body['job']}/{body['index']}"
        self.starts[name] += 1
        self.started_at.append((now_ms, name))
        payload = body.get("payload") or {}
        run_s = payload.get("run_ms", 0) / 1000 * self.slowness
        if body.get("throttled"):
            self.throttled.append(body["id"])
        running = asyncio.ensure_future(asyncio.sleep(0 if self.fail_all else run_s))
        self._running[body["id"]] = running
        self.peak = max(self.peak, len(self._running))
        try:
            await running
        except asyncio.CancelledError:
            return web.json_response({"error": "stopped"}, status=500)
        finally:
            del self._running[body["id"]]
            self.intervals.append((now_ms / 1000, time.time()))
        if payload.get("lose_reply"):
            request.transport.abort()
        if payload.get("fail") or self.fail_all:
            return web.json_response({"error": "told to fail"}, status=500)
        return web.json_response({"result": payload.get("echo", name)})

    async def _stop(self, request):
        """Stop a task."""
        running = self._running.get(request.match_info["id"])
        if running is None:
            return web.json_response({"error": "not running"}, status=404)
        running.cancel()
        return web.json_response({})

    async def _throttle(self, request):
        """Note that a task is to run slower; its pace here stays the same."""
        return self._note(request, self.throttled, {})

    async def _checkpoint(self, request):
        """Note that a task's state is to be saved, and name it."""
        name = f"state-of-{request.match_info['id']}"
        return self._note(request, self.checkpoints, {"checkpoint": name})

    def _note(self, request, asked, reply):
        """Keep what was asked of a running task."""
        task = request.match_info["id"]
        if task not in self._running:
            return web.json_response({"error": "not running"}, status=404)
        asked.append(task)
        return web.json_response(reply)

    async def _show_starts(self, _request):
        """Show every start."""
        return web.json_response(
            {
                "starts": self.starts,
                "started_at": self.started_at,
                "late_refusals": self.late_refusals,
                "peak": self.peak,
            }
        )

    async def _set_fail(self, request):
        """Fail every task from now on, or no more."""
        self.fail_all = (await request.json())["on"]
        return web.json_response({})
