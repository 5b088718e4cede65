"""The decision whether a late run is stopped and its task started elsewhere.

A run that is slower than expected has a slow worker or a large task. On another worker
the task of a slow worker ends sooner. A large task takes as long there, and the work of
its first run is lost. The decision compares the expected time saved with the expected
time lost, by the probability that the worker is at fault.
"""

import enum
import math
from dataclasses import dataclass

# A run below this share of its expected speed counts as slow. Declared run times are
# off by 40%, so that a run at half the expected speed is not conspicuous.
SLOW_RUN_SPEED = 0.33
# Share of slow runs at a worker at fault. Not all, since some tasks are smaller than
# expected: of the runs at a quarter of the usual speed, with estimates off by up to
# 40%, one in ten is above `SLOW_RUN_SPEED`.
SLOW_SHARE_AT_FAULT = 0.9
# Bounds of the usual share of slow runs. Without the lower one, a single large task
# would be proof; above the upper one, slow runs say nothing about a worker.
MIN_USUAL_SHARE = 0.05
MAX_USUAL_SHARE = 0.8
# With fewer jobs, or moves of a queue, no conclusion is drawn from them.
MIN_COUNTED = 3.0
# A worker more likely at fault than not is blamed.
BLAME_PROBABILITY = 0.5
# Time to stop a run and to assign its task again.
MOVE_COST_MS = 40.0
# Without evidence, a run is moved if it would take this many times longer.
UNWEIGHED_FACTOR = 1.5
# Time in which the end of a moved task loses half of its weight.
MOVE_HALF_LIFE_S = 5.0
# Moves, half of which ended sooner, that are assumed before any was seen.
ASSUMED_MOVES = 2.0
MAX_LOG_ODDS = 50.0


class MoveReason(enum.StrEnum):
    """Why a late run is moved or left, as in events."""

    STALLED = "stalled"
    NO_EVIDENCE = "no evidence"
    EXPECTED_SAVING = "expected saving"
    NO_OTHER_WORKER = "no other worker"
    MOVED_BEFORE = "moved before"


@dataclass(frozen=True, slots=True)
class SlowCounts:
    """How many jobs have recent runs at a worker, and how many of them are slow.

    A job of which a part of the runs is slow counts as that part. Neither is an
    integer, since counts decay.
    """

    slow: float = 0.0
    counted: float = 0.0

    @property
    def share(self):
        """Return the share of slow ones, or None if there are too few."""
        return self.slow / self.counted if self.counted >= MIN_COUNTED else None


@dataclass(frozen=True, slots=True)
class LateRun:
    """What is known of a late run.

    Attributes
    ----------
    run_ms : float
        Time since its start.
    remaining_ms : float or None
        Remaining time at its present speed; None without progress.
    rerun_ms : float
        Expected time of the task on another worker.
    """

    run_ms: float
    remaining_ms: float | None
    rerun_ms: float


@dataclass(frozen=True, slots=True)
class MoveDecision:
    """Whether a late run is moved, and why.

    Attributes
    ----------
    fault : float or None
        Probability that the worker is at fault; None if there is no evidence.
    saving_ms : float or None
        Expected time saved by moving the run; None if it was not computed.
    """

    moves: bool
    reason: MoveReason
    fault: float | None = None
    saving_ms: float | None = None

    @property
    def blame(self):
        """Return the probability with which the worker is blamed for the move."""
        return 1.0 if self.fault is None else self.fault

    @property
    def blames_worker(self):
        """Return whether the worker is more likely at fault than the task."""
        return self.blame >= BLAME_PROBABILITY


def fault_probability(counts, usual_share, earlier_moves):
    """Return the probability that a worker is at fault for a slow run, or None.

    None means that there is no evidence.

    Parameters
    ----------
    counts : SlowCounts
        The recent runs of the worker.
    usual_share : float or None
        Median share of slow runs at the other workers; None if none reports it.
    earlier_moves : float or None
        Share of the queue's earlier moves that ended sooner; None if there are too few.
    """
    compares = counts.share is not None and usual_share is not None
    if not compares:
        return earlier_moves
    prior = 0.5 if earlier_moves is None else earlier_moves
    usual = min(max(usual_share, MIN_USUAL_SHARE), MAX_USUAL_SHARE)
    not_slow = counts.counted - counts.slow
    log_odds = (
        math.log(prior / (1.0 - prior))
        + counts.slow * math.log(SLOW_SHARE_AT_FAULT / usual)
        + not_slow * math.log((1.0 - SLOW_SHARE_AT_FAULT) / (1.0 - usual))
    )
    log_odds = min(max(log_odds, -MAX_LOG_ODDS), MAX_LOG_ODDS)
    return 1.0 / (1.0 + math.exp(-log_odds))


def decide_move(run, fault):
    """Return the `MoveDecision` on a `LateRun` that has not been moved before.

    Parameters
    ----------
    fault : float or None
        Probability that the worker is at fault; None if there is no evidence.
    """
    if run.remaining_ms is None:
        return MoveDecision(True, MoveReason.STALLED)
    if fault is None:
        limit_ms = UNWEIGHED_FACTOR * run.rerun_ms + MOVE_COST_MS
        return MoveDecision(run.remaining_ms > limit_ms, MoveReason.NO_EVIDENCE)
    saved_ms = run.remaining_ms - run.rerun_ms - MOVE_COST_MS
    lost_ms = run.run_ms + MOVE_COST_MS
    saving_ms = fault * saved_ms - (1.0 - fault) * lost_ms
    reason = MoveReason.EXPECTED_SAVING
    return MoveDecision(saving_ms > 0.0, reason, fault, saving_ms)


@dataclass(slots=True)
class _Moves:
    """The moves of one queue whose task has ended, by their remaining weight."""

    ended: float
    sooner: float
    updated_at: float

    def decay(self, now):
        """Reduce the weights by the time since the latest update."""
        fading = 0.5 ** ((now - self.updated_at) / MOVE_HALF_LIFE_S)
        self.ended *= fading
        self.sooner *= fading
        self.updated_at = now


class MoveHistory:
    """Whether moved tasks ended sooner than on the worker they were moved from."""

    def __init__(self):
        self._by_queue = {}

    def add(self, queue_name, ended_sooner, now):
        """Record how a move of a queue's task turned out."""
        moves = self._by_queue.setdefault(queue_name, _Moves(0.0, 0.0, now))
        moves.decay(now)
        moves.ended += 1.0
        moves.sooner += ended_sooner

    def share_sooner(self, queue_name, now):
        """Return the share of moves that ended sooner, or None if there are too few."""
        moves = self._by_queue.get(queue_name)
        if moves is None:
            return None
        moves.decay(now)
        if moves.ended < MIN_COUNTED:
            return None
        return (moves.sooner + ASSUMED_MOVES / 2) / (moves.ended + ASSUMED_MOVES)
