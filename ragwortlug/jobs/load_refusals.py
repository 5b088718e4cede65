"""Which jobs of one dispatcher are refused because other work goes first."""

from ragwortlug.jobs.waiting_jobs import rank_of
from ragwortlug.policy.backlog import LateWork
from ragwortlug.policy.displacement import DisplaceableJobs

# How long the order of displacement is kept before it is computed again.
DISPLACEABLE_S = 0.05


class LoadRefusals:
    """Forecasts the starts of late jobs, and chooses those that are refused.

    Parameters
    ----------
    waiting_jobs : WaitingJobs
        The jobs that have waiting tasks.
    """

    def __init__(self, waiting_jobs):
        self._waiting_jobs = waiting_jobs
        self._late_work = {}
        # The services whose queues have different priorities.
        self._with_priorities = frozenset()
        # When the displaceable jobs of a service were computed, these jobs, and the
        # work that waits.
        self._displaceable = {}

    def set_queues(self, queues):
        """Set the queues in force."""
        priorities = {}
        for queue in queues:
            priorities.setdefault(queue.service, set()).add(queue.priority)
        self._with_priorities = frozenset(
            service for service, values in priorities.items() if len(values) > 1
        )

    def on_started(self, record, task, now):
        """Count the work of a task that is about to be started."""
        late_work = self._late_work.get(record.queue.service)
        if late_work is not None:
            work = record.resources(task).cpu * task.expected_ms
            late_work.on_started(work, rank_of(record, now).misses_objective)

    def unreachable(self, service, ranked, now):
        """Return the late jobs that can't start before it is too late for them.

        Parameters
        ----------
        ranked : list of (Rank, RestartableRecord)
            The waiting jobs of the service in their order.

        Returns
        -------
        list of (RestartableRecord, int)
            Jobs of which nothing may have started, and the seconds after which the
            caller of each may return.
        """
        late_work = self._late_work.setdefault(service, LateWork())
        return late_work.unreachable(ranked, now)

    def displaced_by(self, record, now):
        """Return the unstarted job that a new one displaces if the queue is full.

        It is None if no job ranks after the new one or the priorities are equal.
        """
        service = record.queue.service
        if service not in self._with_priorities:
            return None
        jobs, _ = self._displaceable_of(service, now)
        return jobs.first_after(rank_of(record, now), self._may_displace)

    def retry_after_s(self, service, now):
        """Return the seconds after which a caller refused for a full queue may return.

        It is None, for the default, if the priorities are equal.
        """
        if service not in self._with_priorities or service not in self._late_work:
            return None
        _, work = self._displaceable_of(service, now)
        return self._late_work[service].retry_after_s(work)

    def _displaceable_of(self, service, now):
        """Return the displaceable jobs of a service and the work that waits.

        Ranking all jobs for each request to a full queue would hold up the event loop.
        """
        computed_at, jobs, work = self._displaceable.get(service, (None, None, 0.0))
        if computed_at is None or now - computed_at >= DISPLACEABLE_S:
            ranked = self._waiting_jobs.ranked(service, now)
            jobs = DisplaceableJobs(ranked)
            work = sum(rank.remaining_work for rank, _ in ranked)
            self._displaceable[service] = now, jobs, work
        return jobs, work

    def _may_displace(self, record):
        """Return whether nothing of a waiting job may have started."""
        return not record.begun and self._waiting_jobs.contains(record)
