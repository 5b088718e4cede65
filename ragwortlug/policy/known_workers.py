"""What a dispatcher knows of each agent's worker, and which one it chooses.

Placing answers for two things: workers differ in speed, so the fastest with room
goes first; and a worker that fails or stalls what it starts would attract work
like an idle one, so it rests and then has to prove itself with one task.
"""

import heapq
from dataclasses import dataclass, field

from ragwortlug.envelope import Peer
from ragwortlug.policy.health import WorkerHealth
from ragwortlug.restartable_model import Resources, WorkerState

MS_PER_S = 1000.0
FAILURES_TO_EJECT = 2
SLOWDOWN_WEIGHT = 0.1
STALL_WEIGHT = 0.3
MAX_SLOWDOWN = 4.0
LOAD_PENALTY = 0.15
TIE_BREAK = 0.02
IN_FLIGHT_S = 0.006
UNHEARD_AFTER_S = 0.4
ENTRIES_EVERY_S = 2.0


@dataclass(slots=True)
class KnownWorker:
    """One agent and its worker, as a dispatcher sees them.

    Attributes
    ----------
    requested_at_ms : int
        The agent's clock in its latest request for a renewal.
    last_contact_at, renewed_at : float
        Monotonic seconds of the latest message, and of the latest renewal.
    slowdown : float
        Run times here over those expected of an average worker.
    outstanding : dict
        Orders that have not ended: number to the time of the order.
    notified, notified_at : bool, float
        Whether the agent has been told that work waits, and when last.
    sent_entries, entries_sent_at : tuple of str, float
        The addresses of entries that it was told, and when last.
    """

    peer: Peer
    state: WorkerState | None
    requested_at_ms: int
    last_contact_at: float
    renewed_at: float
    free_resources: Resources = field(default_factory=Resources)
    slowdown: float = 1.0
    outstanding: dict = field(default_factory=dict)
    recent: list = field(default_factory=list)
    health: WorkerHealth = field(
        default_factory=lambda: WorkerHealth(FAILURES_TO_EJECT)
    )
    notified: bool = False
    notified_at: float = 0.0
    sent_entries: tuple = ()
    entries_sent_at: float = float("-inf")

    @property
    def accepting(self):
        """Return whether its worker takes runs."""
        return self.state is not None and self.state.accepting

    def on_free_reported(self, free_resources, now):
        """Take the agent's word on its room, less what it can't have seen yet."""
        self.recent = [each for each in self.recent if now - each[0] < IN_FLIGHT_S]
        for _, resources in self.recent:
            free_resources = free_resources - resources
        self.free_resources = free_resources

    def entries_to_send(self, entries, now):
        """Return the addresses of all entries if the agent may not know them, or ().

        They are told again after a while, since a message may be lost.
        """
        known = self.sent_entries == entries
        if known and now - self.entries_sent_at < ENTRIES_EVERY_S:
            return ()
        self.sent_entries = entries
        self.entries_sent_at = now
        return entries

    def missing_assignments(self, numbers, now):
        """Return the orders that the agent should know of, but does not."""
        known = set(numbers)
        return tuple(
            number
            for number, at in self.outstanding.items()
            if number not in known and now - at > UNHEARD_AFTER_S
        )

    def on_assigned(self, number, resources, now):
        """Take note of an order sent."""
        self.outstanding[number] = now
        self.recent.append((now, resources))
        self.free_resources = self.free_resources - resources
        self.health.on_started()


class KnownWorkers:
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

    def on_renewal(self, sender, message, now):
        """Take a request for a renewal; return the worker."""
        worker = self._known.get(sender.incarnation)
        if worker is None:
            worker = KnownWorker(
                sender, message.worker, message.requested_at_ms, now, now
            )
            self._known[sender.incarnation] = worker
        worker.state = message.worker
        worker.requested_at_ms = message.requested_at_ms
        worker.last_contact_at = now
        worker.renewed_at = now
        if message.worker is not None:
            worker.on_free_reported(message.worker.free_resources, now)
        return worker

    def remove_expired(self, now):
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

    def least_recently_notified(self, service, count, now):
        """Return those of the serving workers that heard least lately of work."""
        serving = self.serving(service, now)
        return heapq.nsmallest(count, serving, key=lambda each: each.notified_at)

    def can_ever_fit(self, service, resources, label):
        """Return whether some worker known is large enough, or none is known."""
        states = [
            each.state
            for each in self._known.values()
            if each.state is not None and each.state.service == service
        ]
        return not states or any(
            each.capacity.can_fit(resources) and (not label or label in each.labels)
            for each in states
        )

    def choose(self, service, resources, label, excluded_agents, now):
        """Return the worker to send a run to, or None if none has room.

        Parameters
        ----------
        excluded_agents : container of str
            Incarnations of agents whose worker failed this task before; they are
            taken only if no other serves.
        """
        fitting = [
            each
            for each in self.serving(service, now)
            if (not label or label in each.state.labels)
            and each.free_resources.can_fit(resources)
            and each.health.usable_slots(1, now)
        ]
        others = [
            each for each in fitting if each.peer.incarnation not in excluded_agents
        ]
        return min(others or fitting, key=self._cost, default=None)

    def update_slowdown(self, worker, slowdown, weight=SLOWDOWN_WEIGHT):
        """Take one run's time over its expected time."""
        slowdown = min(slowdown, MAX_SLOWDOWN)
        worker.slowdown += weight * (slowdown - worker.slowdown)

    def _in_touch(self, worker, now):
        """Return whether the agent was heard lately."""
        return now - worker.last_contact_at < self._settings.suspect_ms / MS_PER_S

    def _cost(self, worker):
        """Return how long a run takes there, roughly; the least is chosen."""
        capacity = worker.state.capacity.cpu or 1
        used = 1.0 - worker.free_resources.cpu / capacity
        noise = TIE_BREAK * self._rng.random()
        return worker.slowdown * (1.0 + LOAD_PENALTY * used) + noise
