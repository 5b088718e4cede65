"""A small deployment of the project's programs on loopback, for the scripts here.

The programs are started with the commands of the deploy file. The store and the workers
are stand-ins in the script's own process.
"""

import asyncio
import json
import os
import shlex
import signal
import socket
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

import aiohttp  # noqa: E402

from standins.platform import PlatformStore, PlatformWorker  # noqa: E402

INNER_PORT, FRONT_PORT, READY_PORT, CONTROL_PORT = 7720, 8161, 8167, 8166
STORE_PORT, APP_PORT, METRICS_PORT = 8169, 8080, 9464
ZONE, SERVICE, HOST = "patan", "carve", "a.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Ids of all processes that were started.
STARTED = []

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
heartbeat_ms = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform"]
orders = "request"
[zones]
patan = "bagmati"
[listen_addrs]
front = "{ip}:8161"
ready = "{ip}:8167"
control = "{ip}:8166"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = {memory_mb}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
contact_ms = 3000
ack_timeout_ms = 4000
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
evacuate_ms = 5000
recovery_s = 12
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


class SiteWorker(PlatformWorker):
    """The project's stand-in, which notes how long its status reports wait.

    Attributes
    ----------
    kind, capacity : str, dict
        The label and the room of the machine.
    first_report_s : float
        Time from the opening of its port to its first status report.
    acknowledged_at : float
        Monotonic seconds of the latest acknowledgement.
    longest_silence_s : float
        Longest time without one while the worker was up.
    """

    kind = "a"
    capacity = {"cpu": 64000, "mem_mb": 131072, "gpu": 0}
    first_report_s = 0.0
    acknowledged_at = None
    longest_silence_s = 0.0

    def watch_acknowledgements(self):
        """Begin to measure the silence of the agent."""
        self.acknowledged_at = time.monotonic()
        self.longest_silence_s = 0.0

    async def _report(self):
        """Report to the agent periodically; a report has a second to be confirmed."""
        await asyncio.sleep(self.first_report_s)
        url = f"{self._agent_url}/api/instances/{self.id}"
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                body = {
                    "service": self._service,
                    "address": self._address,
                    "zone": self.zone,
                    "version": "v1",
                    "slots": 8,
                    "state": self.state,
                    "cold_remaining_ms": 0,
                    "capacity": self.capacity,
                    "labels": [self.kind, "r1-1"],
                    "clock_ms": self._clock_ms(),
                    "sequence": next(self._sequence),
                    "born": self.booted_at_ms,
                }
                confirmed = False
                try:
                    async with session.put(url, json=body) as reply:
                        confirmed = reply.status == 200
                except (aiohttp.ClientError, TimeoutError, OSError):
                    pass
                if self.acknowledged_at is not None:
                    silence_s = time.monotonic() - self.acknowledged_at
                    self.longest_silence_s = max(self.longest_silence_s, silence_s)
                    if confirmed:
                        self.acknowledged_at = time.monotonic()
                await asyncio.sleep(self._report_interval_s if confirmed else 0.1)


def free_network():
    """Return the first three parts of loopback addresses whose ports are free."""
    for number in range(250):
        network = f"127.{(os.getpid() + number) % 200 + 20}.{os.getpid() // 200 % 250}"
        try:
            for host in (1, 2, 11):
                for port in (STORE_PORT, INNER_PORT, FRONT_PORT, CONTROL_PORT):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.{host}", port))
        except OSError:
            continue
        return network
    raise SystemExit(NOT_RUN)


class Program:
    """One of the project's programs, as a process."""

    def __init__(self, site, name, role, ip, memory_mb):
        self.site, self.name, self.role, self.ip = site, name, role, ip
        self.memory_mb = memory_mb
        self.output = site.folder / f"{name}.out"
        self.process = None

    def settings(self):
        """Return the text of its settings file."""
        front = self.role == "entry"
        return SETTINGS.format(
            name=self.name,
            role=self.role,
            machine_class="front" if front else "side",
            serves=json.dumps(["front", "control"] if front else ["side"]),
            ip=self.ip,
            zone=ZONE,
            seeds=json.dumps([f"{ip}:{CONTROL_PORT}" for ip in self.site.entry_ips]),
            memory_mb=self.memory_mb,
            store=f"{self.site.ip(1)}:{STORE_PORT}",
        )

    async def start(self):
        """Start it with the command of the deploy file."""
        path = self.site.folder / f"{self.name}.toml"
        path.write_text(self.settings())
        role = self.site.deploy["roles"][self.role]
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env |= role.get("env", {})
        env |= {"RAGWORTLUG_BOOT": str(path), "PYTHONPATH": "target/deps"}
        with self.output.open("ab") as file:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(role["run"]),
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=file,
                stderr=file,
            )
        STARTED.append(self.process.pid)
        self.site.note("started", self.name)

    @property
    def lives(self):
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        """Send a signal."""
        if self.lives:
            self.site.note("signal", self.name, signal.Signals(number).name)
            self.process.send_signal(number)

    async def kill(self):
        """Kill it and wait for its end."""
        if self.lives:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    def memory(self, field="VmRSS"):
        """Return its resident memory in MB."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            return int(status.partition(field + ":")[2].split()[0]) / 1000
        except (OSError, IndexError):
            return 0.0

    def events(self):
        """Return the JSON lines that it wrote."""
        rows = []
        for line in self.output.read_text(errors="replace").splitlines():
            try:
                rows.append(json.loads(line))
            except ValueError:
                continue
        return rows


class Site:
    """Entries, agents with their workers, and the store; a context manager.

    Parameters
    ----------
    record : Path
        The file that gets what was sent, answered and run.
    """

    def __init__(self, record, entries=3, agents=3, memory_mb=300, worker=SiteWorker):
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._record = Path(record).open("w")  # noqa: SIM115
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.network = free_network()
        self.started_at = time.monotonic()
        self.runs = []
        self.entry_ips = [self.ip(11 + n) for n in range(entries)]
        self.agent_ips = [self.ip(101 + n) for n in range(agents)]
        self.entries = [
            Program(self, f"entry-{n + 1}", "entry", ip, memory_mb)
            for n, ip in enumerate(self.entry_ips)
        ]
        self.agents = [
            Program(self, f"agent-{n + 1}", "agent", ip, 168)
            for n, ip in enumerate(self.agent_ips)
        ]
        self.store = PlatformStore()
        self.workers = [
            worker(
                SERVICE,
                ZONE,
                f"http://{ip}:{CONTROL_PORT}",
                report_interval_s=0.5,
                observe=lambda worker, event, run, n=n: self.observe(n, event, run),
            )
            for n, ip in enumerate(self.agent_ips)
        ]
        self.session = None

    def ip(self, host):
        """Return a loopback address of this site."""
        return f"{self.network}.{host}"

    def note(self, *words):
        """Write a line with the time to the record."""
        elapsed = time.monotonic() - self.started_at
        self._record.write(" ".join([f"{elapsed:9.4f}", *map(str, words)]) + "\n")
        self._record.flush()

    def observe(self, number, event, run):
        """Record the start or the end of a run at a worker."""
        key = (run["task"], run["run_id"]) if event == "start" else run
        self.runs.append((time.monotonic(), event, number, *key))
        self.note("worker", number + 1, event, *key)

    def configuration(self, version, queues, **limits):
        """Return the operators' configuration."""
        routes = [
            {
                "name": name,
                "host": HOST,
                "prefix": f"/{name}/",
                "service": service,
                "max_attempts": 3,
                "stretch": 1.6,
                "slo_ms": 60,
                "priority": 1,
            }
            for name, service in queues.items()
        ]
        body = {"version": version, "routes": routes}
        body["services"] = [{"name": SERVICE, "admission_control": False}]
        if limits:
            body["limits"] = limits
        return json.dumps(body).encode()

    async def __aenter__(self):
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True, limit=0),
            timeout=aiohttp.ClientTimeout(total=60),
        )
        await self.store.start(self.ip(1), STORE_PORT)
        await self.store.put("op/config", self.configuration(1, {"q": SERVICE}))
        for each in (*self.entries, *self.agents):
            await each.start()
        for worker, ip in zip(self.workers, self.agent_ips, strict=True):
            await worker.start(ip, APP_PORT)
        await self.until_serving()
        return self

    async def until_serving(self):
        """Wait until each entry is ready and has done a job."""
        number = 0xE << 56
        async with asyncio.timeout(30):
            for entry in self.entries:
                while True:
                    number += 1
                    answer = await self.submit(entry, f"{number:016x}", "0.02")
                    if answer[0] == 200:
                        break
                    await asyncio.sleep(0.2)
        await asyncio.sleep(1.0)

    async def __aexit__(self, *_):
        for each in (*self.entries, *self.agents):
            await each.kill()
        # The stand-ins end with this process; their own end may take long.
        stops = [self.session.close(), self.store.stop()]
        stops += [worker.stop() for worker in self.workers]
        await asyncio.wait(list(map(asyncio.create_task, stops)), timeout=2.0)
        self._record.close()
        self._temporary.cleanup()

    async def submit(
        self, entry, job_id, spec="0.05", limit_ms=1500, quiet=False, **step
    ):
        """Submit a job; return status and body, (0, error) without an answer."""
        step = {"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": 50} | step
        steps = step.pop("steps", [step])
        body = {"spec": spec, "best_effort": True, "steps": steps}
        return await self.post(
            entry, job_id, json.dumps(body).encode(), limit_ms, quiet
        )

    async def post(self, entry, job_id, data, limit_ms=1500, quiet=False):
        """Post a job as bytes."""
        ip = entry.ip if isinstance(entry, Program) else entry
        url = f"http://{ip}:{FRONT_PORT}/q/{job_id}"
        headers = {"Host": HOST, "Deadline-Ms": str(limit_ms)}
        headers["Content-Type"] = "application/json"
        if not quiet:
            self.note("client POST", job_id, ip, f"{len(data)} bytes")
        timeout = aiohttp.ClientTimeout(total=limit_ms / 1000)
        try:
            async with self.session.post(
                url, data=data, headers=headers, timeout=timeout
            ) as reply:
                raw = await reply.read()
                answer = reply.status, raw.decode(errors="replace")
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            answer = 0, type(error).__name__
        if not quiet:
            self.note("answer POST", job_id, ip, *answer)
        return answer

    async def delete(self, entry, job_id):
        """Cancel a job; return the status, 0 without an answer."""
        ip = entry.ip if isinstance(entry, Program) else entry
        url = f"http://{ip}:{FRONT_PORT}/q/{job_id}"
        self.note("client DELETE", job_id, ip)
        try:
            async with self.session.delete(url, headers={"Host": HOST}) as reply:
                status = reply.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            status = 0
        self.note("answer DELETE", job_id, ip, status)
        return status

    async def is_ready(self, name):
        """Return the status of an entry's readiness probe, 0 without an answer."""
        entry = next(each for each in self.entries if each.name == name)
        try:
            async with self.session.get(
                f"http://{entry.ip}:{READY_PORT}/api/readiness"
            ) as reply:
                return reply.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0


def now():
    """Return monotonic seconds."""
    return time.monotonic()


def run_case(main, record, limit_s=114):
    """Run a case and exit with its code; with 2 if it could not run."""

    async def play():
        """Play the case in time, and end with its code."""
        try:
            code = await asyncio.wait_for(main(record), limit_s)
        except Exception as error:
            print(f"the case could not run: {error!r}", file=sys.stderr)
            code = NOT_RUN
        print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code], flush=True)
        os._exit(code)

    # Should the end of the case hang, its processes are ended all the same.
    watchdog = threading.Timer(limit_s + 4, end_at_once)
    watchdog.daemon = True
    watchdog.start()
    asyncio.run(play())


def end_at_once():
    """Kill the processes that were started, and end with the code for 'not run'."""
    for pid in STARTED:
        try:
            os.kill(pid, signal.SIGKILL)
        except ProcessLookupError:
            continue
    os._exit(NOT_RUN)
