"""The jobs of one dispatcher that have waiting tasks, in the order of work."""

from ragwortlug.policy.job_ranking import job_rank


class WaitingJobs:
    """Keeps the records with waiting tasks by service.

    A task of a removed job waits for the end of its run before a new job of the same
    id may start it.
    """

    def __init__(self):
        # Records by service and job id.
        self._records = {}
        # Tasks of removed jobs whose runs have not ended: job id, step and index.
        self._stopping_tasks = set()

    @property
    def services(self):
        """The names of the services that jobs have waited for, a list."""
        return list(self._records)

    @property
    def stopping_job_ids(self):
        """Return the ids of removed jobs with runs that have not ended, a set."""
        return {key[0] for key in self._stopping_tasks}

    def update(self, record, is_open):
        """Add a job, or remove it if it is not open or no task of it waits.

        After a job is finished, a new job of the same id may be submitted while
        runs of the old one have not ended; the records are compared for that reason.
        """
        job_id = record.job.id
        waiting = self._records.setdefault(record.queue.service, {})
        if is_open and record.has_waiting:
            waiting[job_id] = record
        elif waiting.get(job_id) is record:
            del waiting[job_id]

    def ranked(self, service, now):
        """Return the waiting jobs of a service as pairs of rank and record, sorted."""
        ranked = []
        for record in self._records.get(service, {}).values():
            rank = rank_of(record, now)
            ranked.append((rank, record))
        ranked.sort(key=lambda pair: pair[0])
        return ranked

    def contains(self, record):
        """Return whether a job is open and has waiting tasks."""
        waiting = self._records.get(record.queue.service, {})
        return waiting.get(record.job.id) is record

    def eligible_tasks(self, record):
        """Return the ready tasks that can have no other run under way, a tuple."""
        return tuple(
            task
            for task in record.ready()
            if _task_key(record, task) not in self._stopping_tasks
        )

    def add_stopping(self, record, task):
        """Record that a task of a removed job has a run that must end first."""
        self._stopping_tasks.add(_task_key(record, task))

    def end_stopping(self, record, task):
        """Record the end of a run; return whether its job had been removed before."""
        key = _task_key(record, task)
        was_stopping = key in self._stopping_tasks
        self._stopping_tasks.discard(key)
        return was_stopping


def rank_of(record, now):
    """Return the place of a job in the order of work, as a `Rank`."""
    return job_rank(
        record.queue.priority,
        record.begun,
        record.remaining_work(),
        record.remaining_path_ms(now),
        record.objective_at,
        now,
    )


def _task_key(record, task):
    """Return what identifies a task of any job of that id."""
    return (record.job.id, task.step, task.index)
