"""A stand-in for the etcd v3 store, with the interface of etcd's JSON gateway.

It keeps keys in memory, serves ``range`` and ``txn``, and counts every call. On
request it refuses calls, delays answers, or applies a write without answering it.
"""

import asyncio
import base64
from collections import Counter
from dataclasses import dataclass

from aiohttp import web


@dataclass(slots=True)
class Faults:
    """The faults that the store simulates.

    Attributes
    ----------
    down : bool
        Whether every call is answered with status 503.
    delay_s : float
        Delay before each answer, in seconds.
    lose_answers : int
        Number of the next writes that are applied without an answer.
    late_s : float
        Delay before those writes are applied, in seconds.
    down_after_writes : int
        Number of applied writes after which `down` is set; 0 means never.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    late_s: float = 0.0
    down_after_writes: int = 0


class StoreStandin:
    """The store's state and its HTTP interface.

    Attributes
    ----------
    faults : Faults
        The simulated faults.
    calls : Counter
        Number of calls received, by ``"range"`` and ``"txn"``.
    """

    def __init__(self):
        self._values = {}
        self._revision = 0
        self._runner = None
        self._late_writes = set()
        self.faults = Faults()
        self.calls = Counter()
        self.app = web.Application(client_max_size=1 << 24)
        self.app.add_routes(
            [
                web.post("/v3/kv/range", self._serve_range),
                web.post("/v3/kv/txn", self._serve_txn),
                web.post("/faults", self._set_faults),
                web.get("/calls", self._show_calls),
            ]
        )

    async def start(self, host, port):
        """Start listening."""
        self._runner = web.AppRunner(self.app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port, reuse_address=True).start()

    async def stop(self):
        """Stop listening."""
        await self._runner.cleanup()

    async def _serve_range(self, request):
        """Serve a read."""
        body = await self._read_body(request, "range")
        first = base64.b64decode(body["key"])
        end = base64.b64decode(body.get("range_end", "")) or first + b"\0"
        entries = [
            self._entry(key, body.get("keys_only", False))
            for key in sorted(self._values)
            if first <= key < end
        ]
        return web.json_response({"kvs": entries, "count": str(len(entries))})

    async def _serve_txn(self, request):
        """Serve a conditional write."""
        body = await self._read_body(request, "txn")
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            late_write = asyncio.create_task(self._apply_late(body, self.faults.late_s))
            self._late_writes.add(late_write)
            late_write.add_done_callback(self._late_writes.discard)
            await asyncio.sleep(0)
            request.transport.abort()
            return web.Response(status=500)
        applied = self._apply(body)
        if applied and self.faults.down_after_writes:
            self.faults.down_after_writes -= 1
            self.faults.down = not self.faults.down_after_writes
        return web.json_response({"succeeded": applied})

    async def _apply_late(self, body, delay_s):
        """Apply a write whose answer is lost."""
        if delay_s:
            await asyncio.sleep(delay_s)
        self._apply(body)

    def _apply(self, body):
        """Apply a write if all its conditions hold; return whether it was applied."""
        for condition in body.get("compare", ()):
            _, revision = self._values.get(base64.b64decode(condition["key"]), (b"", 0))
            if revision != int(condition["mod_revision"]):
                return False
        self._revision += 1
        for operation in body.get("success", ()):
            put = operation["request_put"]
            key = base64.b64decode(put["key"])
            self._values[key] = (base64.b64decode(put["value"]), self._revision)
        return True

    def _entry(self, key, keys_only):
        """Return a key and, unless `keys_only`, its value in the gateway's format."""
        value, revision = self._values[key]
        entry = {
            "key": base64.b64encode(key).decode(),
            "mod_revision": str(revision),
        }
        if not keys_only:
            entry["value"] = base64.b64encode(value).decode()
        return entry

    async def _read_body(self, request, name):
        """Count a call, apply the simulated faults and return the call's body."""
        self.calls[name] += 1
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            raise web.HTTPServiceUnavailable
        return await request.json()

    async def _set_faults(self, request):
        """Serve a change of the simulated faults."""
        self.faults = Faults(**await request.json())
        return web.json_response({})

    async def _show_calls(self, _request):
        """Serve the number of calls by name."""
        return web.json_response(dict(self.calls))
