"""The calls of an agent to its worker, and the worker's answers and reports.

The platform adapter makes the calls and decodes the answers.
"""

import enum
from dataclasses import dataclass

from ragwortlug.restartable_model import Resources, Run, RunEnd


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """A report of a worker on its own state.

    Attributes
    ----------
    id, booted_at_ms : str, int
        Identify the boot of the worker.
    sequence : int
        Increases with each report of a boot.
    clock_ms : int
        The worker's monotonic clock.
    remaining_ms : int
        Minimum time in milliseconds for which a draining worker still serves.
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
        """Return the pair of id and boot time that identifies this boot."""
        return (self.id, self.booted_at_ms)

    def can_run(self, service, label):
        """Return whether the worker belongs to a service and has a label.

        An empty service or label stands for any.
        """
        return service in ("", self.service) and (not label or label in self.labels)


class StartAnswer(enum.Enum):
    """The worker's answer to the command to start a run.

    `OTHER_BOOT` comes from a boot with another id. `NOT_SENT` says that the boot that
    the command is for did not answer before, so that the command was not sent.
    """

    STARTED = "started"
    OUTDATED = "outdated"
    REJECTED = "rejected"
    NO_ANSWER = "no answer"
    OTHER_BOOT = "other boot"
    NOT_SENT = "not sent"


@dataclass(frozen=True, slots=True)
class WorkerClock:
    """The clock in a worker's answer, and the boot that answers, 0 if not given."""

    clock_ms: int
    booted_at_ms: int = 0


@dataclass(frozen=True, slots=True)
class ListedRun:
    """A run in a snapshot of a worker.

    Attributes
    ----------
    task : tuple
        Job id, step and index.
    completed_fraction : float
        Completed fraction of the work of a run in progress.
    number : int
        Number of the run's end; 0 for a run in progress.
    end : RunEnd or None
        How the run ended; None for a run in progress.
    """

    task: tuple[str, int, int]
    attempt: int
    completed_fraction: float = 0.0
    number: int = 0
    end: RunEnd | None = None


@dataclass(frozen=True, slots=True)
class WorkerSnapshot:
    """A worker's answer to a snapshot request: its clock and its runs.

    Attributes
    ----------
    booted_at_ms : int
        Identifies the boot that answers; 0 if the worker does not give it.
    is_complete : bool
        Whether every row was valid. Otherwise a run may run that is not listed.
    """

    clock_ms: int
    booted_at_ms: int
    running: tuple[ListedRun, ...]
    ended: tuple[ListedRun, ...]
    is_complete: bool = True


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """A request for a snapshot, which renews the lease of all runs.

    Attributes
    ----------
    boot : tuple
        The boot id of the worker that is asked.
    requested_at : float
        Monotonic seconds.
    last_end_number : int
        Number of the latest end that was read.
    least_clock_ms : int
        What the clock of the boot showed before.
    lease_until_ms : int or None
        Time at which the lease expires, on the worker's clock; None to give none.
    """

    boot: tuple[str, int]
    requested_at: float
    fencing_token: int
    last_end_number: int
    least_clock_ms: int
    lease_until_ms: int | None

    @property
    def is_neutral(self):
        """Return whether it gives no lease and acknowledges no end.

        Any boot may get such a request.
        """
        return self.lease_until_ms is None and not self.last_end_number


@dataclass(frozen=True, slots=True)
class StartOnWorker:
    """An effect: start a run on a boot of the worker, under a lease.

    Attributes
    ----------
    lease_until_ms : int
        Time at which the lease expires, on the worker's clock.
    least_clock_ms : int
        What the clock of the boot showed before.
    """

    boot: tuple[str, int]
    key: tuple[str, int]
    run: Run
    lease_until_ms: int
    fencing_token: int
    least_clock_ms: int = 0


@dataclass(frozen=True, slots=True)
class StopOnWorker:
    """An effect: stop a run on the worker, or prevent its start."""

    task: tuple[str, int, int]
    attempt: int
    fencing_token: int


@dataclass(frozen=True, slots=True)
class RequestSnapshot:
    """An effect: request a snapshot from the worker now."""


@dataclass(frozen=True, slots=True)
class AskBoot:
    """An effect: ask a boot that reported for a snapshot, which tells whether it runs.

    The answer is handled like that to any other request for a snapshot.
    """

    report: WorkerReport
    request: SnapshotRequest


@dataclass(frozen=True, slots=True)
class StoreBoot:
    """An effect: store a boot's report for the next process of the agent."""

    boot: tuple[str, int]


@dataclass(frozen=True, slots=True)
class RequestRenewals:
    """An effect: request a renewal from every dispatcher now."""
