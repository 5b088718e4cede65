"""What a dispatcher knows of each agent's worker, and which one it chooses.

Placing answers for two things: workers differ in speed, so the fastest with room
goes first; and a worker that fails or stalls what it starts would attract work
like an idle one, so it rests and then has to prove itself with one task.
"""

import heapq
from dataclasses import dataclass, field

from ragwortlug.envelope import Peer
from ragwortlug.policy.health import WorkerHealth
from ragwortlug.work import Room, WorkerState

MS_PER_S = 1000.0
FAILURES_TO_REST = 2
SPEED_WEIGHT = 0.1
STALL_WEIGHT = 0.3
SLOWEST_RATIO = 4.0
LOAD_PENALTY = 0.15
TIE_BREAK = 0.02
IN_FLIGHT_S = 0.006
UNHEARD_AFTER_S = 0.4
ENTRIES_EVERY_S = 2.0


@dataclass(slots=True)
class Worker:
    """One agent and its worker, as a dispatcher sees them.

    Attributes
    ----------
    stamp_ms : int
        The agent's clock in its latest request for a renewal.
    heard_at, renewed_at : float
        Monotonic seconds of the latest message, and of the latest renewal.
    ratio : float
        Run times here over those expected of an average worker.
    out : dict
        Orders that have not ended: number to the time of the order.
    told, told_at : bool, float
        Whether the agent has been told that work waits, and when last.
    entries, entries_at : tuple of str, float
        The addresses of entries that it was told, and when last.
    """

    peer: Peer
    state: WorkerState | None
    stamp_ms: int
    heard_at: float
    renewed_at: float
    free: Room = field(default_factory=Room)
    ratio: float = 1.0
    out: dict = field(default_factory=dict)
    recent: list = field(default_factory=list)
    health: WorkerHealth = field(default_factory=lambda: WorkerHealth(FAILURES_TO_REST))
    told: bool = False
    told_at: float = 0.0
    entries: tuple = ()
    entries_at: float = float("-inf")

    @property
    def accepting(self):
        """Return whether its worker takes runs."""
        return self.state is not None and self.state.accepting

    def reported_free(self, free, now):
        """Take the agent's word on its room, less what it can't have seen yet."""
        self.recent = [each for each in self.recent if now - each[0] < IN_FLIGHT_S]
        for _, room in self.recent:
            free = free - room
        self.free = free

    def unknown_entries(self, entries, now):
        """Return the addresses of all entries if the agent may not know them, or ().

        They are told again after a while, since a message may be lost.
        """
        known = self.entries == entries
        if known and now - self.entries_at < ENTRIES_EVERY_S:
            return ()
        self.entries = entries
        self.entries_at = now
        return entries

    def unheard_of(self, numbers, now):
        """Return the orders that the agent should know of, but does not."""
        known = set(numbers)
        return tuple(
            number
            for number, at in self.out.items()
            if number not in known and now - at > UNHEARD_AFTER_S
        )

    def ordered(self, number, room, now):
        """Take note of an order sent."""
        self.out[number] = now
        self.recent.append((now, room))
        self.free = self.free - room
        self.health.started()


class Workers:
    """All agents that a dispatcher knows.

    Parameters
    ----------
    settings : RestartSettings
        How long an agent's silence is borne.
    rng : random.Random
        Breaks ties, so that dispatchers differ.
    """

    def __init__(self, settings, rng):
        self._settings = settings
        self._rng = rng
        self._known = {}
        self.evacuated = frozenset()

    def __iter__(self):
        """Iterate over all known workers."""
        return iter(tuple(self._known.values()))

    def get(self, incarnation):
        """Return a worker by its agent's incarnation, or None."""
        return self._known.get(incarnation)

    def renewal(self, sender, message, now):
        """Take a request for a renewal; return the worker."""
        worker = self._known.get(sender.incarnation)
        if worker is None:
            worker = Worker(sender, message.worker, message.stamp_ms, now, now)
            self._known[sender.incarnation] = worker
        worker.state = message.worker
        worker.stamp_ms = message.stamp_ms
        worker.heard_at = now
        worker.renewed_at = now
        if message.worker is not None:
            worker.reported_free(message.worker.free, now)
        return worker

    def lost(self, now):
        """Forget the workers whose permissions must have ended; return them.

        An agent counts its permission from when it asked, which was before the
        renewal was sent, so none of its runs outlives this.
        """
        limit_s = self._settings.orphan_ms / MS_PER_S
        gone = [
            each for each in self._known.values() if now - each.renewed_at > limit_s
        ]
        for worker in gone:
            del self._known[worker.peer.incarnation]
        return gone

    def serving(self, service, now):
        """Return the workers that may be sent runs of a service."""
        return [
            each
            for each in self._known.values()
            if each.accepting
            and each.state.service == service
            and each.state.data_centre not in self.evacuated
            and self._in_touch(each, now)
        ]

    def told_longest_ago(self, service, count, now):
        """Return those of the serving workers that heard least lately of work."""
        serving = self.serving(service, now)
        return heapq.nsmallest(count, serving, key=lambda each: each.told_at)

    def could_ever_hold(self, service, room, label):
        """Return whether some worker known is large enough, or none is known."""
        states = [
            each.state
            for each in self._known.values()
            if each.state is not None and each.state.service == service
        ]
        return not states or any(
            each.capacity.holds(room) and (not label or label in each.labels)
            for each in states
        )

    def choose(self, service, room, label, avoided, now):
        """Return the worker to send a run to, or None if none has room.

        Parameters
        ----------
        avoided : container of str
            Incarnations of agents whose worker failed this task before; they are
            taken only if no other serves.
        """
        fitting = [
            each
            for each in self.serving(service, now)
            if (not label or label in each.state.labels)
            and each.free.holds(room)
            and each.health.slots(1, now)
        ]
        others = [each for each in fitting if each.peer.incarnation not in avoided]
        return min(others or fitting, key=self._cost, default=None)

    def learn_speed(self, worker, ratio, weight=SPEED_WEIGHT):
        """Take one run's time over its expected time."""
        ratio = min(ratio, SLOWEST_RATIO)
        worker.ratio += weight * (ratio - worker.ratio)

    def _in_touch(self, worker, now):
        """Return whether the agent was heard lately."""
        return now - worker.heard_at < self._settings.suspect_ms / MS_PER_S

    def _cost(self, worker):
        """Return how long a run takes there, roughly; the least is chosen."""
        capacity = worker.state.capacity.cpu or 1
        used = 1.0 - worker.free.cpu / capacity
        noise = TIE_BREAK * self._rng.random()
        return worker.ratio * (1.0 + LOAD_PENALTY * used) + noise
