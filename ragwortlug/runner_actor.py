"""The actor that owns an agent's runner and makes the calls to its target."""

from dataclasses import dataclass

from ragwortlug.actor import TICK_S, PeerActor, Tick, ViewChanged
from ragwortlug.envelope import Send
from ragwortlug.io.operators import answer_spans
from ragwortlug.io.targets import NotStarted, task_id
from ragwortlug.jobs.runner import StartTask
from ragwortlug.messages import Grant, Nothing, Probe, Spans, Stop, Waiting
from ragwortlug.model import Announcement, TaskOutcome


@dataclass(frozen=True, slots=True)
class Leave:
    """The agent must stop accepting tasks."""


@dataclass(frozen=True, slots=True)
class TaskEnded:
    """A call to the target has ended."""

    start: StartTask
    outcome: TaskOutcome | NotStarted
    run_ms: float


class RunnerActor(PeerActor):
    """The actor that owns the runner and the calls to the target.

    Parameters
    ----------
    runner : Runner
        Decides which messages to send and which calls to make.
    client : TargetClient
        Makes the calls to the target.
    view_sync, peers, timer, metrics, traces
        The services of those names.
    """

    def __init__(self, runner, client, view_sync, peers, timer, metrics, traces):
        super().__init__("runner", peers, timer, metrics)
        self._runner = runner
        self._client = client
        self._view_sync = view_sync
        self._traces = traces
        decisions = {
            Grant: runner.on_grant,
            Waiting: runner.on_waiting,
            Nothing: runner.on_nothing,
            Probe: runner.on_probe,
            Stop: runner.on_stop,
        }
        for message_type, decide in decisions.items():
            self._register_decision(message_type, decide)
        self.register_handler(Tick, lambda *_: self._on_event(runner.tick))
        self.register_handler(Leave, lambda *_: self._on_event(runner.leave))
        self.register_handler(ViewChanged, lambda *_: self._apply_rules())
        self.register_handler(TaskEnded, lambda _, event: self._on_task_ended(event))
        self.register_handler(
            Announcement, lambda _, announcement: self._on_announcement(announcement)
        )
        view_sync.set_capacity_source(lambda: runner.capacity(timer.monotonic()))
        metrics.gauge("running_tasks", lambda: runner.running)
        metrics.gauge("free_slots", lambda: runner.free_slots(timer.monotonic()))
        metrics.gauge("target_resting", lambda: int(runner.ejected))

    @property
    def idle(self):
        """Return whether no task runs and the inbox is empty."""
        return not self._runner.running and not self.backlog

    async def start(self):
        """Start handling messages and periodic ticks."""
        await super().start()
        self._view_sync.changes.subscribe(lambda _: self.post(None, ViewChanged()))
        self._timer.every(TICK_S, lambda: self.post(None, Tick()))
        self._peers.register_handler(
            Spans,
            lambda sender, message: answer_spans(
                self._peers, self._traces, sender, message
            ),
        )

    def _on_event(self, decide):
        """Carry out the effects of ``decide(now)``."""
        self._perform(decide(self._timer.monotonic()))

    def _on_announcement(self, announcement):
        """Process the target's announcement; report a changed capacity at once."""
        now = self._timer.monotonic()
        previous_capacity = self._runner.capacity(now)
        self._perform(self._runner.on_announcement(announcement, now))
        if self._runner.capacity(now) != previous_capacity:
            self._view_sync.poll()

    def _perform(self, effects):
        """Carry out effects."""
        for effect in effects:
            if isinstance(effect, Send):
                self._peers.send(effect.receiver, effect.body)
            elif isinstance(effect, StartTask):
                self._spawn_call(self._run_task(effect))
            else:
                self._spawn_call(
                    self._client.stop_task(task_id(effect.key), effect.url)
                )

    async def _run_task(self, start):
        """Run a task on the target and post its outcome."""
        started_at = self._timer.monotonic()
        grant = start.grant
        with self._traces.span("target", grant.job_id, grant.trace):
            throttled = self._rule_applies(grant, "throttle")
            outcome = await self._client.run_task(start, throttled)
        elapsed = self._timer.monotonic() - started_at
        self._metrics.time("task", elapsed)
        self.post(None, TaskEnded(start, outcome, elapsed * 1000))

    def _on_task_ended(self, event):
        """Process the end of a call to the target."""
        now = self._timer.monotonic()
        key = event.start.key
        outcome = event.outcome
        if isinstance(outcome, NotStarted):
            self._metrics.count("starts_refused", outcome.code.name)
            effects = self._runner.on_start_failed(key, outcome.code, now)
        else:
            self._metrics.count("tasks_ended", str(outcome.code))
            effects = self._runner.on_task_ended(
                key, outcome.code, outcome.result, outcome.detail, event.run_ms, now
            )
        self._perform(effects)

    def _apply_rules(self):
        """Stop or throttle the running tasks to which such a rule applies."""
        for key, grant, url in self._runner.started_tasks():
            if self._rule_applies(grant, "stop"):
                self._spawn_call(self._client.stop_task(task_id(key), url))
            elif self._rule_applies(grant, "throttle"):
                self._spawn_call(self._client.throttle_task(task_id(key), url))

    def _rule_applies(self, grant, action):
        """Return whether a rule requires an action for a granted task."""
        configuration = self._view_sync.view.configuration
        return configuration.rule_applies(
            grant.team, grant.service, grant.tasks, action
        )
