"""The site of a soak: processes, stand-ins and relays on loopback addresses."""

import asyncio
import os
import random
import re

from standins.platform import PlatformStore, PlatformWorker
from standins.platform_settings import (
    CONTROL_PORT,
    FRONT_PORT,
    INNER_PORT,
    configuration,
    settings_text,
)
from tests.faults.links import Links, Relay
from tests.faults.programs import Program
from tests.faults.witness import Witness

SERVICE = "carving"
ZONES = ("patan", "bhaktapur", "kirtipur")
HOST_NAME = "a.example"
APP, STORE = 8080, 8169
MAX_ATTEMPTS = 3
# Of one seed side by side.
MAX_SITES = 125


class NamedWorker(PlatformWorker):
    """A stand-in worker with a name, behind a relay.

    Parameters
    ----------
    name : str
        The place that it shares with its agent.
    relay : Relay
        Stands before its port, and refuses connections while the worker is down.
    *args, **kwargs
        The parameters of `PlatformWorker`.
    """

    def __init__(self, name, relay, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.name = name
        self.relay = relay
        self._crashing = False

    async def crash(self, down_s):
        """Crash and boot again, unless it is down already."""
        if self._crashing:
            return
        self._crashing = True
        self.relay.close_port()
        # A call that waits for an end would delay the crash.
        self._run_ended.set()
        await super().crash(down_s)
        await self.relay.open_port()
        self._crashing = False


class Site:
    """Entries, agents with their workers, and the store.

    Parameters
    ----------
    seed : int
        Draws the jobs. Also picks the loopback network, together with the process,
        so that sites can run side by side.
    folder : Path
        Takes settings and logs.
    entries, agents : int
        How many of each.
    program : callable
        Creates the processes, with the parameters of `Program`.
    """

    def __init__(self, seed, folder, entries=3, agents=6, program=Program):
        own = 2 * (os.getpid() % MAX_SITES) + 1
        self._own_net = f"127.{16 + seed % 200}.{own}"
        self._told_net = f"127.{16 + seed % 200}.{own + 1}"
        self._folder = folder
        self._program = program
        self.rng = random.Random(seed)
        self.links = Links()
        self.witness = Witness(MAX_ATTEMPTS, self.links, folder / "witness.log")
        self.store = PlatformStore()
        self.entries = [f"entry-{each}" for each in range(entries)]
        self.agents = [f"agent-{each}" for each in range(agents)]
        self._numbers = {
            name: number
            for number, name in enumerate(["store", *self.entries, *self.agents], 1)
        }
        self._names = {number: name for name, number in self._numbers.items()}
        told = rf"tcp://{re.escape(self._told_net)}\.(\d+):{INNER_PORT}"
        self._told_pattern = re.compile(told.encode())
        self.programs = {}
        self._relays = []
        self.version = 1
        self.extra_route = False

    @property
    def workers(self):
        """Return the workers by name."""
        return self.witness.workers

    def own(self, name):
        """Return the host at which a place listens itself."""
        return f"{self._own_net}.{self._numbers[name]}"

    def told(self, name):
        """Return the host that others are told, where a relay listens."""
        return f"{self._told_net}.{self._numbers[name]}"

    def front(self, entry):
        """Return the URL at which callers reach an entry."""
        return f"http://{self.told(entry)}:{FRONT_PORT}"

    async def start(self):
        """Start everything."""
        await self.store.start(self.own("store"), STORE)
        await self.configure()
        for name in self.entries:
            await self._relay(name, name, FRONT_PORT, "callers", "127.0.0.1")
        for number, name in enumerate([*self.entries, *self.agents]):
            await self._relay(name, name, INNER_PORT, "", "127.0.0.1")
            await self._relay(name, "store", STORE, name, self.own(name))
            await self._launch(name, ZONES[number % len(ZONES)])
        for number, name in enumerate(self.agents):
            await self._add_worker(name, ZONES[number % len(ZONES)])

    async def stop(self):
        """Stop everything that was started."""
        for program in self.programs.values():
            await program.stop()
        for worker in self.workers.values():
            await worker.stop()
        for relay in self._relays:
            await relay.stop()
        await self.store.stop()
        self.witness.close()

    async def configure(self, changed=False):
        """Write the configuration, with or without a second route."""
        if changed:
            self.version += self.rng.randint(1, 3)
            self.extra_route = not self.extra_route
        prefixes = ["/p/", "/extra/"] if self.extra_route else ["/p/"]
        await self.store.put(
            "op/config",
            configuration(self.version, prefixes, HOST_NAME, SERVICE, MAX_ATTEMPTS),
        )

    def _recognize(self, data):
        """Return which process has sent a message, by the address that it tells."""
        found = self._told_pattern.search(data)
        return "" if found is None else self._names[int(found[1])]

    async def _relay(self, name, place, port, source, host):
        """Start a relay at a process's told address, to a port of a place."""
        listen, target = (self.told(name), port), (self.own(place), port)
        relay = Relay(self.links, place, listen, target, source, host, self._recognize)
        self._relays.append(relay)
        await relay.start()

    async def _launch(self, name, zone):
        """Start a program."""
        settings = self._folder / f"{name}.toml"
        settings.write_text(
            settings_text(
                listen_host=self.own(name),
                advertised_host=self.told(name),
                zone=zone,
                seeds=[self.told(each) for each in self.entries],
                store=f"{self.told(name)}:{STORE}",
            )
        )
        listen = f"tcp://{self.own(name)}:{INNER_PORT}"
        log = self._folder / f"{name}.log"
        role = name.partition("-")[0]
        self.programs[name] = self._program(name, role, settings, listen, log)
        await self.programs[name].start()

    async def _add_worker(self, name, zone):
        """Start the worker beside an agent, behind a relay of its own."""
        place = f"worker of {name}"
        address = (self.told(name), APP)
        target = (self.own(name), APP)
        relay = Relay(self.links, place, address, target, name, self.own(name))
        self._relays.append(relay)
        await relay.start()
        url = f"http://{self.own(name)}:{CONTROL_PORT}"
        observe = self.witness.observe
        worker = NamedWorker(name, relay, SERVICE, zone, url, observe=observe)
        worker.id = f"i-{name}"
        worker.faults.clock_rate = self.rng.uniform(0.98, 1.0)
        self.workers[name] = worker
        await worker.start(self.own(name), APP, f"{self.told(name)}:{APP}")


async def until(holds, limit_s):
    """Wait until a condition holds; return whether it does in time."""
    try:
        async with asyncio.timeout(limit_s):
            while not holds():
                await asyncio.sleep(0.02)
    except TimeoutError:
        return False
    return True
