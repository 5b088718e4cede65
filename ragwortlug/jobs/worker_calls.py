"""What an agent asks of the worker beside it, and what the worker says.

The adapter of a platform carries out the calls and decodes the answers.
"""

import enum
from dataclasses import dataclass

from ragwortlug.restartable_model import Resources, Run, RunEnd


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """What a worker says of itself.

    Attributes
    ----------
    id, booted_at_ms : str, int
        Name the worker's boot.
    sequence : int
        Rises with each report of a boot.
    clock_ms : int
        The worker's steady clock.
    remaining_ms : int
        Shortest time that a draining worker still serves.
    """

    id: str
    booted_at_ms: int
    sequence: int
    service: str
    address: str
    data_centre: str
    labels: tuple[str, ...]
    capacity: Resources
    clock_ms: int
    draining: bool = False
    remaining_ms: int = 0

    @property
    def boot_id(self):
        """Return what tells this boot of the worker from any other."""
        return (self.id, self.booted_at_ms)


class StartAnswer(enum.Enum):
    """The worker's answer to the order to start a run."""

    STARTED = "started"
    OUTDATED = "outdated"
    REJECTED = "rejected"
    NO_ANSWER = "no answer"
    OTHER_BOOT = "other boot"


@dataclass(frozen=True, slots=True)
class ListedRun:
    """A run that a worker lists.

    Attributes
    ----------
    task : tuple
        Job id, step and index.
    completed_fraction : float
        Share of the work that is done, of a run under way.
    number : int
        Number of an end; 0 for a run under way.
    end : RunEnd or None
        How it ended.
    """

    task: tuple[str, int, int]
    attempt: int
    completed_fraction: float = 0.0
    number: int = 0
    end: RunEnd | None = None


@dataclass(frozen=True, slots=True)
class WorkerSnapshot:
    """A worker's answer to a look: its clock, what runs and what has ended.

    Attributes
    ----------
    booted_at_ms : int
        Names the boot that answers; 0 if it does not say.
    """

    clock_ms: int
    booted_at_ms: int
    running: tuple[ListedRun, ...]
    ended: tuple[ListedRun, ...]


@dataclass(frozen=True, slots=True)
class StartOnWorker:
    """An effect: a boot of the worker is to start a run under a lease until then."""

    boot: tuple[str, int]
    key: tuple[str, int]
    run: Run
    lease_until_ms: int
    fencing_token: int


@dataclass(frozen=True, slots=True)
class StopOnWorker:
    """An effect: the worker is to stop a run, or never to start it."""

    task: tuple[str, int, int]
    attempt: int
    fencing_token: int


@dataclass(frozen=True, slots=True)
class RequestSnapshot:
    """An effect: the worker's lists are to be read now."""


@dataclass(frozen=True, slots=True)
class RequestRenewals:
    """An effect: every dispatcher is to be asked for a renewal now."""
