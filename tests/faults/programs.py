"""The real programs as processes: started, signalled, and started again."""

import asyncio
import signal
import subprocess
import sys
from pathlib import Path

from ragwortlug.actor import cancel_all

ROOT = Path(__file__).parents[2]
GRACE_S = 6.0
RESTART_S = 0.3
# How long after a signal of the soak an end may still be its doing.
BLAMED_S = 7.0
CHUNK_BYTES = 65_536


class Program:
    """One program, kept running.

    Parameters
    ----------
    name : str
        Names the process, its log and its place.
    role, settings, listen : str, Path, str
        Its arguments.
    log : Path
        Takes its output.

    Attributes
    ----------
    reading : asyncio.Event
        While it is not set, nobody reads the process's output.
    own_ends : list of int
        Exit codes of ends that no signal has asked for.
    """

    _command = (sys.executable, "-m", "ragwortlug.platform")

    def __init__(self, name, role, settings, listen, log):
        self.name = name
        self._arguments = [role, "--settings", str(settings), "--listen", listen]
        self._log = log
        self._process = None
        self._task = None
        self._signalled_at = float("-inf")
        self._down_s = RESTART_S
        self._copies = set()
        self.reading = asyncio.Event()
        self.reading.set()
        self.own_ends = []

    @property
    def pid(self):
        """Return the id of the process that runs, or None."""
        running = self._process is not None and self._process.returncode is None
        return self._process.pid if running else None

    @property
    def handles_reload(self):
        """Return whether the running process handles SIGHUP by now."""
        if self.pid is None:
            return False
        status = Path(f"/proc/{self.pid}/status").read_text()
        caught = int(status.partition("SigCgt:")[2].split()[0], 16)
        return bool(caught >> (signal.SIGHUP - 1) & 1)

    async def start(self):
        """Start the process, and start it again whenever it has ended."""
        await self._launch()
        self._task = asyncio.create_task(self._keep())

    async def stop(self):
        """End the process for good."""
        await cancel_all([self._task])
        if self.pid is not None:
            self._process.kill()
        await cancel_all(tuple(self._copies))
        await self._process.wait()

    def signal(self, number, down_s=RESTART_S):
        """Send a signal; if the process ends, it is down that long."""
        if self.pid is None:
            return
        if number in (signal.SIGKILL, signal.SIGTERM):
            self._signalled_at = asyncio.get_running_loop().time()
            self._down_s = down_s
        self._process.send_signal(number)

    async def terminate(self, down_s=RESTART_S):
        """Ask the process to end, and kill it after its time of grace."""
        process = self._process
        if self.pid is None:
            return
        self.signal(signal.SIGTERM, down_s)
        try:
            await asyncio.wait_for(process.wait(), GRACE_S)
        except TimeoutError:
            if process.returncode is None:
                process.kill()

    async def _launch(self):
        """Start the process once."""
        # A signal that is ignored here, as under nohup, would be ignored there too.
        handler = signal.signal(signal.SIGHUP, signal.SIG_DFL)
        try:
            self._process = await asyncio.create_subprocess_exec(
                *self._command,
                *self._arguments,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
            )
        finally:
            signal.signal(signal.SIGHUP, handler)
        copy = asyncio.create_task(self._copy(self._process.stdout))
        self._copies.add(copy)
        copy.add_done_callback(self._copies.discard)

    async def _copy(self, output):
        """Write a process's output to its log, while `reading` is set."""
        with self._log.open("ab", buffering=0) as log:
            while True:
                await self.reading.wait()
                data = await output.read(CHUNK_BYTES)
                if not data:
                    return
                log.write(data)

    async def _keep(self):
        """Start the process again after each end."""
        loop = asyncio.get_running_loop()
        while True:
            code = await self._process.wait()
            # No signal of the soak may end a process in that way.
            by_reload = code == -signal.SIGHUP
            if by_reload or loop.time() - self._signalled_at > BLAMED_S:
                self.own_ends.append(code)
            await asyncio.sleep(self._down_s)
            await self._launch()
