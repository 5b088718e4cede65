"""What the programs keep in the platform's store: where entries and workers are.

An entry keeps its address under a lease, so that an agent whose seeds are gone
finds it. An agent keeps its worker's latest boot, so that after a restart it need
not wait for the worker's next report.
"""

import asyncio

import msgspec

from ragwortlug.actor import cancel_all
from ragwortlug.errors import RequestError, StoreError
from ragwortlug.platform import wire
from ragwortlug.platform.store import NoSuchLeaseError
from ragwortlug.telemetry.logs import logger

ENTRY_FOLDER = "ragwortlug/entries/"
WORKER_FOLDER = "ragwortlug/workers/"
ENTRY_TTL_MS = 10_000
KEEP_EVERY_S = 3.0
RETRY_S = 1.0
SILENCE_S = 2.0
WRITE_TRIES = 5

log = logger("records")


class EntryRecord:
    """Keeps an entry's address in the store, and meets the other entries.

    Parameters
    ----------
    store : StoreClient
        The client.
    gossip : Gossip
        Is told of other entries.
    address : str
        This entry's.
    """

    def __init__(self, store, gossip, address):
        self._store = store
        self._gossip = gossip
        self._address = address
        self._task = None

    async def start(self):
        """Begin to keep the record."""
        self._task = asyncio.create_task(self._keep())

    async def stop(self):
        """Stop; the lease ends by itself."""
        await cancel_all([self._task])

    async def _keep(self):
        """Write the record, then renew its lease; begin again when it ended."""
        lease = None
        while True:
            try:
                if lease is None:
                    lease = await self._store.create_lease(ENTRY_TTL_MS)
                    await self._write(lease)
                else:
                    await self._store.renew_lease(lease)
                await asyncio.sleep(KEEP_EVERY_S)
            except NoSuchLeaseError as error:
                log.info("The entry's record is written anew: {}.", error)
                lease = None
            except (StoreError, msgspec.DecodeError) as error:
                log.info("The entry's record is not kept: {}.", error)
                await asyncio.sleep(RETRY_S)

    async def _write(self, lease):
        """Write the record and read those of others."""
        key = ENTRY_FOLDER + self._address
        await self._store.put(key, self._address.encode(), lease)
        self._gossip.add_addresses(await entries_in(self._store))


class WorkerRecord:
    """Keeps a worker's latest boot in the store, and finds lost entries.

    Parameters
    ----------
    store : StoreClient
        The client.
    runner : LeasedActor
        Is told of what the store has.
    address : str
        This agent's; names the record.
    timer : Timer
        Tells the time.
    """

    def __init__(self, store, runner, address, timer):
        self._store = store
        self._runner = runner
        self._key = WORKER_FOLDER + address
        self._timer = timer
        self._boot = None
        self._tasks = []

    async def start(self):
        """Read the record, and begin to look for entries while none is heard."""
        self._tasks = [
            asyncio.create_task(self._recall()),
            asyncio.create_task(self._find_entries()),
        ]

    async def stop(self):
        """Stop what is under way."""
        await cancel_all(self._tasks)

    def save_first_report(self, report, raw):
        """Keep a worker's report if it is the first of its boot."""
        if report.boot_id == self._boot:
            return
        self._boot = report.boot_id
        self._tasks = [each for each in self._tasks if not each.done()]
        self._tasks.append(asyncio.create_task(self._write(report, raw)))

    async def _write(self, report, raw):
        """Write a report; try again a few times."""
        value = msgspec.json.encode({"id": report.id, "report": msgspec.Raw(raw)})
        for _ in range(WRITE_TRIES):
            try:
                await self._store.put(self._key, value)
            except StoreError as error:
                log.info("The worker's record is not written: {}.", error)
                await asyncio.sleep(RETRY_S)
            else:
                return

    async def _recall(self):
        """Tell the runner of the boot that a former process knew."""
        try:
            value = await self._store.value(self._key)
            if value is not None and self._boot is None:
                self._runner.post(None, wire.recalled_of(value))
        except (StoreError, RequestError, msgspec.DecodeError) as error:
            log.info("The worker's record can't be read: {}.", error)

    async def _find_entries(self):
        """Read the entries' addresses while none of them is heard."""
        while True:
            await asyncio.sleep(SILENCE_S)
            if self._timer.monotonic() - self._runner.last_renewal_at < SILENCE_S:
                continue
            try:
                self._runner.add_addresses(await entries_in(self._store))
            except (StoreError, msgspec.DecodeError) as error:
                log.info("The entries' records can't be read: {}.", error)


async def entries_in(store):
    """Return the addresses of the entries that the store knows."""
    items, _ = await store.items(ENTRY_FOLDER)
    return [key.removeprefix(ENTRY_FOLDER) for key in items]
