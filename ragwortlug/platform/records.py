"""Records of entries and workers in the platform's store.

An entry stores its address under a lease, so that an agent whose seeds are lost
finds it. An agent stores its worker's latest boot, so that after a restart it does
not need to wait for the worker's next report.
"""

import asyncio

import msgspec

from ragwortlug.actor import cancel_all
from ragwortlug.errors import RequestError, StoreError
from ragwortlug.lease_settings import is_address
from ragwortlug.leased_actor import RecalledReport
from ragwortlug.platform import wire
from ragwortlug.platform.store import NoSuchLeaseError
from ragwortlug.telemetry.logs import OnceLogger, logger

ENTRY_PREFIX = "ragwortlug/entries/"
WORKER_PREFIX = "ragwortlug/workers/"
ENTRY_TTL_MS = 10_000
RENEWAL_INTERVAL_S = 3.0
RETRY_INTERVAL_S = 1.0
ENTRY_SILENCE_S = 2.0
MAX_WRITE_ATTEMPTS = 5
MAX_BOOTS = 8

log = logger("records")
once_log = OnceLogger(log)


class EntryRecord:
    """Keeps an entry's address in the store, and reads those of the other entries.

    Parameters
    ----------
    store : StoreClient
        The client.
    gossip : Gossip
        Receives the addresses of the other entries.
    address : str
        The address of this entry.
    """

    def __init__(self, store, gossip, address):
        self._store = store
        self._gossip = gossip
        self._address = address
        self._task = None

    async def start(self):
        """Start writing and renewing the record."""
        self._task = asyncio.create_task(self._maintain())

    async def stop(self):
        """Stop renewing the record; its lease then expires."""
        await cancel_all([self._task])

    async def _maintain(self):
        """Write the record, read the others and renew the lease; retry on errors."""
        lease = None
        reads_others = True
        while True:
            try:
                if lease is None:
                    lease = await self._write()
                    reads_others = True
                else:
                    await self._store.renew_lease(lease)
                if reads_others:
                    self._gossip.add_addresses(await read_entry_addresses(self._store))
                    reads_others = False
                await asyncio.sleep(RENEWAL_INTERVAL_S)
            except NoSuchLeaseError as error:
                log.info(
                    "The lease of the entry's record expired; writing it again: {}.",
                    error,
                )
                lease = None
            except (StoreError, msgspec.DecodeError) as error:
                log.info("Failed to write or renew the entry's record: {}.", error)
                await asyncio.sleep(RETRY_INTERVAL_S)
            except Exception:
                log.exception("Unexpected error in the entry's record.")
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _write(self):
        """Write the record under a new lease, and return the lease."""
        lease = await self._store.create_lease(ENTRY_TTL_MS)
        key = ENTRY_PREFIX + self._address
        await self._store.put(key, self._address.encode(), lease)
        return lease


class WorkerRecord:
    """Keeps a worker's latest boot in the store, and looks up entries after silence.

    Parameters
    ----------
    store : StoreClient
        The client.
    runner : LeasedActor
        Receives the stored boot and the entries' addresses.
    address : str
        The address of this agent; part of the record's key.
    timer : Timer
        Provides the monotonic clock.
    """

    def __init__(self, store, runner, address, timer):
        self._store = store
        self._runner = runner
        self._key = WORKER_PREFIX + address
        self._timer = timer
        # The latest report of each boot that reported lately, and its bytes.
        self._reports = {}
        self._stored_boot_id = None
        self._tasks = []

    async def start(self):
        """Read the record, and start looking up entries while none sends renewals."""
        self._tasks = [
            asyncio.create_task(self._load_boot()),
            asyncio.create_task(self._find_entries()),
        ]

    async def stop(self):
        """Cancel all reads and writes."""
        await cancel_all(self._tasks)

    def add_report(self, report, raw):
        """Keep a worker's report, to be stored if its boot is used."""
        self._reports.pop(report.boot_id, None)
        self._reports[report.boot_id] = (report, raw)
        while len(self._reports) > MAX_BOOTS:
            del self._reports[next(iter(self._reports))]

    def store_boot(self, boot_id):
        """Store the latest report of a boot that runs."""
        if boot_id not in self._reports:
            return
        self._stored_boot_id = boot_id
        self._tasks = [task for task in self._tasks if not task.done()]
        self._tasks.append(asyncio.create_task(self._write(*self._reports[boot_id])))

    async def _write(self, report, raw):
        """Write a report; make up to `MAX_WRITE_ATTEMPTS` attempts.

        None is made after a later boot has been stored.
        """
        value = msgspec.json.encode({"id": report.id, "report": msgspec.Raw(raw)})
        for _ in range(MAX_WRITE_ATTEMPTS):
            if report.boot_id != self._stored_boot_id:
                return
            try:
                await self._store.put(self._key, value)
            except StoreError as error:
                log.info("Failed to write the worker's record: {}.", error)
                await asyncio.sleep(RETRY_INTERVAL_S)
            else:
                return

    async def _load_boot(self):
        """Post the report that an earlier process stored to the runner."""
        try:
            value = await self._store.value(self._key)
            if value is not None and self._stored_boot_id is None:
                self._runner.post(None, RecalledReport(wire.recalled_of(value)))
        except (StoreError, RequestError, msgspec.DecodeError) as error:
            log.info("Failed to read the worker's record: {}.", error)

    async def _find_entries(self):
        """Read the entries' addresses at the start, and while none sends renewals.

        The seeds are a few of the entries. After a power loss the others are found
        in the store sooner than by way of the seeds.
        """
        while True:
            try:
                self._runner.add_addresses(await read_entry_addresses(self._store))
            except (StoreError, msgspec.DecodeError) as error:
                log.info("Failed to read the entries' records: {}.", error)
            except Exception:
                log.exception("Unexpected error with the entries' records.")
            await asyncio.sleep(ENTRY_SILENCE_S)
            while self._hears_entries():
                await asyncio.sleep(ENTRY_SILENCE_S)

    def _hears_entries(self):
        """Return whether an entry has sent a renewal recently."""
        silence_s = self._timer.monotonic() - self._runner.last_renewal_at
        return silence_s < ENTRY_SILENCE_S


async def read_entry_addresses(store):
    """Return a list of the addresses of the entries that are in the store."""
    items, _ = await store.items(ENTRY_PREFIX)
    addresses = []
    for key in items:
        address = key.removeprefix(ENTRY_PREFIX)
        if is_address(address):
            addresses.append(address)
        else:
            once_log.warning(key, "Skipped the record of an entry at {!r}.", address)
    return addresses
