"""The callers of a soak: jobs, on connections that are kept open, asked again."""

import asyncio
import json
from dataclasses import dataclass

import aiohttp

from tests.faults.site import HOST_NAME, SERVICE
from tests.faults.witness import Attempt, Job

RETRY_S = 1.3
PATIENCE_S = 0.5
REPEATED = frozenset({502, 504})
# Some callers leave for good after their first attempt.
LEAVING_SHARE = 0.25
LEAVING_NOTICE_S = 0.02


@dataclass(frozen=True)
class JobKind:
    """What jobs of a kind have in common.

    Attributes
    ----------
    tasks : int
        How many at most.
    run_s : float
        Mean run time.
    deadline_s : float
        How long an attempt may take.
    weight : float
        How often such jobs come, relative to the others.
    wait_s : float or None
        How long a caller waits before it asks elsewhere; None if until the deadline.
        The last attempt waits until the deadline.
    attempts : int
        How many a caller makes at most.
    """

    tasks: int
    run_s: float
    deadline_s: float
    weight: float
    wait_s: float | None = None
    attempts: int = 4


SHORT_KINDS = (
    JobKind(8, 0.06, 2.0, 0.25),
    JobKind(4, 0.7, 6.0, 0.1),
    JobKind(2, 0.2, 3.0, 0.65),
)
KINDS = (*SHORT_KINDS, JobKind(2, 3.0, 8.0, 0.12, wait_s=1.5, attempts=3))


class Callers:
    """Hands jobs in and takes their answers.

    Parameters
    ----------
    site : Site
        Where.

    Attributes
    ----------
    terms : list of tuple
        The planned stops: the entry and when it was asked to stop.
    statuses : list of int or None
        Of the last attempt of each job.
    pauses : dict
        Returns by entry how long a caller whose connection has broken waits before
        it asks the next one, instead of `RETRY_S`.
    on_leaving : list of callable
        Called with an entry's name just before a caller leaves it without an answer.
    labels : list of str
        The labels that jobs require, by their ids; empty for none.
    """

    def __init__(self, site):
        self._site = site
        self._witness = site.witness
        self._now = asyncio.get_running_loop().time
        self._session = None
        self._tasks = set()
        self.terms = []
        self.statuses = []
        self.pauses = {}
        self.on_leaving = []
        self.labels = []

    async def start(self):
        """Open the connections."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=60.0)
        self._session = aiohttp.ClientSession(connector=connector)

    async def stop(self):
        """Close the connections."""
        await self._session.close()

    async def play(self, for_s, per_s):
        """Hand jobs in at a rate for some time."""
        rng = self._site.rng
        ends_at = self._now() + for_s
        while self._now() < ends_at:
            self.begin_job(KINDS)
            await asyncio.sleep(rng.expovariate(per_s))

    def begin_job(self, kinds=SHORT_KINDS):
        """Hand a job in without waiting for its answer."""
        task = asyncio.create_task(self.submit(kinds))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def settle(self):
        """Wait until every job has its answer."""
        while self._tasks:
            await asyncio.gather(*tuple(self._tasks))

    async def submit(self, kinds=SHORT_KINDS):
        """Hand one job in until it is answered; return the last `Attempt`."""
        rng = self._site.rng
        kind = rng.choices(kinds, [each.weight for each in kinds])[0]
        spec = f"{kind.run_s * rng.uniform(0.5, 1.5):.3f}"
        name = f"{rng.getrandbits(64):016x}"
        tasks = rng.randint(1, kind.tasks)
        # Without a draw, so that seeds without labels stay what they are.
        label = self.labels[int(name, 16) % len(self.labels)] if self.labels else ""
        job = Job(name, spec, tasks, 6000, kind.deadline_s, label)
        self._witness.jobs[job.id] = job
        entries = list(self._site.entries)
        rng.shuffle(entries)
        leaves = kind.wait_s is not None and rng.random() < LEAVING_SHARE
        for number in range(1 if leaves else kind.attempts):
            last = number == kind.attempts - 1
            wait_s = None if last else kind.wait_s
            attempt = Attempt(
                entries[number % len(entries)],
                self._now(),
                kind.deadline_s if wait_s is None else wait_s,
            )
            job.attempts.append(attempt)
            self._witness.asked(job, attempt)
            await self._ask(job, attempt, wait_s)
            attempt.ended_at = self._now()
            self._witness.answered(job, attempt, self.terms)
            if attempt.status is not None and attempt.status not in REPEATED:
                break
            if not leaves:
                await asyncio.sleep(self._pause_s(attempt))
        self.statuses.append(attempt.status)
        return attempt

    def _pause_s(self, attempt):
        """Return how long a caller waits after an attempt."""
        held_s = attempt.ended_at - attempt.sent_at
        is_cut = attempt.status is None and held_s < attempt.wait_s
        if is_cut and attempt.entry in self.pauses:
            return self.pauses[attempt.entry]()
        return RETRY_S

    async def ask_route(self, entry, path):
        """Return the status of a question for a route, or None."""
        url = f"{self._site.front(entry)}{path}"
        try:
            async with self._session.get(
                url,
                headers={"Host": HOST_NAME},
                timeout=aiohttp.ClientTimeout(total=1.0),
            ) as reply:
                return reply.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def _ask(self, job, attempt, wait_s):
        """Make one attempt; leave after a time if one is given."""
        step = {
            "count": job.tasks,
            "cpu": job.cpu,
            "mem_mb": 64,
            "estimate_ms": int(float(job.spec) * 1000),
        }
        if job.label:
            step["requires"] = job.label
        body = {"spec": job.spec, "best_effort": True, "steps": [step]}
        headers = {
            "Host": HOST_NAME,
            "Deadline-Ms": str(int(job.deadline_s * 1000)),
            "Request-Id": f"{SERVICE}-{job.id}",
        }
        total_s = job.deadline_s + PATIENCE_S if wait_s is None else wait_s
        limit = aiohttp.ClientTimeout(total=total_s)
        notice = asyncio.get_running_loop().call_later(
            total_s - LEAVING_NOTICE_S, self._announce_leaving, attempt.entry
        )
        try:
            async with self._session.post(
                f"{self._site.front(attempt.entry)}/p/{job.id}",
                data=json.dumps(body),
                headers=headers,
                timeout=limit,
            ) as reply:
                answer = await reply.json()
                attempt.status = reply.status
                attempt.state = answer.get("state", "")
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            attempt.status = None
        finally:
            notice.cancel()

    def _announce_leaving(self, entry):
        """Call those who want to know that a caller is about to leave an entry."""
        for each in tuple(self.on_leaving):
            each(entry)
