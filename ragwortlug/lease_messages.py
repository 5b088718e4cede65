"""Messages between dispatchers of restartable jobs and the agents that run them."""

from ragwortlug.envelope import Codec, Message, Rejected
from ragwortlug.work import Orders, Rank, Room, Run, RunEnd, WorkerState


class Renewal(Message):
    """Asks a dispatcher to renew its permission for runs at the sender.

    `stamp_ms` is the sender's own steady clock; `worker` is None without one.
    `numbers` are the receiver's orders that have not ended.
    """

    stamp_ms: int
    worker: WorkerState | None
    numbers: tuple[int, ...] = ()


class Renewed(Message):
    """Renews a permission as of the agent's own stamp.

    `entries` are the addresses of all entries known to the dispatcher.
    """

    stamp_ms: int
    entries: tuple[str, ...] = ()


class StartRuns(Message):
    """Orders runs under the permission of a stamp.

    `offer` is the number of the offer that this answers, or 0. `rank` and
    `room` tell of the best task that still waits; `rank` is None without one.
    """

    stamp_ms: int
    runs: tuple[Run, ...]
    offer: int = 0
    rank: Rank | None = None
    room: Room = Room()


class RunsEnded(Message):
    """Says how runs ended: order's number, end and run time."""

    ends: tuple[tuple[int, RunEnd, float], ...]
    free: Room


class StopRuns(Message):
    """Orders an agent to stop runs, or never to start them."""

    numbers: tuple[int, ...]


class Wants(Message):
    """Says that the best waiting task of the sender needs some room."""

    rank: Rank | None
    room: Room = Room()


class Offer(Message):
    """Keeps free room for the receiver for a short time."""

    number: int
    free: Room


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
