"""The whole path in one process, over real sockets."""

import asyncio

import pytest

from ragwortlug.client import Client
from ragwortlug.codes import Code
from ragwortlug.model import new_job_id
from standins.site import Site, SitePlan

PLAN = SitePlan(
    port=22_000,
    data_centres=("patan", "bhaktapur", "kirtipur"),
    service="mould-carving",
    teams=("gyanbhandar", "blue-mahoe"),
    entries=2,
    agents=4,
    slots=4,
)


def with_site(scenario, plan=PLAN):
    """Run a coroutine function against a started site."""

    async def run():
        site = Site(plan)
        try:
            await site.start()
            async with Client(plan.entry_urls(), plan.teams[0]) as client:
                await scenario(site, client)
        finally:
            await site.stop()

    asyncio.run(run())


def starts(site):
    """Return how often each task was started, by the targets' own record."""
    counted = {}
    for target in site.targets:
        for name, count in target.starts.items():
            counted[name] = counted.get(name, 0) + count
    return counted


class TestWholePath:
    @pytest.mark.parametrize("tasks", [1, 150])
    def test_job_runs_whole(self, tasks):
        async def scenario(site, client):
            payloads = [{"run_ms": 10, "echo": each} for each in range(tasks)]
            answer = await client.submit(PLAN.service, payloads)
            assert answer.code == Code.OK
            assert [each.result for each in answer.tasks] == list(range(tasks))
            assert set(starts(site).values()) == {1}
            assert len(starts(site)) == tasks

        with_site(scenario)

    def test_one_lost_reply_fails_the_job_without_results(self):
        async def scenario(site, client):
            payloads = [{"run_ms": 20} for _ in range(20)]
            payloads[7]["lose_reply"] = True
            answer = await client.submit(PLAN.service, payloads)
            assert answer.code == Code.REPLY_LOST
            assert len(answer.tasks) == 20
            assert all(each.result is None for each in answer.tasks)
            assert set(starts(site).values()) == {1}

        with_site(scenario)

    def test_resubmission_to_both_entries_at_once_starts_once(self):
        async def scenario(site, client):
            job_id = new_job_id()
            payloads = [{"run_ms": 50, "echo": "x"}]
            submissions = [
                client.submit(PLAN.service, payloads, job_id) for _ in range(8)
            ]
            answers = await asyncio.gather(*submissions)
            assert {each.code for each in answers} == {Code.OK}
            assert starts(site) == {f"{job_id}/0": 1}

        with_site(scenario)


class TestShutdown:
    def test_agent_leaves_hands_over_and_is_done(self):
        async def scenario(site, client):
            answers = [
                await client.submit(PLAN.service, [{"run_ms": 1, "echo": each}])
                for each in range(12)
            ]
            agent = site.agents[0]
            assert await agent.find("shutdown").run(limit_s=15)
            await agent.stop()
            site.agents.remove(agent)
            for answer in answers:
                assert await client.fetch(answer.id) == answer

        with_site(scenario)
