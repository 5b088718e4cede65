"""The task that owns an entry's dispatcher, and carries out its decisions."""

import asyncio
import uuid
from dataclasses import dataclass

from ragwortlug.actor import PeerActor, Tick
from ragwortlug.codes import Code
from ragwortlug.envelope import Send
from ragwortlug.events import Event, EventName
from ragwortlug.jobs.dispatcher import RequestAnswer
from ragwortlug.lease_messages import Offer, Progress, Renewal, RunsEnded
from ragwortlug.policy.overload import LoadShedder
from ragwortlug.restartable_model import Orders, Queue, RestartableJob

TICK_S = 0.05
MS_PER_S = 1000.0
# The histogram and the fact, in milliseconds, of each event that tells durations.
DURATIONS = {
    EventName.RUNS_ORDERED: ("run_waited", "waited_ms"),
    EventName.JOB_DONE: ("run", "run_ms"),
    EventName.JOB_REFUSED: ("refusal", "elapsed_ms"),
}


@dataclass(frozen=True, slots=True)
class SubmitWork:
    """A request to run a job until a deadline, in monotonic seconds."""

    request_id: str
    job: RestartableJob
    queue: Queue
    deadline: float


@dataclass(frozen=True, slots=True)
class AbandonWork:
    """A request is taken back: nobody waits for its answer."""

    request_id: str
    job_id: str


class DispatcherActor(PeerActor):
    """The task that owns the dispatcher.

    Parameters
    ----------
    dispatcher : Dispatcher
        The decisions.
    gossip, peers, timer, metrics, journal
        The services of those names.
    """

    def __init__(self, dispatcher, gossip, peers, timer, metrics, journal):
        super().__init__("dispatcher", peers, timer, metrics)
        self._dispatcher = dispatcher
        self._gossip = gossip
        self._waiting = {}
        self._journal = journal
        self._load_shedder = LoadShedder(TICK_S)
        decisions = {
            Renewal: dispatcher.on_renewal,
            RunsEnded: dispatcher.on_runs_ended,
            Offer: dispatcher.on_offer,
            Progress: dispatcher.on_progress,
        }
        for kind, decide in decisions.items():
            self._serve(kind, decide)
        self.register_handler(Tick, lambda *_: self._tick())
        self.register_handler(Orders, lambda _, each: self._apply(each))
        self.register_handler(SubmitWork, lambda _, each: self._submit(each))
        self.register_handler(AbandonWork, lambda _, each: self._abandon(each))
        metrics.gauge("open_jobs", lambda: dispatcher.open_jobs)
        metrics.gauge("running_tasks", lambda: dispatcher.running_tasks)
        metrics.gauge("late_seconds", lambda: self._load_shedder.lag_s)
        metrics.gauge("workers_known", lambda: len(list(dispatcher.workers)))

    @property
    def open_jobs(self):
        """Return the number of jobs that are not settled."""
        return self._dispatcher.open_jobs

    @property
    def saturated(self):
        """Return whether callers are to go to another entry."""
        return self._load_shedder.saturated

    def unassigned_jobs(self, queue_name):
        """Return the number of a queue's jobs of which no task has started."""
        return self._dispatcher.unassigned_jobs(queue_name)

    async def start(self):
        """Begin to serve."""
        await super().start()
        self._gossip.changes.subscribe(lambda each: self.post(None, each))
        self._timer.every(TICK_S, lambda: self.post(None, Tick()))

    async def run(self, job, queue, limit_s):
        """Run a job; return its `RequestAnswer`.

        If the caller is cancelled, the job is given up.
        """
        request_id = uuid.uuid4().hex
        future = asyncio.get_running_loop().create_future()
        self._waiting[request_id] = future
        started_at = self._timer.monotonic()
        if self._admit(job):
            self.post(None, SubmitWork(request_id, job, queue, started_at + limit_s))
        else:
            code = Code.ENTRY_OVERLOADED
            self._perform(self._dispatcher.refuse(request_id, job.id, code))
        try:
            answer = await future
        except asyncio.CancelledError:
            self.post(None, AbandonWork(request_id, job.id))
            raise
        finally:
            del self._waiting[request_id]
        self._metrics.time(f"job_{answer.code.name.lower()}", self._since(started_at))
        return answer

    def delete(self, job_id):
        """Cancel a job; return whether it is here."""
        effects = self._dispatcher.delete(job_id, self._timer.monotonic())
        self._perform(effects or ())
        return effects is not None

    def _admit(self, job):
        """Return whether a job is taken, as far as the processor goes.

        A request for a job that is open here costs next to nothing.
        """
        if self._dispatcher.has_job(job.id):
            return True
        return self._load_shedder.admit(sum(each.count for each in job.steps))

    def _since(self, started_at):
        """Return the seconds since a moment."""
        return self._timer.monotonic() - started_at

    def _submit(self, event):
        """Tell the dispatcher of a submission."""
        now = self._timer.monotonic()
        self._perform(
            self._dispatcher.submit(
                event.request_id, event.job, event.queue, event.deadline, now
            )
        )

    def _abandon(self, event):
        """Tell the dispatcher that nobody waits for an answer."""
        now = self._timer.monotonic()
        self._metrics.count("requests_abandoned")
        self._perform(self._dispatcher.cancel(event.request_id, event.job_id, now))

    def _apply(self, orders):
        """Tell the dispatcher of new orders."""
        now = self._timer.monotonic()
        self._perform(self._dispatcher.on_orders_changed(orders, now))

    def _tick(self):
        """Tell the dispatcher that time has passed."""
        now = self._timer.monotonic()
        before = self._load_shedder.limit_per_s
        self._load_shedder.on_tick(now)
        self._tell_bound(before)
        self._dispatcher.set_entries(self._gossip.entries)
        self._perform(self._dispatcher.tick(now))

    def _tell_bound(self, before):
        """Tell when the processor begins and ceases to bound what is taken."""
        limit = self._load_shedder.limit_per_s
        if (limit is None) == (before is None):
            return
        lag_ms = round(self._load_shedder.lag_s * MS_PER_S)
        fields = {"late_ms": lag_ms, "jobs": self._dispatcher.open_jobs}
        if limit is None:
            self._journal.write_event(EventName.RELIEVED, **fields)
        else:
            fields["tasks_per_s"] = round(limit)
            self._journal.write_event(EventName.OVERLOADED, **fields)

    def _perform(self, effects):
        """Send messages and answer requests."""
        for effect in effects:
            if isinstance(effect, Send):
                self._peers.send(effect.receiver, effect.body)
            elif isinstance(effect, Event):
                self._metrics.count("events", effect.name.value)
                self._time(effect)
                self._journal.emit(effect)
            else:
                self._answer_request(effect)

    def _time(self, event):
        """Take the durations that an event tells of into the histograms."""
        duration = DURATIONS.get(event.name)
        if duration is not None:
            name, field = duration
            told = event.fields[field]
            for each in told if isinstance(told, list) else (told,):
                self._metrics.time(name, each / MS_PER_S)

    def _answer_request(self, answer: RequestAnswer):
        """Give a request its answer."""
        self._metrics.count("jobs_settled", answer.code.name)
        future = self._waiting.get(answer.request_id)
        if future is not None and not future.done():
            future.set_result(answer)
        elif answer.code is not Code.OK:
            self._log.debug("Nobody waits for {}.", answer.job_id)
