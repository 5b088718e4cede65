"""The order of restartable jobs that wait for room, and when one is hopeless.

This answers for load near or above what the workers can carry: bursts, lost
workers and retries. Jobs that miss their latency objective anyway go last. Of the
others, operators' priorities come first; then what was begun, with the least work
first, keeps the most jobs inside their objective, since a job counts only when its
last task has ended. `tests/test_load.py` plays the load.
"""

from ragwortlug.restartable_model import Rank

MS_PER_S = 1000.0


def objective_ms(queue, critical_path_ms):
    """Return the latency objective of a job with that longest chain of run times."""
    return queue.stretch * critical_path_ms + queue.slack_ms


def job_rank(
    priority, ever_assigned, remaining_work, remaining_path_ms, objective_at, now
):
    """Return the place of a job in the order of work.

    Parameters
    ----------
    priority : int
        The queue's; 0 comes first.
    ever_assigned : bool
        Whether a task of the job has started.
    remaining_work : float
        Core-milliseconds of the tasks that have not ended.
    remaining_path_ms : float
        Longest chain of run times that has not ended.
    objective_at, now : float
        Monotonic seconds at which the objective is missed, and now.
    """
    misses_objective = now + remaining_path_ms / MS_PER_S > objective_at
    return Rank(misses_objective, priority, not ever_assigned, remaining_work)


def misses_deadline(remaining_path_ms, deadline, now):
    """Return whether a job can't end before its deadline even if begun now."""
    return now + remaining_path_ms / MS_PER_S > deadline
