"""Which new jobs one dispatcher refuses, and which unstarted ones come too late."""

from ragwortlug.codes import Code
from ragwortlug.jobs.refusal import Refusal
from ragwortlug.policy.estimate_checks import EstimateChecks
from ragwortlug.policy.job_ranking import misses_deadline
from ragwortlug.policy.run_time_estimator import size_class


class JobRefusals:
    """Decides by what is known of workers and run times which jobs are refused.

    Parameters
    ----------
    settings : RestartSettings
        Gives the maximum number of open jobs.
    workers : KnownWorkers
        The workers known to the dispatcher.
    load_refusals : LoadRefusals
        Decides which jobs are refused for the work that goes first.
    """

    def __init__(self, settings, workers, load_refusals):
        self._settings = settings
        self._workers = workers
        self._load = load_refusals
        self._estimate_checks = EstimateChecks()

    def refusal(self, record, open_jobs, now):
        """Return the `Refusal` of a new job, or None to accept it.

        A job that is estimated to miss its deadline may be accepted to check that
        estimate. The end of each accepted job must be reported to `on_job_ended`.
        """
        if record.queue.needs_advice:
            return Refusal(Code.UNSUPPORTED)
        service = record.queue.service
        if self.is_full(open_jobs) and not self._load.displaced_by(record, now):
            retry_after_s = self._load.retry_after_s(service, now)
            return Refusal(Code.QUEUE_FULL, retry_after_s)
        fitting = all(
            self._workers.can_ever_fit(service, step.resources, step.label)
            for step in record.job.steps
        )
        if not fitting:
            return Refusal(Code.NO_WORKER_HERE)
        if self.misses_deadline(record, now):
            if not self._estimate_checks.admit(_estimate_kind(record), now):
                return Refusal(Code.DEADLINE_UNREACHABLE)
            record.check_estimate()
        return None

    def is_full(self, open_jobs):
        """Return whether the limit on open jobs is reached."""
        return open_jobs >= self._settings.queue_jobs

    def displaced_by(self, record, open_jobs, now):
        """Return the job that an accepted one displaces and its `Refusal`, or None."""
        if not self.is_full(open_jobs):
            return None
        displaced = self._load.displaced_by(record, now)
        if displaced is None:
            return None
        retry_after_s = self._load.retry_after_s(displaced.queue.service, now)
        fields = {"reason": "displaced", "displaced_by": record.job.id}
        return displaced, Refusal(Code.QUEUE_FULL, retry_after_s, fields)

    def unreachable(self, service, ranked, confined, now):
        """Return the waiting jobs that start too late, a dict of `Refusal` by record.

        Parameters
        ----------
        ranked : list of (Rank, RestartableRecord)
            The waiting jobs of the service in their order.
        confined : list of (RestartableRecord, int)
            Confined jobs that start too late, and when the caller of each may return.
        """
        late = self._load.unreachable(service, ranked, now)
        return {
            record: Refusal(
                Code.DEADLINE_UNREACHABLE, retry_after_s, {"reason": reason}
            )
            for reason, rows in (("forecast", late), ("confined", confined))
            for record, retry_after_s in rows
        }

    def misses_deadline(self, record, now):
        """Return whether a job would miss its deadline even on the fastest worker."""
        serving = self._workers.serving(record.queue.service, now)
        slowdown = min((worker.slowdown for worker in serving), default=1.0)
        path_ms = record.least_path_ms(now) * slowdown
        return misses_deadline(path_ms, record.deadline, now)

    def on_job_ended(self, record, code, now):
        """Record how a job ended, in case it was accepted to check its estimate.

        `code` is that of the job's answer; None if no caller waits for one.
        """
        if not record.checks_estimate:
            return
        in_time = None
        if code in (Code.OK, Code.LEASE_ENDED, Code.DEADLINE_PASSED):
            in_time = code is Code.OK
        self._estimate_checks.on_ended(_estimate_kind(record), in_time, now)

    def expire(self, now):
        """Forget the checks of estimates that have refused no job for long."""
        self._estimate_checks.expire(now)


def _estimate_kind(record):
    """Return the queue and the size class that jobs with similar estimates share."""
    declared_ms = max(step.estimate_ms for step in record.job.steps)
    return record.queue.name, size_class(declared_ms)
