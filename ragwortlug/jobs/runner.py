"""The runner: which granted tasks an agent starts on its target, and which not.

A state machine without sockets or clocks, like the home. Every grant is either
started or refused, once; its fate is kept, so that a doubled or late grant gets
the same answer again and never a second start.
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
    """Names a grant: the home's process and the home's number."""

    home: Peer
    number: int


class StartTask(msgspec.Struct, frozen=True):
    """An effect: the granted task is to be started on the target."""

    key: GrantKey
    grant: Grant
    url: str


class StopTask(msgspec.Struct, frozen=True):
    """An effect: a started task is to be stopped on the target."""

    key: GrantKey
    url: str


class GrantState(enum.Enum):
    """What the runner did with a grant."""

    RUNNING = "running"
    REFUSED = "refused"
    ENDED = "ended"


@dataclass(slots=True)
class GrantRecord:
    """A grant that was seen, with the last message about it."""

    state: GrantState
    at: float
    grant: Grant | None = None
    url: str = ""
    reply: Refused | Finished | None = None


@dataclass(slots=True)
class HomeBacklog:
    """A home where work waits."""

    tasks: int
    remaining_tasks: int
    since: float


class Runner:
    """The slots of one target.

    Parameters
    ----------
    own_peer : Peer
        This agent; its own home is told of every change of the free slots.
    keep_s : float
        How long the fate of a grant is kept.
    """

    def __init__(self, own_peer, keep_s):
        self._own_peer = own_peer
        self._keep_s = keep_s
        self._seen = OrderedDict()
        self._running = {}
        self._pulls = {}
        self._waiting = {}
        self._announcement = None
        self._expires = 0.0
        self._leaving = False
        self._health = WorkerHealth()
        self._last_reported_slots = 0

    @property
    def running(self):
        """Return the number of tasks that run."""
        return len(self._running)

    @property
    def leaving(self):
        """Return whether the agent takes no more work."""
        return self._leaving

    @property
    def ejected(self):
        """Return whether the target is out of rotation."""
        return self._health.ejected

    def capacity(self, now):
        """Return what the target offers, or None without a target."""
        target = self._target(now)
        return None if target is None else target.capacity

    def free_slots(self, now):
        """Return the number of slots that may be filled."""
        target = self._target(now)
        if target is None or self._leaving:
            return 0
        size = min(target.capacity.slots, target.capacity.connections)
        taken = len(self._running) + len(self._pulls)
        return self._health.usable_slots(max(0, size - taken), now)

    # The target.

    def on_announcement(self, announcement, now):
        """Take the target's announcement."""
        known = self._announcement
        if known is None or known.instance != announcement.instance:
            self._health = WorkerHealth()
        self._announcement = announcement
        self._expires = now + announcement.ttl_ms / 1000
        return self._fill(now)

    def leave(self, now):
        """Take no more work; what runs goes on."""
        self._leaving = True
        return self._fill(now)

    # Messages of homes.

    def on_grant(self, sender, grant, now):
        """Start a granted task, or refuse it for good."""
        key = GrantKey(sender, grant.number)
        seen = self._seen.get(key)
        if seen is not None:
            return [] if seen.reply is None else [Send(sender, seen.reply)]
        self._note_waiting(sender, grant, now)
        if grant.pulled:
            self._pulls.pop((sender, grant.service), None)
        code = self._refusal(grant, now)
        if code is not None:
            return self._refuse(key, code, now) + self._fill(now)
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
        return [StartTask(key, grant, target.url), *self._fill(now)]

    def on_waiting(self, sender, message, now):
        """Take note that work waits at a home."""
        self._set_waiting(
            sender, message.service, message.tasks, message.remaining_tasks, now
        )
        return self._fill(now)

    def on_nothing(self, sender, message, now):
        """Take note that no work waits at a home any more."""
        self._pulls.pop((sender, message.service), None)
        self._waiting.pop((sender, message.service), None)
        return self._fill(now)

    def on_probe(self, sender, message, now):
        """Answer for grants; one never seen is refused for good."""
        effects = []
        for number in message.grant_numbers:
            key = GrantKey(sender, number)
            seen = self._seen.get(key)
            if seen is None:
                effects += self._refuse(key, Code.GRANT_UNSEEN, now)
            elif seen.reply is not None:
                effects.append(Send(sender, seen.reply))
        return effects

    def on_stop(self, sender, message, now):
        """Stop tasks that run; refuse for good those not seen yet."""
        effects = []
        for number in message.grant_numbers:
            key = GrantKey(sender, number)
            seen = self._seen.get(key)
            if seen is None:
                effects += self._refuse(key, Code.GRANT_UNSEEN, now)
            elif seen.state is GrantState.RUNNING:
                effects.append(StopTask(key, seen.url))
        return effects

    # Events.

    def on_start_failed(self, key, code, now):
        """Record that a start did not come about, and never will."""
        self._end_running(key)
        self._health.on_start_failed()
        return self._refuse(key, code, now) + self._fill(now)

    def on_task_ended(self, key, code, result, detail, run_ms, now):
        """Record how a started task ended."""
        self._end_running(key)
        if Code(code).verdict is Verdict.DONE:
            self._health.on_succeeded()
        elif code != Code.STOPPED:
            self._health.on_failed(now)
        effects = self._fill(now)
        reply = Finished(
            key.number, int(code), result, detail, run_ms, self.free_slots(now)
        )
        self._seen[key] = GrantRecord(GrantState.ENDED, now, reply=reply)
        self._seen.move_to_end(key)
        return [Send(key.home, reply), *effects]

    def tick(self, now):
        """Give up pulls without an answer and forget old grants."""
        for key in [each for each, at in self._pulls.items() if at < now]:
            del self._pulls[key]
        while self._seen:
            key, seen = next(iter(self._seen.items()))
            if seen.state is GrantState.RUNNING or seen.at + self._keep_s > now:
                break
            del self._seen[key]
        return self._fill(now)

    def started_tasks(self):
        """Return the key, the grant and the target's URL of each running task."""
        return [
            (key, grant, self._seen[key].url) for key, grant in self._running.items()
        ]

    def _target(self, now):
        """Return the announcement that is in force, or None."""
        target = self._announcement
        if target is None or target.leaving or now >= self._expires:
            return None
        return target

    def _refusal(self, grant, now):
        """Return why a grant may not start, or None."""
        target = self._target(now)
        if self._leaving or target is None:
            return Code.AGENT_LEAVING
        if grant.service not in target.capacity.services:
            return Code.AGENT_LEAVING
        if self.free_slots(now) < 1 or not self._fits(grant, target):
            return Code.NO_FREE_SLOT
        return None

    def _fits(self, grant, target):
        """Return whether the declared sizes of all running tasks leave room."""
        running = self._running.values()
        used_mb = sum(each.memory_mb for each in running)
        memory_mb = max(used_mb, target.usage.memory_mb if running else 0)
        cpus = sum(each.cpus for each in running)
        accelerators = sum(each.accelerators for each in running)
        return (
            (
                not grant.memory_mb
                or memory_mb + grant.memory_mb <= target.capacity.memory_mb
            )
            and cpus + grant.cpus <= max(target.capacity.cpus, cpus)
            and accelerators + grant.accelerators
            <= max(target.capacity.accelerators, accelerators)
        )

    def _refuse(self, key, code, now):
        """Record a refusal for good and return the message that says so."""
        reply = Refused(key.number, int(code), self.free_slots(now))
        if code == Code.NO_FREE_SLOT:
            seen = self._seen.get(key)
            check(Invariant.START_ONCE, seen is None, key=key)
        self._seen[key] = GrantRecord(GrantState.REFUSED, now, reply=reply)
        return [Send(key.home, reply)]

    def _end_running(self, key):
        """Free the slot of a task."""
        grant = self._running.pop(key, None)
        check(Invariant.START_ONCE, grant is not None, key=key)

    # Work that waits at homes.

    def _note_waiting(self, sender, grant, now):
        """Take from a grant what it says of waiting work."""
        if grant.pulled:
            self._set_waiting(
                sender, grant.service, grant.waiting, grant.remaining_tasks, now
            )
        elif self.free_slots(now) < 1:
            self._set_waiting(sender, grant.service, 1, grant.remaining_tasks or 1, now)

    def _set_waiting(self, sender, service, tasks, remaining_tasks, now):
        """Keep or drop what is known of a home's waiting work."""
        key = (sender, service)
        if tasks > 0:
            known = self._waiting.get(key)
            since = now if known is None else known.since
            self._waiting[key] = HomeBacklog(tasks, remaining_tasks, since)
        else:
            self._waiting.pop(key, None)

    def _fill(self, now):
        """Ask homes for work for each free slot; tell the own home what is left."""
        effects = []
        while self.free_slots(now) > 0:
            key = self._next_home(now)
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

    def _next_home(self, now):
        """Return the home to ask next, the one with the fewest tasks left."""
        target = self._target(now)
        asked = [
            (waiting.remaining_tasks, waiting.since, key)
            for key, waiting in self._waiting.items()
            if key not in self._pulls and key[1] in target.capacity.services
        ]
        return min(asked, key=lambda each: each[:2])[2] if asked else None
