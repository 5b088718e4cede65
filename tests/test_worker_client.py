"""What the answers of a worker to its agent's calls prove, through real sockets."""

import asyncio

import pytest
from aiohttp import web

from ragwortlug.jobs.worker_calls import StartAnswer, StartOnWorker, WorkerClock
from ragwortlug.platform.worker import WorkerClient
from tests.test_leased import REPORT, RUN
from tests.test_platform import HOST, free_ports

COMMAND = StartOnWorker(REPORT.boot_id, ("entry-1", 1), RUN, 900, 1)


def answer_to_start(status, body, listens=True):
    """Return the client's result of a start that is answered with a status and body."""

    async def answer(request):
        return web.Response(status=status, body=body)

    async def body_of_test():
        (port,) = free_ports(1)
        app = web.Application()
        app.router.add_post("/api/run-start", answer)
        runner = web.AppRunner(app)
        await runner.setup()
        if listens:
            await web.TCPSite(runner, HOST, port).start()
        client = WorkerClient(1000)
        await client.start()
        try:
            worker = type("Worker", (), {"address": f"{HOST}:{port}", "id": "i-1"})
            return await client.start_run(worker, COMMAND)
        finally:
            await client.stop()
            await runner.cleanup()

    return asyncio.run(body_of_test())


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
        assert answer_to_start(status, body)[0] is answer

    def test_a_refused_connection_proves_that_a_run_did_not_start(self):
        assert answer_to_start(200, b"", listens=False) == (StartAnswer.REJECTED, None)

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
        assert answer_to_start(200, body) == (StartAnswer.STARTED, clock)
