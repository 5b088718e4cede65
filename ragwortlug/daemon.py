"""Daemons: runs a kernel until a signal asks for its graceful shutdown."""

import asyncio
import gc
import signal

from ragwortlug.telemetry.logs import logger

SHUTDOWN_LIMIT_S = 60.0
GC_THRESHOLDS = (50_000, 20, 20)

log = logger("daemon")


async def serve(kernel):
    """Run a kernel; return 0 after a graceful shutdown, 1 after a cut one."""
    asked = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asked.set)
    await kernel.start()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    log.info("Serving.")
    await asked.wait()
    log.info("Shutting down.")
    graceful = await kernel.find("shutdown").run(SHUTDOWN_LIMIT_S)
    await kernel.stop()
    log.info("Stopped.")
    return 0 if graceful else 1
