"""The leased runner, by its messages."""

from ragwortlug.envelope import Peer, Send
from ragwortlug.jobs.leased import LeasedRunner
from ragwortlug.jobs.worker_calls import WorkerReport, WorkerSnapshot
from ragwortlug.lease_messages import Renewed, RunsEnded, StartRuns
from ragwortlug.lease_settings import RestartSettings
from ragwortlug.restartable_model import Resources, Run, RunEnd

ROOM = Resources(64000, 1000, 0)
SENDER = Peer("tcp://10.1.0.1:7720", "entry-1")
RUN = Run(1, "00c0ffee00c0ffee", 0, 0, 1, "text", Resources(6000, 64, 0), 100.0)


def runner():
    """Return a runner whose worker is ready at second 10."""
    found = LeasedRunner(RestartSettings())
    report = WorkerReport("i-1", 1, 1, "s", "10.1.0.2:80", "patan", (), ROOM, 0)
    found.on_report(report, 10.0)
    found.on_snapshot(WorkerSnapshot(0, 1, (), ()), 10.0, 10.0)
    return found


def refusal(effects):
    """Return the message that refuses runs."""
    (found,) = [
        each.body
        for each in effects
        if isinstance(each, Send) and isinstance(each.body, RunsEnded)
    ]
    return found


class TestRefusals:
    def test_no_room_is_told_without_a_permission(self):
        stale_ms = 9100
        told = refusal(
            runner().on_start_runs(SENDER, StartRuns(stale_ms, (RUN,)), 10.0)
        )
        assert told.ends == ((1, RunEnd.NO_RESOURCES, 0.0),)
        assert told.free_resources == Resources()

    def test_the_room_left_is_told_to_whom_it_is_permitted(self):
        agent = runner()
        agent.on_renewed(SENDER, Renewed(10_000), 10.0)
        large = Run(
            2, "00c0ffee00c0ffef", 0, 0, 1, "text", Resources(65000, 64, 0), 100.0
        )
        told = refusal(agent.on_start_runs(SENDER, StartRuns(10_000, (large,)), 10.0))
        assert told.free_resources == ROOM
