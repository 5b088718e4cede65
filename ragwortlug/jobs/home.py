"""The home: it alone decides what of a job may start, and what may not.

This is a state machine without sockets or clocks. Each method takes one message
or event with the time at which it came, and returns the messages to send. A home
says "not run" only of a task that it has recorded as never to be granted, and
only while it is sure of its right; otherwise it says "unknown".
"""

from collections import Counter
from dataclasses import dataclass
from functools import partial

from ragwortlug.codes import Code, Verdict
from ragwortlug.invariants import Invariant, check
from ragwortlug.jobs.ledger import Ledger
from ragwortlug.jobs.record import JobRecord
from ragwortlug.messages import (
    Grant,
    Handover,
    HandoverTaken,
    Moved,
    Nothing,
    Peer,
    Probe,
    Reply,
    Send,
    Stop,
    Waiting,
    peer_of,
)
from ragwortlug.model import Answer, Capacity, TaskOutcome, birth_of
from ragwortlug.policy import quotas
from ragwortlug.policy.admission import refusal
from ragwortlug.policy.estimates import RunTimes
from ragwortlug.policy.queue import WaitingQueue
from ragwortlug.policy.stragglers import Stragglers
from ragwortlug.view.homes import bucket_of
from ragwortlug.view.roster import Member

PROBE_AFTER_S = 5.0
TELL_AGAIN_S = 1.0
BYTES_PER_MB = 1 << 20
HANDOVER_BATCH = 200


@dataclass(slots=True)
class OutGrant:
    """A grant that an agent has not answered yet."""

    record: JobRecord
    index: int
    agent: Peer
    asked_at: float


@dataclass(frozen=True, slots=True)
class Candidates:
    """The agents that may run a service, as long as the view stays the same.

    Attributes
    ----------
    members : tuple of Member
        The agents.
    by_incarnation : dict
        The same, by incarnation.
    offering : frozenset of Capacity
        What is offered, also where the service may not run now.
    slots, homes : int
        Slots of all candidates, and the number of all homes.
    """

    members: tuple[Member, ...]
    by_incarnation: dict[str, Member]
    offering: frozenset[Capacity]
    slots: int
    homes: int


class Home:
    """All jobs at home in one agent.

    Parameters
    ----------
    own : Peer
        This agent.
    view : View
        What holds; read here, kept by another part.
    placement : Placement
        Chooses agents.
    policy : PolicySettings
        Limits and order.
    settings : ViewSettings
        Window and clock skew.
    """

    def __init__(self, own, view, placement, policy, settings):
        self._own = own
        self._view = view
        self._placement = placement
        self._policy = policy
        self._window_ms = int(settings.window_s * 1000)
        self._skew_ms = settings.skew_ms
        self._records = {}
        self._ledger = Ledger(settings.window_s, policy.keep_results_mb * BYTES_PER_MB)
        self._waiters = {}
        self._grants = {}
        self._next_grant = 0
        self._running = Counter()
        self._queues = {}
        self._told = {}
        self._run_times = RunTimes()
        self._stragglers = Stragglers()
        self._granted_to = Counter()
        self._candidates = {}
        self._shares = {}
        self._handovers = {}
        self.late_replies = 0

    @property
    def open_jobs(self):
        """Return the number of jobs that are not settled."""
        return len(self._records)

    @property
    def queued_tasks(self):
        """Return the number of tasks that wait for a grant."""
        return sum(queue.waiting for queue in self._queues.values())

    @property
    def kept_answers(self):
        """Return the number of settled jobs that are kept."""
        return len(self._ledger)

    @property
    def handing_over(self):
        """Return whether an heir has not yet taken its records."""
        return bool(self._handovers)

    # Requests of entries.

    def submit(self, sender, message, now, now_ms):
        """Run a job, or attach the request to what is known of it."""
        job = message.job
        known = self._identity(job.id)
        if known is not None:
            code = self._mismatch(known, job)
            if code is not None:
                return [_reply(sender, message.request, Answer(job.id, int(code)))]
            return self._attach(sender, message.request, job.id, message.wait)
        if birth_of(job.id) < now_ms - self._window_ms:
            return [_refuse(sender, message.request, job.id, Code.ID_TOO_OLD)]
        member = self._view.homes.home(job.id)
        if member is None:
            return [_refuse(sender, message.request, job.id, Code.NO_HOME)]
        if member.incarnation != self._own.incarnation:
            moved = Moved(message.request, self._view.roster.version)
            return [Send(sender, moved)]
        own = self._own.incarnation
        settled = self._view.guard.settled(member, job.id)
        if not settled or not self._view.is_home(job.id, own):
            return [_refuse(sender, message.request, job.id, Code.HOME_CHANGING)]
        return self._admit(sender, message, now, now_ms)

    def fetch(self, sender, message):
        """Return the answer to a job, at once or when it is settled."""
        known = self._identity(message.job_id)
        if known is None:
            code = Code.NO_RECORD
        elif known[0] != message.team:
            code = Code.FOREIGN_ID
        else:
            return self._attach(sender, message.request, message.job_id, message.wait)
        return [_refuse(sender, message.request, message.job_id, code)]

    def cancel(self, sender, message, now, now_ms):
        """Drop what has not started of a job and stop what has."""
        known = self._identity(message.job_id)
        if known is None or known[0] != message.team:
            code = Code.NO_RECORD if known is None else Code.FOREIGN_ID
            return [_refuse(sender, message.request, message.job_id, code)]
        effects = self._attach(sender, message.request, message.job_id, True)
        record = self._records.get(message.job_id)
        if record is not None:
            effects += self._abandon(record, Code.CANCELLED, now, now_ms)
        return effects

    # Messages of agents.

    def pull(self, sender, message, now):
        """Grant a task for a slot that an agent keeps free."""
        self._told_of(message.service).pop(sender.incarnation, None)
        member = self._candidate(message.service, sender)
        record = None
        if member is not None and self._view.confirmed(now):
            record = self._best(message.service, member)
        if record is None:
            self._placement.learn(sender.incarnation, message.free + 1, now)
            return [Send(sender, Nothing(message.service))]
        self._placement.learn(sender.incarnation, message.free, now)
        return [self._grant(record, member, True, now)]

    def refused(self, sender, message, now):
        """Let a task wait again that an agent has recorded as not started."""
        out = self._take_grant(sender, message.number)
        if out is None:
            return []
        free = message.free
        if message.code == Code.NO_FREE_SLOT:
            self._told_of(out.record.job.service)[sender.incarnation] = now
            free = 0
        elif message.code != Code.GRANT_UNSEEN:
            free = 0
        self._placement.learn(sender.incarnation, free, now)
        out.record.take_back(out.index)
        self._update_queue(out.record)
        return self.dispatch(now)

    def finished(self, sender, message, now, now_ms):
        """Record how a task ended."""
        self._placement.learn(sender.incarnation, message.free, now)
        out = self._take_grant(sender, message.number)
        if out is None:
            return self.dispatch(now)
        if Code(message.code).verdict is Verdict.DONE:
            self._run_times.learn(out.record.job.service, message.run_ms)
            self._stragglers.learn(sender.incarnation, message.run_ms)
        outcome = TaskOutcome(message.code, message.result, message.detail)
        effects = self._end(out, outcome, now, now_ms)
        return effects + self.dispatch(now)

    def load(self, sender, message, now):
        """Take an agent's word on its free slots."""
        self._placement.learn(sender.incarnation, message.free, now)
        return self.dispatch(now)

    def take_over(self, sender, message, now_ms):
        """Keep the records of a home that leaves."""
        for job_id, team, digest, answer in message.records:
            if self._identity(job_id) is None:
                self._ledger.keep(job_id, team, digest, answer, now_ms)
        return [Send(sender, HandoverTaken(message.number))]

    def taken_over(self, message):
        """Take note that an heir keeps some records."""
        self._handovers.pop(message.number, None)
        return []

    # Events.

    def view_changed(self, now, now_ms):
        """Act on a new configuration or roster."""
        self._candidates.clear()
        self._shares.clear()
        effects = []
        lost = {each.incarnation for each in self._view.roster.members if each.lost}
        present = {each.incarnation for each in self._view.roster.present("agent")}
        self._stragglers.keep(present)
        for number, out in tuple(self._grants.items()):
            gone = out.agent.incarnation in lost - present
            if gone and number in self._grants:
                self._take_grant(out.agent, number)
                outcome = TaskOutcome(int(Code.AGENT_LOST))
                effects += self._end(out, outcome, now, now_ms)
        for record in tuple(self._records.values()):
            code = self._withdrawn(record.job)
            if not self._view.is_home(record.job.id, self._own.incarnation):
                code = Code.HOME_CHANGING
            if code is not None:
                effects += self._abandon(
                    record, code, now, now_ms, code is Code.REFUSED_BY_RULE
                )
        return effects + self.dispatch(now)

    def tick(self, now, now_ms):
        """Act on deadlines, silent agents and the window."""
        effects = []
        for queue in tuple(self._queues.values()):
            for record in tuple(queue):
                if record.deadline is not None and now >= record.deadline:
                    effects += self._abandon(
                        record, Code.DEADLINE_PASSED, now, now_ms, False
                    )
        effects += self._probe_silent(now)
        for told in self._told.values():
            for name in [each for each, at in told.items() if now - at > TELL_AGAIN_S]:
                del told[name]
        self._ledger.expire(now_ms)
        return effects + self.dispatch(now)

    def hand_over(self):
        """Return the messages that give every settled job to its heir.

        The receiver is the member that `HomeMap.heir` names for the id.
        """
        batches = {}
        for job_id, kept in self._ledger.items():
            heir = self._heir(job_id)
            if heir is not None:
                record = (job_id, kept.team, kept.digest, kept.answer)
                batches.setdefault(peer_of(heir), []).append(record)
        for peer, records in batches.items():
            for start in range(0, len(records), HANDOVER_BATCH):
                number = len(self._handovers)
                batch = tuple(records[start : start + HANDOVER_BATCH])
                self._handovers[number] = Send(peer, Handover(number, batch))
        return list(self._handovers.values())

    def dispatch(self, now):
        """Grant waiting tasks to free slots, or tell agents that work waits."""
        if not self._view.confirmed(now):
            return []
        effects = []
        for service, queue in self._queues.items():
            if not len(queue):
                continue
            effects += self._dispatch_service(service, now)
        return effects

    # Admission.

    def _admit(self, sender, message, now, now_ms):
        """Record a new job, or record its refusal."""
        job = message.job
        code = self._refusal(job, now_ms)
        if code is not None:
            if not self._view.confirmed(now):
                code = Code.HOME_UNCONFIRMED
            else:
                self._keep(job, job.digest(), Answer(job.id, int(code)), now_ms)
            return [_refuse(sender, message.request, job.id, code)]
        deadline = now + job.deadline_ms / 1000 if job.deadline_ms else None
        record = JobRecord(job, deadline, now, message.trace)
        self._records[job.id] = record
        effects = self._attach(sender, message.request, job.id, message.wait)
        self._update_queue(record)
        return effects + self.dispatch(now)

    def _refusal(self, job, now_ms):
        """Return the code with which a new job is refused, or None."""
        if job.birth_ms > now_ms + self._skew_ms:
            return Code.BIRTH_IN_FUTURE
        candidates = self._candidates_for(job.service)
        queued = self.queued_tasks
        slots = candidates.slots / max(candidates.homes, 1)
        wait_ms = self._run_times.wait_ms(job.service, queued, slots)
        return refusal(
            job,
            self._view.configuration,
            candidates.offering,
            queued,
            self._policy.queue_tasks,
            wait_ms,
        )

    def _identity(self, job_id):
        """Return the team and digest that an id is bound to, or None."""
        record = self._records.get(job_id)
        if record is not None:
            return record.job.team, record.digest
        kept = self._ledger.get(job_id)
        return None if kept is None else (kept.team, kept.digest)

    @staticmethod
    def _mismatch(known, job):
        """Return why a submission may not attach to a known id, or None."""
        team, digest = known
        if team != job.team:
            return Code.FOREIGN_ID
        return None if digest == job.digest() else Code.ID_REUSED

    def _attach(self, sender, request, job_id, wait):
        """Answer a request now, or when the job is settled."""
        kept = self._ledger.get(job_id)
        if kept is not None:
            return [_reply(sender, request, kept.answer)]
        if not wait:
            return [_refuse(sender, request, job_id, Code.ACCEPTED)]
        waiters = self._waiters.setdefault(job_id, {})
        waiters[(sender, request)] = None
        return []

    # Grants.

    def _dispatch_service(self, service, now):
        """Grant the waiting tasks of one service as far as slots are known."""
        effects = []
        candidates = self._candidates_for(service)
        queue = self._queues[service]
        while len(queue):
            record = queue.best(self._within_quota)
            if record is None:
                return effects
            member = self._placement.free_agent(
                candidates.by_incarnation, partial(self._may_get_next, record), now
            )
            if member is None:
                return effects + self._tell(service, candidates, queue, now)
            effects.append(self._grant(record, member, False, now))
        return effects

    def _tell(self, service, candidates, queue, now):
        """Tell some agents that work waits; they ask when a slot frees."""
        told = self._told_of(service)
        message = Waiting(service, queue.waiting, queue.least_left)
        effects = []
        own = self._own.incarnation
        if own in candidates.by_incarnation and own not in told:
            told[own] = now
            effects.append(Send(self._own, message))
        for member in self._placement.probe_agents(
            candidates.members, told, queue.waiting
        ):
            told[member.incarnation] = now
            effects.append(Send(peer_of(member), message))
        return effects

    def _grant(self, record, member, pulled, now):
        """Return the message that hands a job's next task to an agent."""
        check(Invariant.START_CONFIRMED, self._view.confirmed(now), id=record.job.id)
        index = record.next_task()
        record.grant(index)
        self._update_queue(record)
        self._next_grant += 1
        number = self._next_grant
        job = record.job
        agent = peer_of(member)
        self._grants[number] = OutGrant(record, index, agent, now)
        self._running[job.team] += 1
        self._granted_to[agent.incarnation] += 1
        if not pulled:
            self._placement.granted(member.incarnation)
        queue = self._queues[job.service]
        task = job.tasks[index]
        grant = Grant(
            number=number,
            job_id=job.id,
            index=index,
            team=job.team,
            service=job.service,
            tasks=len(job.tasks),
            payload=task.payload,
            memory_mb=task.memory_mb,
            cpus=task.cpus,
            accelerators=task.accelerators,
            lease_ms=self._view.configuration.service(job.service).lease_ms,
            waiting=queue.waiting,
            left=queue.least_left,
            pulled=pulled,
            trace=record.trace,
        )
        if queue.waiting and pulled:
            self._told_of(job.service)[member.incarnation] = now
        return Send(agent, grant)

    def _best(self, service, member):
        """Return the best waiting job that an agent could run, or None."""
        queue = self._queues.get(service)
        if queue is None:
            return None
        return queue.best(
            lambda each: self._within_quota(each) and self._may_get_next(each, member)
        )

    def _may_get_next(self, record, member):
        """Return whether an agent may get a job's next task.

        Its target must be able to hold it, and a slow one gets one at a time.
        """
        name = member.incarnation
        if name in self._stragglers.slow and self._granted_to[name] > 0:
            return False
        return member.capacity.can_hold(record.job.tasks[record.next_task()])

    def _within_quota(self, record):
        """Return whether the job's team may have one more task running."""
        team = record.job.team
        if team not in self._shares:
            self._shares[team] = self._share(team)
        limit = self._shares[team]
        return limit is None or self._running[team] < limit

    def _share(self, name):
        """Return this home's share of a team's quota, or None."""
        team = self._view.configuration.team(name)
        if team is None:
            return None
        homes = [each.incarnation for each in self._view.roster.present("agent")]
        return quotas.share(team, homes, self._own.incarnation)

    def _take_grant(self, sender, number):
        """Return and forget a grant, or None if its reply is late or foreign."""
        out = self._grants.get(number)
        if out is None or out.agent.incarnation != sender.incarnation:
            self.late_replies += 1
            return None
        del self._grants[number]
        self._running[out.record.job.team] -= 1
        self._granted_to[sender.incarnation] -= 1
        return out

    def _probe_silent(self, now):
        """Ask after the grants that have been out for long, once an agent."""
        silent = {}
        for number, out in self._grants.items():
            if now - out.asked_at >= PROBE_AFTER_S:
                out.asked_at = now
                silent.setdefault(out.agent, []).append(number)
        return [Send(agent, Probe(tuple(each))) for agent, each in silent.items()]

    # Ends.

    def _end(self, out, outcome, now, now_ms):
        """Record the end of a granted task; a failure drops the job's rest."""
        record = out.record
        settled = record.end(out.index, outcome)
        if not settled and Code(outcome.code).verdict is not Verdict.DONE:
            return self._abandon(record, Code.DROPPED_WITH_JOB, now, now_ms, False)
        self._update_queue(record)
        return self._settle(record, now_ms) if settled else []

    def _abandon(self, record, code, now, now_ms, stop=True):
        """End a job's waiting tasks, and stop the granted ones if `stop`."""
        if not self._view.confirmed(now):
            code = Code.HOME_UNCONFIRMED
        settled = record.drop_waiting(code)
        self._update_queue(record)
        if settled:
            return self._settle(record, now_ms)
        return self._stop(record) if stop else []

    def _stop(self, record):
        """Return the messages that stop a job's granted tasks."""
        numbers = {}
        for number, out in self._grants.items():
            if out.record is record:
                numbers.setdefault(out.agent, []).append(number)
        return [Send(agent, Stop(tuple(each))) for agent, each in numbers.items()]

    def _settle(self, record, now_ms):
        """Keep a job's answer and send it to all who wait for it."""
        job = record.job
        del self._records[job.id]
        self._keep(job, record.digest, record.answer, now_ms)
        waiters = self._waiters.pop(job.id, {})
        return [_reply(peer, request, record.answer) for peer, request in waiters]

    def _keep(self, job, digest, answer, now_ms):
        """Keep the answer to a job."""
        self._ledger.keep(job.id, job.team, digest, answer, now_ms)

    def _withdrawn(self, job):
        """Return why a job known here may not go on, or None."""
        configuration = self._view.configuration
        if configuration.service(job.service) is None:
            return Code.SERVICE_WITHDRAWN
        if configuration.team(job.team) is None:
            return Code.UNKNOWN_TEAM
        rule = configuration.rule_for(job.team, job.service, len(job.tasks))
        if rule is not None and rule.action == "stop":
            return Code.REFUSED_BY_RULE
        return None

    # Who can run what.

    def _candidates_for(self, service):
        """Return the agents whose targets may run a service."""
        if service not in self._candidates:
            self._candidates[service] = _candidates(self._view, service)
        return self._candidates[service]

    def _candidate(self, service, peer):
        """Return the candidate that a process is, or None."""
        candidates = self._candidates_for(service)
        return candidates.by_incarnation.get(peer.incarnation)

    def _told_of(self, service):
        """Return which agents know that work of a service waits here."""
        return self._told.setdefault(service, {})

    def _update_queue(self, record):
        """Put a job in its place among those that wait."""
        service = record.job.service
        if service not in self._queues:
            self._queues[service] = WaitingQueue(self._policy.aging_ms_per_task)
        self._queues[service].update(record)

    def _heir(self, job_id):
        """Return who keeps an id's record once this home is gone."""
        homes = self._view.homes
        holder = homes.holder(job_id)
        if holder is None or holder.incarnation != self._own.incarnation:
            return holder
        return None if holder.present else homes.heir(holder, bucket_of(job_id))


def _candidates(view, service):
    """Return the agents that may run a service by a view, as `Candidates`."""
    agents = view.roster.present("agent")
    offering = [
        each
        for each in agents
        if each.capacity is not None and service in each.capacity.services
    ]
    members = tuple(
        each
        for each in offering
        if view.configuration.permits(service, each.data_centre)
    )
    return Candidates(
        members,
        {each.incarnation: each for each in members},
        frozenset(each.capacity for each in offering),
        sum(each.capacity.slots for each in members),
        len(agents),
    )


def _reply(peer, request, answer):
    """Return the message that answers a request."""
    return Send(peer, Reply(request, answer))


def _refuse(peer, request, job_id, code):
    """Return the message that answers a request with a bare code."""
    return _reply(peer, request, Answer(job_id, int(code)))
