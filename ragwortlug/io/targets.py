"""Interface to targets: announcements to the agent, and tasks run on the target.

Each task is sent with the time before which it must start, on the wall clock that
the agent and its target share on their VM. A target that receives it later refuses
it, so a pause between the agent's last check and the target's start can't extend
beyond the agent's permission. The task also names the target's process, by the
`instance` of its announcement: a new process at the same address, which may be of
another service, refuses it with status 421.
"""

import asyncio
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec
from aiohttp import web

from ragwortlug.codes import Code
from ragwortlug.decoding import JsonDecoder, check_plain_value
from ragwortlug.errors import RequestError
from ragwortlug.io.http import read_body
from ragwortlug.io.responses import json_response
from ragwortlug.lease_settings import is_address
from ragwortlug.model import Announcement, TaskOutcome

MS_PER_S = 1000.0
KEEPALIVE_S = 15.0
CONNECT_TIMEOUT_S = 1.0
REQUEST_TIMEOUT_S = 1.0
STOP_RETRY_INTERVAL_S = 0.05
HTTP_OTHER_INSTANCE = 421


@dataclass(frozen=True, slots=True)
class TargetReply:
    """The body of a target's reply; which fields it has depends on the request."""

    result: Any = None
    error: Any = ""
    checkpoint: str | None = None


_announcement_decoder = JsonDecoder(Announcement)
_reply_decoder = JsonDecoder(TargetReply)
_encoder = msgspec.json.Encoder()


@dataclass(frozen=True, slots=True)
class NotStarted:
    """The task was not started, and never will be."""

    code: Code


class TargetRoutes:
    """The routes for the target on the agent's VM.

    Parameters
    ----------
    server : HttpServer
        The server to add the routes to.
    on_announcement : callable
        Called with each `Announcement`.
    """

    def __init__(self, server, on_announcement):
        self._on_announcement = on_announcement
        server.app.add_routes([web.put("/target", self._announce)])

    async def _announce(self, request):
        """Accept an announcement; one with `leaving` set is the last."""
        announcement = await read_body(request, _announcement_decoder)
        _check_url(announcement.url)
        self._on_announcement(announcement)
        return json_response({"ttl_ms": announcement.ttl_ms})


class TargetClient:
    """Runs tasks on the target.

    Parameters
    ----------
    view : View
        The view that must permit each start.
    data_centre : str
        The data centre of the target.
    timer : Timer
        Provides the clocks.
    confirm_s : float
        How long a confirmed view permits starts, in seconds.
    """

    def __init__(self, view, data_centre, timer, confirm_s):
        self._view = view
        self._data_centre = data_centre
        self._timer = timer
        self._confirm_s = confirm_s
        self._session = None
        self._stopped = set()
        # Tasks whose call to the target has not ended.
        self._calls = set()

    async def start(self):
        """Open the connection pool."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_S)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        self._session = aiohttp.ClientSession(
            connector=connector,
            timeout=timeout,
            cookie_jar=aiohttp.DummyCookieJar(),
            headers={"Content-Type": "application/json"},
        )

    async def stop(self):
        """Close the connection pool."""
        await self._session.close()

    async def run_task(self, start, throttled=False):
        """Run a granted task; return a `TaskOutcome` or a `NotStarted`."""
        grant = start.grant
        now = self._timer.monotonic()
        if not self._view.permits_start(grant.service, self._data_centre, now):
            confirmed = self._view.is_confirmed(now)
            code = Code.NOT_PERMITTED_HERE if confirmed else Code.NOT_CONFIRMED
            return NotStarted(code)
        remaining_s = self._confirm_s - self._view.age_s(now)
        body = {
            "id": task_id(start.key),
            "instance": start.instance,
            "job": grant.job_id,
            "index": grant.index,
            "team": grant.team,
            "service": grant.service,
            "payload": grant.payload,
            "start_before_ms": self._timer.unix_ms() + int(remaining_s * MS_PER_S),
            "lease_ms": grant.lease_ms,
            "throttled": throttled,
        }
        try:
            async with asyncio.timeout(grant.lease_ms / MS_PER_S):
                return await self._post(start.url, body)
        except TimeoutError:
            return await self._save_and_stop(start)
        except aiohttp.ClientConnectorError:
            return NotStarted(Code.TARGET_UNREACHABLE)
        except (aiohttp.ClientError, msgspec.DecodeError, ConnectionError) as error:
            detail = type(error).__name__
            return TaskOutcome(int(Code.REPLY_LOST), None, detail)
        finally:
            self._stopped.discard(task_id(start.key))

    async def stop_task(self, task, url):
        """Ask the target to stop a task; return whether it confirmed.

        The request may overtake the one that starts the task, on another connection.
        It is therefore repeated until the call that runs the task has ended.
        """
        self._stopped.add(task)
        while await self._request("DELETE", f"{url}/tasks/{task}") is None:
            if task not in self._calls:
                return False
            await asyncio.sleep(STOP_RETRY_INTERVAL_S)
        return True

    async def throttle_task(self, task, url):
        """Ask the target to slow a task down; return whether it confirmed."""
        return await self._request("POST", f"{url}/tasks/{task}/throttle") is not None

    async def checkpoint_task(self, task, url):
        """Ask the target to save a task's state; return its checkpoint name or None."""
        reply = await self._request("POST", f"{url}/tasks/{task}/checkpoint")
        return None if reply is None else reply.checkpoint

    async def _request(self, method, url):
        """Return the target's decoded reply to a request, or None on failure."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        try:
            async with self._session.request(method, url, timeout=timeout) as response:
                raw = await response.read()
            return _reply_decoder.decode(raw) if response.status == 200 else None
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
            return None

    async def _post(self, url, body):
        """Send a task and wait for its end."""
        data = _encoder.encode(body)
        self._calls.add(body["id"])
        try:
            async with self._session.post(f"{url}/tasks", data=data) as response:
                raw = await response.read()
        finally:
            self._calls.discard(body["id"])
        if response.status == Code.LEASE_TOO_LATE.http_status:
            return NotStarted(Code.LEASE_TOO_LATE)
        if response.status == HTTP_OTHER_INSTANCE:
            return NotStarted(Code.TARGET_REPLACED)
        reply = _reply_decoder.decode(raw)
        if response.status == 200:
            check_plain_value(reply.result)
            return TaskOutcome(int(Code.OK), reply.result)
        code = Code.STOPPED if body["id"] in self._stopped else Code.TASK_FAILED
        return TaskOutcome(int(code), None, str(reply.error))

    async def _save_and_stop(self, start):
        """Save the state of a task whose lease has ended, and stop it."""
        task = task_id(start.key)
        saved = await self.checkpoint_task(task, start.url)
        stopped = await self.stop_task(task, start.url)
        code = Code.LEASE_ENDED if stopped else Code.OUTCOME_UNKNOWN
        return TaskOutcome(int(code), None, f"checkpoint {saved}" if saved else "")


def _check_url(url):
    """Raise `RequestError` if no task could be sent to a URL."""
    scheme, _, rest = url.partition("://")
    if scheme != "http" or not is_address(f"tcp://{rest.partition('/')[0]}"):
        detail = f"{url!r} does not begin with http://IP:PORT - at `$.url`"
        raise RequestError(detail, Code.BAD_FIELD)


def task_id(key):
    """Return the id that the target uses for a granted task."""
    return f"{key.home.incarnation}-{key.number}"
