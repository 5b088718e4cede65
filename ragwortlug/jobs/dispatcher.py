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
from ragwortlug.jobs.restartable import RestartableRecord
from ragwortlug.jobs.room_requests import RoomRequests
from ragwortlug.lease_messages import Renewed, StartRuns, StopRuns
from ragwortlug.policy.forecast import Forecast
from ragwortlug.policy.work_order import objective_ms, rank_of, unreachable
from ragwortlug.policy.workers import STALL_WEIGHT, Workers
from ragwortlug.work import Orders, Room, Run, RunEnd

MS_PER_S = 1000.0
MOVE_FACTOR = 1.5
MOVE_COST_MS = 40.0
RETRY_AFTER_S = 1
HTTP_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class JobSettled:
    """An effect: a request gets its answer.

    Attributes
    ----------
    retry_after_s : int
        When a refused caller may come again; 0 for never.
    """

    request: str
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
        self._out = {}
        self._leftovers = set()
        self._next_number = 0
        self._workers = Workers(settings, rng)
        self._forecast = Forecast()
        self._orders = Orders()
        self._requests = RoomRequests(self._workers)
        self._entries = ()
        self._placing_due = True

    @property
    def open_jobs(self):
        """Return the number of jobs that are not settled."""
        return len(self._records)

    @property
    def running_tasks(self):
        """Return the number of orders that have not ended."""
        return len(self._out)

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

    def unbegun(self, queue_name):
        """Return the number of a queue's jobs of which no task has started."""
        return sum(
            1
            for each in self._records.values()
            if each.queue.name == queue_name and not each.begun
        )

    def knows(self, job_id):
        """Return whether a job is open here."""
        return job_id in self._records

    # Requests.

    def submit(self, request, job, queue, deadline, now):
        """Run a job, or attach the request to the job of that id.

        Parameters
        ----------
        request : str
            Names the request in its `JobSettled`.
        deadline : float
            Monotonic seconds at which the caller stops waiting.
        """
        record = self._records.get(job.id)
        if record is not None:
            record.requests.add(request)
            record.deadline = max(record.deadline, deadline)
            facts = {"requests": len(record.requests)}
            return [Event(EventName.JOB_ATTACHED, job.id, facts)]
        expected = [
            self._forecast.run_ms(queue.name, each.estimate_ms) for each in job.steps
        ]
        record = RestartableRecord(job, queue, now, deadline, 0.0, expected)
        chain_ms = record.chain_left_ms(now)
        record.objective_at = now + objective_ms(queue, chain_ms) / MS_PER_S
        code = self._refusal(record, chain_ms, now)
        if code is not None:
            facts = self._job_facts(record, chain_ms, now)
            return self.refuse(request, job.id, code, facts)
        record.requests.add(request)
        self._records[job.id] = record
        self._queue_up(record)
        facts = self._job_facts(record, chain_ms, now)
        accepted = Event(EventName.JOB_ACCEPTED, job.id, facts)
        self._placing_due = True
        return [accepted, *self._dispatch(now)]

    def refuse(self, request, job_id, code, facts=None):
        """Refuse a job that is not open here; `facts` tell what decided that."""
        facts = (facts or {}) | {"code": code.name, "elapsed_ms": 0}
        return [
            Event(EventName.JOB_REFUSED, job_id, facts),
            JobSettled(request, job_id, code, _retry_after_s(code)),
        ]

    def cancel(self, request, job_id, now):
        """Take back a request; a job without requests is given up."""
        record = self._records.get(job_id)
        if record is None or request not in record.requests:
            return []
        record.requests.discard(request)
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
        return self._settle(record, Code.CANCELLED, now) + self._dispatch(now)

    # Messages of agents.

    def renewal(self, sender, message, now):
        """Renew an agent's permission and take note of its worker."""
        known = self._workers.get(sender.incarnation)
        before = None if known is None else known.accepting
        room = None if known is None else known.free
        worker = self._workers.renewal(sender, message, now)
        if not before or room is None or not room.holds(worker.free):
            self._placing_due = True
        entries = worker.unknown_entries(self._entries, now)
        effects = [Send(sender, Renewed(message.stamp_ms, entries))]
        effects += events.worker_heard(worker, before)
        if message.worker is None or not message.worker.accepting:
            worker.told = False
        unheard_of = worker.unheard_of(message.numbers, now)
        if unheard_of:
            effects.append(Send(sender, StopRuns(unheard_of)))
        return effects + self._dispatch(now)

    def runs_ended(self, sender, message, now):
        """Take note of how runs ended."""
        worker = self._workers.get(sender.incarnation)
        effects = []
        for number, end, run_ms in message.ends:
            effects += self._run_ended(worker, number, end, run_ms, now)
        if worker is not None:
            worker.heard_at = now
            worker.reported_free(message.free, now)
        self._placing_due = True
        return effects + self._dispatch(now)

    def offer(self, sender, message, now):
        """Fill the room that an agent keeps for this dispatcher."""
        worker = self._workers.get(sender.incarnation)
        if worker is None or worker.state is None:
            return []
        worker.heard_at = now
        worker.told = False
        service = worker.state.service
        free = message.free
        runs = []
        usable = worker.state.data_centre not in self._workers.evacuated
        slots = worker.health.slots(len(self._records) + 1, now)
        queued = self._queued(service, now) if usable and slots else []
        best_left = None
        effects = []
        for rank, record in queued:
            orders = []
            for task in tuple(self._eligible(record)):
                step = record.job.steps[task.step]
                fits = free.holds(step.room) and len(runs) < max(slots, 1)
                labelled = not step.label or step.label in worker.state.labels
                avoided = sender.incarnation in task.avoided
                if fits and labelled and not avoided and worker.health.slots(1, now):
                    free = free - step.room
                    runs.append(self._order(record, task, worker, now))
                    orders.append((task, worker))
                elif best_left is None:
                    best_left = (rank, step.room)
            effects += self._ordered(record, orders, now)
        worker.told = best_left is not None
        rank, room = best_left or (None, Room())
        message = StartRuns(worker.stamp_ms, tuple(runs), message.number, rank, room)
        return [*effects, Send(sender, message)]

    def progress(self, sender, message, now):
        """Move late runs elsewhere where they would end sooner."""
        worker = self._workers.get(sender.incarnation)
        if worker is None:
            return []
        stops = []
        effects = []
        for number, run_ms, rest_ms in message.runs:
            record, task = self._out.get(number, (None, None))
            if record is None or self._records.get(record.job.id) is not record:
                continue
            if self._stalled(worker, record, task, run_ms, rest_ms, now):
                stops.append(number)
                moved = events.run_moved(record, task, worker, run_ms, rest_ms)
                effects.append(moved)
        if stops:
            effects.append(Send(sender, StopRuns(tuple(stops))))
        return effects

    # Events.

    def orders_changed(self, orders, now):
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

    def entries_known(self, entries):
        """Take the addresses of all entries, to be told to agents."""
        self._entries = tuple(entries)

    def tick(self, now):
        """Act on deadlines and silent agents."""
        effects = []
        for worker in self._workers.lost(now):
            effects.append(events.worker_lost(worker, now))
            for number in tuple(worker.out):
                effects += self._run_ended(worker, number, RunEnd.LOST, 0.0, now)
            check(Invariant.ONE_RUN, not worker.out, out=worker.out)
        for record in tuple(self._records.values()):
            effects += self._check_deadline(record, now)
        self._placing_due = True
        return effects + self._dispatch(now)

    # Decisions.

    def _refusal(self, record, chain_ms, now):
        """Return the code with which a new job is refused, or None."""
        if len(self._records) >= self._settings.queue_jobs:
            return Code.QUEUE_FULL
        if self._too_late(record, chain_ms, now):
            return Code.DEADLINE_UNREACHABLE
        service = record.queue.service
        fitting = all(
            self._workers.could_ever_hold(service, step.room, step.label)
            for step in record.job.steps
        )
        return None if fitting else Code.NO_WORKER_HERE

    def _job_facts(self, record, chain_ms, now):
        """Return what decides on taking a job."""
        workers = len(self._workers.serving(record.queue.service, now))
        jobs = len(self._records)
        return events.job_facts(record, chain_ms, jobs, workers, self.version, now)

    def _too_late(self, record, chain_ms, now):
        """Return whether a job would miss its deadline on the fastest worker too."""
        serving = self._workers.serving(record.queue.service, now)
        ratio = min((each.ratio for each in serving), default=1.0)
        return unreachable(chain_ms * ratio, record.deadline, now)

    def _check_deadline(self, record, now):
        """Settle a job that can't end in time any more."""
        if now >= record.deadline:
            ran = record.begun
            code = Code.LEASE_ENDED if ran else Code.DEADLINE_PASSED
            return self._settle(record, code, now)
        if record.begun:
            return []
        if self._too_late(record, record.chain_left_ms(now), now):
            return self._settle(record, Code.DEADLINE_UNREACHABLE, now)
        return []

    def _run_ended(self, worker, number, end, run_ms, now):
        """Take note of the end of one run; its agent may be forgotten already."""
        if worker is not None:
            worker.out.pop(number, None)
        record, task = self._out.pop(number, (None, None))
        if record is None:
            return []
        effects = self._judge(worker, record, task, end, run_ms, now)
        if end is not RunEnd.DONE:
            effects.append(events.run_failed(record, task, worker, end, run_ms))
        record.ended(task, end, run_ms)
        self._queue_up(record)
        key = (record.job.id, task.step, task.index)
        if key in self._leftovers:
            self._leftovers.remove(key)
            return effects
        if record.done:
            return effects + self._settle(record, Code.OK, now)
        if task.failures >= record.queue.max_attempts:
            return effects + self._settle(record, Code.JOB_FAILED, now)
        return effects

    def _judge(self, worker, record, task, end, run_ms, now):
        """Learn from how a run ended; return the events that follow."""
        if worker is None:
            return []
        resting = worker.health.resting
        if end is RunEnd.DONE:
            worker.health.succeeded()
            declared = record.job.steps[task.step].estimate_ms
            self._workers.learn_speed(worker, run_ms / max(task.expected_ms, 1.0))
            self._forecast.learn(record.queue.name, declared, run_ms / worker.ratio)
        elif end is RunEnd.FAILED:
            for each in task.blamed:
                each.health.excused()
            if not task.failures:
                worker.health.failed(now)
                task.blamed.append(worker)
        else:
            worker.health.unstarted()
        if worker.health.resting and not resting:
            return [events.worker_rests(record, worker, end)]
        return []

    def _stalled(self, worker, record, task, run_ms, rest_ms, now):
        """Return whether a late run is to be stopped and tried elsewhere."""
        others = [
            each
            for each in self._workers.serving(record.queue.service, now)
            if each is not worker and not each.health.resting
        ]
        if not others:
            return False
        fresh_ms = task.expected_ms * min(each.ratio for each in others)
        if rest_ms is not None:
            if task.moved or rest_ms <= MOVE_FACTOR * fresh_ms + MOVE_COST_MS:
                return False
            task.moved = True
            ratio = (run_ms + rest_ms) / max(task.expected_ms, 1.0)
            self._workers.learn_speed(worker, ratio, STALL_WEIGHT)
        worker.health.failed(now)
        task.avoided.add(worker.peer.incarnation)
        return True

    def _settle(self, record, code, now):
        """Answer a job's requests and stop what still runs of it."""
        if code is Code.OK:
            check(Invariant.ANSWER_WHOLE, record.done, id=record.job.id)
        if code.verdict is Verdict.NOT_RUN:
            check(Invariant.NOT_RUN_TRUE, not record.begun or code is Code.CANCELLED)
        answers = [
            JobSettled(request, record.job.id, code, _retry_after_s(code))
            for request in record.requests
        ]
        settled = events.job_settled(record, code, now)
        return [settled, *answers, *self._drop(record)]

    def _drop(self, record):
        """Forget a job; stop its runs and remember them until they have ended."""
        del self._records[record.job.id]
        self._queue_up(record)
        stops = {}
        for task in record.out:
            self._leftovers.add((record.job.id, task.step, task.index))
            stops.setdefault(task.agent, []).append(task.number)
        return [
            Send(self._workers.get(agent).peer, StopRuns(tuple(numbers)))
            for agent, numbers in stops.items()
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
            rank = rank_of(
                record.queue.priority,
                record.begun,
                record.work_left(),
                record.chain_left_ms(now),
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
                effects += self._requests.tell(service, *blocked, now)
        for incarnation, ordered in runs.items():
            worker = self._workers.get(incarnation)
            message = StartRuns(worker.stamp_ms, tuple(ordered))
            effects.append(Send(worker.peer, message))
        return effects

    def _place(self, service, runs, effects, now):
        """Order the tasks of a service; return rank and room of the first left."""
        for rank, record in self._queued(service, now):
            orders = []
            blocked = None
            for task in tuple(self._eligible(record)):
                step = record.job.steps[task.step]
                worker = self._workers.choose(
                    service, step.room, step.label, task.avoided, now
                )
                if worker is None:
                    blocked = rank, step.room
                    break
                run = self._order(record, task, worker, now)
                orders.append((task, worker))
                runs.setdefault(worker.peer.incarnation, []).append(run)
            effects += self._ordered(record, orders, now)
            if blocked is not None:
                return blocked
        return None

    def _order(self, record, task, worker, now):
        """Return the order for a task, which is out from now on."""
        self._next_number += 1
        number = self._next_number
        step = record.job.steps[task.step]
        record.order(task, number, worker.peer.incarnation, now)
        self._out[number] = (record, task)
        worker.ordered(number, step.room, now)
        return Run(
            number,
            record.job.id,
            task.step,
            task.index,
            task.attempt,
            record.job.payload,
            step.room,
            task.expected_ms * worker.ratio,
        )

    def _ordered(self, record, orders, now):
        """Return the event of the orders that a decision gave to a job, if any."""
        if not orders:
            return []
        self._queue_up(record)
        return [events.runs_ordered(record, orders, now)]


def _retry_after_s(code):
    """Return when a caller with that answer may come again; 0 for never."""
    return RETRY_AFTER_S if code.http_status == HTTP_UNAVAILABLE else 0
