"""A stand-in for the platform's store, by etcd v3's JSON gateway.

It keeps keys in memory and serves ``range`` and ``txn``. On request it is down,
slow, or applies a write and loses the answer; it counts every call.
"""

import asyncio
import base64
from collections import Counter
from dataclasses import dataclass

from aiohttp import web


@dataclass(slots=True)
class Faults:
    """What the store does wrong.

    Attributes
    ----------
    down : bool
        Refuse every call.
    delay_s : float
        Wait before each answer.
    lose_answers : int
        How many of the next writes are applied without an answer.
    late_s : float
        How long those writes wait before they are applied.
    down_after_writes : int
        The store goes down once it has answered so many writes; 0 for never.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    late_s: float = 0.0
    down_after_writes: int = 0


class StoreStandin:
    """The store's state and its HTTP interface."""

    def __init__(self):
        self._values = {}
        self._revision = 0
        self._runner = None
        self._late = set()
        self.faults = Faults()
        self.calls = Counter()
        self.app = web.Application(client_max_size=1 << 24)
        self.app.add_routes(
            [
                web.post("/v3/kv/range", self._range),
                web.post("/v3/kv/txn", self._txn),
                web.post("/faults", self._set_faults),
                web.get("/calls", self._show_calls),
            ]
        )

    async def start(self, host, port):
        """Begin to listen."""
        self._runner = web.AppRunner(self.app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port, reuse_address=True).start()

    async def stop(self):
        """Stop listening."""
        await self._runner.cleanup()

    async def _range(self, request):
        """Serve a read."""
        body = await self._begin(request, "range")
        first = base64.b64decode(body["key"])
        end = base64.b64decode(body.get("range_end", "")) or first + b"\0"
        found = [
            self._entry(key, body.get("keys_only", False))
            for key in sorted(self._values)
            if first <= key < end
        ]
        return web.json_response({"kvs": found, "count": str(len(found))})

    async def _txn(self, request):
        """Serve a conditional write."""
        body = await self._begin(request, "txn")
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            late = asyncio.create_task(self._apply_late(body, self.faults.late_s))
            self._late.add(late)
            late.add_done_callback(self._late.discard)
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
        """Apply a write if its conditions hold; return whether they did."""
        for each in body.get("compare", ()):
            _, revision = self._values.get(base64.b64decode(each["key"]), (b"", 0))
            if revision != int(each["mod_revision"]):
                return False
        self._revision += 1
        for each in body.get("success", ()):
            put = each["request_put"]
            key = base64.b64decode(put["key"])
            self._values[key] = (base64.b64decode(put["value"]), self._revision)
        return True

    def _entry(self, key, keys_only):
        """Return a key as the protocol shows it."""
        value, revision = self._values[key]
        entry = {
            "key": base64.b64encode(key).decode(),
            "mod_revision": str(revision),
        }
        if not keys_only:
            entry["value"] = base64.b64encode(value).decode()
        return entry

    async def _begin(self, request, name):
        """Count a call and do what the faults say."""
        self.calls[name] += 1
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            raise web.HTTPServiceUnavailable
        return await request.json()

    async def _set_faults(self, request):
        """Take the faults that a test asks for."""
        self.faults = Faults(**await request.json())
        return web.json_response({})

    async def _show_calls(self, _request):
        """Show how many calls were made."""
        return web.json_response(dict(self.calls))
