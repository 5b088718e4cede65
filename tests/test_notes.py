"""Release notes under races, lost answers and outages of the store."""

import asyncio
import time
from dataclasses import replace

from ragwortlug.client import Client
from ragwortlug.codes import Code
from standins.site import SitePlan
from tests.test_path import starts, with_site

PLAN = SitePlan(
    port=22_700,
    data_centres=("patan", "kirtipur"),
    service="mould-carving",
    teams=("gyanbhandar",),
    entries=2,
    agents=2,
    slots=2,
)


def team_note(name, base=1):
    return {"id": name, "base": base, "added": {"teams": [{"name": name}]}}


async def post_at_once(one_note, other_note):
    """Post a note to each of the two entries at the same moment."""
    urls = PLAN.entry_urls()
    async with Client(urls[:1], "") as one, Client(urls[1:], "") as other:
        return await asyncio.gather(
            one.post("/notes", one_note), other.post("/notes", other_note)
        )


async def teams(client):
    return [each["name"] for each in (await client.get("/configuration"))["teams"]]


class TestLostAnswers:
    def test_effect_before_the_answer_was_lost_is_read_back(self):
        async def scenario(site, client):
            site.store.faults.lose_answers = 1
            reply = await client.post("/notes", team_note("late"))
            assert reply["code"] == Code.NOTE_COMMITTED
            assert reply["version"] == 2
            again = await client.post("/notes", team_note("late"))
            assert (again["code"], again["version"]) == (Code.NOTE_COMMITTED, 2)
            assert (await teams(client)).count("late") == 1

        with_site(scenario, PLAN)

    def test_effect_after_the_answer_was_lost_is_unknown_and_then_settled(self):
        async def scenario(site, client):
            site.store.faults.lose_answers = 1
            site.store.faults.late_s = 5.0
            reply = await client.post("/notes", team_note("late"))
            assert reply["code"] == Code.NOTE_UNKNOWN
            assert "late" not in await teams(client)
            await asyncio.sleep(3.0)
            again = await client.post("/notes", team_note("late"))
            assert (again["code"], again["version"]) == (Code.NOTE_COMMITTED, 2)

        with_site(scenario, PLAN)


class TestRaces:
    def test_two_operators_on_one_base_one_wins(self):
        async def scenario(site, client):
            replies = await post_at_once(team_note("one"), team_note("other"))
            codes = sorted(each["code"] for each in replies)
            assert codes == [Code.NOTE_COMMITTED, Code.NOTE_CONFLICT]
            await asyncio.sleep(1.0)
            known = await teams(client)
            assert len({"one", "other"} & set(known)) == 1

        with_site(scenario, PLAN)

    def test_one_note_to_two_entries_at_once_is_applied_once(self):
        async def scenario(site, client):
            replies = await post_at_once(team_note("same"), team_note("same"))
            assert [each["code"] for each in replies] == [Code.NOTE_COMMITTED] * 2
            assert {each["version"] for each in replies} == {2}

        with_site(scenario, PLAN)


class TestOutages:
    def test_store_down_refuses_a_note_and_says_so(self):
        async def scenario(site, client):
            site.store.faults.down = True
            reply = await client.post("/notes", team_note("never"))
            assert reply["code"] == Code.STORE_UNAVAILABLE
            site.store.faults.down = False
            assert "never" not in await teams(client)

        with_site(scenario, PLAN)

    def test_store_down_just_after_the_commit_spreads_by_word(self):
        async def scenario(site, client):
            site.store.faults.down_after_writes = 1
            reply = await client.post("/notes", team_note("word"))
            assert reply["code"] == Code.NOTE_COMMITTED
            until = time.monotonic() + 4.0
            views = [each.find("view_sync").view for each in site.entries + site.agents]
            while any(each.configuration.version < 2 for each in views):
                assert time.monotonic() < until
                await asyncio.sleep(0.02)

        with_site(scenario, PLAN)

    def test_one_of_two_entries_accepts_nothing_alone(self):
        async def scenario(site, client):
            await site.entries[1].stop()
            async with Client(PLAN.entry_urls()[:1], "") as alone:
                reply = await alone.post("/notes", team_note("alone"))
                assert reply["code"] == Code.NO_MAJORITY
                assert "alone" not in await teams(alone)

        with_site(scenario, PLAN)

    def test_last_entry_accepts_alone_once_nobody_can_vouch_any_more(self):
        plan = replace(PLAN, entries=3, view=replace(PLAN.view, vouch_s=1.0))

        async def scenario(site, client):
            for kernel in site.entries[1:]:
                await kernel.stop()
            async with Client(plan.entry_urls()[:1], plan.teams[0]) as alone:
                first = await alone.post("/notes", team_note("alone"))
                assert first["code"] == Code.NO_MAJORITY
                until = time.monotonic() + 25.0
                while first["code"] == Code.NO_MAJORITY:
                    assert time.monotonic() < until
                    await asyncio.sleep(0.5)
                    first = await alone.post("/notes", team_note("alone"))
                    answer = await alone.submit(PLAN.service, [{"run_ms": 1}])
                    assert answer.code == Code.OK
                assert first["code"] == Code.NOTE_COMMITTED
                roster = (await alone.get("/status"))["roster"]
                assert not roster["vouching"]

        with_site(scenario, plan)


class TestWithdrawals:
    def test_withdrawn_service_drops_queued_tasks_and_lets_running_ones_end(self):
        async def scenario(site, client):
            jobs = [
                asyncio.create_task(client.submit(PLAN.service, [{"run_ms": 1500}]))
                for _ in range(12)
            ]
            began = 2 * PLAN.slots
            async with asyncio.timeout(20.0):
                while len(starts(site)) < began:
                    await asyncio.sleep(0.02)
            note = {"id": "gone", "base": 1, "withdrawn": {"services": [PLAN.service]}}
            assert (await client.post("/notes", note))["code"] == Code.NOTE_COMMITTED
            codes = sorted(each.code for each in await asyncio.gather(*jobs))
            assert codes == [Code.OK] * began + [Code.SERVICE_WITHDRAWN] * (12 - began)
            assert len(starts(site)) == began

        with_site(scenario, PLAN)

    def test_stop_rule_stops_what_runs(self):
        async def scenario(site, client):
            job = asyncio.create_task(client.submit(PLAN.service, [{"run_ms": 30_000}]))
            await asyncio.sleep(0.5)
            rule = {"name": "halt", "action": "stop", "team": "gyanbhandar"}
            note = {"id": "halt", "base": 1, "added": {"rules": [rule]}}
            assert (await client.post("/notes", note))["code"] == Code.NOTE_COMMITTED
            answer = await asyncio.wait_for(job, 5)
            assert answer.tasks[0].code == Code.STOPPED
            refused = await client.submit(PLAN.service, [{"run_ms": 1}])
            assert refused.code == Code.REFUSED_BY_RULE

        with_site(scenario, PLAN)
