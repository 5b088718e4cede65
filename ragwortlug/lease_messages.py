"""Messages between dispatchers of restartable jobs and the agents that run them."""

import msgspec

from ragwortlug.codes import Code
from ragwortlug.envelope import Codec, Message, Peer, Rejected
from ragwortlug.restartable_model import (
    CrashedRun,
    Evacuations,
    Orders,
    Rank,
    Resources,
    Run,
    RunEnd,
    WorkerState,
)


class Renewal(Message):
    """Asks a dispatcher to renew its permission for runs at the sender.

    `requested_at_ms` is read from the sender's steady clock. `worker` is None if the
    agent has none. `assignment_numbers` are the receiver's assignments whose runs
    have not ended. `round_trip_ms` is the time from the sender's latest answered
    request to the receiver's answer; 0 if it is not known. `slow_share` is the share of
    the worker's recent runs that are slow; None if there are too few.
    """

    requested_at_ms: int
    worker: WorkerState | None
    assignment_numbers: tuple[int, ...] = ()
    round_trip_ms: int = 0
    slow_share: float | None = None


class Renewed(Message):
    """Renews a permission from the time `requested_at_ms` of the agent's clock.

    `entries` are the addresses of all entries known to the dispatcher, and
    `evacuations` those of the newest orders that it knows. Neither is in each renewal.
    """

    requested_at_ms: int
    entries: tuple[str, ...] = ()
    evacuations: Evacuations | None = None


class StartRuns(Message):
    """Assigns runs under the permission requested at `requested_at_ms`.

    `offer` is the number of the offer that this answers, or 0. `rank` and
    `resources` are those of the best task that still waits; `rank` is None if no
    task waits. `service` is the one that the runs are for; empty if unknown.
    """

    requested_at_ms: int
    runs: tuple[Run, ...]
    offer: int = 0
    rank: Rank | None = None
    resources: Resources = Resources()
    service: str = ""


class WorkerCrashed(Message):
    """Reports a crash of the sender's worker, with the runs that ended with it.

    `number` counts the crashes that the sender has seen. A second report of a number,
    without runs, withdraws a crash that was only suspected.
    """

    number: int
    runs: tuple[CrashedRun, ...]


class RunsEnded(Message):
    """Reports ended runs: assignment number, end and run time in milliseconds.

    `crash` is the crash of the sender's worker that ended them, or None.
    """

    ends: tuple[tuple[int, RunEnd, float], ...]
    free_resources: Resources
    crash: WorkerCrashed | None = None


class StopRuns(Message):
    """Tells an agent to stop runs, or never to start them."""

    assignment_numbers: tuple[int, ...]


class Wants(Message):
    """Gives the rank and the resources of the sender's best waiting task."""

    rank: Rank | None
    resources: Resources = Resources()


class Offer(Message):
    """Offers free resources, which the sender reserves for a short time."""

    number: int
    free_resources: Resources


class Progress(Message):
    """Reports late runs: assignment number, run time so far and remaining run time.

    Both times are in milliseconds. The remaining time is None for a stalled run.
    `counted_jobs` are the jobs that have recent runs at the worker, and `slow_jobs` the
    part of them that is slow, of all dispatchers; both 0 if they are not counted.
    """

    runs: tuple[tuple[int, float, float | None], ...]
    slow_jobs: float = 0.0
    counted_jobs: float = 0.0


class EntryState(Message):
    """Tells another entry the entries that the sender knows and its orders' revision.

    `orders` are the operators' orders in force; None unless the receiver may lack
    them.
    """

    entries: tuple[str, ...]
    revision: int
    orders: Orders | None = None


class RelayedJobs(msgspec.Struct, frozen=True, array_like=True):
    """The open jobs of an entry that announced them to another one `age_ms` ago."""

    owner: Peer
    age_ms: int
    job_ids: tuple[str, ...]


class OpenJobs(Message):
    """Announces open jobs of the sender to another entry: job id and age in ms.

    Also sent without jobs, as a sign of life. `number` counts the sender's
    announcements, so that one that arrives late is not taken for new. `stopping` are
    jobs that were given up, of which runs have not ended. `relayed` tells a new
    receiver of the jobs of others, which may have stopped since. `silent` are the
    addresses of entries whose announcements don't reach the sender directly.
    """

    number: int
    jobs: tuple[tuple[str, int], ...] = ()
    stopping: tuple[str, ...] = ()
    relayed: tuple[RelayedJobs, ...] = ()
    silent: tuple[str, ...] = ()


class RunsStopping(Message):
    """Announces a job that the sender has just given up and whose runs must end.

    The next `OpenJobs`, which has this number, lists it among those that stop, unless
    its runs have ended.
    """

    number: int
    job_id: str


class AttachRequest(Message):
    """Attaches a request at the sender to a job that the receiver may have open.

    Repeated until the request has ended. `limit_ms` is the time until the caller's
    deadline.
    """

    request_id: str
    job_id: str
    limit_ms: int


class RequestAttached(Message):
    """Says that the job is open at the sender, or that runs of it have not ended."""

    request_id: str


class AttachedRequestEnded(Message):
    """Ends an attached request with the result code of its job.

    `code` is None if the sender does not have the job and no run of it exists.
    """

    request_id: str
    code: Code | None = None
    retry_after_s: int = 0


class DetachRequest(Message):
    """Withdraws an attached request, for which no caller waits any longer."""

    request_id: str
    job_id: str


class CancelJobs(Message):
    """Tells another entry which jobs are cancelled: job id and how long to keep that.

    Repeated until `CancelsReceived` names them. The times are in milliseconds.
    """

    cancels: tuple[tuple[str, int], ...]


class CancelsReceived(Message):
    """Says which cancels the sender has applied, and keeps."""

    job_ids: tuple[str, ...]


class Relayed(Message):
    """Carries a message of one entry to another by way of an agent."""

    origin: Peer
    receiver: Peer
    body: (
        OpenJobs
        | RunsStopping
        | AttachRequest
        | RequestAttached
        | AttachedRequestEnded
        | DetachRequest
        | CancelJobs
        | CancelsReceived
        | EntryState
    )

    def is_for(self, peer):
        """Return whether a process is the receiver."""
        return self.receiver in (peer, Peer(peer.address))


CODEC = Codec(
    Renewal
    | Renewed
    | StartRuns
    | RunsEnded
    | WorkerCrashed
    | StopRuns
    | Wants
    | Offer
    | Progress
    | EntryState
    | OpenJobs
    | RunsStopping
    | AttachRequest
    | RequestAttached
    | AttachedRequestEnded
    | DetachRequest
    | CancelJobs
    | CancelsReceived
    | Relayed
    | Rejected
)
