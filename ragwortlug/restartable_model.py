"""Data types of restartable jobs: queues, steps, resources and ends of runs.

A restartable job may run again from the start after a failed or lost run, but a
task never has two runs at the same time. Times are milliseconds and sizes
are millicores, megabytes and accelerators, unless a name says otherwise.
"""

import enum

import msgspec

from ragwortlug.decoding import Factor

MAX_STEP_TASKS = 10_000
# Longest time from a job's submission to its deadline.
MAX_JOB_MS = 60_000


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """An amount of processor, memory and accelerators."""

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other):
        """Return the sum of the amounts."""
        return Resources(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other):
        """Return the difference; parts of it may be negative."""
        return Resources(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def can_fit(self, other):
        """Return whether `other` fits."""
        return (
            other.cpu <= self.cpu
            and other.memory_mb <= self.memory_mb
            and other.accelerators <= self.accelerators
        )


class RunEnd(enum.StrEnum):
    """How a run ended, as reported by its agent."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "lost"
    NOT_STARTED = "not started"
    NO_RESOURCES = "no room"
    OUTDATED = "outdated"

    @property
    def may_have_run(self):
        """Return whether the task may have executed."""
        return self in (RunEnd.DONE, RunEnd.FAILED, RunEnd.STOPPED, RunEnd.LOST)


class Step(msgspec.Struct, frozen=True):
    """Equal tasks of a job.

    Attributes
    ----------
    count : int
        Number of tasks.
    resources : Resources
        What each task needs.
    estimate_ms : int
        Declared run time; often far off.
    after : tuple of int
        Indexes of steps whose tasks must all be done first.
    label : str
        A label that the worker must have; empty for any worker.
    max_per_worker : int
        Maximum number of the tasks that run on one worker at a time; 0 for no limit.
    """

    count: int
    resources: Resources
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    label: str = ""
    max_per_worker: int = 0


class RestartableJob(msgspec.Struct, frozen=True):
    """A job that may run again from the start."""

    id: str
    payload: str
    steps: tuple[Step, ...]


class Queue(msgspec.Struct, frozen=True):
    """The routing and the latency objective of one kind of jobs.

    Attributes
    ----------
    host, prefix : str
        Select the queue for a request.
    service : str
        The service whose workers run the tasks.
    priority : int
        Lower values are served first; 0 is the lowest.
    max_attempts : int
        Number of failed runs of one task after which the job fails.
    stretch, slack_ms : float, int
        The latency objective: `stretch` times the critical path plus `slack_ms`.
    timeout_ms : int
        Maximum duration of a request; 0 for no limit.
    needs_advice : bool
        Whether only workers that another service names may run a step. Such jobs are
        refused.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: Factor = 1.0
    slack_ms: int = 0
    timeout_ms: int = 0
    needs_advice: bool = False


class QueueTable(msgspec.Struct, frozen=True):
    """The queues in force.

    Attributes
    ----------
    version : int
        Increases with each change.
    body_limit : int
        Maximum size of a request's body in bytes.
    header_limit : int
        Maximum size of a request's head in bytes.
    header_timeout_ms : int
        Longest time from a head's first byte to its last.
    idle_timeout_ms : int
        Longest time without a byte: of a body, or between two requests.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    body_limit: int = 262_144
    header_limit: int = 16_384
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000

    def match(self, host, path):
        """Return the queue with the longest prefix of the path, or None."""
        matching = (
            each
            for each in self.queues
            if each.host == host and path.startswith(each.prefix)
        )
        return max(matching, key=lambda each: len(each.prefix), default=None)


class Orders(msgspec.Struct, frozen=True):
    """The operators' orders at one revision of the platform's store.

    Attributes
    ----------
    revision : int
        Increases with each change; the newest revision is in force.
    table : QueueTable or None
        None before the first configuration.
    evacuated : tuple of str
        Data centres in which no run may start.
    """

    revision: int = 0
    table: QueueTable | None = None
    evacuated: tuple[str, ...] = ()

    @property
    def queues(self):
        """Return the queues in force, a tuple."""
        return () if self.table is None else self.table.queues

    @property
    def version(self):
        """Return the version of the configuration, or 0."""
        return 0 if self.table is None else self.table.version

    def service_of(self, queue_name):
        """Return the service of a queue, or None if it is not configured."""
        services = (each.service for each in self.queues if each.name == queue_name)
        return next(services, None)


class Evacuations(msgspec.Struct, frozen=True, array_like=True):
    """The evacuated data centres at one revision of the operators' orders."""

    revision: int = 0
    data_centres: tuple[str, ...] = ()


class WorkerState(msgspec.Struct, frozen=True, array_like=True):
    """The state of a worker, as reported by its agent.

    Attributes
    ----------
    service : str
        The service whose tasks it runs.
    labels : tuple of str
        Its kind and its rack.
    capacity, free_resources : Resources
        Its total and its unused resources.
    accepting : bool
        Whether it accepts new runs.
    in_service : bool
        Whether the operators let runs start in its data centre, as far as the agent
        knows.
    """

    service: str
    data_centre: str
    labels: tuple[str, ...]
    capacity: Resources
    free_resources: Resources
    accepting: bool
    in_service: bool = True


class Run(msgspec.Struct, frozen=True, array_like=True):
    """One start of one task, as assigned by its dispatcher.

    Attributes
    ----------
    number : int
        Identifies the assignment; a dispatcher uses each number once.
    job_id, step, index : str, int, int
        Identify the task.
    attempt : int
        Counts the starts of the task, from 1.
    expected_ms : float
        Expected run time on a worker of average speed.
    queue : str
        Name of the job's queue.
    label : str
        A label that the worker must have; empty for any worker.
    """

    number: int
    job_id: str
    step: int
    index: int
    attempt: int
    payload: str
    resources: Resources
    expected_ms: float
    queue: str = ""
    label: str = ""


class CrashedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that ended with the crash of its worker.

    Attributes
    ----------
    job_id, step, index : str, int, int
        Identify the task.
    queue : str
        Name of the job's queue.
    age_ms : int
        Time from the command to start the run until the crash.
    acknowledged : bool
        Whether the worker had confirmed the start; if not, it may not have started.
    """

    job_id: str
    step: int
    index: int
    queue: str
    age_ms: int
    acknowledged: bool


class Rank(msgspec.Struct, frozen=True, array_like=True, order=True):
    """The sort key of a job in the order of work; the lowest rank goes first.

    Attributes
    ----------
    misses_objective : bool
        Whether the job can no longer meet its latency objective.
    priority : int
        The queue's priority; lower values are served first, 0 before all others.
    unstarted : bool
        Whether none of its tasks may have started.
    remaining_work : float
        Core-milliseconds of its tasks that have not ended.
    """

    misses_objective: bool
    priority: int
    unstarted: bool
    remaining_work: float
