"""The task that owns an agent's leased runner, and makes the calls to its worker."""

import asyncio
from dataclasses import dataclass

from ragwortlug.actor import PeerActor, Tick, cancel_all
from ragwortlug.envelope import Peer, Send
from ragwortlug.errors import WorkerFencedError, WorkerSilentError
from ragwortlug.events import Event, EventName
from ragwortlug.jobs.dispatchers import Dispatchers
from ragwortlug.jobs.worker_calls import (
    LookAtWorker,
    StartAnswer,
    StartOnWorker,
    StopOnWorker,
    TellDispatchers,
    WorkerLists,
    WorkerReport,
)
from ragwortlug.lease_messages import Renewed, StartRuns, StopRuns, Wants

TICK_S = 0.05
# How much later than asked a look may answer before the next one begins.
OVERDUE_S = 0.03
PAUSE_AFTER_FAILURE_S = 0.05
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class WorkerDeparted:
    """The worker says that it ends."""

    worker_id: str


@dataclass(frozen=True, slots=True)
class Looked:
    """The worker has answered a look."""

    lists: WorkerLists
    asked_at: float


@dataclass(frozen=True, slots=True)
class LookFailed:
    """A boot of the worker has not answered; `refused` if its port is closed."""

    boot: tuple
    refused: bool


@dataclass(frozen=True, slots=True)
class Fenced:
    """The worker has seen a higher token."""

    clock_ms: int


@dataclass(frozen=True, slots=True)
class StartAnswered:
    """The worker has answered, or not, the order to start a run."""

    key: tuple
    answer: StartAnswer


@dataclass(frozen=True, slots=True)
class StopAnswered:
    """The worker has answered, or not, the order to stop a run."""

    order: StopOnWorker
    answered: bool


@dataclass(frozen=True, slots=True)
class Leave:
    """The agent is to stop."""


class LeasedActor(PeerActor):
    """The task that owns the leased runner, and the calls to the worker.

    Parameters
    ----------
    runner : LeasedRunner
        The decisions.
    client : object
        Carries out ``start_run``, ``stop_run`` and ``look`` on the worker.
    seeds : sequence of str
        Addresses of dispatchers to begin with.
    settings : RestartSettings
        Times and bounds.
    peers, timer, metrics, journal
        The services of those names.
    """

    def __init__(self, runner, client, seeds, settings, peers, timer, metrics, journal):
        super().__init__("runner", peers, timer, metrics)
        self._runner = runner
        self._client = client
        self._settings = settings
        self._dispatchers = Dispatchers(peers.own.address, settings)
        self._silent = set()
        self.meet(seeds)
        self._journal = journal
        self._watching = None
        self._wake = asyncio.Event()
        decisions = {
            Renewed: self._renewed,
            StartRuns: runner.start_runs,
            StopRuns: runner.stop_runs,
            Wants: runner.wants,
        }
        for kind, decide in decisions.items():
            self._serve(kind, decide)
        events = {
            Tick: lambda _, now: self._tick(now),
            Leave: lambda _, now: runner.leave(),
            WorkerReport: runner.reported,
            WorkerDeparted: lambda each, now: runner.departed(each.worker_id),
            Looked: lambda each, now: runner.looked(each.lists, each.asked_at, now),
            LookFailed: lambda each, now: runner.look_failed(
                each.boot, each.refused, now
            ),
            Fenced: lambda each, now: runner.fenced(each.clock_ms),
            StartAnswered: self._start_answered,
            StopAnswered: lambda each, now: runner.stop_answered(
                each.order.task, each.order.attempt, each.answered, now
            ),
        }
        for kind, decide in events.items():
            self._take(kind, decide)
        metrics.gauge("running_tasks", lambda: runner.running)
        metrics.gauge("free_millicores", lambda: runner.free.cpu)

    @property
    def idle(self):
        """Return whether nothing runs and no message waits."""
        return not self._runner.running and not self.backlog

    def meet(self, addresses):
        """Take addresses at which dispatchers may be."""
        self._dispatchers.meet(addresses)

    @property
    def heard_at(self):
        """Return the monotonic seconds of the latest renewal, or 0."""
        return self._dispatchers.heard_at

    def leave(self):
        """Take no new runs from now on."""
        self.post(None, Leave())

    async def start(self):
        """Begin to serve."""
        await super().start()
        self._watching = asyncio.create_task(self._watch())
        self._timer.every(TICK_S, lambda: self.post(None, Tick()))

    async def stop(self):
        """End the calls to the worker."""
        await cancel_all([self._watching])
        await super().stop()

    # Messages and events.

    def _take(self, kind, decide):
        """Answer events of a kind by a decision of the runner."""
        self.handle(
            kind, lambda _, each: self._perform(decide(each, self._timer.monotonic()))
        )

    def _renewed(self, sender, message, now):
        """Take a renewal, and the entries that the dispatcher knows."""
        if sender.address in self._silent:
            self._silent.discard(sender.address)
            facts = {"dispatcher": sender.address}
            self._journal.tell(EventName.DISPATCHER_ANSWERS, **facts)
        self._dispatchers.heard(sender.address, now)
        self.meet(message.entries)
        return self._runner.renewed(sender, message, now)

    def _start_answered(self, event, now):
        """Count and take the worker's answer to a start."""
        self._metrics.count("starts_answered", event.answer.name)
        return self._runner.start_answered(event.key, event.answer, now)

    def _tick(self, now):
        """Ask for renewals that are due, and let the runner look after time."""
        busy = self._runner.active_dispatchers()
        for address in self._dispatchers.due(busy, now):
            self._ask(address, now)
        return self._runner.tick(now)

    def _ask(self, address, now):
        """Ask one dispatcher for a renewal, on a new connection if it is silent."""
        if self._dispatchers.asked(address, now):
            self._peers.reconnect(address)
            if address not in self._silent:
                self._silent.add(address)
                facts = {"dispatcher": address, "runs": self._runner.running}
                self._journal.tell(EventName.DISPATCHER_SILENT, **facts)
        self._peers.send(Peer(address), self._runner.renewal(address, now))

    # Effects.

    def _perform(self, effects):
        """Carry out effects."""
        for effect in effects:
            if isinstance(effect, Send):
                self._peers.send(effect.to, effect.body)
            elif isinstance(effect, Event):
                self._metrics.count("events", effect.name.value)
                self._journal.emit(effect)
            elif isinstance(effect, StartOnWorker):
                self._call(self._start_run(effect))
            elif isinstance(effect, StopOnWorker):
                self._call(self._stop_run(effect))
            elif isinstance(effect, LookAtWorker):
                self._call(self._look(0))
            elif isinstance(effect, TellDispatchers):
                now = self._timer.monotonic()
                for address in self._dispatchers.kept(now):
                    self._ask(address, now)
        if self._runner.running:
            self._wake.set()

    async def _start_run(self, order):
        """Start a run on the worker and post its answer."""
        worker = self._runner.worker
        if worker is None or worker.boot != order.boot:
            answer = StartAnswer.REJECTED
        else:
            began = self._timer.monotonic()
            answer = await self._client.start_run(worker, order)
            self._metrics.time("worker_start", self._timer.monotonic() - began)
        self.post(None, StartAnswered(order.key, answer))

    async def _stop_run(self, order):
        """Stop a run on the worker and post whether it has answered."""
        worker = self._runner.worker
        answered = worker is not None and await self._client.stop_run(worker, order)
        if not answered:
            await asyncio.sleep(PAUSE_AFTER_FAILURE_S)
        self.post(None, StopAnswered(order, answered))

    async def _watch(self):
        """Look at the worker again and again while something runs there.

        A look that is overdue goes on beside the next one, so that an answer that
        is lost does not hide the ends of runs for as long as it is awaited.
        """
        limit_s = self._settings.look_ms / MS_PER_S + OVERDUE_S
        while True:
            await self._wake.wait()
            if not self._runner.running:
                self._wake.clear()
                continue
            look = self._call(self._look(self._settings.look_ms))
            done, _ = await asyncio.wait({look}, timeout=limit_s)
            if done and not look.result():
                await asyncio.sleep(PAUSE_AFTER_FAILURE_S)

    async def _look(self, wait_ms):
        """Renew the lease and read the worker's lists; return whether it worked.

        The answer comes at the next end of a run, after `wait_ms` at the latest.
        """
        worker = self._runner.worker
        if worker is None:
            return False
        asked_at = self._timer.monotonic()
        lease_ms = self._runner.lease_until_ms(asked_at)
        token, seen = self._runner.token, self._runner.last_seen
        try:
            lists = await self._client.look(worker, token, seen, lease_ms, wait_ms)
        except WorkerFencedError as error:
            self._log.warning("The worker has seen a higher token: {}.", error)
            self.post(None, Fenced(error.clock_ms))
            return False
        except WorkerSilentError as error:
            self._log.warning("The worker does not answer: {}.", error)
            self.post(None, LookFailed(worker.boot, error.refused))
            return False
        if not wait_ms:
            self._metrics.time("worker_look", self._timer.monotonic() - asked_at)
        self.post(None, Looked(lists, asked_at))
        return True
