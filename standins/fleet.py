"""A site whose daemons are real processes; the store and targets run in this one."""

import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path

import msgspec

from standins.site import HOST, wait_until_ready
from standins.store import StoreStandin
from standins.target import TargetStandin

STOP_LIMIT_S = 70.0


class Fleet:
    """Entries and agents as processes.

    Parameters
    ----------
    plan : SitePlan
        What to run.
    settings_dir : path-like, optional
        Holds the daemons' settings; by default they are written from the plan.
    """

    def __init__(self, plan, settings_dir=None):
        self.plan = plan
        self.store = StoreStandin()
        self.targets = {}
        self._own_dir = tempfile.TemporaryDirectory()
        self._dir = Path(settings_dir or self._own_dir.name)
        self._processes = {}
        if settings_dir is None:
            write_settings(plan, self._dir)

    @property
    def names(self):
        """Return the names of the daemons that run."""
        return tuple(self._processes)

    async def start(self):
        """Start everything and wait until jobs can be served."""
        plan = self.plan
        await self.store.start(HOST, plan.port)
        for index in range(plan.agents):
            await self.start_target(index)
        for name in daemon_names(plan):
            await self.start_daemon(name)
        await wait_until_ready(plan)

    async def stop(self):
        """End everything at once."""
        for name in tuple(self._processes):
            self.signal(name, signal.SIGCONT)
            await self.kill(name)
        for target in self.targets.values():
            await target.stop(graceful=False)
        await self.store.stop()
        self._own_dir.cleanup()

    async def start_daemon(self, name):
        """Start a daemon by its name, such as ``agent-3``."""
        role = name.partition("-")[0]
        settings = str(self._dir / f"{name}.json")
        await self._spawn(name, "ragwortlug", role, "--settings", settings)

    async def start_target(self, index):
        """Start the target beside an agent, counted from 0."""
        plan = self.plan
        port = plan.target_port(index)
        agent = plan.url_of(f"agent-{index + 1}")
        if plan.target_processes:
            capacity = msgspec.json.encode(plan.capacity()).decode()
            given = ("--port", str(port), "--agent", agent, "--capacity", capacity)
            await self._spawn(f"target-{index + 1}", "standins", "target", *given)
            return
        target = TargetStandin(f"http://{HOST}:{port}", agent, plan.capacity())
        await target.start(HOST, port)
        self.targets[f"agent-{index + 1}"] = target

    async def _spawn(self, name, module, *arguments):
        """Start a module as a process."""
        self._processes[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *arguments,
            env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"},
        )

    def pid(self, name):
        """Return the process id of a daemon."""
        return self._processes[name].pid

    def signal(self, name, number):
        """Send a signal to a daemon."""
        process = self._processes[name]
        if process.returncode is None:
            process.send_signal(number)

    def freeze(self, name):
        """Stop a daemon in its tracks."""
        self.signal(name, signal.SIGSTOP)

    def thaw(self, name):
        """Let a frozen daemon go on."""
        self.signal(name, signal.SIGCONT)

    async def kill(self, name):
        """Kill a daemon."""
        self.signal(name, signal.SIGKILL)
        await self._processes.pop(name).wait()

    async def terminate(self, name):
        """Stop a daemon gracefully and return its exit code."""
        self.signal(name, signal.SIGTERM)
        process = self._processes.pop(name)
        return await asyncio.wait_for(process.wait(), STOP_LIMIT_S)

    def starts(self):
        """Return how often each task was started."""
        counted = {}
        for target in self.targets.values():
            for name, count in target.starts.items():
                counted[name] = counted.get(name, 0) + count
        return counted

    def starts_in(self, data_centre, after_ms=0.0):
        """Return the tasks started in a data centre after an instant."""
        return [
            name
            for index, target in enumerate(self.targets.values())
            if self.plan.data_centre(index) == data_centre
            for at_ms, name in target.started_at
            if at_ms > after_ms
        ]


def daemon_names(plan):
    """Return the names of all daemons of a plan."""
    entries = [f"entry-{index + 1}" for index in range(plan.entries)]
    return entries + [f"agent-{index + 1}" for index in range(plan.agents)]


def write_settings(plan, folder):
    """Write a settings file for each daemon of a plan."""
    for name in daemon_names(plan):
        encoded = msgspec.json.encode(plan.settings_of(name))
        text = msgspec.json.format(encoded, indent=2).decode()
        (Path(folder) / f"{name}.json").write_text(text + "\n")
