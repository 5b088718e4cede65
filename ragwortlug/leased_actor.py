"""The actor that owns an agent's leased runner and makes the calls to its worker."""

import asyncio
from dataclasses import dataclass

from ragwortlug.actor import PeerActor, Tick, cancel_all
from ragwortlug.envelope import Peer, Send
from ragwortlug.errors import (
    WorkerFencedError,
    WorkerReplacedError,
    WorkerSilentError,
)
from ragwortlug.events import Event, EventName
from ragwortlug.jobs.dispatchers import Dispatchers
from ragwortlug.jobs.worker_calls import (
    AskBoot,
    RequestRenewals,
    RequestSnapshot,
    SnapshotRequest,
    StartAnswer,
    StartOnWorker,
    StopOnWorker,
    StoreBoot,
    WorkerClock,
    WorkerReport,
    WorkerSnapshot,
)
from ragwortlug.lease_messages import Relayed, Renewed, StartRuns, StopRuns, Wants
from ragwortlug.lease_settings import is_address

TICK_S = 0.05
# The next snapshot request starts if the answer is this late.
SNAPSHOT_GRACE_S = 0.03
PAUSE_AFTER_FAILURE_S = 0.05
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class WorkerDeparted:
    """The worker announced that it shuts down.

    Attributes
    ----------
    booted_at_ms : int
        Identifies the boot with the id; 0 if unknown.
    """

    worker_id: str
    booted_at_ms: int


@dataclass(frozen=True, slots=True)
class RecalledReport:
    """A report of the worker that a former process of the agent has stored."""

    report: WorkerReport


@dataclass(frozen=True, slots=True)
class Looked:
    """The worker answered a snapshot request."""

    snapshot: WorkerSnapshot
    request: SnapshotRequest


@dataclass(frozen=True, slots=True)
class LookFailed:
    """The worker did not answer a snapshot request.

    Attributes
    ----------
    boot : tuple
        The boot id of the worker that was called.
    refused : bool
        Whether the worker's port refused the connection.
    """

    boot: tuple
    refused: bool


@dataclass(frozen=True, slots=True)
class Replaced:
    """A boot with another id answered a call to the worker's boot `boot`."""

    boot: tuple


@dataclass(frozen=True, slots=True)
class Fenced:
    """The worker has received a higher fencing token than that of a request.

    Attributes
    ----------
    clock_ms : int
        The worker's steady clock.
    """

    request: SnapshotRequest
    clock_ms: int


@dataclass(frozen=True, slots=True)
class StartAnswered:
    """The call to start a run ended, with or without an answer of the worker."""

    key: tuple
    answer: StartAnswer
    clock: WorkerClock | None


@dataclass(frozen=True, slots=True)
class StopAnswered:
    """The call to stop a run ended, with or without an answer of the worker."""

    command: StopOnWorker
    answered: bool


@dataclass(frozen=True, slots=True)
class Leave:
    """The agent must stop accepting runs."""


class LeasedActor(PeerActor):
    """The actor that owns the leased runner and the calls to the worker.

    Parameters
    ----------
    runner : LeasedRunner
        Decides which messages to send and which calls to make.
    client : object
        Makes the calls ``start_run``, ``stop_run`` and ``request_snapshot``.
    seeds : sequence of str
        Initial addresses of dispatchers.
    settings : RestartSettings
        Timeouts and limits.
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
        self._snapshot_task = None
        self._has_runs = asyncio.Event()
        self._store_boot = lambda boot_id: None
        decisions = {
            Renewed: self._on_renewed,
            StartRuns: runner.on_start_runs,
            StopRuns: runner.on_stop_runs,
            Wants: runner.on_wants,
            Relayed: runner.on_relayed,
        }
        for message_type, decide in decisions.items():
            self._register_decision(message_type, decide)
        events = {
            Tick: lambda _, now: self._on_tick(now),
            Leave: lambda _, now: runner.leave(),
            WorkerReport: runner.on_report,
            RecalledReport: lambda event, now: runner.on_report(
                event.report, now, recalled=True
            ),
            WorkerDeparted: lambda event, _: runner.on_departed(
                event.worker_id, event.booted_at_ms
            ),
            Looked: lambda event, now: runner.on_snapshot(
                event.snapshot, event.request, now
            ),
            LookFailed: lambda event, now: runner.on_snapshot_failed(
                event.boot, event.refused, now
            ),
            Replaced: lambda event, now: runner.on_other_id_answered(event.boot, now),
            Fenced: lambda event, now: runner.on_fenced(event.request, event.clock_ms),
            StartAnswered: self._on_start_answered,
            StopAnswered: lambda event, now: runner.on_stop_answered(
                event.command.task, event.command.attempt, event.answered, now
            ),
        }
        for event_type, decide in events.items():
            self._register_event(event_type, decide)
        metrics.gauge("running_tasks", lambda: runner.running)
        metrics.gauge("free_millicores", lambda: runner.free_resources.cpu)
        metrics.gauge("orders_revision", lambda: runner.orders_revision)

    @property
    def idle(self):
        """Return whether no task runs and the inbox is empty."""
        return not self._runner.running and not self.backlog

    def add_addresses(self, addresses):
        """Add addresses of possible dispatchers, without the invalid ones."""
        self._dispatchers.add_addresses(filter(is_address, addresses))

    def on_boot(self, store):
        """Call `store` with the id of each boot of the worker that is used."""
        self._store_boot = store

    @property
    def last_renewal_at(self):
        """Return the monotonic seconds of the latest renewal, or 0."""
        return self._dispatchers.last_renewal_at

    def leave(self):
        """Stop accepting new runs."""
        self.post(None, Leave())

    async def start(self):
        """Start handling messages and requesting snapshots."""
        await super().start()
        self._snapshot_task = asyncio.create_task(self._request_snapshots())
        self._timer.every(TICK_S, lambda: self.post(None, Tick()))

    async def stop(self):
        """Cancel the calls to the worker and stop handling messages."""
        await cancel_all([self._snapshot_task])
        await super().stop()

    # Messages and events.

    def _register_event(self, event_type, decide):
        """Handle events of a type by ``decide(event, now)``."""
        self.register_handler(
            event_type,
            lambda _, event: self._perform(decide(event, self._timer.monotonic())),
        )

    def _on_renewed(self, sender, message, now):
        """Process a renewal and add the entries that it lists."""
        if sender.address in self._silent:
            self._silent.discard(sender.address)
            fields = {"dispatcher": sender.address}
            self._journal.write_event(EventName.DISPATCHER_ANSWERS, **fields)
        self._dispatchers.on_renewed(sender.address, message.requested_at_ms, now)
        self.add_addresses(message.entries)
        return self._runner.on_renewed(sender, message, now)

    def _on_start_answered(self, event, now):
        """Count and process the worker's answer to a start."""
        self._metrics.count("starts_answered", event.answer.name)
        return self._runner.on_start_answered(event.key, event.answer, now, event.clock)

    def _on_tick(self, now):
        """Request the renewals that are due and run the runner's periodic work."""
        active = self._runner.active_dispatchers()
        for address in self._dispatchers.due_for_renewal(active, now):
            self._request_renewal(address, now)
        return self._runner.tick(now)

    def _request_renewal(self, address, now):
        """Request a renewal, on a new connection if the dispatcher is silent."""
        if self._dispatchers.record_request(address, now):
            self._peers.reconnect(address)
            if address not in self._silent:
                self._silent.add(address)
                fields = {"dispatcher": address, "runs": self._runner.running}
                self._journal.write_event(EventName.DISPATCHER_SILENT, **fields)
        round_trip_ms = self._dispatchers.round_trip_ms(address)
        renewal = self._runner.build_renewal(address, round_trip_ms, now)
        self._peers.send(Peer(address), renewal)

    # Effects.

    def _perform(self, effects):
        """Carry out effects."""
        for effect in effects:
            if isinstance(effect, Send):
                self._peers.send(effect.receiver, effect.body)
            elif isinstance(effect, Event):
                self._metrics.count("events", effect.name.value)
                if effect.name is EventName.RUN_REFUSED:
                    self._metrics.count("runs_refused", effect.fields["reason"].name)
                self._journal.emit(effect)
            elif isinstance(effect, StartOnWorker):
                self._spawn_call(self._start_run(effect))
            elif isinstance(effect, StopOnWorker):
                self._spawn_call(self._stop_run(effect))
            elif isinstance(effect, RequestSnapshot):
                self._spawn_call(self._request_snapshot(0))
            elif isinstance(effect, AskBoot):
                self._spawn_call(self._ask(effect.report, effect.request, 0))
            elif isinstance(effect, StoreBoot):
                self._store_boot(effect.boot)
            elif isinstance(effect, RequestRenewals):
                now = self._timer.monotonic()
                for address in self._dispatchers.selected(now):
                    self._request_renewal(address, now)
        if self._runner.running:
            self._has_runs.set()

    async def _start_run(self, command):
        """Start a run on the worker and post the answer."""
        worker = self._runner.worker
        if worker is None or worker.boot_id != command.boot:
            answer, clock = StartAnswer.REJECTED, None
        else:
            started_at = self._timer.monotonic()
            answer, clock = await self._client.start_run(worker, command)
            self._metrics.time("worker_start", self._timer.monotonic() - started_at)
        self.post(None, StartAnswered(command.key, answer, clock))

    async def _stop_run(self, command):
        """Stop a run on the worker and post whether it answered."""
        worker = self._runner.worker
        answered = worker is not None and await self._client.stop_run(worker, command)
        if not answered:
            await asyncio.sleep(PAUSE_AFTER_FAILURE_S)
        self.post(None, StopAnswered(command, answered))

    async def _request_snapshots(self):
        """Request snapshots of the worker repeatedly while it has runs.

        An overdue request continues beside the next one. Otherwise a lost answer
        would delay the ends of runs until that request times out. After a failure the
        next request follows at once: if the worker crashed, it is refused.
        """
        limit_s = self._settings.look_ms / MS_PER_S + SNAPSHOT_GRACE_S
        failures = 0
        while True:
            await self._has_runs.wait()
            if not self._runner.running:
                self._has_runs.clear()
                continue
            snapshot_request = self._spawn_call(
                self._request_snapshot(self._settings.look_ms)
            )
            done, _ = await asyncio.wait({snapshot_request}, timeout=limit_s)
            failed = bool(done) and not self._has_answer(snapshot_request)
            failures = failures + 1 if failed else 0
            if failures > 1:
                await asyncio.sleep(PAUSE_AFTER_FAILURE_S)

    def _has_answer(self, snapshot_request):
        """Return whether a finished request was answered; log an unexpected error."""
        error = snapshot_request.exception()
        if error is not None:
            self._log.error("A request for a snapshot failed: {!r}.", error)
            return False
        return snapshot_request.result()

    async def _request_snapshot(self, wait_ms):
        """Renew the lease and read a snapshot; return whether the worker answered.

        The worker answers at the next end of a run, or after `wait_ms`.
        """
        worker = self._runner.worker
        request = self._runner.build_snapshot_request(self._timer.monotonic())
        if request is None:
            return False
        return await self._ask(worker, request, wait_ms)

    async def _ask(self, worker, request, wait_ms):
        """Make a request for a snapshot; return whether the worker answered."""
        try:
            snapshot = await self._client.request_snapshot(worker, request, wait_ms)
        except WorkerFencedError as error:
            self._log.warning(
                "The worker has received a higher fencing token: {}.", error
            )
            self.post(None, Fenced(request, error.clock_ms))
            return False
        except WorkerReplacedError as error:
            self._log.warning("Another boot of the worker answered: {}.", error)
            self.post(None, Replaced(request.boot))
            return False
        except WorkerSilentError as error:
            self._log.warning("The worker did not answer: {}.", error)
            self.post(None, LookFailed(request.boot, error.refused))
            return False
        if not wait_ms:
            look_s = self._timer.monotonic() - request.requested_at
            self._metrics.time("worker_look", look_s)
        self.post(None, Looked(snapshot, request))
        return True
