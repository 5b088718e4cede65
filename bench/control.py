"""What control costs an idle process, at several sizes of the fleet.

Daemons run as processes without any job. Measured for each role: processor time,
memory, messages and bytes to other processes, and calls to the store.
"""

import asyncio
from dataclasses import replace

from bench.figures import print_line
from bench.scrape import daemon_counters, memory_mb, processor_s
from standins.fleet import Fleet, daemon_names
from standins.site import SitePlan

PLAN = SitePlan(
    port=26_000,
    data_centres=("patan", "bhaktapur", "kirtipur"),
    service="mould-carving",
    teams=("gyanbhandar",),
)
SIZES = (6, 12, 24, 48)
WINDOW_S = 10.0
SETTLE_S = 3.0
WIRE_OVERHEAD_BYTES = 2 + 40 + 12


async def measure(sizes=SIZES):
    """Measure each size and print a line for each role."""
    for agents in sizes:
        fleet = Fleet(replace(PLAN, agents=agents))
        try:
            await fleet.start()
            await asyncio.sleep(SETTLE_S)
            await _measure_size(fleet)
        finally:
            await fleet.stop()


async def _measure_size(fleet):
    """Print the figures of one size."""
    plan = fleet.plan
    names = daemon_names(plan)
    before = {name: await _sample(fleet, name) for name in names}
    calls = sum(fleet.store.calls.values())
    await asyncio.sleep(WINDOW_S)
    after = {name: await _sample(fleet, name) for name in names}
    calls = sum(fleet.store.calls.values()) - calls
    for role in ("entry", "agent"):
        members = [name for name in names if name.startswith(role)]
        rates = [_rates(before[name], after[name]) for name in members]
        print_line(
            bench="control",
            role=role,
            agents=plan.agents,
            entries=plan.entries,
            core_percent=_mean(rates, "core_percent"),
            memory_mb=_mean(rates, "memory_mb"),
            messages_per_s=_mean(rates, "messages_per_s"),
            sent_bytes_per_s=_mean(rates, "sent_bytes_per_s"),
            received_bytes_per_s=_mean(rates, "received_bytes_per_s"),
            store_calls_per_s=round(calls / WINDOW_S, 2),
        )


async def _sample(fleet, name):
    """Return a daemon's processor time, memory and counters."""
    pid = fleet.pid(name)
    counted = await daemon_counters(fleet.plan, name)
    return processor_s(pid), memory_mb(pid), counted


def _rates(before, after):
    """Return the figures of one daemon between two samples."""
    counted = after[2] - before[2]

    def total(metric):
        return sum(value for (name, _), value in counted.items() if name == metric)

    sent, received = total("messages_sent"), total("messages_received")
    return {
        "core_percent": 100 * (after[0] - before[0]) / WINDOW_S,
        "memory_mb": after[1],
        "messages_per_s": sent / WINDOW_S,
        "sent_bytes_per_s": _wire(total("message_bytes_sent"), sent),
        "received_bytes_per_s": _wire(total("message_bytes_received"), received),
    }


def _wire(payload, messages):
    """Return bytes a second on the wire, framing and IP headers included."""
    return (payload + messages * WIRE_OVERHEAD_BYTES) / WINDOW_S


def _mean(rates, name):
    """Return the mean of a figure over the daemons of a role."""
    return round(sum(each[name] for each in rates) / len(rates), 3)
