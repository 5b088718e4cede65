"""The records of entries and workers in the platform's store."""

import asyncio
import functools
import json

import logbook
import pytest

from ragwortlug.errors import StoreError
from ragwortlug.platform import records, wire
from ragwortlug.platform.records import ENTRY_PREFIX, EntryRecord, WorkerRecord
from ragwortlug.timer import Timer

LIMIT_S = 20.0
ADDRESS = "tcp://10.4.0.1:7720"
REPORT = {
    "service": "s",
    "address": "10.1.0.2:80",
    "zone": "patan",
    "state": "ready",
    "capacity": {"cpu": 1000},
    "clock_ms": 5,
    "sequence": 1,
}


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


ODD_KEYS = [
    "",
    "garbage",
    "tcp://host.example:1",
    "tcp://10.4.0.1:99999",
    ADDRESS + "\n",
]


class OddStore(FakeStore):
    """A store with odd records of entries among good ones."""

    async def items(self, prefix):
        keys = [prefix + each for each in (*ODD_KEYS, ADDRESS)]
        return dict.fromkeys(keys), 1


class FailingReceiver:
    """A receiver of addresses that fails the first `failures` times."""

    last_renewal_at = 0.0

    def __init__(self, failures=1):
        self._failures = failures
        self.added = asyncio.Event()
        self.posted = asyncio.Queue()

    def post(self, sender, message):
        self.posted.put_nowait(message)

    def add_addresses(self, addresses):
        if self._failures:
            self._failures -= 1
            raise RuntimeError("refused")
        self.added.set()


class LeasingStore(FakeStore):
    """A store that keeps what is put, and loses the first `lost_puts` writes."""

    def __init__(self, value=None, lost_puts=0):
        self.kept = {}
        self._value = value
        self._lost_puts = lost_puts
        self._leases = 0

    async def value(self, key):
        return self._value

    async def create_lease(self, ttl_ms):
        self._leases += 1
        return self._leases

    async def renew_lease(self, lease):
        pass

    async def put(self, key, value, lease=0):
        if self._lost_puts:
            self._lost_puts -= 1
            raise StoreError("lost")
        self.kept[key] = value


async def until(record, holds):
    """Run a record until a condition holds."""
    await record.start()
    try:
        async with asyncio.timeout(LIMIT_S):
            while not holds():
                await asyncio.sleep(0.01)
    finally:
        await record.stop()


@pytest.fixture
def short_times(monkeypatch):
    """Shorten the pauses of the records."""
    for name in ("RENEWAL_INTERVAL_S", "RETRY_INTERVAL_S", "ENTRY_SILENCE_S"):
        monkeypatch.setattr(records, name, 0.02)


class TestOddRecords:
    def test_an_odd_address_costs_itself_only(self):
        async def read_twice():
            return [await records.read_entry_addresses(OddStore()) for _ in range(2)]

        with logbook.TestHandler() as handler:
            assert asyncio.run(read_twice()) == [[ADDRESS], [ADDRESS]]
        assert len(handler.records) == len(ODD_KEYS)

    def test_an_agent_looks_for_entries_after_an_error(self, short_times):
        async def run():
            runner = FailingReceiver()
            record = WorkerRecord(FakeStore(), runner, "tcp://10.1.0.1:7720", Timer())
            await until(record, runner.added.is_set)

        asyncio.run(run())

    def test_an_entry_renews_its_record_after_an_error(self, short_times):
        async def run():
            store, gossip = LeasingStore(), FailingReceiver()
            record = EntryRecord(store, gossip, "tcp://10.1.0.1:7720")
            await until(record, gossip.added.is_set)

        asyncio.run(run())

    def test_an_entry_writes_its_record_after_a_failed_write(self, short_times):
        async def run():
            store, gossip = LeasingStore(lost_puts=1), FailingReceiver()
            record = EntryRecord(store, gossip, "tcp://10.1.0.1:7720")
            await until(record, lambda: store.kept)

        asyncio.run(run())

    @pytest.mark.parametrize(
        "value",
        [
            b"\xff",
            b"[]",
            b'{"id": "i-1", "report": ' + b"[" * 200_000 + b"]" * 200_000 + b"}",
            json.dumps({"id": "i-1", "report": {"born": 10**400}}).encode(),
        ],
    )
    def test_an_odd_record_names_no_worker(self, value, short_times):
        async def run():
            runner = FailingReceiver(failures=0)
            store = LeasingStore(value)
            record = WorkerRecord(store, runner, "tcp://10.1.0.1:7720", Timer())
            await until(record, runner.added.is_set)
            assert not record._tasks[0].cancelled()
            assert record._tasks[0].exception() is None
            assert runner.posted.empty()

        asyncio.run(run())


class TestWorkerRecord:
    def test_a_delayed_report_does_not_replace_the_boot_in_the_store(self, short_times):
        async def run():
            store = LeasingStore()
            record = WorkerRecord(store, FakeRunner(), "tcp://10.1.0.1:7720", Timer())
            report_of = functools.partial(wire.report_of, "i-1")
            raws = [json.dumps(REPORT | {"born": born}).encode() for born in (7, 9)]
            runs, delayed = (report_of(raw) for raw in raws)
            record.add_report(runs, raws[0])
            record.store_boot(runs.boot_id)
            record.add_report(delayed, raws[1])
            record.store_boot(("i-2", 5))
            await until(record, lambda: store.kept)
            await asyncio.sleep(0.05)
            (value,) = store.kept.values()
            assert wire.recalled_of(value) == runs

        asyncio.run(run())


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
