"""The client for callers: submits jobs, and retries them at other entries."""

import asyncio
import time
from dataclasses import dataclass, field

import aiohttp
import msgspec

from ragwortlug.codes import Code
from ragwortlug.decoding import JsonDecoder
from ragwortlug.errors import RagwortlugError
from ragwortlug.model import Answer, Job, Task, TaskOutcome, new_job_id

MAX_ATTEMPTS = 4
RETRY_DELAY_S = 0.2
FAILED_ENTRY_AVOIDANCE_S = 2.0
TRANSIENT_CODES = frozenset(
    {Code.HOME_CHANGING, Code.NO_HOME, Code.HOME_UNCONFIRMED, Code.INTERNAL}
)

_encoder = msgspec.json.Encoder()


@dataclass(frozen=True, slots=True)
class ReplyTask:
    """One task in the body of a reply."""

    code: int
    result: object = None
    detail: str = ""


@dataclass(frozen=True, slots=True)
class ReplyBody:
    """The body of an entry's reply to a job."""

    code: int
    id: str = ""
    detail: str = ""
    reasons: tuple[str, ...] = field(default_factory=tuple)
    tasks: tuple[ReplyTask, ...] = field(default_factory=tuple)


_json_decoder = JsonDecoder()
_replies = JsonDecoder(ReplyBody)


class Client:
    """An asynchronous context manager that sends a caller's requests to the entries.

    Parameters
    ----------
    entries : sequence of str
        URLs of entries or of a load balancer in front of them.
    team : str
        The team that the caller submits jobs for.

    Examples
    --------
    >>> async with Client(["http://127.0.0.1:8101"], "mould-carving") as client:
    ...     answer = await client.submit("previews", [{"pattern": "lotus"}])
    """

    def __init__(self, entries, team):
        self._entries = list(entries)
        self._team = team
        self._turn = 0
        self._avoided_until = {}
        self._session = None

    async def __aenter__(self):
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(
            connector=connector, timeout=aiohttp.ClientTimeout(total=None)
        )
        return self

    async def __aexit__(self, *_):
        await self._session.close()

    async def submit(self, service, payloads, job_id=None, deadline_ms=0, trace=False):
        """Submit a job with one task per payload and return its `Answer`.

        Submitting a job again with the same id is idempotent. After a connection
        error the client retries at another entry with the same id.
        """
        tasks = tuple(
            payload if isinstance(payload, Task) else Task(payload=payload)
            for payload in payloads
        )
        job = Job(job_id or new_job_id(), self._team, service, tasks, deadline_ms)
        return await self.submit_job(job, trace)

    async def submit_job(self, job, trace=False):
        """Submit a job and return its `Answer`.

        The code is ``OUTCOME_UNKNOWN`` if the last attempt ends in a connection
        error.
        """
        query = "?trace=1" if trace else ""
        answer = None
        for _ in range(MAX_ATTEMPTS):
            try:
                answer = await self._call("POST", f"/jobs{query}", job)
            except (aiohttp.ClientError, ConnectionError) as error:
                detail = f"{type(error).__name__}: {error}"
                answer = Answer(job.id, int(Code.OUTCOME_UNKNOWN), (), detail)
                continue
            if answer.code not in TRANSIENT_CODES:
                return answer
            await asyncio.sleep(RETRY_DELAY_S)
        return answer

    async def fetch(self, job_id, wait=True):
        """Return the `Answer` to a job that was submitted before."""
        return await self._call("GET", self._job_path(job_id, wait))

    async def cancel(self, job_id):
        """Cancel a job and return its `Answer`."""
        return await self._call("DELETE", self._job_path(job_id, True))

    async def get(self, path):
        """Return the decoded JSON that an entry serves at a path."""
        async with self._session.get(self._next_entry() + path) as response:
            return _json_decoder.decode(await response.read())

    async def post(self, path, body):
        """Post a JSON body to an entry and return the decoded reply."""
        url = self._next_entry() + path
        async with self._session.post(url, data=_encoder.encode(body)) as response:
            return _json_decoder.decode(await response.read())

    def _job_path(self, job_id, wait):
        """Return the path and query of a job."""
        return f"/jobs/{job_id}?team={self._team}&wait={int(wait)}"

    def _next_entry(self):
        """Return the next entry in turn, skipping entries that failed recently.

        If all failed recently, return the last one in turn.
        """
        now = time.monotonic()
        for _ in self._entries:
            self._turn += 1
            entry = self._entries[self._turn % len(self._entries)]
            if self._avoided_until.get(entry, 0.0) <= now:
                return entry
        return entry

    async def _call(self, method, path, body=None):
        """Send a request about a job and return the `Answer`."""
        data = None if body is None else _encoder.encode(body)
        entry = self._next_entry()
        url = entry + path
        try:
            async with self._session.request(method, url, data=data) as response:
                raw = await response.read()
        except (aiohttp.ClientError, ConnectionError):
            self._avoided_until[entry] = time.monotonic() + FAILED_ENTRY_AVOIDANCE_S
            raise
        try:
            reply = _replies.decode(raw)
        except msgspec.DecodeError as error:
            raise RagwortlugError(f"{url} gave no reply: {error}") from error
        tasks = tuple(
            TaskOutcome(task.code, task.result, task.detail) for task in reply.tasks
        )
        return Answer(reply.id, reply.code, tasks, reply.detail)


def submit(entries, team, service, payloads, **options):
    """Submit one job with a new `Client`, wait for it and return its `Answer`."""

    async def run():
        async with Client(entries, team) as client:
            return await client.submit(service, payloads, **options)

    return asyncio.run(run())
