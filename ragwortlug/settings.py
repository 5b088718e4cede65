"""Settings: frozen data classes read from JSON files and checked on start."""

from dataclasses import dataclass, field, fields, is_dataclass
from pathlib import Path
from typing import Annotated

import msgspec

from ragwortlug.decoding import (
    MAX_COUNT,
    Count,
    Factor,
    JsonDecoder,
    Seconds,
    SecondsOrZero,
)
from ragwortlug.errors import SettingsError
from ragwortlug.lease_settings import LimitSettings, LogSettings, parse_address
from ragwortlug.model import Name

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]


@dataclass(frozen=True, slots=True)
class ViewSettings:
    """How views are kept up to date.

    Attributes
    ----------
    confirm_s : float
        How long a confirmed view may be used.
    poll_s : float
        Time between two polls for a confirmation.
    lost_after_s : float
        Silence after which an agent or entry is considered lost.
    skew_ms : int
        Maximum difference between two wall clocks; an assumption that the
        operators must ensure.
    window_s : float
        How long after its creation an id may be submitted or fetched.
    vouch_s : float
        How long a majority of entries may confirm views without the store; 0
        stops all starts with the store.
    """

    confirm_s: Seconds = 2.0
    poll_s: Seconds = 0.4
    lost_after_s: Seconds = 3.0
    skew_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)] = 250
    window_s: Seconds = 600.0
    vouch_s: SecondsOrZero = 300.0


@dataclass(frozen=True, slots=True)
class PolicySettings:
    """How a home sorts, places and refuses work.

    Attributes
    ----------
    queue_tasks : int
        Maximum number of tasks that wait at one home.
    aging_ms_per_task : float
        Milliseconds by which a job may arrive later and still go first, for each
        remaining task that it has fewer.
    probes : int
        Number of agents notified of waiting work when no free slot is known.
    hint_s : float
        Age at which a report of an agent's free slots is ignored.
    keep_results_mb : int
        Memory for stored results; beyond it the oldest results are dropped.
    """

    queue_tasks: Count = 5_000
    aging_ms_per_task: Factor = 400.0
    probes: Count = 3
    hint_s: Seconds = 0.25
    keep_results_mb: Count = 32


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of an entry.

    Attributes
    ----------
    address : str
        Where messages of other processes are received, ``tcp://IP:PORT``.
    http : str
        Where callers and operators are served, ``tcp://IP:PORT``.
    data_centre : str
        Where the entry runs.
    store : str
        URL of the platform's store.
    prefix : str
        Prefix of every key in the store.
    body_limit_kb : int
        Maximum size of a request's body.
    drain_s : float
        How long to wait for the balancer to notice a shutdown.
    trace_share : float
        Fraction of the jobs that are traced.
    check_invariants : bool
        Whether violated invariants raise `InvariantError`.
    """

    address: str
    http: str
    data_centre: Name
    store: str
    prefix: str = "/ragwortlug"
    body_limit_kb: Count = 1024
    drain_s: SecondsOrZero = 1.0
    trace_share: Share = 0.01
    check_invariants: bool = True
    view: ViewSettings = field(default_factory=ViewSettings)
    limits: LimitSettings = field(default_factory=LimitSettings)
    log: LogSettings = field(default_factory=LogSettings)


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings of an agent.

    Attributes
    ----------
    address : str
        Where messages of other processes are received, ``tcp://IP:PORT``.
    http : str
        Where the target beside the agent announces itself, ``tcp://IP:PORT``.
    data_centre, rack : str
        Where the agent and its target run.
    entries : tuple of str
        Initial addresses of entries; the roster lists the others.
    check_invariants : bool
        Whether violated invariants raise `InvariantError`.
    """

    address: str
    http: str
    data_centre: Name
    entries: tuple[str, ...]
    rack: str = ""
    check_invariants: bool = True
    view: ViewSettings = field(default_factory=ViewSettings)
    limits: LimitSettings = field(default_factory=LimitSettings)
    policy: PolicySettings = field(default_factory=PolicySettings)
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
        Names the file, the field, what was given and what is expected.
    """
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(f"{path}: can't be read: {error.strerror}") from error
    try:
        settings = JsonDecoder(kind).decode(raw)
        _refuse_unknown(JsonDecoder().decode(raw), kind, "$")
    except msgspec.DecodeError as error:
        raise SettingsError(f"{path}: {error}") from error
    for name in ("address", "http", "entries"):
        given = getattr(settings, name, ())
        for address in (given,) if isinstance(given, str) else given:
            _check_address(path, name, address)
    return settings


def _check_address(path, name, given):
    """Raise `SettingsError` if a field's value is not an address."""
    try:
        parse_address(given)
    except ValueError as error:
        raise SettingsError(f"{path}: {error} - at `$.{name}`") from error


def _refuse_unknown(given, kind, path):
    """Raise `msgspec.ValidationError` for a field that the data class lacks."""
    known_fields = {each.name: each for each in fields(kind)}
    for name, value in given.items():
        if name not in known_fields:
            expected = ", ".join(known_fields)
            raise msgspec.ValidationError(
                f"Unknown field {name!r}, expected one of: {expected} - at `{path}`"
            )
        nested = known_fields[name].type
        if isinstance(value, dict) and is_dataclass(nested):
            _refuse_unknown(value, nested, f"{path}.{name}")
