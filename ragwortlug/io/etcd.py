"""Client of the store, for the JSON gateway of the etcd v3 key-value protocol.

Only two calls are used: ``range`` and ``txn``. A read of revisions returns no
values, so its size does not depend on the size of the stored values.
"""

import base64
from dataclasses import dataclass

import aiohttp
import msgspec

from ragwortlug.decoding import MAX_INT64, JsonDecoder
from ragwortlug.errors import StoreAnswerLostError, StoreError
from ragwortlug.telemetry.logs import OnceLogger, logger

CALL_TIMEOUT_S = 1.0

# The revision of an item that can't be read.
UNREADABLE_REVISION = -1
MAX_LOGGED_BYTES = 200

once_log = OnceLogger(logger("etcd"))


class _Key(msgspec.Struct):
    """The key of an item, in base64."""

    key: str


class _Item(msgspec.Struct):
    """An item in a reply; the gateway writes 64-bit numbers as strings."""

    mod_revision: str
    value: str = ""


class _RangeReply(msgspec.Struct):
    """The reply to a read."""

    kvs: list[msgspec.Raw] = []


class _TxnReply(msgspec.Struct):
    """The reply to a write."""

    succeeded: bool = False


_key_decoder = JsonDecoder(_Key)
_item_decoder = JsonDecoder(_Item)
_range_decoder = JsonDecoder(_RangeReply)
_txn_decoder = JsonDecoder(_TxnReply)


@dataclass(frozen=True, slots=True)
class StoredValue:
    """The value of a key; `revision` is 0 if the key does not exist."""

    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class ConditionalPut:
    """Puts `value` if the key is at `revision`.

    A `revision` of None means no condition.
    """

    key: str
    value: bytes
    revision: int | None = None


class EtcdClient:
    """A client of the store.

    Parameters
    ----------
    url : str
        The base URL of the gateway.
    prefix : str
        Prepended to every key.
    metrics : Metrics
        Records the number and duration of calls.
    timer : Timer
        Provides the clock.
    """

    def __init__(self, url, prefix, metrics, timer):
        self._url = url
        self._prefix = prefix
        self._metrics = metrics
        self._timer = timer
        self._session = None

    async def start(self):
        """Open the connection pool."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        self._session = aiohttp.ClientSession(timeout=timeout)

    async def stop(self):
        """Close the connection pool."""
        await self._session.close()

    async def revisions(self, folder):
        """Return a dict from every key under a folder to its revision.

        An item that can't be read has the revision `UNREADABLE_REVISION`.
        """
        entries = await self._range(folder, keys_only=True, whole_folder=True)
        return {
            key: UNREADABLE_REVISION if stored is None else stored.revision
            for key, stored in entries.items()
        }

    async def list(self, folder):
        """Return a list of the readable values of all keys under a folder, as bytes."""
        entries = await self._range(folder, whole_folder=True)
        return [stored.value for stored in entries.values() if stored is not None]

    async def get(self, key):
        """Return the `StoredValue` of a key, with revision 0 if it is missing."""
        entries = await self._range(key)
        if key not in entries:
            return StoredValue(b"", 0)
        stored = entries[key]
        if stored is None:
            raise StoreError(f"the item {key!r} can't be read")
        return stored

    async def write(self, writes):
        """Apply writes atomically if every condition is met; return whether applied.

        Raises
        ------
        StoreAnswerLostError
            The writes may have been applied, or may still be.
        """
        compare = [
            {
                "key": self._key(put.key),
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(put.revision),
            }
            for put in writes
            if put.revision is not None
        ]
        success = [
            {
                "request_put": {
                    "key": self._key(put.key),
                    "value": base64.b64encode(put.value).decode(),
                }
            }
            for put in writes
        ]
        body = {"compare": compare, "success": success, "failure": []}
        try:
            reply = await self._call("txn", body, _txn_decoder)
        except StoreError as error:
            raise StoreAnswerLostError(str(error)) from error
        return reply.succeeded

    async def _range(self, key, keys_only=False, whole_folder=False):
        """Return the items of a key or a folder, by key without the prefix.

        An item whose key can't be read is left out; one of which only the rest can't
        be read is None.
        """
        body = {"key": self._key(key)}
        if whole_folder:
            body["range_end"] = self._key(key[:-1] + chr(ord(key[-1]) + 1))
        if keys_only:
            body["keys_only"] = True
        reply = await self._call("range", body, _range_decoder)
        entries = {}
        for raw in reply.kvs:
            try:
                found = _text_of(_key_decoder.decode(raw).key)
            except (msgspec.DecodeError, ValueError) as error:
                _log_once(raw, error)
            else:
                entries[found[len(self._prefix) :]] = _stored_value_or_none(raw)
        return entries

    async def _call(self, name, body, decoder):
        """Make one call and return its decoded reply, or raise `StoreError`."""
        self._metrics.count("store_calls", name)
        started_at = self._timer.monotonic()
        try:
            async with self._session.post(
                f"{self._url}/v3/kv/{name}", json=body
            ) as response:
                if response.status != 200:
                    raise StoreError(f"{name}: the store said {response.status}")
                return decoder.decode(await response.read())
        except (TimeoutError, aiohttp.ClientError, msgspec.DecodeError) as error:
            self._metrics.count("store_failures", name)
            raise StoreError(f"{name}: {type(error).__name__} {error}") from error
        finally:
            self._metrics.time("store_call", self._timer.monotonic() - started_at)

    def _key(self, key):
        """Return a key with the prefix, encoded in base64."""
        return base64.b64encode((self._prefix + key).encode()).decode()


def _text_of(encoded):
    """Return the text that is encoded in base64, or raise `ValueError`."""
    return base64.b64decode(encoded, validate=True).decode()


def _stored_value_or_none(raw):
    """Return the `StoredValue` in an item, or None if it can't be read."""
    try:
        item = _item_decoder.decode(raw)
        value = base64.b64decode(item.value, validate=True)
        return StoredValue(value, _revision_of(item.mod_revision))
    except (msgspec.DecodeError, ValueError) as error:
        _log_once(raw, error)
        return None


def _revision_of(text):
    """Return a revision, or raise `ValueError`."""
    revision = int(text)
    if not 0 < revision <= MAX_INT64:
        raise ValueError(f"{text!r} is no revision")
    return revision


def _log_once(raw, error):
    """Log an item that can't be read."""
    text = bytes(raw)[:MAX_LOGGED_BYTES]
    once_log.warning(text, "Skipped an invalid item, {!r}: {!r}.", text, error)
