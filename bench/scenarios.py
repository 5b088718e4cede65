"""Response time against the ideal, wasted messages, and work done through faults.

Each scenario runs a deployment's daemons as processes, plays seeded arrivals, and
prints a line of JSON. The wire delay of the callers is added by their stand-in;
delays between data centres are not.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, replace

from bench import ideal
from bench.figures import print_line, quantile
from bench.scrape import counters
from ragwortlug.client import Client
from ragwortlug.codes import Code
from standins.deployments import BLUE_MAHOE, GYANBHANDAR, at_port
from standins.fleet import Fleet
from standins.load import LoadGenerator, Workload, generate_arrivals, violations

QUANTILES = (50, 95, 99, 99.9)
WASTED = ("Nothing", "Refused", "Probe", "Moved", "Fetch", "Stop")
CONTROL = ("Poll", "Confirmation", "News", "Announce", "Announced", "Spans")
WORKLOAD = Workload()
LOADS = (0.3, 0.6, 0.85, 1.2)
PLAY_S = 20.0
FAULT_AT_S = 4.0
FAULT_ENDS_S = 14.0
FAULT_PLAY_S = 20.0
READY_LIMIT_S = 90.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment to measure."""

    name: str
    plan: object
    one_way_s: float

    @property
    def slots(self):
        """Return the slots of all targets."""
        return self.plan.agents * self.plan.slots


DEPLOYMENTS = (
    Deployment("gyanbhandar", at_port(GYANBHANDAR, 27_000), 0.001),
    Deployment("blue-mahoe", at_port(BLUE_MAHOE, 27_500), 0.003),
)


@dataclass(frozen=True, slots=True)
class Scenario:
    """What a scenario does: the load, a fault, and how long entries may vouch."""

    load: float
    fault: Callable | None = None
    vouch_s: float = 300.0


async def measure(seed, names=None, scenarios=None):
    """Run the scenarios of the deployments, all of them by default."""
    for deployment in DEPLOYMENTS:
        if names and deployment.name not in names:
            continue
        for load in LOADS:
            if not scenarios or f"load-{load}" in scenarios:
                await _run(deployment, f"load-{load}", Scenario(load), seed)
        for name, scenario in FAULTS.items():
            if not scenarios or name in scenarios:
                await _run(deployment, name, scenario, seed)


async def _run(deployment, name, scenario, seed):
    """Run one scenario and print its line."""
    load, fault = scenario.load, scenario.fault
    view = replace(deployment.plan.view, vouch_s=scenario.vouch_s)
    plan = replace(deployment.plan, log_level="ERROR", view=view)
    fleet = Fleet(plan)
    play_s = FAULT_PLAY_S if fault else PLAY_S
    jobs_per_s = load * deployment.slots / WORKLOAD.mean_work_s()
    coming = generate_arrivals(WORKLOAD, jobs_per_s, play_s, seed, bursts=fault is None)
    try:
        await fleet.start()
        await _warm_up(fleet)
        before = await counters(plan)
        calls = sum(fleet.store.calls.values())
        async with Client(plan.entry_urls(), plan.teams[0]) as client:
            caller = LoadGenerator(
                client, plan.service, plan.teams, WORKLOAD, seed, deployment.one_way_s
            )
            began = time.time()
            faulty = asyncio.create_task(fault(fleet, client)) if fault else None
            await caller.submit_arrivals(coming)
            notes = await faulty if faulty else {}
            told = await caller.finish(READY_LIMIT_S)
        ended = time.time()
        calls = sum(fleet.store.calls.values()) - calls
        sent = await _counters(fleet, before)
        print_line(
            bench="scenario",
            deployment=deployment.name,
            scenario=name,
            seed=seed,
            load=load,
            jobs=len(told),
            verdicts=_verdicts(told),
            violations=len(violations(told, fleet.starts())),
            **_response(deployment, coming, told, seed),
            **_messages(sent, told, calls / (ended - began)),
            **_work(deployment, fleet, began, notes),
        )
    finally:
        await fleet.stop()


async def _counters(fleet, before):
    """Return what was counted since; empty if daemons are gone."""
    try:
        return await counters(fleet.plan) - before
    except OSError:
        return {}


async def _warm_up(fleet):
    """Open connections and let run times be learned."""
    plan = fleet.plan
    async with Client(plan.entry_urls(), plan.teams[0]) as client:
        jobs = (client.submit(plan.service, [{"run_ms": 30}] * 8) for _ in range(33))
        await asyncio.gather(*jobs)


def _verdicts(told):
    """Return how many jobs got each verdict, with its code."""
    found = {}
    for each in told:
        code = Code(each.answer.code)
        name = f"{code.verdict.value} [{int(code)}]"
        found[name] = found.get(name, 0) + 1
    return found


def _response(deployment, coming, told, seed):
    """Return the ratios to the ideal: ours, the bound's and the baselines'."""
    plan = deployment.plan
    wire_s = 2 * deployment.one_way_s
    ideals = [
        ideal.ideal_s(each.run_ms, deployment.slots, deployment.one_way_s)
        for each in coming
    ]

    def ratios(times):
        pairs = zip(times, ideals, strict=True)
        return _quantiles([(each + wire_s) / best for each, best in pairs])

    ours = [
        each.elapsed_s
        / ideal.ideal_s(each.run_ms, deployment.slots, deployment.one_way_s)
        for each in told
        if each.answer.code == Code.OK
    ]
    agents = plan.agents
    random_choice = ideal.at_random(agents, seed)
    return {
        "ratio": _quantiles(ours),
        "bound": ratios(ideal.central_queue(coming, deployment.slots)),
        "random": ratios(
            ideal.queues_by_agent(coming, agents, plan.slots, random_choice)
        ),
        "in_turn": ratios(
            ideal.queues_by_agent(coming, agents, plan.slots, ideal.in_turn(agents))
        ),
    }


def _quantiles(ratios):
    """Return the quantiles of some ratios."""
    return {f"p{each:g}": round(quantile(ratios, each), 3) for each in QUANTILES}


def _messages(sent, told, store_calls_per_s):
    """Return the messages for each task: all, and the wasted ones by kind."""
    tasks = max(1, sum(len(each.job.tasks) for each in told))
    kinds = {
        kind: count
        for (name, kind), count in sent.items()
        if name == "messages_sent" and kind not in CONTROL
    }
    wasted = {kind: round(kinds.get(kind, 0) / tasks, 4) for kind in WASTED}
    late = sum(count for (name, _), count in sent.items() if name == "late_replies")
    return {
        "messages_per_task": round(sum(kinds.values()) / tasks, 3),
        "wasted_per_task": round(sum(wasted.values()), 4),
        "wasted_kinds": {kind: each for kind, each in wasted.items() if each},
        "late_per_task": round(late / tasks, 4),
        "store_calls_per_s": round(store_calls_per_s, 2),
    }


def _work(deployment, fleet, began, notes):
    """Return the share of the usable slots that worked during a fault."""
    if not notes:
        return {}
    first, last = notes["window"]
    usable = notes["usable_slots"]
    busy_s = 0.0
    for name, target in fleet.targets.items():
        if name in notes["unusable"]:
            continue
        for start, end in target.intervals:
            busy_s += max(0.0, min(end, last) - max(start, first))
    share = busy_s / ((last - first) * usable)
    hidden = ("window", "unusable")
    extra = {key: each for key, each in notes.items() if key not in hidden}
    return {**extra, "busy_share": round(share, 4)}


# Faults: each returns the window in which work is counted, and the slots that
# could work in it.


async def _data_centre_leaves(fleet, client):
    plan = fleet.plan
    name = plan.data_centres[0]
    await asyncio.sleep(FAULT_AT_S)
    first = time.time()
    await _set_in_service(client, name, False)
    await asyncio.sleep(FAULT_ENDS_S - FAULT_AT_S)
    last = time.time()
    await _set_in_service(client, name, True)
    return_s = await _until_starts(fleet, name, last)
    gone = [
        f"agent-{index + 1}"
        for index in range(plan.agents)
        if plan.data_centre(index) == name
    ]
    late = len(fleet.starts_in(name, (first + 4.0) * 1000)) - len(
        fleet.starts_in(name, last * 1000)
    )
    return {
        "window": (first, last),
        "unusable": gone,
        "usable_slots": (plan.agents - len(gone)) * plan.slots,
        "starts_after_bound": late,
        "work_returned_after_s": return_s,
    }


async def _set_in_service(client, name, in_service):
    """Take a data centre out, or back."""
    configuration = await client.get("/configuration")
    centre = {"name": name, "in_service": in_service}
    version = configuration["version"]
    note = {
        "id": f"{name}-{version}",
        "base": version,
        "changed": {"data_centres": [centre]},
    }
    reply = await client.post("/notes", note)
    assert reply["code"] == Code.NOTE_COMMITTED, reply


async def _until_starts(fleet, data_centre, since):
    """Return the seconds until work starts in a data centre again."""
    while not fleet.starts_in(data_centre, since * 1000):
        await asyncio.sleep(0.01)
    return round(time.time() - since, 3)


async def _store_down(fleet, _client):
    plan = fleet.plan
    await asyncio.sleep(FAULT_AT_S)
    fleet.store.faults.down = True
    first = time.time()
    await asyncio.sleep(FAULT_ENDS_S - FAULT_AT_S)
    fleet.store.faults.down = False
    return {
        "window": (first, time.time()),
        "unusable": (),
        "usable_slots": plan.agents * plan.slots,
    }


async def _agent_killed(fleet, _client):
    plan = fleet.plan
    await asyncio.sleep(FAULT_AT_S)
    await fleet.kill("agent-2")
    first = time.time()
    await asyncio.sleep(FAULT_ENDS_S - FAULT_AT_S)
    await fleet.start_daemon("agent-2")
    return {
        "window": (first, time.time()),
        "unusable": ("agent-2",),
        "usable_slots": (plan.agents - 1) * plan.slots,
    }


async def _entry_killed(fleet, _client):
    plan = fleet.plan
    await asyncio.sleep(FAULT_AT_S)
    await fleet.kill("entry-2")
    first = time.time()
    await asyncio.sleep(FAULT_ENDS_S - FAULT_AT_S)
    await fleet.start_daemon("entry-2")
    return {
        "window": (first, time.time()),
        "unusable": (),
        "usable_slots": plan.agents * plan.slots,
    }


async def _straggler(fleet, _client):
    plan = fleet.plan
    fleet.targets["agent-3"].slowness = 5.0
    first = time.time()
    await asyncio.sleep(FAULT_ENDS_S)
    fleet.targets["agent-3"].slowness = 1.0
    return {
        "window": (first, time.time()),
        "unusable": (),
        "usable_slots": plan.agents * plan.slots,
    }


async def _failing_worker(fleet, _client):
    plan = fleet.plan
    first = time.time()
    fleet.targets["agent-3"].fail_all = True
    await asyncio.sleep(FAULT_ENDS_S)
    fleet.targets["agent-3"].fail_all = False
    return {
        "window": (first, time.time()),
        "unusable": ("agent-3",),
        "usable_slots": (plan.agents - 1) * plan.slots,
    }


FAULTS = {
    "data-centre-leaves": Scenario(1.2, _data_centre_leaves),
    "store-down": Scenario(0.85, _store_down),
    "store-down-without-vouching": Scenario(0.85, _store_down, vouch_s=0.0),
    "agent-killed": Scenario(0.6, _agent_killed),
    "entry-killed": Scenario(0.6, _entry_killed),
    "straggler": Scenario(0.6, _straggler),
    "failing-worker": Scenario(0.6, _failing_worker),
    "overload": Scenario(2.0),
}
