"""Settings: frozen data classes read from JSON files and checked on start."""

from dataclasses import dataclass, field, fields, is_dataclass
from pathlib import Path
from typing import Annotated

import msgspec

from ragwortlug.errors import SettingsError
from ragwortlug.lease_settings import Count, LogSettings, Seconds, parse_address
from ragwortlug.model import Name

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]


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
