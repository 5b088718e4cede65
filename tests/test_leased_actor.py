"""The actor of the leased runner: what it does with errors and addresses."""

import asyncio
import itertools

from ragwortlug.envelope import Peer
from ragwortlug.jobs.leased import LeasedRunner
from ragwortlug.jobs.worker_calls import StartAnswer, WorkerReport, WorkerSnapshot
from ragwortlug.lease_messages import Renewed, StartRuns
from ragwortlug.lease_settings import RestartSettings
from ragwortlug.leased_actor import LeasedActor
from ragwortlug.restartable_model import Resources, Run
from ragwortlug.telemetry.metrics import Metrics
from ragwortlug.timer import Timer

OWN = Peer("tcp://10.1.0.2:7720", "agent-1")
ENTRY = Peer("tcp://10.1.0.1:7720", "entry-1")
ROOM = Resources(64000, 1000, 0)
RUN = Run(1, "00c0ffee00c0ffee", 0, 0, 1, "text", Resources(6000, 64, 0), 100.0)
LIMIT_S = 10.0


class FakePeers:
    """Peers that send nothing."""

    own_peer = OWN

    def register_handler(self, kind, handler):
        pass

    def send(self, receiver, body):
        pass

    def reconnect(self, address):
        pass


class FakeJournal:
    """A journal that keeps nothing."""

    def emit(self, event):
        pass

    def write_event(self, name, job_id="", **fields):
        pass


class FailingClient:
    """A client of a worker whose first snapshots raise an unexpected error."""

    def __init__(self, failures):
        self._calls = itertools.count()
        self._failures = failures
        self.answered = asyncio.Event()

    async def start_run(self, worker, command):
        return StartAnswer.NO_ANSWER, None

    async def stop_run(self, worker, command):
        return False

    async def request_snapshot(self, worker, request, wait_ms):
        await asyncio.sleep(0.001)
        if next(self._calls) < self._failures:
            raise ZeroDivisionError("unexpected")
        self.answered.set()
        return WorkerSnapshot(200, 1, (), ())


class TestUnexpectedErrors:
    def test_snapshots_are_requested_again_after_an_error(self):
        async def run():
            timer, client = Timer(), FailingClient(5)
            settings = RestartSettings()
            actor = LeasedActor(
                LeasedRunner(settings),
                client,
                (ENTRY.address,),
                settings,
                FakePeers(),
                timer,
                Metrics(),
                FakeJournal(),
            )
            now = timer.monotonic()
            runner = actor._runner
            runner.on_report(
                WorkerReport("i-1", 1, 1, "s", "10.1.0.2:80", "patan", (), ROOM, 0), now
            )
            for _ in range(2):
                request = runner.build_snapshot_request(now)
                runner.on_snapshot(WorkerSnapshot(100, 1, (), ()), request, now)
            runner.on_renewed(ENTRY, Renewed(int(now * 1000)), now)
            started = StartRuns(int(now * 1000), (RUN,))
            await actor.start()
            try:
                actor._perform(runner.on_start_runs(ENTRY, started, now))
                assert runner.running == 1
                async with asyncio.timeout(LIMIT_S):
                    await client.answered.wait()
            finally:
                await actor.stop()
                await timer.stop()

        asyncio.run(run())
