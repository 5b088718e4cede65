"""The records of entries and workers in the platform's store."""

import asyncio

from ragwortlug.platform.records import ENTRY_PREFIX, WorkerRecord
from ragwortlug.timer import Timer

LIMIT_S = 20.0
ADDRESS = "tcp://10.4.0.1:7720"


class FakeStore:
    """A store that knows one entry and no worker."""

    async def value(self, key):
        return None

    async def items(self, prefix):
        assert prefix == ENTRY_PREFIX
        return {prefix + ADDRESS: None}, 1


class FakeRunner:
    """A runner that hears from its seeds all the time."""

    def __init__(self):
        self.addresses = asyncio.Queue()

    @property
    def last_renewal_at(self):
        return Timer.monotonic()

    def add_addresses(self, addresses):
        for address in addresses:
            self.addresses.put_nowait(address)


class TestEntries:
    def test_an_agent_reads_all_entries_at_its_start(self):
        async def run():
            runner = FakeRunner()
            record = WorkerRecord(FakeStore(), runner, "tcp://10.1.0.1:7720", Timer())
            await record.start()
            try:
                async with asyncio.timeout(LIMIT_S):
                    return await runner.addresses.get()
            finally:
                await record.stop()

        assert asyncio.run(run()) == ADDRESS
