"""What the platform's programs cost as processes: start, rest, and load.

Entries and agents run as processes against the stand-ins for the store and the
workers, which run in this one. Measured for each role is processor time, by the
operating system's account.
"""

import asyncio
import os
import random
import signal
import sys
import tempfile
from pathlib import Path

import aiohttp

from bench.figures import print_line, quantiles_ms
from bench.scrape import memory_mb, processor_s
from standins.platform import PlatformStore, PlatformWorker
from standins.platform_settings import (
    CONTROL_PORT,
    FRONT_PORT,
    READY_PORT,
    configuration,
    settings_text,
)

NET = "127.9"
STORE_PORT = 8169
APP_PORT = 8080
SERVICE = "carving"
HOST_NAME = "a.example"
MAX_ATTEMPTS = 3
ZONES = ("patan", "bhaktapur", "kirtipur")
READY_S = 30.0
SETTLE_S = 3.0
BEAT_S = 1.5
MS_PER_S = 1000
PERCENT = 100
# Of each kind of job: tasks, run time in seconds, and jobs a second for each entry.
LOAD = ((8, 0.12, 4.4), (4, 1.8, 0.8), (2, 0.4, 12.9))
PATIENCE_MS = 9000


class Programs:
    """Entries and agents as processes, with their stand-ins.

    Parameters
    ----------
    entries, agents : int
        How many of each.
    folder : Path
        Takes settings and output.
    """

    def __init__(self, entries, agents, folder):
        self._folder = folder
        self._entries = [f"entry-{each}" for each in range(entries)]
        self._agents = [f"agent-{each}" for each in range(agents)]
        self._processes = {}
        self._workers = []
        self._store = PlatformStore()

    @property
    def entries(self):
        """Return the names of the entries."""
        return self._entries

    @property
    def agents(self):
        """Return the names of the agents."""
        return self._agents

    def host(self, name):
        """Return the address of a process."""
        role, _, number = name.partition("-")
        return f"{NET}.{1 if role == 'entry' else 2}.{int(number) + 1}"

    def used_s(self, names):
        """Return the processor seconds of each process."""
        return [processor_s(self._processes[each].pid) for each in names]

    def memory_mb(self, names):
        """Return the resident memory of each process."""
        return [memory_mb(self._processes[each].pid) for each in names]

    async def start(self):
        """Start everything and wait until the entries are ready."""
        await self._store.start(f"{NET}.0.1", STORE_PORT)
        await self._store.put(
            "op/config", configuration(1, ["/p/"], HOST_NAME, SERVICE, MAX_ATTEMPTS)
        )
        for number, name in enumerate([*self._entries, *self._agents]):
            await self._launch(name, ZONES[number % len(ZONES)])
        for number, name in enumerate(self._agents):
            url = f"http://{self.host(name)}:{CONTROL_PORT}"
            worker = PlatformWorker(SERVICE, ZONES[number % len(ZONES)], url, BEAT_S)
            worker.id = f"i-{name}"
            await worker.start(self.host(name), APP_PORT)
            self._workers.append(worker)
        async with aiohttp.ClientSession() as session, asyncio.timeout(READY_S):
            for name in self._entries:
                await _until_ready(session, f"http://{self.host(name)}:{READY_PORT}")

    async def stop(self):
        """End everything at once."""
        for process in self._processes.values():
            process.send_signal(signal.SIGKILL)
            await process.wait()
        for worker in self._workers:
            await worker.stop()
        await self._store.stop()

    async def _launch(self, name, zone):
        """Start one program."""
        settings = self._folder / f"{name}.toml"
        host = self.host(name)
        seeds = [self.host(each) for each in self._entries[:3]]
        store = f"{NET}.0.1:{STORE_PORT}"
        settings.write_text(settings_text(host, host, zone, seeds, store))
        role = name.partition("-")[0]
        with (self._folder / f"{name}.log").open("wb") as log:
            self._processes[name] = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "ragwortlug.platform", role),
                *("--settings", str(settings)),
                stdout=log,
                stderr=log,
                env={**os.environ, "SSL_CERT_FILE": "/dev/null"},
            )


async def measure(entries=2, agents=8, window_s=10.0, seed=1):
    """Start the programs, and print what they take at rest and under load."""
    with tempfile.TemporaryDirectory() as folder:
        programs = Programs(entries, agents, Path(folder))
        try:
            await programs.start()
            await asyncio.sleep(SETTLE_S)
            for role, names in _roles(programs):
                used = programs.used_s(names)
                print_line(
                    bench="processes",
                    phase="start",
                    role=role,
                    processor_s=_mean(used),
                    memory_mb=_mean(programs.memory_mb(names)),
                )
            await _measure_phase(programs, "rest", window_s, None)
            await _measure_phase(programs, "load", window_s, random.Random(seed))
        finally:
            await programs.stop()


async def _measure_phase(programs, phase, window_s, rng):
    """Print what each role takes while nothing, or a load, comes."""
    before = {role: programs.used_s(names) for role, names in _roles(programs)}
    loop = asyncio.get_running_loop()
    began = loop.time()
    tasks, times = 0, []
    if rng is None:
        await asyncio.sleep(window_s)
    else:
        tasks, times = await _play(programs, window_s, rng)
    elapsed_s = loop.time() - began
    for role, names in _roles(programs):
        used = [
            after - earlier
            for after, earlier in zip(programs.used_s(names), before[role], strict=True)
        ]
        fields = {"core_percent": round(PERCENT * _mean(used) / elapsed_s, 2)}
        if tasks:
            fields["ms_a_task"] = round(MS_PER_S * sum(used) / tasks, 3)
        print_line(bench="processes", phase=phase, role=role, **fields)
    if times:
        print_line(bench="processes", phase=phase, tasks=tasks, **quantiles_ms(times))


async def _play(programs, window_s, rng):
    """Hand jobs in; return the tasks and by how much each job was longer."""
    jobs = sorted(
        (at_s, name, tasks, run_s)
        for name in programs.entries
        for tasks, run_s, per_s in LOAD
        for at_s in (rng.uniform(0, window_s) for _ in range(round(per_s * window_s)))
    )
    loop = asyncio.get_running_loop()
    began = loop.time()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def submit(name, tasks, run_s):
            sent = loop.time()
            url = f"http://{programs.host(name)}:{FRONT_PORT}/p/{rng.getrandbits(64):016x}"
            step = {"count": tasks, "cpu": 10000, "estimate_ms": int(run_s * MS_PER_S)}
            body = {"spec": str(run_s), "steps": [step], "best_effort": True}
            headers = {"Host": HOST_NAME, "Deadline-Ms": str(PATIENCE_MS)}
            async with session.post(url, json=body, headers=headers) as reply:
                await reply.read()
                if reply.status != 200:
                    raise RuntimeError(f"{reply.status} for a job of {tasks} tasks")
            return loop.time() - sent - run_s

        calls = []
        for at_s, name, tasks, run_s in jobs:
            await asyncio.sleep(max(0.0, began + at_s - loop.time()))
            calls.append(asyncio.create_task(submit(name, tasks, run_s)))
        times = await asyncio.gather(*calls)
    return sum(tasks for _, _, tasks, _ in jobs), times


async def _until_ready(session, url):
    """Wait until an entry says that it is ready."""
    while True:
        try:
            async with session.get(f"{url}/api/readiness") as reply:
                if reply.status == 200:
                    return
        except aiohttp.ClientError:
            pass
        await asyncio.sleep(0.05)


def _roles(programs):
    """Return the names of the processes of each role."""
    return (("entry", programs.entries), ("agent", programs.agents))


def _mean(values):
    """Return the mean of some figures, rounded."""
    return round(sum(values) / len(values), 3)
