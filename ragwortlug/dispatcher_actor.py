"""The task that owns an entry's dispatcher, and carries out its decisions."""

import asyncio
import uuid
from dataclasses import dataclass

from ragwortlug.actor import PeerActor, Tick
from ragwortlug.codes import Code
from ragwortlug.envelope import Send
from ragwortlug.events import Event, EventName
from ragwortlug.jobs.dispatcher import JobSettled
from ragwortlug.lease_messages import Offer, Progress, Renewal, RunsEnded
from ragwortlug.policy.overload import Overload
from ragwortlug.work import Orders, Queue, RestartableJob

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

    request: str
    job: RestartableJob
    queue: Queue
    deadline: float


@dataclass(frozen=True, slots=True)
class AbandonWork:
    """A request is taken back: nobody waits for its answer."""

    request: str
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
        self._overload = Overload(TICK_S)
        decisions = {
            Renewal: dispatcher.renewal,
            RunsEnded: dispatcher.runs_ended,
            Offer: dispatcher.offer,
            Progress: dispatcher.progress,
        }
        for kind, decide in decisions.items():
            self._serve(kind, decide)
        self.handle(Tick, lambda *_: self._tick())
        self.handle(Orders, lambda _, each: self._apply(each))
        self.handle(SubmitWork, lambda _, each: self._submit(each))
        self.handle(AbandonWork, lambda _, each: self._abandon(each))
        metrics.gauge("open_jobs", lambda: dispatcher.open_jobs)
        metrics.gauge("running_tasks", lambda: dispatcher.running_tasks)
        metrics.gauge("late_seconds", lambda: self._overload.late_s)
        metrics.gauge("workers_known", lambda: len(list(dispatcher.workers)))

    @property
    def open_jobs(self):
        """Return the number of jobs that are not settled."""
        return self._dispatcher.open_jobs

    @property
    def saturated(self):
        """Return whether callers are to go to another entry."""
        return self._overload.saturated

    def unbegun(self, queue_name):
        """Return the number of a queue's jobs of which no task has started."""
        return self._dispatcher.unbegun(queue_name)

    async def start(self):
        """Begin to serve."""
        await super().start()
        self._gossip.changes.subscribe(lambda each: self.post(None, each))
        self._timer.every(TICK_S, lambda: self.post(None, Tick()))

    async def run(self, job, queue, limit_s):
        """Run a job; return its `JobSettled`.

        If the caller is cancelled, the job is given up.
        """
        request = uuid.uuid4().hex
        future = asyncio.get_running_loop().create_future()
        self._waiting[request] = future
        began = self._timer.monotonic()
        if self._takes(job):
            self.post(None, SubmitWork(request, job, queue, began + limit_s))
        else:
            code = Code.ENTRY_OVERLOADED
            self._perform(self._dispatcher.refuse(request, job.id, code))
        try:
            settled = await future
        except asyncio.CancelledError:
            self.post(None, AbandonWork(request, job.id))
            raise
        finally:
            del self._waiting[request]
        self._metrics.time(f"job_{settled.code.name.lower()}", self._since(began))
        return settled

    def delete(self, job_id):
        """Cancel a job; return whether it is here."""
        effects = self._dispatcher.delete(job_id, self._timer.monotonic())
        self._perform(effects or ())
        return effects is not None

    def _takes(self, job):
        """Return whether a job is taken, as far as the processor goes.

        A request for a job that is open here costs next to nothing.
        """
        if self._dispatcher.knows(job.id):
            return True
        return self._overload.takes(sum(each.count for each in job.steps))

    def _since(self, began):
        """Return the seconds since a moment."""
        return self._timer.monotonic() - began

    def _submit(self, event):
        """Tell the dispatcher of a submission."""
        now = self._timer.monotonic()
        self._perform(
            self._dispatcher.submit(
                event.request, event.job, event.queue, event.deadline, now
            )
        )

    def _abandon(self, event):
        """Tell the dispatcher that nobody waits for an answer."""
        now = self._timer.monotonic()
        self._metrics.count("requests_abandoned")
        self._perform(self._dispatcher.cancel(event.request, event.job_id, now))

    def _apply(self, orders):
        """Tell the dispatcher of new orders."""
        now = self._timer.monotonic()
        self._perform(self._dispatcher.orders_changed(orders, now))

    def _tick(self):
        """Tell the dispatcher that time has passed."""
        now = self._timer.monotonic()
        before = self._overload.limit_per_s
        self._overload.ticked(now)
        self._tell_bound(before)
        self._dispatcher.entries_known(self._gossip.entries)
        self._perform(self._dispatcher.tick(now))

    def _tell_bound(self, before):
        """Tell when the processor begins and ceases to bound what is taken."""
        limit = self._overload.limit_per_s
        if (limit is None) == (before is None):
            return
        late_ms = round(self._overload.late_s * MS_PER_S)
        facts = {"late_ms": late_ms, "jobs": self._dispatcher.open_jobs}
        if limit is None:
            self._journal.tell(EventName.RELIEVED, **facts)
        else:
            facts["tasks_per_s"] = round(limit)
            self._journal.tell(EventName.OVERLOADED, **facts)

    def _perform(self, effects):
        """Send messages and answer requests."""
        for effect in effects:
            if isinstance(effect, Send):
                self._peers.send(effect.to, effect.body)
            elif isinstance(effect, Event):
                self._metrics.count("events", effect.name.value)
                self._time(effect)
                self._journal.emit(effect)
            else:
                self._settle(effect)

    def _time(self, event):
        """Take the durations that an event tells of into the histograms."""
        duration = DURATIONS.get(event.name)
        if duration is not None:
            name, fact = duration
            told = event.facts[fact]
            for each in told if isinstance(told, list) else (told,):
                self._metrics.time(name, each / MS_PER_S)

    def _settle(self, settled: JobSettled):
        """Give a request its answer."""
        self._metrics.count("jobs_settled", settled.code.name)
        future = self._waiting.get(settled.request)
        if future is not None and not future.done():
            future.set_result(settled)
        elif settled.code is not Code.OK:
            self._log.debug("Nobody waits for {}.", settled.job_id)
