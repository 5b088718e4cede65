"""Daemons: run a kernel until a signal requests its graceful shutdown."""

import asyncio
import gc

from ragwortlug.early_signals import RELOAD_SIGNAL, STOP_SIGNALS
from ragwortlug.events import EventName
from ragwortlug.telemetry.logs import logger

SHUTDOWN_LIMIT_S = 60.0
GC_THRESHOLDS = (50_000, 20, 20)

log = logger("daemon")


async def serve(
    kernel, shutdown_limit_s=SHUTDOWN_LIMIT_S, journal=None, early_signals=()
):
    """Run a kernel until a signal; return 0 after a graceful shutdown, else 1.

    A kernel that is to stop before its start is not started, which is graceful.

    Parameters
    ----------
    kernel : Kernel
        Its service ``shutdown`` finishes the work.
    shutdown_limit_s : float
        Maximum duration of the graceful shutdown.
    journal : Journal, optional
        Receives an event when a signal requests a shutdown or a reload.
    early_signals : sequence of int
        Signals received before this call; they are handled first.
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
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stop_requested.set)
    loop.add_signal_handler(RELOAD_SIGNAL, on_reload)
    for number in early_signals:
        if number in STOP_SIGNALS:
            stop_requested.set()
        else:
            on_reload()
    if stop_requested.is_set():
        log.info("Stopped before the start.")
        write_event(EventName.STOPPING)
        return 0
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
