"""The order of restartable jobs that wait for resources.

The order matters when load is near or above the capacity of the workers, as in
bursts, after the loss of workers and under retries. Jobs that will miss their
latency objective anyway go last. The others are ordered by the operators'
priority, then jobs that have started before those that have not, then by the
least remaining work. This keeps the most jobs within their objective, since a
job counts only when its last task has ended. `tests/test_load.py` simulates such
load.
"""

from ragwortlug.restartable_model import Rank

MS_PER_S = 1000.0


def objective_ms(queue, critical_path_ms):
    """Return the latency objective, in ms, of a job with that critical path."""
    return queue.stretch * critical_path_ms + queue.slack_ms


def job_rank(priority, begun, remaining_work, remaining_path_ms, objective_at, now):
    """Return the place of a job in the order of work, as a `Rank`.

    Parameters
    ----------
    priority : int
        The priority of the job's queue; 0 comes first.
    begun : bool
        Whether a task of the job may have started.
    remaining_work : float
        Core-milliseconds of the tasks that have not ended.
    remaining_path_ms : float
        Run time of the critical path through the tasks that have not ended.
    objective_at, now : float
        Monotonic seconds at which the objective is missed, and the current time.
    """
    misses_objective = now + remaining_path_ms / MS_PER_S > objective_at
    return Rank(misses_objective, priority, not begun, remaining_work)


def misses_deadline(remaining_path_ms, deadline_at, now):
    """Return whether a job can't end before its deadline even if it starts now."""
    return now + remaining_path_ms / MS_PER_S > deadline_at
