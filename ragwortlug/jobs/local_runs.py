"""The runs that a worker has, or may have, as the agent beside it sees them."""

import enum
from dataclasses import dataclass

from ragwortlug.envelope import Peer
from ragwortlug.events import Event
from ragwortlug.work import Run

MS_PER_S = 1000.0
MARK_EVERY_S = 0.12
SLOW_WORKER = 2.0
SLOWEST_PACE = 0.33


class Phase(enum.Enum):
    """Where a run on the worker stands."""

    STARTING = "starting"
    UNSURE = "unsure"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(slots=True)
class LocalRun:
    """A run that the worker has, or may have.

    Attributes
    ----------
    marked_at, marked_share : float
        When the share of its work that is done was last noted, and that share.
    pace : float
        Its present speed over the one expected of it.
    sure_at : float
        From then on a look that does not list the run proves that it is not
        there, and never will be.
    unsure_at : float or None
        When the order to start it was left without an answer.
    """

    run: Run
    dispatcher: Peer
    began: float
    marked_at: float
    marked_share: float = 0.0
    pace: float = 1.0
    phase: Phase = Phase.STARTING
    sure_at: float | None = None
    unsure_at: float | None = None
    stopped: bool = False

    @property
    def task(self):
        """Return the name of the task: job id, step and index."""
        return (self.run.job_id, self.run.step, self.run.index)

    def mark(self, share, now):
        """Note the share that is done; return whether that tells the pace."""
        elapsed_s = now - self.marked_at
        if elapsed_s < MARK_EVERY_S:
            return False
        done_ms = (share - self.marked_share) * self.run.expected_ms
        self.pace = done_ms / (elapsed_s * MS_PER_S)
        self.marked_at = now
        self.marked_share = share
        return True

    def rest_ms(self):
        """Return how long the run takes yet at its present pace, or None."""
        if self.pace <= 0.0:
            return None
        return (1.0 - self.marked_share) * self.run.expected_ms / self.pace


def crawling(runs):
    """Return whether runs of more than one job are slow at once.

    A run alone that is slower than expected may just be larger than declared.
    """
    paces = sorted(each.pace for each in runs)
    slow = {each.run.job_id for each in runs if each.pace * SLOW_WORKER < 1.0}
    half = len(paces) // 2
    return len(slow) > 1 and len(paces) > 2 and paces[half] * SLOW_WORKER < 1.0


def event_of(name, local, **facts):
    """Return an event of a run."""
    facts |= {
        "task": f"{local.run.step}.{local.run.index}",
        "attempt": local.run.attempt,
        "number": local.run.number,
        "dispatcher": local.dispatcher.address,
    }
    return Event(name, local.run.job_id, facts)
