"""Client for the platform's store, and the watch on the operators' orders."""

import asyncio
import base64

import aiohttp
import msgspec

from ragwortlug.actor import cancel_all
from ragwortlug.errors import StoreAnswerLostError, StoreError
from ragwortlug.events import EventName
from ragwortlug.platform import wire
from ragwortlug.restartable_model import Orders
from ragwortlug.telemetry.logs import logger

ORDERS_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
WATCH_WAIT_MS = 1000
CALL_TIMEOUT_S = 0.8
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_GONE = 410
MS_PER_S = 1000.0

log = logger("store")
_encoder = msgspec.json.Encoder()


class HistoryGoneError(StoreError):
    """The store no longer has the history after the revision that a watch asked for."""


class NoSuchLeaseError(StoreError):
    """The lease does not exist, or has expired."""


class StoreClient:
    """Calls the platform's store.

    Parameters
    ----------
    url : str
        The store's address.
    metrics : Metrics
        Counts and times the calls.
    timer : Timer
        Provides the monotonic clock.
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
        """Return the value of a key as bytes, or None if there is no such key."""
        status, raw = await self._call("GET", "kv-key", {"key": key})
        if status == HTTP_NOT_FOUND:
            return None
        return value_of(wire.item_of(_checked("kv-key", status, raw)))

    async def items(self, prefix):
        """Return the items under a prefix by key, and the revision to watch from."""
        items = {}
        after = ""
        revision = None
        while True:
            query = {"prefix": prefix} | ({"after": after} if after else {})
            status, raw = await self._call("GET", "kv-range", query)
            page = wire.items_of(_checked("kv-range", status, raw))
            # Pages are not one snapshot: a watch starts at the first page's revision.
            revision = page.as_of if revision is None else revision
            items.update({item.key: item for item in page.items})
            if page.last_key <= after:
                return items, revision
            after = page.last_key

    async def changes(self, prefix, after, wait_ms):
        """Return the changes under a prefix after a revision; wait up to `wait_ms`.

        Raises
        ------
        HistoryGoneError
            The store no longer has the history after that revision.
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
            The lease does not exist, or has expired.
        StoreAnswerLostError
            The value may have been written already, or may still be written.
        """
        text = base64.b64encode(value).decode()
        put = {"key": key, "value": text, "lease": lease}
        body = {"precondition": [], "puts": [put], "remove": []}
        status, raw = await self._call("POST", "kv-txn", body=body)
        if status == HTTP_NOT_FOUND:
            raise NoSuchLeaseError(f"lease {lease}")
        _checked("kv-txn", status, raw)

    async def create_lease(self, ttl_ms):
        """Create a lease and return its number."""
        status, raw = await self._call("POST", "kv-lease", body={"ttl_ms": ttl_ms})
        return wire.lease_of(_checked("kv-lease", status, raw))

    async def renew_lease(self, lease):
        """Renew a lease, or raise `NoSuchLeaseError`."""
        status, raw = await self._call("POST", f"kv-keep/{lease}", body={})
        if status == HTTP_NOT_FOUND:
            raise NoSuchLeaseError(f"lease {lease}")
        _checked("kv-keep", status, raw)

    async def _call(self, method, call, query=None, body=None, wait_ms=0):
        """Make one call; return the status and the body of the response."""
        name = call.partition("/")[0]
        self._metrics.count("store_calls", name)
        started_at = self._timer.monotonic()
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S + wait_ms / MS_PER_S)
        try:
            async with self._session.request(
                method,
                f"{self._url}/api/{call}",
                params=query,
                data=None if body is None else _encoder.encode(body),
                headers={"Content-Type": "application/json"},
                timeout=timeout,
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._metrics.count("store_failures", name)
            error_class = StoreError if method == "GET" else StoreAnswerLostError
            raise error_class(f"{name}: {error!r}") from error
        finally:
            self._metrics.time(f"store_{name}", self._timer.monotonic() - started_at)


class OrdersWatch:
    """Watches the operators' keys in the store.

    Parameters
    ----------
    store : StoreClient
        The client.
    on_orders : callable
        Called with each new `Orders`.
    journal : Journal
        Records when the store is lost and regained.
    """

    def __init__(self, store, on_orders, journal):
        self._store = store
        self._on_orders = on_orders
        self._journal = journal
        self._task = None
        self._items = {}
        self._revision = None
        self._configuration = None
        self._table = None
        self._lost = False

    async def start(self):
        """Start watching."""
        self._task = asyncio.create_task(self._watch_with_retry())

    async def stop(self):
        """Stop watching."""
        await cancel_all([self._task])

    async def _watch_with_retry(self):
        """Read, then watch; retry with exponential backoff when the store fails."""
        backoff_s = INITIAL_BACKOFF_S
        while True:
            try:
                await self._update()
                backoff_s = INITIAL_BACKOFF_S
            except HistoryGoneError as error:
                log.info(
                    "The store has lost its history; reading all keys again: {}.", error
                )
                self._revision = None
            except Exception as error:
                if not isinstance(error, StoreError | msgspec.DecodeError):
                    log.exception("Unexpected error in the watch on the orders.")
                self._record_store_lost(error)
                await asyncio.sleep(backoff_s)
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def _update(self):
        """Read all keys the first time, then wait for the next changes."""
        if self._revision is None:
            self._items, self._revision = await self._store.items(ORDERS_PREFIX)
            self._publish()
        else:
            page = await self._store.changes(
                ORDERS_PREFIX, self._revision, WATCH_WAIT_MS
            )
            for item in page.events:
                self._apply_change(item)
            self._revision = max(self._revision, page.as_of)
            if page.events:
                self._publish()
        if self._lost:
            self._journal.write_event(EventName.STORE_REGAINED, revision=self._revision)
            self._lost = False

    def _apply_change(self, item):
        """Apply one change to the known items."""
        if item.removed:
            self._items.pop(item.key, None)
        else:
            self._items[item.key] = item

    def _record_store_lost(self, error):
        """Write to the journal that the store is lost, once per outage."""
        if not self._lost:
            fields = {"why": str(error), "revision": self._revision}
            self._journal.write_event(EventName.STORE_LOST, **fields)
            self._lost = True

    def _publish(self):
        """Call `on_orders` with the orders in force.

        Without any valid configuration, the orders come from other entries.
        """
        self._update_table()
        if self._table is None and self._configuration is not None:
            return
        names = (
            key.removeprefix(EVACUATION_PREFIX)
            for key in self._items
            if key.startswith(EVACUATION_PREFIX)
        )
        evacuated = tuple(sorted(name for name in names if name))
        self._on_orders(Orders(self._revision, self._table, evacuated))

    def _update_table(self):
        """Decode the configuration if it changed; keep the table if it is invalid."""
        item = self._items.get(CONFIGURATION_KEY)
        if item == self._configuration:
            return
        self._configuration = item
        if item is None:
            self._table = None
            return
        try:
            self._table = wire.table_of(value_of(item))
        except msgspec.DecodeError as error:
            log.error("Failed to decode the configuration: {!r}.", error)


def value_of(item):
    """Return an item's value, decoded from base64.

    Raises
    ------
    msgspec.DecodeError
        The value is not valid base64.
    """
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError as error:
        raise msgspec.DecodeError(f"{item.key}: {error}") from error


def _checked(call, status, raw):
    """Return the body of a response, or raise `StoreError` if its status is not 200."""
    if status != HTTP_OK:
        raise StoreError(f"{call}: the store answered with status {status}")
    return raw
