"""The record of one job at its home: the state of each task, and the answer."""

import enum

from ragwortlug.codes import Code, Verdict
from ragwortlug.invariants import Invariant, check
from ragwortlug.model import Answer, TaskOutcome


class TaskState(enum.Enum):
    """State of a task at its home."""

    WAITING = "waiting"
    GRANTED = "granted"
    ENDED = "ended"


class JobRecord:
    """The state of one job at its home.

    Parameters
    ----------
    job : Job
        The submission.
    deadline : float or None
        Monotonic seconds after which no task may be granted.
    arrived : float
        Monotonic seconds of the first submission.
    trace : str
        W3C trace context of the submission; empty if the job is not traced.

    Attributes
    ----------
    abort_code : Code or None
        Why the home ended the job's waiting tasks; None until it does.
    """

    def __init__(self, job, deadline, arrived, trace=""):
        self._states = [TaskState.WAITING] * len(job.tasks)
        self._outcomes = [None] * len(job.tasks)
        self._waiting = list(range(len(job.tasks) - 1, -1, -1))
        self._remaining = len(job.tasks)
        self._answer = None
        self.job = job
        self.digest = job.digest()
        self.deadline = deadline
        self.arrived = arrived
        self.trace = trace
        self.abort_code = None

    @property
    def answer(self):
        """Return the answer, or None until all tasks have ended."""
        return self._answer

    @property
    def remaining_tasks(self):
        """Return the number of tasks that have not ended."""
        return self._remaining

    @property
    def waiting(self):
        """Return the number of tasks that wait for a grant."""
        return len(self._waiting)

    def next_task(self):
        """Return the index of the task to grant next."""
        return self._waiting[-1]

    def mark_granted(self, index):
        """Mark a waiting task as granted."""
        state = self._states[index]
        check(Invariant.START_ONCE, state is TaskState.WAITING, state=state)
        self._waiting.remove(index)
        self._states[index] = TaskState.GRANTED

    def mark_waiting(self, index):
        """Mark a granted task as waiting again, after its agent recorded a refusal."""
        state = self._states[index]
        check(Invariant.START_ONCE, state is TaskState.GRANTED, state=state)
        self._states[index] = TaskState.WAITING
        self._waiting.append(index)

    def end_task(self, index, outcome):
        """Record the outcome of a task; return whether the job is finished."""
        state = self._states[index]
        check(Invariant.ANSWER_FINAL, state is not TaskState.ENDED, index=index)
        if Code(outcome.code).verdict is Verdict.NOT_RUN:
            check(
                Invariant.NOT_RUN_TRUE,
                state is TaskState.WAITING,
                state=state,
                code=outcome.code,
            )
        if state is TaskState.WAITING:
            self._waiting.remove(index)
        self._states[index] = TaskState.ENDED
        self._outcomes[index] = outcome
        self._remaining -= 1
        return self._build_answer()

    def drop_waiting(self, code):
        """End every waiting task with a code; return whether the job is finished."""
        finished = False
        for index in tuple(self._waiting):
            finished = self.end_task(index, TaskOutcome(int(code)))
        return finished

    def _build_answer(self):
        """Build the answer if all tasks have ended; return whether they have."""
        if self._remaining:
            return False
        self._answer = build_answer(self.job.id, self._outcomes)
        check(
            Invariant.ANSWER_WHOLE,
            len(self._answer.tasks) == len(self.job.tasks),
            id=self.job.id,
        )
        return True


def build_answer(job_id, outcomes):
    """Return the answer to a job whose tasks have all ended.

    The answer has results only if every task succeeded. Otherwise the job's code
    has the least certain verdict of its tasks: unknown, else failed, else not run.
    """
    verdicts = {Code(outcome.code).verdict for outcome in outcomes}
    if verdicts == {Verdict.DONE}:
        return Answer(job_id, int(Code.OK), tuple(outcomes))
    bare_outcomes = tuple(
        TaskOutcome(int(Code.RESULT_DROPPED))
        if outcome.code == Code.OK
        else TaskOutcome(outcome.code, None, outcome.detail)
        for outcome in outcomes
    )
    if Verdict.UNKNOWN in verdicts:
        code = _first_code(outcomes, Verdict.UNKNOWN)
    elif verdicts == {Verdict.NOT_RUN}:
        code = outcomes[0].code
    else:
        code = int(Code.JOB_FAILED)
    return Answer(job_id, code, bare_outcomes)


def _first_code(outcomes, verdict):
    """Return the first outcome code that has the verdict."""
    codes = (outcome.code for outcome in outcomes)
    return next(code for code in codes if Code(code).verdict is verdict)
