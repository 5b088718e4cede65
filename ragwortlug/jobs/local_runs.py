"""The runs that a worker has, or may have, as its agent knows them."""

import enum
from dataclasses import dataclass

from ragwortlug.envelope import Peer
from ragwortlug.events import Event, EventName
from ragwortlug.policy.slow_runs import SLOW_RUN_SPEED
from ragwortlug.restartable_model import MAX_JOB_MS, Run

MS_PER_S = 1000.0
SAMPLE_INTERVAL_S = 0.12
SLOW_WORKER_FACTOR = 2.0
# Workers report whole percents. A run without a new one makes no progress if it would
# have reached one at this share of its expected speed. Tasks of seven times the usual
# size, declared 40% too small, on a worker of 0.7 of the mean speed, have 0.06 of it.
PROGRESS_STEP = 0.01
LEAST_RELATIVE_SPEED = 0.05
# A run that takes longer for each percent ends after any deadline that a job can have.
MAX_STEP_S = PROGRESS_STEP * MAX_JOB_MS / MS_PER_S


class Phase(enum.Enum):
    """The phase of a run on the worker."""

    STARTING = "starting"
    UNACKNOWLEDGED = "unsure"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class StartCommand:
    """What tells the boot that carried out a command to start a run.

    Attributes
    ----------
    boot : tuple
        The boot that it was sent to.
    clock_bound : tuple of (float, int)
        A time before the clock of that boot was read last, and its ms.
    """

    boot: tuple[str, int]
    fencing_token: int
    clock_bound: tuple[float, int]

    def was_answered_by_its_boot(self, clock, now):
        """Return whether an answer is known to come from the boot it was sent to.

        The clock of a later boot began after the time of `clock_bound`.
        """
        if clock is None:
            return False
        if clock.booted_at_ms:
            return clock.booted_at_ms == self.boot[1]
        bound, clock_ms = self.clock_bound
        later_clock_ms = (now - bound) * MS_PER_S
        return clock.clock_ms >= clock_ms and clock.clock_ms > later_clock_ms


@dataclass(slots=True)
class LocalRun:
    """A run that the worker has, or may have.

    Attributes
    ----------
    sampled_at, sampled_fraction : float
        When the completed fraction of the run was last sampled, and that fraction.
    relative_speed : float
        The current speed divided by the expected speed.
    acknowledged_at : float
        A snapshot taken from this time on that does not list the run proves that
        the worker does not have it and never will.
    unacknowledged_since : float or None
        When the command to start the run failed to get an answer.
    command : StartCommand
        The command to start it.
    started_on : tuple or None
        The boot that is known to have started it.
    """

    run: Run
    dispatcher: Peer
    started_at: float
    sampled_at: float
    command: StartCommand
    sampled_fraction: float = 0.0
    relative_speed: float = 1.0
    phase: Phase = Phase.STARTING
    acknowledged_at: float | None = None
    unacknowledged_since: float | None = None
    stopped: bool = False
    started_on: tuple | None = None

    @property
    def task(self):
        """Return the task's identity: job id, step and index."""
        return (self.run.job_id, self.run.step, self.run.index)

    @property
    def acknowledged(self):
        """Return whether the worker has confirmed that the run started."""
        return self.acknowledged_at is not None

    @property
    def is_sampled(self):
        """Return whether the speed has been sampled at least once."""
        return self.sampled_at > self.started_at

    def sample(self, completed_fraction, now):
        """Sample the completed fraction; return whether the speed was updated."""
        elapsed_s = now - self.sampled_at
        done_ms = (completed_fraction - self.sampled_fraction) * self.run.expected_ms
        interval_s = SAMPLE_INTERVAL_S
        if done_ms <= 0.0:
            step_s = PROGRESS_STEP * self.run.expected_ms / MS_PER_S
            step_s = min(step_s / LEAST_RELATIVE_SPEED, MAX_STEP_S)
            interval_s = max(interval_s, step_s)
        if elapsed_s < interval_s:
            return False
        self.relative_speed = done_ms / (elapsed_s * MS_PER_S)
        self.sampled_at = now
        self.sampled_fraction = completed_fraction
        return True

    def remaining_run_ms(self):
        """Return the remaining run time in ms at the current speed, or None.

        None means that the run makes no progress.
        """
        if self.relative_speed <= 0.0:
            return None
        return (
            (1.0 - self.sampled_fraction) * self.run.expected_ms / self.relative_speed
        )


def is_worker_slow(runs):
    """Return whether runs of more than one job are slow at the same time.

    A single run that is slower than expected may just be larger than declared.
    """
    relative_speeds = sorted(local_run.relative_speed for local_run in runs)
    slow_job_ids = {
        local_run.run.job_id
        for local_run in runs
        if local_run.relative_speed * SLOW_WORKER_FACTOR < 1.0
    }
    middle = len(relative_speeds) // 2
    return (
        len(slow_job_ids) > 1
        and len(relative_speeds) > 2
        and relative_speeds[middle] * SLOW_WORKER_FACTOR < 1.0
    )


def late_runs(sampled, runs, now):
    """Return the runs that make no progress, or are slow along with their worker.

    Parameters
    ----------
    sampled : iterable of LocalRun
        The runs to look at.
    runs : iterable of LocalRun
        All runs of the worker.

    Returns
    -------
    dict
        For each dispatcher a tuple of rows: number of the assignment, milliseconds
        since its start and remaining milliseconds, None without progress.
    """
    all_slow = is_worker_slow(runs)
    rows = {}
    for local_run in sampled:
        remaining_run_ms = local_run.remaining_run_ms()
        is_slow = local_run.relative_speed < SLOW_RUN_SPEED
        if remaining_run_ms is None or all_slow or is_slow:
            run_ms = (now - local_run.started_at) * MS_PER_S
            row = (local_run.run.number, run_ms, remaining_run_ms)
            rows[local_run.dispatcher] = (*rows.get(local_run.dispatcher, ()), row)
    return rows


def may_reach(local_runs, former, later_id):
    """Return whether a later boot may carry out a command sent to a former one.

    Parameters
    ----------
    former : WorkerReport
        The latest report of the former boot.
    later_id : str or None
        The id of the later boot, None if unknown. Commands name the id of their boot.
    """
    return former.id == later_id and any(
        local_run.started_on is None for local_run in local_runs
    )


def event_of(name, local_run, **fields):
    """Return an event about a run."""
    fields |= {
        "task": f"{local_run.run.step}.{local_run.run.index}",
        "attempt": local_run.run.attempt,
        "number": local_run.run.number,
        "dispatcher": local_run.dispatcher.address,
    }
    return Event(name, local_run.run.job_id, fields)


def run_other_boot(local_run, report, clock):
    """Return the event of a start that another boot may have carried out.

    Parameters
    ----------
    report : WorkerReport or None
        The latest report of the boot that the agent takes for the current one.
    clock : WorkerClock or None
        The clock in the worker's answer. Its boot, if given, is proof.
    """
    fields = {"sent_to_ms": local_run.command.boot[1]}
    if clock is not None:
        fields |= {"answered_by_ms": clock.booted_at_ms, "clock_ms": clock.clock_ms}
    if report is not None:
        fields |= {"service": report.service, "labels": report.labels}
    return event_of(EventName.RUN_OTHER_BOOT, local_run, **fields)


def run_presumed_lost(local_run, end, proof, answered_ms_ago):
    """Return the event of a run whose end is reported though no worker listed it.

    `answered_ms_ago` says when the worker answered last. What matters most comes
    first, since long lines may be cut.
    """
    run = local_run.run
    fields = {
        "dispatcher": local_run.dispatcher.address,
        "proof": proof.value,
        "task": f"{run.step}.{run.index}",
        "attempt": run.attempt,
        "number": run.number,
        "end": end.value,
        "answered_ms_ago": answered_ms_ago,
    }
    return Event(EventName.RUN_PRESUMED_LOST, run.job_id, fields)


def worker_crashed(report, runs, now):
    """Return the event of a worker that ended without notice.

    Parameters
    ----------
    report : WorkerReport
        The latest report of the boot that ended.
    runs : iterable of LocalRun
        The runs that ended with it. Those that the worker had not acknowledged were
        started last.
    """
    rows = [
        {
            "job": local_run.run.job_id,
            "task": f"{local_run.run.step}.{local_run.run.index}",
            "attempt": local_run.run.attempt,
            "age_ms": round((now - local_run.started_at) * MS_PER_S),
            "acknowledged": local_run.acknowledged,
        }
        for local_run in runs
    ]
    fields = {"worker": report.id, "born_ms": report.booted_at_ms, "runs": rows}
    return Event(EventName.WORKER_CRASHED, "", fields)
