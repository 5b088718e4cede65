"""The task that owns an agent's home, and carries out its decisions."""

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
    """The home's records are to be handed over."""


class HomeActor(Actor):
    """The task that owns the home.

    Parameters
    ----------
    home : Home
        The decisions.
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
        timed = {
            Pull: home.on_pull,
            Load: home.on_load,
        }
        dated = {
            Submit: self._submit,
            Cancel: home.cancel,
            Finished: home.on_finished,
            Refused: home.on_refused,
        }
        for kind, decide in timed.items():
            self._serve(kind, decide, lambda: (timer.monotonic(),))
        for kind, decide in dated.items():
            self._serve(kind, decide, lambda: (timer.monotonic(), timer.unix_ms()))
        self._serve(Fetch, home.fetch, tuple)
        self._serve(Handover, home.on_handover, lambda: (timer.unix_ms(),))
        self.register_handler(
            HandoverTaken, lambda _, each: home.on_handover_taken(each)
        )
        peers.register_handler(HandoverTaken, self.post)
        self.register_handler(Tick, lambda *_: self._event(home.tick))
        self.register_handler(ViewChanged, lambda *_: self._event(home.on_view_changed))
        self.register_handler(HandOver, lambda *_: peers.send_all(home.hand_over()))
        metrics.gauge("open_jobs", lambda: home.open_jobs)
        metrics.gauge("queued_tasks", lambda: home.queued_tasks)
        metrics.gauge("kept_answers", lambda: home.kept_answers)
        metrics.gauge("late_grant_replies", lambda: home.late_replies)

    @property
    def idle(self):
        """Return whether no job is open and no message waits."""
        return not self._home.open_jobs and not self.backlog

    @property
    def handing_over(self):
        """Return whether records are on their way to heirs."""
        return self._home.handing_over or self.backlog > 0

    async def start(self):
        """Begin to serve."""
        await super().start()
        self._view_sync.changes.subscribe(lambda _: self.post(None, ViewChanged()))
        self._timer.every(TICK_S, lambda: self.post(None, Tick()))

    def _submit(self, sender, message, now, now_ms):
        """Tell the home of a submission, inside a span if it is traced."""
        with self._traces.span("home", message.job.id, message.trace) as context:
            traced = structs.replace(message, trace=context)
            return self._home.submit(sender, traced, now, now_ms)

    def _serve(self, kind, decide, times):
        """Answer messages of a kind by a decision of the home."""

        def handler(sender, message):
            self._peers.send_all(decide(sender, message, *times()))

        self.register_handler(kind, handler)
        self._peers.register_handler(kind, self.post)

    def _event(self, decide):
        """Tell the home of an event."""
        now, now_ms = self._timer.monotonic(), self._timer.unix_ms()
        self._peers.send_all(decide(now, now_ms))
