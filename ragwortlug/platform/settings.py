"""Reads the platform's settings file into the product's settings."""

import os
import tomllib
from dataclasses import dataclass
from pathlib import Path

from ragwortlug.errors import SettingsError
from ragwortlug.lease_settings import (
    DispatchEntrySettings,
    LeasedAgentSettings,
    LogSettings,
    RestartSettings,
)

PATH_VARIABLE = "RAGWORTLUG_BOOT"
METRICS_PORT = 9464
GRACE_MARGIN_S = 0.5
MS_PER_S = 1000.0


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


def read(path=None):
    """Return the `PlatformSettings` of this process, or raise `SettingsError`."""
    path = Path(path or os.environ.get(PATH_VARIABLE, "/etc/ragwortlug/local.toml"))
    try:
        raw = tomllib.loads(path.read_text())
    except OSError as error:
        raise SettingsError(f"{path}: can't read the file: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    try:
        return _platform_settings_of(raw)
    except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
        raise SettingsError(f"{path}: missing or invalid setting: {error!r}") from error


def _platform_settings_of(raw):
    """Return the `PlatformSettings` in a decoded file."""
    inner_port = int(raw["internal_port_range"][0])
    # The file lists seeds with a port other than the one for messages of entries.
    seed_ips = (str(seed).rpartition(":")[0] for seed in raw.get("seed_nodes", ()))
    bounds = raw["bounds"]
    return PlatformSettings(
        str(raw["ip"]),
        str(raw["zone"]),
        inner_port,
        dict(raw["listen_addrs"]),
        tuple(f"tcp://{ip}:{inner_port}" for ip in seed_ips),
        f"http://{raw['platform']['address']}",
        float(bounds["grace_s"]),
        int(bounds["retransmit_ms"]),
        int(bounds["max_hold_ms"]),
    )


def entry_settings(platform_settings):
    """Return the `DispatchEntrySettings` of an entry."""
    return DispatchEntrySettings(
        http=f"tcp://{platform_settings.listen['front']}",
        ready=f"tcp://{platform_settings.listen['ready']}",
        **_common_settings(platform_settings),
    )


def agent_settings(platform_settings):
    """Return the `LeasedAgentSettings` of an agent."""
    return LeasedAgentSettings(
        http=f"tcp://{platform_settings.listen['control']}",
        **_common_settings(platform_settings),
    )


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
        "log": LogSettings(format="json"),
    }


def _restart_settings(platform_settings):
    """Return the `RestartSettings`, within the platform's bounds."""
    defaults = RestartSettings()
    return RestartSettings(
        lease_ms=min(defaults.lease_ms, platform_settings.lease_ms),
        caller_retry_ms=platform_settings.retry_ms,
    )
