"""The demo: a site in one process, whose parts use real sockets on loopback."""

import asyncio
import time

from ragwortlug.cli import print_trace
from ragwortlug.client import Client
from ragwortlug.codes import Code
from ragwortlug.lease_settings import LogSettings
from ragwortlug.telemetry.logs import set_up
from standins.site import Site, SitePlan

PLAN = SitePlan(
    port=21_000,
    data_centres=("patan", "bhaktapur", "kirtipur"),
    service="mould-carving",
    teams=("gyanbhandar",),
    entries=2,
    agents=6,
)


async def run_demo():
    """Run the demo and return 0.

    Raises
    ------
    SystemExit
        If the site does not behave as expected.
    """
    set_up(LogSettings(level="WARNING"), "demo")
    site = Site(PLAN)
    print("Starting 2 entries, 6 agents with their targets, and a store.")
    await site.start()
    try:
        async with Client(PLAN.entry_urls(), PLAN.teams[0]) as client:
            await _show_job(client)
            await _show_drain(site, client)
    finally:
        await site.stop()
    print("Done.")
    return 0


async def _show_job(client):
    """Run a job of three tasks and print its answer and its trace."""
    payloads = [{"run_ms": 50, "echo": f"relief {index}"} for index in range(3)]
    answer = await client.submit(PLAN.service, payloads, trace=True)
    code = Code(answer.code)
    print(f"\nJob {answer.id}: [{int(code)}] {code.meaning}")
    for index, task in enumerate(answer.tasks):
        print(f"  task {index}: {task.result}")
    _expect(code is Code.OK, "the job succeeds")
    spans = await client.get(f"/traces/{answer.id}")
    print("Its trace:")
    print_trace(spans)
    _expect(len(spans) >= 5, "the trace has a span for each hop")


async def _show_drain(site, client):
    """Take a data centre out of service, put it back, and run jobs after each step."""
    name = PLAN.data_centres[0]
    print(f"\nTaking {name} out.")
    await _set_in_service(client, name, False)
    starts_before = _starts_in(site, name)
    codes = await _run_jobs(client, 24)
    new_starts = _starts_in(site, name) - starts_before
    print(f"24 jobs: {codes.count(Code.OK)} done, {new_starts} starts in {name}.")
    _expect(codes.count(Code.OK) == 24 and new_starts == 0, "no task starts there")
    print(f"Bringing {name} back.")
    await _set_in_service(client, name, True)
    await asyncio.sleep(PLAN.view.confirm_s * 3)
    codes = await _run_jobs(client, 48)
    later_starts = _starts_in(site, name) - starts_before
    print(f"48 jobs: {codes.count(Code.OK)} done, {later_starts} starts in {name}.")
    _expect(codes.count(Code.OK) == 48 and later_starts > 0, "work returns")


async def _set_in_service(client, name, in_service):
    """Submit a release note for a data centre and wait until it is in force."""
    configuration = await client.get("/configuration")
    data_centre = {"name": name, "in_service": in_service}
    reply = await client.post(
        "/notes",
        {
            "id": f"{name}-{configuration['version']}",
            "base": configuration["version"],
            "changed": {"data_centres": [data_centre]},
        },
    )
    version = reply["version"]
    started_at = time.monotonic()
    path = f"/configuration/in-force?version={version}"
    while not (await client.get(path))["in_force"]:
        await asyncio.sleep(0.02)
    elapsed_s = time.monotonic() - started_at
    print(f"Version {version} is in force everywhere after {elapsed_s:.2f} s.")


async def _run_jobs(client, count):
    """Run jobs of one task concurrently and return their codes."""
    payload = {"run_ms": 60}
    submissions = (client.submit(PLAN.service, [payload]) for _ in range(count))
    return [answer.code for answer in await asyncio.gather(*submissions)]


def _starts_in(site, data_centre):
    """Return how many tasks have started on the targets of a data centre."""
    return sum(
        sum(target.starts.values())
        for index, target in enumerate(site.targets)
        if PLAN.data_centre(index) == data_centre
    )


def _expect(condition, expectation):
    """Exit with an error message if a condition is false."""
    if not condition:
        raise SystemExit(f"The demo failed: expected that {expectation}.")
