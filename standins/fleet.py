"""A site whose daemons are separate processes.

The store runs in the current process, and so do the targets unless the plan asks for
processes.
"""

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

STOP_TIMEOUT_S = 70.0


class Fleet:
    """A site whose entries and agents run as processes.

    Parameters
    ----------
    plan : SitePlan
        The parts of the site.
    settings_dir : path-like, optional
        Directory with the daemons' settings files. By default they are written from the
        plan into a temporary directory.
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
        """Names of the running processes."""
        return tuple(self._processes)

    async def start(self):
        """Start the site and wait until it can serve jobs."""
        plan = self.plan
        await self.store.start(HOST, plan.port)
        for index in range(plan.agents):
            await self.start_target(index)
        for name in daemon_names(plan):
            await self.start_daemon(name)
        await wait_until_ready(plan)

    async def stop(self):
        """Kill all processes and stop the targets and the store."""
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
        """Start the target beside an agent; `index` counts from 0."""
        plan = self.plan
        port = plan.target_port(index)
        agent = plan.url_of(f"agent-{index + 1}")
        if plan.target_processes:
            capacity = msgspec.json.encode(plan.capacity()).decode()
            arguments = ("--port", str(port), "--agent", agent, "--capacity", capacity)
            await self._spawn(f"target-{index + 1}", "standins", "target", *arguments)
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

    def pause(self, name):
        """Pause a daemon with SIGSTOP."""
        self.signal(name, signal.SIGSTOP)

    def resume(self, name):
        """Resume a paused daemon with SIGCONT."""
        self.signal(name, signal.SIGCONT)

    async def kill(self, name):
        """Kill a daemon with SIGKILL and wait for its exit."""
        self.signal(name, signal.SIGKILL)
        await self._processes.pop(name).wait()

    async def terminate(self, name):
        """Stop a daemon gracefully and return its exit code."""
        self.signal(name, signal.SIGTERM)
        process = self._processes.pop(name)
        return await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)

    def starts(self):
        """Return the number of starts of each task, by ``job/index``."""
        total = {}
        for target in self.targets.values():
            for name, count in target.starts.items():
                total[name] = total.get(name, 0) + count
        return total

    def starts_in(self, data_centre, after_ms=0.0):
        """Return the tasks that were started in a data centre after a time.

        `after_ms` is in milliseconds since the epoch.
        """
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
