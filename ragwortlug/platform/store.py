"""The platform's store: the one client for it, and the watch of the orders."""

import asyncio
import base64
import binascii

import aiohttp
import msgspec

from ragwortlug.actor import cancel_all
from ragwortlug.errors import StoreAnswerLostError, StoreError
from ragwortlug.events import EventName
from ragwortlug.platform import wire
from ragwortlug.restartable_model import Orders
from ragwortlug.telemetry.logs import logger

FOLDER = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATION_FOLDER = "op/evacuate/"
WATCH_MS = 1000
ANSWER_S = 0.8
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_GONE = 410
MS_PER_S = 1000.0

log = logger("store")
_encoder = msgspec.json.Encoder()


class HistoryGoneError(StoreError):
    """The store has dropped the history from which a watch went on."""


class NoSuchLeaseError(StoreError):
    """The store knows no such lease any more."""


class StoreClient:
    """Calls the platform's store.

    Parameters
    ----------
    url : str
        The store's address.
    metrics, timer
        The services of those names.
    """

    def __init__(self, url, metrics, timer):
        self._url = url
        self._metrics = metrics
        self._timer = timer
        self._session = None

    async def start(self):
        """Open the connection pool."""
        self._session = aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar())

    async def stop(self):
        """Close the connection pool."""
        await self._session.close()

    async def value(self, key):
        """Return the value of a key, in bytes, or None."""
        status, raw = await self._call("GET", "kv-key", {"key": key})
        if status == HTTP_NOT_FOUND:
            return None
        return value_of(wire.item_of(_checked("kv-key", status, raw)))

    async def items(self, prefix):
        """Return the items under a prefix by key, and the revision to go on from."""
        items = {}
        after = ""
        as_of = None
        while True:
            query = {"prefix": prefix} | ({"after": after} if after else {})
            status, raw = await self._call("GET", "kv-range", query)
            page = wire.items_of(_checked("kv-range", status, raw))
            # Pages are no snapshot: a watch goes on from the first one's revision.
            as_of = page.as_of if as_of is None else as_of
            items.update({each.key: each for each in page.items})
            if not page.has_more or not page.items:
                return items, as_of
            after = page.items[-1].key

    async def changes(self, prefix, after, wait_ms):
        """Return the changes under a prefix after a revision, once there are any.

        Raises
        ------
        HistoryGoneError
            The store does not know that far back.
        """
        query = {"prefix": prefix, "after": after, "wait_ms": wait_ms}
        status, raw = await self._call("GET", "kv-watch", query, wait_ms=wait_ms)
        if status == HTTP_GONE:
            raise HistoryGoneError(f"after revision {after}")
        return wire.items_of(_checked("kv-watch", status, raw))

    async def put(self, key, value, lease=0):
        """Write a value without a condition.

        Raises
        ------
        NoSuchLeaseError
            The lease has ended.
        StoreAnswerLostError
            The value may have been written, or may yet be.
        """
        text = base64.b64encode(value).decode()
        put = {"key": key, "value": text, "lease": lease}
        body = {"precondition": [], "puts": [put], "remove": []}
        status, raw = await self._call("POST", "kv-txn", body=body)
        if status == HTTP_NOT_FOUND:
            raise NoSuchLeaseError(f"lease {lease}")
        _checked("kv-txn", status, raw)

    async def create_lease(self, ttl_ms):
        """Return the number of a new lease."""
        status, raw = await self._call("POST", "kv-lease", body={"ttl_ms": ttl_ms})
        return wire.lease_of(_checked("kv-lease", status, raw))

    async def renew_lease(self, lease):
        """Renew a lease, or raise `NoSuchLeaseError`."""
        status, raw = await self._call("POST", f"kv-keep/{lease}", body={})
        if status == HTTP_NOT_FOUND:
            raise NoSuchLeaseError(f"lease {lease}")
        _checked("kv-keep", status, raw)

    async def _call(self, method, call, query=None, body=None, wait_ms=0):
        """Make one call; return the status and the body of the answer."""
        name = call.partition("/")[0]
        self._metrics.count("store_calls", name)
        started_at = self._timer.monotonic()
        timeout = aiohttp.ClientTimeout(total=ANSWER_S + wait_ms / MS_PER_S)
        try:
            async with self._session.request(
                method,
                f"{self._url}/api/{call}",
                params=query,
                data=None if body is None else _encoder.encode(body),
                headers={"Content-Type": "application/json"},
                timeout=timeout,
            ) as reply:
                return reply.status, await reply.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._metrics.count("store_failures", name)
            kind = StoreError if method == "GET" else StoreAnswerLostError
            raise kind(f"{name}: {error!r}") from error
        finally:
            self._metrics.time(f"store_{name}", self._timer.monotonic() - started_at)


class OrdersWatch:
    """Watches the operators' part of the store.

    Parameters
    ----------
    store : StoreClient
        The client.
    learn : callable
        Is called with each `Orders`.
    journal : Journal
        Is told when the store is lost and regained.
    """

    def __init__(self, store, learn, journal):
        self._store = store
        self._learn = learn
        self._journal = journal
        self._task = None
        self._items = {}
        self._as_of = None
        self._lost = False

    async def start(self):
        """Begin to watch."""
        self._task = asyncio.create_task(self._keep())

    async def stop(self):
        """Stop watching."""
        await cancel_all([self._task])

    async def _keep(self):
        """Read, then watch; begin again whenever the store fails."""
        pause_s = FIRST_PAUSE_S
        while True:
            try:
                await self._follow()
                pause_s = FIRST_PAUSE_S
            except HistoryGoneError as error:
                log.info("The store's history is read anew: {}.", error)
                self._as_of = None
            except (StoreError, msgspec.DecodeError) as error:
                self._note_lost(error)
                await asyncio.sleep(pause_s)
                pause_s = min(2 * pause_s, LONGEST_PAUSE_S)

    async def _follow(self):
        """Read everything, or wait for the next changes."""
        if self._as_of is None:
            self._items, self._as_of = await self._store.items(FOLDER)
            self._publish()
        else:
            page = await self._store.changes(FOLDER, self._as_of, WATCH_MS)
            for each in page.events:
                self._take(each)
            self._as_of = max(self._as_of, page.as_of)
            if page.events:
                self._publish()
        if self._lost:
            self._journal.write_event(EventName.STORE_REGAINED, revision=self._as_of)
            self._lost = False

    def _take(self, item):
        """Take one change."""
        if item.removed:
            self._items.pop(item.key, None)
        else:
            self._items[item.key] = item

    def _note_lost(self, error):
        """Tell once that the store is lost."""
        if not self._lost:
            fields = {"why": str(error), "revision": self._as_of}
            self._journal.write_event(EventName.STORE_LOST, **fields)
            self._lost = True

    def _publish(self):
        """Tell of the orders in force."""
        table = None
        item = self._items.get(CONFIGURATION_KEY)
        if item is not None:
            try:
                table = wire.table_of(value_of(item))
            except msgspec.DecodeError as error:
                log.error("The configuration can't be read: {!r}.", error)
                return
        evacuated = tuple(
            sorted(
                key.removeprefix(EVACUATION_FOLDER)
                for key in self._items
                if key.startswith(EVACUATION_FOLDER)
            )
        )
        self._learn(Orders(self._as_of, table, evacuated))


def value_of(item):
    """Return the bytes of an item's value."""
    try:
        return base64.b64decode(item.value, validate=True)
    except binascii.Error as error:
        raise msgspec.DecodeError(f"{item.key}: {error}") from error


def _checked(call, status, raw):
    """Return the body of an answer, or raise if the call was not carried out."""
    if status != HTTP_OK:
        raise StoreError(f"{call}: the store said {status}")
    return raw
