"""A stand-in for callers: seeded arrivals, and what each caller was told."""

import asyncio
import random
import time
from dataclasses import dataclass

from ragwortlug.codes import Code, Verdict
from ragwortlug.model import Answer, Job, Task, new_job_id

LONG_SHARE = 0.05
SMALL_SHARE = 0.8
BURST_PERIOD_S = 5.0
BURST_SHARE = 0.1
BURST_FACTOR = 4.0


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
class Arrival:
    """One job to come: when, in seconds from the beginning, and its run times."""

    at_s: float
    run_ms: tuple[int, ...]


def arrivals(mix, jobs_per_s, duration_s, seed, bursts=False):
    """Return random arrivals, the same for the same seed.

    With `bursts`, a tenth of the time has four times the rate; the mean is kept.
    """
    rng = random.Random(seed)
    found = []
    at_s = 0.0
    while True:
        rate = jobs_per_s * (_burst_factor(at_s) if bursts else 1.0)
        at_s += rng.expovariate(rate)
        if at_s >= duration_s:
            return found
        found.append(Arrival(at_s, tuple(mix.tasks(rng))))


def _burst_factor(at_s):
    """Return how much faster jobs come at an instant."""
    in_burst = at_s % BURST_PERIOD_S < BURST_PERIOD_S * BURST_SHARE
    calm = (1 - BURST_SHARE * BURST_FACTOR) / (1 - BURST_SHARE)
    return BURST_FACTOR if in_burst else calm


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
        Of the arrivals, sizes, run times and teams.
    one_way_s : float
        Time on the wire between callers and entries, added on both ways.
    """

    def __init__(self, client, service, teams, mix, seed, one_way_s=0.0):
        self._client = client
        self._service = service
        self._teams = teams
        self._mix = mix
        self._seed = seed
        self._one_way_s = one_way_s
        self._random = random.Random(seed)
        self._under_way = set()
        self.told = []

    async def run(self, jobs_per_s, duration_s):
        """Submit jobs for a while; answers may still be under way after it."""
        await self.play(arrivals(self._mix, jobs_per_s, duration_s, self._seed))

    async def play(self, coming):
        """Submit the jobs that are to come, each at its time."""
        began = time.monotonic()
        for each in coming:
            await asyncio.sleep(max(0.0, began + each.at_s - time.monotonic()))
            call = asyncio.create_task(self._submit(each))
            self._under_way.add(call)
            call.add_done_callback(self._under_way.discard)

    async def finish(self, limit_s=60.0):
        """Wait for all answers and return them; raise if some never come."""
        if self._under_way:
            _, missing = await asyncio.wait(self._under_way, timeout=limit_s)
            if missing:
                raise AssertionError(f"{len(missing)} jobs got no answer")
        return self.told

    async def _submit(self, arrival):
        """Submit one job and keep what is told."""
        run_ms = arrival.run_ms
        tasks = tuple(Task(payload={"run_ms": each}, run_ms=each) for each in run_ms)
        team = self._random.choice(self._teams)
        job = Job(new_job_id(), team, self._service, tasks)
        began = time.monotonic()
        await asyncio.sleep(self._one_way_s)
        answer = await self._client.submit_job(job)
        await asyncio.sleep(self._one_way_s)
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
