"""How the cost of each decision and document grows, at three or more sizes."""

import random
import time
import tracemalloc

import msgspec

from bench.figures import US_PER_S, print_line
from ragwortlug.codes import Code
from ragwortlug.envelope import Peer
from ragwortlug.jobs.answer_store import AnswerStore
from ragwortlug.jobs.home import Home
from ragwortlug.messages import Finished, Grant, Load, Submit
from ragwortlug.model import Answer, Capacity, Job, Task, TaskOutcome, new_job_id
from ragwortlug.policy.placement import Placement
from ragwortlug.settings import PolicySettings, ViewSettings
from ragwortlug.view.homes import HomeMap
from ragwortlug.view.note import Configuration, DataCentre, Service, Team
from ragwortlug.view.roster import Member, Roster
from ragwortlug.view.view import View

SIZES = (100, 400, 1500)
JOB_SIZES = (1, 10, 150)
LEDGER_SIZES = (1_000, 5_000, 20_000)
SERVICE = "mould-carving"
CAPACITY = Capacity((SERVICE,), slots=8, cpus=64, memory_mb=128_000, accelerators=2)
SETTINGS = ViewSettings()
JOBS = 300
QUOTA = 1_000_000


def measure():
    """Print a line for each slope and size."""
    for size in SIZES:
        _roster(size)
    for size in SIZES:
        for tasks in JOB_SIZES:
            _home(size, tasks)
    for size in LEDGER_SIZES:
        _ledger(size)
    for teams in (10, 92, 400):
        _configuration(teams)


def _members(count):
    """Return as many agents as asked for, and six entries."""
    agents = tuple(
        Member(
            f"agent-{index:012x}/0",
            "agent",
            f"tcp://10.0.{index // 250}.{index % 250}:9000",
            f"data-centre-{index % 5}",
            f"rack-{index // 3}",
            capacity=CAPACITY,
        )
        for index in range(count)
    )
    entries = tuple(
        Member(f"entry-{index:012x}/0", "entry", f"tcp://10.9.0.{index}:9000", "a")
        for index in range(6)
    )
    return (*agents, *entries)


def _configuration_of(teams):
    """Return a configuration with as many teams."""
    centres = tuple(DataCentre(f"data-centre-{each}") for each in range(5))
    names = tuple(each.name for each in centres)
    return Configuration(
        1,
        "note",
        (Service(SERVICE, names),),
        tuple(Team(f"team-{each}", QUOTA) for each in range(teams)),
        centres,
    )


def _roster(size):
    """Measure the roster's size, and the lookup of a home."""
    roster = Roster(1, _members(size))
    tracemalloc.start()
    view = View(SETTINGS.confirm_s, SETTINGS.skew_ms)
    view.update_roster(msgspec.json.decode(msgspec.json.encode(roster), type=Roster), 0)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    homes = HomeMap(roster)
    ids = [new_job_id() for _ in range(500)]
    cold_us = _each_us(homes.home_of, ids)
    warm_us = _each_us(homes.home_of, ids)
    print_line(
        slope="roster",
        members=size,
        json_bytes=len(msgspec.json.encode(roster)),
        message_bytes=len(msgspec.msgpack.encode(roster)),
        memory_kb=round(memory / 1024),
        first_lookup_us=cold_us,
        lookup_us=warm_us,
    )


def _home(size, tasks):
    """Measure a home's decisions for a job, beside so many agents."""
    members = _members(size)
    own = Peer(members[0].address, members[0].incarnation)
    view = View(confirm_s=3600.0, skew_ms=SETTINGS.skew_ms)
    view.update_configuration(_configuration_of(92))
    view.update_roster(Roster(1, members), 0)
    view.confirm(view.versions, 0.0, 0.0)
    placement = Placement(own.incarnation, "data-centre-0", 1.0, 3, random.Random(1))
    home = Home(own, view, placement, PolicySettings(), SETTINGS)
    jobs = [_own_job(view, own, tasks) for _ in range(JOBS)]
    first = _run_job(home, own, _own_job(view, own, 1))
    elapsed = sum(_run_job(home, own, job) for job in jobs)
    print_line(
        slope="home",
        members=size,
        tasks_per_job=tasks,
        first_job_ms=round(first * 1000, 2),
        job_us=round(elapsed / JOBS * US_PER_S, 1),
        task_us=round(elapsed / JOBS / tasks * US_PER_S, 1),
    )


def _run_job(home, own, job):
    """Run a job through a home and return the seconds that it took."""
    now_ms = int(time.time() * 1000)
    entry = Peer("tcp://entry", "entry")
    began = time.perf_counter()
    home.on_load(own, Load(len(job.tasks)), 1.0)
    effects = home.submit(entry, Submit("request", job), 1.0, now_ms)
    for grant in [each.body for each in effects if isinstance(each.body, Grant)]:
        done = Finished(grant.number, 0, None, "", 5.0, 0)
        home.on_finished(own, done, 1.0, now_ms)
    return time.perf_counter() - began


def _own_job(view, own, tasks):
    """Return a job whose home is this agent."""
    while True:
        job_id = new_job_id()
        home = view.home_map.home_of(job_id)
        if home.incarnation == own.incarnation:
            return Job(job_id, "team-1", SERVICE, (Task(payload={"x": 1}),) * tasks)


def _ledger(size):
    """Measure the memory of settled jobs of five tasks."""
    answers = [
        Answer(new_job_id(), int(Code.OK), tuple(TaskOutcome(0, "x") for _ in range(5)))
        for _ in range(size)
    ]
    tracemalloc.start()
    ledger = AnswerStore(SETTINGS.window_s, 1 << 30)
    for each in answers:
        copy = msgspec.msgpack.decode(msgspec.msgpack.encode(each), type=Answer)
        ledger.store(copy.id, "team", b"0" * 16, copy, int(time.time() * 1000))
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    print_line(slope="ledger", jobs=size, bytes_per_job=round(memory / size))


def _configuration(teams):
    """Measure the configuration's size."""
    encoded = msgspec.json.encode(_configuration_of(teams))
    print_line(slope="configuration", teams=teams, json_bytes=len(encoded))


def _each_us(call, arguments):
    """Return the mean microseconds of a call."""
    began = time.perf_counter()
    for each in arguments:
        call(each)
    elapsed = time.perf_counter() - began
    return round(elapsed / len(arguments) * US_PER_S, 2)
