"""A small deployment on loopback: the project's programs beside stand-ins.

The programs are started with the commands of the deploy file. The store and the workers
are the project's own stand-ins for the platform; the balancer is a new one.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path

import aiohttp

from review.relay import Relay
from standins.platform import PlatformStore, PlatformWorker

ROOT = Path(__file__).parents[1]
ZONES = ("patan", "bhaktapur", "kirtipur")
SERVICE = "carving"
HOST_NAME = "a.example"
PREFIX = "/jobs/"
HEARTBEAT_S = 1.5
START_TIMEOUT_S = 20.0
# The delay with which the platform starts a process again.
RESTART_S = 0.5
METRICS_PORT = 9464
MAX_CASE_S = 110.0
LAPSE_CHECK_S = 0.002
PROBE_INTERVAL_S = 1.0
MISSES_TO_REMOVE = 2

_SETTINGS = """
node_name = "{name}"
role = "{role}"
machine_class = "{machine_class}"
serves = {serves}
ip = "{told}"
zone = "{zone}"
region = "bagmati"
internal_port_range = [{inner}, {inner}]
seed_nodes = {seeds}
bootstrap = true
fault_counted = false
discovery = "local"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform"]
orders = "request"
[zones]
patan = "bagmati"
bhaktapur = "bagmati"
kirtipur = "bagmati"
[listen_addrs]
front = "{own}:{front}"
ready = "{own}:{ready}"
control = "{own}:{control}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
contact_ms = 3000
ack_timeout_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
evacuate_ms = 5000
max_hold_ms = 1000
stop_timeout_ms = 50
cancel_ms = 3000
visible_ms = 3000
retransmit_ms = 1300
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
retention_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path):
        self._file = path.open("w", buffering=1)
        self._started_at = time.monotonic()

    def now(self):
        """Return the seconds since the record began."""
        return time.monotonic() - self._started_at

    def write(self, text):
        """Write a line with the time."""
        self._file.write(f"{self.now():8.3f}  {text}\n")

    def close(self):
        """Close the file."""
        self._file.close()


class Program:
    """One of the project's programs, started again whenever it ends."""

    def __init__(self, name, role, arguments, environment, log, record):
        self.name = name
        self._command = [*role["run"].split(), *arguments]
        self._environment = environment | role.get("env", {})
        self._log = log
        self._record = record
        self._process = None
        self._keeper = None

    async def start(self):
        """Start the process and keep it running."""
        await self._launch()
        self._keeper = asyncio.create_task(self._keep())

    async def stop(self):
        """Kill the process for good."""
        if self._keeper is not None:
            self._keeper.cancel()
            await asyncio.gather(self._keeper, return_exceptions=True)
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(signal.SIGCONT)
                self._process.kill()
            await self._process.wait()

    def signal(self, number):
        """Send a signal to the process."""
        self._record.write(f"platform: {signal.Signals(number).name} to {self.name}")
        self._process.send_signal(number)

    async def ended(self):
        """Wait until the process that runs now has ended."""
        await self._process.wait()

    async def _launch(self):
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=ROOT,
                env=self._environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def _keep(self):
        while True:
            code = await self._process.wait()
            self._record.write(f"platform: {self.name} has ended with {code}")
            await asyncio.sleep(RESTART_S)
            await self._launch()
            self._record.write(f"platform: {self.name} is started again")


class Worker(PlatformWorker):
    """The project's stand-in for a worker, whose leases lapse on time."""

    _lapsing = None

    async def start(self, host, port, address=""):
        """Start serving, and end what runs when its lease expires."""
        await super().start(host, port, address)
        self._lapsing = asyncio.create_task(self._lapse())

    async def stop(self):
        """Stop serving."""
        if self._lapsing is not None:
            self._lapsing.cancel()
        await super().stop()

    async def _lapse(self):
        while True:
            self._end_expired()
            await asyncio.sleep(LAPSE_CHECK_S)


class Balancer:
    """The platform's balancer: probes readiness and chooses the node of a channel."""

    def __init__(self, site):
        self._site = site
        self._misses = {}
        self._task = None
        self.rotation = []

    async def start(self):
        """Start probing."""
        self._misses = dict.fromkeys(self._site.entries, MISSES_TO_REMOVE)
        self._task = asyncio.create_task(self._probe_all())

    async def stop(self):
        """Stop probing."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def node_for(self, zone):
        """Return the entry that gets a new channel of a client in a zone."""
        order = self._site.entries
        own = [name for name in order if self._site.zone_of(name) == zone]
        for name in [*own, *order]:
            if name in self.rotation:
                return name
        return own[0]

    async def _probe_all(self):
        async with aiohttp.ClientSession() as session:
            while True:
                await asyncio.gather(
                    *(self._probe(session, name) for name in self._site.entries)
                )
                rotation = [
                    name
                    for name in self._site.entries
                    if self._misses[name] < MISSES_TO_REMOVE
                ]
                if rotation != self.rotation:
                    self._site.record.write(f"balancer: in rotation: {rotation}")
                    self.rotation = rotation
                await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, session, name):
        try:
            async with session.get(
                f"http://{self._site.own(name)}:{self._site.ready_port}/api/readiness",
                timeout=aiohttp.ClientTimeout(total=0.5),
            ) as response:
                ready = response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            ready = False
        self._misses[name] = 0 if ready else self._misses[name] + 1


class Site:
    """Entries, agents with workers, the store and the balancer.

    Parameters
    ----------
    record : Record
        Takes what is seen.
    entries, agents : int
        How many of each.
    relayed : bool
        Whether the messages between the project's processes pass relays, which can
        hold or drop them.
    """

    def __init__(self, record, entries=3, agents=4, relayed=False):
        self.record = record
        self.entries = [f"entry-{each}" for each in range(entries)]
        self.agents = [f"agent-{each}" for each in range(agents)]
        self.names = ["store", *self.entries, *self.agents]
        self.relayed = relayed
        self._own_net, self._told_net = _free_nets(len(self.names))
        ports = _free_ports(f"{self._own_net}.1", 6)
        self.front_port, self.ready_port, self._control_port = ports[:3]
        self._inner_port, self._app_port, self._store_port = ports[3:]
        self._folder = tempfile.TemporaryDirectory(prefix="ragwortlug-review-")
        self.folder = Path(self._folder.name)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._roles = deploy["roles"]
        self.store = PlatformStore()
        self.balancer = Balancer(self)
        self.programs = {}
        self.workers = {}
        self.relays = {}
        # What the workers saw: (time, worker, event, task, run).
        self.seen = []

    def zone_of(self, name):
        """Return the zone of an entry or agent."""
        return ZONES[int(name.rpartition("-")[2]) % len(ZONES)]

    def own(self, name):
        """Return the host at which a machine listens."""
        return f"{self._own_net}.{self.names.index(name) + 1}"

    def told(self, name):
        """Return the host that a machine tells the others."""
        net = self._told_net if self.relayed else self._own_net
        return f"{net}.{self.names.index(name) + 1}"

    async def start(self, routes):
        """Start everything, and wait until it serves; `routes` are prefixes."""
        await self.store.start(self.own("store"), self._store_port)
        await self.store.put("op/config", configuration(7, routes))
        for name in (*self.entries, *self.agents):
            if self.relayed:
                self.relays[name] = Relay(
                    (self.told(name), self._inner_port),
                    (self.own(name), self._inner_port),
                    {self.told(each): each for each in self.names},
                )
                await self.relays[name].start()
                self.relays[f"store of {name}"] = Relay(
                    (self.told(name), self._store_port),
                    (self.own("store"), self._store_port),
                )
                await self.relays[f"store of {name}"].start()
        if self.relayed:
            for name in self.entries:
                self.relays[f"front of {name}"] = Relay(
                    (self.told(name), self.front_port),
                    (self.own(name), self.front_port),
                )
                await self.relays[f"front of {name}"].start()
        for name in (*self.entries, *self.agents):
            await self._launch(name)
        for name in self.agents:
            await self._start_worker(name)
        await self.balancer.start()
        await self._wait_until_ready()

    async def stop(self):
        """End everything that was started."""
        for program in self.programs.values():
            await program.stop()
        await self.balancer.stop()
        for worker in self.workers.values():
            await worker.stop()
        for relay in self.relays.values():
            await relay.stop()
        await self.store.stop()
        self._folder.cleanup()

    async def _launch(self, name):
        role = name.partition("-")[0]
        store = (
            f"{self.told(name)}:{self._store_port}"
            if self.relayed
            else f"{self.own('store')}:{self._store_port}"
        )
        is_entry = role == "entry"
        settings = self.folder / f"{name}.toml"
        seeds = [f"{self.told(each)}:{self._control_port}" for each in self.entries]
        settings.write_text(
            _SETTINGS.format(
                name=name,
                role=role,
                machine_class="front" if is_entry else "side",
                serves=str(self._roles[role]["serves"]).replace("'", '"'),
                told=self.told(name),
                own=self.own(name),
                zone=self.zone_of(name),
                inner=self._inner_port,
                seeds=str(seeds).replace("'", '"'),
                front=self.front_port,
                ready=self.ready_port,
                control=self._control_port,
                store=store,
            )
        )
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment |= {
            "RAGWORTLUG_BOOT": str(settings),
            "PYTHONPATH": "target/deps",
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        listen = f"tcp://{self.own(name)}:{self._inner_port}"
        arguments = ["--listen", listen] if self.relayed else []
        self.programs[name] = Program(
            name,
            self._roles[role],
            arguments,
            environment,
            self.folder / f"{name}.log",
            self.record,
        )
        await self.programs[name].start()

    async def _start_worker(self, name):
        url = f"http://{self.own(name)}:{self._control_port}"
        worker = Worker(SERVICE, self.zone_of(name), url, HEARTBEAT_S, self._observe)
        worker.name = name.replace("agent", "worker")
        worker.id = f"i-{name}"
        self.workers[name] = worker
        await worker.start(self.own(name), self._app_port)

    def _observe(self, worker, event, run):
        """Take note of a start or an end that a worker has seen."""
        task, number = (run["task"], run["run_id"]) if event == "start" else run
        self.seen.append((self.record.now(), worker.name, event, task, number))
        self.record.write(f"{worker.name}: {event} {task} run {number}")

    async def _wait_until_ready(self):
        async with asyncio.timeout(START_TIMEOUT_S):
            while len(self.balancer.rotation) < len(self.entries):
                await asyncio.sleep(0.1)
            for name in self.entries:
                async with Channel(self, name) as channel:
                    while (await channel.post(new_id(), [step(1, 0.05)], 2000))[
                        0
                    ] != 200:
                        await asyncio.sleep(0.3)


class Channel:
    """A client's channel to one entry; it stays with its node.

    Parameters
    ----------
    site : Site
        The deployment.
    entry : str
        The node to which the balancer has forwarded the channel.
    """

    def __init__(self, site, entry):
        self._site = site
        self.entry = entry
        connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=300.0)
        self._session = aiohttp.ClientSession(connector=connector)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        await self.close()

    async def close(self):
        """Close the channel."""
        await self._session.close()

    async def post(self, job_id, steps, deadline_ms, spec="0.05"):
        """Hand a job in; return the status and the body, or (None, error)."""
        body = {"spec": spec, "best_effort": True, "steps": steps}
        headers = {"Deadline-Ms": str(deadline_ms)}
        return await self._call("POST", job_id, deadline_ms / 1000, headers, body)

    async def delete(self, job_id, timeout_s=2.0):
        """Cancel a job; return the status and the body, or (None, error)."""
        return await self._call("DELETE", job_id, timeout_s, {}, None)

    async def _call(self, method, job_id, timeout_s, headers, body):
        site = self._site
        url = f"http://{site.told(self.entry)}:{site.front_port}{PREFIX}{job_id}"
        site.record.write(f"client: {method} {job_id} to {self.entry}")
        try:
            async with self._session.request(
                method,
                url,
                json=body,
                headers={"Host": HOST_NAME, **headers},
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                status, text = response.status, await response.text()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            status, text = None, repr(error)
        site.record.write(
            f"client: {method} {job_id} to {self.entry} answered: {status} {text}"
        )
        return status, text


def step(count, run_s, after=()):
    """Return a step; its tasks take the time that the job's ``spec`` says."""
    fields = {"count": count, "cpu": 6000, "mem_mb": 64}
    fields["estimate_ms"] = int(run_s * 1000)
    return fields | ({"after": list(after)} if after else {})


def new_id():
    """Return a new job id."""
    return f"{random.getrandbits(64):016x}"


def configuration(version, routes):
    """Return the operator's configuration with a route for each prefix."""
    rows = [
        {
            "name": prefix.strip("/"),
            "host": HOST_NAME,
            "prefix": prefix,
            "service": SERVICE,
            "priority": 1,
            "max_attempts": 3,
            "stretch": 1.6,
            "slo_ms": 60,
        }
        for prefix in routes
    ]
    services = [{"name": SERVICE, "admission_control": False}]
    limits = {"max_body_bytes": 262144}
    body = {"version": version, "routes": rows, "services": services, "limits": limits}
    return json.dumps(body).encode()


def _free_nets(hosts):
    """Return two loopback networks on which the ports of the programs are free."""
    while True:
        nets = [f"127.{random.randint(16, 240)}.{random.randint(1, 250)}" for _ in "ab"]
        if nets[0] != nets[1] and all(
            _is_free(f"{net}.{host}", METRICS_PORT)
            for net in nets
            for host in range(1, hosts + 1)
        ):
            return nets


def _is_free(host, port):
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def _free_ports(host, count):
    """Return different ports that are free on a host."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((host, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


def run_case(folder, play):
    """Run a case; return 0 if the rule held, 1 if it broke, 2 if it couldn't run.

    Parameters
    ----------
    folder : Path
        Takes ``record.txt``.
    play : callable
        Coroutine called with the record and whether there is trouble; returns a list
        of texts, one for each breach of the rule.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"case: trouble={trouble}")
    try:
        breaches = asyncio.run(_play_until_stopped(play, record, trouble))
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"case: couldn't run: {error!r}")
        print(f"couldn't run: {error!r}")
        return 2
    result = "broken" if breaches else "held"
    for breach in breaches:
        record.write(f"BREACH {breach}")
        print(breach)
    record.write(f"case: the rule {result}")
    print(f"the rule {result}")
    record.close()
    return 1 if breaches else 0


async def _play_until_stopped(play, record, trouble):
    """Play a case, and end its programs also if the script is told to stop."""
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await asyncio.wait_for(play(record, trouble), MAX_CASE_S)
