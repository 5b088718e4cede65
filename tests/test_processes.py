"""Daemons as separate processes, under the failures that the brief names."""

import asyncio
import time
from collections import Counter
from dataclasses import replace
from pathlib import Path

import pytest

from ragwortlug.client import Client
from ragwortlug.codes import Code, Verdict
from ragwortlug.model import new_job_id
from standins.deployments import DEPLOYMENTS
from standins.load import LoadGenerator, Workload
from standins.site import SitePlan
from tests.conftest import assert_truthful

EXAMPLES = Path(__file__).parent.parent / "examples"
BOUND_S = 4.0
QUICK = Workload(max_tasks=6, max_run_ms=300, long_tasks=False)
PLAN = SitePlan(
    port=23_000,
    data_centres=("patan", "bhaktapur", "kirtipur"),
    service="mould-carving",
    teams=("gyanbhandar",),
    entries=3,
    agents=6,
    slots=4,
)


def verdicts(told):
    """Count the verdicts that callers were told."""
    return Counter(Code(each.answer.code).verdict for each in told)


async def drain(client, name, in_service=False):
    """Take a data centre out, or back, and return when that was accepted."""
    configuration = await client.get("/configuration")
    note = {
        "id": f"{name}-{configuration['version']}",
        "base": configuration["version"],
        "changed": {"data_centres": [{"name": name, "in_service": in_service}]},
    }
    reply = await client.post("/notes", note)
    assert reply["code"] == Code.NOTE_COMMITTED, reply
    return time.time() * 1000


class TestExamples:
    @pytest.mark.parametrize("name", sorted(DEPLOYMENTS))
    def test_deployment_serves_from_its_settings(self, run_fleet, name):
        plan = DEPLOYMENTS[name]

        async def scenario(fleet, client):
            for count in (1, 150):
                payloads = [{"run_ms": 20, "echo": each} for each in range(count)]
                answer = await client.submit(plan.service, payloads)
                assert answer.code == Code.OK
                assert [each.result for each in answer.tasks] == list(range(count))

        run_fleet(plan, scenario, EXAMPLES / name)


class TestKills:
    def test_agent_killed_under_load(self, run_fleet):
        async def scenario(fleet, client):
            load = LoadGenerator(client, PLAN.service, PLAN.teams, QUICK, seed=1)
            running = asyncio.create_task(load.run(20, 10))
            await asyncio.sleep(2)
            await fleet.kill("agent-2")
            await running
            told = await load.finish()
            assert_truthful(told, fleet)
            late = [each for each in told if each.submitted_s > told[0].submitted_s + 9]
            assert verdicts(late)[Verdict.UNKNOWN] == 0
            assert verdicts(told)[Verdict.DONE] > len(told) * 0.7

        run_fleet(PLAN, scenario)

    def test_entry_killed_and_job_resubmitted_elsewhere(self, run_fleet):
        async def scenario(fleet, client):
            job_id = new_job_id()
            urls = PLAN.entry_urls()
            payloads = [{"run_ms": 800, "echo": "done"}]
            async with Client(urls[:1], PLAN.teams[0]) as first:
                call = asyncio.create_task(first.submit(PLAN.service, payloads, job_id))
                await asyncio.sleep(0.3)
                await fleet.kill("entry-1")
                async with Client(urls[1:], PLAN.teams[0]) as second:
                    answer = await second.submit(PLAN.service, payloads, job_id)
                told = await call
            assert answer.code == Code.OK
            assert told.code == Code.OUTCOME_UNKNOWN
            assert fleet.starts() == {f"{job_id}/0": 1}

        run_fleet(PLAN, scenario)

    def test_callers_pass_over_a_dead_entry_at_once(self, run_fleet):
        async def scenario(fleet, client):
            await fleet.kill("entry-2")
            began = time.monotonic()
            for _ in range(12):
                answer = await client.submit(PLAN.service, [{"run_ms": 1}])
                assert answer.code == Code.OK
            assert client._avoided_until
            assert time.monotonic() - began < 12 * 0.2

        run_fleet(PLAN, scenario)


class TestFreezes:
    def test_frozen_agents_start_nothing_after_their_data_centre_left(self, run_fleet):
        async def scenario(fleet, client):
            load = LoadGenerator(client, PLAN.service, PLAN.teams, QUICK, seed=2)
            running = asyncio.create_task(load.run(25, 12))
            await asyncio.sleep(2)
            fleet.pause("agent-1")
            await asyncio.sleep(0.2)
            accepted_ms = await drain(client, "patan")
            await asyncio.sleep(BOUND_S)
            fleet.resume("agent-1")
            await running
            told = await load.finish()
            assert_truthful(told, fleet)
            assert not fleet.starts_in("patan", accepted_ms + BOUND_S * 1000)

        run_fleet(PLAN, scenario)

    def test_home_frozen_past_its_replacement(self, run_fleet):
        async def scenario(fleet, client):
            load = LoadGenerator(client, PLAN.service, PLAN.teams, QUICK, seed=3)
            running = asyncio.create_task(load.run(25, 14))
            await asyncio.sleep(2)
            fleet.pause("agent-3")
            await asyncio.sleep(8)
            fleet.resume("agent-3")
            await running
            told = await load.finish()
            unknown = [
                each
                for each in told
                if Code(each.answer.code).verdict is Verdict.UNKNOWN
            ]
            resubmissions = [client.submit_job(each.job) for each in unknown]
            for each, answer in zip(
                unknown, await asyncio.gather(*resubmissions), strict=True
            ):
                told.append(replace(each, answer=answer))
            assert_truthful(told, fleet)

        run_fleet(PLAN, scenario)


class TestStoreOutage:
    def test_work_goes_on_while_the_store_is_down(self, run_fleet):
        async def scenario(fleet, client):
            load = LoadGenerator(client, PLAN.service, PLAN.teams, QUICK, seed=4)
            fleet.store.faults.down = True
            await asyncio.sleep(PLAN.view.confirm_s + 1)
            await load.run(20, 5)
            told = await load.finish()
            assert_truthful(told, fleet)
            assert verdicts(told) == {Verdict.DONE: len(told)}

        run_fleet(PLAN, scenario)

    def test_minority_without_the_store_stops_starting(self, run_fleet):
        async def scenario(fleet, client):
            fleet.store.faults.down = True
            await fleet.kill("entry-1")
            await fleet.kill("entry-2")
            await asyncio.sleep(PLAN.view.confirm_s + 1)
            async with Client(PLAN.entry_urls()[2:], PLAN.teams[0]) as alone:
                call = asyncio.create_task(alone.submit(PLAN.service, [{"run_ms": 1}]))
                await asyncio.sleep(2)
                assert not fleet.starts()
                fleet.store.faults.down = False
                answer = await call
            assert answer.code == Code.OK

        run_fleet(PLAN, scenario)


class TestPlannedStops:
    def test_whole_fleet_is_replaced_one_by_one_under_load(self, run_fleet):
        async def scenario(fleet, client):
            load = LoadGenerator(client, PLAN.service, PLAN.teams, QUICK, seed=5)
            names = fleet.names
            running = asyncio.create_task(load.run(20, 90))
            for name in names:
                assert await fleet.terminate(name) == 0, name
                await fleet.start_daemon(name)
                await asyncio.sleep(1)
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            told = await load.finish()
            assert_truthful(told, fleet)
            assert verdicts(told) == {Verdict.DONE: len(told)}
            for each in told:
                answer = await client.fetch(each.job.id, wait=False)
                assert answer == each.answer

        run_fleet(PLAN, scenario)
