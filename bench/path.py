"""What the path adds to a direct call of the target, at half load.

The same load generator calls the targets directly and through ragwortlug, in one
run, at the same rate; the added time is the difference of the quantiles.
"""

import asyncio
import random
import time

import aiohttp
import msgspec

from bench.figures import print_line, quantiles_ms
from bench.scrape import counters, processor_s
from ragwortlug.client import Client
from ragwortlug.codes import Code
from standins.fleet import Fleet
from standins.site import HOST, SitePlan

PLAN = SitePlan(
    port=25_000,
    data_centres=("patan", "bhaktapur", "kirtipur"),
    service="mould-carving",
    teams=("gyanbhandar",),
    target_processes=True,
)
HALF = 0.5
DURATION_S = 8.0
INTERNAL = ("Poll", "Confirmation", "News", "Announce", "Announced")


async def measure(seed):
    """Measure both ways for short and for longer tasks, and print the figures."""
    fleet = Fleet(PLAN)
    try:
        await fleet.start()
        for run_ms in (50, 200):
            await _compare(fleet, run_ms, seed)
    finally:
        await fleet.stop()


async def _compare(fleet, run_ms, seed):
    """Measure tasks of one length."""
    rate = HALF * PLAN.agents * PLAN.slots / (run_ms / 1000)
    async with aiohttp.ClientSession() as session:
        direct = await _arrivals(
            lambda turn: _call_target(session, turn, run_ms), rate, seed
        )
    before = await counters(PLAN)
    used_before = {name: processor_s(fleet.pid(name)) for name in fleet.names}
    async with Client(PLAN.entry_urls(), PLAN.teams[0]) as client:
        path = await _arrivals(lambda _: _call_path(client, run_ms), rate, seed)
    used = {
        name: processor_s(fleet.pid(name)) - used_before[name] for name in fleet.names
    }
    sent = await counters(PLAN) - before
    direct_ms, path_ms = quantiles_ms(direct), quantiles_ms(path)
    print_line(
        bench="path",
        seed=seed,
        run_ms=run_ms,
        tasks_per_s=rate,
        tasks=len(path),
        direct_ms=direct_ms,
        path_ms=path_ms,
        added_ms={key: round(path_ms[key] - direct_ms[key], 3) for key in path_ms},
        messages_per_task=_messages_per_task(sent, len(path)),
        processor_ms_per_task=_processor(used, len(path)),
    )


async def _arrivals(call, rate, seed):
    """Make calls at a rate and return how long each took, in seconds."""
    rng = random.Random(seed)
    calls = []
    due = time.monotonic()
    until = due + DURATION_S
    while due < until:
        due += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        calls.append(asyncio.create_task(call(len(calls))))
    return await asyncio.gather(*calls)


async def _call_path(client, run_ms):
    """Run a task through ragwortlug."""
    began = time.monotonic()
    answer = await client.submit(PLAN.service, [{"run_ms": run_ms}])
    assert answer.code == Code.OK, answer
    return time.monotonic() - began


async def _call_target(session, turn, run_ms):
    """Run a task on a target directly."""
    began = time.monotonic()
    body = {
        "id": f"direct-{turn}",
        "job": f"direct-{turn}",
        "index": 0,
        "payload": {"run_ms": run_ms},
        "start_before_ms": time.time() * 1000 + 10_000,
    }
    url = f"http://{HOST}:{PLAN.target_port(turn % PLAN.agents)}/tasks"
    async with session.post(url, data=msgspec.json.encode(body)) as response:
        await response.read()
    return time.monotonic() - began


def _messages_per_task(sent, tasks):
    """Return the messages between processes for each task, by kind."""
    return {
        kind: round(count / tasks, 3)
        for (name, kind), count in sorted(sent.items())
        if name == "messages_sent" and kind not in INTERNAL and count
    }


def _processor(used, tasks):
    """Return the processor time of each role for each task."""
    roles = {}
    for name, seconds in used.items():
        role = name.partition("-")[0]
        roles[role] = roles.get(role, 0.0) + seconds
    return {role: round(each * 1000 / tasks, 3) for role, each in roles.items()}
