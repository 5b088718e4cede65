"""The record of one restartable job: the state of each task, and what is left."""

import enum
from dataclasses import dataclass, field

from ragwortlug.invariants import Invariant, check
from ragwortlug.restartable_model import RunEnd

OUTDATED_SKIP = 8


class RunState(enum.Enum):
    """Where a task of a restartable job stands."""

    WAITING = "waiting"
    ASSIGNED = "out"
    DONE = "done"


@dataclass(slots=True)
class TaskRecord:
    """One task.

    Attributes
    ----------
    attempt : int
        Number of the latest start; 0 before the first.
    failures : int
        Runs that ended as failed.
    excluded_agents : set of str
        Agents whose worker failed, stalled or lost this task.
    blamed_workers : list
        Workers that are blamed for a failure that may be the task's own.
    run_ms : int or None
        How long the run took that ended well.
    rescheduled : bool
        Whether it was taken from a worker that seemed slow; if it is slow
        elsewhere too, the task is large.
    """

    step: int
    index: int
    expected_ms: float
    state: RunState = RunState.WAITING
    attempt: int = 0
    failures: int = 0
    number: int = 0
    agent: str = ""
    assigned_at: float = 0.0
    excluded_agents: set = field(default_factory=set)
    blamed_workers: list = field(default_factory=list)
    run_ms: int | None = None
    rescheduled: bool = False


class RestartableRecord:
    """What a dispatcher knows of a restartable job.

    Parameters
    ----------
    job : RestartableJob
        The submission.
    queue : Queue
        How the job is routed and judged.
    arrived, deadline, objective_at : float
        Monotonic seconds of the submission, of the end of the caller's patience,
        and at which the latency objective is missed.
    expected_ms : sequence of float
        Expected run time of the tasks of each step.
    """

    def __init__(self, job, queue, arrived, deadline, objective_at, expected_ms):
        self._tasks = tuple(
            TaskRecord(number, index, expected_ms[number])
            for number, step in enumerate(job.steps)
            for index in range(step.count)
        )
        self._expected_ms = tuple(expected_ms)
        self._remaining = [step.count for step in job.steps]
        self._waiting = [step.count for step in job.steps]
        self.job = job
        self._remaining_work = self._sum_work()
        self.queue = queue
        self.arrived = arrived
        self.deadline = deadline
        self.objective_at = objective_at
        self.ever_assigned = False
        self.may_have_run = False
        self.requests = set()

    @property
    def done(self):
        """Return whether every task has ended well."""
        return not any(self._remaining)

    @property
    def tasks(self):
        """Return all tasks."""
        return self._tasks

    @property
    def assigned_tasks(self):
        """Return the tasks with a run that has not ended."""
        return [each for each in self._tasks if each.state is RunState.ASSIGNED]

    @property
    def has_waiting(self):
        """Return whether some task can be started."""
        return any(
            waiting and self._reached(step)
            for step, waiting in enumerate(self._waiting)
        )

    def ready(self):
        """Yield the tasks that wait and whose earlier steps are done."""
        for task in self._tasks:
            if task.state is RunState.WAITING and self._reached(task.step):
                yield task

    def resources(self, task):
        """Return the room that a task takes."""
        return self.job.steps[task.step].resources

    def remaining_work(self):
        """Return the core-milliseconds of the tasks that have not ended."""
        return self._remaining_work

    def remaining_path_ms(self, now):
        """Return the longest chain of expected run times that has not ended."""
        chains = []
        for number, step in enumerate(self.job.steps):
            before = max((chains[each] for each in step.after), default=0.0)
            chains.append(before + self._step_remaining_ms(number, now))
        return max(chains, default=0.0)

    def assign(self, task, number, agent, now):
        """Mark a task as ordered from an agent."""
        check(Invariant.ONE_RUN, task.state is RunState.WAITING, state=task.state)
        task.state = RunState.ASSIGNED
        self._waiting[task.step] -= 1
        task.attempt += 1
        task.number = number
        task.agent = agent
        task.assigned_at = now
        self.ever_assigned = True

    def end_run(self, task, end, run_ms=0.0):
        """Take note of how the run of a task ended, and after how long."""
        check(Invariant.ONE_RUN, task.state is RunState.ASSIGNED, state=task.state)
        self.may_have_run |= end.may_have_run
        if end is RunEnd.DONE:
            task.state = RunState.DONE
            task.run_ms = round(run_ms)
            self._remaining[task.step] -= 1
            self._remaining_work = self._sum_work()
            return
        task.state = RunState.WAITING
        self._waiting[task.step] += 1
        if end is RunEnd.FAILED:
            task.failures += 1
        if end is RunEnd.OUTDATED:
            task.attempt += OUTDATED_SKIP
        if end in (RunEnd.FAILED, RunEnd.LOST, RunEnd.NOT_STARTED):
            task.excluded_agents.add(task.agent)

    def _sum_work(self):
        """Return the core-milliseconds of the tasks that have not ended."""
        return sum(
            remaining * step.resources.cpu * self._expected_ms[number]
            for number, (remaining, step) in enumerate(
                zip(self._remaining, self.job.steps, strict=True)
            )
        )

    def _reached(self, step):
        """Return whether the steps before this one are done."""
        return not any(self._remaining[each] for each in self.job.steps[step].after)

    def _step_remaining_ms(self, number, now):
        """Return the longest expected rest of a step's tasks."""
        if self._waiting[number]:
            return self._expected_ms[number]
        return max(
            (
                max(0.0, task.expected_ms - (now - task.assigned_at) * 1000.0)
                for task in self._tasks
                if task.step == number and task.state is RunState.ASSIGNED
            ),
            default=0.0,
        )
