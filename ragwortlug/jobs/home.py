"""The home: the only process that decides which tasks of a job may start.

This is a state machine without sockets or clocks. Each method handles one message
or event, receives the current time, and returns the messages to send. A home
answers "not run" only for a task that it has recorded as never to be granted, and
only while its view is confirmed; otherwise it answers "unknown".
"""

from functools import partial

from ragwortlug.codes import Code, Verdict
from ragwortlug.envelope import Send
from ragwortlug.invariants import Invariant, check
from ragwortlug.jobs.answer_store import AnswerStore
from ragwortlug.jobs.grants import OutstandingGrants
from ragwortlug.jobs.record import JobRecord
from ragwortlug.messages import (
    Grant,
    Handover,
    HandoverTaken,
    Moved,
    Nothing,
    Probe,
    Reply,
    Stop,
    Waiting,
    peer_of,
)
from ragwortlug.model import Answer, TaskOutcome, job_created_at_ms
from ragwortlug.policy.admission import refusal
from ragwortlug.policy.directory import Directory
from ragwortlug.policy.run_times import MeanRunTimes
from ragwortlug.policy.waiting_queue import WaitingQueue
from ragwortlug.view.homes import bucket_of

PROBE_INTERVAL_S = 5.0
RENOTIFY_AFTER_S = 1.0
BYTES_PER_MB = 1 << 20
HANDOVER_BATCH = 200


class Home:
    """All jobs that are homed on one agent.

    Parameters
    ----------
    own_peer : Peer
        This agent.
    view : View
        The configuration and roster in force; this class only reads it.
    placement : Placement
        Chooses agents for tasks.
    policy : PolicySettings
        Limits, and the order of waiting jobs.
    settings : ViewSettings
        Window and clock skew.
    """

    def __init__(self, own_peer, view, placement, policy, settings):
        self._own_peer = own_peer
        self._view = view
        self._placement = placement
        self._policy = policy
        self._window_ms = int(settings.window_s * 1000)
        self._skew_ms = settings.skew_ms
        self._records = {}
        self._answers = AnswerStore(
            settings.window_s, policy.keep_results_mb * BYTES_PER_MB
        )
        self._waiters = {}
        self._grants = OutstandingGrants()
        self._directory = Directory(view, own_peer.incarnation)
        self._queues = {}
        self._notified = {}
        self._run_times = MeanRunTimes()
        self._handovers = {}
        self._handover_prepared = False

    @property
    def open_jobs(self):
        """Return the number of jobs that are not finished."""
        return len(self._records)

    @property
    def queued_tasks(self):
        """Return the number of tasks that wait for a grant."""
        return sum(queue.waiting for queue in self._queues.values())

    @property
    def kept_answers(self):
        """Return the number of finished jobs whose answers are stored."""
        return len(self._answers)

    @property
    def late_replies(self):
        """Return the number of replies to grants that are not outstanding."""
        return self._grants.late_replies

    @property
    def handing_over(self):
        """Return whether a successor has not yet confirmed its records."""
        return bool(self._handovers)

    # Requests of entries.

    def submit(self, sender, message, now, now_ms):
        """Accept or refuse a job, or attach the request to its record or answer."""
        job = message.job
        identity = self._identity(job.id)
        if identity is not None:
            code = self._mismatch_code(identity, job)
            if code is not None:
                return [_reply(sender, message.request_id, Answer(job.id, int(code)))]
            return self._attach(sender, message.request_id, job.id, message.wait)
        if job_created_at_ms(job.id) < now_ms - self._window_ms:
            return [_refuse(sender, message.request_id, job.id, Code.ID_TOO_OLD)]
        if job_created_at_ms(job.id) > now_ms + self._skew_ms:
            return [_refuse(sender, message.request_id, job.id, Code.BIRTH_IN_FUTURE)]
        member = self._view.home_map.home_of(job.id)
        if member is None:
            return [_refuse(sender, message.request_id, job.id, Code.NO_HOME)]
        if member.incarnation != self._own_peer.incarnation:
            moved = Moved(message.request_id, self._view.roster.version)
            return [Send(sender, moved)]
        own_incarnation = self._own_peer.incarnation
        is_sole_starter = self._view.home_guard.is_sole_starter(member, job.id)
        if not is_sole_starter or not self._view.is_home(job.id, own_incarnation):
            return [_refuse(sender, message.request_id, job.id, Code.HOME_CHANGING)]
        return self._admit(sender, message, now, now_ms)

    def fetch(self, sender, message):
        """Answer a request for a job, at once or when the job is finished."""
        identity = self._identity(message.job_id)
        if identity is None:
            code = Code.NO_RECORD
        elif identity[0] != message.team:
            code = Code.FOREIGN_ID
        else:
            return self._attach(
                sender, message.request_id, message.job_id, message.wait
            )
        return [_refuse(sender, message.request_id, message.job_id, code)]

    def cancel(self, sender, message, now, now_ms):
        """End a job's waiting tasks and stop its granted ones."""
        identity = self._identity(message.job_id)
        if identity is None or identity[0] != message.team:
            code = Code.NO_RECORD if identity is None else Code.FOREIGN_ID
            return [_refuse(sender, message.request_id, message.job_id, code)]
        effects = self._attach(sender, message.request_id, message.job_id, True)
        record = self._records.get(message.job_id)
        if record is not None:
            effects += self._abort(record, Code.CANCELLED, now, now_ms)
        return effects

    # Messages of agents.

    def on_pull(self, sender, message, now):
        """Grant a task for a slot that an agent reserves for this home."""
        self._notified_agents(message.service).pop(sender.incarnation, None)
        member = self._directory.candidate(message.service, sender.incarnation)
        record = None
        if member is not None and self._view.is_confirmed(now):
            record = self._best_waiting_record(message.service, member)
        if record is None:
            self._placement.update_free_slots(
                sender.incarnation, message.free_slots + 1, now
            )
            return [Send(sender, Nothing(message.service))]
        self._placement.update_free_slots(sender.incarnation, message.free_slots, now)
        return [self._grant(record, member, True, now)]

    def on_refused(self, sender, message, now, now_ms):
        """Return a task to the queue after its agent has recorded a refusal.

        If its job was aborted meanwhile, the task ends with the same code.
        """
        grant = self._grants.pop(sender, message.number)
        if grant is None:
            return []
        record = grant.record
        if message.code == Code.NO_FREE_SLOT:
            self._notified_agents(record.job.service)[sender.incarnation] = now
        unseen = message.code == Code.GRANT_UNSEEN
        self._placement.update_free_slots(
            sender.incarnation, message.free_slots if unseen else 0, now
        )
        record.mark_waiting(grant.index)
        if record.abort_code is not None:
            return self._abort(record, record.abort_code, now, now_ms, False)
        self._update_queue(record)
        return self.dispatch(now)

    def on_finished(self, sender, message, now, now_ms):
        """Record how a task ended."""
        self._placement.update_free_slots(sender.incarnation, message.free_slots, now)
        grant = self._grants.pop(sender, message.number)
        if grant is None:
            return self.dispatch(now)
        if Code(message.code).verdict is Verdict.DONE:
            self._run_times.add_run_time(grant.record.job.service, message.run_ms)
        outcome = TaskOutcome(message.code, message.result, message.detail)
        effects = self._end(grant, outcome, now, now_ms)
        return effects + self.dispatch(now)

    def on_load(self, sender, message, now):
        """Record the number of free slots that an agent reports."""
        self._placement.update_free_slots(sender.incarnation, message.free_slots, now)
        return self.dispatch(now)

    def on_handover(self, sender, message, now_ms):
        """Store the answers of a home that leaves."""
        for job_id, team, digest, answer in message.records:
            if self._identity(job_id) is None:
                self._answers.store(job_id, team, digest, answer, now_ms)
        return [Send(sender, HandoverTaken(message.number))]

    def on_handover_taken(self, message):
        """Record that a successor has stored a batch of records."""
        self._handovers.pop(message.number, None)
        return []

    # Events.

    def on_view_changed(self, now, now_ms):
        """Apply a new configuration or roster."""
        self._directory.clear()
        effects = []
        lost = {
            member.incarnation for member in self._view.roster.members if member.lost
        }
        present = {
            member.incarnation for member in self._view.roster.present_members("agent")
        }
        for grant in self._grants.pop_of_agents(lost - present):
            outcome = TaskOutcome(int(Code.AGENT_LOST))
            effects += self._end(grant, outcome, now, now_ms)
        for record in tuple(self._records.values()):
            code = self._withdrawal_code(record.job)
            if not self._view.is_home(record.job.id, self._own_peer.incarnation):
                code = Code.HOME_CHANGING
            if code is not None:
                effects += self._abort(
                    record, code, now, now_ms, code is Code.REFUSED_BY_RULE
                )
        return effects + self.dispatch(now)

    def tick(self, now, now_ms):
        """Handle deadlines, overdue grants and expired answers."""
        effects = []
        for queue in tuple(self._queues.values()):
            for record in tuple(queue):
                if record.deadline is not None and now >= record.deadline:
                    effects += self._abort(
                        record, Code.DEADLINE_PASSED, now, now_ms, False
                    )
        effects += self._probe_overdue(now)
        for notified in self._notified.values():
            for incarnation in [
                incarnation
                for incarnation, notified_at in notified.items()
                if now - notified_at > RENOTIFY_AFTER_S
            ]:
                del notified[incarnation]
        self._answers.expire(now_ms)
        return effects + self.dispatch(now)

    def hand_over(self):
        """Return the messages that send every stored answer to its successor.

        Later calls return the messages that no successor has confirmed yet.
        """
        if not self._handover_prepared:
            self._handover_prepared = True
            self._prepare_handover()
        return list(self._handovers.values())

    def _prepare_handover(self):
        """Group the stored answers into batches for their successors."""
        batches = {}
        for job_id, stored in self._answers.items():
            successor = self._successor(job_id)
            if successor is not None:
                record = (job_id, stored.team, stored.digest, stored.answer)
                batches.setdefault(peer_of(successor), []).append(record)
        for peer, records in batches.items():
            for start in range(0, len(records), HANDOVER_BATCH):
                number = len(self._handovers)
                batch = tuple(records[start : start + HANDOVER_BATCH])
                self._handovers[number] = Send(peer, Handover(number, batch))

    def dispatch(self, now):
        """Grant waiting tasks to free slots, or notify agents of waiting tasks."""
        if not self._view.is_confirmed(now):
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
        code = self._refusal_code(job)
        if code is not None:
            if not self._view.is_confirmed(now):
                code = Code.HOME_UNCONFIRMED
            else:
                self._store_answer(job, job.digest(), Answer(job.id, int(code)), now_ms)
            return [_refuse(sender, message.request_id, job.id, code)]
        deadline = now + job.deadline_ms / 1000 if job.deadline_ms else None
        record = JobRecord(job, deadline, now, message.trace)
        self._records[job.id] = record
        effects = self._attach(sender, message.request_id, job.id, message.wait)
        self._update_queue(record)
        return effects + self.dispatch(now)

    def _refusal_code(self, job):
        """Return the code with which a new job is refused, or None."""
        candidates = self._directory.candidates(job.service)
        queued = self.queued_tasks
        slots = candidates.slots / max(candidates.home_count, 1)
        expected_wait_ms = self._run_times.expected_wait_ms(job.service, queued, slots)
        return refusal(
            job,
            self._view.configuration,
            candidates.offered_capacities,
            queued,
            self._policy.queue_tasks,
            expected_wait_ms,
        )

    def _identity(self, job_id):
        """Return the team and digest that a job id belongs to, or None."""
        record = self._records.get(job_id)
        if record is not None:
            return record.job.team, record.digest
        stored = self._answers.get(job_id)
        return None if stored is None else (stored.team, stored.digest)

    @staticmethod
    def _mismatch_code(identity, job):
        """Return the code that refuses a submission for a used id, or None."""
        team, digest = identity
        if team != job.team:
            return Code.FOREIGN_ID
        return None if digest == job.digest() else Code.ID_REUSED

    def _attach(self, sender, request_id, job_id, wait):
        """Answer a request now, or when the job is finished."""
        stored = self._answers.get(job_id)
        if stored is not None:
            return [_reply(sender, request_id, stored.answer)]
        if not wait:
            return [_refuse(sender, request_id, job_id, Code.ACCEPTED)]
        waiters = self._waiters.setdefault(job_id, {})
        waiters[(sender, request_id)] = None
        return []

    # Grants.

    def _dispatch_service(self, service, now):
        """Grant waiting tasks of one service while an agent has a free slot."""
        effects = []
        candidates = self._directory.candidates(service)
        queue = self._queues[service]
        while len(queue):
            record = queue.best(self._within_quota)
            if record is None:
                return effects
            member = self._placement.free_agent(
                candidates.by_incarnation, partial(_can_fit_next, record), now
            )
            if member is None:
                return effects + self._notify_agents(service, candidates, queue, now)
            effects.append(self._grant(record, member, False, now))
        return effects

    def _notify_agents(self, service, candidates, queue, now):
        """Notify some agents of waiting tasks; they pull one when a slot is free."""
        notified = self._notified_agents(service)
        message = Waiting(service, queue.waiting, queue.min_remaining_tasks)
        effects = []
        own_incarnation = self._own_peer.incarnation
        if (
            own_incarnation in candidates.by_incarnation
            and own_incarnation not in notified
        ):
            notified[own_incarnation] = now
            effects.append(Send(self._own_peer, message))
        for member in self._placement.agents_to_notify(
            candidates.members, notified, queue.waiting
        ):
            notified[member.incarnation] = now
            effects.append(Send(peer_of(member), message))
        return effects

    def _grant(self, record, member, pulled, now):
        """Return the message that grants a job's next task to an agent."""
        check(Invariant.START_CONFIRMED, self._view.is_confirmed(now), id=record.job.id)
        index = record.next_task()
        record.mark_granted(index)
        self._update_queue(record)
        job = record.job
        agent = peer_of(member)
        number = self._grants.issue(record, index, agent, now)
        if not pulled:
            self._placement.on_granted(member.incarnation)
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
            remaining_tasks=queue.min_remaining_tasks,
            pulled=pulled,
            trace=record.trace,
        )
        if queue.waiting and pulled:
            self._notified_agents(job.service)[member.incarnation] = now
        return Send(agent, grant)

    def _best_waiting_record(self, service, member):
        """Return the best waiting job that an agent could run, or None."""
        queue = self._queues.get(service)
        if queue is None:
            return None
        return queue.best(
            lambda record: self._within_quota(record) and _can_fit_next(record, member)
        )

    def _within_quota(self, record):
        """Return whether the job's team may have one more task running."""
        team = record.job.team
        limit = self._directory.quota_share(team)
        return limit is None or self._grants.count_of_team(team) < limit

    def _probe_overdue(self, now):
        """Probe for grants without a reply, with one message per agent."""
        overdue = self._grants.overdue(now, PROBE_INTERVAL_S)
        return [
            Send(agent, Probe(grant_numbers))
            for agent, grant_numbers in overdue.items()
        ]

    # Ends.

    def _end(self, grant, outcome, now, now_ms):
        """Record the end of a granted task; a failure ends the job's waiting tasks."""
        record = grant.record
        finished = record.end_task(grant.index, outcome)
        if not finished and Code(outcome.code).verdict is not Verdict.DONE:
            return self._abort(record, Code.DROPPED_WITH_JOB, now, now_ms, False)
        self._update_queue(record)
        return self._finish_job(record, now_ms) if finished else []

    def _abort(self, record, code, now, now_ms, stop=True):
        """End a job's waiting tasks, and stop the granted ones if `stop`."""
        if not self._view.is_confirmed(now):
            code = Code.HOME_UNCONFIRMED
        record.abort_code = code
        finished = record.drop_waiting(code)
        self._update_queue(record)
        if finished:
            return self._finish_job(record, now_ms)
        return self._stop_messages(record) if stop else []

    def _stop_messages(self, record):
        """Return the messages that stop a job's granted tasks."""
        granted = self._grants.numbers_of_record(record)
        return [
            Send(agent, Stop(grant_numbers)) for agent, grant_numbers in granted.items()
        ]

    def _finish_job(self, record, now_ms):
        """Store a job's answer and send it to all requests that wait for it."""
        job = record.job
        del self._records[job.id]
        self._store_answer(job, record.digest, record.answer, now_ms)
        waiters = self._waiters.pop(job.id, {})
        return [_reply(peer, request_id, record.answer) for peer, request_id in waiters]

    def _store_answer(self, job, digest, answer, now_ms):
        """Store the answer to a job."""
        self._answers.store(job.id, job.team, digest, answer, now_ms)

    def _withdrawal_code(self, job):
        """Return the code that ends a job after a configuration change, or None."""
        configuration = self._view.configuration
        if configuration.service(job.service) is None:
            return Code.SERVICE_WITHDRAWN
        if configuration.team(job.team) is None:
            return Code.UNKNOWN_TEAM
        if configuration.rule_applies(job.team, job.service, len(job.tasks), "stop"):
            return Code.REFUSED_BY_RULE
        return None

    # Waiting tasks and successors.

    def _notified_agents(self, service):
        """Return when each agent was last notified of waiting tasks of a service."""
        return self._notified.setdefault(service, {})

    def _update_queue(self, record):
        """Update a job's place in the queue of its service."""
        service = record.job.service
        if service not in self._queues:
            self._queues[service] = WaitingQueue(self._policy.aging_ms_per_task)
        self._queues[service].update(record)

    def _successor(self, job_id):
        """Return the member that keeps a job's record after this home has left."""
        home_map = self._view.home_map
        holder = home_map.record_holder(job_id)
        if holder is None or holder.incarnation != self._own_peer.incarnation:
            return holder
        return (
            None if holder.is_present else home_map.successor(holder, bucket_of(job_id))
        )


def _can_fit_next(record, member):
    """Return whether a member's target can fit a job's next task."""
    return member.capacity.can_fit(record.job.tasks[record.next_task()])


def _reply(peer, request_id, answer):
    """Return the message that answers a request."""
    return Send(peer, Reply(request_id, answer))


def _refuse(peer, request_id, job_id, code):
    """Return the message that answers a request with a code only."""
    return _reply(peer, request_id, Answer(job_id, int(code)))
