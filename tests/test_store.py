"""What the platform's store holds is read item by item; an odd one costs itself."""

import asyncio
import base64
import json

import logbook
import pytest

from ragwortlug.platform.store import OrdersWatch, StoreClient
from ragwortlug.telemetry.metrics import Metrics
from ragwortlug.timer import Timer

LIMIT_S = 5.0
DEPTH = 200_000
NESTED = b'{"version": 9, "routes": ' + b"[" * DEPTH + b"]" * DEPTH + b"}"
ROUTE = {"name": "r-1", "host": "a.example", "prefix": "/p/", "service": "carving"}
TABLE = json.dumps({"version": 3, "routes": [ROUTE]}).encode()
ODD_ITEMS = [
    7,
    None,
    ["op/a"],
    {"value": "e30="},
    {"key": 7, "value": "e30="},
    {"key": "op/a", "value": 7},
    {"key": "op/a", "revision": "new"},
    {"key": "op/a", "revision": 10**30},
    {"key": "op/a", "removed": "yes"},
]


def item(key, value=b"{}", revision=1):
    """Return an item as the store gives it."""
    text = base64.b64encode(value).decode()
    return {"key": key, "value": text, "revision": revision}


class ScriptedStore(StoreClient):
    """A client whose calls are answered with prepared pages, then never again."""

    def __init__(self, *pages):
        super().__init__("", Metrics(), Timer())
        self._pages = list(pages)
        self.queries = []

    async def _call(self, method, call, query=None, body=None, wait_ms=0):
        self.queries.append(query)
        if not self._pages:
            await asyncio.get_running_loop().create_future()
        return 200, json.dumps(self._pages.pop(0)).encode()


class TestPages:
    def read(self, *pages):
        """Return the keys that a client reads, and the queries that it makes."""

        async def run():
            store = ScriptedStore(*pages)
            async with asyncio.timeout(LIMIT_S):
                items, _ = await store.items("op/")
            return sorted(items), store.queries

        return asyncio.run(run())

    @pytest.mark.parametrize("odd", ODD_ITEMS)
    def test_an_odd_item_costs_itself_only(self, odd):
        page = {"as_of": 5, "items": [odd, item("op/b"), odd, item("op/c"), odd]}
        assert self.read(page)[0] == ["op/b", "op/c"]

    def test_the_next_page_begins_after_an_odd_item(self):
        odd = {"key": "op/b", "value": 7}
        first = {"as_of": 5, "items": [item("op/a"), odd], "has_more": True}
        keys, queries = self.read(first, {"as_of": 5, "items": [item("op/c")]})
        assert keys == ["op/a", "op/c"]
        assert [each.get("after") for each in queries] == [None, "op/b"]

    @pytest.mark.parametrize("items", [[], [7], [item("op/a")]])
    def test_pages_that_lead_nowhere_end(self, items):
        page = {"as_of": 5, "items": items, "has_more": True}
        keys, _ = self.read(page, page)
        assert len(keys) == len([each for each in items if each != 7])


class FakeJournal:
    """A journal that keeps the names of events."""

    def __init__(self):
        self.names = []

    def write_event(self, name, job_id="", **fields):
        self.names.append(name)


class TestOrdersWatch:
    def watch(self, *pages, on_orders=None, wanted=None):
        """Return the orders that a watch publishes for some pages."""
        orders = []

        async def run():
            store = ScriptedStore(*pages)
            published = asyncio.Event()

            def publish(each):
                orders.append(each)
                if len(orders) >= (wanted or len(pages)):
                    published.set()
                if on_orders is not None:
                    on_orders(each)

            watch = OrdersWatch(store, publish, FakeJournal())
            await watch.start()
            try:
                async with asyncio.timeout(LIMIT_S):
                    await published.wait()
            finally:
                await watch.stop()

        asyncio.run(run())
        return orders

    @pytest.mark.parametrize("odd", ODD_ITEMS)
    def test_an_odd_event_costs_itself_only(self, odd):
        first = {"as_of": 5, "items": [item("op/config", TABLE)]}
        events = [odd, item("op/evacuate/patan"), odd]
        orders = self.watch(first, {"as_of": 7, "events": events})
        assert orders[-1].revision == 7
        assert orders[-1].evacuated == ("patan",)
        assert orders[-1].table.version == 3

    @pytest.mark.parametrize(
        "odd",
        [
            item("op/config", NESTED, 6),
            item("op/config", b"\xff\xfe", 6),
            item("op/config", b'{"version": 1e400}', 6),
            {"key": "op/config", "value": "no base64", "revision": 6},
            {"key": "op/config", "value": "é", "revision": 6},
        ],
    )
    def test_an_odd_configuration_costs_itself_only(self, odd):
        first = {"as_of": 5, "items": [item("op/config", TABLE)]}
        second = {"as_of": 7, "events": [odd, item("op/evacuate/patan")]}
        good = TABLE.replace(b"3", b"4", 1)
        third = {"as_of": 8, "events": [item("op/config", good, 8)]}
        orders = self.watch(first, second, third)
        assert [each.table.version for each in orders] == [3, 3, 4]
        assert [each.evacuated for each in orders] == [(), ("patan",), ("patan",)]

    def test_an_invalid_configuration_is_logged_once(self):
        first = {"as_of": 5, "items": [item("op/config", TABLE)]}
        second = {"as_of": 7, "events": [item("op/config", b"{}", 6)]}
        others = [
            {"as_of": 8 + number, "events": [item(f"op/evacuate/{number}")]}
            for number in range(3)
        ]
        with logbook.TestHandler() as handler:
            self.watch(first, second, *others)
        assert len(handler.records) == 1

    def test_an_evacuation_without_a_name_names_no_data_centre(self):
        items = [item("op/evacuate/"), item("op/evacuate/patan")]
        orders = self.watch({"as_of": 5, "items": items})
        assert orders[-1].evacuated == ("patan",)

    def test_it_goes_on_after_a_receiver_of_its_orders_failed(self):
        def fail_first(orders):
            if orders.revision == 5:
                raise RuntimeError("refused")

        first = {"as_of": 5, "items": [item("op/config", TABLE)]}
        second = {"as_of": 7, "events": [item("op/evacuate/patan")]}
        orders = self.watch(first, second, on_orders=fail_first)
        assert [each.revision for each in orders] == [5, 7]
