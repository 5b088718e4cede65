"""Time from a note's commit until the last process knows it.

The store is healthy, slow, or goes down just after it has answered the commit, so
that the news travels only by word from process to process. Besides, every process
that has not heard has stopped starting tasks when the confirmation time has passed.
"""

import asyncio
import time

import aiohttp

from bench.figures import print_line, quantile
from ragwortlug.client import Client
from ragwortlug.codes import Code
from standins.fleet import Fleet, daemon_names
from standins.site import SitePlan

PLAN = SitePlan(
    port=28_000,
    data_centres=("patan", "bhaktapur", "kirtipur"),
    service="mould-carving",
    teams=("gyanbhandar",),
)
NOTES = 20
SLOW_S = 0.3
STEP_S = 0.01
LIMIT_S = 10.0
GAUGE = "ragwortlug_configuration "


async def measure():
    """Measure with the store healthy, slow and down, and print a line for each."""
    fleet = Fleet(PLAN)
    try:
        await fleet.start()
        async with (
            Client(PLAN.entry_urls(), PLAN.teams[0]) as client,
            aiohttp.ClientSession() as session,
        ):
            for store in ("healthy", "slow", "down"):
                took = [await _one_note(fleet, client, session, store)]
                for _ in range(NOTES - 1):
                    took.append(await _one_note(fleet, client, session, store))
                print_line(
                    bench="force",
                    store=store,
                    notes=NOTES,
                    processes=len(daemon_names(PLAN)),
                    p50_s=round(quantile(took, 50), 3),
                    p99_s=round(quantile(took, 99), 3),
                    max_s=round(max(took), 3),
                    bound_s=PLAN.view.confirm_s,
                )
    finally:
        await fleet.stop()


async def _one_note(fleet, client, session, store):
    """Commit a note and return the seconds until every process knows it."""
    faults = fleet.store.faults
    faults.delay_s = SLOW_S if store == "slow" else 0.0
    configuration = await client.get("/configuration")
    version = configuration["version"] + 1
    note = {
        "id": f"note-{version}",
        "base": configuration["version"],
        "added": {"teams": [{"name": f"team-{version}"}]},
    }
    if store == "down":
        faults.down_after_writes = 1
    reply = await client.post("/notes", note)
    committed = time.monotonic()
    assert reply["code"] == Code.NOTE_COMMITTED, reply
    while min(await _versions(session)) < version:
        assert time.monotonic() < committed + LIMIT_S
        await asyncio.sleep(STEP_S)
    elapsed = time.monotonic() - committed
    faults.down = False
    faults.delay_s = 0.0
    await asyncio.sleep(2 * PLAN.view.poll_s)
    return elapsed


async def _versions(session):
    """Return the configuration version that each process knows."""
    calls = (_version(session, name) for name in daemon_names(PLAN))
    return await asyncio.gather(*calls)


async def _version(session, name):
    """Return the configuration version that a process knows."""
    async with session.get(f"{PLAN.url_of(name)}/metrics") as response:
        text = await response.text()
    line = next(each for each in text.splitlines() if each.startswith(GAUGE))
    return int(float(line.removeprefix(GAUGE)))
