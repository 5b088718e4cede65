"""Decoders of the platform's messages into the product's types.

The ``Wire...`` structs mirror the JSON on the wire; the functions return the
product's types.
"""

import re
from typing import Annotated, Any, Literal

import msgspec

from ragwortlug.codes import Code
from ragwortlug.decoding import (
    MAX_COUNT,
    MAX_WHOLE,
    Count,
    Counter,
    Factor,
    JsonDecoder,
    Natural,
    Whole,
)
from ragwortlug.errors import RequestError
from ragwortlug.io.http import decode_body
from ragwortlug.jobs.worker_calls import (
    ListedRun,
    WorkerClock,
    WorkerReport,
    WorkerSnapshot,
)
from ragwortlug.lease_settings import is_address
from ragwortlug.restartable_model import (
    MAX_STEP_TASKS,
    Queue,
    QueueTable,
    Resources,
    RestartableJob,
    RunEnd,
    Step,
)
from ragwortlug.telemetry.logs import OnceLogger, logger
from ragwortlug.timer import Timer

PERCENT = 100.0
# Index of the percentage in a row of `running`.
PERCENT_COLUMN = 3
MAX_SPEC_BYTES = 4000
MAX_STEPS = 150
MAX_LOGGED_BYTES = 200
UNSUPPORTED_JOB_FIELDS = ("repeat_count", "start_at_ms")
UNSUPPORTED_STEP_FIELDS = ("gang", "long_running", "max_unavailable", "target_ms")
# How far the clock of another program may be ahead of the one of this process.
MAX_CLOCK_LEAD_MS = 366 * 24 * 3_600_000

_WORKER_ID = re.compile(r"[!-~]{1,200}")

# The sum of the sizes of all tasks of a job fits into 64 bits.
Size = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]

# What a row of a worker's list raises that is not as it should be.
_BAD_ROW_ERRORS = (
    AttributeError,
    IndexError,
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
)

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
once_log = OnceLogger(log)


class WireRoom(msgspec.Struct):
    """Resources: thousandths of a core, megabytes of memory, and accelerators."""

    cpu: Size = 0
    mem_mb: Size = 0
    gpu: Size = 0


class WireStep(msgspec.Struct):
    """A step of a job; absent fields default to 0, false or empty."""

    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_STEP_TASKS)]
    cpu: Size = 0
    mem_mb: Size = 0
    gpu: Size = 0
    estimate_ms: Natural = 0
    after: list[Natural] = []
    requires: str = ""
    anti_affinity: Natural = 0
    gang: bool = False
    long_running: bool = False
    max_unavailable: Natural = 0
    target_ms: float = 0.0


class WireJob(msgspec.Struct):
    """A job; `best_effort` means that the job may restart from the beginning."""

    spec: str
    steps: Annotated[list[WireStep], msgspec.Meta(min_length=1, max_length=MAX_STEPS)]
    best_effort: bool = False
    repeat_count: Natural = 0
    start_at_ms: Natural = 0


class WireReport(msgspec.Struct):
    """A worker's status report; `sequence` tells late reports from new ones."""

    service: Text
    address: Text
    zone: Text
    state: Literal["ready", "draining"]
    capacity: WireRoom
    clock_ms: Natural
    sequence: Natural
    born: Natural
    labels: list[str] = []
    remaining_ms: Natural = 0


class WireClock(msgspec.Struct):
    """Fields of every worker response; `clock_ms` is its monotonic clock."""

    clock_ms: Natural
    reason: str = ""
    born: Natural = 0


class WireDeparture(msgspec.Struct):
    """A worker's notice that it shuts down."""

    born: Natural = 0


class WireLists(msgspec.Struct):
    """A worker's lists of running and finished runs.

    A row of `running` holds task, run, checkpoint, percent done and processor in
    use; a row of `finished` holds number, task, run, how and checkpoint.
    """

    clock_ms: Natural
    running: list[Any] = []
    finished: list[Any] = []
    born: Natural = 0


class WireRoute(msgspec.Struct):
    """A route, which is a queue of jobs; `slo_ms` is added to `stretch` x the work.

    `recommendation` means that only some workers may run a step.
    """

    name: Text
    host: Text
    prefix: Text
    service: Text
    priority: Whole = 0
    max_attempts: Whole = 1
    stretch: Factor = 1.0
    slo_ms: Natural = 0
    timeout_ms: Natural = 0
    recommendation: Any = None


class WireLimits(msgspec.Struct):
    """Limits on requests."""

    max_body_bytes: Natural = 262_144
    max_header_bytes: Count = 16_384
    header_timeout_ms: Count = 3000
    idle_timeout_ms: Count = 15_000


class WireConfiguration(msgspec.Struct):
    """A version of the configuration."""

    version: Counter
    routes: list[msgspec.Raw] = []
    limits: WireLimits = msgspec.field(default_factory=WireLimits)


class WireItem(msgspec.Struct):
    """The value of a key in the store, or the removal of the key."""

    key: str
    revision: Counter = 0
    value: str = ""
    removed: bool = False


class WirePage(msgspec.Struct):
    """Items of the store at the revision `as_of`."""

    as_of: Counter
    items: list[msgspec.Raw] = []
    events: list[msgspec.Raw] = []
    has_more: bool = False


class WireKey(msgspec.Struct):
    """The key of an item."""

    key: str


class WireItems(msgspec.Struct):
    """The valid items of a page.

    `last_key` is the key of the page's last item, after which the next page begins;
    empty if there is no further page.
    """

    as_of: int
    items: tuple[WireItem, ...] = ()
    events: tuple[WireItem, ...] = ()
    last_key: str = ""


class WireLease(msgspec.Struct):
    """A lease that the store granted."""

    lease: Counter


class WireRecord(msgspec.Struct):
    """An agent's record of its worker: the worker's id and its report."""

    id: str
    report: msgspec.Raw


_jobs = JsonDecoder(WireJob)
_reports = JsonDecoder(WireReport)
_lists = JsonDecoder(WireLists)
_departures = JsonDecoder(WireDeparture)
_clocks = JsonDecoder(WireClock)
_configurations = JsonDecoder(WireConfiguration)
_routes = JsonDecoder(WireRoute)
_pages = JsonDecoder(WirePage)
_keys = JsonDecoder(WireKey)
_item = JsonDecoder(WireItem)
_leases = JsonDecoder(WireLease)
_records = JsonDecoder(WireRecord)


def job_of(job_id, raw):
    """Return the `RestartableJob` in a request body, or raise `RequestError`."""
    wire = decode_body(raw, _jobs)
    if len(wire.spec.encode()) > MAX_SPEC_BYTES:
        raise RequestError(f"the text is over {MAX_SPEC_BYTES} bytes", Code.BAD_FIELD)
    for number, step in enumerate(wire.steps):
        if any(predecessor >= number for predecessor in step.after):
            raise RequestError(f"step {number} waits for a later one", Code.BAD_FIELD)
    if not wire.best_effort:
        raise RequestError("only restartable jobs are taken", Code.NOT_STORED)
    _check_supported(wire)
    steps = tuple(
        Step(
            step.count,
            Resources(step.cpu, step.mem_mb, step.gpu),
            step.estimate_ms,
            tuple(step.after),
            step.requires,
            step.anti_affinity,
        )
        for step in wire.steps
    )
    return RestartableJob(job_id, wire.spec, steps)


def _check_supported(wire):
    """Raise `RequestError` for a job that would be run in another way than it asks."""
    for name in UNSUPPORTED_JOB_FIELDS:
        if getattr(wire, name):
            raise RequestError(f"{name} is not supported", Code.UNSUPPORTED)
    for number, step in enumerate(wire.steps):
        for name in UNSUPPORTED_STEP_FIELDS:
            if getattr(step, name):
                raise RequestError(
                    f"step {number}: {name} is not supported", Code.UNSUPPORTED
                )


def report_of(worker_id, raw):
    """Return the `WorkerReport` in a status report, or raise `RequestError`."""
    wire = decode_body(raw, _reports)
    if not _WORKER_ID.fullmatch(worker_id):
        raise RequestError(f"{worker_id!r} is no worker's id", Code.BAD_FIELD)
    if not is_address(f"tcp://{wire.address}"):
        raise RequestError(f"{wire.address!r} is not IP:PORT", Code.BAD_FIELD)
    if wire.born > Timer.unix_ms() + MAX_CLOCK_LEAD_MS:
        raise RequestError(f"born in the future, at {wire.born}", Code.BAD_FIELD)
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
    """Return the `WorkerSnapshot` in a response, without its invalid rows.

    Raises
    ------
    msgspec.DecodeError
        The response is no snapshot.
    """
    wire = _lists.decode(raw)
    running = [_row_or_none(_running_row, row) for row in wire.running]
    ended = [_row_or_none(_ended_row, row) for row in wire.finished]
    return WorkerSnapshot(
        wire.clock_ms,
        wire.born,
        tuple(run for run in running if run is not None),
        tuple(run for run in ended if run is not None),
        None not in running,
    )


def departed_boot_of(raw):
    """Return the boot time in a notice of shutdown, 0 if it gives none."""
    if not raw:
        return 0
    try:
        return _departures.decode(raw).born
    except msgspec.DecodeError as error:
        log.warning("Failed to decode a worker's notice of shutdown: {}.", error)
        return 0


def clock_of(raw):
    """Return the `WorkerClock` in a response, None if invalid, and its reason."""
    try:
        wire = _clocks.decode(raw)
    except msgspec.DecodeError as error:
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
                bool(route.recommendation),
            )
        )
    return QueueTable(
        wire.version,
        tuple(queues),
        wire.limits.max_body_bytes,
        wire.limits.max_header_bytes,
        wire.limits.header_timeout_ms,
        wire.limits.idle_timeout_ms,
    )


def items_of(raw):
    """Return the `WireItems` in a response of the store, without the invalid ones."""
    page = _pages.decode(raw)
    keys = _valid(_keys, page.items) if page.has_more else ()
    return WireItems(
        page.as_of,
        _valid(_item, page.items),
        _valid(_item, page.events),
        keys[-1].key if keys else "",
    )


def item_of(raw):
    """Return the `WireItem` in a response of the store."""
    return _item.decode(raw)


def lease_of(raw):
    """Return the id of the lease in a response of the store."""
    return _leases.decode(raw).lease


def recalled_of(raw):
    """Return the `WorkerReport` in an agent's record, or raise `RequestError`."""
    record = decode_body(raw, _records)
    return report_of(record.id, bytes(record.report))


def _valid(decoder, raw_items):
    """Return the items that can be decoded; log each of the others once."""
    items = []
    for raw in raw_items:
        try:
            items.append(decoder.decode(raw))
        except msgspec.DecodeError as error:
            text = bytes(raw)[:MAX_LOGGED_BYTES]
            once_log.warning(
                text, "Skipped an invalid item of the store, {!r}: {}.", text, error
            )
    return tuple(items)


def task_name(task):
    """Return the platform's task name, ``JOB.OCCURRENCE.STEP.INDEX``."""
    job_id, step, index = task
    return f"{job_id}.0.{step}.{index}"


def _task_of(name):
    """Return the job id, step and index in a task name."""
    job_id, _, step, index = name.split(".")
    return (job_id, _number(step), _number(index))


def _running_row(row):
    """Return the `ListedRun` in a row of `running`."""
    percent = row[PERCENT_COLUMN] if len(row) > PERCENT_COLUMN else None
    return ListedRun(_task_of(row[0]), _number(row[1]), _fraction(percent))


def _ended_row(row):
    """Return the `ListedRun` in a row of `finished`."""
    return ListedRun(
        _task_of(row[1]),
        _number(row[2]),
        number=_number(row[0]),
        end=_RUN_END_BY_HOW[row[3]],
    )


def _number(value):
    """Return a number that a worker counts, or raise `ValueError`."""
    number = int(value)
    if not 0 <= number <= MAX_WHOLE:
        raise ValueError(f"{number} is out of range")
    return number


def _fraction(percent):
    """Return the completed fraction of a run; 0 if the worker gives no percentage.

    The run counts as listed even then: it may be in progress.
    """
    try:
        fraction = float(percent) / PERCENT
    except (TypeError, ValueError, OverflowError):
        return 0.0
    return fraction if 0.0 <= fraction <= 1.0 else 0.0


def _row_or_none(decode, row):
    """Return the decoded row, or None if the row is invalid."""
    try:
        return decode(row)
    except _BAD_ROW_ERRORS as error:
        text = repr(row)[:MAX_LOGGED_BYTES]
        once_log.warning(
            text, "Skipped an invalid row of a worker's list, {}: {!r}.", text, error
        )
        return None
