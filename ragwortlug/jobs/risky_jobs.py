"""Jobs that may crash the workers that run them, and where they run.

Such a job is confined to few workers (`policy/confinement.py`). A suspect has its
worker to itself; other jobs of a risky queue start one after the other, so that a crash
names its cause. While a queue is risky, all other jobs avoid these workers.
"""

import math

from ragwortlug.jobs import dispatch_events as events
from ragwortlug.policy.backlog import MIN_RETRY_S
from ragwortlug.policy.confinement import Confinement
from ragwortlug.policy.crash_history import RECENT_START_MS
from ragwortlug.policy.job_ranking import misses_deadline

MS_PER_S = 1000.0
# A worker that has not crashed this long after the start of a job starts the next one.
SETTLE_S = 2 * RECENT_START_MS / MS_PER_S


class RiskyJobs:
    """Decides which jobs of one dispatcher are confined, and to which workers.

    Parameters
    ----------
    workers : KnownWorkers
        All workers known to the dispatcher.
    crashes : CrashHistory
        What is known of tasks and queues.
    outstanding : dict
        The dispatcher's assignments: number to record and task.
    service_of : callable
        Returns the service of a queue by its name, or None.
    """

    def __init__(self, workers, crashes, outstanding, service_of):
        self._workers = workers
        self._crashes = crashes
        self._outstanding = outstanding
        self._service_of = service_of
        crashes.set_workers(workers)
        self._confinement = Confinement(workers)
        self._confined_queues = frozenset()

    @property
    def is_calm(self):
        """Return whether no job is confined."""
        return self._crashes.is_calm

    def queue_events(self, now):
        """Return the events of the queues that were confined or released since."""
        risky = self._crashes.risky_queues
        changed, self._confined_queues = self._confined_queues ^ risky, risky
        return [
            events.queue_risk_changed(
                name,
                name in risky,
                self._confinement.own_workers(self._service_of(name), now),
            )
            for name in sorted(changed)
        ]

    def set_dispatchers(self, addresses, own_address):
        """Set the addresses of all dispatchers, and this one's."""
        self._confinement.set_dispatchers(addresses, own_address)

    def is_confined(self, record, now):
        """Return whether a job must run on the confined workers only."""
        if self._crashes.is_calm or not self._is_risky(record):
            return False
        return bool(self._own_workers(record, now))

    def avoided(self, service, now):
        """Return the incarnations of the agents that other jobs avoid, a frozenset."""
        if service not in map(self._service_of, self._crashes.risky_queues):
            return frozenset()
        shared = self._confinement.workers_of_all(service, now)
        return frozenset(worker.peer.incarnation for worker in shared)

    def sort(self, ranked):
        """Return ranked jobs with the suspects last.

        A suspect job that crashes its worker again delays all confined jobs.
        """
        if self._crashes.is_calm:
            return ranked
        return sorted(ranked, key=lambda pair: self._crashes.is_suspect(pair[1].job.id))

    def may_run_on(self, worker, record, now):
        """Return whether a job may use the resources that a worker's agent offers."""
        if self._crashes.is_calm:
            return True
        if not self.is_confined(record, now):
            avoided = self.avoided(record.queue.service, now)
            return worker.peer.incarnation not in avoided
        own_workers = self._own_workers(record, now)
        # A single suspect takes what it can get.
        usable = worker in own_workers or not self._crashes.is_risky(record.queue.name)
        return usable and not self._must_wait(worker, record, now)

    def choose(self, record, step, now, avoided=()):
        """Return the worker for a task of a confined job, or None for not now.

        The agents whose incarnations are `avoided` are never chosen.
        """
        service = record.queue.service
        candidates = list(self._own_workers(record, now))
        if not self._crashes.is_risky(record.queue.name):
            # Likewise, it does not wait for a worker that is down.
            candidates += self._confinement.other_workers(service, now)
        serving = self._workers.serving(service, now)
        for worker in candidates:
            if (
                worker in serving
                and worker.peer.incarnation not in avoided
                and worker.can_start(step.resources, step.label, now)
                and not self._must_wait(worker, record, now)
            ):
                return worker
        return None

    def unreachable(self, ranked, now):
        """Return the unstarted jobs of risky queues that can't end in time.

        Parameters
        ----------
        ranked : list of (Rank, RestartableRecord)
            The waiting jobs of a service in their order.

        Returns
        -------
        list of (RestartableRecord, int)
            Jobs, and the seconds after which the caller of each may return.
        """
        if not self._crashes.risky_queues:
            return []
        confined = [
            record
            for _, record in self.sort(ranked)
            if self._crashes.is_risky(record.queue.name)
        ]
        unreachable = []
        ahead_s = 0.0
        for record in confined:
            workers = self._own_workers(record, now)
            if not workers:
                return unreachable
            wait_s = self._confinement.wait_s(record.queue.service, now) + ahead_s
            path_ms = record.least_path_ms(now)
            if not record.begun and misses_deadline(
                path_ms, record.deadline, now + wait_s
            ):
                retry_after_s = max(MIN_RETRY_S, math.ceil(wait_s))
                unreachable.append((record, retry_after_s))
            else:
                ahead_s += _start_interval_s(record, workers)
        return unreachable

    def _is_risky(self, record):
        """Return whether a job may crash a worker."""
        return self._crashes.is_risky(record.queue.name) or self._crashes.is_suspect(
            record.job.id
        )

    def _own_workers(self, record, now):
        """Return the workers to which the job is confined."""
        return self._confinement.own_workers(record.queue.service, now)

    def _must_wait(self, worker, record, now):
        """Return whether another risky job at a worker must end or settle first."""
        for number in worker.outstanding:
            other, task = self._outstanding[number]
            if other is record or not self._is_risky(other):
                continue
            has_suspect = any(
                self._crashes.is_suspect(each.job.id) for each in (record, other)
            )
            if has_suspect or now - task.assigned_at < SETTLE_S:
                return True
        return False


def _start_interval_s(record, workers):
    """Return the mean seconds from the start of a confined job to that of the next."""
    capacity = sum(worker.state.capacity.cpu for worker in workers if worker.state)
    work_s = record.remaining_work() / MS_PER_S / max(capacity, 1)
    return max(SETTLE_S / len(workers), work_s)
