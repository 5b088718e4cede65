"""Settings of the programs that run restartable jobs, and shared definitions."""

import functools
import ipaddress
import re
from dataclasses import dataclass, field
from typing import Literal

from ragwortlug.decoding import Count, Seconds, SecondsOrZero

_ADDRESS = re.compile(r"tcp://(?P<ip>[0-9.]+):(?P<port>[0-9]{1,5})")
MAX_PORT = 65_535
MAX_CHECKED_ADDRESSES = 10_000
# How long before the earliest return of its caller a job is first announced to other
# entries, so that lost messages do not matter.
ANNOUNCEMENT_LEAD_MS = 800
MIN_ANNOUNCED_AGE_MS = 100


@dataclass(frozen=True, slots=True)
class LogSettings:
    """How to log.

    Attributes
    ----------
    format : {"json", "text"}
        One JSON object per line, or plain text.
    level : str
        The least severe level that is written.
    """

    format: Literal["json", "text"] = "text"
    level: Literal["DEBUG", "INFO", "NOTICE", "WARNING", "ERROR"] = "INFO"


@dataclass(frozen=True, slots=True)
class RestartSettings:
    """How restartable jobs are run under leases.

    An agent's permission to run tasks for a dispatcher expires `permission_ms` after
    the agent requested it. A caller that lost its connection retries after
    `caller_retry_ms`; all runs of the lost attempt must have ended by then.

    Attributes
    ----------
    permission_ms : int
        How long an agent's permission is valid after its request.
    orphan_ms : int
        Time from the last renewal until no run of a silent agent can exist: the
        permission, the drift of the worker's clock over it, and a margin.
    renew_ms, idle_renew_ms : int
        Time between requests for renewal, with and without runs.
    suspect_ms : int
        Silence after which an agent is assigned no new runs.
    stop_ahead_ms : int
        How long before a permission expires its runs are stopped.
    lease_ms : int
        Longest lease of a worker's runs.
    look_ms : int
        Longest wait of one call that renews the lease and lists the runs.
    call_ms : int
        Timeout of a call to the worker.
    offer_ms : int
        How long an agent reserves offered resources for a dispatcher.
    queue_jobs : int
        Maximum number of jobs at one dispatcher.
    dispatchers : int
        Number of dispatchers from which an agent without runs requests permissions.
    caller_retry_ms : int
        Time after which callers retry.
    """

    permission_ms: Count = 900
    orphan_ms: Count = 1000
    renew_ms: Count = 150
    idle_renew_ms: Count = 250
    suspect_ms: Count = 450
    stop_ahead_ms: Count = 200
    lease_ms: Count = 500
    look_ms: Count = 150
    call_ms: Count = 60
    offer_ms: Count = 80
    queue_jobs: Count = 2000
    dispatchers: Count = 5
    caller_retry_ms: Count = 1300

    @property
    def announced_age_ms(self):
        """Return the age at which an entry first announces a job to the others."""
        age_ms = self.caller_retry_ms - ANNOUNCEMENT_LEAD_MS
        return max(age_ms, MIN_ANNOUNCED_AGE_MS)

    @property
    def least_caller_retry_ms(self):
        """Return the least `caller_retry_ms` with which a task has one run at a time.

        Before a caller is back at another entry, the runs of an entry that has stopped
        must have ended, and the announcement of one that goes on must have arrived.
        """
        return max(self.orphan_ms, MIN_ANNOUNCED_AGE_MS + ANNOUNCEMENT_LEAD_MS)


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """What callers may hold in a process.

    Attributes
    ----------
    memory_mb : int
        Memory of the process; requests that are not complete may hold an eighth.
    max_fds : int
        Maximum number of descriptors; connections may use those that files, other
        processes and the store leave.
    max_header_bytes : int
        Maximum size of a request's head, with the empty lines before it.
    header_timeout_ms : int
        Longest time from a head's first byte to its last.
    idle_timeout_ms : int
        Longest time without a byte: of a body, or between two requests.
    """

    memory_mb: Count = 160
    max_fds: Count = 1638
    max_header_bytes: Count = 16_384
    header_timeout_ms: Count = 3000
    idle_timeout_ms: Count = 15_000


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseSettings:
    """Settings of any program that runs restartable jobs.

    Attributes
    ----------
    address : str
        Where messages of other processes are received, ``tcp://IP:PORT``.
    http : str
        Where an entry's callers, or an agent's worker, are served.
    data_centre : str
        Where the program runs.
    entries : tuple of str
        Initial addresses of entries.
    store : str
        URL of the platform's store.
    metrics : str
        Where the metrics are served; empty to disable.
    grace_s : float
        Maximum duration of a graceful shutdown.
    listen : str
        Where messages are received if others reach this process by another address,
        as behind a relay; empty for `address`.
    """

    address: str
    http: str
    data_centre: str
    entries: tuple[str, ...]
    store: str
    metrics: str = ""
    grace_s: Seconds = 5.5
    listen: str = ""
    check_invariants: bool = True
    restart: RestartSettings = field(default_factory=RestartSettings)
    limits: LimitSettings = field(default_factory=LimitSettings)
    log: LogSettings = field(default_factory=LogSettings)


@dataclass(frozen=True, slots=True, kw_only=True)
class DispatchEntrySettings(LeaseSettings):
    """Settings of an entry that dispatches restartable jobs.

    Attributes
    ----------
    ready : str
        Where the balancer asks for readiness.
    drain_s : float
        How long to wait for the balancer to notice a shutdown.
    """

    ready: str
    drain_s: SecondsOrZero = 2.3


@dataclass(frozen=True, slots=True, kw_only=True)
class LeasedAgentSettings(LeaseSettings):
    """Settings of an agent that runs leased tasks on the worker beside it."""


def parse_address(text):
    """Return the IP and port of an address ``tcp://IP:PORT``, or raise `ValueError`."""
    match = _ADDRESS.fullmatch(text)
    if match is None or not 1 <= int(match["port"]) <= MAX_PORT:
        raise ValueError(f"{text!r} is not tcp://IP:PORT")
    return str(ipaddress.IPv4Address(match["ip"])), int(match["port"])


@functools.lru_cache(MAX_CHECKED_ADDRESSES)
def is_address(text):
    """Return whether a text is an address ``tcp://IP:PORT``."""
    try:
        parse_address(text)
    except ValueError:
        return False
    return True
