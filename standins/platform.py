"""Stand-ins for the users' platform: its store and a worker, by their protocol.

Each keeps what it has seen, and on request behaves as the pages allow when things
fail: the store is away, a worker leaves orders without an answer.
"""

import asyncio
import base64
import contextlib
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp
from aiohttp import web

MS_PER_S = 1000.0
STOP_S = 0.02
MAX_HOLD_MS = 1000
CAPACITY = {"cpu": 64000, "mem_mb": 131072, "gpu": 0}


class PlatformStore:
    """The store: items with revisions, watches and leases.

    Attributes
    ----------
    away : bool
        Answer 503 to every call.
    turned_away : set of str
        Hosts whose calls are answered 503.
    slow_s : float
        By how much every answer is late.
    mute : bool
        Writes are carried out and not answered.
    """

    def __init__(self):
        self._items = {}
        self._events = []
        self._revision = 1
        self._oldest = 0
        self._leases = itertools.count(1)
        self._changed = asyncio.Condition()
        self._runner = None
        self.away = False
        self.turned_away = set()
        self.slow_s = 0.0
        self.mute = False
        self.calls = 0

    async def start(self, host, port):
        """Begin to listen."""
        app = web.Application()
        app.add_routes(
            [
                web.get("/api/kv-key", self._key),
                web.get("/api/kv-range", self._range),
                web.get("/api/kv-watch", self._watch),
                web.post("/api/kv-txn", self._txn),
                web.post("/api/kv-lease", self._lease),
                web.post("/api/kv-keep/{id}", self._keep),
            ]
        )
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()

    async def stop(self):
        """Stop listening."""
        await self._runner.cleanup()

    async def put(self, key, value):
        """Write a value, as an operator does."""
        async with self._changed:
            self._write(key, base64.b64encode(value).decode())
            self._changed.notify_all()

    async def remove(self, key):
        """Remove a key, as an operator does."""
        async with self._changed:
            if self._items.pop(key, None) is not None:
                self._revision += 1
                event = {"key": key, "revision": self._revision, "removed": True}
                self._events.append(event)
            self._changed.notify_all()

    def forget(self):
        """Drop the history; watches that go on from it are told so."""
        self._events.clear()
        self._oldest = self._revision

    def keys(self, prefix):
        """Return the keys under a prefix."""
        return sorted(each for each in self._items if each.startswith(prefix))

    def _write(self, key, value):
        """Write one item."""
        self._revision += 1
        item = {"key": key, "value": value, "revision": self._revision}
        self._items[key] = item
        self._events.append(item)

    async def _key(self, request):
        """Return one item."""
        await self._admit(request)
        item = self._items.get(request.query["key"])
        if item is None:
            return web.json_response({}, status=404)
        return web.json_response(item | {"as_of": self._revision})

    async def _range(self, request):
        """Return the items under a prefix."""
        await self._admit(request)
        items = [self._items[each] for each in self.keys(request.query["prefix"])]
        body = {"items": items, "has_more": False, "as_of": self._revision}
        return web.json_response(body)

    async def _watch(self, request):
        """Return changes as soon as there are any."""
        await self._admit(request)
        prefix, after = request.query["prefix"], int(request.query["after"])
        wait_s = int(request.query["wait_ms"]) / MS_PER_S
        if after < self._oldest:
            raise web.HTTPGone

        def news():
            return [
                each
                for each in self._events
                if each["revision"] > after and each["key"].startswith(prefix)
            ]

        async with self._changed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait_for(news), wait_s)
            body = {"events": news(), "as_of": self._revision}
        return web.json_response(body)

    async def _txn(self, request):
        """Write items."""
        await self._admit(request)
        body = await request.json()
        async with self._changed:
            for each in body["puts"]:
                self._write(each["key"], each["value"])
            self._changed.notify_all()
        if self.mute:
            request.transport.abort()
        return web.json_response({"revision": self._revision})

    async def _lease(self, request):
        """Grant a lease."""
        await self._admit(request)
        ttl_ms = (await request.json())["ttl_ms"]
        return web.json_response({"lease": next(self._leases), "ttl_ms": ttl_ms})

    async def _keep(self, request):
        """Renew a lease."""
        await self._admit(request)
        return web.json_response({"ttl_ms": 1000})

    async def _admit(self, request):
        """Count a call; refuse or delay it as the store's faults say."""
        self.calls += 1
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        if self.away or request.remote in self.turned_away:
            raise web.HTTPServiceUnavailable


@dataclass
class WorkerRun:
    """A run of the stand-in worker."""

    began: float
    work_s: float
    timer: asyncio.TimerHandle | None = None


@dataclass
class WorkerFaults:
    """How a stand-in worker misbehaves.

    Attributes
    ----------
    mute_starts : int
        How many of the next orders to start are carried out without an answer.
    late : callable or None
        Returns by how many seconds the next order is carried out late, without an
        answer; 0 for an order that is carried out at once.
    failing : callable or None
        Returns whether the next run fails.
    stands : bool
        Runs that begin now make no progress and do not end.
    clock_rate : float
        Speed of its steady clock.
    """

    mute_starts: int = 0
    late: Callable[[], float] | None = None
    failing: Callable[[], bool] | None = None
    stands: bool = False
    clock_rate: float = 1.0


class PlatformWorker:
    """A worker: runs tasks for the time that their text says, in seconds.

    A text of ``fail`` fails at once. What runs ends with the lease.

    Parameters
    ----------
    service, zone, agent_url : str
        What it serves, where it is, and where it reports.
    beat_s : float
        Time between reports.
    observe : callable, optional
        Is called with this worker, ``"start"`` or how a run ended, and the order or
        the name of the run.

    Attributes
    ----------
    faults : WorkerFaults
        How it misbehaves.
    starts : list
        Task and run of every start.
    """

    def __init__(self, service, zone, agent_url, beat_s=0.2, observe=None):
        self._service = service
        self.zone = zone
        self._agent_url = agent_url
        self._beat_s = beat_s
        self._observe = observe or (lambda *_: None)
        self._runner = None
        self._tasks = []
        self._address = ""
        self._listen = ("", 0)
        self.id = "i-1"
        self.state = "ready"
        self.faults = WorkerFaults()
        self.confirmed_at = None
        self.starts = []
        self.most_at_once = 0
        self._boot()

    def _boot(self):
        """Begin a life that knows nothing of any before."""
        self._began = time.monotonic()
        self._sequence = itertools.count(1)
        self._numbers = itertools.count(1)
        self._running = {}
        self._finished = []
        self._refused = {}
        self._lease_ms = 0
        self._ended = asyncio.Event()
        self.born = int(time.time() * MS_PER_S)
        self.token = 0

    async def start(self, host, port, address=""):
        """Begin to listen and to report; `address` is told if it is another."""
        self._listen = (host, port)
        self._address = address or f"{host}:{port}"
        await self._serve()

    async def _serve(self):
        """Listen and report."""
        app = web.Application()
        app.add_routes(
            [
                web.post("/api/run-start", self._start),
                web.post("/api/run-stop", self._stop),
                web.post("/api/hold", self._hold),
            ]
        )
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, *self._listen, reuse_address=True).start()
        self._tasks = [asyncio.create_task(self._report())]

    async def stop(self):
        """Stop listening and reporting."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._runner.cleanup()

    async def crash(self, down_s):
        """End without a word, and begin a new life after some time."""
        self._end_all("crashed")
        await self.stop()
        await asyncio.sleep(down_s)
        self._boot()
        await self._serve()

    @property
    def running(self):
        """Return the runs that are alive: tasks and the numbers of their starts."""
        self._end_lapsed()
        return set(self._running)

    def _clock_ms(self):
        """Return the steady clock."""
        elapsed_s = (time.monotonic() - self._began) * self.faults.clock_rate
        return int(elapsed_s * MS_PER_S)

    async def _report(self):
        """Report to the agent again and again."""
        async with aiohttp.ClientSession() as session:
            while True:
                body = {
                    "service": self._service,
                    "address": self._address,
                    "zone": self.zone,
                    "version": "v1",
                    "slots": 8,
                    "state": self.state,
                    "cold_remaining_ms": 0,
                    "capacity": CAPACITY,
                    "labels": ["a", "r1-1"],
                    "clock_ms": self._clock_ms(),
                    "sequence": next(self._sequence),
                    "born": self.born,
                }
                url = f"{self._agent_url}/api/instances/{self.id}"
                try:
                    async with session.put(url, json=body) as reply:
                        drains = body["state"] == "draining" and reply.status == 200
                        if drains and self.confirmed_at is None:
                            self.confirmed_at = time.monotonic()
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(self._beat_s)

    async def _late(self, carry_out):
        """Carry an order out late and leave it without an answer, if faults say so."""
        late_s = self.faults.late() if self.faults.late else 0.0
        if late_s:
            born = self.born

            async def later():
                await asyncio.sleep(late_s)
                if self.born == born:
                    carry_out()

            self._tasks.append(asyncio.create_task(later()))
            await asyncio.sleep(late_s)
            raise web.HTTPServiceUnavailable

    async def _start(self, request):
        """Start a run."""
        self._check_boot(request)
        body = await request.json()
        await self._late(lambda: self._begin(body))
        answer = self._begin(body)
        if self.faults.mute_starts:
            self.faults.mute_starts -= 1
            await asyncio.sleep(1.0)
        return answer

    def _begin(self, body):
        """Start a run, or say why not."""
        self._end_lapsed()
        if body["fencing_token"] < self.token:
            return self._conflict("fence")
        self.token = body["fencing_token"]
        key = (body["task"], body["run_id"])
        if key in self._running:
            return self._ok()
        if self._refused.get(key[0], 0) >= key[1]:
            return self._conflict("old")
        if body["deadline_ms"] <= self._clock_ms():
            return self._conflict("late")
        self._prolong(body["deadline_ms"])
        failing = body["spec"] == "fail"
        work_s = 0.01 if failing else float(body["spec"])
        failing = failing or (self.faults.failing and self.faults.failing())
        run = WorkerRun(time.monotonic(), work_s)
        self._running[key] = run
        self.starts.append(key)
        self.most_at_once = max(self.most_at_once, len(self._running))
        self._observe(self, "start", body)
        if not self.faults.stands:
            how = "failed" if failing else "done"
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(work_s, self._end, key, how)
        return self._ok()

    async def _stop(self, request):
        """Stop a run."""
        self._check_boot(request)
        body = await request.json()
        await self._late(lambda: self._halt(body))
        return self._halt(body)

    def _halt(self, body):
        """Stop a run, or never begin it."""
        self._end_lapsed()
        if body["fencing_token"] < self.token:
            return self._conflict("fence")
        key = (body["task"], body["run_id"])
        self._refused[key[0]] = max(self._refused.get(key[0], 0), key[1])
        run = self._running.get(key)
        if run is not None:
            if run.timer is not None:
                run.timer.cancel()
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(STOP_S, self._end, key, "stopped")
        return self._ok()

    async def _hold(self, request):
        """Return the lists, at the next end if the call waits."""
        self._check_boot(request)
        body = await request.json()
        self._end_lapsed()
        if body["fencing_token"] < self.token:
            return self._conflict("fence")
        self.token = body["fencing_token"]
        self._prolong(body.get("deadline_ms", 0))
        seen = body["last_seen"]
        self._finished = [each for each in self._finished if each[0] > seen]
        if not self._finished and body.get("wait_ms"):
            self._ended.clear()
            try:
                wait_s = body["wait_ms"] / MS_PER_S
                await asyncio.wait_for(self._ended.wait(), wait_s)
            except TimeoutError:
                pass
        self._end_lapsed()
        running = [
            [key[0], key[1], "", self._percent(run), 6000]
            for key, run in self._running.items()
        ]
        return self._ok(running=running, finished=self._finished)

    def _check_boot(self, request):
        """Refuse a call that is meant for another boot."""
        if request.headers.get("Expect-Instance", self.id) != self.id:
            raise web.HTTPMisdirectedRequest

    def _prolong(self, until_ms):
        """Prolong the lease of all that runs, by its bound at most."""
        until_ms = min(until_ms, self._clock_ms() + MAX_HOLD_MS)
        self._lease_ms = max(self._lease_ms, until_ms)

    def _end_lapsed(self):
        """End all that runs if its lease has passed."""
        if self._running and self._clock_ms() >= self._lease_ms:
            self._end_all("lapsed")

    def _end_all(self, how):
        """End all that runs."""
        for key, run in tuple(self._running.items()):
            if run.timer is not None:
                run.timer.cancel()
            self._end(key, how)

    def _percent(self, run):
        """Return the share of the work that is done."""
        if run.timer is None:
            return 0
        return min(99, int(100 * (time.monotonic() - run.began) / run.work_s))

    def _end(self, key, how):
        """End a run, as its lease has if that has passed."""
        if how == "done" and self._clock_ms() >= self._lease_ms:
            self._end_all("lapsed")
            return
        if self._running.pop(key, None) is not None:
            self._refused[key[0]] = max(self._refused.get(key[0], 0), key[1])
            number = next(self._numbers)
            self._finished.append([number, key[0], key[1], how, ""])
            self._ended.set()
            self._observe(self, how, key)

    def _ok(self, **lists):
        """Return a positive answer."""
        body = {"clock_ms": self._clock_ms(), "born": self.born, **lists}
        return web.json_response(body)

    def _conflict(self, reason):
        """Return a refusal."""
        body = {"clock_ms": self._clock_ms(), "reason": reason}
        return web.json_response(body, status=409)
