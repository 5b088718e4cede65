"""Settings: frozen data classes read from JSON files and checked on start."""

import ipaddress
import re
from dataclasses import dataclass, field, fields, is_dataclass
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from ragwortlug.errors import SettingsError
from ragwortlug.model import Name

Seconds = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]

_ADDRESS = re.compile(r"^tcp://(?P<ip>[0-9.]+):(?P<port>[0-9]{1,5})$")
MAX_PORT = 65_535


@dataclass(frozen=True, slots=True)
class LogSettings:
    """How to log.

    Attributes
    ----------
    format : {"json", "text"}
        One JSON object a line, or plain text.
    level : str
        The least severe level that is written.
    """

    format: Literal["json", "text"] = "text"
    level: Literal["DEBUG", "INFO", "NOTICE", "WARNING", "ERROR"] = "INFO"


@dataclass(frozen=True, slots=True)
class ViewSettings:
    """How views are kept fresh.

    Attributes
    ----------
    confirm_s : float
        How long a confirmed view may be acted upon.
    poll_s : float
        Time between two polls for a confirmation.
    lost_after_s : float
        Silence after which an agent or entry is taken for lost.
    skew_ms : int
        Greatest difference between two wall clocks; an assumption that the
        operators answer for.
    window_s : float
        How long after its birth an id may be submitted or fetched.
    vouch_s : float
        How long a majority of entries may confirm views without the store; 0
        stops all starts with the store.
    """

    confirm_s: Seconds = 2.0
    poll_s: Seconds = 0.4
    lost_after_s: Seconds = 3.0
    skew_ms: Annotated[int, msgspec.Meta(ge=0)] = 250
    window_s: Seconds = 600.0
    vouch_s: Annotated[float, msgspec.Meta(ge=0)] = 300.0


@dataclass(frozen=True, slots=True)
class PolicySettings:
    """How a home orders, places and refuses work.

    Attributes
    ----------
    queue_tasks : int
        Most tasks that wait at one home.
    aging_ms_per_task : float
        How much earlier a job that came later goes first, for each task that
        it has fewer.
    probes : int
        Agents told that work waits, when no free slot is known.
    hint_s : float
        Age at which word of an agent's free slots is no longer believed.
    keep_results_mb : int
        Memory for kept results; past it the oldest results are given up.
    """

    queue_tasks: Count = 5_000
    aging_ms_per_task: Annotated[float, msgspec.Meta(ge=0)] = 400.0
    probes: Count = 3
    hint_s: Seconds = 0.25
    keep_results_mb: Count = 32


@dataclass(frozen=True, slots=True)
class RestartSettings:
    """How restartable jobs are run under leases.

    An agent's permission to run tasks for a dispatcher ends `permission_ms` after
    the agent asked for it. A caller that lost its connection asks again after
    `caller_retry_ms`; all runs of the lost attempt must have ended by then.

    Attributes
    ----------
    permission_ms : int
        How long after an agent's request its permission holds.
    orphan_ms : int
        Time from the last renewal until no run of a silent agent can live: the
        permission, the drift of the worker's clock over it, and a margin.
    renew_ms, idle_renew_ms : int
        Time between requests for renewal, with and without runs.
    suspect_ms : int
        Silence after which an agent gets no new runs.
    stop_ahead_ms : int
        How long before a permission ends its runs are stopped.
    lease_ms : int
        Longest lease of a worker's runs.
    look_ms : int
        Longest wait of one call that renews the lease and lists the runs.
    call_ms : int
        How long the worker's answer to a call is awaited.
    offer_ms : int
        How long an agent keeps offered room for a dispatcher.
    queue_jobs : int
        Most jobs that one dispatcher holds.
    dispatchers : int
        How many dispatchers an agent without runs asks for permissions.
    caller_retry_ms : int
        Time after which callers ask again.
    """

    permission_ms: Count = 900
    orphan_ms: Count = 1000
    renew_ms: Count = 150
    idle_renew_ms: Count = 250
    suspect_ms: Count = 450
    stop_ahead_ms: Count = 200
    lease_ms: Count = 900
    look_ms: Count = 150
    call_ms: Count = 60
    offer_ms: Count = 80
    queue_jobs: Count = 2000
    dispatchers: Count = 5
    caller_retry_ms: Count = 1300


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of an entry.

    Attributes
    ----------
    address : str
        Where messages of other processes are taken, ``tcp://IP:PORT``.
    http : str
        Where callers and operators are served, ``tcp://IP:PORT``.
    data_centre : str
        Where the entry runs.
    store : str
        URL of the platform's store.
    prefix : str
        Put before every key in the store.
    body_limit_kb : int
        Largest body of a request.
    drain_s : float
        How long the balancer gets to notice a shutdown.
    trace_share : float
        Share of the jobs that are traced.
    check_invariants : bool
        Whether broken invariants raise.
    """

    address: str
    http: str
    data_centre: Name
    store: str
    prefix: str = "/ragwortlug"
    body_limit_kb: Count = 1024
    drain_s: Annotated[float, msgspec.Meta(ge=0)] = 1.0
    trace_share: Share = 0.01
    check_invariants: bool = True
    view: ViewSettings = field(default_factory=ViewSettings)
    log: LogSettings = field(default_factory=LogSettings)


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings of an agent.

    Attributes
    ----------
    address : str
        Where messages of other processes are taken, ``tcp://IP:PORT``.
    http : str
        Where the target beside the agent announces itself, ``tcp://IP:PORT``.
    data_centre, rack : str
        Where the agent and its target run.
    entries : tuple of str
        Addresses of some entries, to begin with; the roster tells the rest.
    check_invariants : bool
        Whether broken invariants raise.
    """

    address: str
    http: str
    data_centre: Name
    entries: tuple[str, ...]
    rack: str = ""
    check_invariants: bool = True
    view: ViewSettings = field(default_factory=ViewSettings)
    policy: PolicySettings = field(default_factory=PolicySettings)
    log: LogSettings = field(default_factory=LogSettings)


@dataclass(frozen=True, slots=True)
class DispatchEntrySettings:
    """Settings of an entry that dispatches restartable jobs.

    Attributes
    ----------
    address : str
        Where messages of other processes are taken, ``tcp://IP:PORT``.
    http, ready : str
        Where callers are served and where the balancer asks for readiness.
    data_centre : str
        Where the entry runs.
    entries : tuple of str
        Addresses of some entries, to begin with.
    store : str
        URL of the platform's store.
    metrics : str
        Where the metrics are served; empty for nowhere.
    drain_s : float
        How long the balancer gets to notice a shutdown.
    grace_s : float
        Longest time that a graceful shutdown takes.
    listen : str
        Where messages are taken if others reach this process by another address,
        as behind a relay; empty for `address`.
    """

    address: str
    http: str
    ready: str
    data_centre: Name
    entries: tuple[str, ...]
    store: str
    metrics: str = ""
    drain_s: Annotated[float, msgspec.Meta(ge=0)] = 2.3
    grace_s: Seconds = 5.5
    listen: str = ""
    check_invariants: bool = True
    restart: RestartSettings = field(default_factory=RestartSettings)
    log: LogSettings = field(default_factory=LogSettings)


@dataclass(frozen=True, slots=True)
class LeasedAgentSettings:
    """Settings of an agent that runs leased tasks on the worker beside it.

    Attributes
    ----------
    address : str
        Where messages of other processes are taken, ``tcp://IP:PORT``.
    http : str
        Where the worker reports, ``tcp://IP:PORT``.
    data_centre : str
        Where the agent and its worker run.
    entries : tuple of str
        Addresses of some entries, to begin with.
    store : str
        URL of the platform's store, which knows the entries.
    metrics : str
        Where the metrics are served; empty for nowhere.
    grace_s : float
        Longest time that a graceful shutdown takes.
    listen : str
        Where messages are taken if others reach this process by another address,
        as behind a relay; empty for `address`.
    """

    address: str
    http: str
    data_centre: Name
    entries: tuple[str, ...]
    store: str
    metrics: str = ""
    grace_s: Seconds = 5.5
    listen: str = ""
    check_invariants: bool = True
    restart: RestartSettings = field(default_factory=RestartSettings)
    log: LogSettings = field(default_factory=LogSettings)


def load(path, kind):
    """Return the settings in a JSON file.

    Parameters
    ----------
    path : path-like
        The file.
    kind : type
        `EntrySettings` or `AgentSettings`.

    Raises
    ------
    SettingsError
        Says the file, the field, what was given and what is wanted.
    """
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(f"{path}: can't be read: {error.strerror}") from error
    try:
        settings = msgspec.json.decode(raw, type=kind, strict=True)
        _refuse_unknown(msgspec.json.decode(raw), kind, "$")
    except msgspec.DecodeError as error:
        raise SettingsError(f"{path}: {error}") from error
    for name in ("address", "http", "entries"):
        given = getattr(settings, name, ())
        for each in (given,) if isinstance(given, str) else given:
            _check_address(path, name, each)
    return settings


def parse_address(text):
    """Return the IP and port of an address ``tcp://IP:PORT``."""
    match = _ADDRESS.match(text)
    if match is None or int(match["port"]) > MAX_PORT:
        raise ValueError(f"{text!r} is not tcp://IP:PORT")
    return str(ipaddress.ip_address(match["ip"])), int(match["port"])


def _check_address(path, name, given):
    """Raise `SettingsError` if a field holds no address."""
    try:
        parse_address(given)
    except ValueError as error:
        raise SettingsError(f"{path}: {error} - at `$.{name}`") from error


def _refuse_unknown(given, kind, where):
    """Raise if the file has a field that the data class does not have."""
    known = {each.name: each for each in fields(kind)}
    for name, value in given.items():
        if name not in known:
            wanted = ", ".join(known)
            raise msgspec.ValidationError(
                f"Unknown field {name!r}, expected one of: {wanted} - at `{where}`"
            )
        nested = known[name].type
        if isinstance(value, dict) and is_dataclass(nested):
            _refuse_unknown(value, nested, f"{where}.{name}")
