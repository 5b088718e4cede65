"""The platform's settings file, read into the product's settings."""

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
    """What the file says, as far as it concerns this program.

    Attributes
    ----------
    ip, data_centre : str
        Where the process runs.
    inner_port : int
        Where messages of other processes are taken.
    listen : dict
        Addresses ``IP:PORT`` by what is served there.
    entries : tuple of str
        Addresses of some entries, ``tcp://IP:PORT``.
    store : str
        URL of the platform's store.
    grace_s : float
        Time from the signal to stop until the process is killed.
    retry_ms, lease_ms : int
        When callers ask again; the longest lease of a run.
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
        raise SettingsError(f"{path}: can't be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    try:
        return _translate(raw)
    except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
        raise SettingsError(f"{path}: missing or wrong: {error!r}") from error


def _translate(raw):
    """Return the settings in a decoded file."""
    inner_port = int(raw["internal_port_range"][0])
    # Seeds are given by another port than the one on which entries talk.
    seeds = (str(each).rpartition(":")[0] for each in raw.get("seed_nodes", ()))
    bounds = raw["bounds"]
    return PlatformSettings(
        str(raw["ip"]),
        str(raw["zone"]),
        inner_port,
        dict(raw["listen_addrs"]),
        tuple(f"tcp://{ip}:{inner_port}" for ip in seeds),
        f"http://{raw['platform']['address']}",
        float(bounds["grace_s"]),
        int(bounds["retransmit_ms"]),
        int(bounds["max_hold_ms"]),
    )


def entry_settings(given):
    """Return the product's settings of an entry."""
    return DispatchEntrySettings(
        http=f"tcp://{given.listen['front']}",
        ready=f"tcp://{given.listen['ready']}",
        **_common(given),
    )


def agent_settings(given):
    """Return the product's settings of an agent."""
    return LeasedAgentSettings(
        http=f"tcp://{given.listen['control']}", **_common(given)
    )


def _common(given):
    """Return the settings that both programs have."""
    return {
        "address": f"tcp://{given.ip}:{given.inner_port}",
        "data_centre": given.data_centre,
        "entries": given.entries,
        "store": given.store,
        "metrics": f"tcp://{given.ip}:{METRICS_PORT}",
        "grace_s": given.grace_s - GRACE_MARGIN_S,
        "restart": _restart(given),
        "log": LogSettings(format="json"),
    }


def _restart(given):
    """Return times that keep within the platform's bounds."""
    defaults = RestartSettings()
    return RestartSettings(
        lease_ms=min(defaults.lease_ms, given.lease_ms),
        caller_retry_ms=given.retry_ms,
    )
