"""What crashes of workers tell about the tasks that ran on them.

A task may crash each worker that starts it. A crash ends all runs of the worker, so one
crash proves nothing, and the tasks that were lost beside the cause are as suspect as
the cause itself, unless they had run for long. What is known of a task decides where it
may run next, and whether it is given up.
"""

from dataclasses import dataclass, field

# A crash follows the start of its cause by less than this, if the start caused it.
RECENT_START_MS = 30
# Crashes under one task after which it is given up: shortly after its start, and any.
MAX_RECENT_CRASHES = 2
MAX_CRASHES = 3
# Crashes that did not follow a start after which a task is suspect.
SUSPECT_CRASHES = 2
# Jobs of a queue that end well after a crash before the queue is no longer risky.
SAFE_JOBS = 20
RISKY_S = 30.0
# No caller waits longer, so no task returns later.
KEEP_S = 60.0


@dataclass(slots=True)
class _TaskCrashes:
    """The crashes under one task: all, and those shortly after its start."""

    total: int = 0
    recent: int = 0

    @property
    def is_suspect(self):
        """Return whether the task is likely to crash the next worker."""
        return self.recent > 0 or self.total >= SUSPECT_CRASHES

    @property
    def is_proven(self):
        """Return whether enough workers have crashed under the task to give it up."""
        return self.recent >= MAX_RECENT_CRASHES or self.total >= MAX_CRASHES


@dataclass(slots=True)
class _JobCrashes:
    """The crashes under the tasks of one job."""

    updated_at: float
    tasks: dict = field(default_factory=dict)


@dataclass(slots=True)
class _RiskyQueue:
    """A queue of which a task was proven to crash workers."""

    crashed_at: float
    safe_jobs: int = 0


class CrashHistory:
    """Crashes of workers by task, and the queues whose tasks caused some.

    Tasks of one queue run the same program on different inputs, so a queue of which one
    task was proven to crash workers is risky until jobs of it end well again.
    """

    def __init__(self):
        self._jobs = {}
        self._risky_queues = {}
        self._seen = {}

    @property
    def has_risky_queue(self):
        """Return whether some queue is risky."""
        return bool(self._risky_queues)

    def record(self, agent, message, now):
        """Record a crash that an agent reports.

        Parameters
        ----------
        agent : str
            The incarnation of the agent; a repeated report changes nothing.
        message : WorkerCrashed
            The report.

        Returns
        -------
        list of str
            Ids of the jobs of which a task is now proven to crash workers.
        """
        key = (agent, message.number)
        if key in self._seen:
            return []
        self._seen[key] = now
        proven = {}
        for run in message.runs:
            job = self._jobs.setdefault(run.job_id, _JobCrashes(now))
            job.updated_at = now
            crashes = job.tasks.setdefault((run.step, run.index), _TaskCrashes())
            was_proven = crashes.is_proven
            crashes.total += 1
            crashes.recent += run.age_ms < RECENT_START_MS
            if crashes.is_suspect and run.queue in self._risky_queues:
                self._risky_queues[run.queue] = _RiskyQueue(now)
            if crashes.is_proven and not was_proven:
                proven[run.job_id] = None
                self._risky_queues[run.queue] = _RiskyQueue(now)
        return list(proven)

    def is_suspect(self, job_id):
        """Return whether a task of a job may have crashed a worker."""
        return self._any_task(job_id, lambda crashes: crashes.is_suspect)

    def is_proven(self, job_id):
        """Return whether a task of a job is proven to crash workers."""
        return self._any_task(job_id, lambda crashes: crashes.is_proven)

    def is_risky(self, queue_name):
        """Return whether jobs of a queue are likely to crash workers."""
        return queue_name in self._risky_queues

    def on_task_done(self, job_id, step, index):
        """Clear a task that has ended well."""
        job = self._jobs.get(job_id)
        if job is not None:
            job.tasks.pop((step, index), None)

    def on_job_done(self, queue_name):
        """Record a job that has ended well."""
        risky_queue = self._risky_queues.get(queue_name)
        if risky_queue is not None:
            risky_queue.safe_jobs += 1

    def expire(self, now):
        """Forget what is old, and end the risk of queues; return those queues."""
        for job_id, job in tuple(self._jobs.items()):
            if now - job.updated_at > KEEP_S:
                del self._jobs[job_id]
        for key, seen_at in tuple(self._seen.items()):
            if now - seen_at > 2 * KEEP_S:
                del self._seen[key]
        ended = [
            name
            for name, queue in self._risky_queues.items()
            if queue.safe_jobs >= SAFE_JOBS or now - queue.crashed_at > RISKY_S
        ]
        for name in ended:
            del self._risky_queues[name]
        return ended

    def _any_task(self, job_id, condition):
        """Return whether the crashes under some task of a job meet a condition."""
        job = self._jobs.get(job_id)
        return job is not None and any(map(condition, job.tasks.values()))
