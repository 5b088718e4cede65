"""The dispatcher: runs the restartable jobs whose callers wait at one entry.

This is a state machine without sockets or clocks. Each method handles one message
or event, receives the current time, and returns effects: messages to send, events
to log and answers to requests.

A task never has two runs at once. Within one dispatcher, a task is assigned again
only after its agent has reported the end of the previous run, or after the agent's
permission must have expired. Between dispatchers, a caller retries elsewhere only
after a time within which all runs of its lost attempt have ended, if the first
dispatcher has stopped or knows that the caller has left. If it doesn't know, it has
announced the job to the others by then, and the retry is attached to the open job.
"""

from ragwortlug.codes import Code, Verdict
from ragwortlug.envelope import Send
from ragwortlug.events import Event, EventName
from ragwortlug.invariants import Invariant, check
from ragwortlug.jobs import dispatch_events as events
from ragwortlug.jobs.job_refusals import JobRefusals
from ragwortlug.jobs.load_refusals import LoadRefusals
from ragwortlug.jobs.refusal import Refusal, refuse_request
from ragwortlug.jobs.request_answer import RequestAnswer
from ragwortlug.jobs.restartable import FormerRun, RestartableRecord, never
from ragwortlug.jobs.risky_jobs import RiskyJobs
from ragwortlug.jobs.run_assigner import RunAssigner
from ragwortlug.jobs.run_feedback import RunFeedback
from ragwortlug.jobs.shared_jobs import SharedJobs
from ragwortlug.jobs.waiting_jobs import WaitingJobs
from ragwortlug.lease_messages import (
    AttachedRequestEnded,
    AttachRequest,
    CancelJobs,
    CancelsReceived,
    DetachRequest,
    EntryState,
    OpenJobs,
    Relayed,
    Renewed,
    RequestAttached,
    RunsStopping,
    StopRuns,
)
from ragwortlug.policy.crash_history import CrashHistory
from ragwortlug.policy.job_ranking import objective_ms
from ragwortlug.policy.known_workers import KnownWorkers
from ragwortlug.policy.slow_runs import SlowCounts
from ragwortlug.restartable_model import Evacuations, Orders, RunEnd

MS_PER_S = 1000.0
# Agents of each data centre by way of which a message to a silent entry is sent.
RELAYS_PER_DATA_CENTRE = 2


class Dispatcher:
    """All restartable jobs of one entry.

    Parameters
    ----------
    settings : RestartSettings
        Times and bounds.
    rng : random.Random
        Breaks ties between workers.
    first_number : int
        Number of the first assignment. Agents may still name assignments of a former
        process at the same address, so that it should differ for each process.
    """

    def __init__(self, settings, rng, first_number=1):
        self._settings = settings
        self._records = {}
        self._waiting = WaitingJobs()
        # Assignments that have not ended: number to record and task.
        self._outstanding = {}
        self._workers = KnownWorkers(settings, rng)
        self._feedback = RunFeedback(self._workers)
        self._load_refusals = LoadRefusals(self._waiting)
        self._refusals = JobRefusals(settings, self._workers, self._load_refusals)
        self._crashes = CrashHistory()
        self._risky_jobs = RiskyJobs(
            self._workers,
            self._crashes,
            self._outstanding,
            lambda queue_name: self._orders.service_of(queue_name),
        )
        self._orders = Orders()
        self._evacuations = Evacuations()
        self._assigner = RunAssigner(
            self._workers,
            self._waiting,
            self._risky_jobs,
            self._outstanding,
            self._load_refusals,
            first_number,
        )
        self._shared_jobs = SharedJobs(
            settings,
            self._records,
            lambda: self._waiting.stopping_job_ids,
            self._finish_job,
            self.submit,
        )
        self._entries = ()
        self._relayed_decisions = {
            OpenJobs: self._shared_jobs.on_open_jobs,
            RunsStopping: self._shared_jobs.on_runs_stopping,
            AttachRequest: self._shared_jobs.on_attach_request,
            RequestAttached: self._shared_jobs.on_request_attached,
            AttachedRequestEnded: self._shared_jobs.on_attached_request_ended,
            DetachRequest: self.on_detach_request,
            CancelJobs: self.on_cancel_jobs,
            CancelsReceived: self._shared_jobs.cancels.on_cancels_received,
        }
        self._relayed_types = {*self._relayed_decisions, EntryState}

    @property
    def open_jobs(self):
        """Return the number of unfinished jobs, those that it follows included."""
        return len(self._records) + self._shared_jobs.followed

    @property
    def isolated(self):
        """Return whether the contact with all other processes is lost."""
        return self._shared_jobs.isolated

    @property
    def shared_jobs(self):
        """Return the `SharedJobs`, which handles the messages of other entries."""
        return self._shared_jobs

    @property
    def running_tasks(self):
        """Return the number of assignments that have not ended."""
        return len(self._outstanding)

    @property
    def workers(self):
        """Return the `KnownWorkers` of this dispatcher."""
        return self._workers

    @property
    def orders(self):
        """Return the operators' orders in force."""
        return self._orders

    @property
    def version(self):
        """Return the version of the configuration in force, or 0."""
        return self._orders.version

    def unstarted_jobs(self, queue_name):
        """Return the number of a queue's jobs of which no task may have started."""
        return sum(
            1
            for record in self._records.values()
            if record.queue.name == queue_name and not record.begun
        )

    def has_job(self, job_id, now):
        """Return whether any dispatcher is known to have an open job of that id."""
        is_open = job_id in self._records
        return is_open or self._shared_jobs.is_owned_elsewhere(job_id, now)

    # Requests.

    def submit(
        self, request_id, job, queue, deadline, now, arrived=None, has_left=never
    ):
        """Accept or refuse a job, or attach the request to the open job of that id.

        The open job may be that of another entry.

        Parameters
        ----------
        request_id : str
            Identifies the request in its `RequestAnswer`.
        deadline : float
            Monotonic seconds at which the caller stops waiting.
        arrived : float, optional
            Monotonic seconds at which the request arrived; `now` by default. If its
            caller may have submitted the job elsewhere since, nothing is started.
        has_left : callable, optional
            Returns whether the caller has left; asked before the job's first run.
        """
        arrived = now if arrived is None else arrived
        if self._shared_jobs.cancels.is_cancelled(job.id, now):
            cancelled = events.job_cancelled_before(job.id)
            return [cancelled, RequestAnswer(request_id, job.id, Code.CANCELLED_BEFORE)]
        record = self._records.get(job.id)
        if record is not None:
            record.attach(request_id, deadline, has_left)
            return [events.job_attached(record)]
        if self._crashes.is_given_up(job.id):
            failed = events.job_failed_before(job.id)
            return [failed, RequestAnswer(request_id, job.id, Code.JOB_FAILED)]
        if self.isolated or self._shared_jobs.has_paused(now):
            return [RequestAnswer(request_id, job.id, Code.OUTCOME_UNKNOWN)]
        followed = self._shared_jobs.follow(
            request_id, job, queue, deadline, now, arrived
        )
        if followed is not None:
            return followed
        if self._shared_jobs.may_be_elsewhere(arrived, now):
            late = events.request_late(job.id, arrived, now)
            return [late, RequestAnswer(request_id, job.id, Code.OUTCOME_UNKNOWN)]
        return self._accept(request_id, job, queue, deadline, now, arrived, has_left)

    def _accept(self, request_id, job, queue, deadline, now, arrived, has_left):
        """Accept a job that no entry has open, or refuse it."""
        estimates = self._feedback.estimates(queue.name, job.steps, now)
        record = RestartableRecord(job, queue, arrived, deadline, 0.0, estimates)
        critical_path_ms = record.remaining_path_ms(now)
        record.objective_at = now + objective_ms(queue, critical_path_ms) / MS_PER_S
        refusal = self._refusals.refusal(record, len(self._records), now)
        if refusal is not None:
            fields = self._job_fields(record, critical_path_ms, now)
            return refuse_request(request_id, job.id, refusal, queue, fields)
        effects = self._displace_for(record, now)
        record.attach(request_id, deadline, has_left)
        self._records[job.id] = record
        self._update_waiting(record)
        fields = self._job_fields(record, critical_path_ms, now)
        accepted = Event(EventName.JOB_ACCEPTED, job.id, fields)
        self._assigner.request()
        return [*effects, accepted, *self._dispatch(now)]

    def _displace_for(self, record, now):
        """Refuse the unstarted job that a new one displaces, if there is any."""
        displaced = self._refusals.displaced_by(record, len(self._records), now)
        if displaced is None:
            return []
        other, refusal = displaced
        return self._finish_job(other, refusal.code, now, refusal)

    def cancel(self, request_id, job_id, now):
        """Withdraw a request; a job without requests is abandoned."""
        withdrawn = self._shared_jobs.withdraw(request_id)
        if withdrawn is not None:
            return withdrawn
        record = self._records.get(job_id)
        if record is None or request_id not in record.requests:
            return []
        del record.requests[request_id]
        if record.requests:
            return []
        abandoned = events.job_abandoned(record, now)
        self._refusals.on_job_ended(record, None, now)
        self._assigner.request()
        return [abandoned, *self._drop(record), *self._dispatch(now)]

    def delete(self, job_id, now):
        """Cancel a job for all its callers, wherever it is or will be submitted."""
        effects = self._shared_jobs.cancels.cancel(job_id, now)
        self._assigner.request()
        return effects + self._dispatch(now)

    def lacks_acknowledgement(self, job_id, now):
        """Return whether an entry in contact may still start a cancelled job."""
        return self._shared_jobs.cancels.lacks_acknowledgement(job_id, now)

    def confirms_cancel(self, job_id, now):
        """Return whether a job is cancelled and other processes can be told so."""
        is_cancelled = self._shared_jobs.cancels.is_cancelled(job_id, now)
        return is_cancelled and not self.isolated

    # Messages of agents.

    def on_renewal(self, sender, message, now):
        """Renew an agent's permission and record the state of its worker."""
        known_worker = self._workers.get(sender.incarnation)
        was_accepting = None if known_worker is None else known_worker.accepting
        previous_resources = (
            None if known_worker is None else known_worker.free_resources
        )
        worker = self._workers.on_renewal(sender, message, now)
        if (
            not was_accepting
            or previous_resources is None
            or not previous_resources.can_fit(worker.free_resources)
        ):
            self._assigner.request()
        entries = worker.entries_to_send(self._entries, now)
        evacuations = worker.evacuations_to_send(self._evacuations, now)
        renewed = Renewed(message.requested_at_ms, entries, evacuations)
        effects = [Send(sender, renewed)]
        effects += events.acceptance_changed(worker, was_accepting)
        if message.worker is None or not message.worker.accepting:
            worker.notified = False
        missing_assignments = worker.missing_assignments(
            message.assignment_numbers, now
        )
        if missing_assignments:
            effects.append(Send(sender, StopRuns(missing_assignments)))
        effects += self._stop_unwanted_runs(sender, message.assignment_numbers)
        return effects + self._dispatch(now)

    def on_runs_ended(self, sender, message, now):
        """Record how runs ended."""
        worker = self._workers.get(sender.incarnation)
        effects = []
        if message.crash is not None:
            effects += self._record_crash(sender, message.crash, now)
        for number, end, run_ms in message.ends:
            if self._is_assigned_to(number, sender):
                effects += self._run_ended(worker, number, end, run_ms, now)
        if worker is not None:
            worker.last_contact_at = now
            worker.on_free_reported(message.free_resources, now)
        self._assigner.request()
        return effects + self._dispatch(now)

    def on_offer(self, sender, message, now):
        """Assign runs to the resources that an agent reserves for this dispatcher."""
        worker = self._workers.get(sender.incarnation)
        if worker is None or worker.state is None or self._shared_jobs.has_paused(now):
            return []
        worker.last_contact_at = now
        return self._assigner.answer_offer(worker, message, len(self._records), now)

    def on_worker_crashed(self, sender, message, now):
        """Record a crash of a worker without runs of this dispatcher."""
        self._assigner.request()
        return self._record_crash(sender, message, now) + self._dispatch(now)

    def on_progress(self, sender, message, now):
        """Stop late runs that would end sooner on another worker."""
        worker = self._workers.get(sender.incarnation)
        if worker is None:
            return []
        late_runs = [
            (*self._outstanding[number], run_ms, remaining_run_ms)
            for number, run_ms, remaining_run_ms in message.runs
            if self._is_wanted(self._outstanding.get(number))
        ]
        counts = SlowCounts(message.slow_jobs, message.counted_jobs)
        return self._feedback.on_late_runs(worker, late_runs, counts, now)

    # Messages of other entries.

    def on_relayed(self, _sender, message, now):
        """Handle a message that another entry has sent by way of an agent."""
        decide = self._relayed_decisions[type(message.body)]
        return decide(message.origin, message.body, now)

    def relays(self, message, own_peer, now):
        """Return the copies of a `Send` that go by way of agents, a list of `Send`.

        There are some only if the receiver is an entry that can't be reached directly.
        """
        if type(message.body) not in self._relayed_types:
            return []
        if not self._shared_jobs.needs_relay(message.receiver.address, now):
            return []
        relayed = Relayed(own_peer, message.receiver, message.body)
        agents = self._workers.sample_agents(RELAYS_PER_DATA_CENTRE, now)
        return [Send(agent, relayed) for agent in agents]

    def on_detach_request(self, sender, message, now):
        """Withdraw an attached request, also if it arrives only later."""
        self._shared_jobs.on_detached(message, now)
        return self.cancel(message.request_id, message.job_id, now)

    def on_cancel_jobs(self, sender, message, now):
        """Cancel jobs for all their callers, as another entry was asked to."""
        effects = self._shared_jobs.cancels.on_cancel_jobs(sender, message, now)
        self._assigner.request()
        return effects + self._dispatch(now)

    # Events.

    def on_orders_changed(self, orders, now):
        """Apply the operators' orders if they are newer than those in force."""
        if orders.revision <= self._orders.revision:
            return []
        check(
            Invariant.VERSION_RISES,
            self._orders.table is None
            or (orders.table is not None and orders.table.version >= self.version),
            before=self.version,
        )
        self._orders = orders
        self._evacuations = Evacuations(orders.revision, orders.evacuated)
        self._workers.evacuated = frozenset(orders.evacuated)
        self._load_refusals.set_queues(orders.queues)
        applied = events.orders_applied(orders, self.version)
        self._assigner.request()
        return [applied, *self._dispatch(now)]

    def set_entries(self, entries, own_address, others=()):
        """Set the addresses of all live entries, which are sent to agents, and its own.

        `others` are further addresses at which entries may listen.
        """
        self._entries = tuple(entries)
        self._risky_jobs.set_dispatchers(entries, own_address)
        self._shared_jobs.set_entries({*entries, *others}, own_address)

    def tick(self, now):
        """Finish jobs past their deadline and remove agents that are silent."""
        self._crashes.expire(now)
        self._feedback.expire(now)
        self._refusals.expire(now)
        effects = self._risky_jobs.queue_events(now)
        for worker in self._workers.remove_expired(now):
            effects.append(events.worker_lost(worker, now))
            for number in tuple(worker.outstanding):
                effects += self._run_ended(worker, number, RunEnd.LOST, 0.0, now)
            check(
                Invariant.ONE_RUN,
                not worker.outstanding,
                outstanding=worker.outstanding,
            )
        effects += self._shared_jobs.update(self._workers.hears_any(now), now)
        for record in tuple(self._records.values()):
            effects += self._check_deadline(record, now)
        for service in self._waiting.services:
            effects += self._refuse_unreachable_jobs(service, now)
        self._assigner.request()
        return effects + self._dispatch(now)

    # Decisions.

    def _record_crash(self, sender, crash, now):
        """Record a crash; fail the jobs that are given up for it."""
        given_up = self._crashes.record(sender.incarnation, crash, now)
        effects = [events.crash_reported(sender, crash, given_up)]
        for job_id in given_up:
            record = self._records.get(job_id)
            if record is not None:
                effects += self._finish_job(record, Code.JOB_FAILED, now)
        return effects

    def _job_fields(self, record, critical_path_ms, now):
        """Return the event fields that explain whether a job is accepted."""
        workers = len(self._workers.serving(record.queue.service, now))
        jobs = len(self._records)
        return events.job_fields(
            record, critical_path_ms, jobs, workers, self.version, now
        )

    def _check_deadline(self, record, now):
        """Finish a job that can no longer end before its deadline."""
        if now >= record.deadline:
            code = Code.LEASE_ENDED if record.begun else Code.DEADLINE_PASSED
            return self._finish_job(record, code, now)
        if record.begun:
            return []
        if self._refusals.misses_deadline(record, now):
            return self._finish_job(record, Code.DEADLINE_UNREACHABLE, now)
        return []

    def _refuse_unreachable_jobs(self, service, now):
        """Refuse the jobs that can't start before it is too late for them.

        Jobs that may have started are kept. Callers that are refused may return one
        after the other, each once the work of those before it can have started.
        """
        ranked = self._waiting.ranked(service, now)
        confined = self._risky_jobs.unreachable(ranked, now)
        unreachable = self._refusals.unreachable(service, ranked, confined, now)
        effects = []
        for record, refusal in unreachable.items():
            effects += self._finish_job(record, refusal.code, now, refusal)
        return effects

    def _run_ended(self, worker, number, end, run_ms, now):
        """Record the end of one run.

        `worker` is None if its agent has been removed already.
        """
        if worker is not None:
            worker.outstanding.pop(number, None)
        record, task = self._outstanding.pop(number, (None, None))
        if record is None:
            return []
        effects = self._feedback.on_run_ended(worker, record, task, end, run_ms, now)
        if end is not RunEnd.DONE:
            effects.append(events.run_failed(record, task, worker, end, run_ms))
            if end.may_have_run:
                address = "" if worker is None else worker.peer.address
                task.former_run = FormerRun(address, end, now)
        else:
            self._crashes.on_task_done(record.job.id, task.step, task.index)
        record.end_run(task, end, run_ms)
        self._update_waiting(record)
        if self._waiting.end_stopping(record, task):
            return effects + self._shared_jobs.on_stopped_run_ended(record.job.id, now)
        if record.done:
            return effects + self._finish_job(record, Code.OK, now)
        if task.failures >= record.queue.max_attempts:
            return effects + self._finish_job(record, Code.JOB_FAILED, now)
        return effects

    def _finish_job(self, record, code, now, refusal=None):
        """Answer a job's requests and stop its remaining runs.

        `refusal` tells more than the code why the job is refused.
        """
        refusal = refusal or Refusal(code)
        fields = {}
        if code is Code.OK:
            check(Invariant.ANSWER_WHOLE, record.done, id=record.job.id)
            self._crashes.on_job_done(record.queue.name)
        if code.verdict is Verdict.NOT_RUN:
            check(Invariant.NOT_RUN_TRUE, not record.begun, id=record.job.id)
            fields = refusal.event_fields(record.queue)
        self._refusals.on_job_ended(record, code, now)
        retry_after_s = refusal.answered_retry_s
        answers = [
            self._shared_jobs.answer(
                request_id, record.job.id, code, retry_after_s, now
            )
            for request_id in record.requests
        ]
        finished = events.job_finished(record, code, now, fields)
        return [finished, *answers, *self._drop(record)]

    def _drop(self, record):
        """Remove a job and stop its runs; track their tasks until they have ended."""
        del self._records[record.job.id]
        self._update_waiting(record)
        stops = {}
        for task in record.assigned_tasks:
            self._waiting.add_stopping(record, task)
            stops.setdefault(task.agent, []).append(task.number)
        effects = [
            Send(self._workers.get(agent).peer, StopRuns(tuple(assignment_numbers)))
            for agent, assignment_numbers in stops.items()
            if self._workers.get(agent) is not None
        ]
        if record.job.id in self._waiting.stopping_job_ids:
            effects += self._shared_jobs.announce_stopping(record.job.id)
        return effects

    def _dispatch(self, now):
        """Assign waiting tasks to free resources, if that is due and safe."""
        return [] if self._shared_jobs.has_paused(now) else self._assigner.dispatch(now)

    def _update_waiting(self, record):
        """Add a job to the waiting jobs, or remove it, as its state requires."""
        is_open = self._records.get(record.job.id) is record
        self._waiting.update(record, is_open)

    def _stop_unwanted_runs(self, agent, assignment_numbers):
        """Stop the runs that an agent lists and that no open job here needs.

        The message that stopped them may have been lost with a connection.
        """
        unwanted = tuple(
            number
            for number in assignment_numbers
            if not self._is_wanted(self._outstanding.get(number))
        )
        if not unwanted:
            return []
        by_job = {}
        for number in unwanted:
            record, _ = self._outstanding.get(number, (None, None))
            job_id = "" if record is None else record.job.id
            by_job.setdefault(job_id, []).append(number)
        stopped = [
            events.runs_unwanted(agent, job_id, numbers)
            for job_id, numbers in by_job.items()
        ]
        return [*stopped, Send(agent, StopRuns(unwanted))]

    def _is_assigned_to(self, number, agent):
        """Return whether an agent has an assignment of that number.

        An agent may still have runs of a former process at this address.
        """
        assignment = self._outstanding.get(number)
        return assignment is not None and assignment[1].agent == agent.incarnation

    def _is_wanted(self, assignment):
        """Return whether an assignment, a record and a task, is one of an open job."""
        if assignment is None:
            return False
        record, _ = assignment
        return self._records.get(record.job.id) is record
