"""A site in one process: entries, agents, targets and the store."""

import asyncio
from dataclasses import dataclass, field

from ragwortlug.client import Client
from ragwortlug.compose import compose_agent, compose_entry
from ragwortlug.lease_settings import LogSettings
from ragwortlug.settings import AgentSettings, EntrySettings, ViewSettings
from standins.store import StoreStandin
from standins.target import TargetStandin

HOST = "127.0.0.1"
STORE_PORT_OFFSET = 0
ENTRY_PORT_OFFSET = 10
AGENT_PORT_OFFSET = 100
READY_TIMEOUT_S = 20.0


@dataclass(frozen=True, slots=True)
class SitePlan:
    """The parts of a site and their settings.

    All ports are `port` plus an offset. Indexes of entries and agents count from 0.
    """

    port: int
    data_centres: tuple[str, ...]
    service: str
    teams: tuple[str, ...]
    entries: int = 3
    agents: int = 11
    slots: int = 8
    memory_mb: int = 128_000
    view: ViewSettings = field(default_factory=ViewSettings)
    trace_share: float = 0.0
    target_processes: bool = False
    log_level: str = "WARNING"

    def data_centre(self, index):
        """Return the data centre of the entry or agent with an index."""
        return self.data_centres[index % len(self.data_centres)]

    def entry_settings(self, index):
        """Return the `EntrySettings` of an entry by its index."""
        port = self.port + ENTRY_PORT_OFFSET + 2 * index
        return EntrySettings(
            address=f"tcp://{HOST}:{port}",
            http=f"tcp://{HOST}:{port + 1}",
            data_centre=self.data_centre(index),
            store=f"http://{HOST}:{self.port + STORE_PORT_OFFSET}",
            drain_s=0.3,
            trace_share=self.trace_share,
            log=LogSettings(level=self.log_level),
            view=self.view,
        )

    def agent_settings(self, index):
        """Return the `AgentSettings` of an agent by its index."""
        port = self.port + AGENT_PORT_OFFSET + 3 * index
        entries = range(self.entries)
        return AgentSettings(
            address=f"tcp://{HOST}:{port}",
            http=f"tcp://{HOST}:{port + 1}",
            data_centre=self.data_centre(index),
            rack=f"rack-{index // 3}",
            entries=tuple(self.entry_settings(entry).address for entry in entries),
            log=LogSettings(level=self.log_level),
            view=self.view,
        )

    def settings_of(self, name):
        """Return the settings of a daemon by its name, such as ``agent-3``."""
        role, _, number = name.partition("-")
        build = self.entry_settings if role == "entry" else self.agent_settings
        return build(int(number) - 1)

    def url_of(self, name):
        """Return the URL of a daemon's HTTP interface by its name."""
        return self.settings_of(name).http.replace("tcp://", "http://")

    def target_port(self, index):
        """Return the port of the target beside an agent."""
        return self.port + AGENT_PORT_OFFSET + 3 * index + 2

    def capacity(self):
        """Return the capacity that each target announces."""
        return {
            "services": [self.service],
            "slots": self.slots,
            "connections": 64,
            "cpus": 64,
            "memory_mb": self.memory_mb,
        }

    def entry_urls(self):
        """Return the URLs of all entries."""
        return [self.url_of(f"entry-{index + 1}") for index in range(self.entries)]

    def first_note(self):
        """Return the release note with the initial configuration."""
        return {
            "id": "set-up",
            "base": 0,
            "added": {
                "data_centres": [{"name": name} for name in self.data_centres],
                "services": [
                    {"name": self.service, "data_centres": list(self.data_centres)}
                ],
                "teams": [{"name": name} for name in self.teams],
            },
        }


class Site:
    """A running site.

    Parameters
    ----------
    plan : SitePlan
        The parts of the site.
    """

    def __init__(self, plan):
        self.plan = plan
        self.store = StoreStandin()
        self.entries = []
        self.agents = []
        self.targets = []

    async def start(self):
        """Start the site and wait until it can serve jobs."""
        plan = self.plan
        await self.store.start(HOST, plan.port + STORE_PORT_OFFSET)
        for index in range(plan.entries):
            self.entries.append(compose_entry(plan.entry_settings(index)))
        for index in range(plan.agents):
            self.agents.append(compose_agent(plan.agent_settings(index)))
        for kernel in (*self.entries, *self.agents):
            await kernel.start()
        for index in range(plan.agents):
            await self.start_target(index)
        await wait_until_ready(plan)

    async def stop(self):
        """Stop the site without draining it."""
        for target in self.targets:
            await target.stop(graceful=False)
        for kernel in (*self.agents, *self.entries):
            await kernel.stop()
        await self.store.stop()

    async def start_target(self, index):
        """Start the target of an agent by its index, and return it."""
        plan = self.plan
        port = plan.target_port(index)
        agent = plan.url_of(f"agent-{index + 1}")
        target = TargetStandin(f"http://{HOST}:{port}", agent, plan.capacity())
        await target.start(HOST, port)
        self.targets.append(target)
        return target


async def wait_until_ready(plan):
    """Submit the first release note and wait until every agent can be home of new jobs.

    Raises
    ------
    TimeoutError
        If the site is not ready after `READY_TIMEOUT_S` seconds.
    """
    async with Client(plan.entry_urls()[:1], plan.teams[0]) as client:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await _is_ready(client, plan):
                await asyncio.sleep(0.1)


async def _is_ready(client, plan):
    """Return whether the roster is complete and the first note is in force."""
    try:
        status = await client.get("/status")
        if status["configuration"] == 0:
            await client.post("/notes", plan.first_note())
            return False
        note_status = await client.get("/configuration/in-force?version=1")
    except OSError:
        return False
    members = status["roster"]["members"]
    agents = [member for member in members if member["role"] == "agent"]
    return (
        note_status["in_force"]
        and status["confirmed"]
        and len(members) - len(agents) >= plan.entries
        and sum(agent["capacity"] is not None for agent in agents) >= plan.agents
        and all(agent["since_ms"] <= status["now_ms"] for agent in agents)
    )
