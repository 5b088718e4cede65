"""The callers of a soak: jobs, on connections that are kept open, asked again."""

import asyncio
import json

import aiohttp

from tests.faults.site import HOST_NAME, SERVICE
from tests.faults.witness import Attempt, Job

RETRY_S = 1.3
PATIENCE_S = 0.5
MOST_ATTEMPTS = 4
REPEATED = frozenset({502, 504})
# Tasks, run time in seconds and the caller's patience, of each kind of job.
KINDS = (((8, 0.06, 2.0), 0.25), ((4, 0.7, 6.0), 0.1), ((2, 0.2, 3.0), 0.65))


class Callers:
    """Hands jobs in and takes their answers.

    Parameters
    ----------
    site : Site
        Where.
    """

    def __init__(self, site):
        self._site = site
        self._witness = site.witness
        self._now = asyncio.get_running_loop().time
        self._session = None
        self._tasks = set()
        self.terms = []
        self.statuses = []

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
            task = asyncio.create_task(self.submit())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(rng.expovariate(per_s))

    async def settle(self):
        """Wait until every job has its answer."""
        while self._tasks:
            await asyncio.gather(*tuple(self._tasks))

    async def submit(self):
        """Hand one job in until it is answered; return the last `Attempt`."""
        rng = self._site.rng
        kinds, weights = zip(*KINDS, strict=True)
        tasks, run_s, deadline_s = rng.choices(kinds, weights)[0]
        spec = f"{run_s * rng.uniform(0.5, 1.5):.3f}"
        name = f"{rng.getrandbits(64):016x}"
        job = Job(name, spec, rng.randint(1, tasks), 6000, deadline_s)
        self._witness.jobs[job.id] = job
        entries = list(self._site.entries)
        rng.shuffle(entries)
        for number in range(MOST_ATTEMPTS):
            attempt = Attempt(entries[number % len(entries)], self._now())
            job.attempts.append(attempt)
            await self._ask(job, attempt)
            attempt.ended_at = self._now()
            self._witness.answered(job, attempt, self.terms)
            if attempt.status is not None and attempt.status not in REPEATED:
                break
            await asyncio.sleep(RETRY_S)
        self.statuses.append(attempt.status)
        return attempt

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

    async def _ask(self, job, attempt):
        """Make one attempt."""
        step = {
            "count": job.tasks,
            "cpu": job.cpu,
            "mem_mb": 64,
            "estimate_ms": int(float(job.spec) * 1000),
        }
        body = {"spec": job.spec, "best_effort": True, "steps": [step]}
        headers = {
            "Host": HOST_NAME,
            "Deadline-Ms": str(int(job.deadline_s * 1000)),
            "Request-Id": f"{SERVICE}-{job.id}",
        }
        limit = aiohttp.ClientTimeout(total=job.deadline_s + PATIENCE_S)
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
