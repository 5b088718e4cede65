"""Signals to daemons that still start: a reload is harmless, a stop is graceful."""

import errno
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from standins.platform_settings import settings_text

ROOT = Path(__file__).parent.parent
LIMIT_S = 30.0
POLL_S = 0.01
HOST = f"127.31.{os.getpid() % 250}.1"
# A module that daemons import after their handlers are installed, and long before
# their event loop runs.
EARLY_IMPORT = b"asyncio.events"


def platform_settings():
    """Return the text of the settings of a program on the platform."""
    return settings_text(HOST, HOST, "patan", [HOST], f"{HOST}:8169")


def example_settings(role):
    """Return the text of the settings of a daemon of the command line."""
    return (ROOT / "examples" / "gyanbhandar" / f"{role}-1.json").read_text()


DAEMONS = [
    pytest.param("ragwortlug.platform", "entry", id="platform-entry"),
    pytest.param("ragwortlug.platform", "agent", id="platform-agent"),
    pytest.param("ragwortlug", "entry", id="entry"),
    pytest.param("ragwortlug", "agent", id="agent"),
]


class StartingDaemon:
    """A daemon that waits for its settings until it is given them."""

    def __init__(self, module, role, folder):
        on_platform = module == "ragwortlug.platform"
        self._text = platform_settings() if on_platform else example_settings(role)
        self._pipe = folder / "settings"
        os.mkfifo(self._pipe)
        options = ("-X", "importtime", "-m", module, role)
        self._process = subprocess.Popen(
            [sys.executable, *options, "--settings", str(self._pipe)],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        self._output = b""

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self._process.kill()
        self._process.wait()
        self._process.stdout.close()

    def wait_for(self, text):
        """Read lines of output until one has a text."""
        for line in self._process.stdout:
            self._output += line
            if text in line:
                return
        raise AssertionError(self._output.decode())

    def send(self, number):
        """Send a signal."""
        self._process.send_signal(number)

    def continue_after(self, *numbers):
        """Send signals while the daemon reads its settings, then let it go on."""
        pipe = self._open_pipe()
        if pipe is None:
            return
        with os.fdopen(pipe, "w") as file:
            for number in numbers:
                self.send(number)
            file.write(self._text)

    def _open_pipe(self):
        """Return the pipe, opened once the daemon reads it; None if it has ended."""
        while self._process.poll() is None:
            try:
                return os.open(self._pipe, os.O_WRONLY | os.O_NONBLOCK)
            except OSError as error:
                if error.errno != errno.ENXIO:
                    raise
            time.sleep(POLL_S)
        return None

    def finish(self):
        """Return the exit code and the output, without the times of imports."""
        self._output += self._process.communicate(timeout=LIMIT_S)[0]
        lines = self._output.decode().splitlines()
        shown = [line for line in lines if not line.startswith("import time:")]
        return self._process.returncode, "\n".join(shown)


class TestSignalsDuringTheStart:
    @pytest.mark.parametrize(("module", "role"), DAEMONS)
    def test_a_reload_while_modules_are_imported_does_not_end_the_process(
        self, tmp_path, module, role
    ):
        with StartingDaemon(module, role, tmp_path) as daemon:
            daemon.wait_for(EARLY_IMPORT)
            daemon.send(signal.SIGHUP)
            daemon.continue_after(signal.SIGHUP, signal.SIGTERM)
            code, shown = daemon.finish()
        assert code == 0, shown
        assert "SIGHUP changes no settings" in shown

    @pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
    @pytest.mark.parametrize(("module", "role"), DAEMONS)
    def test_a_stop_while_modules_are_imported_is_graceful(
        self, tmp_path, module, role, number
    ):
        with StartingDaemon(module, role, tmp_path) as daemon:
            daemon.wait_for(EARLY_IMPORT)
            daemon.send(number)
            daemon.continue_after()
            code, shown = daemon.finish()
        assert code == 0, shown
        assert "Stopped before the start" in shown

    def test_a_program_that_got_a_reload_early_serves_and_stops(self, tmp_path):
        with StartingDaemon("ragwortlug.platform", "agent", tmp_path) as daemon:
            daemon.continue_after(signal.SIGHUP)
            daemon.wait_for(b"Serving.")
            daemon.send(signal.SIGTERM)
            code, shown = daemon.finish()
        assert code == 0, shown
        events = [
            json.loads(line)["event"]
            for line in shown.splitlines()
            if line.startswith("{")
        ]
        told = [each for each in events if each != "log"]
        assert told == ["started", "reloaded", "stopping", "stopped"]


class TestOtherCommands:
    def test_a_stop_ends_a_command_of_a_caller_at_once(self):
        command = [sys.executable, "-X", "importtime", "-m", "ragwortlug"]
        with subprocess.Popen(
            [*command, "status"], cwd=ROOT, stderr=subprocess.PIPE
        ) as process:
            for line in process.stderr:
                if EARLY_IMPORT in line:
                    break
            process.terminate()
            process.stderr.read()
        assert process.returncode == -signal.SIGTERM
