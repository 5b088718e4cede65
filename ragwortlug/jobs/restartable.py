"""The record of one restartable job: task states and remaining work."""

import enum
from dataclasses import dataclass, field

from ragwortlug.invariants import Invariant, check
from ragwortlug.restartable_model import RunEnd

OUTDATED_ATTEMPT_SKIP = 8


def never():
    """Return False; says that a caller has not left whose connection isn't known."""
    return False


class RunState(enum.Enum):
    """The state of a task of a restartable job."""

    WAITING = "waiting"
    ASSIGNED = "out"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class FormerRun:
    """A run that may have executed: its agent's address, its end and when it ended."""

    agent: str
    end: RunEnd
    ended_at: float


@dataclass(slots=True)
class TaskRecord:
    """A task of a restartable job.

    Attributes
    ----------
    attempt : int
        Number of the latest attempt; 0 before the first.
    failures : int
        Number of runs that failed.
    excluded_agents : set of str
        Agents whose worker failed, stalled or lost this task.
    blamed_workers : list
        Workers that are blamed for a failure that the task itself may have caused.
    run_ms : int or None
        Run time of the successful run.
    rescheduled : bool
        Whether the task was moved away from a worker that seemed slow. If it is
        slow on another worker too, the task is large.
    left_attempt : int
        The latest attempt of which an event said that it was moved, or left although
        late.
    weighed_attempt, weighed_fault : int, float
        The latest attempt that was found late on evidence, and the probability then
        that its worker was at fault.
    replaced_attempt, replaced_ends_at : int, float or None
        The attempt whose slow run was moved, and monotonic seconds at which it would
        have ended.
    former_run : FormerRun or None
        The latest run that may have executed, until the task is assigned again.
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
    left_attempt: int = 0
    weighed_attempt: int = 0
    weighed_fault: float = 0.0
    replaced_attempt: int = 0
    replaced_ends_at: float | None = None
    former_run: FormerRun | None = None


class RestartableRecord:
    """The state of a restartable job at its dispatcher.

    Parameters
    ----------
    job : RestartableJob
        The submission.
    queue : Queue
        The queue by whose rules the job is routed and judged.
    arrived, deadline, objective_at : float
        Monotonic seconds at which the job was submitted, at which the caller stops
        waiting, and from which the latency objective is missed.
    estimates : sequence of RunTimeEstimate
        Estimated run time of one task of each step.
    """

    def __init__(self, job, queue, arrived, deadline, objective_at, estimates):
        expected_ms = [estimate.expected_ms for estimate in estimates]
        self._tasks = tuple(
            TaskRecord(number, index, expected_ms[number])
            for number, step in enumerate(job.steps)
            for index in range(step.count)
        )
        self._expected_ms = tuple(expected_ms)
        self._least_share = min(
            estimate.least_ms / max(estimate.expected_ms, 1.0) for estimate in estimates
        )
        self._remaining = [step.count for step in job.steps]
        self._waiting = [step.count for step in job.steps]
        self.job = job
        self._remaining_work = self._sum_work()
        self.queue = queue
        self.arrived = arrived
        self.deadline = deadline
        self.objective_at = objective_at
        self._assigned = 0
        self._may_have_run = False
        self._checks_estimate = False
        # For each request a function that returns whether its caller has left.
        self.requests = {}

    @property
    def done(self):
        """Return whether every task has succeeded."""
        return not any(self._remaining)

    @property
    def begun(self):
        """Return whether a task may have started; refused assignments don't count."""
        return self._may_have_run or self._assigned > 0

    @property
    def is_deserted(self):
        """Return whether all callers have left, though not all may be withdrawn yet."""
        return all(has_left() for has_left in self.requests.values())

    @property
    def checks_estimate(self):
        """Return whether the job was admitted against its estimate, to check it."""
        return self._checks_estimate

    @property
    def tasks(self):
        """Return all tasks."""
        return self._tasks

    @property
    def assigned_tasks(self):
        """Return the tasks with a run that has not ended."""
        return [task for task in self._tasks if task.state is RunState.ASSIGNED]

    @property
    def has_waiting(self):
        """Return whether at least one task is ready to start."""
        return any(
            waiting and self._is_reached(step)
            for step, waiting in enumerate(self._waiting)
        )

    def ready(self):
        """Yield the waiting tasks whose preceding steps are done."""
        for task in self._tasks:
            if task.state is RunState.WAITING and self._is_reached(task.step):
                yield task

    def resources(self, task):
        """Return the resources that a task needs."""
        return self.job.steps[task.step].resources

    def remaining_work(self):
        """Return the core-milliseconds of the tasks that are not done."""
        return self._remaining_work

    def remaining_path_ms(self, now):
        """Return the expected milliseconds of the remaining critical path."""
        path_ms = []
        for number, step in enumerate(self.job.steps):
            preceding_ms = max(
                (path_ms[preceding] for preceding in step.after), default=0.0
            )
            path_ms.append(preceding_ms + self._step_remaining_ms(number, now))
        return max(path_ms, default=0.0)

    def least_path_ms(self, now):
        """Return the milliseconds that the remaining critical path takes at least.

        This is the bound by which jobs are refused: the expected time less the typical
        error of such estimates, or 0 for a job that checks its estimate.
        """
        if self._checks_estimate:
            return 0.0
        return self._least_share * self.remaining_path_ms(now)

    def check_estimate(self):
        """Let the job run although it is estimated to miss its deadline."""
        self._checks_estimate = True

    def attach(self, request_id, deadline, has_left=never):
        """Add a request whose caller waits until a deadline, in monotonic seconds.

        `has_left` returns whether the caller has left before.
        """
        self.requests[request_id] = has_left
        self.deadline = max(self.deadline, deadline)

    def assign(self, task, number, agent, now):
        """Record the assignment of a waiting task to an agent."""
        check(Invariant.ONE_RUN, task.state is RunState.WAITING, state=task.state)
        task.state = RunState.ASSIGNED
        self._waiting[task.step] -= 1
        task.attempt += 1
        task.number = number
        task.agent = agent
        task.assigned_at = now
        self._assigned += 1

    def end_run(self, task, end, run_ms=0.0):
        """Record how the run of a task ended, and its run time in milliseconds."""
        check(Invariant.ONE_RUN, task.state is RunState.ASSIGNED, state=task.state)
        self._assigned -= 1
        self._may_have_run |= end.may_have_run
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
            task.attempt += OUTDATED_ATTEMPT_SKIP
        if end in (RunEnd.FAILED, RunEnd.LOST, RunEnd.NOT_STARTED):
            task.excluded_agents.add(task.agent)

    def _sum_work(self):
        """Compute the core-milliseconds of the tasks that are not done."""
        return sum(
            remaining * step.resources.cpu * self._expected_ms[number]
            for number, (remaining, step) in enumerate(
                zip(self._remaining, self.job.steps, strict=True)
            )
        )

    def _is_reached(self, step):
        """Return whether the steps that a step depends on are done."""
        return not any(
            self._remaining[preceding] for preceding in self.job.steps[step].after
        )

    def _step_remaining_ms(self, number, now):
        """Return the longest expected remaining run time of a step's tasks."""
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
