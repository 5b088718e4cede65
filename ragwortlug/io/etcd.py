"""The platform's store, by the JSON gateway of the etcd v3 key-value protocol.

Only two calls are used: ``range`` and ``txn``. A read of versions carries no
values, so that it stays small at any size of what is kept.
"""

import base64
from dataclasses import dataclass

import aiohttp

from ragwortlug.errors import StoreAnswerLostError, StoreError

TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class StoredValue:
    """A key's value; `revision` is 0 for a key that does not exist."""

    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class ConditionalPut:
    """One conditional write: put `value` if the key is at `revision`.

    A `revision` of None puts no condition.
    """

    key: str
    value: bytes
    revision: int | None = None


class EtcdClient:
    """A client of the store.

    Parameters
    ----------
    url : str
        The gateway's address.
    prefix : str
        Prepended to every key.
    metrics : Metrics
        Counts and times the calls.
    timer : Timer
        Tells the time of each call.
    """

    def __init__(self, url, prefix, metrics, timer):
        self._url = url
        self._prefix = prefix
        self._metrics = metrics
        self._timer = timer
        self._session = None

    async def start(self):
        """Open the connection pool."""
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        self._session = aiohttp.ClientSession(timeout=timeout)

    async def stop(self):
        """Close the connection pool."""
        await self._session.close()

    async def revisions(self, folder):
        """Return the revision of every key under a folder, without values."""
        found = await self._range(folder, keys_only=True, whole_folder=True)
        return {key: int(kv["mod_revision"]) for key, kv in found.items()}

    async def list(self, folder):
        """Return the values of all keys under a folder."""
        found = await self._range(folder, whole_folder=True)
        return [base64.b64decode(kv["value"]) for kv in found.values()]

    async def get(self, key):
        """Return a key's entry."""
        found = await self._range(key)
        if key not in found:
            return StoredValue(b"", 0)
        kv = found[key]
        return StoredValue(base64.b64decode(kv["value"]), int(kv["mod_revision"]))

    async def write(self, writes):
        """Carry out writes together if every condition holds; return whether.

        Raises
        ------
        StoreAnswerLostError
            The writes may have taken effect, or may yet.
        """
        compare = [
            {
                "key": self._key(each.key),
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(each.revision),
            }
            for each in writes
            if each.revision is not None
        ]
        success = [
            {
                "request_put": {
                    "key": self._key(each.key),
                    "value": base64.b64encode(each.value).decode(),
                }
            }
            for each in writes
        ]
        body = {"compare": compare, "success": success, "failure": []}
        try:
            reply = await self._call("txn", body)
        except StoreError as error:
            raise StoreAnswerLostError(str(error)) from error
        return bool(reply.get("succeeded"))

    async def _range(self, key, keys_only=False, whole_folder=False):
        """Return a key's or a folder's entries, by key without the prefix."""
        body = {"key": self._key(key)}
        if whole_folder:
            body["range_end"] = self._key(key[:-1] + chr(ord(key[-1]) + 1))
        if keys_only:
            body["keys_only"] = True
        reply = await self._call("range", body)
        skip = len(self._prefix)
        return {
            base64.b64decode(kv["key"]).decode()[skip:]: kv
            for kv in reply.get("kvs", [])
        }

    async def _call(self, name, body):
        """Make one call of the protocol."""
        self._metrics.count("store_calls", name)
        started_at = self._timer.monotonic()
        try:
            async with self._session.post(
                f"{self._url}/v3/kv/{name}", json=body
            ) as response:
                if response.status != 200:
                    raise StoreError(f"{name}: the store said {response.status}")
                return await response.json()
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            self._metrics.count("store_failures", name)
            raise StoreError(f"{name}: {type(error).__name__} {error}") from error
        finally:
            self._metrics.time("store_call", self._timer.monotonic() - started_at)

    def _key(self, key):
        """Return a key as the protocol wants it."""
        return base64.b64encode((self._prefix + key).encode()).decode()
