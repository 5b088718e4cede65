"""Messages between dispatchers of restartable jobs and the agents that run them."""

from ragwortlug.envelope import Codec, Message, Rejected
from ragwortlug.restartable_model import (
    Orders,
    Rank,
    Resources,
    Run,
    RunEnd,
    WorkerState,
)


class Renewal(Message):
    """Asks a dispatcher to renew its permission for runs at the sender.

    `requested_at_ms` is the sender's own steady clock; `worker` is None without one.
    `assignment_numbers` are the receiver's orders that have not ended.
    """

    requested_at_ms: int
    worker: WorkerState | None
    assignment_numbers: tuple[int, ...] = ()


class Renewed(Message):
    """Renews a permission as of the agent's own stamp.

    `entries` are the addresses of all entries known to the dispatcher.
    """

    requested_at_ms: int
    entries: tuple[str, ...] = ()


class StartRuns(Message):
    """Orders runs under the permission of a stamp.

    `offer` is the number of the offer that this answers, or 0. `rank` and
    `resources` tell of the best task that still waits; `rank` is None without one.
    """

    requested_at_ms: int
    runs: tuple[Run, ...]
    offer: int = 0
    rank: Rank | None = None
    resources: Resources = Resources()


class RunsEnded(Message):
    """Says how runs ended: order's number, end and run time."""

    ends: tuple[tuple[int, RunEnd, float], ...]
    free_resources: Resources


class StopRuns(Message):
    """Orders an agent to stop runs, or never to start them."""

    assignment_numbers: tuple[int, ...]


class Wants(Message):
    """Says that the best waiting task of the sender needs some room."""

    rank: Rank | None
    resources: Resources = Resources()


class Offer(Message):
    """Keeps free room for the receiver for a short time."""

    number: int
    free_resources: Resources


class Progress(Message):
    """Tells of late runs: order's number, run time so far and rest.

    Both are in milliseconds; the rest is None of a run that stands still.
    """

    runs: tuple[tuple[int, float, float | None], ...]


class EntryState(Message):
    """Tells another entry of this one, and of the orders in force.

    `orders` is None unless the receiver may lack them.
    """

    entries: tuple[str, ...]
    revision: int
    orders: Orders | None = None


CODEC = Codec(
    Renewal
    | Renewed
    | StartRuns
    | RunsEnded
    | StopRuns
    | Wants
    | Offer
    | Progress
    | EntryState
    | Rejected
)
