"""Stand-ins for the users' platform: its store and a worker.

Both implement the platform's HTTP protocol and record the calls that they receive.
They can simulate the failures that the protocol permits, for example a store that is
unavailable or a worker that does not answer commands.
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
STOP_DELAY_S = 0.02
SHORT_RUN_S = 0.01
MAX_HOLD_MS = 1000
CAPACITY = {"cpu": 64000, "mem_mb": 131072, "gpu": 0}


class PlatformStore:
    """The platform's store: items with revisions, watches and leases.

    Attributes
    ----------
    unavailable : bool
        Whether every call is answered with status 503.
    refused_hosts : set of str
        Hosts whose calls are answered with status 503.
    delay_s : float
        Delay before each answer, in seconds.
    drop_replies : bool
        Whether writes are applied without an answer.
    calls : int
        Number of calls received.
    """

    def __init__(self):
        self._items = {}
        self._events = []
        self._revision = 1
        self._compacted_revision = 0
        self._leases = itertools.count(1)
        self._changed = asyncio.Condition()
        self._runner = None
        self.unavailable = False
        self.refused_hosts = set()
        self.delay_s = 0.0
        self.drop_replies = False
        self.calls = 0

    async def start(self, host, port):
        """Start listening."""
        app = web.Application()
        app.add_routes(
            [
                web.get("/api/kv-key", self._key),
                web.get("/api/kv-range", self._range),
                web.get("/api/kv-watch", self._watch),
                web.post("/api/kv-txn", self._txn),
                web.post("/api/kv-lease", self._create_lease),
                web.post("/api/kv-keep/{id}", self._renew_lease),
            ]
        )
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()

    async def stop(self):
        """Stop listening."""
        await self._runner.cleanup()

    async def put(self, key, value):
        """Write a value (bytes) under a key, as an operator does."""
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

    def compact(self):
        """Drop the history; watches from an older revision get status 410."""
        self._events.clear()
        self._compacted_revision = self._revision

    def keys(self, prefix):
        """Return the sorted keys that start with a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def _write(self, key, value):
        """Write one item at the next revision."""
        self._revision += 1
        item = {"key": key, "value": value, "revision": self._revision}
        self._items[key] = item
        self._events.append(item)

    async def _key(self, request):
        """Serve one item."""
        await self._apply_faults(request)
        item = self._items.get(request.query["key"])
        if item is None:
            return web.json_response({}, status=404)
        return web.json_response(item | {"as_of": self._revision})

    async def _range(self, request):
        """Serve the items whose keys start with a prefix."""
        await self._apply_faults(request)
        items = [self._items[key] for key in self.keys(request.query["prefix"])]
        body = {"items": items, "has_more": False, "as_of": self._revision}
        return web.json_response(body)

    async def _watch(self, request):
        """Serve the changes after a revision; wait for one if there is none."""
        await self._apply_faults(request)
        prefix, after = request.query["prefix"], int(request.query["after"])
        wait_s = int(request.query["wait_ms"]) / MS_PER_S
        if after < self._compacted_revision:
            raise web.HTTPGone

        def pending_events():
            return [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]

        async with self._changed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait_for(pending_events), wait_s)
            body = {"events": pending_events(), "as_of": self._revision}
        return web.json_response(body)

    async def _txn(self, request):
        """Serve a write of one or more items."""
        await self._apply_faults(request)
        body = await request.json()
        async with self._changed:
            for item in body["puts"]:
                self._write(item["key"], item["value"])
            self._changed.notify_all()
        if self.drop_replies:
            _abort(request)
        return web.json_response({"revision": self._revision})

    async def _create_lease(self, request):
        """Create a lease."""
        await self._apply_faults(request)
        ttl_ms = (await request.json())["ttl_ms"]
        return web.json_response({"lease": next(self._leases), "ttl_ms": ttl_ms})

    async def _renew_lease(self, request):
        """Renew a lease."""
        await self._apply_faults(request)
        return web.json_response({"ttl_ms": 1000})

    async def _apply_faults(self, request):
        """Count a call; delay or refuse it according to the simulated faults."""
        self.calls += 1
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.unavailable or request.remote in self.refused_hosts:
            raise web.HTTPServiceUnavailable


@dataclass
class WorkerRun:
    """A run on the stand-in worker."""

    started_at: float
    work_s: float
    timer: asyncio.TimerHandle | None = None


@dataclass
class WorkerFaults:
    """The faults that a stand-in worker simulates.

    Attributes
    ----------
    dropped_start_replies : int
        Number of the next start commands that are executed at once and answered 1 s
        late, which the agent treats as no answer.
    command_delay_s : callable or None
        Returns the delay in seconds before the next command is executed. A delayed
        command gets no answer. 0 means no delay and a normal answer.
    delays_outlive_boot : bool
        Whether a later boot with the same id executes the delayed commands.
    next_run_fails : callable or None
        Returns whether the next run fails.
    stalled : bool
        Whether runs that start now make no progress and do not end.
    list_delay_s : callable or None
        Returns the delay in seconds of the next answer that lists the runs; the list
        is that of before the delay.
    clock_rate : float
        Rate of the worker's monotonic clock; 1.0 is the true rate.
    downtime_s : float
        Time for which it is down after a crash.
    first_report_s : float
        Time from the opening of its port to the first report of a boot.
    """

    dropped_start_replies: int = 0
    command_delay_s: Callable[[], float] | None = None
    delays_outlive_boot: bool = False
    next_run_fails: Callable[[], bool] | None = None
    stalled: bool = False
    list_delay_s: Callable[[], float] | None = None
    clock_rate: float = 1.0
    downtime_s: float = 1.0
    first_report_s: float = 0.0


class PlatformWorker:
    """A worker whose tasks run for the number of seconds in their ``spec``.

    A task with the spec ``fail`` fails after 0.01 s; one with the spec ``crash``
    crashes the worker after that time. All runs end when their lease expires.

    Parameters
    ----------
    service, zone, agent_url : str
        The service that it offers, its data centre, and the URL of its agent.
    report_interval_s : float
        Time between two reports, in seconds.
    observe : callable, optional
        Called as ``observe(worker, event, run)``. For the event ``"start"``, `run` is
        the body of the start command. Otherwise the event is the final state of a run,
        such as ``"done"``, and `run` is its task and number.

    Attributes
    ----------
    faults : WorkerFaults
        The simulated faults.
    labels : tuple of str
        Its kind and its rack.
    starts : list of (str, int)
        Task and run number of every start.
    peak_running : int
        Largest number of simultaneous runs.
    """

    def __init__(self, service, zone, agent_url, report_interval_s=0.2, observe=None):
        self._service = service
        self.zone = zone
        self._agent_url = agent_url
        self._report_interval_s = report_interval_s
        self._observe = observe or (lambda *_: None)
        self._runner = None
        self._tasks = []
        self._address = ""
        self._listen = ("", 0)
        self.id = "i-1"
        self.state = "ready"
        self.faults = WorkerFaults()
        self.labels = ("a", "r1-1")
        self.drain_confirmed_at = None
        self.starts = []
        self.peak_running = 0
        self._crash_task = None
        self._resumed = asyncio.Event()
        self._resumed.set()
        self._boot()

    def _boot(self):
        """Reset all state that a restart of the worker loses."""
        self._booted_at = time.monotonic()
        self._due = []
        self._sequence = itertools.count(1)
        self._end_numbers = itertools.count(1)
        self._running = {}
        self._finished = []
        self._refused_run_ids = {}
        self._lease_expires_at_ms = 0
        self._run_ended = asyncio.Event()
        self.booted_at_ms = int(time.time() * MS_PER_S)
        self.fencing_token = 0
        self.is_up = True

    async def start(self, host, port, address=""):
        """Start listening and reporting.

        The reports contain `address`, or ``host:port`` if it is empty.
        """
        self._listen = (host, port)
        self._address = address or f"{host}:{port}"
        await self._serve()

    async def _serve(self):
        """Start the HTTP server and the task that sends reports."""
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

    async def depart(self, linger_s, down_s):
        """Announce the end, run on for `linger_s`, stop, and boot after `down_s`."""
        url = f"{self._agent_url}/api/instances/{self.id}"
        for task in self._tasks:
            task.cancel()
        body = {"born": self.booted_at_ms}
        async with (
            aiohttp.ClientSession() as session,
            session.delete(url, json=body) as reply,
        ):
            await reply.read()
        await asyncio.sleep(linger_s)
        await self.crash(down_s)

    async def crash(self, down_s):
        """Stop without notifying the agent, and boot again after `down_s` seconds.

        Calls that wait for an answer get none.
        """
        self.is_up = False
        for key, run in self._running.items():
            if run.timer is not None:
                run.timer.cancel()
            self._observe(self, "crashed", key)
        self._running.clear()
        for connection in self._runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()
        await self.stop()
        await asyncio.sleep(down_s)
        self._boot()
        await self._serve()

    def pause(self):
        """Stand still: no call is served, and no run ends by itself."""
        self._resumed.clear()

    def resume(self):
        """Go on; what was due meanwhile happens now."""
        self._resumed.set()
        due, self._due = self._due, []
        for act in due:
            act()

    @property
    def running(self):
        """Set of (task, run number) of the runs that have not ended."""
        self._end_expired()
        return set(self._running)

    def _clock_ms(self):
        """Return the time since boot by the worker's clock, in milliseconds."""
        elapsed_s = (time.monotonic() - self._booted_at) * self.faults.clock_rate
        return int(elapsed_s * MS_PER_S)

    async def _report(self):
        """Report to the agent periodically."""
        await asyncio.sleep(self.faults.first_report_s)
        async with aiohttp.ClientSession() as session:
            while True:
                await self._resumed.wait()
                body = {
                    "service": self._service,
                    "address": self._address,
                    "zone": self.zone,
                    "version": "v1",
                    "slots": 8,
                    "state": self.state,
                    "cold_remaining_ms": 0,
                    "capacity": CAPACITY,
                    "labels": self.labels,
                    "clock_ms": self._clock_ms(),
                    "sequence": next(self._sequence),
                    "born": self.booted_at_ms,
                }
                url = f"{self._agent_url}/api/instances/{self.id}"
                try:
                    async with session.put(url, json=body) as reply:
                        drain_confirmed = (
                            body["state"] == "draining" and reply.status == 200
                        )
                        if drain_confirmed and self.drain_confirmed_at is None:
                            self.drain_confirmed_at = time.monotonic()
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(self._report_interval_s)

    async def _delay_command(self, request, execute):
        """Delay a command according to the faults; close the connection of such a one.

        The worker executes it after the delay. Another boot does only if the faults
        say so.
        """
        delay_s = self.faults.command_delay_s() if self.faults.command_delay_s else 0.0
        if not delay_s:
            return
        booted_at_ms = self.booted_at_ms

        def execute_later():
            if not self._resumed.is_set():
                self._due.append(execute_later)
                return
            same_boot = self.booted_at_ms == booted_at_ms
            if self.is_up and (same_boot or self.faults.delays_outlive_boot):
                execute()

        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, execute_later)
        await asyncio.sleep(delay_s)
        _abort(request)
        raise web.HTTPServiceUnavailable

    async def _start(self, request):
        """Serve a command to start a run."""
        body = await self._receive(request)
        await self._delay_command(request, lambda: self._start_run(body))
        answer = self._start_run(body)
        if self.faults.dropped_start_replies:
            self.faults.dropped_start_replies -= 1
            await asyncio.sleep(1.0)
        return answer

    def _start_run(self, body):
        """Start a run, or return a response with the reason for refusing it."""
        self._end_expired()
        if body["fencing_token"] < self.fencing_token:
            return self._conflict("fence")
        self.fencing_token = body["fencing_token"]
        key = (body["task"], body["run_id"])
        if key in self._running:
            return self._ok()
        if self._refused_run_ids.get(key[0], 0) >= key[1]:
            return self._conflict("old")
        self._extend_lease(body["deadline_ms"])
        if self._lease_expires_at_ms <= self._clock_ms():
            return self._conflict("late")
        failing = body["spec"] == "fail"
        crashing = body["spec"] == "crash"
        work_s = SHORT_RUN_S if failing or crashing else float(body["spec"])
        failing = failing or (
            self.faults.next_run_fails and self.faults.next_run_fails()
        )
        run = WorkerRun(time.monotonic(), work_s)
        self._running[key] = run
        self.starts.append(key)
        self.peak_running = max(self.peak_running, len(self._running))
        self._observe(self, "start", body)
        if crashing:
            crash = self.crash(self.faults.downtime_s)
            self._crash_task = asyncio.create_task(_after(work_s, crash))
        elif not self.faults.stalled:
            end_state = "failed" if failing else "done"
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(work_s, self._end, key, end_state)
        return self._ok()

    async def _stop(self, request):
        """Serve a command to stop a run."""
        body = await self._receive(request)
        await self._delay_command(request, lambda: self._stop_run(body))
        return self._stop_run(body)

    def _stop_run(self, body):
        """Stop a run; refuse a later start of the same or a lower run number."""
        self._end_expired()
        if body["fencing_token"] < self.fencing_token:
            return self._conflict("fence")
        key = (body["task"], body["run_id"])
        self._refused_run_ids[key[0]] = max(
            self._refused_run_ids.get(key[0], 0), key[1]
        )
        run = self._running.get(key)
        if run is not None:
            if run.timer is not None:
                run.timer.cancel()
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(STOP_DELAY_S, self._end, key, "stopped")
        return self._ok()

    async def _hold(self, request):
        """Serve the running and finished runs; wait for an end if asked to."""
        body = await self._receive(request)
        self._end_expired()
        if body["fencing_token"] < self.fencing_token:
            return self._conflict("fence")
        self.fencing_token = body["fencing_token"]
        self._extend_lease(body.get("deadline_ms", 0))
        last_seen = body["last_seen"]
        self._finished = [entry for entry in self._finished if entry[0] > last_seen]
        if not self._finished and body.get("wait_ms"):
            self._run_ended.clear()
            try:
                wait_s = body["wait_ms"] / MS_PER_S
                await asyncio.wait_for(self._run_ended.wait(), wait_s)
            except TimeoutError:
                pass
            await self._resumed.wait()
        self._end_expired()
        running = [
            [key[0], key[1], "", self._percent(run), 6000]
            for key, run in self._running.items()
        ]
        answer = self._ok(running=running, finished=self._finished)
        if self.faults.list_delay_s:
            await asyncio.sleep(self.faults.list_delay_s())
        return answer

    async def _receive(self, request):
        """Return the body of a call, once the worker is not paused."""
        self._check_instance(request)
        body = await request.json()
        if not self._resumed.is_set():
            await self._resumed.wait()
            self._check_instance(request)
        return body

    def _check_instance(self, request):
        """Refuse a call that is meant for another instance, or for none any more."""
        if not self.is_up:
            _abort(request)
        if request.headers.get("Expect-Instance", self.id) != self.id:
            raise web.HTTPMisdirectedRequest

    def _extend_lease(self, expires_at_ms):
        """Extend the lease of all runs, by at most `MAX_HOLD_MS` from now."""
        expires_at_ms = min(expires_at_ms, self._clock_ms() + MAX_HOLD_MS)
        self._lease_expires_at_ms = max(self._lease_expires_at_ms, expires_at_ms)

    def _end_expired(self):
        """End all runs if their lease has expired."""
        if self._running and self._clock_ms() >= self._lease_expires_at_ms:
            self._end_all("lapsed")

    def _end_all(self, end_state):
        """End all runs."""
        for key, run in tuple(self._running.items()):
            if run.timer is not None:
                run.timer.cancel()
            self._end(key, end_state)

    def _percent(self, run):
        """Return the completed percentage of a run, at most 99."""
        if run.timer is None:
            return 0
        return min(99, int(100 * (time.monotonic() - run.started_at) / run.work_s))

    def _end(self, key, end_state):
        """End a run; if its lease has expired, end all runs as lapsed."""
        if not self._resumed.is_set() and end_state != "lapsed":
            self._due.append(lambda: self._end(key, end_state))
            return
        if end_state == "done" and self._clock_ms() >= self._lease_expires_at_ms:
            self._end_all("lapsed")
            return
        if self._running.pop(key, None) is not None:
            self._refused_run_ids[key[0]] = max(
                self._refused_run_ids.get(key[0], 0), key[1]
            )
            number = next(self._end_numbers)
            self._finished.append([number, key[0], key[1], end_state, ""])
            self._run_ended.set()
            self._observe(self, end_state, key)

    def _ok(self, **fields):
        """Return a response with status 200."""
        body = {"clock_ms": self._clock_ms(), "born": self.booted_at_ms, **fields}
        return web.json_response(body)

    def _conflict(self, reason):
        """Return a response with status 409 and the reason."""
        body = {"clock_ms": self._clock_ms(), "reason": reason}
        return web.json_response(body, status=409)


def _abort(request):
    """Reset the connection of a request, unless it has closed."""
    if request.transport is not None:
        request.transport.abort()


async def _after(delay_s, coroutine):
    """Await a coroutine after a delay."""
    await asyncio.sleep(delay_s)
    await coroutine
