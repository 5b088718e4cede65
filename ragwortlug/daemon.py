"""Daemons: runs a kernel until a signal asks for its graceful shutdown."""

import asyncio
import gc
import signal

from ragwortlug.events import EventName
from ragwortlug.telemetry.logs import logger

SHUTDOWN_LIMIT_S = 60.0
GC_THRESHOLDS = (50_000, 20, 20)

log = logger("daemon")


async def serve(kernel, shutdown_limit_s=SHUTDOWN_LIMIT_S, journal=None):
    """Run a kernel; return 0 after a graceful shutdown, 1 after a cut one.

    Parameters
    ----------
    kernel : Kernel
        Its service ``shutdown`` ends the work.
    shutdown_limit_s : float
        Longest time that the graceful shutdown takes.
    journal : Journal, optional
        Is told when a signal asks for a shutdown or a reload.
    """

    def write_event(name):
        if journal is not None:
            journal.write_event(name)

    def on_reload():
        # Every setting is read at the start.
        log.info("The settings are as they were read at the start.")
        write_event(EventName.RELOADED)

    asked = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asked.set)
    loop.add_signal_handler(signal.SIGHUP, on_reload)
    await kernel.start()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    log.info("Serving.")
    await asked.wait()
    log.info("Shutting down.")
    write_event(EventName.STOPPING)
    graceful = await kernel.find("shutdown").run(shutdown_limit_s)
    await kernel.stop()
    log.info("Stopped.")
    return 0 if graceful else 1
