"""The runs that a worker has, or may have, as the agent beside it sees them."""

import enum
from dataclasses import dataclass

from ragwortlug.envelope import Peer
from ragwortlug.events import Event
from ragwortlug.restartable_model import Run

MS_PER_S = 1000.0
SAMPLE_INTERVAL_S = 0.12
SLOW_WORKER = 2.0
MIN_RELATIVE_SPEED = 0.33


class Phase(enum.Enum):
    """Where a run on the worker stands."""

    STARTING = "starting"
    UNACKNOWLEDGED = "unsure"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(slots=True)
class LocalRun:
    """A run that the worker has, or may have.

    Attributes
    ----------
    sampled_at, sampled_fraction : float
        When the share of its work that is done was last noted, and that share.
    relative_speed : float
        Its present speed over the one expected of it.
    acknowledged_at : float
        From then on a look that does not list the run proves that it is not
        there, and never will be.
    unacknowledged_since : float or None
        When the order to start it was left without an answer.
    """

    run: Run
    dispatcher: Peer
    started_at: float
    sampled_at: float
    sampled_fraction: float = 0.0
    relative_speed: float = 1.0
    phase: Phase = Phase.STARTING
    acknowledged_at: float | None = None
    unacknowledged_since: float | None = None
    stopped: bool = False

    @property
    def task(self):
        """Return the name of the task: job id, step and index."""
        return (self.run.job_id, self.run.step, self.run.index)

    def sample(self, completed_fraction, now):
        """Note the share that is done; return whether that tells the pace."""
        elapsed_s = now - self.sampled_at
        if elapsed_s < SAMPLE_INTERVAL_S:
            return False
        done_ms = (completed_fraction - self.sampled_fraction) * self.run.expected_ms
        self.relative_speed = done_ms / (elapsed_s * MS_PER_S)
        self.sampled_at = now
        self.sampled_fraction = completed_fraction
        return True

    def remaining_run_ms(self):
        """Return how long the run takes yet at its present pace, or None."""
        if self.relative_speed <= 0.0:
            return None
        return (
            (1.0 - self.sampled_fraction) * self.run.expected_ms / self.relative_speed
        )


def is_worker_slow(runs):
    """Return whether runs of more than one job are slow at once.

    A run alone that is slower than expected may just be larger than declared.
    """
    relative_speeds = sorted(each.relative_speed for each in runs)
    slow = {each.run.job_id for each in runs if each.relative_speed * SLOW_WORKER < 1.0}
    half = len(relative_speeds) // 2
    return (
        len(slow) > 1
        and len(relative_speeds) > 2
        and relative_speeds[half] * SLOW_WORKER < 1.0
    )


def event_of(name, local, **fields):
    """Return an event of a run."""
    fields |= {
        "task": f"{local.run.step}.{local.run.index}",
        "attempt": local.run.attempt,
        "number": local.run.number,
        "dispatcher": local.dispatcher.address,
    }
    return Event(name, local.run.job_id, fields)
