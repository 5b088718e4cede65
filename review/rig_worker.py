"""One stand-in worker as a process: ``python3 -m review.rig_worker HOST PORT ...``.

It writes a line of JSON for each start and end of a run, until it is killed.
"""

import asyncio
import json
import sys
import time

from standins.platform import PlatformWorker


async def main(host, port, service, zone, agent_url, worker_id):
    """Serve and report."""

    def observe(_worker, event, run):
        task = run["task"] if event == "start" else run[0]
        line = {"at": time.monotonic(), "event": event, "task": task}
        sys.stdout.write(json.dumps(line) + "\n")
        sys.stdout.flush()

    worker = PlatformWorker(service, zone, agent_url, 1.0, observe)
    worker.id = worker_id
    await worker.start(host, int(port))
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
