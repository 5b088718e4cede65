"""The actor that owns an entry's dispatcher and carries out its decisions."""

import asyncio
import uuid
from collections.abc import Callable
from dataclasses import dataclass

from ragwortlug.actor import PeerActor, Tick
from ragwortlug.codes import Code
from ragwortlug.envelope import Send
from ragwortlug.events import Event, EventName
from ragwortlug.jobs import dispatch_events as events
from ragwortlug.jobs.refusal import Refusal, refuse_request
from ragwortlug.jobs.request_answer import RequestAnswer
from ragwortlug.lease_messages import (
    AttachedRequestEnded,
    AttachRequest,
    CancelJobs,
    CancelsReceived,
    DetachRequest,
    EntryState,
    Offer,
    OpenJobs,
    Progress,
    Relayed,
    Renewal,
    RequestAttached,
    RunsEnded,
    RunsStopping,
    WorkerCrashed,
)
from ragwortlug.policy.overload import LoadShedder
from ragwortlug.restartable_model import Orders, Queue, RestartableJob

TICK_S = 0.05
MS_PER_S = 1000.0
# Longer than another entry that has stopped counts as in contact.
MAX_CONFIRMATION_S = 1.5
# The histogram and the field, in milliseconds, of each event that reports durations.
DURATIONS = {
    EventName.RUNS_ORDERED: ("run_waited", "waited_ms"),
    EventName.JOB_DONE: ("run", "run_ms"),
    EventName.JOB_REFUSED: ("refusal", "elapsed_ms"),
}


@dataclass(frozen=True, slots=True)
class SubmitWork:
    """A request to run a job, with its arrival and deadline in monotonic seconds.

    `has_left` returns whether its caller has closed the connection.
    """

    request_id: str
    job: RestartableJob
    queue: Queue
    arrived: float
    deadline: float
    has_left: Callable[[], bool]


@dataclass(frozen=True, slots=True)
class AbandonWork:
    """A request is withdrawn; its caller no longer waits for the answer."""

    request_id: str
    job_id: str


class DispatcherActor(PeerActor):
    """The actor that owns the dispatcher.

    Parameters
    ----------
    dispatcher : Dispatcher
        Decides which messages to send and how to answer requests.
    gossip, peers, timer, metrics, journal
        The services of those names.
    """

    def __init__(self, dispatcher, gossip, peers, timer, metrics, journal):
        super().__init__("dispatcher", peers, timer, metrics)
        self._dispatcher = dispatcher
        self._gossip = gossip
        self._waiting = {}
        # The futures of callers whose cancels entries have not acknowledged, by job id.
        self._unacknowledged = {}
        self._journal = journal
        self._load_shedder = LoadShedder(TICK_S)
        self._all_evacuated = False
        decisions = {
            Renewal: dispatcher.on_renewal,
            RunsEnded: dispatcher.on_runs_ended,
            Offer: dispatcher.on_offer,
            Progress: dispatcher.on_progress,
            WorkerCrashed: dispatcher.on_worker_crashed,
            OpenJobs: dispatcher.shared_jobs.on_direct_open_jobs,
            RunsStopping: dispatcher.shared_jobs.on_direct_runs_stopping,
            AttachRequest: dispatcher.shared_jobs.on_attach_request,
            RequestAttached: dispatcher.shared_jobs.on_request_attached,
            AttachedRequestEnded: dispatcher.shared_jobs.on_attached_request_ended,
            DetachRequest: dispatcher.on_detach_request,
            CancelJobs: dispatcher.on_cancel_jobs,
            CancelsReceived: self._on_cancels_received,
            Relayed: self._on_relayed,
        }
        for message_type, decide in decisions.items():
            self._register_decision(message_type, decide)
        self.register_handler(Tick, lambda *_: self._on_tick())
        self.register_handler(Orders, lambda _, orders: self._on_orders(orders))
        self.register_handler(SubmitWork, lambda _, event: self._on_submit(event))
        self.register_handler(AbandonWork, lambda _, event: self._on_abandon(event))
        metrics.gauge("open_jobs", lambda: dispatcher.open_jobs)
        metrics.gauge("running_tasks", lambda: dispatcher.running_tasks)
        metrics.gauge("late_seconds", lambda: self._load_shedder.lag_s)
        cancels = dispatcher.shared_jobs.cancels
        metrics.gauge("cancels_kept", lambda: len(cancels))
        metrics.gauge("cancels_unacknowledged", lambda: cancels.unacknowledged)
        metrics.gauge("workers_known", lambda: len(list(dispatcher.workers)))

    @property
    def open_jobs(self):
        """Return the number of jobs that are not finished."""
        return self._dispatcher.open_jobs

    @property
    def saturated(self):
        """Return whether callers should use another entry.

        This one takes more jobs than it can handle, or reaches no worker that may
        start any.
        """
        return self._load_shedder.saturated or self._all_evacuated

    @property
    def isolated(self):
        """Return whether the contact with all other processes is lost."""
        return self._dispatcher.isolated

    def unstarted_jobs(self, queue_name):
        """Return the number of a queue's jobs without an assigned task."""
        return self._dispatcher.unstarted_jobs(queue_name)

    async def start(self):
        """Start handling messages and periodic ticks."""
        await super().start()
        self._gossip.changes.subscribe(lambda orders: self.post(None, orders))
        self._gossip.sent_states.subscribe(self._relay)
        self._timer.every(TICK_S, lambda: self.post(None, Tick()))

    async def run(self, job, queue, limit_s, unread_s, has_left):
        """Run a job and return its `RequestAnswer`.

        If the awaiting task is cancelled, the request is withdrawn. Nothing is started
        for a request whose caller has left by then.

        Parameters
        ----------
        job : RestartableJob
            The job to run.
        queue : Queue
            The queue that the request was routed to.
        limit_s : float
            Seconds from the arrival of the request until the job's deadline.
        unread_s : float
            Seconds since the arrival of the request.
        has_left : callable
            Returns whether the caller has closed its connection.
        """
        request_id = uuid.uuid4().hex
        future = asyncio.get_running_loop().create_future()
        self._waiting[request_id] = future
        started_at = self._timer.monotonic()
        arrived = started_at - unread_s
        deadline = arrived + limit_s
        submission = SubmitWork(request_id, job, queue, arrived, deadline, has_left)
        if has_left():
            self._drop(submission)
        elif self._admit(job, queue):
            self.post(None, submission)
        else:
            self._refuse_overloaded(submission)
        try:
            answer = await future
        except asyncio.CancelledError:
            self.post(None, AbandonWork(request_id, job.id))
            raise
        finally:
            del self._waiting[request_id]
        self._metrics.time(f"job_{answer.code.name.lower()}", self._since(started_at))
        return answer

    async def delete(self, job_id):
        """Cancel a job; return whether the cancel is confirmed to hold everywhere.

        It is confirmed once each entry in contact has acknowledged it.
        """
        now = self._timer.monotonic()
        self._perform(self._dispatcher.delete(job_id, now))
        if self._dispatcher.lacks_acknowledgement(job_id, now):
            await self._wait_acknowledged(job_id)
        now = self._timer.monotonic()
        lacks_acknowledgement = self._dispatcher.lacks_acknowledgement(job_id, now)
        return (
            self._dispatcher.confirms_cancel(job_id, now) and not lacks_acknowledgement
        )

    async def _wait_acknowledged(self, job_id):
        """Wait until no entry in contact lacks a cancel, for a bounded time."""
        waiters = self._unacknowledged.setdefault(job_id, set())
        waiter = asyncio.get_running_loop().create_future()
        waiters.add(waiter)
        try:
            await asyncio.wait_for(waiter, MAX_CONFIRMATION_S)
        except TimeoutError:
            pass
        finally:
            waiters.discard(waiter)
            if not waiters:
                self._unacknowledged.pop(job_id, None)

    def _release_acknowledged(self, job_ids):
        """End the waits for cancels that no entry in contact lacks any more."""
        now = self._timer.monotonic()
        for job_id in job_ids:
            if self._dispatcher.lacks_acknowledgement(job_id, now):
                continue
            for waiter in self._unacknowledged.get(job_id, ()):
                if not waiter.done():
                    waiter.set_result(None)

    def _admit(self, job, queue):
        """Return whether the load on the processor allows accepting a job.

        A request for a job that is already open is always admitted, since it costs
        almost nothing.
        """
        if self._dispatcher.has_job(job.id, self._timer.monotonic()):
            return True
        tasks = sum(step.count for step in job.steps)
        return self._load_shedder.admit(tasks, queue.priority)

    def _refuse_overloaded(self, submission):
        """Refuse a job that the processor can't handle."""
        fields = events.overload_fields(
            self._load_shedder.limit_per_s, self._load_shedder.lag_s
        )
        refusal = Refusal(Code.ENTRY_OVERLOADED, fields=fields)
        request_id, job_id = submission.request_id, submission.job.id
        self._perform(refuse_request(request_id, job_id, refusal, submission.queue))

    def _drop(self, submission):
        """Start nothing for a request whose caller has left."""
        now, job_id = self._timer.monotonic(), submission.job.id
        left = events.caller_left(job_id, submission.arrived, submission.deadline, now)
        code = Code.OUTCOME_UNKNOWN
        self._perform([left, RequestAnswer(submission.request_id, job_id, code)])

    def _since(self, started_at):
        """Return the seconds since a monotonic time."""
        return self._timer.monotonic() - started_at

    def _on_submit(self, event):
        """Pass a submission to the dispatcher, unless its caller has left."""
        if event.request_id not in self._waiting:
            return
        if event.has_left():
            self._drop(event)
            return
        now = self._timer.monotonic()
        self._perform(
            self._dispatcher.submit(
                event.request_id,
                event.job,
                event.queue,
                event.deadline,
                now,
                event.arrived,
                event.has_left,
            )
        )

    def _on_abandon(self, event):
        """Cancel a request that no caller waits for."""
        now = self._timer.monotonic()
        self._metrics.count("requests_abandoned")
        self._perform(self._dispatcher.cancel(event.request_id, event.job_id, now))

    def _on_orders(self, orders):
        """Pass new orders of the operators to the dispatcher."""
        now = self._timer.monotonic()
        self._perform(self._dispatcher.on_orders_changed(orders, now))

    def _on_tick(self):
        """Update load shedding and the known entries, then run periodic work."""
        now = self._timer.monotonic()
        previous_limit = self._load_shedder.limit_per_s
        round_trip_s = self._dispatcher.workers.median_round_trip_s(now)
        self._load_shedder.on_tick(now, round_trip_s)
        self._write_limit_change(previous_limit)
        own_address = self._peers.own_peer.address
        gossip = self._gossip
        self._dispatcher.set_entries(gossip.entries, own_address, gossip.addresses)
        self._perform(self._dispatcher.tick(now))
        self._release_acknowledged(tuple(self._unacknowledged))
        self._update_evacuated(now)

    def _update_evacuated(self, now):
        """Check whether any worker may start runs; write an event of a change."""
        was_evacuated = self._all_evacuated
        self._all_evacuated = self._dispatcher.workers.all_evacuated(now)
        if self._all_evacuated != was_evacuated:
            evacuated = self._all_evacuated
            name = EventName.ALL_EVACUATED if evacuated else EventName.WORKERS_BACK
            fields = {"revision": self._dispatcher.orders.revision}
            self._journal.write_event(name, jobs=self._dispatcher.open_jobs, **fields)

    def _write_limit_change(self, previous_limit):
        """Write an event when load shedding starts or stops limiting admission."""
        limit = self._load_shedder.limit_per_s
        if (limit is None) == (previous_limit is None):
            return
        lag_ms = round(self._load_shedder.lag_s * MS_PER_S)
        fields = {"late_ms": lag_ms, "jobs": self._dispatcher.open_jobs}
        if limit is None:
            self._journal.write_event(EventName.RELIEVED, **fields)
        else:
            fields["tasks_per_s"] = round(limit)
            self._journal.write_event(EventName.OVERLOADED, **fields)

    def _on_cancels_received(self, sender, message, now):
        """Record the cancels that another entry keeps; confirm them to callers."""
        cancels = self._dispatcher.shared_jobs.cancels
        effects = cancels.on_cancels_received(sender, message, now)
        self._release_acknowledged(message.job_ids)
        return effects

    def _on_relayed(self, sender, message, now):
        """Pass on a message by way of an agent, unless it is for another process."""
        if not message.is_for(self._peers.own_peer):
            return []
        if isinstance(message.body, EntryState):
            self._gossip.on_relayed_state(message.origin, message.body)
            return []
        return self._dispatcher.on_relayed(sender, message, now)

    def _send(self, message):
        """Send a message, by way of agents too if its receiver may not get it."""
        self._peers.send(message.receiver, message.body)
        self._relay(message)

    def _relay(self, message):
        """Send a message by way of agents if its receiver may not get it directly."""
        own_peer, now = self._peers.own_peer, self._timer.monotonic()
        for relay in self._dispatcher.relays(message, own_peer, now):
            self._peers.send(relay.receiver, relay.body)

    def _perform(self, effects):
        """Send messages, write events and answer requests."""
        for effect in effects:
            if isinstance(effect, Send):
                self._send(effect)
            elif isinstance(effect, Event):
                self._metrics.count("events", effect.name.value)
                self._count_refusal(effect)
                self._record_durations(effect)
                self._journal.emit(effect)
            else:
                self._answer_request(effect)

    def _count_refusal(self, event):
        """Count a refused job by its reason and its priority."""
        if event.name is EventName.JOB_REFUSED and "reason" in event.fields:
            reason, priority = event.fields["reason"], event.fields["priority"]
            self._metrics.count("jobs_refused", f"{reason}, priority {priority}")

    def _record_durations(self, event):
        """Record the durations that an event reports in their histogram."""
        duration = DURATIONS.get(event.name)
        if duration is not None:
            name, field = duration
            value = event.fields[field]
            for duration_ms in value if isinstance(value, list) else (value,):
                self._metrics.time(name, duration_ms / MS_PER_S)

    def _answer_request(self, answer: RequestAnswer):
        """Set the result that a request waits for."""
        self._metrics.count("jobs_settled", answer.code.name)
        future = self._waiting.get(answer.request_id)
        if future is not None and not future.done():
            future.set_result(answer)
        elif answer.code is not Code.OK:
            self._log.debug("No caller waits for the answer to job {}.", answer.job_id)
