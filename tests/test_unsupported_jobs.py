"""Jobs that ask for what the dispatcher doesn't do are refused, not run otherwise."""

import json
import random

import pytest

from ragwortlug.codes import Code
from ragwortlug.envelope import Peer
from ragwortlug.errors import RequestError
from ragwortlug.jobs.dispatcher import Dispatcher
from ragwortlug.jobs.request_answer import RequestAnswer
from ragwortlug.lease_messages import Renewal
from ragwortlug.lease_settings import RestartSettings
from ragwortlug.platform import wire
from ragwortlug.restartable_model import WorkerState
from tests.test_decoding import ROUTE, STEP, encoded

JOB_ID = "00c0ffee00c0ffee"
ADVICE = {"decision_ms": 20, "period_ms": 2, "validity_ms": 5000}


def job_of(step_fields=(), **fields):
    """Return the decoded job of one step with some fields."""
    step = STEP | dict(step_fields)
    job = {"spec": "", "best_effort": True, "steps": [STEP, step]} | fields
    return wire.job_of(JOB_ID, json.dumps(job).encode())


def queue_of(**fields):
    """Return the decoded queue of a route with some fields."""
    routes = [ROUTE | fields]
    return wire.table_of(encoded({"version": 3, "routes": routes})).queues[0]


class TestFields:
    @pytest.mark.parametrize(
        ("name", "value"),
        [
            ("gang", True),
            ("long_running", True),
            ("max_unavailable", 1),
            ("target_ms", 12.5),
        ],
    )
    def test_a_step_that_would_run_otherwise_is_refused(self, name, value):
        with pytest.raises(RequestError, match=f"step 1: {name}") as raised:
            job_of({name: value})
        assert raised.value.code is Code.UNSUPPORTED

    @pytest.mark.parametrize("name", ["repeat_count", "start_at_ms"])
    def test_a_job_with_a_time_is_refused(self, name):
        with pytest.raises(RequestError, match=name) as raised:
            job_of(**{name: 3})
        assert raised.value.code is Code.UNSUPPORTED

    def test_a_job_that_must_be_stored_is_refused_as_such(self):
        with pytest.raises(RequestError) as raised:
            job_of({"gang": True}, best_effort=False)
        assert raised.value.code is Code.NOT_STORED

    @pytest.mark.parametrize(
        "fields",
        [
            {"max_unavailable": 0, "target_ms": 0, "gang": False},
            {"affinity": "r1-3", "same_rack": True, "remote_factor": 1.5},
            {"allow_duplicates": True, "checkpointing": True},
            {"image": "i-1", "fill_count": True},
        ],
    )
    def test_a_step_whose_wishes_only_save_time_is_taken(self, fields):
        assert job_of(fields).steps[1] == job_of().steps[1]


class TestQueues:
    @pytest.mark.parametrize(
        ("advice", "code"),
        [(ADVICE, Code.UNSUPPORTED), ({}, None), (None, None)],
    )
    def test_jobs_are_refused_where_starts_need_a_ticket(self, advice, code):
        queue = queue_of(recommendation=advice)
        dispatcher = Dispatcher(RestartSettings(), random.Random(1))
        room = job_of().steps[0].resources
        state = WorkerState(queue.service, "patan", (), room, room, True)
        agent = Peer("tcp://10.1.0.1:1", "agent-1")
        dispatcher.on_renewal(agent, Renewal(0, state), 0.0)
        effects = dispatcher.submit("r", job_of(), queue, 9.0, 0.0)
        answers = [each for each in effects if isinstance(each, RequestAnswer)]
        assert [each.code for each in answers] == ([] if code is None else [code])
        assert dispatcher.running_tasks == (code is None)
