"""Shared helpers of the tests that run whole sites."""

import asyncio

import pytest

from ragwortlug.client import Client
from standins.fleet import Fleet
from standins.load import violations


@pytest.fixture
def run_fleet():
    """Return a function that runs a scenario against daemons in processes."""

    def run(plan, scenario, settings_dir=None):
        async def body():
            fleet = Fleet(plan, settings_dir)
            try:
                await fleet.start()
                async with Client(plan.entry_urls(), plan.teams[0]) as client:
                    await scenario(fleet, client)
            finally:
                await fleet.stop()

        asyncio.run(body())

    return run


def assert_truthful(told, fleet):
    """Fail with every contradiction between answers and the targets' record."""
    found = violations(told, fleet.starts())
    assert not found, "\n".join(found)
