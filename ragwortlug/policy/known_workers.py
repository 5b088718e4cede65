"""A dispatcher's record of each agent's worker, and the choice of one for a run.

Workers differ in speed, so the fastest one with free resources is chosen. A worker
whose runs fail or stall would attract work like an idle one, so it is ejected for a
time and then gets one probe task first.
"""

import heapq
import statistics
from dataclasses import dataclass, field

from ragwortlug.envelope import Peer
from ragwortlug.policy.health import WorkerHealth
from ragwortlug.restartable_model import Resources, WorkerState

MS_PER_S = 1000.0
FAILURES_TO_EJECT = 2
# Weight of the newest sample in a worker's mean slowdown: a run that ended, and a run
# that was stopped because it was slow.
SLOWDOWN_WEIGHT = 0.1
STALL_WEIGHT = 0.3
MAX_SLOWDOWN = 4.0
# A slowdown not measured for the first time loses half of its excess in the second.
SLOWDOWN_VALID_S = 2.0
SLOWDOWN_HALF_LIFE_S = 5.0
# Relative increase of the run time on a fully used worker.
LOAD_PENALTY = 0.15
# Random cost that breaks ties between workers.
MAX_NOISE = 0.02
# A report of free resources may not include runs that were assigned this recently.
IN_FLIGHT_S = 0.006
# An assignment that the agent does not list after this time counts as missing.
MISSING_AFTER_S = 0.4
REPEAT_INTERVAL_S = 2.0
# Weight of the newest sample in the mean downtime of workers.
DOWNTIME_WEIGHT = 0.3


@dataclass(slots=True)
class RepeatedValue:
    """A value that is sent when it has changed, and repeated in case a copy is lost.

    Attributes
    ----------
    value : object
        The value last sent.
    sent_at : float
        Monotonic seconds.
    """

    value: object = None
    sent_at: float = float("-inf")

    def is_due(self, value, now):
        """Return whether a value must be sent now, which counts as done."""
        if self.value == value and now - self.sent_at < REPEAT_INTERVAL_S:
            return False
        self.value = value
        self.sent_at = now
        return True


@dataclass(slots=True)
class KnownWorker:
    """The state of one agent and its worker, as known to a dispatcher.

    Attributes
    ----------
    state : WorkerState or None
        What the agent last reported of its worker.
    requested_at_ms : int
        The agent's clock in its latest request for a renewal.
    last_contact_at, renewed_at : float
        Monotonic seconds of the latest message, and of the latest renewal.
    free_resources : Resources
        Resources believed to be free.
    slowdown, slowdown_updated_at : float
        Ratio of run times on this worker to those of an average worker, and the
        monotonic seconds of its latest change.
    outstanding : dict
        Assignments that have not ended: number to monotonic seconds at which each
        was sent.
    recent_assignments : list of (float, Resources)
        Recent assignments: monotonic seconds and required resources.
    notified, notified_at : bool, float
        Whether the agent was notified that work waits, and when it last was.
    round_trip_ms : int
        How long the agent's latest renewal took; 0 if unknown.
    slow_share : float or None
        Share of the worker's recent runs that are slow, as the agent last reported.
    sent_entries, sent_evacuations : RepeatedValue
        The addresses of entries and the evacuations last sent to the agent.
    unavailable_since : float or None
        Monotonic seconds at which the worker ceased to accept runs.
    """

    peer: Peer
    state: WorkerState | None
    requested_at_ms: int
    last_contact_at: float
    renewed_at: float
    free_resources: Resources = field(default_factory=Resources)
    slowdown: float = 1.0
    slowdown_updated_at: float = 0.0
    outstanding: dict = field(default_factory=dict)
    recent_assignments: list = field(default_factory=list)
    health: WorkerHealth = field(
        default_factory=lambda: WorkerHealth(FAILURES_TO_EJECT)
    )
    notified: bool = False
    notified_at: float = 0.0
    round_trip_ms: int = 0
    slow_share: float | None = None
    sent_entries: RepeatedValue = field(default_factory=RepeatedValue)
    sent_evacuations: RepeatedValue = field(default_factory=RepeatedValue)
    unavailable_since: float | None = None

    @property
    def accepting(self):
        """Return whether its worker accepts runs."""
        return self.state is not None and self.state.accepting

    def can_start(self, resources, label, now):
        """Return whether a run that needs a label is believed to fit now."""
        return (
            (not label or label in self.state.labels)
            and self.free_resources.can_fit(resources)
            and self.health.usable_slots(1, now) > 0
        )

    def is_away(self, now, limit_s):
        """Return whether its worker has not accepted runs for over `limit_s`."""
        since = self.unavailable_since
        return since is not None and now - since > limit_s

    def on_free_reported(self, free_resources, now):
        """Update the free resources from a report.

        Assignments that the report can't include yet are subtracted.
        """
        self.recent_assignments = [
            assignment
            for assignment in self.recent_assignments
            if now - assignment[0] < IN_FLIGHT_S
        ]
        for _, resources in self.recent_assignments:
            free_resources = free_resources - resources
        self.free_resources = free_resources

    def entries_to_send(self, entries, now):
        """Return the addresses of all entries if they are due to be sent, or ()."""
        return entries if self.sent_entries.is_due(entries, now) else ()

    def evacuations_to_send(self, evacuations, now):
        """Return the evacuations if they are due to be sent, or None."""
        return evacuations if self.sent_evacuations.is_due(evacuations, now) else None

    def missing_assignments(self, numbers, now):
        """Return the outstanding assignments that are missing in the agent's list.

        Parameters
        ----------
        numbers : iterable of int
            The assignments that the agent lists.
        now : float
            Monotonic seconds.

        Returns
        -------
        tuple of int
            Numbers of the missing assignments. Assignments sent less than
            `MISSING_AFTER_S` ago are left out, since they may not have arrived.
        """
        listed = set(numbers)
        return tuple(
            number
            for number, assigned_at in self.outstanding.items()
            if number not in listed and now - assigned_at > MISSING_AFTER_S
        )

    def on_demand_sent(self, rank, now):
        """Record that the agent was sent the rank of the best waiting task, or None."""
        self.notified = rank is not None
        if self.notified:
            self.notified_at = now

    def on_assigned(self, number, resources, now):
        """Record an assignment that was sent."""
        self.outstanding[number] = now
        self.recent_assignments.append((now, resources))
        self.free_resources = self.free_resources - resources
        self.health.on_started()


class KnownWorkers:
    """The agents known to a dispatcher, with their workers.

    Parameters
    ----------
    settings : RestartSettings
        Gives the time after which a silent agent is suspected, and the time after
        which its permission has expired.
    rng : random.Random
        Breaks ties differently on each dispatcher.
    """

    def __init__(self, settings, rng):
        self._settings = settings
        self._rng = rng
        self._workers = {}
        self._downtime_s = None
        self.evacuated = frozenset()

    @property
    def downtime_s(self):
        """Return the mean seconds for which workers are away, or None if unknown."""
        return self._downtime_s

    def __iter__(self):
        """Iterate over all known workers."""
        return iter(tuple(self._workers.values()))

    def get(self, incarnation):
        """Return a worker by its agent's incarnation, or None."""
        return self._workers.get(incarnation)

    def on_renewal(self, sender, message, now):
        """Record an agent's request for a renewal; return its `KnownWorker`."""
        worker = self._workers.get(sender.incarnation)
        if worker is None:
            worker = KnownWorker(
                sender, message.worker, message.requested_at_ms, now, now
            )
            self._workers[sender.incarnation] = worker
        worker.state = message.worker
        worker.requested_at_ms = message.requested_at_ms
        worker.last_contact_at = now
        worker.renewed_at = now
        worker.round_trip_ms = message.round_trip_ms
        worker.slow_share = message.slow_share
        self._update_availability(worker, now)
        if message.worker is not None:
            worker.on_free_reported(message.worker.free_resources, now)
        return worker

    def _update_availability(self, worker, now):
        """Record when a worker ceases to accept runs, and for how long it is away."""
        if not worker.accepting:
            if worker.unavailable_since is None:
                worker.unavailable_since = now
            return
        if worker.unavailable_since is not None:
            downtime_s = now - worker.unavailable_since
            if self._downtime_s is None:
                self._downtime_s = downtime_s
            self._downtime_s += DOWNTIME_WEIGHT * (downtime_s - self._downtime_s)
            worker.unavailable_since = None

    def is_in_service(self, worker):
        """Return whether the operators let runs start in the worker's data centre.

        Its agent may know of an evacuation that this dispatcher has not learned of.
        """
        state = worker.state
        return state is None or (
            state.in_service and state.data_centre not in self.evacuated
        )

    def all_evacuated(self, now):
        """Return whether the workers in contact are all where no run may start.

        False if no worker is in contact.
        """
        in_contact = [
            worker
            for worker in self._workers.values()
            if worker.state is not None and self._is_recently_contacted(worker, now)
        ]
        return bool(in_contact) and not any(map(self.is_in_service, in_contact))

    def remove_expired(self, now):
        """Remove the workers whose permissions must have expired; return them.

        An agent counts the duration of its permission from its request, which
        precedes the renewal, so none of its runs continues after this time.
        """
        limit_s = self._settings.orphan_ms / MS_PER_S
        expired = [
            worker
            for worker in self._workers.values()
            if now - worker.renewed_at > limit_s
        ]
        for worker in expired:
            del self._workers[worker.peer.incarnation]
        return expired

    def hears_any(self, now):
        """Return whether an agent's permission may be valid."""
        limit_s = self._settings.orphan_ms / MS_PER_S
        return any(
            now - worker.last_contact_at <= limit_s for worker in self._workers.values()
        )

    def median_round_trip_s(self, now):
        """Return the median duration of the agents' renewals in seconds, or 0.

        Agents without recent contact are left out.
        """
        round_trips = [
            worker.round_trip_ms
            for worker in self._workers.values()
            if self._is_recently_contacted(worker, now)
        ]
        return statistics.median(round_trips) / MS_PER_S if round_trips else 0.0

    def serving(self, service, now):
        """Return the workers that runs of a service may be assigned to."""
        return [
            worker
            for worker in self._workers.values()
            if worker.accepting
            and worker.state.service == service
            and self.is_in_service(worker)
            and self._is_recently_contacted(worker, now)
        ]

    def sample_agents(self, count, now):
        """Return up to `count` random agents in contact of each data centre, a list."""
        by_data_centre = {}
        for worker in self._workers.values():
            if worker.state is not None and self._is_recently_contacted(worker, now):
                peers = by_data_centre.setdefault(worker.state.data_centre, [])
                peers.append(worker.peer)
        return [
            peer
            for peers in by_data_centre.values()
            for peer in self._rng.sample(peers, min(count, len(peers)))
        ]

    def least_recently_notified(self, service, count, now):
        """Return the `count` serving workers that were notified the longest ago."""
        serving = self.serving(service, now)
        return heapq.nsmallest(count, serving, key=lambda worker: worker.notified_at)

    def can_ever_fit(self, service, resources, label):
        """Return whether a known worker of the service has the label and the size.

        True also if no worker of the service is known.
        """
        states = [
            worker.state
            for worker in self._workers.values()
            if worker.state is not None and worker.state.service == service
        ]
        return not states or any(
            state.capacity.can_fit(resources) and (not label or label in state.labels)
            for state in states
        )

    def choose(self, service, resources, label, excluded_agents, now, avoided=()):
        """Return the worker to assign a run to, or None if the run fits on none.

        Parameters
        ----------
        excluded_agents : container of str
            Incarnations of agents whose worker failed this task before; they are
            chosen only if the run fits on no other worker.
        avoided : container of str
            Incarnations of agents that are never chosen.
        """
        fitting = [
            worker
            for worker in self.serving(service, now)
            if worker.peer.incarnation not in avoided
            and worker.can_start(resources, label, now)
        ]
        preferred = [
            worker
            for worker in fitting
            if worker.peer.incarnation not in excluded_agents
        ]
        return min(preferred or fitting, key=self._cost, default=None)

    def update_slowdown(self, worker, slowdown, now, weight=SLOWDOWN_WEIGHT):
        """Add the ratio of one run's time to its expected time to the worker's mean."""
        slowdown = min(slowdown, MAX_SLOWDOWN)
        worker.slowdown += weight * (slowdown - worker.slowdown)
        worker.slowdown_updated_at = now

    def expire_slowdowns(self, now):
        """Let slowdowns that are no longer measured approach 1.

        A worker that is avoided because it was slow gets no runs that show otherwise.
        """
        for worker in self._workers.values():
            elapsed_s = now - worker.slowdown_updated_at - SLOWDOWN_VALID_S
            if elapsed_s > 0.0:
                fading = 0.5 ** (elapsed_s / SLOWDOWN_HALF_LIFE_S)
                worker.slowdown = 1.0 + fading * (worker.slowdown - 1.0)
                worker.slowdown_updated_at = now - SLOWDOWN_VALID_S

    def _is_recently_contacted(self, worker, now):
        """Return whether the latest message of the agent is recent enough."""
        return now - worker.last_contact_at < self._settings.suspect_ms / MS_PER_S

    def _cost(self, worker):
        """Return the approximate relative run time on a worker, with random noise."""
        capacity = worker.state.capacity.cpu or 1
        used_fraction = 1.0 - worker.free_resources.cpu / capacity
        noise = MAX_NOISE * self._rng.random()
        return worker.slowdown * (1.0 + LOAD_PENALTY * used_fraction) + noise
