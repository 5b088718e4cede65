"""A small deployment on loopback addresses: real programs, stand-ins and a record.

The entries and the agents are separate processes, started with the commands and the
environment of ``deploy/system.toml``. The store and the workers are the project's own
stand-ins, which run in this process.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import aiohttp

from review.partition import Partition, Proxy
from standins.platform import PlatformStore, PlatformWorker

ROOT = Path(__file__).parents[1]
INNER, FRONT, CONTROL, READY, APP, STORE = 7720, 8161, 8166, 8167, 8080, 8169
METRICS = 9464
# Where a program behind a proxy listens; one of its free internal ports.
BEHIND_PROXY = 7721
# The store is in no zone that is ever cut off.
STORE_ZONE = ""
SERVICE, HOST_NAME, PREFIX = "mould-carve", "a.example", "/p/"
ZONES = ("patan", "bhaktapur", "kirtipur")
START_LIMIT_S = 20.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

# The example in DEPLOY.md, with the addresses of this deployment.
SETTINGS = """
node_name = "{name}"
role = "{role}"
machine_class = "{machine_class}"
serves = {serves}
ip = "{ip}"
zone = "{zone}"
region = "bagmati"
internal_port_range = [7720, 7735]
seed_nodes = {seeds}
bootstrap = true
discovery = "local"
entry = "vip"
heartbeat_ms = 1500
orders = "request"
[zones]
patan = "bagmati"
bhaktapur = "bagmati"
kirtipur = "bagmati"
[listen_addrs]
front = "{ip}:8161"
ready = "{ip}:8167"
control = "{ip}:8166"
[limits]
cores = 2
memory_mb = {memory_mb}
max_fds = {max_fds}
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
ack_timeout_ms = 4000
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
evacuate_ms = 5000
max_hold_ms = 1000
stop_timeout_ms = 50
cancel_ms = 3000
visible_ms = 3000
lease_ms = 3000
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
    """Writes what was sent, answered and run to a file, a line of JSON for each."""

    def __init__(self, path):
        self._file = path.open("w")
        self._began_at = time.monotonic()

    def write(self, event, **fields):
        """Write one line."""
        at = round(time.monotonic() - self._began_at, 3)
        self._file.write(json.dumps({"at": at, "event": event, **fields}) + "\n")
        self._file.flush()


class Rig:
    """Entries, agents with their workers, and the store.

    Parameters
    ----------
    folder : Path
        Where `record.txt` goes.
    entries, agents : int
        How many of each.
    observe : callable, optional
        Called as ``observe(worker, event, run)``, see `PlatformWorker`; by default
        the record gets a line.
    worker_processes : bool, optional
        Whether each worker is a process of its own. `observe` is not called then; what
        they ran is in the record.
    proxies : bool, optional
        Whether proxies stand between the processes, and before the store, so that
        `partition` can cut a zone off. The programs then get the option ``--listen``.
    """

    def __init__(
        self,
        folder,
        entries=3,
        agents=3,
        observe=None,
        worker_processes=False,
        proxies=False,
    ):
        self.record = Record(folder / "record.txt")
        self._net = _free_net(entries, agents)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.store = PlatformStore()
        self.entries = [f"entry-{each}" for each in range(1, entries + 1)]
        self.agents = [f"agent-{each}" for each in range(1, agents + 1)]
        self.ips = {"store": f"{self._net}.200"}
        self.ips |= {
            name: f"{self._net}.{each}" for each, name in enumerate(self.entries, 1)
        }
        self.ips |= {
            name: f"{self._net}.{100 + each}"
            for each, name in enumerate(self.agents, 1)
        }
        self.zones = {
            name: ZONES[each % len(ZONES)]
            for names in (self.entries, self.agents)
            for each, name in enumerate(names)
        }
        self.processes = {}
        self.workers = {}
        self._observe = observe or self._record_run
        self._worker_processes = worker_processes
        self._copies = []
        self.partition = Partition() if proxies else None
        self._proxies = []
        self._roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self._session = None

    async def start(self):
        """Start everything, and wait until each entry serves a job."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(total=None),
        )
        await self.store.start(self.ips["store"], STORE)
        await self.configure(1)
        for name in (*self.entries, *self.agents):
            if self.partition is not None:
                await self._start_proxies(name)
            await self.launch(name)
        for name in self.agents:
            await self._start_worker(name)
        async with asyncio.timeout(START_LIMIT_S):
            for name in self.entries:
                while (await self.post(name, new_id(), job("0.05"), 1500))[0] != 200:
                    await asyncio.sleep(0.2)
            await asyncio.sleep(3.5)  # contact_ms
        self.record.write("deployment serves")

    def _record_run(self, worker, event, run):
        """Record the start or the end of a run."""
        task = run["task"] if event == "start" else run[0]
        self.record.write(f"run {event}", worker=worker.name, task=task)

    async def stop(self):
        """End all that was started."""
        if self._session is not None:
            await self._session.close()
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            await process.wait()
        await asyncio.gather(*self._copies)
        for proxy in self._proxies:
            await proxy.stop()
        for worker in self.workers.values():
            await worker.stop()
        await self.store.stop()
        self._temporary.cleanup()

    async def configure(self, version, **limits):
        """Write the operators' configuration, with one route."""
        route = {
            "name": "p",
            "host": HOST_NAME,
            "prefix": PREFIX,
            "service": SERVICE,
            "priority": 0,
            "max_attempts": 3,
            "stretch": 1.6,
            "slo_ms": 60,
        }
        body = {"version": version, "routes": [route], "services": []}
        body["limits"] = {
            "max_body_bytes": 262144,
            "max_header_bytes": 16384,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        } | limits
        await self.store.put("op/config", json.dumps(body).encode())

    async def launch(self, name):
        """Start a program with the command of the deploy file."""
        role = name.partition("-")[0]
        is_entry = role == "entry"
        seeds = [f"{self.ips[each]}:{CONTROL}" for each in self.entries]
        store_host = "store" if self.partition is None else name
        settings = self.folder / f"{name}.toml"
        settings.write_text(
            SETTINGS.format(
                name=name,
                role=role,
                machine_class="front" if is_entry else "side",
                serves=json.dumps(self._roles[role]["serves"]),
                ip=self.ips[name],
                zone=self.zones[name],
                seeds=json.dumps(seeds[:3]),
                memory_mb=300 if is_entry else 168,
                max_fds=4100 if is_entry else 4096,
                store=f"{self.ips[store_host]}:{STORE}",
            )
        )
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment |= self._roles[role]["env"]
        environment |= {"RAGWORTLUG_BOOT": str(settings), "PYTHONPATH": "target/deps"}
        command = self._roles[role]["run"].split()
        if self.partition is not None:
            command += ["--listen", f"tcp://{self.ips[name]}:{BEHIND_PROXY}"]
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record.write("started", process=name, pid=self.processes[name].pid)

    async def _start_proxies(self, name):
        """Start the proxies before a program, and between it and the store."""
        ip, zone = self.ips[name], self.zones[name]
        zone_by_host = {self.ips[each]: self.zones[each] for each in self.zones}
        behind, store = (ip, BEHIND_PROXY), (self.ips["store"], STORE)
        for listen, target, target_zone, source_zone in (
            ((ip, INNER), behind, zone, None),
            ((ip, STORE), store, STORE_ZONE, zone),
        ):
            proxy = Proxy(
                self.partition, listen, target, target_zone, source_zone, zone_by_host
            )
            self._proxies.append(proxy)
            await proxy.start()

    def cut(self, zone):
        """Cut a zone off from the others and from the store; None to heal."""
        self.partition.set(zone)
        self.record.write("partition", zone=zone)

    async def _start_worker(self, name):
        """Start the worker beside an agent."""
        if self._worker_processes:
            await self._launch_worker(name)
            return
        worker = PlatformWorker(
            SERVICE,
            self.zones[name],
            f"http://{self.ips[name]}:{CONTROL}",
            observe=self._observe,
            report_interval_s=1.0,
        )
        worker.id = f"i-{name}"
        worker.name = name
        self.workers[name] = worker
        await worker.start(self.ips[name], APP)

    async def _launch_worker(self, name):
        """Start the worker beside an agent as a process, and record what it runs."""
        command = ["python3", "-m", "review.rig_worker", self.ips[name], str(APP)]
        command += [SERVICE, self.zones[name], f"http://{self.ips[name]}:{CONTROL}"]
        worker = f"worker of {name}"
        self.processes[worker] = await asyncio.create_subprocess_exec(
            *command,
            f"i-{name}",
            cwd=ROOT,
            env=os.environ | {"PYTHONPATH": "target/deps"},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
        )
        copy = asyncio.create_task(self._copy(worker))
        self._copies.append(copy)

    async def _copy(self, worker):
        """Record what a worker writes."""
        async for line in self.processes[worker].stdout:
            run = json.loads(line)
            event = f"run {run['event']}"
            self.record.write(event, worker=worker, task=run["task"])

    def signal(self, name, number):
        """Send a signal to a program."""
        self.processes[name].send_signal(number)
        self.record.write("signalled", process=name, signal=signal.Signals(number).name)

    def peak_mb(self, name):
        """Return the largest resident memory of a program so far, in MB, or None."""
        try:
            status = Path(f"/proc/{self.processes[name].pid}/status").read_text()
        except OSError:
            return None
        peak = [line for line in status.splitlines() if line.startswith("VmHWM")]
        return int(peak[0].split()[1]) / 1000 if peak else None

    async def post(self, entry, job_id, body, deadline_ms, wait_s=None):
        """Submit a job; return the status, 0 if there is none, and the body."""
        return await self.call("POST", entry, job_id, body, deadline_ms, wait_s)

    async def delete(self, entry, job_id, wait_s=4.0):
        """Cancel a job; return the status, 0 if there is none, and the body."""
        return await self.call("DELETE", entry, job_id, None, 4000, wait_s)

    async def call(self, method, entry, job_id, body, deadline_ms, wait_s=None):
        """Make a call as a client; return the status and the body of its answer.

        The status is 0 if the channel breaks, or the client has waited `wait_s`, by
        default until its time limit.
        """
        url = f"http://{self.ips[entry]}:{FRONT}{PREFIX}{job_id}"
        headers = {
            "Host": HOST_NAME,
            "Content-Type": "application/json",
            "Deadline-Ms": str(deadline_ms),
        }
        data = None if body is None else json.dumps(body).encode()
        sent_at = time.monotonic()
        self.record.write(
            "sent",
            method=method,
            to=entry,
            id=job_id,
            deadline_ms=deadline_ms,
            bytes=len(data or b""),
        )
        try:
            async with asyncio.timeout(wait_s or deadline_ms / 1000):
                async with self._session.request(
                    method, url, data=data, headers=headers
                ) as answer:
                    text = (await answer.read()).decode(errors="replace")
                    status = answer.status
        except TimeoutError:
            status, text = 0, "no answer in time"
        except (aiohttp.ClientError, OSError) as error:
            status, text = 0, f"channel broke: {error!r}"
        took_ms = round((time.monotonic() - sent_at) * 1000)
        self.record.write(
            "answered",
            method=method,
            by=entry,
            id=job_id,
            status=status,
            took_ms=took_ms,
            text=text[:200],
        )
        return status, text

    async def get(self, url):
        """Make a GET call; return the status."""
        async with self._session.get(url) as answer:
            await answer.read()
            return answer.status


def job(spec, count=1, cpu=1000, mem_mb=64, **fields):
    """Return a job of one step that needn't be kept; `spec` is its work in seconds."""
    step = {"count": count, "cpu": cpu, "mem_mb": mem_mb, "estimate_ms": 100} | fields
    return {"spec": spec, "best_effort": True, "steps": [step]}


def new_id():
    """Return the id of a new job."""
    return f"{random.getrandbits(64):016x}"


def run(case, folder):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, else 2.

    `case` is a coroutine function, called with whether the disruption is to come. It
    returns whether the rule was broken.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def limited():
        async with asyncio.timeout(110):
            return await case(trouble)

    try:
        broken = asyncio.run(limited())
    except Exception as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        with (Path(folder) / "record.txt").open("a") as record:
            record.write(
                json.dumps({"event": "could not run", "why": repr(error)}) + "\n"
            )
        sys.exit(COULD_NOT_RUN)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(BROKEN if broken else HELD)


def _free_net(entries, agents):
    """Return the first three numbers of a loopback network with free ports."""
    for _ in range(50):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        hosts = [*range(1, entries + 1), *range(101, 101 + agents), 200]
        try:
            for host in hosts:
                for port in (INNER, FRONT, CONTROL, READY, APP, STORE, METRICS):
                    with socket.socket() as free:
                        free.bind((f"{net}.{host}", port))
        except OSError:
            continue
        return net
    raise OSError("no free loopback network")
