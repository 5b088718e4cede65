"""A stand-in for callers: submits seeded random jobs and records the answers."""

import asyncio
import random
import time
from dataclasses import dataclass

from ragwortlug.codes import Code, Verdict
from ragwortlug.model import Answer, Job, Task, new_job_id

LONG_TASK_FRACTION = 0.05
SMALL_JOB_FRACTION = 0.8
BURST_PERIOD_S = 5.0
BURST_FRACTION = 0.1
BURST_FACTOR = 4.0


@dataclass(frozen=True, slots=True)
class Workload:
    """The distribution of the jobs' sizes and of the tasks' run times.

    Attributes
    ----------
    max_tasks : int
        Maximum number of tasks of a job. Small jobs have one task.
    min_run_ms, max_run_ms : int
        Bounds of the run time of an ordinary task, in milliseconds.
    long_tasks : bool
        Whether the fraction `LONG_TASK_FRACTION` of the tasks runs for 2 to 6 seconds.
    """

    max_tasks: int = 40
    min_run_ms: int = 50
    max_run_ms: int = 1000
    long_tasks: bool = True

    def draw_run_times(self, rng):
        """Return the run times of the tasks of a random job, in milliseconds."""
        small = rng.random() < SMALL_JOB_FRACTION or self.max_tasks < 2
        count = 1 if small else rng.randint(2, self.max_tasks)
        return [self._draw_run_ms(rng) for _ in range(count)]

    def mean_work_s(self):
        """Return the expected sum of the run times of a job's tasks, in seconds."""
        ordinary_ms = (self.min_run_ms + self.max_run_ms) / 2
        long_fraction = LONG_TASK_FRACTION if self.long_tasks else 0
        run_ms = (1 - long_fraction) * ordinary_ms + long_fraction * 4000
        mean_large_tasks = (2 + self.max_tasks) / 2 if self.max_tasks > 1 else 1
        return (
            run_ms
            / 1000
            * (SMALL_JOB_FRACTION + (1 - SMALL_JOB_FRACTION) * mean_large_tasks)
        )

    def _draw_run_ms(self, rng):
        """Return the run time of a random task, in milliseconds."""
        if self.long_tasks and rng.random() < LONG_TASK_FRACTION:
            return rng.randint(2000, 6000)
        return rng.randint(self.min_run_ms, self.max_run_ms)


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job to submit.

    Attributes
    ----------
    at_s : float
        Time of submission, in seconds from the start.
    run_ms : tuple of int
        Run times of its tasks, in milliseconds.
    """

    at_s: float
    run_ms: tuple[int, ...]


def generate_arrivals(workload, jobs_per_s, duration_s, seed, bursts=False):
    """Return a list of random arrivals that depends on the arguments only.

    With `bursts`, the rate is four times `jobs_per_s` during a tenth of the time, and
    lower during the rest, so that the mean rate stays `jobs_per_s`.
    """
    rng = random.Random(seed)
    generated = []
    at_s = 0.0
    while True:
        rate = jobs_per_s * (_burst_factor(at_s) if bursts else 1.0)
        at_s += rng.expovariate(rate)
        if at_s >= duration_s:
            return generated
        generated.append(Arrival(at_s, tuple(workload.draw_run_times(rng))))


def _burst_factor(at_s):
    """Return the rate of arrivals at a time as a multiple of the mean rate."""
    in_burst = at_s % BURST_PERIOD_S < BURST_PERIOD_S * BURST_FRACTION
    base_factor = (1 - BURST_FRACTION * BURST_FACTOR) / (1 - BURST_FRACTION)
    return BURST_FACTOR if in_burst else base_factor


@dataclass(frozen=True, slots=True)
class ObservedAnswer:
    """A submitted job and the answer that its caller received.

    Times are in seconds of the monotonic clock.
    """

    job: Job
    answer: Answer
    submitted_s: float
    answered_s: float
    run_ms: tuple[int, ...]

    @property
    def elapsed_s(self):
        """Response time."""
        return self.answered_s - self.submitted_s


class LoadGenerator:
    """Submits jobs at random times, without waiting for earlier answers.

    Parameters
    ----------
    client : Client
        The client that submits the jobs.
    service : str
        The service of all jobs.
    teams : sequence of str
        Teams, of which one is chosen at random for each job.
    workload : Workload
        Distribution of the jobs' sizes and run times.
    seed : int
        Seed of the arrivals, sizes, run times and teams.
    one_way_s : float
        Simulated network latency between callers and entries in seconds, added in both
        directions.

    Attributes
    ----------
    observed : list of ObservedAnswer
        Answers received so far.
    """

    def __init__(self, client, service, teams, workload, seed, one_way_s=0.0):
        self._client = client
        self._service = service
        self._teams = teams
        self._workload = workload
        self._seed = seed
        self._one_way_s = one_way_s
        self._random = random.Random(seed)
        self._pending = set()
        self.observed = []

    async def run(self, jobs_per_s, duration_s):
        """Submit random jobs for a time, without waiting for the last answers."""
        await self.submit_arrivals(
            generate_arrivals(self._workload, jobs_per_s, duration_s, self._seed)
        )

    async def submit_arrivals(self, jobs):
        """Submit a job for each arrival at its time."""
        started_at = time.monotonic()
        for arrival in jobs:
            await asyncio.sleep(max(0.0, started_at + arrival.at_s - time.monotonic()))
            call = asyncio.create_task(self._submit_job(arrival))
            self._pending.add(call)
            call.add_done_callback(self._pending.discard)

    async def finish(self, timeout_s=60.0):
        """Wait for all answers and return them.

        Raises
        ------
        AssertionError
            If an answer is missing after `timeout_s` seconds.
        """
        if self._pending:
            _, missing = await asyncio.wait(self._pending, timeout=timeout_s)
            if missing:
                raise AssertionError(f"{len(missing)} jobs got no answer")
        return self.observed

    async def _submit_job(self, arrival):
        """Submit one job and record its answer."""
        run_ms = arrival.run_ms
        tasks = tuple(Task(payload={"run_ms": ms}, run_ms=ms) for ms in run_ms)
        team = self._random.choice(self._teams)
        job = Job(new_job_id(), team, self._service, tasks)
        submitted_s = time.monotonic()
        await asyncio.sleep(self._one_way_s)
        answer = await self._client.submit_job(job)
        await asyncio.sleep(self._one_way_s)
        self.observed.append(
            ObservedAnswer(job, answer, submitted_s, time.monotonic(), run_ms)
        )


def violations(observed, starts):
    """Return every contradiction between the answers and the record of starts.

    Parameters
    ----------
    observed : iterable of ObservedAnswer
        Answers that callers received.
    starts : mapping of str to int
        Number of starts of each task, by ``job/index``.

    Returns
    -------
    list of str
        A description of each contradiction.
    """
    contradictions = [
        f"{name} was started {count} times"
        for name, count in starts.items()
        if count > 1
    ]
    for entry in observed:
        contradictions += _contradictions(entry.job, entry.answer, starts)
    return contradictions


def _contradictions(job, answer, starts):
    """Return the contradictions between one answer and the record of starts."""
    count = len(job.tasks)
    started = [starts.get(f"{job.id}/{index}", 0) for index in range(count)]
    verdict = Code(answer.code).verdict
    if verdict is Verdict.DONE and started != [1] * count:
        return [f"{job.id} was answered as done, but was started {started}"]
    if verdict is Verdict.NOT_RUN and any(started):
        return [f"{job.id} was answered as not run, but was started {started}"]
    return [
        f"{job.id}/{index} was answered with [{task.code}], but was started"
        for index, task in enumerate(answer.tasks)
        if Code(task.code).verdict is Verdict.NOT_RUN and started[index]
    ]
