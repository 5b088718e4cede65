"""Admission control: which new jobs are refused, and for which reason."""

from ragwortlug.codes import Code


def refusal(
    job, configuration, offered_capacities, queued_tasks, queue_limit, expected_wait_ms
):
    """Return the code with which a new job is refused, or None to admit it.

    Parameters
    ----------
    job : Job
        The submission.
    configuration : Configuration
        The accepted configuration.
    offered_capacities : collection of Capacity
        Capacities that targets of the job's service offer; if empty, the tasks'
        sizes are not checked.
    queued_tasks, queue_limit : int
        Number of tasks that wait here, and the maximum.
    expected_wait_ms : float
        Expected wait before the job's last task starts.

    Returns
    -------
    Code or None
    """
    if configuration.service(job.service) is None:
        return Code.UNKNOWN_SERVICE
    if configuration.team(job.team) is None:
        return Code.UNKNOWN_TEAM
    size = len(job.tasks)
    if configuration.rule_applies(job.team, job.service, size, "refuse", "stop"):
        return Code.REFUSED_BY_RULE
    if offered_capacities and not all(
        _fits(task, offered_capacities) for task in job.tasks
    ):
        return Code.CAN_NEVER_RUN
    if queued_tasks + len(job.tasks) > queue_limit:
        return Code.QUEUE_FULL
    if job.deadline_ms and expected_wait_ms > job.deadline_ms:
        return Code.DEADLINE_UNREACHABLE
    return None


def _fits(task, offered_capacities):
    """Return whether the task fits into any offered capacity."""
    return any(capacity.can_fit(task) for capacity in offered_capacities)
