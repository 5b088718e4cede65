"""A stand-in for a target: announces itself, runs tasks and records every start.

A task's payload controls the run: ``run_ms`` (duration), ``fail``, ``lose_reply``
(close the connection without an answer) and ``echo`` (the result). The record of
starts is independent of the system under test.
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
        URL of the target.
    agent_url : str
        URL of the agent that receives its announcements.
    capacity : dict
        Capacity that it announces.
    ttl_ms : int
        Validity of an announcement, in milliseconds.

    Attributes
    ----------
    starts : Counter
        Number of starts of each task, by ``job/index``.
    started_at : list of (float, str)
        Time in milliseconds since the epoch and name of every start.
    intervals : list of (float, float)
        Start and end of every run, in seconds since the epoch.
    slowness : float
        Factor by which run times are multiplied.
    fail_all : bool
        Whether every task fails at once.
    peak_running : int
        Largest number of simultaneous tasks.
    reply_body : bytes or None
        Body of the answers to all tasks, in place of the usual one.
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
        self.peak_running = 0
        self.reply_body = None
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
        """Start listening and, unless `announce` is false, announcing itself."""
        self._runner = web.AppRunner(
            self.app, access_log=None, keepalive_timeout=75, shutdown_timeout=0.1
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port, reuse_address=True).start()
        if announce:
            self._session = aiohttp.ClientSession()
            self._renewal = asyncio.create_task(self._renew())

    async def stop(self, graceful=True):
        """Stop listening.

        If `graceful`, first announce the departure and wait for the running tasks.
        """
        if self._renewal is not None:
            self._renewal.cancel()
            if graceful:
                await self._announce(leaving=True)
                while self._running:
                    await asyncio.sleep(0.02)
            await self._session.close()
        await self._runner.cleanup()

    async def _renew(self):
        """Announce the target periodically."""
        while True:
            await self._announce()
            await asyncio.sleep(self._ttl_ms / 1000 / RENEWALS_PER_TTL)

    async def _announce(self, leaving=False):
        """Announce the target once and ignore connection errors.

        `_renew` sends the next announcement after its interval.
        """
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
        """Serve a request to run a task."""
        body = await request.json()
        if body.get("instance", self._instance) != self._instance:
            return web.json_response({"error": "another instance"}, status=421)
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
        self.peak_running = max(self.peak_running, len(self._running))
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
        if self.reply_body is not None:
            return web.Response(body=self.reply_body)
        return web.json_response({"result": payload.get("echo", name)})

    async def _stop(self, request):
        """Serve a request to stop a task."""
        running = self._running.get(request.match_info["id"])
        if running is None:
            return web.json_response({"error": "not running"}, status=404)
        running.cancel()
        return web.json_response({})

    async def _throttle(self, request):
        """Record a request to throttle a task, without slowing it down."""
        return self._record_request(request, self.throttled, {})

    async def _checkpoint(self, request):
        """Record a request for a checkpoint of a task and return its name."""
        name = f"state-of-{request.match_info['id']}"
        return self._record_request(request, self.checkpoints, {"checkpoint": name})

    def _record_request(self, request, task_ids, reply):
        """Record a request for a running task; answer 404 if it is not running."""
        task = request.match_info["id"]
        if task not in self._running:
            return web.json_response({"error": "not running"}, status=404)
        task_ids.append(task)
        return web.json_response(reply)

    async def _show_starts(self, _request):
        """Serve the record of starts."""
        return web.json_response(
            {
                "starts": self.starts,
                "started_at": self.started_at,
                "late_refusals": self.late_refusals,
                "peak": self.peak_running,
            }
        )

    async def _set_fail(self, request):
        """Serve a request to switch `fail_all` on or off."""
        self.fail_all = (await request.json())["on"]
        return web.json_response({})
