"""Targets: announcements, departures, failing workers, leases, cancellations."""

import asyncio
from dataclasses import replace

from aiohttp import web

from ragwortlug.codes import Code
from ragwortlug.io.targets import TargetClient
from ragwortlug.timer import Timer
from standins.site import HOST, SitePlan
from standins.target import TargetStandin
from tests.test_path import starts, with_site

BOUND_S = 4.0
PLAN = SitePlan(
    port=22_900,
    data_centres=("patan", "kirtipur"),
    service="mould-carving",
    teams=("gyanbhandar",),
    entries=1,
    agents=2,
    slots=2,
)


async def run_jobs(client, count, run_ms=20):
    """Run one-task jobs at once and return their codes."""
    submissions = (
        client.submit(PLAN.service, [{"run_ms": run_ms}]) for _ in range(count)
    )
    return [each.code for each in await asyncio.gather(*submissions)]


class TestMembership:
    def test_leaving_target_gets_no_new_work_and_loses_none(self):
        async def scenario(site, client):
            running = asyncio.create_task(run_jobs(client, 4, run_ms=800))
            await asyncio.sleep(0.3)
            leaving = site.targets[0]
            await leaving.stop(graceful=True)
            left_with = sum(leaving.starts.values())
            assert await running == [Code.OK] * 4
            assert await run_jobs(client, 10) == [Code.OK] * 10
            assert sum(leaving.starts.values()) == left_with
            site.targets.remove(leaving)

        with_site(scenario, PLAN)

    def test_lapsed_announcement_ends_new_work(self):
        async def scenario(site, client):
            silent = site.targets[0]
            silent._renewal.cancel()
            await asyncio.sleep(BOUND_S)
            before = sum(silent.starts.values())
            assert await run_jobs(client, 8) == [Code.OK] * 8
            assert sum(silent.starts.values()) == before

        with_site(scenario, PLAN)

    def test_new_target_at_an_old_address_serves_after_a_crash(self):
        async def scenario(site, client):
            crashed = site.targets.pop(0)
            await crashed.stop(graceful=False)
            await site.start_target(0)
            assert set(await run_jobs(client, 12)) == {Code.OK}

        with_site(scenario, PLAN)

    def test_target_that_has_not_announced_itself_gets_no_task_for_the_former_one(self):
        """Guards against a task on a target that was restarted for another service."""

        async def scenario(site, client):
            crashed = site.targets.pop(0)
            await crashed.stop(graceful=False)
            capacity = PLAN.capacity() | {"services": ["other"]}
            port = PLAN.target_port(0)
            agent_url = PLAN.url_of("agent-1")
            restarted = TargetStandin(f"http://{HOST}:{port}", agent_url, capacity)
            await restarted.start(HOST, port, announce=False)
            site.targets.append(restarted)
            assert set(await run_jobs(client, 12)) == {Code.OK}
            assert not restarted.starts

        with_site(scenario, PLAN)

    def test_flapping_target_never_doubles_a_start(self):
        async def scenario(site, client):
            flapping = site.targets[0]
            jobs = asyncio.create_task(run_jobs(client, 40, run_ms=100))
            for each in range(6):
                await flapping._announce(leaving=each % 2 == 0)
                await asyncio.sleep(0.1)
            assert set(await jobs) == {Code.OK}
            assert set(starts(site).values()) == {1}

        with_site(scenario, PLAN)


class TestFailingWorkers:
    def test_worker_that_fails_everything_is_taken_out_and_probed_back(self):
        async def scenario(site, client):
            failing = site.targets[0]
            failing.fail_all = True
            codes = [code for _ in range(15) for code in await run_jobs(client, 4)]
            assert codes.count(Code.TASK_FAILED) <= 12
            assert set(codes[-20:]) == {Code.OK}
            failing.fail_all = False
            before = sum(failing.starts.values())
            for _ in range(60):
                await run_jobs(client, 4)
                await asyncio.sleep(0.05)
            assert sum(failing.starts.values()) > before + 4

        with_site(scenario, PLAN)


class TestLeases:
    def test_task_that_outlives_its_lease_is_stopped(self):
        async def scenario(site, client):
            service = {
                "name": PLAN.service,
                "data_centres": list(PLAN.data_centres),
                "lease_ms": 300,
            }
            note = {"id": "lease", "base": 1, "changed": {"services": [service]}}
            assert (await client.post("/notes", note))["code"] == Code.NOTE_COMMITTED
            await asyncio.sleep(0.5)
            answer = await client.submit(PLAN.service, [{"run_ms": 5000}])
            assert answer.tasks[0].code == Code.LEASE_ENDED
            saved = [each for target in site.targets for each in target.checkpoints]
            assert answer.tasks[0].detail == f"checkpoint state-of-{saved[0]}"

        with_site(scenario, PLAN)


class TestThrottling:
    def test_rule_throttles_what_runs_and_what_starts(self):
        async def scenario(site, client):
            running = asyncio.create_task(run_jobs(client, 1, run_ms=1500))
            await asyncio.sleep(0.4)
            rule = {"name": "slow", "action": "throttle", "team": "gyanbhandar"}
            note = {"id": "slow", "base": 1, "added": {"rules": [rule]}}
            assert (await client.post("/notes", note))["code"] == Code.NOTE_COMMITTED
            await asyncio.sleep(0.5)
            assert await run_jobs(client, 1) == [Code.OK]
            assert await running == [Code.OK]
            assert sum(len(target.throttled) for target in site.targets) == 2

        with_site(scenario, PLAN)


class TestCancellations:
    def test_wave_of_cancellations_ends_every_job_truthfully(self):
        async def scenario(site, client):
            plan_jobs = [
                asyncio.create_task(client.submit(PLAN.service, [{"run_ms": 4000}] * 3))
                for _ in range(10)
            ]
            await asyncio.sleep(0.4)
            before = set(starts(site))
            status = [kernel.find("home")._home for kernel in site.agents]
            ids = [job_id for home in status for job_id in home._records]
            answers = await asyncio.gather(*(client.cancel(each) for each in ids))
            answers += await asyncio.gather(*plan_jobs)
            # Tasks may start until their cancellation comes, never after its answer.
            began = set(starts(site))
            print(f"{len(began - before)} started before their cancellation came")
            await asyncio.sleep(0.5)
            assert set(starts(site)) == began
            for answer in answers:
                for index, task in enumerate(answer.tasks):
                    started = f"{answer.id}/{index}" in began
                    wanted = {Code.STOPPED} if started else {Code.CANCELLED}
                    wanted |= set() if started else {Code.DROPPED_WITH_JOB}
                    assert task.code in wanted

        with_site(scenario, PLAN)


class TestStops:
    def test_stop_that_overtakes_its_start_is_repeated(self):
        """Guards against a stopped task that runs to its end."""

        async def scenario():
            stops = []
            stopped = asyncio.Event()

            async def run(_request):
                await stopped.wait()
                return web.json_response({"error": "stopped"}, status=500)

            async def stop(_request):
                stops.append(1)
                if len(stops) == 1:
                    return web.json_response({"error": "not running"}, status=404)
                stopped.set()
                return web.json_response({})

            app = web.Application()
            app.add_routes([web.post("/tasks", run), web.delete("/tasks/{id}", stop)])
            runner = web.AppRunner(app)
            await runner.setup()
            await web.TCPSite(runner, "127.0.0.1", PLAN.port).start()
            client = TargetClient(None, "patan", Timer(), 1.0)
            await client.start()
            url = f"http://127.0.0.1:{PLAN.port}"
            call = asyncio.create_task(client._post(url, {"id": "a-1"}))
            await asyncio.sleep(0.1)
            assert await client.stop_task("a-1", url)
            assert (await call).code == Code.STOPPED
            await client.stop()
            await runner.cleanup()

        asyncio.run(asyncio.wait_for(scenario(), 10))


class TestDeadlines:
    def test_deadline_that_passes_in_the_queue_is_not_run(self):
        async def scenario(site, client):
            long = asyncio.create_task(run_jobs(client, 4, run_ms=1500))
            await asyncio.sleep(0.3)
            late = await client.submit(PLAN.service, [{"run_ms": 1}], deadline_ms=400)
            assert late.code == Code.DEADLINE_PASSED
            assert f"{late.id}/0" not in starts(site)
            assert await long == [Code.OK] * 4

        with_site(scenario, PLAN)


class TestQuotas:
    def test_quota_bounds_what_a_team_runs_at_once(self):
        plan = replace(PLAN, slots=8)

        async def scenario(site, client):
            team = {"name": "gyanbhandar", "quota": 4}
            note = {"id": "quota", "base": 1, "changed": {"teams": [team]}}
            assert (await client.post("/notes", note))["code"] == Code.NOTE_COMMITTED
            await asyncio.sleep(0.5)
            codes = await run_jobs(client, 24, run_ms=150)
            assert codes == [Code.OK] * 24
            assert sum(target.peak_running for target in site.targets) <= 4 + 1

        with_site(scenario, plan)
