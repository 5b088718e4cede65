"""The runner: decides which granted tasks an agent starts on its target.

This is a state machine without sockets or clocks, like the home. Every grant is
started or refused exactly once. The outcome is stored, so that a duplicate or late
grant gets the same answer and never causes a second start.
"""

import enum
from collections import OrderedDict
from dataclasses import dataclass

import msgspec

from ragwortlug.codes import Code, Verdict
from ragwortlug.envelope import Peer, Send
from ragwortlug.invariants import Invariant, check
from ragwortlug.messages import Finished, Grant, Load, Pull, Refused
from ragwortlug.policy.health import WorkerHealth

PULL_TIMEOUT_S = 1.0


class GrantKey(msgspec.Struct, frozen=True):
    """Identifies a grant by the home's process and the home's number for it."""

    home: Peer
    number: int


class StartTask(msgspec.Struct, frozen=True):
    """An effect: start the granted task on the target.

    `instance` identifies the target's process, which the grant was checked against.
    """

    key: GrantKey
    grant: Grant
    url: str
    instance: str


class StopTask(msgspec.Struct, frozen=True):
    """An effect: stop a started task on the target."""

    key: GrantKey
    url: str


class GrantState(enum.Enum):
    """What the runner did with a grant."""

    RUNNING = "running"
    REFUSED = "refused"
    ENDED = "ended"


@dataclass(slots=True)
class GrantRecord:
    """A grant that was received, or refused unseen, with the last reply about it."""

    state: GrantState
    recorded_at: float
    grant: Grant | None = None
    url: str = ""
    reply: Refused | Finished | None = None


@dataclass(slots=True)
class HomeBacklog:
    """A home's waiting tasks of one service."""

    tasks: int
    remaining_tasks: int
    waiting_since: float


class Runner:
    """The slots of one target.

    Parameters
    ----------
    own_peer : Peer
        This agent; its own home is notified of every change of the free slots.
    keep_s : float
        Seconds for which the outcome of a grant is stored.
    """

    def __init__(self, own_peer, keep_s):
        self._own_peer = own_peer
        self._keep_s = keep_s
        self._seen = OrderedDict()
        self._running = {}
        self._pulls = {}
        self._backlogs = {}
        self._announcement = None
        self._announcement_expires_at = 0.0
        self._leaving = False
        self._health = WorkerHealth()
        self._last_reported_slots = 0

    @property
    def running(self):
        """Return the number of tasks that run."""
        return len(self._running)

    @property
    def leaving(self):
        """Return whether the agent refuses new work."""
        return self._leaving

    @property
    def ejected(self):
        """Return whether the target is ejected from rotation."""
        return self._health.ejected

    def capacity(self, now):
        """Return the target's capacity, or None without a target."""
        target = self._target(now)
        return None if target is None else target.capacity

    def free_slots(self, now):
        """Return the number of slots that may be filled."""
        target = self._target(now)
        if target is None or self._leaving:
            return 0
        size = min(target.capacity.slots, target.capacity.connections)
        used = len(self._running) + len(self._pulls)
        return self._health.usable_slots(max(0, size - used), now)

    # The target.

    def on_announcement(self, announcement, now):
        """Handle the target's announcement."""
        previous = self._announcement
        if previous is None or previous.instance != announcement.instance:
            self._health = WorkerHealth()
        self._announcement = announcement
        self._announcement_expires_at = now + announcement.ttl_ms / 1000
        return self._request_work(now)

    def leave(self, now):
        """Stop accepting work; running tasks continue."""
        self._leaving = True
        return self._request_work(now)

    # Messages of homes.

    def on_grant(self, sender, grant, now):
        """Start a granted task, or refuse it permanently."""
        key = GrantKey(sender, grant.number)
        seen = self._seen.get(key)
        if seen is not None:
            return [] if seen.reply is None else [Send(sender, seen.reply)]
        self._update_backlog(sender, grant, now)
        if grant.pulled:
            self._pulls.pop((sender, grant.service), None)
        code = self._refusal_code(grant, now)
        if code is not None:
            return self._record_refusal(key, code, now) + self._request_work(now)
        target = self._target(now)
        self._seen[key] = GrantRecord(GrantState.RUNNING, now, grant, target.url)
        self._running[key] = grant
        self._health.on_started()
        size = target.capacity.slots
        check(
            Invariant.SLOTS_BOUND,
            len(self._running) <= size,
            running=len(self._running),
            slots=size,
        )
        start = StartTask(key, grant, target.url, target.instance)
        return [start, *self._request_work(now)]

    def on_waiting(self, sender, message, now):
        """Record the waiting tasks of a home."""
        self._set_backlog(
            sender, message.service, message.tasks, message.remaining_tasks, now
        )
        return self._request_work(now)

    def on_nothing(self, sender, message, now):
        """Record that a home has no waiting tasks."""
        self._pulls.pop((sender, message.service), None)
        self._backlogs.pop((sender, message.service), None)
        return self._request_work(now)

    def on_probe(self, sender, message, now):
        """Repeat the replies to grants; refuse unseen grants permanently."""
        effects = []
        for number in message.grant_numbers:
            key = GrantKey(sender, number)
            seen = self._seen.get(key)
            if seen is None:
                effects += self._record_refusal(key, Code.GRANT_UNSEEN, now)
            elif seen.reply is not None:
                effects.append(Send(sender, seen.reply))
        return effects

    def on_stop(self, sender, message, now):
        """Stop running tasks; refuse unseen grants permanently."""
        effects = []
        for number in message.grant_numbers:
            key = GrantKey(sender, number)
            seen = self._seen.get(key)
            if seen is None:
                effects += self._record_refusal(key, Code.GRANT_UNSEEN, now)
            elif seen.state is GrantState.RUNNING:
                effects.append(StopTask(key, seen.url))
        return effects

    # Events.

    def on_start_failed(self, key, code, now):
        """Record that a task was not started and never will be."""
        self._remove_running(key)
        self._health.on_start_failed()
        return self._record_refusal(key, code, now) + self._request_work(now)

    def on_task_ended(self, key, code, result, detail, run_ms, now):
        """Record how a started task ended."""
        self._remove_running(key)
        if Code(code).verdict is Verdict.DONE:
            self._health.on_succeeded()
        elif code != Code.STOPPED:
            self._health.on_failed(now)
        effects = self._request_work(now)
        reply = Finished(
            key.number, int(code), result, detail, run_ms, self.free_slots(now)
        )
        self._seen[key] = GrantRecord(GrantState.ENDED, now, reply=reply)
        self._seen.move_to_end(key)
        return [Send(key.home, reply), *effects]

    def tick(self, now):
        """Remove unanswered pulls and old grants."""
        for key in [key for key, expires_at in self._pulls.items() if expires_at < now]:
            del self._pulls[key]
        while self._seen:
            key, seen = next(iter(self._seen.items()))
            if (
                seen.state is GrantState.RUNNING
                or seen.recorded_at + self._keep_s > now
            ):
                break
            del self._seen[key]
        return self._request_work(now)

    def started_tasks(self):
        """Return the key, the grant and the target's URL of each running task."""
        return [
            (key, grant, self._seen[key].url) for key, grant in self._running.items()
        ]

    def _target(self, now):
        """Return the announcement in force, or None."""
        target = self._announcement
        if target is None or target.leaving or now >= self._announcement_expires_at:
            return None
        return target

    def _refusal_code(self, grant, now):
        """Return the code with which a grant is refused, or None."""
        target = self._target(now)
        if self._leaving or target is None:
            return Code.AGENT_LEAVING
        if grant.service not in target.capacity.services:
            return Code.AGENT_LEAVING
        if self.free_slots(now) < 1 or not self._fits(grant, target):
            return Code.NO_FREE_SLOT
        return None

    def _fits(self, grant, target):
        """Return whether a task fits beside the declared sizes of those that run."""
        running = self._running.values()
        used_mb = sum(task.memory_mb for task in running)
        memory_mb = max(used_mb, target.usage.memory_mb if running else 0)
        cpus = sum(task.cpus for task in running)
        accelerators = sum(task.accelerators for task in running)
        return (
            (
                not grant.memory_mb
                or memory_mb + grant.memory_mb <= target.capacity.memory_mb
            )
            and cpus + grant.cpus <= max(target.capacity.cpus, cpus)
            and accelerators + grant.accelerators
            <= max(target.capacity.accelerators, accelerators)
        )

    def _record_refusal(self, key, code, now):
        """Record a permanent refusal and return the effects that report it."""
        reply = Refused(key.number, int(code), self.free_slots(now))
        if code == Code.NO_FREE_SLOT:
            seen = self._seen.get(key)
            check(Invariant.START_ONCE, seen is None, key=key)
        self._seen[key] = GrantRecord(GrantState.REFUSED, now, reply=reply)
        return [Send(key.home, reply)]

    def _remove_running(self, key):
        """Remove a running task, which frees its slot."""
        grant = self._running.pop(key, None)
        check(Invariant.START_ONCE, grant is not None, key=key)

    # Waiting tasks of homes.

    def _update_backlog(self, sender, grant, now):
        """Update a home's backlog from one of its grants."""
        if grant.pulled:
            self._set_backlog(
                sender, grant.service, grant.waiting, grant.remaining_tasks, now
            )
        elif self.free_slots(now) < 1:
            self._set_backlog(sender, grant.service, 1, grant.remaining_tasks or 1, now)

    def _set_backlog(self, sender, service, tasks, remaining_tasks, now):
        """Set or remove the backlog of a home."""
        key = (sender, service)
        if tasks > 0:
            previous = self._backlogs.get(key)
            waiting_since = now if previous is None else previous.waiting_since
            self._backlogs[key] = HomeBacklog(tasks, remaining_tasks, waiting_since)
        else:
            self._backlogs.pop(key, None)

    def _request_work(self, now):
        """Pull tasks for free slots; report a changed slot count to the own home."""
        effects = []
        while self.free_slots(now) > 0:
            key = self._next_home_to_ask(now)
            if key is None:
                break
            self._pulls[key] = now + PULL_TIMEOUT_S
            home, service = key
            effects.append(Send(home, Pull(service, self.free_slots(now))))
        free_slots = self.free_slots(now)
        if free_slots != self._last_reported_slots:
            self._last_reported_slots = free_slots
            effects.append(Send(self._own_peer, Load(free_slots)))
        return effects

    def _next_home_to_ask(self, now):
        """Return the home and service to pull from next, or None.

        The fewest remaining tasks come first, then the longest wait.
        """
        target = self._target(now)
        candidates = [
            (backlog.remaining_tasks, backlog.waiting_since, key)
            for key, backlog in self._backlogs.items()
            if key not in self._pulls and key[1] in target.capacity.services
        ]
        return min(candidates, key=lambda entry: entry[:2])[2] if candidates else None
