"""Odd items among those of the store that the entries share."""

import asyncio
import base64
import json

import pytest
from aiohttp import web

from ragwortlug.codes import Code
from ragwortlug.errors import StoreError
from ragwortlug.io.etcd import EtcdClient
from ragwortlug.telemetry.metrics import Metrics
from ragwortlug.timer import Timer
from standins.site import SitePlan
from tests.test_path import with_site

PORT = 22_870
LIMIT_S = 20.0
NESTED = b"[" * 200_000
PLAN = SitePlan(
    port=22_880,
    data_centres=("patan",),
    service="mould-carving",
    teams=("gyanbhandar",),
    entries=2,
    agents=2,
    slots=2,
)


def kv(key, value=b"{}", revision="7"):
    """Return an item as the gateway gives it."""
    return {
        "key": base64.b64encode(key).decode(),
        "value": base64.b64encode(value).decode(),
        "mod_revision": revision,
    }


def ask(reply, call):
    """Return what ``call(client)`` returns when the store answers with some bytes."""

    async def run():
        app = web.Application()

        async def answer(_request):
            return web.Response(body=reply, content_type="application/json")

        app.add_routes([web.post("/{path:.*}", answer)])
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", PORT, reuse_address=True).start()
        client = EtcdClient(f"http://127.0.0.1:{PORT}", "/r", Metrics(), Timer())
        await client.start()
        try:
            return await call(client)
        finally:
            await client.stop()
            await runner.cleanup()

    return asyncio.run(run())


class TestReplies:
    @pytest.mark.parametrize(
        "reply", [b"", b"\xff", b"[]", b"7", b'{"kvs": 7}', b'{"kvs": ' + NESTED]
    )
    def test_an_odd_reply_is_an_error_of_the_store(self, reply):
        with pytest.raises(StoreError):
            ask(reply, lambda client: client.revisions("/live/"))

    @pytest.mark.parametrize(
        "odd",
        [
            7,
            {},
            {"key": 7},
            kv(b"/r/live/\xff"),
            {"key": "no base64", "value": "", "mod_revision": "7"},
            {"key": "é", "value": "", "mod_revision": "7"},
        ],
    )
    def test_an_item_with_an_odd_key_costs_itself_only(self, odd):
        reply = json.dumps({"kvs": [odd, kv(b"/r/live/roster")]}).encode()
        found = ask(reply, lambda client: client.revisions("/live/"))
        assert found == {"/live/roster": 7}
        assert ask(reply, lambda client: client.list("/live/")) == [b"{}"]

    @pytest.mark.parametrize(
        "fields",
        [
            {"value": "no base64"},
            {"value": "é"},
            {"value": 7},
            {"mod_revision": "new"},
            {"mod_revision": str(10**30)},
            {"mod_revision": None},
        ],
    )
    def test_an_item_that_is_odd_otherwise_is_never_taken_as_missing(self, fields):
        items = [kv(b"/r/notes/a") | fields, kv(b"/r/notes/b")]
        reply = json.dumps({"kvs": items}).encode()
        revisions = ask(reply, lambda client: client.revisions("/notes/"))
        assert revisions["/notes/b"] == 7
        assert revisions["/notes/a"] < 0
        assert ask(reply, lambda client: client.list("/notes/")) == [b"{}"]
        with pytest.raises(StoreError):
            ask(reply, lambda client: client.get("/notes/a"))


async def until(holds):
    """Wait until a condition holds."""
    async with asyncio.timeout(LIMIT_S):
        while not await holds():
            await asyncio.sleep(0.05)


def note(name, base):
    """Return a release note that adds a team."""
    return {"id": name, "base": base, "added": {"teams": [{"name": name}]}}


class TestEntries:
    def test_odd_items_beside_the_others_cost_themselves_only(self):
        async def scenario(site, client):
            values = site.store._values
            for key in (b"/ragwortlug/live/\xff", b"/ragwortlug/notes/\xff"):
                values[key] = (b"\xff", 1)
            values[b"/ragwortlug/notes/odd"] = (NESTED, 1)
            await asyncio.sleep(3.0)
            assert (await client.post("/notes", note("a", 1)))["code"] == (
                Code.NOTE_COMMITTED
            )
            history = await client.get("/notes")
            assert [each["note"]["id"] for each in history] == ["set-up", "a"]
            reply = await client.get("/notes/odd")
            assert reply["code"] == Code.STORE_UNAVAILABLE
            assert (await client.post("/notes", note("odd", 2)))["code"] == (
                Code.STORE_UNAVAILABLE
            )

        with_site(scenario, PLAN)

    @pytest.mark.parametrize("odd", [b"\xff", b'{"version": "new"}', NESTED])
    @pytest.mark.parametrize("name", [b"configuration", b"roster"])
    def test_an_odd_value_in_force_is_like_a_store_that_does_not_answer(
        self, name, odd
    ):
        async def scenario(site, client):
            async def confirmed():
                status = await client.get("/status")
                return status["confirmed"] and status["store_age_s"] < 2.0

            async def unread():
                status = await client.get("/status")
                return status["store_age_s"] > 3.0

            await until(confirmed)
            key = b"/ragwortlug/live/" + name
            good, revision = site.store._values[key]
            site.store._values[key] = (odd, revision + 1)
            await until(unread)
            answer = await client.submit(PLAN.service, [{"run_ms": 1}])
            assert answer.code == Code.OK
            assert (await client.get("/configuration"))["version"] == 1
            site.store._values[key] = (good, revision + 2)
            await until(confirmed)
            assert (await client.post("/notes", note("a", 1)))["code"] == (
                Code.NOTE_COMMITTED
            )

        with_site(scenario, PLAN)
