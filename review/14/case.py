"""An idle worker crashes and boots again under its id, as a machine of another kind."""

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig3 import BROKEN, HELD, Site, SiteWorker, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PLAYED_S = 85.0
# Mean time between two jobs at an entry, and between two crashes.
PERIOD_S, CRASH_PERIOD_S = 0.7, 1.5
DOWN_S = 1.0
# The first report of a boot; `heartbeat_ms` is 1500.
FIRST_REPORT_S = 0.5
OTHER_KIND = {"a": "b", "b": "a"}


class ChangingWorker(SiteWorker):
    """A worker that is of the other kind after each crash."""

    first_report_s = FIRST_REPORT_S

    def _boot(self):
        """Begin a boot; the first one is of the kind of the class."""
        super()._boot()
        if self._listen[1]:
            self.kind = OTHER_KIND[self.kind]


async def main(record):
    """Play the case; return whether the rule held."""
    rng = random.Random(os.getpid())
    async with Site(record, entries=2, agents=3, worker=ChangingWorker) as site:
        site.workers[1].kind = "b"
        needs, wrong, counts = {}, [], {"right": 0}
        numbers = iter(range(1, 1_000_000))
        observe = site.observe

        def check(number, event, run):
            """Note a start on a worker without the label that the job requires."""
            observe(number, event, run)
            if event != "start":
                return
            label = needs.get(run["task"].partition(".")[0])
            kind = site.workers[number].kind
            if label is None or label == kind:
                counts["right"] += 1
                return
            wrong.append(run["task"])
            site.note(
                "ROUTE broken:",
                run["task"],
                "requires",
                label,
                "worker",
                number + 1,
                "is",
                kind,
            )

        site.observe = check
        # The workers have reported their kinds.
        await asyncio.sleep(2.0)

        async def client(entry):
            """Send jobs that require a kind, at random times."""
            calls = set()
            try:
                while True:
                    await asyncio.sleep(rng.expovariate(1 / PERIOD_S))
                    job_id = f"{next(numbers):016x}"
                    needs[job_id] = rng.choice("ab")
                    call = site.submit(entry, job_id, "0.05", requires=needs[job_id])
                    calls.add(asyncio.create_task(call))
            finally:
                await asyncio.gather(*calls)

        async def crash():
            """Crash idle workers, one after the other."""
            while True:
                await asyncio.sleep(CRASH_PERIOD_S * rng.uniform(0.8, 1.2))
                idle = [each for each in site.workers if not each.running]
                if not idle:
                    continue
                worker = rng.choice(idle)
                number = site.workers.index(worker) + 1
                site.note("worker", number, "crashes, kind", worker.kind)
                await worker.crash(DOWN_S)
                site.note("worker", number, "is up, id", worker.id, "kind", worker.kind)

        tasks = [asyncio.create_task(client(entry)) for entry in site.entries]
        if TROUBLE:
            tasks.append(asyncio.create_task(crash()))
        await asyncio.sleep(PLAYED_S)
        for each in tasks:
            each.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        site.note("starts on the right kind", counts["right"], "wrong", len(wrong))
        return BROKEN if wrong else HELD


if __name__ == "__main__":
    run_case(main, Path(__file__).with_name("record.txt"))
