"""Composes and runs one program on the platform."""

import argparse
import dataclasses
import faulthandler
import importlib
import sys

import uvloop

from ragwortlug.daemon import serve
from ragwortlug.errors import RagwortlugError
from ragwortlug.events import EventName
from ragwortlug.lease_settings import parse_address
from ragwortlug.platform.settings import agent_settings, entry_settings, read
from ragwortlug.telemetry.journal import Journal
from ragwortlug.telemetry.logs import set_up_journal

EXIT_SETTINGS = 5

# The function that translates each program's settings, and its composition root. A
# process imports only its own root, since all processes start at once after a power
# loss.
PROGRAMS = {
    "entry": (entry_settings, "ragwortlug.platform.compose_entry"),
    "agent": (agent_settings, "ragwortlug.platform.compose_agent"),
}


def main(arguments=None, early_signals=()):
    """Run a program until it is told to stop; return its exit code.

    Parameters
    ----------
    arguments : list of str, optional
        The arguments of this process by default.
    early_signals : sequence of int
        Signals that arrived before; they are handled when the program starts.
    """
    parser = argparse.ArgumentParser(prog="ragwortlug.platform", description=__doc__)
    parser.add_argument("role", choices=sorted(PROGRAMS))
    parser.add_argument("--settings", help="settings file of the platform")
    parser.add_argument(
        "--listen",
        default="",
        help="tcp://IP:PORT where messages are taken, if others reach another address",
    )
    parsed = parser.parse_args(arguments)
    # A crash in native code writes the Python stack to standard error.
    faulthandler.enable()
    translate_settings, root_module = PROGRAMS[parsed.role]
    compose = importlib.import_module(root_module).compose
    try:
        settings = translate_settings(read(parsed.settings))
        if parsed.listen:
            parse_address(parsed.listen)
        settings = dataclasses.replace(settings, listen=parsed.listen)
    except (RagwortlugError, ValueError) as error:
        print(f"ragwortlug: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    journal = Journal(f"{parsed.role} {settings.address}")
    set_up_journal(settings.log, journal)
    try:
        return uvloop.run(_run(settings, compose, journal, early_signals))
    finally:
        journal.close()


async def _run(settings, compose, journal, early_signals):
    """Compose a program, serve until it stops and return its exit code."""
    journal.write_event(EventName.STARTED, address=settings.address)
    kernel = compose(settings, journal)
    code = await serve(kernel, settings.grace_s, journal, early_signals)
    journal.write_event(EventName.STOPPED, code=code)
    return code
