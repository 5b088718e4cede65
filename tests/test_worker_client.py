"""What the answers of a worker to its agent's calls prove, through real sockets."""

import asyncio
import contextlib
import dataclasses

import pytest
from aiohttp import web

from ragwortlug.io.process_connections import ProcessConnections
from ragwortlug.jobs.worker_calls import (
    SnapshotRequest,
    StartAnswer,
    StartOnWorker,
    WorkerClock,
)
from ragwortlug.platform.worker import WorkerClient
from tests.test_leased import REPORT, RUN
from tests.test_platform import HOST, free_ports

COMMAND = StartOnWorker(REPORT.boot_id, ("entry-1", 1), RUN, 900, 1)


class Boot:
    """One boot of a worker at a port; it notes the calls that it gets.

    Attributes
    ----------
    calls : list of str
        The last part of each call's path.
    bodies : list of dict
        The bodies of the requests for a snapshot.
    closes : bool
        Whether it closes the connection after each answer.
    """

    def __init__(self, born, start_answer=(200, b'{"clock_ms":7}'), clock_ms=7):
        self._start_answer = start_answer
        lists = {"clock_ms": clock_ms, "running": [], "finished": []}
        if born:
            lists["born"] = born
        self._lists = lists
        self.calls = []
        self.bodies = []
        self.closes = False

    @contextlib.asynccontextmanager
    async def at(self, worker):
        """Listen at a worker's address; close the connections at the end."""
        app = web.Application()
        app.router.add_post("/api/run-start", self._on_start)
        app.router.add_post("/api/hold", self._on_hold)
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        port = int(worker.address.rpartition(":")[2])
        await web.TCPSite(runner, HOST, port, reuse_address=True).start()
        try:
            yield self
        finally:
            await runner.cleanup()

    async def _on_start(self, request):
        self.calls.append("run-start")
        status, body = self._start_answer
        return self._answered(web.Response(status=status, body=body))

    async def _on_hold(self, request):
        self.calls.append("hold")
        self.bodies.append(await request.json())
        return self._answered(web.json_response(self._lists))

    def _answered(self, response):
        if self.closes:
            response.force_close()
        return response


def with_client(play):
    """Return the result of ``play(client, worker)``."""

    async def body_of_test():
        (port,) = free_ports(1)
        client = WorkerClient(1000)
        await client.start()
        worker = type("Worker", (), {"address": f"{HOST}:{port}", "id": "i-1"})
        try:
            return await play(client, worker)
        finally:
            await client.stop()

    return asyncio.run(body_of_test())


def answer_to_start(boot, command=COMMAND):
    """Return the client's result of a start at a boot, or where nothing listens."""

    async def play(client, worker):
        if boot is None:
            return await client.start_run(worker, command)
        async with boot.at(worker):
            return await client.start_run(worker, command)

    return with_client(play)


class TestStarts:
    @pytest.mark.parametrize(
        ("status", "body", "answer"),
        [
            (200, b'{"clock_ms":7}', StartAnswer.STARTED),
            (409, b'{"clock_ms":7,"reason":"old"}', StartAnswer.OUTDATED),
            (409, b'{"clock_ms":7,"reason":"late"}', StartAnswer.REJECTED),
            (409, b"not readable", StartAnswer.REJECTED),
            (400, b"", StartAnswer.REJECTED),
            (429, b"", StartAnswer.REJECTED),
            (503, b"", StartAnswer.REJECTED),
            (421, b"", StartAnswer.OTHER_BOOT),
            (500, b"", StartAnswer.NO_ANSWER),
            (502, b"", StartAnswer.NO_ANSWER),
            (504, b"", StartAnswer.NO_ANSWER),
            (404, b"", StartAnswer.NO_ANSWER),
        ],
    )
    def test_only_a_rejection_proves_that_a_run_did_not_start(
        self, status, body, answer
    ):
        boot = Boot(REPORT.booted_at_ms, (status, body))
        assert answer_to_start(boot)[0] is answer

    def test_a_refused_connection_proves_that_a_run_did_not_start(self):
        assert answer_to_start(None) == (StartAnswer.REJECTED, None)

    @pytest.mark.parametrize(
        ("body", "clock"),
        [
            (b'{"clock_ms":7}', WorkerClock(7)),
            (b'{"clock_ms":7,"born":3}', WorkerClock(7, 3)),
            (b'{"clock_ms":"7"}', None),
            (b'{"clock_ms":1e40}', None),
            (b'{"clock_ms":' + b"9" * 40 + b"}", None),
            (b"\xff", None),
            (b"[" * 100_000, None),
            (b"", None),
        ],
    )
    def test_the_clock_in_an_answer(self, body, clock):
        boot = Boot(REPORT.booted_at_ms, (200, body))
        assert answer_to_start(boot) == (StartAnswer.STARTED, clock)


class TestBootsAtOneAddress:
    """A worker boots again under its id and address, perhaps as another kind."""

    SNAPSHOT = SnapshotRequest(REPORT.boot_id, 0.0, 1, 0, 0, None)

    @pytest.mark.parametrize("is_connected", [False, True])
    def test_a_start_for_the_former_boot_does_not_reach_the_later_one(
        self, is_connected
    ):
        """Guards against a start on a later boot without the label that a job needs."""

        async def play(client, worker):
            async with Boot(REPORT.booted_at_ms).at(worker) as former:
                if is_connected:
                    await client.request_snapshot(worker, self.SNAPSHOT, 0)
            async with Boot(REPORT.booted_at_ms + 1).at(worker) as later:
                answer = await client.start_run(worker, COMMAND)
            return answer, former.calls + later.calls

        answer, calls = with_client(play)
        assert "run-start" not in calls
        assert answer == (StartAnswer.NOT_SENT, None)

    def test_a_later_boot_gets_no_lease_and_keeps_its_ends(self):
        """Guards against ends that a later boot forgets before anyone has read them."""
        request = dataclasses.replace(
            self.SNAPSHOT, last_end_number=57, lease_until_ms=900
        )

        async def play(client, worker):
            async with Boot(REPORT.booted_at_ms).at(worker) as former:
                await client.request_snapshot(worker, request, 0)
            async with Boot(REPORT.booted_at_ms + 1).at(worker) as later:
                snapshot = await client.request_snapshot(worker, request, 0)
            return snapshot, former.bodies, later.bodies

        snapshot, to_former, to_later = with_client(play)
        assert [each["last_seen"] for each in to_former][-1:] == [57]
        assert [each["last_seen"] for each in to_later] == [0]
        assert not any("deadline_ms" in each for each in to_later)
        assert snapshot.booted_at_ms == REPORT.booted_at_ms + 1

    def test_a_start_is_not_sent_without_an_answer_of_its_boot(self):
        """Guards against a start on a connection whose other end is not known."""
        boot = Boot(REPORT.booted_at_ms, clock_ms="7")
        assert answer_to_start(boot) == (StartAnswer.NOT_SENT, None)
        assert boot.calls == ["hold"]

    def test_starts_on_an_open_connection_ask_nothing_further(self):
        """Guards against a price of each start in calls and connections."""

        async def play(client, worker):
            async with Boot(REPORT.booted_at_ms).at(worker) as boot:
                await client.request_snapshot(worker, self.SNAPSHOT, 0)
                for _ in range(3):
                    await client.start_run(worker, COMMAND)
            return boot.calls

        assert with_client(play) == ["hold"] + ["run-start"] * 3

    def test_a_start_goes_on_a_new_connection_after_the_worker_closed_the_open_one(
        self,
    ):
        """Guards against starts that fail after a worker closed an idle connection."""

        async def play(client, worker):
            async with Boot(REPORT.booted_at_ms).at(worker) as boot:
                boot.closes = True
                await client.request_snapshot(worker, self.SNAPSHOT, 0)
                boot.closes = False
                return await client.start_run(worker, COMMAND), boot.calls

        (answer, _), calls = with_client(play)
        assert answer is StartAnswer.STARTED
        assert calls == ["hold", "hold", "run-start"]

    def test_a_start_is_given_up_if_no_connection_stays_open(self):
        """Guards against an endless loop at a worker that closes every connection."""
        boot = Boot(REPORT.booted_at_ms)
        boot.closes = True
        assert answer_to_start(boot) == (StartAnswer.NOT_SENT, None)
        assert boot.calls == ["hold"]

    @pytest.mark.parametrize(
        ("least_clock_ms", "answer"),
        [(7, StartAnswer.STARTED), (8, StartAnswer.NOT_SENT)],
    )
    def test_a_boot_that_does_not_name_itself_is_checked_by_its_clock(
        self, least_clock_ms, answer
    ):
        """Guards against a start on a boot whose clock shows that it is a later one."""
        command = dataclasses.replace(COMMAND, least_clock_ms=least_clock_ms)
        assert answer_to_start(Boot(0), command)[0] is answer


class TestPool:
    def test_connections_to_other_processes_are_not_lent_and_old_ones_are_closed(self):
        """Guards against calls to a former boot, and connections that pile up."""

        async def play():
            pool = ProcessConnections(60.0)
            async with pool.take("10.1.0.2:80") as first:
                first.process = "former"
            async with pool.take("10.1.0.2:80", "later") as second:
                assert second is not first
            async with pool.take("10.1.0.2:80", "former") as third:
                assert third is first
            second.last_used_at = first.last_used_at = float("-inf")
            async with pool.take("10.1.0.3:80") as other:
                pass
            async with pool.take("10.1.0.2:80") as fourth:
                assert fourth not in (first, second)
            async with pool.take("10.1.0.3:80") as fifth:
                assert fifth is other
                await pool.close()
            assert fifth.closed

        asyncio.run(play())
