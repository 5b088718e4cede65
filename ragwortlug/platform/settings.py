"""Reads the platform's settings file into the product's settings."""

import os
import tomllib
from dataclasses import dataclass
from pathlib import Path

from ragwortlug.decoding import MAX_COUNT
from ragwortlug.errors import SettingsError
from ragwortlug.lease_settings import (
    DispatchEntrySettings,
    LeasedAgentSettings,
    LimitSettings,
    LogSettings,
    RestartSettings,
    is_address,
    parse_address,
)
from ragwortlug.telemetry.logs import logger

PATH_VARIABLE = "RAGWORTLUG_BOOT"
METRICS_PORT = 9464
GRACE_MARGIN_S = 0.5
MS_PER_S = 1000.0

log = logger("settings")


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """The settings that this program uses from the platform's file.

    Attributes
    ----------
    ip, data_centre : str
        The IP address and the data centre of this process.
    inner_port : int
        Port that receives messages of other processes.
    listen : dict
        Addresses ``IP:PORT`` by the name of the server that listens there.
    entries : tuple of str
        Addresses of some entries, ``tcp://IP:PORT``.
    store : str
        URL of the platform's store.
    grace_s : float
        Time from the stop signal until the process is killed.
    retry_ms, lease_ms : int
        Time until callers retry; the longest lease of a run.
    limits : LimitSettings
        What callers may hold; the operators' configuration has the limits of the
        requests of callers.
    """

    ip: str
    data_centre: str
    inner_port: int
    listen: dict
    entries: tuple[str, ...]
    store: str
    grace_s: float
    retry_ms: int
    lease_ms: int
    limits: LimitSettings


def read(path=None):
    """Return the `PlatformSettings` of this process, or raise `SettingsError`."""
    path = Path(path or os.environ.get(PATH_VARIABLE, "/etc/ragwortlug/local.toml"))
    try:
        raw = tomllib.loads(path.read_text())
    except OSError as error:
        raise SettingsError(f"{path}: can't read the file: {error.strerror}") from error
    except (ValueError, RecursionError) as error:
        raise SettingsError(f"{path}: {error}") from error
    try:
        return _platform_settings_of(raw)
    except (LookupError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise SettingsError(f"{path}: missing or invalid setting: {error!r}") from error


def _platform_settings_of(raw):
    """Return the `PlatformSettings` in a decoded file."""
    inner_port = int(raw["internal_port_range"][0])
    bounds = raw["bounds"]
    store = str(raw["platform"]["address"])
    parse_address(f"tcp://{store}")
    return PlatformSettings(
        parse_address(f"tcp://{raw['ip']}:{inner_port}")[0],
        str(raw["zone"]),
        inner_port,
        dict(raw["listen_addrs"]),
        tuple(_seed_addresses(raw.get("seed_nodes", ()), inner_port)),
        f"http://{store}",
        _number(bounds, "grace_s", float),
        _number(bounds, "retransmit_ms", int),
        _number(bounds, "max_hold_ms", int),
        _limits_of(raw.get("limits", {})),
    )


def _limits_of(limits):
    """Return the `LimitSettings` in a table; absent ones have their defaults."""
    names = ("memory_mb", "max_fds")
    return LimitSettings(
        **{name: _number(limits, name, int) for name in names if name in limits}
    )


def _seed_addresses(seeds, inner_port):
    """Yield the addresses of the seeds; log and skip one that has no valid address.

    The file lists seeds with a port other than the one for messages of entries.
    """
    for seed in seeds:
        address = f"tcp://{str(seed).rpartition(':')[0]}:{inner_port}"
        if is_address(address):
            yield address
        else:
            log.warning("Skipped a seed at an invalid address: {!r}.", seed)


def _number(bounds, name, kind):
    """Return a positive number, or raise `ValueError`."""
    number = kind(bounds[name])
    if not 0 < number <= MAX_COUNT:
        raise ValueError(f"{name} is {number}")
    return number


def entry_settings(platform_settings):
    """Return the `DispatchEntrySettings` of an entry."""
    return DispatchEntrySettings(
        http=_listen_address(platform_settings, "front"),
        ready=_listen_address(platform_settings, "ready"),
        **_common_settings(platform_settings),
    )


def agent_settings(platform_settings):
    """Return the `LeasedAgentSettings` of an agent."""
    return LeasedAgentSettings(
        http=_listen_address(platform_settings, "control"),
        **_common_settings(platform_settings),
    )


def _listen_address(platform_settings, name):
    """Return the address of a server, or raise `SettingsError`."""
    address = f"tcp://{platform_settings.listen.get(name, '')}"
    if not is_address(address):
        raise SettingsError(f"listen_addrs.{name}: {address!r} is not tcp://IP:PORT")
    return address


def _common_settings(platform_settings):
    """Return the settings that both programs share, as keyword arguments."""
    return {
        "address": f"tcp://{platform_settings.ip}:{platform_settings.inner_port}",
        "data_centre": platform_settings.data_centre,
        "entries": platform_settings.entries,
        "store": platform_settings.store,
        "metrics": f"tcp://{platform_settings.ip}:{METRICS_PORT}",
        "grace_s": platform_settings.grace_s - GRACE_MARGIN_S,
        "restart": _restart_settings(platform_settings),
        "limits": platform_settings.limits,
        "log": LogSettings(format="json"),
    }


def _restart_settings(platform_settings):
    """Return the `RestartSettings`, within the platform's bounds.

    Raises
    ------
    SettingsError
        Callers retry so soon that a task could have two runs at a time.
    """
    defaults = RestartSettings()
    settings = RestartSettings(
        lease_ms=min(defaults.lease_ms, platform_settings.lease_ms),
        caller_retry_ms=platform_settings.retry_ms,
    )
    least_ms = settings.least_caller_retry_ms
    if settings.caller_retry_ms < least_ms:
        raise SettingsError(
            f"bounds.retransmit_ms: {settings.caller_retry_ms} is less than "
            f"{least_ms}, within which the runs of a lost attempt end"
        )
    return settings
