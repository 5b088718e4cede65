"""Decoders of the platform's messages into the product's types.

The ``Wire...`` structs mirror the JSON on the wire; the functions return the
product's types.
"""

from typing import Annotated, Any, Literal

import msgspec

from ragwortlug.codes import Code
from ragwortlug.errors import RequestError
from ragwortlug.io.http import decode_body
from ragwortlug.jobs.worker_calls import (
    ListedRun,
    WorkerClock,
    WorkerReport,
    WorkerSnapshot,
)
from ragwortlug.restartable_model import (
    MAX_STEP_TASKS,
    Queue,
    QueueTable,
    Resources,
    RestartableJob,
    RunEnd,
    Step,
)
from ragwortlug.telemetry.logs import logger

Natural = Annotated[int, msgspec.Meta(ge=0)]
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]

PERCENT = 100.0
MAX_SPEC_BYTES = 4000
MAX_STEPS = 150

# The end of a run by the value of `how` in a worker's `finished` list.
_RUN_END_BY_HOW = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LOST,
    "broken": RunEnd.LOST,
    "alone": RunEnd.LOST,
}

log = logger("wire")


class WireRoom(msgspec.Struct):
    """Resources: thousandths of a core, megabytes of memory, and accelerators."""

    cpu: Natural = 0
    mem_mb: Natural = 0
    gpu: Natural = 0


class WireStep(msgspec.Struct):
    """A step of a job; absent fields default to 0, false or empty."""

    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_STEP_TASKS)]
    cpu: Natural = 0
    mem_mb: Natural = 0
    gpu: Natural = 0
    estimate_ms: Natural = 0
    after: list[Natural] = []
    requires: str = ""
    gang: bool = False
    long_running: bool = False


class WireJob(msgspec.Struct):
    """A job; `best_effort` means that the job may restart from the beginning."""

    spec: str
    steps: Annotated[list[WireStep], msgspec.Meta(min_length=1, max_length=MAX_STEPS)]
    best_effort: bool = False
    repeat_count: Natural = 0


class WireReport(msgspec.Struct):
    """A worker's status report; `sequence` tells late reports from new ones."""

    service: Text
    address: Text
    zone: Text
    state: Literal["ready", "draining"]
    capacity: WireRoom
    clock_ms: int
    sequence: Natural
    born: int
    labels: list[str] = []
    remaining_ms: Natural = 0


class WireClock(msgspec.Struct):
    """Fields of every worker response; `clock_ms` is its monotonic clock."""

    clock_ms: int
    reason: str = ""
    born: int = 0


class WireDeparture(msgspec.Struct):
    """A worker's notice that it shuts down."""

    born: int = 0


class WireLists(msgspec.Struct):
    """A worker's lists of running and finished runs.

    A row of `running` holds task, run, checkpoint, percent done and processor in
    use; a row of `finished` holds number, task, run, how and checkpoint.
    """

    clock_ms: int
    running: list[list[Any]] = []
    finished: list[list[Any]] = []
    born: int = 0


class WireRoute(msgspec.Struct):
    """A route, which is a queue of jobs; `slo_ms` is added to `stretch` x the work."""

    name: Text
    host: Text
    prefix: Text
    service: Text
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    slo_ms: int = 0
    timeout_ms: int = 0


class WireLimits(msgspec.Struct):
    """Limits on requests."""

    max_body_bytes: int = 262_144


class WireConfiguration(msgspec.Struct):
    """A version of the configuration."""

    version: int
    routes: list[msgspec.Raw] = []
    limits: WireLimits = msgspec.field(default_factory=WireLimits)


class WireItem(msgspec.Struct):
    """The value of a key in the store, or the removal of the key."""

    key: str
    revision: int = 0
    value: str = ""
    removed: bool = False


class WireItems(msgspec.Struct):
    """Items of the store at the revision `as_of`."""

    as_of: int
    items: list[WireItem] = []
    events: list[WireItem] = []
    has_more: bool = False


class WireLease(msgspec.Struct):
    """A lease that the store granted."""

    lease: int


class WireRecord(msgspec.Struct):
    """An agent's record of its worker: the worker's id and its report."""

    id: str
    report: msgspec.Raw


_jobs = msgspec.json.Decoder(WireJob)
_reports = msgspec.json.Decoder(WireReport)
_lists = msgspec.json.Decoder(WireLists)
_departures = msgspec.json.Decoder(WireDeparture)
_clocks = msgspec.json.Decoder(WireClock)
_configurations = msgspec.json.Decoder(WireConfiguration)
_routes = msgspec.json.Decoder(WireRoute)
_items = msgspec.json.Decoder(WireItems)
_item = msgspec.json.Decoder(WireItem)
_leases = msgspec.json.Decoder(WireLease)
_records = msgspec.json.Decoder(WireRecord)


def job_of(job_id, raw):
    """Return the `RestartableJob` in a request body, or raise `RequestError`."""
    wire = decode_body(raw, _jobs)
    if len(wire.spec.encode()) > MAX_SPEC_BYTES:
        raise RequestError(f"the text is over {MAX_SPEC_BYTES} bytes", Code.BAD_FIELD)
    for number, step in enumerate(wire.steps):
        if any(predecessor >= number for predecessor in step.after):
            raise RequestError(f"step {number} waits for a later one", Code.BAD_FIELD)
    has_lasting_step = any(step.gang or step.long_running for step in wire.steps)
    if not wire.best_effort or wire.repeat_count or has_lasting_step:
        raise RequestError("only restartable jobs are taken", Code.NOT_STORED)
    steps = tuple(
        Step(
            step.count,
            Resources(step.cpu, step.mem_mb, step.gpu),
            step.estimate_ms,
            tuple(step.after),
            step.requires,
        )
        for step in wire.steps
    )
    return RestartableJob(job_id, wire.spec, steps)


def report_of(worker_id, raw):
    """Return the `WorkerReport` in a status report, or raise `RequestError`."""
    try:
        wire = _reports.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RequestError(str(error), Code.BAD_FIELD) from error
    return WorkerReport(
        worker_id,
        wire.born,
        wire.sequence,
        wire.service,
        wire.address,
        wire.zone,
        tuple(wire.labels),
        Resources(wire.capacity.cpu, wire.capacity.mem_mb, wire.capacity.gpu),
        wire.clock_ms,
        wire.state == "draining",
        wire.remaining_ms,
    )


def snapshot_of(raw):
    """Return the `WorkerSnapshot` in a response, without its invalid rows."""
    wire = _lists.decode(raw)
    running = (_row_or_none(_running_row, row) for row in wire.running)
    ended = (_row_or_none(_ended_row, row) for row in wire.finished)
    return WorkerSnapshot(
        wire.clock_ms,
        wire.born,
        tuple(run for run in running if run is not None),
        tuple(run for run in ended if run is not None),
    )


def departed_boot_of(raw):
    """Return the boot time in a notice of shutdown, 0 if it gives none."""
    if not raw:
        return 0
    try:
        return _departures.decode(raw).born
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        log.warning("Failed to decode a worker's notice of shutdown: {}.", error)
        return 0


def clock_of(raw):
    """Return the `WorkerClock` in a response, None if invalid, and its reason."""
    try:
        wire = _clocks.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        log.error("Failed to decode a worker's answer: {}.", error)
        return None, ""
    return WorkerClock(wire.clock_ms, wire.born), wire.reason


def table_of(raw):
    """Return the `QueueTable` in a configuration, without its invalid routes."""
    wire = _configurations.decode(raw)
    queues = []
    for raw_route in wire.routes:
        try:
            route = _routes.decode(raw_route)
        except msgspec.DecodeError as error:
            log.error(
                "Skipped an invalid route of version {}: {}.", wire.version, error
            )
            continue
        queues.append(
            Queue(
                route.name,
                route.host,
                route.prefix,
                route.service,
                route.priority,
                max(1, route.max_attempts),
                route.stretch,
                route.slo_ms,
                route.timeout_ms,
            )
        )
    return QueueTable(wire.version, tuple(queues), wire.limits.max_body_bytes)


def items_of(raw):
    """Return the `WireItems` in a response of the store."""
    return _items.decode(raw)


def item_of(raw):
    """Return the `WireItem` in a response of the store."""
    return _item.decode(raw)


def lease_of(raw):
    """Return the id of the lease in a response of the store."""
    return _leases.decode(raw).lease


def recalled_of(raw):
    """Return the `WorkerReport` in an agent's record, or raise `RequestError`."""
    record = _records.decode(raw)
    return report_of(record.id, bytes(record.report))


def task_name(task):
    """Return the platform's task name, ``JOB.OCCURRENCE.STEP.INDEX``."""
    job_id, step, index = task
    return f"{job_id}.0.{step}.{index}"


def _task_of(name):
    """Return the job id, step and index in a task name."""
    job_id, _, step, index = name.split(".")
    return (job_id, int(step), int(index))


def _running_row(row):
    """Return the `ListedRun` in a row of `running`."""
    return ListedRun(_task_of(row[0]), int(row[1]), float(row[3]) / PERCENT)


def _ended_row(row):
    """Return the `ListedRun` in a row of `finished`."""
    return ListedRun(
        _task_of(row[1]), int(row[2]), number=int(row[0]), end=_RUN_END_BY_HOW[row[3]]
    )


def _row_or_none(decode, row):
    """Return the decoded row, or None if the row is invalid."""
    try:
        return decode(row)
    except (IndexError, KeyError, ValueError, TypeError, AttributeError) as error:
        log.error("Skipped an invalid row of a worker's list, {!r}: {!r}.", row, error)
        return None
