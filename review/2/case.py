"""After a restart of everything, idle entries refuse all small jobs for good."""

import asyncio
import signal
import sys
from pathlib import Path

from review.site import (
    PREFIX,
    ZONES,
    Channel,
    Site,
    configuration,
    new_id,
    run_case,
    step,
)

SMALL_S, SMALL_LIMIT_MS = 0.12, 1500
LARGE_S, LARGE_LIMIT_MS = 3.6, 10_000
THINK_S = 0.5
LARGE_JOBS = 3
CALM_S = 12.0
KILL_AFTER_S = 1.0
RETRANSMIT_S = 1.3
RECOVERY_S = 12.0
AFTER_S = 30.0


class Client:
    """Hands in one job after the other, and notes when each was first sent."""

    def __init__(self, site, zone):
        self._site = site
        self._zone = zone
        self.large_jobs = 0
        # Of each request: when it was sent, and whether it was served.
        self.requests = []

    async def play(self):
        """Hand in jobs until cancelled."""
        while True:
            if self.large_jobs:
                self.large_jobs -= 1
                run_s, limit_ms = LARGE_S, LARGE_LIMIT_MS
            else:
                run_s, limit_ms = SMALL_S, SMALL_LIMIT_MS
            sent_at = self._site.record.now()
            status = await self._submit(run_s, limit_ms)
            self.requests.append((sent_at, status == 200))
            await asyncio.sleep(THINK_S)

    async def _submit(self, run_s, limit_ms):
        """Hand a job in, again after a broken channel, 502 or 504."""
        job_id = new_id()
        while True:
            entry = self._site.balancer.node_for(self._zone)
            async with Channel(self._site, entry) as channel:
                status, _ = await channel.post(
                    job_id, [step(1, run_s)], limit_ms, str(run_s)
                )
            if status not in (None, 502, 504):
                return status
            await asyncio.sleep(RETRANSMIT_S)


async def play(record, trouble):
    """Play the case; return the breach of RECOVER, if there is one."""
    site = Site(record)
    clients = [Client(site, zone) for zone in ZONES]
    try:
        await site.start([PREFIX])
        tasks = [asyncio.create_task(client.play()) for client in clients]
        await asyncio.sleep(CALM_S)
        for client in clients:
            client.large_jobs = LARGE_JOBS
        await asyncio.sleep(KILL_AFTER_S + THINK_S)
        # The final fault comes right after the store has confirmed a configuration.
        await site.store.put("op/config", configuration(11, [PREFIX]))
        fault_at = record.now()
        if trouble:
            for program in site.programs.values():
                program.signal(signal.SIGKILL)
        await asyncio.sleep(1.0)
        while len(site.balancer.rotation) < len(site.entries):
            await asyncio.sleep(0.05)
        back_at = record.now()
        record.write("case: all machines are back")
        await asyncio.sleep(RECOVERY_S + AFTER_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    finally:
        await site.stop()
    requests = [each for client in clients for each in client.requests]
    before = [served for sent_at, served in requests if sent_at < fault_at]
    after = [served for sent_at, served in requests if sent_at > back_at + RECOVERY_S]
    record.write(f"case: served before the fault: {sum(before)} of {len(before)}")
    record.write(f"case: served after recovery_s: {sum(after)} of {len(after)}")
    if not before or not after:
        raise RuntimeError("no requests before or after the fault")
    if 4 * sum(before) >= len(before) and 4 * sum(after) < len(after):
        return [
            f"RECOVER: served {sum(before)} of {len(before)} requests before the final "
            f"fault, {sum(after)} of {len(after)} sent over {RECOVERY_S:.0f} s after it"
        ]
    return []


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
