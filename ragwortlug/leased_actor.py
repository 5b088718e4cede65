"""The task that owns an agent's leased runner, and makes the calls to its worker."""

import asyncio
from dataclasses import dataclass

from ragwortlug.actor import PeerActor, Tick, cancel_all
from ragwortlug.envelope import Peer, Send
from ragwortlug.errors import WorkerFencedError, WorkerSilentError
from ragwortlug.events import Event, EventName
from ragwortlug.jobs.dispatchers import Dispatchers
from ragwortlug.jobs.worker_calls import (
    RequestRenewals,
    RequestSnapshot,
    StartAnswer,
    StartOnWorker,
    StopOnWorker,
    WorkerReport,
    WorkerSnapshot,
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

    snapshot: WorkerSnapshot
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

    command: StopOnWorker
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
        Carries out ``start_run``, ``stop_run`` and ``request_snapshot`` on the worker.
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
        self._dispatchers = Dispatchers(peers.own_peer.address, settings)
        self._silent = set()
        self.add_addresses(seeds)
        self._journal = journal
        self._watching = None
        self._wake = asyncio.Event()
        decisions = {
            Renewed: self._on_renewed,
            StartRuns: runner.on_start_runs,
            StopRuns: runner.on_stop_runs,
            Wants: runner.on_wants,
        }
        for kind, decide in decisions.items():
            self._serve(kind, decide)
        events = {
            Tick: lambda _, now: self._tick(now),
            Leave: lambda _, now: runner.leave(),
            WorkerReport: runner.on_report,
            WorkerDeparted: lambda each, now: runner.on_departed(each.worker_id),
            Looked: lambda each, now: runner.on_snapshot(
                each.snapshot, each.asked_at, now
            ),
            LookFailed: lambda each, now: runner.on_snapshot_failed(
                each.boot, each.refused, now
            ),
            Fenced: lambda each, now: runner.on_fenced(each.clock_ms),
            StartAnswered: self._on_start_answered,
            StopAnswered: lambda each, now: runner.on_stop_answered(
                each.command.task, each.command.attempt, each.answered, now
            ),
        }
        for kind, decide in events.items():
            self._take(kind, decide)
        metrics.gauge("running_tasks", lambda: runner.running)
        metrics.gauge("free_millicores", lambda: runner.free_resources.cpu)

    @property
    def idle(self):
        """Return whether nothing runs and no message waits."""
        return not self._runner.running and not self.backlog

    def add_addresses(self, addresses):
        """Take addresses at which dispatchers may be."""
        self._dispatchers.add_addresses(addresses)

    @property
    def last_renewal_at(self):
        """Return the monotonic seconds of the latest renewal, or 0."""
        return self._dispatchers.last_renewal_at

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
        self.register_handler(
            kind, lambda _, each: self._perform(decide(each, self._timer.monotonic()))
        )

    def _on_renewed(self, sender, message, now):
        """Take a renewal, and the entries that the dispatcher knows."""
        if sender.address in self._silent:
            self._silent.discard(sender.address)
            fields = {"dispatcher": sender.address}
            self._journal.write_event(EventName.DISPATCHER_ANSWERS, **fields)
        self._dispatchers.on_renewed(sender.address, now)
        self.add_addresses(message.entries)
        return self._runner.on_renewed(sender, message, now)

    def _on_start_answered(self, event, now):
        """Count and take the worker's answer to a start."""
        self._metrics.count("starts_answered", event.answer.name)
        return self._runner.on_start_answered(event.key, event.answer, now)

    def _tick(self, now):
        """Ask for renewals that are due, and let the runner look after time."""
        busy = self._runner.active_dispatchers()
        for address in self._dispatchers.due_for_renewal(busy, now):
            self._ask(address, now)
        return self._runner.tick(now)

    def _ask(self, address, now):
        """Ask one dispatcher for a renewal, on a new connection if it is silent."""
        if self._dispatchers.record_request(address, now):
            self._peers.reconnect(address)
            if address not in self._silent:
                self._silent.add(address)
                fields = {"dispatcher": address, "runs": self._runner.running}
                self._journal.write_event(EventName.DISPATCHER_SILENT, **fields)
        self._peers.send(Peer(address), self._runner.build_renewal(address, now))

    # Effects.

    def _perform(self, effects):
        """Carry out effects."""
        for effect in effects:
            if isinstance(effect, Send):
                self._peers.send(effect.receiver, effect.body)
            elif isinstance(effect, Event):
                self._metrics.count("events", effect.name.value)
                self._journal.emit(effect)
            elif isinstance(effect, StartOnWorker):
                self._spawn_call(self._start_run(effect))
            elif isinstance(effect, StopOnWorker):
                self._spawn_call(self._stop_run(effect))
            elif isinstance(effect, RequestSnapshot):
                self._spawn_call(self._request_snapshot(0))
            elif isinstance(effect, RequestRenewals):
                now = self._timer.monotonic()
                for address in self._dispatchers.selected(now):
                    self._ask(address, now)
        if self._runner.running:
            self._wake.set()

    async def _start_run(self, command):
        """Start a run on the worker and post its answer."""
        worker = self._runner.worker
        if worker is None or worker.boot_id != command.boot:
            answer = StartAnswer.REJECTED
        else:
            started_at = self._timer.monotonic()
            answer = await self._client.start_run(worker, command)
            self._metrics.time("worker_start", self._timer.monotonic() - started_at)
        self.post(None, StartAnswered(command.key, answer))

    async def _stop_run(self, command):
        """Stop a run on the worker and post whether it has answered."""
        worker = self._runner.worker
        answered = worker is not None and await self._client.stop_run(worker, command)
        if not answered:
            await asyncio.sleep(PAUSE_AFTER_FAILURE_S)
        self.post(None, StopAnswered(command, answered))

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
            snapshot_request = self._spawn_call(
                self._request_snapshot(self._settings.look_ms)
            )
            done, _ = await asyncio.wait({snapshot_request}, timeout=limit_s)
            if done and not snapshot_request.result():
                await asyncio.sleep(PAUSE_AFTER_FAILURE_S)

    async def _request_snapshot(self, wait_ms):
        """Renew the lease and read the worker's lists; return whether it worked.

        The answer comes at the next end of a run, after `wait_ms` at the latest.
        """
        worker = self._runner.worker
        if worker is None:
            return False
        asked_at = self._timer.monotonic()
        lease_ms = self._runner.lease_until_ms(asked_at)
        fencing_token, last_end_number = (
            self._runner.fencing_token,
            self._runner.last_end_number,
        )
        try:
            snapshot = await self._client.request_snapshot(
                worker, fencing_token, last_end_number, lease_ms, wait_ms
            )
        except WorkerFencedError as error:
            self._log.warning("The worker has seen a higher token: {}.", error)
            self.post(None, Fenced(error.clock_ms))
            return False
        except WorkerSilentError as error:
            self._log.warning("The worker does not answer: {}.", error)
            self.post(None, LookFailed(worker.boot_id, error.refused))
            return False
        if not wait_ms:
            self._metrics.time("worker_look", self._timer.monotonic() - asked_at)
        self.post(None, Looked(snapshot, asked_at))
        return True
