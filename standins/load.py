"""A stand-in for callers: seeded arrivals, and what each caller was told."""

import asyncio
import random
import time
from dataclasses import dataclass

from ragwortlug.codes import Code, Verdict
from ragwortlug.model import Answer, Job, Task, new_job_id

LONG_SHARE = 0.05
SMALL_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class Mix:
    """What callers submit: jobs' sizes and tasks' run times.

    Attributes
    ----------
    most_tasks : int
        Size of the largest job; small jobs have one task.
    shortest_ms, longest_ms : int
        Run times of ordinary tasks; the share `LONG_SHARE` of tasks takes 2 to
        6 seconds unless `tail` is off.
    """

    most_tasks: int = 40
    shortest_ms: int = 50
    longest_ms: int = 1000
    tail: bool = True

    def tasks(self, rng):
        """Return the run times of one job's tasks, in milliseconds."""
        small = rng.random() < SMALL_SHARE or self.most_tasks < 2
        count = 1 if small else rng.randint(2, self.most_tasks)
        return [self._run_ms(rng) for _ in range(count)]

    def mean_work_s(self):
        """Return the expected work of a job, in seconds of one slot."""
        ordinary_ms = (self.shortest_ms + self.longest_ms) / 2
        tail = LONG_SHARE if self.tail else 0
        run_ms = (1 - tail) * ordinary_ms + tail * 4000
        large = (2 + self.most_tasks) / 2 if self.most_tasks > 1 else 1
        return run_ms / 1000 * (SMALL_SHARE + (1 - SMALL_SHARE) * large)

    def _run_ms(self, rng):
        """Return the run time of one task."""
        if self.tail and rng.random() < LONG_SHARE:
            return rng.randint(2000, 6000)
        return rng.randint(self.shortest_ms, self.longest_ms)


@dataclass(frozen=True, slots=True)
class Told:
    """What one caller submitted and was told."""

    job: Job
    answer: Answer
    submitted_s: float
    answered_s: float
    run_ms: tuple[int, ...]

    @property
    def elapsed_s(self):
        """Return the response time."""
        return self.answered_s - self.submitted_s


class Load:
    """Open arrivals of jobs at a rate.

    Parameters
    ----------
    client : Client
        Submits the jobs.
    service, teams
        What the jobs are for.
    mix : Mix
        What the jobs are.
    seed : int
        Of the arrivals, sizes and run times.
    """

    def __init__(self, client, service, teams, mix, seed):
        self._client = client
        self._service = service
        self._teams = teams
        self._mix = mix
        self._random = random.Random(seed)
        self._under_way = set()
        self.told = []

    async def run(self, jobs_per_s, duration_s):
        """Submit jobs for a while; answers may still be under way after it."""
        until = time.monotonic() + duration_s
        due = time.monotonic()
        while due < until:
            due += self._random.expovariate(jobs_per_s)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            run_ms = tuple(self._mix.tasks(self._random))
            call = asyncio.create_task(self._submit(run_ms))
            self._under_way.add(call)
            call.add_done_callback(self._under_way.discard)

    async def finish(self, limit_s=60.0):
        """Wait for all answers and return them; raise if some never come."""
        if self._under_way:
            _, missing = await asyncio.wait(self._under_way, timeout=limit_s)
            if missing:
                raise AssertionError(f"{len(missing)} jobs got no answer")
        return self.told

    async def _submit(self, run_ms):
        """Submit one job and keep what is told."""
        tasks = tuple(Task(payload={"run_ms": each}, run_ms=each) for each in run_ms)
        team = self._random.choice(self._teams)
        job = Job(new_job_id(), team, self._service, tasks)
        began = time.monotonic()
        answer = await self._client.submit_job(job)
        self.told.append(Told(job, answer, began, time.monotonic(), run_ms))


def violations(told, starts):
    """Return every contradiction between the answers and the targets' record.

    Parameters
    ----------
    told : iterable of Told
        What callers were told.
    starts : mapping of str to int
        How often each ``job/index`` was started.
    """
    found = [
        f"{name} was started {count} times"
        for name, count in starts.items()
        if count > 1
    ]
    for each in told:
        found += _contradictions(each.job, each.answer, starts)
    return found


def _contradictions(job, answer, starts):
    """Return what an answer says that the record denies."""
    count = len(job.tasks)
    started = [starts.get(f"{job.id}/{index}", 0) for index in range(count)]
    verdict = Code(answer.code).verdict
    if verdict is Verdict.DONE and started != [1] * count:
        return [f"{job.id} is told done, but was started {started}"]
    if verdict is Verdict.NOT_RUN and any(started):
        return [f"{job.id} is told not run, but was started {started}"]
    return [
        f"{job.id}/{index} is told [{task.code}], but was started"
        for index, task in enumerate(answer.tasks)
        if Code(task.code).verdict is Verdict.NOT_RUN and started[index]
    ]
