"""The actor that owns an agent's home and carries out its decisions."""

from dataclasses import dataclass

from msgspec import structs

from ragwortlug.actor import TICK_S, Actor, Tick, ViewChanged
from ragwortlug.messages import (
    Cancel,
    Fetch,
    Finished,
    Handover,
    HandoverTaken,
    Load,
    Pull,
    Refused,
    Submit,
)


@dataclass(frozen=True, slots=True)
class HandOver:
    """The home must hand over its records."""


class HomeActor(Actor):
    """The actor that owns the home.

    Parameters
    ----------
    home : Home
        Decides which messages to send.
    view_sync, peers, timer, metrics, traces
        The services of those names.
    """

    def __init__(self, home, view_sync, peers, timer, metrics, traces):
        super().__init__("home", metrics)
        self._home = home
        self._view_sync = view_sync
        self._peers = peers
        self._timer = timer
        self._traces = traces
        with_monotonic = {
            Pull: home.on_pull,
            Load: home.on_load,
        }
        with_both_clocks = {
            Submit: self._on_submit,
            Cancel: home.cancel,
            Finished: home.on_finished,
            Refused: home.on_refused,
        }
        for message_type, decide in with_monotonic.items():
            self._register_decision(message_type, decide, lambda: (timer.monotonic(),))
        for message_type, decide in with_both_clocks.items():
            self._register_decision(
                message_type, decide, lambda: (timer.monotonic(), timer.unix_ms())
            )
        self._register_decision(Fetch, home.fetch, tuple)
        self._register_decision(Handover, home.on_handover, lambda: (timer.unix_ms(),))
        self.register_handler(
            HandoverTaken, lambda _, message: home.on_handover_taken(message)
        )
        peers.register_handler(HandoverTaken, self.post)
        self.register_handler(Tick, lambda *_: self._on_event(home.tick))
        self.register_handler(
            ViewChanged, lambda *_: self._on_event(home.on_view_changed)
        )
        self.register_handler(HandOver, lambda *_: peers.send_all(home.hand_over()))
        metrics.gauge("open_jobs", lambda: home.open_jobs)
        metrics.gauge("queued_tasks", lambda: home.queued_tasks)
        metrics.gauge("kept_answers", lambda: home.kept_answers)
        metrics.gauge("late_grant_replies", lambda: home.late_replies)

    @property
    def idle(self):
        """Return whether no job is open and the inbox is empty."""
        return not self._home.open_jobs and not self.backlog

    @property
    def handing_over(self):
        """Return whether successors have not yet acknowledged all records."""
        return self._home.handing_over or self.backlog > 0

    async def start(self):
        """Start handling messages and periodic ticks."""
        await super().start()
        self._view_sync.changes.subscribe(lambda _: self.post(None, ViewChanged()))
        self._timer.every(TICK_S, lambda: self.post(None, Tick()))

    def _on_submit(self, sender, message, now, now_ms):
        """Pass a submission to the home, inside a span if the job is traced."""
        with self._traces.span("home", message.job.id, message.trace) as context:
            traced = structs.replace(message, trace=context)
            return self._home.submit(sender, traced, now, now_ms)

    def _register_decision(self, message_type, decide, times):
        """Handle messages of a type by ``decide(sender, message, *times())``."""

        def handler(sender, message):
            self._peers.send_all(decide(sender, message, *times()))

        self.register_handler(message_type, handler)
        self._peers.register_handler(message_type, self.post)

    def _on_event(self, decide):
        """Send the messages that ``decide(now, now_ms)`` returns."""
        now, now_ms = self._timer.monotonic(), self._timer.unix_ms()
        self._peers.send_all(decide(now, now_ms))
