"""Which new jobs one dispatcher refuses, and which unstarted ones come too late."""

from ragwortlug.codes import Code
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
    """

    def __init__(self, settings, workers):
        self._settings = settings
        self._workers = workers
        self._estimate_checks = EstimateChecks()

    def refusal_code(self, record, open_jobs, now):
        """Return the code with which a new job is refused, or None.

        A job that is estimated to miss its deadline may be accepted to check that
        estimate. The end of each accepted job must be reported to `on_job_ended`.
        """
        if record.queue.needs_advice:
            return Code.UNSUPPORTED
        if open_jobs >= self._settings.queue_jobs:
            return Code.QUEUE_FULL
        service = record.queue.service
        fitting = all(
            self._workers.can_ever_fit(service, step.resources, step.label)
            for step in record.job.steps
        )
        if not fitting:
            return Code.NO_WORKER_HERE
        if self.misses_deadline(record, now):
            if not self._estimate_checks.admit(_estimate_kind(record), now):
                return Code.DEADLINE_UNREACHABLE
            record.check_estimate()
        return None

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
