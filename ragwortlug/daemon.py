"""Daemons: run a kernel until a signal requests its graceful shutdown."""

import asyncio
import gc
import signal

from ragwortlug.events import EventName
from ragwortlug.telemetry.logs import logger

SHUTDOWN_LIMIT_S = 60.0
GC_THRESHOLDS = (50_000, 20, 20)

log = logger("daemon")


async def serve(kernel, shutdown_limit_s=SHUTDOWN_LIMIT_S, journal=None):
    """Run a kernel until a signal; return 0 after a graceful shutdown, else 1.

    Parameters
    ----------
    kernel : Kernel
        Its service ``shutdown`` finishes the work.
    shutdown_limit_s : float
        Maximum duration of the graceful shutdown.
    journal : Journal, optional
        Receives an event when a signal requests a shutdown or a reload.
    """

    def write_event(name):
        if journal is not None:
            journal.write_event(name)

    def on_reload():
        # Settings are read only at the start.
        log.info("SIGHUP changes no settings; restart the process to apply new ones.")
        write_event(EventName.RELOADED)

    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, on_reload)
    await kernel.start()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()
    log.info("Serving.")
    await stop_requested.wait()
    log.info("Shutting down.")
    write_event(EventName.STOPPING)
    graceful = await kernel.find("shutdown").run(shutdown_limit_s)
    await kernel.stop()
    log.info("Stopped.")
    return 0 if graceful else 1
