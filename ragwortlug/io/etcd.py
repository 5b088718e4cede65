"""Client of the store, for the JSON gateway of the etcd v3 key-value protocol.

Only two calls are used: ``range`` and ``txn``. A read of revisions returns no
values, so its size does not depend on the size of the stored values.
"""

import base64
from dataclasses import dataclass

import aiohttp
import msgspec

from ragwortlug.decoding import JsonDecoder
from ragwortlug.errors import StoreAnswerLostError, StoreError

CALL_TIMEOUT_S = 1.0

_decoder = JsonDecoder(dict)


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
        """Return a dict from every key under a folder to its revision."""
        entries = await self._range(folder, keys_only=True, whole_folder=True)
        return {key: int(kv["mod_revision"]) for key, kv in entries.items()}

    async def list(self, folder):
        """Return a list of the values of all keys under a folder, as bytes."""
        entries = await self._range(folder, whole_folder=True)
        return [base64.b64decode(kv["value"]) for kv in entries.values()]

    async def get(self, key):
        """Return the `StoredValue` of a key, with revision 0 if it is missing."""
        entries = await self._range(key)
        if key not in entries:
            return StoredValue(b"", 0)
        kv = entries[key]
        return StoredValue(base64.b64decode(kv["value"]), int(kv["mod_revision"]))

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
            reply = await self._call("txn", body)
        except StoreError as error:
            raise StoreAnswerLostError(str(error)) from error
        return bool(reply.get("succeeded"))

    async def _range(self, key, keys_only=False, whole_folder=False):
        """Return the raw entries of a key or a folder, by key without the prefix."""
        body = {"key": self._key(key)}
        if whole_folder:
            body["range_end"] = self._key(key[:-1] + chr(ord(key[-1]) + 1))
        if keys_only:
            body["keys_only"] = True
        reply = await self._call("range", body)
        prefix_length = len(self._prefix)
        return {
            base64.b64decode(kv["key"]).decode()[prefix_length:]: kv
            for kv in reply.get("kvs", [])
        }

    async def _call(self, name, body):
        """Make one call and return its decoded reply, or raise `StoreError`."""
        self._metrics.count("store_calls", name)
        started_at = self._timer.monotonic()
        try:
            async with self._session.post(
                f"{self._url}/v3/kv/{name}", json=body
            ) as response:
                if response.status != 200:
                    raise StoreError(f"{name}: the store said {response.status}")
                return _decoder.decode(await response.read())
        except (TimeoutError, aiohttp.ClientError, msgspec.DecodeError) as error:
            self._metrics.count("store_failures", name)
            raise StoreError(f"{name}: {type(error).__name__} {error}") from error
        finally:
            self._metrics.time("store_call", self._timer.monotonic() - started_at)

    def _key(self, key):
        """Return a key with the prefix, encoded in base64."""
        return base64.b64encode((self._prefix + key).encode()).decode()
