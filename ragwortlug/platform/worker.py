"""The worker beside an agent: its status reports, and calls to it."""

import contextlib
import errno

import aiohttp
import msgspec
from aiohttp import web

from ragwortlug.errors import (
    RequestError,
    WorkerError,
    WorkerFencedError,
    WorkerRebootedError,
    WorkerReplacedError,
    WorkerSilentError,
)
from ragwortlug.io.http import read_raw
from ragwortlug.io.process_connections import ConnectionEndedError, ProcessConnections
from ragwortlug.io.responses import json_response
from ragwortlug.jobs.worker_calls import StartAnswer
from ragwortlug.leased_actor import WorkerDeparted
from ragwortlug.platform import wire
from ragwortlug.telemetry.logs import logger

MS_PER_S = 1000.0
SNAPSHOT_TIMEOUT_S = 0.15
KEEPALIVE_S = 60.0
START_PATH, STOP_PATH, HOLD_PATH = "/api/run-start", "/api/run-stop", "/api/hold"
HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_OTHER_BOOT = 421
# A worker that answers a start with one of these has done nothing.
HTTP_REJECTED = frozenset({400, HTTP_CONFLICT, 429, 503})

log = logger("worker")
_encoder = msgspec.json.Encoder()

# Failures after which a call may or may not have been carried out.
_NO_ANSWER_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError)


class WorkerRoutes:
    """The routes for the worker beside the agent.

    Parameters
    ----------
    server : HttpServer
        The server that the routes are added to.
    post : callable
        Called with each `WorkerReport` and `WorkerDeparted`.
    record : WorkerRecord
        Stores a report of each boot that is used.
    """

    def __init__(self, server, post, record):
        self._post = post
        self._record = record
        server.app.add_routes(
            [
                web.put("/api/instances/{id}", self._on_report),
                web.delete("/api/instances/{id}", self._on_departure),
            ]
        )

    async def _on_report(self, request):
        """Receive a status report; reject one that can't be decoded."""
        worker_id = request.match_info["id"]
        raw = await read_raw(request, request.client_max_size)
        try:
            report = wire.report_of(worker_id, raw)
        except RequestError as error:
            log.warning(
                "Failed to decode a status report of worker {}: {}.", worker_id, error
            )
            raise
        self._record.add_report(report, raw)
        self._post(report)
        return json_response({})

    async def _on_departure(self, request):
        """Receive the worker's notice that it is shutting down."""
        raw = await read_raw(request, request.client_max_size)
        booted_at_ms = wire.departed_boot_of(raw)
        self._post(WorkerDeparted(request.match_info["id"], booted_at_ms))
        return json_response({})


class WorkerClient:
    """Calls the worker beside the agent.

    The worker may boot again under its id and address, with other labels. So starts,
    leases and acknowledgements of ends are sent on connections on which the boot that
    they are for has answered.

    Parameters
    ----------
    call_ms : int
        Timeout of a call without a wait of its own, in milliseconds.
    """

    def __init__(self, call_ms):
        self._call_timeout_s = call_ms / MS_PER_S
        self._connections = ProcessConnections(KEEPALIVE_S)

    async def start(self):
        """Do nothing: the first call opens a connection."""

    async def stop(self):
        """Close the connections."""
        await self._connections.close()

    async def start_run(self, worker, command):
        """Ask the worker to start a run; return its `StartAnswer` and `WorkerClock`.

        The clock is None without an answer that gives it.
        """
        body = {
            "task": wire.task_name(
                (command.run.job_id, command.run.step, command.run.index)
            ),
            "run_id": command.run.attempt,
            "spec": command.run.payload,
            "deadline_ms": command.lease_until_ms,
            "fencing_token": command.fencing_token,
        }
        try:
            status, raw = await self._post_to_boot(worker, command, START_PATH, body)
        except WorkerError as error:
            log.warning("A start was not sent to the worker: {}.", error)
            refused = isinstance(error, WorkerSilentError) and error.refused
            return (StartAnswer.REJECTED if refused else StartAnswer.NOT_SENT), None
        except _NO_ANSWER_ERRORS as error:
            log.warning("No answer from the worker to a start: {!r}.", error)
            return StartAnswer.NO_ANSWER, None
        if status == HTTP_OTHER_BOOT:
            return StartAnswer.OTHER_BOOT, None
        clock, reason = wire.clock_of(raw)
        if status == HTTP_OK:
            return StartAnswer.STARTED, clock
        log.warning(
            "The worker did not start a run: status {}, reason {!r}.", status, reason
        )
        if status not in HTTP_REJECTED:
            return StartAnswer.NO_ANSWER, None
        outdated = status == HTTP_CONFLICT and reason == "old"
        return (StartAnswer.OUTDATED if outdated else StartAnswer.REJECTED), clock

    async def stop_run(self, worker, command):
        """Ask the worker to stop a run; return whether it answered with status 200."""
        body = {
            "task": wire.task_name(command.task),
            "run_id": command.attempt,
            "fencing_token": command.fencing_token,
        }
        try:
            status, _ = await self._post(worker, STOP_PATH, body)
        except _NO_ANSWER_ERRORS as error:
            log.warning("No answer from the worker to a stop: {!r}.", error)
            return False
        return status == HTTP_OK

    async def request_snapshot(self, worker, request, wait_ms):
        """Renew the lease of all runs; return the `WorkerSnapshot`.

        Raises
        ------
        WorkerSilentError
            There is no usable answer.
        WorkerReplacedError
            A boot with another id answers.
        WorkerFencedError
            The worker accepts only a higher fencing token.
        """
        body = {
            "fencing_token": request.fencing_token,
            "last_seen": request.last_end_number,
            "wait_ms": wait_ms,
        }
        if request.lease_until_ms is not None:
            body["deadline_ms"] = request.lease_until_ms
        try:
            if request.is_neutral:
                answer = await self._post(worker, HOLD_PATH, body, wait_ms)
            else:
                answer = await self._post_to_boot(
                    worker, request, HOLD_PATH, body, wait_ms
                )
        except WorkerRebootedError as error:
            return error.snapshot
        except _NO_ANSWER_ERRORS as error:
            raise WorkerSilentError(repr(error), _is_refused(error)) from error
        return _snapshot_in(worker, answer)

    async def _post_to_boot(self, worker, command, path, body, wait_ms=0):
        """Make a call on a connection on which its boot has answered.

        Parameters
        ----------
        command : StartOnWorker or SnapshotRequest
            What the call is for; it gives the boot, the fencing token and the least
            clock of the boot.

        Raises
        ------
        WorkerRebootedError, WorkerSilentError, WorkerReplacedError, WorkerFencedError
            The boot did not answer on a new connection; the call was not made.
        """
        while True:
            is_new = False
            try:
                async with self._connections.take(
                    worker.address, command.boot
                ) as connection:
                    if connection.process is None:
                        is_new = True
                        await self._verify_boot(connection, worker, command)
                    return await self._call(connection, worker, path, body, wait_ms)
            except ConnectionEndedError as error:
                if is_new:
                    raise WorkerSilentError(repr(error)) from error

    async def _verify_boot(self, connection, worker, command):
        """Check that a new connection reaches the boot of a command.

        The request gives no lease and acknowledges no end.
        """
        body = {"fencing_token": command.fencing_token, "last_seen": 0}
        try:
            answer = await self._call(connection, worker, HOLD_PATH, body)
        except _NO_ANSWER_ERRORS as error:
            raise WorkerSilentError(repr(error), _is_refused(error)) from error
        snapshot = _snapshot_in(worker, answer)
        is_other = snapshot.clock_ms < command.least_clock_ms
        if snapshot.booted_at_ms:
            is_other = snapshot.booted_at_ms != command.boot[1]
        if is_other:
            raise WorkerRebootedError(f"{worker.id} has booted again", snapshot)
        connection.process = command.boot

    async def _post(self, worker, path, body, wait_ms=0):
        """Make one call on any connection; return the status and the body.

        A snapshot in the answer tells which boot the connection reaches.
        """
        while True:
            with contextlib.suppress(ConnectionEndedError):
                async with self._connections.take(worker.address) as connection:
                    answer = await self._call(connection, worker, path, body, wait_ms)
                    if connection.process is None and path == HOLD_PATH:
                        connection.process = _boot_in(worker, answer)
                    return answer

    async def _call(self, connection, worker, path, body, wait_ms=0):
        """Make one call on a connection; return the status and the body."""
        timeout_s = (
            self._call_timeout_s
            if not wait_ms
            else SNAPSHOT_TIMEOUT_S + wait_ms / MS_PER_S
        )
        headers = {"Expect-Instance": worker.id}
        return await connection.post(path, _encoder.encode(body), headers, timeout_s)


def _snapshot_in(worker, answer):
    """Return the `WorkerSnapshot` in an answer, or raise the error that it stands for.

    The errors are those of `WorkerClient.request_snapshot`; `answer` is a status and
    a body.
    """
    status, raw = answer
    if status == HTTP_OTHER_BOOT:
        raise WorkerReplacedError(f"{worker.id} is not the id of the worker")
    if status == HTTP_CONFLICT:
        clock, reason = wire.clock_of(raw)
        raise WorkerFencedError(reason, clock.clock_ms if clock else 0)
    if status != HTTP_OK:
        raise WorkerSilentError(f"status {status}")
    try:
        return wire.snapshot_of(raw)
    except msgspec.DecodeError as error:
        raise WorkerSilentError(repr(error)) from error


def _boot_in(worker, answer):
    """Return the id of the boot that gave a snapshot, or None if it does not say."""
    try:
        booted_at_ms = _snapshot_in(worker, answer).booted_at_ms
    except WorkerError:
        return None
    return (worker.id, booted_at_ms) if booted_at_ms else None


def _is_refused(error):
    """Return whether the port of the worker refused the connection.

    On an open connection the same error number does not mean that nothing was sent.
    """
    return (
        isinstance(error, aiohttp.ClientConnectorError)
        and error.os_error.errno == errno.ECONNREFUSED
    )
