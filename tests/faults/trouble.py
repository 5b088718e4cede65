"""The kinds of fault of a soak; each is a coroutine that lasts as long as its fault.

A kind takes the site, the callers, a random generator and the time that it lasts.
Faults overlap and come again while earlier ones last.
"""

import asyncio
import signal

from tests.faults.links import Disturbance
from tests.faults.witness import callers_of

LATE_ORDERS_S = (2.0, 12.0)
WORKER_DOWN_S = (0.2, 1.5)
ROUTE_PATH = "/extra/"
ASK_EVERY_S = 0.25
FLAP_DOWN_S = (0.01, 0.06)
REFUSED_LEAST_S = 0.02
# Between a program's first lines and its event loop.
STARTING_S = 0.3
STARTING_LIMIT_S = 10.0
CALLERS_DELAY_S = (0.1, 1.0)
# A process without its processor for so long isn't missed by others.
STALL_S = 0.4
RUN_S = (0.005, 0.03)
CROWD_JOBS = (40, 160)
RESTARTED_S = (0.1, 0.3)
LATE_LISTS_S = (0.0, 0.3)
EARLY_RETURN_S = (0.002, 0.1)
LABELS = ("a", "b")
FIRST_REPORT_S = 0.5


def _anyone(site, rng):
    """Return the name of some process."""
    return rng.choice([*site.entries, *site.agents])


async def _disturb(site, places, for_s, begin, end):
    """Let something begin and end, and the witness know of it."""
    over = site.witness.begin(places)
    begin()
    try:
        await asyncio.sleep(for_s)
    finally:
        end()
        over()


async def _disturb_links(site, places, for_s, disturbance):
    """Let connections fare badly for some time."""
    await _disturb(
        site,
        places,
        for_s,
        lambda: site.links.begin(disturbance),
        lambda: site.links.end(disturbance),
    )


# Signals.


async def kill(site, _callers, rng, for_s):
    """Kill a process; it comes back after some time."""
    name = _anyone(site, rng)
    site.programs[name].signal(signal.SIGKILL, for_s)
    await _disturb(site, (name,), for_s, lambda: None, lambda: None)


async def kill_all(site, _callers, _rng, for_s):
    """Kill all processes at once."""
    for program in site.programs.values():
        program.signal(signal.SIGKILL, for_s)
    await _disturb(site, tuple(site.programs), for_s, lambda: None, lambda: None)


async def stop_in_turn(site, callers, rng, _for_s):
    """Ask processes to stop, one after the other; callers keep their connections."""
    group = rng.choice([site.entries, site.agents])
    for name in rng.sample(group, 2):
        if name in site.entries:
            callers.terms.append((name, asyncio.get_running_loop().time()))
        over = site.witness.begin((f"planned stop of {name}",))
        await site.programs[name].terminate()
        over()
        await asyncio.sleep(rng.uniform(0.2, 1.0))


async def pause(site, _callers, rng, for_s):
    """Let a process stand still."""
    name = _anyone(site, rng)
    program = site.programs[name]
    await _disturb(
        site,
        (name,),
        for_s,
        lambda: program.signal(signal.SIGSTOP),
        lambda: program.signal(signal.SIGCONT),
    )


async def slow_entry(site, _callers, rng, for_s):
    """Give an entry a small share of the processor."""
    name = rng.choice(site.entries)
    program = site.programs[name]
    ends_at = asyncio.get_running_loop().time() + for_s
    over = site.witness.begin((name,))
    try:
        while asyncio.get_running_loop().time() < ends_at:
            program.signal(signal.SIGSTOP)
            await asyncio.sleep(STALL_S)
            program.signal(signal.SIGCONT)
            await asyncio.sleep(rng.uniform(*RUN_S))
    finally:
        program.signal(signal.SIGCONT)
        over()


async def reload(site, _callers, rng, _for_s):
    """Tell processes that their settings have changed."""
    for name in rng.sample([*site.entries, *site.agents], 3):
        site.programs[name].signal(signal.SIGHUP)


async def reload_starting(site, _callers, rng, for_s):
    """Kill a process, and tell it that its settings have changed while it starts."""
    name = _anyone(site, rng)
    program = site.programs[name]
    killed = program.pid
    over = site.witness.begin((name,))
    program.signal(signal.SIGKILL)
    async with asyncio.timeout(STARTING_LIMIT_S):
        while program.pid in (None, killed) or not program.handles_reload:
            await asyncio.sleep(0.001)
    await asyncio.sleep(rng.uniform(0.0, STARTING_S))
    program.signal(signal.SIGHUP)
    await asyncio.sleep(for_s)
    over()


async def stall_output(site, _callers, rng, for_s):
    """Let nobody read the output of some processes; that disturbs nothing."""
    programs = [
        site.programs[each] for each in rng.sample([*site.entries, *site.agents], 4)
    ]
    for program in programs:
        program.reading.clear()
    await asyncio.sleep(2.0 * for_s)
    for program in programs:
        program.reading.set()


# Connections.


async def isolate(site, _callers, rng, for_s):
    """Cut a machine off from all others, its worker and callers apart."""
    name = _anyone(site, rng)
    near = {name, f"worker of {name}", "callers"}

    def applies(source, target):
        return name in (source, target) and not {source, target} <= near

    await _disturb_links(site, (name,), for_s, Disturbance(applies))


async def cut_one_way(site, _callers, rng, for_s):
    """Hold all bytes to, or from, a machine."""
    name = _anyone(site, rng)
    side = rng.randrange(2)

    def applies(*ends):
        return ends[side] == name and ends[1 - side] not in ("callers", name)

    await _disturb_links(site, (name,), for_s, Disturbance(applies))


async def bridge_cut(site, _callers, rng, for_s):
    """Keep an entry and half of the agents from each other."""
    entry = rng.choice(site.entries)
    agents = set(rng.sample(site.agents, len(site.agents) // 2))

    def applies(source, target):
        return entry in (source, target) and bool({source, target} & agents)

    await _disturb_links(site, (entry, *agents), for_s, Disturbance(applies))


async def part_entries(site, _callers, rng, for_s):
    """Keep an entry and the other entries from each other; agents hear them all."""
    entry = rng.choice(site.entries)
    others = set(site.entries) - {entry}

    def applies(source, target):
        return entry in (source, target) and bool({source, target} & others)

    await _disturb_links(site, (entry,), for_s, Disturbance(applies))


async def silence_worker(site, _callers, rng, for_s):
    """Silence a worker's calls, one way or both; it runs on."""
    name = rng.choice(site.agents)
    place = f"worker of {name}"
    sides = rng.choice([(0,), (1,), (0, 1)])
    held = Disturbance(lambda *ends: any(ends[side] == place for side in sides))
    await _disturb_links(site, (name,), for_s, held)


async def delay(site, _callers, rng, for_s):
    """Let the bytes of a machine's connections arrive late, callers included."""
    name = _anyone(site, rng)
    late = Disturbance(lambda *ends: name in ends, rng.uniform(0.02, 0.3))
    await _disturb_links(site, (name,), for_s, late)


async def reset(site, _callers, rng, for_s):
    """Reset a machine's connections a few times."""
    name = _anyone(site, rng)
    over = site.witness.begin((name,))
    for _ in range(3):
        site.links.reset(lambda source, target: name in (source, target))
        await asyncio.sleep(for_s / 3)
    over()


async def mute(site, _callers, rng, for_s):
    """Silence a machine's open connections for good, those to callers apart."""
    name = _anyone(site, rng)
    over = site.witness.begin((name,))
    site.links.mute(
        lambda source, target: name in (source, target) and source != "callers"
    )
    await asyncio.sleep(for_s)
    over()


# Connections of callers.


async def mute_callers(site, _callers, rng, for_s):
    """Silence the open connections between callers and an entry for good."""
    entry = rng.choice(site.entries)
    over = site.witness.begin((callers_of(entry),))
    site.links.mute(lambda *ends: ends == ("callers", entry))
    await asyncio.sleep(for_s)
    over()


async def cut_callers(site, _callers, rng, for_s):
    """Hold all bytes between callers and an entry, and the ends of connections."""
    entry = rng.choice(site.entries)
    held = Disturbance(lambda *ends: set(ends) == {"callers", entry})
    await _disturb_links(site, (callers_of(entry),), for_s, held)


async def reset_callers(site, _callers, rng, for_s):
    """Reset callers of an entry a few times; the entry sees nothing."""
    entry = rng.choice(site.entries)
    over = site.witness.begin((callers_of(entry),))
    for _ in range(3):
        site.links.reset_source(lambda *ends: ends == ("callers", entry))
        await asyncio.sleep(for_s / 3)
    over()


async def crowd(site, callers, rng, for_s):
    """Let many callers come at once."""
    over = site.witness.begin(tuple(callers_of(each) for each in site.entries))
    for _ in range(rng.randint(*CROWD_JOBS)):
        callers.begin_job()
    await asyncio.sleep(for_s)
    over()


async def drop_callers(site, _callers, rng, for_s):
    """Reset the connections between callers and an entry a few times."""
    entry = rng.choice(site.entries)
    over = site.witness.begin((callers_of(entry),))
    for _ in range(3):
        site.links.reset(lambda *ends: ends == ("callers", entry))
        await asyncio.sleep(for_s / 3)
    over()


async def delay_callers(site, _callers, rng, for_s):
    """Let the bytes between callers and an entry arrive late."""
    entry = rng.choice(site.entries)
    late = Disturbance(
        lambda *ends: set(ends) == {"callers", entry}, rng.uniform(*CALLERS_DELAY_S)
    )
    await _disturb_links(site, (callers_of(entry),), for_s, late)


async def lose_stops(site, callers, rng, for_s):
    """Silence an entry's open connections to agents whenever callers leave it."""
    entry = rng.choice(site.entries)

    def silence(left):
        if left == entry:
            site.links.mute(
                lambda *ends: entry in ends and not set(ends).isdisjoint(site.agents)
            )

    await _disturb(
        site,
        (entry,),
        for_s,
        lambda: callers.on_leaving.append(silence),
        lambda: callers.on_leaving.remove(silence),
    )


async def drop_some_callers(site, callers, rng, for_s):
    """Reset some callers of an entry, which ask the next one at once."""
    entry = rng.choice(site.entries)
    over = site.witness.begin(tuple(callers_of(each) for each in site.entries))
    callers.pauses[entry] = lambda: rng.uniform(*EARLY_RETURN_S)
    for _ in range(3):
        site.links.reset(
            lambda *ends: ends == ("callers", entry) and rng.random() < 0.5
        )
        await asyncio.sleep(for_s / 3)
    callers.pauses.pop(entry, None)
    over()


async def restart_beside_silence(site, _callers, rng, for_s):
    """Silence an entry's callers for good; the others restart as these return."""
    silent, *others = rng.sample(site.entries, len(site.entries))
    over = site.witness.begin((callers_of(silent), *others))
    site.links.mute(lambda *ends: ends == ("callers", silent))
    for name in others:
        await asyncio.sleep(rng.uniform(0.0, for_s / 2))
        site.programs[name].signal(signal.SIGKILL, rng.uniform(*RESTARTED_S))
    await asyncio.sleep(for_s)
    over()


# The store.


async def store_away(site, _callers, rng, for_s):
    """Let the store be away, silent, slow or without answers to writes."""
    name, bad, good = rng.choice(
        [
            ("unavailable", True, False),
            ("delay_s", 0.5, 0.0),
            ("drop_replies", True, False),
        ]
    )
    await _disturb(
        site,
        ("store",),
        for_s,
        lambda: setattr(site.store, name, bad),
        lambda: setattr(site.store, name, good),
    )


async def store_silent(site, _callers, rng, for_s):
    """Cut some machines from the store."""
    names = set(rng.sample([*site.entries, *site.agents], rng.randint(1, 6)))

    def applies(source, target):
        return "store" in (source, target) and bool({source, target} & names)

    await _disturb_links(site, tuple(names), for_s, Disturbance(applies))


async def store_turns_away(site, _callers, rng, for_s):
    """Let the store turn some machines away and serve the others."""
    names = rng.sample([*site.entries, *site.agents], rng.randint(1, 5))
    hosts = {site.own(each) for each in names}
    await _disturb(
        site,
        tuple(names),
        for_s,
        lambda: site.store.refused_hosts.update(hosts),
        lambda: site.store.refused_hosts.difference_update(hosts),
    )


async def store_forgets(site, _callers, _rng, for_s):
    """Let the store drop its history."""
    await _disturb(site, ("store",), for_s, site.store.compact, site.store.compact)


# Workers.


async def crash_worker(site, _callers, rng, _for_s):
    """Let a worker crash and begin a new life."""
    await site.workers[rng.choice(site.agents)].crash(rng.uniform(*WORKER_DOWN_S))


async def flap_worker(site, _callers, rng, for_s):
    """Let a worker crash a few times and be back at once.

    Its agent sees its connections end or, as after a loss of power, go silent.
    """
    name = rng.choice(site.agents)
    ends = {name, f"worker of {name}"}
    silently = rng.random() < 0.5
    over = site.witness.begin((name,))
    for _ in range(rng.randint(1, 3)):
        if silently:
            site.links.mute(lambda *places: set(places) == ends)
        await site.workers[name].crash(rng.uniform(*FLAP_DOWN_S))
        await asyncio.sleep(for_s / 3)
    over()


async def change_worker(site, callers, rng, for_s):
    """Let a worker crash and boot again with the other label; jobs require them.

    Its boots report late meanwhile, and it is idle if one is, so that its agent doesn't
    notice the crash by a run.
    """
    workers = list(site.workers.values())
    worker = rng.choice([each for each in workers if not each.running] or workers)
    kind, rack = worker.labels
    callers.labels += LABELS
    worker.faults.first_report_s = FIRST_REPORT_S
    worker.labels = (LABELS[1 - LABELS.index(kind)], rack)
    await worker.crash(rng.uniform(*WORKER_DOWN_S))
    await asyncio.sleep(for_s)
    worker.faults.first_report_s = 0.0
    del callers.labels[: len(LABELS)]


async def refuse_worker(site, _callers, rng, for_s):
    """Reset a worker's connections and refuse new ones while its runs go on."""
    name = rng.choice(site.agents)
    relay = site.workers[name].relay
    ends = {name, f"worker of {name}"}
    over = site.witness.begin((name,))
    relay.close_port()
    site.links.reset(lambda *places: set(places) == ends)
    await asyncio.sleep(rng.uniform(REFUSED_LEAST_S, for_s))
    await relay.open_port()
    over()


async def failing_worker(site, _callers, rng, for_s):
    """Let a worker fail much of what it starts."""
    faults = site.workers[rng.choice(site.agents)].faults
    share = rng.choice([0.4, 1.0])
    faults.next_run_fails = lambda: rng.random() < share
    await asyncio.sleep(for_s)
    faults.next_run_fails = None


async def standing_worker(site, _callers, rng, for_s):
    """Let the runs that a worker begins stand still."""
    faults = site.workers[rng.choice(site.agents)].faults
    faults.stalled = True
    await asyncio.sleep(for_s)
    faults.stalled = False


async def late_orders(site, _callers, rng, for_s):
    """Let a worker leave orders without an answer and carry them out late."""
    name = rng.choice(site.agents)
    faults = site.workers[name].faults
    over = site.witness.begin((name,))
    faults.command_delay_s = lambda: (
        rng.uniform(*LATE_ORDERS_S) if rng.random() < 0.5 else 0.0
    )
    await asyncio.sleep(for_s)
    faults.command_delay_s = None
    await asyncio.sleep(LATE_ORDERS_S[1])
    over()


async def drain_worker(site, _callers, rng, for_s):
    """Let a worker drain, leave, and come back as a new one."""
    worker = site.workers[rng.choice(site.agents)]
    if worker.state != "ready":
        return
    worker.state = "draining"
    await asyncio.sleep(max(for_s, 2.5))
    worker.state, worker.drain_confirmed_at = "ready", None
    await worker.crash(rng.uniform(*WORKER_DOWN_S))


async def full_worker(site, _callers, rng, for_s):
    """Let a worker take no further connection; its open ones work.

    Some of these end, so that its agent needs new ones.
    """
    name = rng.choice(site.agents)
    relay = site.workers[name].relay
    ends = {name, f"worker of {name}"}
    how = rng.choice(["refuse", "reset", "let wait"])
    over = site.witness.begin((name,))
    if how == "refuse":
        relay.close_port()
    else:
        relay.turn_away(how)
    share = rng.uniform(0.0, 0.5)
    site.links.reset(lambda *places: set(places) == ends and rng.random() < share)
    await asyncio.sleep(for_s)
    if how == "refuse":
        await relay.open_port()
    else:
        relay.turn_away(None)
    over()


async def late_lists(site, _callers, rng, for_s):
    """Let a worker's lists of runs arrive late, not in the order of their times."""
    name = rng.choice(site.agents)
    faults = site.workers[name].faults
    over = site.witness.begin((name,))
    faults.list_delay_s = lambda: rng.uniform(*LATE_LISTS_S)
    await asyncio.sleep(for_s)
    faults.list_delay_s = None
    over()


# Whole machines.


async def pause_worker_machine(site, _callers, rng, for_s):
    """Let an agent and its worker stand still together."""
    name = rng.choice(site.agents)
    program, worker = site.programs[name], site.workers[name]
    over = site.witness.begin((name,))
    program.signal(signal.SIGSTOP)
    worker.pause()
    await asyncio.sleep(for_s)
    for resume in rng.sample(
        [worker.resume, lambda: program.signal(signal.SIGCONT)], 2
    ):
        resume()
        await asyncio.sleep(rng.uniform(0.0, 0.02))
    over()


async def pause_worker(site, _callers, rng, for_s):
    """Let a worker stand still; its agent goes on."""
    name = rng.choice(site.agents)
    worker = site.workers[name]
    await _disturb(site, (name,), for_s, worker.pause, worker.resume)


async def pause_entry_machine(site, _callers, rng, for_s):
    """Let an entry and all connections of its machine stand still together."""
    name = rng.choice(site.entries)
    program = site.programs[name]
    held = Disturbance(lambda *ends: name in ends)
    over = site.witness.begin((name, callers_of(name)))
    program.signal(signal.SIGSTOP)
    site.links.begin(held)
    await asyncio.sleep(for_s)
    for resume in rng.sample(
        [lambda: site.links.end(held), lambda: program.signal(signal.SIGCONT)], 2
    ):
        resume()
        await asyncio.sleep(rng.uniform(0.0, 0.02))
    over()


# Operators.


async def evacuate(site, _callers, rng, for_s):
    """Let operators empty a data centre and take it back."""
    zone = rng.choice(sorted({each.zone for each in site.workers.values()}))
    key = f"op/evacuate/{zone}"
    if site.store.keys(key):
        return
    await site.store.put(key, b"{}")
    site.witness.evacuated(zone, asyncio.get_running_loop().time())
    await asyncio.sleep(for_s + 4.0)
    site.witness.evacuated(zone, None)
    await site.store.remove(key)


async def change_routes(site, callers, _rng, for_s):
    """Let operators add or drop a route, and ask every entry for it."""
    loop = asyncio.get_running_loop()
    await site.configure(changed=True)
    version, wanted, ordered_at = site.version, site.extra_route, loop.time()
    while loop.time() < ordered_at + for_s + 2.5 and version == site.version:
        for entry in site.entries:
            status = await callers.ask_route(entry, ROUTE_PATH)
            if status is not None and version == site.version:
                site.witness.check_route(entry, status, wanted, ordered_at)
        await asyncio.sleep(ASK_EVERY_S)


# In this order for the seeds of tests.
GENERAL_KINDS = (
    kill,
    kill,
    kill_all,
    stop_in_turn,
    stop_in_turn,
    pause,
    pause,
    reload,
    stall_output,
    isolate,
    cut_one_way,
    bridge_cut,
    silence_worker,
    delay,
    reset,
    mute,
    mute,
    store_away,
    store_silent,
    store_turns_away,
    store_forgets,
    crash_worker,
    failing_worker,
    standing_worker,
    late_orders,
    drain_worker,
    evacuate,
    change_routes,
)
CALLER_KINDS = (mute_callers, cut_callers, reset_callers, delay_callers, lose_stops)
WORKER_KINDS = (flap_worker, refuse_worker)
SLOW_KINDS = (slow_entry, drop_callers, crowd)
# Drawn only where they are asked for: the seeds of `KINDS` stay what they are.
MACHINE_KINDS = (
    pause_worker_machine,
    pause_worker,
    pause_entry_machine,
    full_worker,
    restart_beside_silence,
    late_lists,
    drop_some_callers,
    change_worker,
)
KINDS = (
    *GENERAL_KINDS,
    *CALLER_KINDS,
    *WORKER_KINDS,
    part_entries,
    *SLOW_KINDS,
    reload_starting,
)
