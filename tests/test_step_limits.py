"""Steps of which a worker may run only some tasks at a time."""

import json
import random

import pytest

from ragwortlug.codes import Code
from ragwortlug.envelope import Peer, Send
from ragwortlug.jobs.dispatcher import Dispatcher
from ragwortlug.lease_messages import Offer, Renewal, RunsEnded, Wants
from ragwortlug.lease_settings import RestartSettings
from ragwortlug.platform import wire
from ragwortlug.restartable_model import (
    Queue,
    Resources,
    RestartableJob,
    RunEnd,
    Step,
    WorkerState,
)
from tests.play import Faults, Play
from tests.test_dispatcher import _ordered as ordered
from tests.test_restartable import (
    assert_sound,
    play_under,
    random_faults,
    random_troubles,
)

TASK = Resources(1000, 64, 0)
ROOM = Resources(8000, 1024, 0)
QUEUE = Queue("q", "a.example", "/q/", "carving")
STATE = WorkerState("carving", "patan", (), ROOM, ROOM, True)
AGENTS = tuple(Peer(f"tcp://10.1.0.{each}:1", f"agent-{each}") for each in (1, 2))


def dispatcher_with(agents=AGENTS):
    """Return a dispatcher that knows some agents with room for eight tasks each."""
    dispatcher = Dispatcher(RestartSettings(), random.Random(1))
    for agent in agents:
        dispatcher.on_renewal(agent, Renewal(0, STATE), 0.0)
    return dispatcher


def job_of(tasks, max_per_worker, job_id="00c0ffee00c0ffee"):
    """Return a job of one step."""
    step = Step(tasks, TASK, 100, max_per_worker=max_per_worker)
    return RestartableJob(job_id, "text", (step,))


def ended(run, how=RunEnd.DONE):
    """Return an agent's report of the end of a run."""
    return RunsEnded(((run.number, how, 90.0),), ROOM)


class TestAssignments:
    def test_no_worker_gets_more_tasks_than_the_step_allows(self):
        dispatcher = dispatcher_with()
        effects = dispatcher.submit("r", job_of(6, 2), QUEUE, 9.0, 0.0)
        assert [len(ordered(effects, agent)) for agent in AGENTS] == [2, 2]
        done = ordered(effects, AGENTS[1])[0]
        effects = dispatcher.on_runs_ended(AGENTS[1], ended(done), 0.1)
        assert [len(ordered(effects, agent)) for agent in AGENTS] == [0, 1]

    def test_a_run_that_is_being_stopped_counts_for_the_next_job_of_the_id(self):
        dispatcher = dispatcher_with(AGENTS[:1])
        (run,) = ordered(dispatcher.submit("r1", job_of(1, 1), QUEUE, 9.0, 0.0))
        dispatcher.cancel("r1", job_of(1, 1).id, 0.1)
        effects = dispatcher.submit("r2", job_of(2, 1), QUEUE, 9.0, 0.2)
        assert ordered(effects) == []
        stopped = ended(run, RunEnd.STOPPED)
        assert len(ordered(dispatcher.on_runs_ended(AGENTS[0], stopped, 0.3))) == 1

    def test_runs_of_a_former_agent_count_until_they_must_have_ended(self):
        dispatcher = dispatcher_with(AGENTS[:1])
        effects = dispatcher.submit("r", job_of(2, 1), QUEUE, 9.0, 0.0)
        assert len(ordered(effects)) == 1
        later = Peer(AGENTS[0].address, "agent-1-again")
        for tenth in range(1, 11):
            renewal = dispatcher.on_renewal(later, Renewal(0, STATE), tenth / 10)
            assert ordered(renewal) == []
            assert ordered(dispatcher.tick(tenth / 10)) == []
        assert len(ordered(dispatcher.tick(1.05))) == 1

    def test_an_offer_of_a_full_worker_serves_the_next_job(self):
        dispatcher = dispatcher_with(AGENTS[:1])
        dispatcher.submit("r1", job_of(3, 1), QUEUE, 9.0, 0.0)
        filler = job_of(9, 0, "00c0ffee00c0ff01")
        dispatcher.submit("r2", filler, QUEUE, 9.0, 0.0)
        effects = dispatcher.on_offer(AGENTS[0], Offer(1, ROOM), 0.1)
        assert {run.job_id for run in ordered(effects)} == {filler.id}

    def test_other_jobs_do_not_wait_behind_a_step_at_its_limit(self):
        dispatcher = dispatcher_with()
        dispatcher.submit("r1", job_of(3, 1), QUEUE, 9.0, 0.0)
        other = job_of(4, 0, "00c0ffee00c0ff01")
        effects = dispatcher.submit("r2", other, QUEUE, 9.0, 0.0)
        assert len(ordered(effects)) == 4

    def test_only_workers_below_the_limit_are_told_of_a_waiting_task(self):
        dispatcher = dispatcher_with(AGENTS[:1])
        full = WorkerState("carving", "patan", (), ROOM, Resources(), True)
        dispatcher.on_renewal(AGENTS[1], Renewal(0, full), 0.0)
        effects = dispatcher.submit("r", job_of(2, 1), QUEUE, 9.0, 0.02)
        effects += dispatcher.tick(0.1)
        sent = [each for each in effects if isinstance(each, Send)]
        told = {each.receiver for each in sent if isinstance(each.body, Wants)}
        told |= {each.receiver for each in sent if getattr(each.body, "rank", None)}
        assert told == {AGENTS[1]}


class TestUnderFailures:
    @pytest.mark.parametrize("limit", [1, 2])
    @pytest.mark.parametrize("seed", range(12))
    def test_no_worker_exceeds_the_limit(self, seed, limit):
        faults, troubles = random_faults(seed), random_troubles(seed)
        assert_sound(play_under(seed, faults, troubles, max_per_worker=limit))

    @pytest.mark.parametrize("seed", range(3))
    def test_without_failures_all_jobs_are_done(self, seed):
        play = play_under(seed, Faults(), [], max_per_worker=2)
        assert_sound(play)
        assert {each.code for each in play.callers.values()} == {Code.OK}

    def test_the_witness_sees_a_limit_that_is_exceeded(self):
        play = Play(seed=1, max_per_worker=1).build(1, 1)
        play.run_until(0.5)
        play.hand_in(0, 2, 0.1)
        play.run_until(2.0)
        assert not play.broken
        play.max_per_worker = 0
        play.hand_in(0, 2, 0.1)
        play.max_per_worker = 1
        play.run_until(4.0)
        assert any("spread" in each for each in play.broken)


class TestOnThePlatform:
    def test_a_jobs_limit_is_decoded(self):
        step = {"count": 4, "cpu": 500, "anti_affinity": 2}
        raw = json.dumps({"spec": "x", "best_effort": True, "steps": [step]})
        job = wire.job_of("00c0ffee00c0ffee", raw.encode())
        assert job.steps[0].max_per_worker == 2
