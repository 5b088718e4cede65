"""The dispatcher: home of the restartable jobs whose callers wait at one entry.

This is a state machine without sockets or clocks. Each method takes one message
or event with the time at which it came, and returns effects: messages to send and
jobs that are settled.

A task never has two runs at once. Within one dispatcher, a task is ordered again
only once its agent told the end of the former run, or the agent's permission must
have ended. Between dispatchers, a caller asks elsewhere only after a time within
which all runs of its lost attempt have ended, since they live by permissions that
only the first dispatcher renews.
"""

from dataclasses import dataclass

from ragwortlug.codes import Code, Verdict
from ragwortlug.envelope import Send
from ragwortlug.events import Event, EventName
from ragwortlug.invariants import Invariant, check
from ragwortlug.jobs import dispatch_events as events
from ragwortlug.jobs.demand_notifier import DemandNotifier
from ragwortlug.jobs.restartable import RestartableRecord
from ragwortlug.lease_messages import Renewed, StartRuns, StopRuns
from ragwortlug.policy.job_ranking import job_rank, misses_deadline, objective_ms
from ragwortlug.policy.known_workers import STALL_WEIGHT, KnownWorkers
from ragwortlug.policy.run_time_estimator import RunTimeEstimator
from ragwortlug.restartable_model import Orders, Resources, Run, RunEnd

MS_PER_S = 1000.0
RESCHEDULE_FACTOR = 1.5
RESCHEDULE_COST_MS = 40.0
RETRY_AFTER_S = 1
HTTP_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class RequestAnswer:
    """An effect: a request gets its answer.

    Attributes
    ----------
    retry_after_s : int
        When a refused caller may come again; 0 for never.
    """

    request_id: str
    job_id: str
    code: Code
    retry_after_s: int = 0


class Dispatcher:
    """All restartable jobs of one entry.

    Parameters
    ----------
    settings : RestartSettings
        Times and bounds.
    rng : random.Random
        Breaks ties between workers.
    """

    def __init__(self, settings, rng):
        self._settings = settings
        self._records = {}
        # Jobs with tasks that wait, by service and id.
        self._waiting = {}
        self._outstanding = {}
        self._leftovers = set()
        self._next_number = 0
        self._workers = KnownWorkers(settings, rng)
        self._run_time_estimator = RunTimeEstimator()
        self._orders = Orders()
        self._demand_notifier = DemandNotifier(self._workers)
        self._entries = ()
        self._placing_due = True

    @property
    def open_jobs(self):
        """Return the number of jobs that are not settled."""
        return len(self._records)

    @property
    def running_tasks(self):
        """Return the number of orders that have not ended."""
        return len(self._outstanding)

    @property
    def workers(self):
        """Return what is known of the workers."""
        return self._workers

    @property
    def orders(self):
        """Return the operators' orders in force here."""
        return self._orders

    @property
    def version(self):
        """Return the version of the configuration in force, or 0."""
        return 0 if self._orders.table is None else self._orders.table.version

    def unassigned_jobs(self, queue_name):
        """Return the number of a queue's jobs of which no task has started."""
        return sum(
            1
            for each in self._records.values()
            if each.queue.name == queue_name and not each.ever_assigned
        )

    def has_job(self, job_id):
        """Return whether a job is open here."""
        return job_id in self._records

    # Requests.

    def submit(self, request_id, job, queue, deadline, now):
        """Run a job, or attach the request to the job of that id.

        Parameters
        ----------
        request_id : str
            Names the request in its `RequestAnswer`.
        deadline : float
            Monotonic seconds at which the caller stops waiting.
        """
        record = self._records.get(job.id)
        if record is not None:
            record.requests.add(request_id)
            record.deadline = max(record.deadline, deadline)
            fields = {"requests": len(record.requests)}
            return [Event(EventName.JOB_ATTACHED, job.id, fields)]
        expected = [
            self._run_time_estimator.expected_run_ms(queue.name, each.estimate_ms)
            for each in job.steps
        ]
        record = RestartableRecord(job, queue, now, deadline, 0.0, expected)
        critical_path_ms = record.remaining_path_ms(now)
        record.objective_at = now + objective_ms(queue, critical_path_ms) / MS_PER_S
        code = self._refusal(record, critical_path_ms, now)
        if code is not None:
            fields = self._job_fields(record, critical_path_ms, now)
            return self.refuse(request_id, job.id, code, fields)
        record.requests.add(request_id)
        self._records[job.id] = record
        self._queue_up(record)
        fields = self._job_fields(record, critical_path_ms, now)
        accepted = Event(EventName.JOB_ACCEPTED, job.id, fields)
        self._placing_due = True
        return [accepted, *self._dispatch(now)]

    def refuse(self, request_id, job_id, code, fields=None):
        """Refuse a job that is not open here; `fields` tell what decided that."""
        fields = (fields or {}) | {"code": code.name, "elapsed_ms": 0}
        return [
            Event(EventName.JOB_REFUSED, job_id, fields),
            RequestAnswer(request_id, job_id, code, _retry_after_s(code)),
        ]

    def cancel(self, request_id, job_id, now):
        """Take back a request; a job without requests is given up."""
        record = self._records.get(job_id)
        if record is None or request_id not in record.requests:
            return []
        record.requests.discard(request_id)
        if record.requests:
            return []
        abandoned = events.job_abandoned(record, now)
        self._placing_due = True
        return [abandoned, *self._drop(record), *self._dispatch(now)]

    def delete(self, job_id, now):
        """Cancel a job for all of its callers; return None if it is not here."""
        record = self._records.get(job_id)
        if record is None:
            return None
        self._placing_due = True
        return self._finish_job(record, Code.CANCELLED, now) + self._dispatch(now)

    # Messages of agents.

    def on_renewal(self, sender, message, now):
        """Renew an agent's permission and take note of its worker."""
        known = self._workers.get(sender.incarnation)
        before = None if known is None else known.accepting
        resources = None if known is None else known.free_resources
        worker = self._workers.on_renewal(sender, message, now)
        if (
            not before
            or resources is None
            or not resources.can_fit(worker.free_resources)
        ):
            self._placing_due = True
        entries = worker.entries_to_send(self._entries, now)
        effects = [Send(sender, Renewed(message.requested_at_ms, entries))]
        effects += events.acceptance_changed(worker, before)
        if message.worker is None or not message.worker.accepting:
            worker.notified = False
        missing_assignments = worker.missing_assignments(
            message.assignment_numbers, now
        )
        if missing_assignments:
            effects.append(Send(sender, StopRuns(missing_assignments)))
        return effects + self._dispatch(now)

    def on_runs_ended(self, sender, message, now):
        """Take note of how runs ended."""
        worker = self._workers.get(sender.incarnation)
        effects = []
        for number, end, run_ms in message.ends:
            effects += self._run_ended(worker, number, end, run_ms, now)
        if worker is not None:
            worker.last_contact_at = now
            worker.on_free_reported(message.free_resources, now)
        self._placing_due = True
        return effects + self._dispatch(now)

    def on_offer(self, sender, message, now):
        """Fill the room that an agent keeps for this dispatcher."""
        worker = self._workers.get(sender.incarnation)
        if worker is None or worker.state is None:
            return []
        worker.last_contact_at = now
        worker.notified = False
        service = worker.state.service
        free_resources = message.free_resources
        runs = []
        usable = worker.state.data_centre not in self._workers.evacuated
        slots = worker.health.usable_slots(len(self._records) + 1, now)
        queued = self._queued(service, now) if usable and slots else []
        best_remaining = None
        effects = []
        for rank, record in queued:
            assignments = []
            for task in tuple(self._eligible(record)):
                step = record.job.steps[task.step]
                fits = free_resources.can_fit(step.resources) and len(runs) < max(
                    slots, 1
                )
                labelled = not step.label or step.label in worker.state.labels
                excluded = sender.incarnation in task.excluded_agents
                if (
                    fits
                    and labelled
                    and not excluded
                    and worker.health.usable_slots(1, now)
                ):
                    free_resources = free_resources - step.resources
                    runs.append(self._assign(record, task, worker, now))
                    assignments.append((task, worker))
                elif best_remaining is None:
                    best_remaining = (rank, step.resources)
            effects += self._assignment_events(record, assignments, now)
        worker.notified = best_remaining is not None
        rank, resources = best_remaining or (None, Resources())
        message = StartRuns(
            worker.requested_at_ms, tuple(runs), message.number, rank, resources
        )
        return [*effects, Send(sender, message)]

    def on_progress(self, sender, message, now):
        """Move late runs elsewhere where they would end sooner."""
        worker = self._workers.get(sender.incarnation)
        if worker is None:
            return []
        stops = []
        effects = []
        for number, run_ms, remaining_run_ms in message.runs:
            record, task = self._outstanding.get(number, (None, None))
            if record is None or self._records.get(record.job.id) is not record:
                continue
            if self._should_reschedule(
                worker, record, task, run_ms, remaining_run_ms, now
            ):
                stops.append(number)
                moved = events.run_moved(record, task, worker, run_ms, remaining_run_ms)
                effects.append(moved)
        if stops:
            effects.append(Send(sender, StopRuns(tuple(stops))))
        return effects

    # Events.

    def on_orders_changed(self, orders, now):
        """Act by the operators' newest orders."""
        if orders.revision <= self._orders.revision:
            return []
        check(
            Invariant.VERSION_RISES,
            self._orders.table is None
            or (orders.table is not None and orders.table.version >= self.version),
            before=self.version,
        )
        self._orders = orders
        self._workers.evacuated = frozenset(orders.evacuated)
        applied = events.orders_applied(orders, self.version)
        self._placing_due = True
        return [applied, *self._dispatch(now)]

    def set_entries(self, entries):
        """Take the addresses of all entries, to be told to agents."""
        self._entries = tuple(entries)

    def tick(self, now):
        """Act on deadlines and silent agents."""
        effects = []
        for worker in self._workers.remove_expired(now):
            effects.append(events.worker_lost(worker, now))
            for number in tuple(worker.outstanding):
                effects += self._run_ended(worker, number, RunEnd.LOST, 0.0, now)
            check(
                Invariant.ONE_RUN,
                not worker.outstanding,
                outstanding=worker.outstanding,
            )
        for record in tuple(self._records.values()):
            effects += self._check_deadline(record, now)
        self._placing_due = True
        return effects + self._dispatch(now)

    # Decisions.

    def _refusal(self, record, critical_path_ms, now):
        """Return the code with which a new job is refused, or None."""
        if len(self._records) >= self._settings.queue_jobs:
            return Code.QUEUE_FULL
        if self._too_late(record, critical_path_ms, now):
            return Code.DEADLINE_UNREACHABLE
        service = record.queue.service
        fitting = all(
            self._workers.can_ever_fit(service, step.resources, step.label)
            for step in record.job.steps
        )
        return None if fitting else Code.NO_WORKER_HERE

    def _job_fields(self, record, critical_path_ms, now):
        """Return what decides on taking a job."""
        workers = len(self._workers.serving(record.queue.service, now))
        jobs = len(self._records)
        return events.job_fields(
            record, critical_path_ms, jobs, workers, self.version, now
        )

    def _too_late(self, record, critical_path_ms, now):
        """Return whether a job would miss its deadline on the fastest worker too."""
        serving = self._workers.serving(record.queue.service, now)
        slowdown = min((each.slowdown for each in serving), default=1.0)
        return misses_deadline(critical_path_ms * slowdown, record.deadline, now)

    def _check_deadline(self, record, now):
        """Settle a job that can't end in time any more."""
        if now >= record.deadline:
            ran = record.ever_assigned
            code = Code.LEASE_ENDED if ran else Code.DEADLINE_PASSED
            return self._finish_job(record, code, now)
        if record.ever_assigned:
            return []
        if self._too_late(record, record.remaining_path_ms(now), now):
            return self._finish_job(record, Code.DEADLINE_UNREACHABLE, now)
        return []

    def _run_ended(self, worker, number, end, run_ms, now):
        """Take note of the end of one run; its agent may be forgotten already."""
        if worker is not None:
            worker.outstanding.pop(number, None)
        record, task = self._outstanding.pop(number, (None, None))
        if record is None:
            return []
        effects = self._judge(worker, record, task, end, run_ms, now)
        if end is not RunEnd.DONE:
            effects.append(events.run_failed(record, task, worker, end, run_ms))
        record.end_run(task, end, run_ms)
        self._queue_up(record)
        key = (record.job.id, task.step, task.index)
        if key in self._leftovers:
            self._leftovers.remove(key)
            return effects
        if record.done:
            return effects + self._finish_job(record, Code.OK, now)
        if task.failures >= record.queue.max_attempts:
            return effects + self._finish_job(record, Code.JOB_FAILED, now)
        return effects

    def _judge(self, worker, record, task, end, run_ms, now):
        """Learn from how a run ended; return the events that follow."""
        if worker is None:
            return []
        ejected = worker.health.ejected
        if end is RunEnd.DONE:
            worker.health.on_succeeded()
            declared = record.job.steps[task.step].estimate_ms
            self._workers.update_slowdown(worker, run_ms / max(task.expected_ms, 1.0))
            self._run_time_estimator.add_run_time(
                record.queue.name, declared, run_ms / worker.slowdown
            )
        elif end is RunEnd.FAILED:
            for each in task.blamed_workers:
                each.health.undo_failure()
            if not task.failures:
                worker.health.on_failed(now)
                task.blamed_workers.append(worker)
        else:
            worker.health.on_start_failed()
        if worker.health.ejected and not ejected:
            return [events.worker_ejected(record, worker, end)]
        return []

    def _should_reschedule(self, worker, record, task, run_ms, remaining_run_ms, now):
        """Return whether a late run is to be stopped and tried elsewhere."""
        others = [
            each
            for each in self._workers.serving(record.queue.service, now)
            if each is not worker and not each.health.ejected
        ]
        if not others:
            return False
        fresh_ms = task.expected_ms * min(each.slowdown for each in others)
        if remaining_run_ms is not None:
            if (
                task.rescheduled
                or remaining_run_ms <= RESCHEDULE_FACTOR * fresh_ms + RESCHEDULE_COST_MS
            ):
                return False
            task.rescheduled = True
            slowdown = (run_ms + remaining_run_ms) / max(task.expected_ms, 1.0)
            self._workers.update_slowdown(worker, slowdown, STALL_WEIGHT)
        worker.health.on_failed(now)
        task.excluded_agents.add(worker.peer.incarnation)
        return True

    def _finish_job(self, record, code, now):
        """Answer a job's requests and stop what still runs of it."""
        if code is Code.OK:
            check(Invariant.ANSWER_WHOLE, record.done, id=record.job.id)
        if code.verdict is Verdict.NOT_RUN:
            check(
                Invariant.NOT_RUN_TRUE,
                not record.ever_assigned or code is Code.CANCELLED,
            )
        answers = [
            RequestAnswer(request_id, record.job.id, code, _retry_after_s(code))
            for request_id in record.requests
        ]
        finished = events.job_finished(record, code, now)
        return [finished, *answers, *self._drop(record)]

    def _drop(self, record):
        """Forget a job; stop its runs and remember them until they have ended."""
        del self._records[record.job.id]
        self._queue_up(record)
        stops = {}
        for task in record.assigned_tasks:
            self._leftovers.add((record.job.id, task.step, task.index))
            stops.setdefault(task.agent, []).append(task.number)
        return [
            Send(self._workers.get(agent).peer, StopRuns(tuple(assignment_numbers)))
            for agent, assignment_numbers in stops.items()
            if self._workers.get(agent) is not None
        ]

    # Placing.

    def _queue_up(self, record):
        """Keep a job among those that wait as long as it has tasks that do.

        A settled job whose runs have not all ended may have a successor of its id.
        """
        job_id = record.job.id
        waiting = self._waiting.setdefault(record.queue.service, {})
        if self._records.get(job_id) is record and record.has_waiting:
            waiting[job_id] = record
        elif waiting.get(job_id) is record:
            del waiting[job_id]

    def _eligible(self, record):
        """Yield the tasks that may be ordered: no other run of them can live."""
        for task in record.ready():
            if (record.job.id, task.step, task.index) not in self._leftovers:
                yield task

    def _queued(self, service, now):
        """Return the jobs of a service that wait for room, in order of rank."""
        queued = []
        for record in self._waiting.get(service, {}).values():
            rank = job_rank(
                record.queue.priority,
                record.ever_assigned,
                record.remaining_work(),
                record.remaining_path_ms(now),
                record.objective_at,
                now,
            )
            queued.append((rank, record))
        queued.sort(key=lambda each: each[0])
        return queued

    def _dispatch(self, now):
        """Order waiting tasks where room is known, and say that others wait.

        Nothing is looked at unless a task, room or time has come since the last call.
        """
        if not self._placing_due:
            return []
        self._placing_due = False
        runs = {}
        effects = []
        for service in [name for name, jobs in self._waiting.items() if jobs]:
            blocked = self._place(service, runs, effects, now)
            if blocked is not None:
                effects += self._demand_notifier.notify(service, *blocked, now)
        for incarnation, assigned in runs.items():
            worker = self._workers.get(incarnation)
            message = StartRuns(worker.requested_at_ms, tuple(assigned))
            effects.append(Send(worker.peer, message))
        return effects

    def _place(self, service, runs, effects, now):
        """Order the tasks of a service; return rank and room of the first left."""
        for rank, record in self._queued(service, now):
            assignments = []
            blocked = None
            for task in tuple(self._eligible(record)):
                step = record.job.steps[task.step]
                worker = self._workers.choose(
                    service, step.resources, step.label, task.excluded_agents, now
                )
                if worker is None:
                    blocked = rank, step.resources
                    break
                run = self._assign(record, task, worker, now)
                assignments.append((task, worker))
                runs.setdefault(worker.peer.incarnation, []).append(run)
            effects += self._assignment_events(record, assignments, now)
            if blocked is not None:
                return blocked
        return None

    def _assign(self, record, task, worker, now):
        """Return the order for a task, which is out from now on."""
        self._next_number += 1
        number = self._next_number
        step = record.job.steps[task.step]
        record.assign(task, number, worker.peer.incarnation, now)
        self._outstanding[number] = (record, task)
        worker.on_assigned(number, step.resources, now)
        return Run(
            number,
            record.job.id,
            task.step,
            task.index,
            task.attempt,
            record.job.payload,
            step.resources,
            task.expected_ms * worker.slowdown,
        )

    def _assignment_events(self, record, assignments, now):
        """Return the event of the orders that a decision gave to a job, if any."""
        if not assignments:
            return []
        self._queue_up(record)
        return [events.runs_assigned(record, assignments, now)]


def _retry_after_s(code):
    """Return when a caller with that answer may come again; 0 for never."""
    return RETRY_AFTER_S if code.http_status == HTTP_UNAVAILABLE else 0
