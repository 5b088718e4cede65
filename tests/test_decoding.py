"""Bytes that can't be decoded raise the error that their reader expects."""

import json

import msgspec
import pytest

from ragwortlug import lease_messages, messages
from ragwortlug.cli import main
from ragwortlug.codes import Code
from ragwortlug.decoding import JsonDecoder, MessagePackDecoder
from ragwortlug.envelope import Envelope, Peer, Rejected
from ragwortlug.errors import MessageError, RequestError, SettingsError
from ragwortlug.lease_settings import is_address, parse_address
from ragwortlug.model import Announcement
from ragwortlug.platform import wire
from ragwortlug.restartable_model import Queue
from ragwortlug.settings import AgentSettings, EntrySettings, load
from ragwortlug.telemetry.timeline import format_timeline, read_timeline

DEPTH = 200_000
NESTED = b"[" * DEPTH + b"]" * DEPTH
HUGE = [10**30, 10**400, 2**63]
REPORT = {
    "service": "carving",
    "address": "10.0.0.9:7700",
    "zone": "patan",
    "state": "ready",
    "capacity": {"cpu": 16_000, "mem_mb": 32_768},
    "clock_ms": 482_113,
    "sequence": 4,
    "born": 1_700_000_000_000,
}
STEP = {"count": 1, "cpu": 500}
ROUTE = {"name": "r-1", "host": "a.example", "prefix": "/p/", "service": "carving"}
ANNOUNCEMENT = {
    "url": "http://127.0.0.1:7700",
    "instance": "t-1",
    "capacity": {"services": ["carving"], "slots": 4},
}
ENTRY = {
    "address": "tcp://127.0.0.1:7720",
    "http": "tcp://127.0.0.1:7721",
    "data_centre": "patan",
    "store": "http://127.0.0.1:2379",
}


def nested_in(name, **fields):
    """Return an object with deeply nested lists under a name."""
    start = json.dumps(fields).encode()[:-1] + (b", " if fields else b"")
    return start + b'"' + name.encode() + b'": ' + NESTED + b"}"


class TestDeepNesting:
    @pytest.mark.parametrize("decoder", [JsonDecoder(), JsonDecoder(dict)])
    def test_json(self, decoder):
        with pytest.raises(msgspec.DecodeError):
            decoder.decode(nested_in("a"))

    def test_message_pack(self):
        with pytest.raises(msgspec.DecodeError):
            MessagePackDecoder().decode(b"\x91" * DEPTH)

    @pytest.mark.parametrize("name", ["steps", "other"])
    def test_a_job(self, name):
        with pytest.raises(RequestError) as raised:
            wire.job_of("00c0ffee00c0ffee", nested_in(name, spec=""))
        assert raised.value.code.http_status == 400

    @pytest.mark.parametrize("name", ["labels", "other"])
    def test_a_status_report(self, name):
        with pytest.raises(RequestError) as raised:
            wire.report_of("i-1", nested_in(name, service="carving"))
        assert raised.value.code.http_status == 400

    def test_a_stored_report(self):
        with pytest.raises(RequestError):
            wire.recalled_of(nested_in("report", id="i-1"))

    @pytest.mark.parametrize(
        ("decode", "name", "fields"),
        [
            (wire.table_of, "routes", {"version": 1}),
            (wire.table_of, "other", {"version": 1}),
            (wire.items_of, "items", {"as_of": 1}),
            (wire.item_of, "value", {"key": "op/config"}),
            (wire.lease_of, "other", {"lease": 1}),
            (wire.snapshot_of, "running", {"clock_ms": 1}),
        ],
    )
    def test_answers_of_the_platform(self, decode, name, fields):
        with pytest.raises(msgspec.DecodeError):
            decode(nested_in(name, **fields))

    def test_a_workers_answer_to_a_command(self):
        assert wire.clock_of(nested_in("other", clock_ms=1)) == (None, "")

    @pytest.mark.parametrize("codec", [lease_messages.CODEC, messages.CODEC])
    def test_a_message_with_an_element_too_many(self, codec):
        message = Envelope(Peer("tcp://127.0.0.1:1"), "", Rejected(0, ""))
        with pytest.raises(MessageError):
            codec.decode(b"\x94" + codec.encode(message)[1:] + b"\x91" * DEPTH)

    @pytest.mark.parametrize("kind", [EntrySettings, AgentSettings])
    def test_settings(self, kind, tmp_path):
        path = tmp_path / "settings.json"
        path.write_bytes(nested_in("view"))
        with pytest.raises(SettingsError):
            load(path, kind)

    def test_a_line_of_a_journal(self):
        good = '{"job": "a", "event": "job_accepted"}'
        lines = [good, nested_in("fields", job="a").decode(), good]
        timeline = read_timeline("a", [lines])
        assert (len(timeline.lines), timeline.unreadable) == (2, 1)

    @pytest.mark.parametrize(
        "odd",
        [
            "[]",
            '{"job": "a", "time": "now"}',
            '{"job": "a", "orders": 7}',
            '{"job": "a", "orders": [7]}',
        ],
    )
    def test_a_line_that_is_no_event(self, odd):
        good = '{"job": "a", "event": "job_accepted", "time": 1.0}'
        timeline = read_timeline("a", [[good, odd, good]])
        assert len(format_timeline(timeline)) == 2
        assert timeline.unreadable == 1

    def test_a_payload_on_the_command_line(self, capsys):
        arguments = ["submit", "--team", "kitchen", "--service", "carving"]
        assert main([*arguments, NESTED.decode()]) == 3
        assert f"[{int(Code.BAD_JSON)}]" in capsys.readouterr().err


def encoded(value):
    """Return a value as JSON, whatever its numbers."""
    return json.dumps(value).encode()


class TestNumbers:
    @pytest.mark.parametrize("number", [*HUGE, -1])
    @pytest.mark.parametrize("name", ["born", "clock_ms", "sequence", "remaining_ms"])
    def test_a_status_report_out_of_range(self, name, number):
        with pytest.raises(RequestError) as raised:
            wire.report_of("i-1", encoded(REPORT | {name: number}))
        assert raised.value.code is Code.BAD_FIELD

    def test_a_status_report_born_in_the_far_future(self):
        with pytest.raises(RequestError):
            wire.report_of("i-1", encoded(REPORT | {"born": 10**15}))

    @pytest.mark.parametrize("number", HUGE)
    @pytest.mark.parametrize("name", ["cpu", "mem_mb", "gpu"])
    def test_a_capacity_out_of_range(self, name, number):
        with pytest.raises(RequestError):
            wire.report_of("i-1", encoded(REPORT | {"capacity": {name: number}}))

    @pytest.mark.parametrize("number", HUGE)
    @pytest.mark.parametrize("name", ["count", "cpu", "mem_mb", "gpu", "estimate_ms"])
    def test_a_step_out_of_range(self, name, number):
        job = {"spec": "", "best_effort": True, "steps": [STEP | {name: number}]}
        with pytest.raises(RequestError) as raised:
            wire.job_of("00c0ffee00c0ffee", encoded(job))
        assert raised.value.code is Code.BAD_FIELD

    @pytest.mark.parametrize(
        "fields",
        [
            *({"slo_ms": number} for number in (*HUGE, -1)),
            *({"timeout_ms": number} for number in (*HUGE, -1)),
            *({"priority": number} for number in HUGE),
            *({"max_attempts": number} for number in HUGE),
            {"stretch": -1.0},
            {"stretch": 1e300},
        ],
    )
    def test_an_odd_route_costs_itself_only(self, fields):
        routes = [ROUTE | fields, ROUTE | {"name": "r-2"}]
        table = wire.table_of(encoded({"version": 3, "routes": routes}))
        assert [queue.name for queue in table.queues] == ["r-2"]

    @pytest.mark.parametrize("number", [10**30, 10**400])
    @pytest.mark.parametrize("name", ["as_of", "lease", "version", "revision"])
    def test_counts_of_the_store_out_of_range(self, name, number):
        fields = {"as_of": 1, "key": "op/config", "lease": 1, "version": 1}
        decode = {
            "as_of": wire.items_of,
            "lease": wire.lease_of,
            "version": wire.table_of,
            "revision": wire.item_of,
        }[name]
        with pytest.raises(msgspec.DecodeError):
            decode(encoded(fields | {name: number}))

    @pytest.mark.parametrize("number", [float("nan"), float("inf"), -1.0])
    def test_a_factor_that_is_none(self, number):
        queue = Queue("r-1", "a.example", "/p/", "carving", stretch=number)
        with pytest.raises(msgspec.DecodeError):
            MessagePackDecoder(Queue).decode(msgspec.msgpack.encode(queue))

    @pytest.mark.parametrize("number", HUGE)
    @pytest.mark.parametrize("name", ["slots", "connections", "cpus", "memory_mb"])
    def test_a_targets_capacity_out_of_range(self, name, number):
        capacity = ANNOUNCEMENT["capacity"] | {name: number}
        with pytest.raises(msgspec.DecodeError):
            JsonDecoder(Announcement).decode(
                encoded(ANNOUNCEMENT | {"capacity": capacity})
            )

    @pytest.mark.parametrize(
        "fields",
        [
            {"body_limit_kb": 10**30},
            {"drain_s": 1e300},
            {"view": {"poll_s": 1e300}},
            {"view": {"skew_ms": 10**30}},
        ],
    )
    def test_settings_out_of_range(self, fields, tmp_path):
        path = tmp_path / "settings.json"
        path.write_bytes(encoded(ENTRY | fields))
        with pytest.raises(SettingsError):
            load(path, EntrySettings)


class TestRowsOfWorkers:
    """An invalid row of a worker's list is skipped; the others hold."""

    GOOD = ["00c0ffee00c0ffee.0.1.17", 2, "", 41]
    END = [58, "00c0ffee00c0ffee.0.1.9", 1, "done", ""]

    @pytest.mark.parametrize(
        "row",
        [
            7,
            None,
            [],
            {"task": "00c0ffee00c0ffee.0.1.17"},
            ["00c0ffee00c0ffee", 2, "", 41],
            ["00c0ffee00c0ffee.0.1.-1", 2, "", 41],
            ["00c0ffee00c0ffee.0.1.17", 10**30, "", 41],
        ],
    )
    def test_of_running(self, row):
        raw = encoded({"clock_ms": 1, "running": [row, self.GOOD]})
        snapshot = wire.snapshot_of(raw)
        assert [each.attempt for each in snapshot.running] == [2]
        assert snapshot.running[0].completed_fraction == 0.41

    @pytest.mark.parametrize("row", [7, [], [10**30, *END[1:]], ["x", *END[1:]]])
    def test_of_ends(self, row):
        snapshot = wire.snapshot_of(
            encoded({"clock_ms": 1, "finished": [row, self.END]})
        )
        assert [each.number for each in snapshot.ended] == [58]

    @pytest.mark.parametrize("percent", [10**310, "nan", -1, 101, None, []])
    def test_a_run_with_an_odd_percentage_is_listed(self, percent):
        row = [*self.GOOD[:3], percent]
        snapshot = wire.snapshot_of(encoded({"clock_ms": 1, "running": [row]}))
        assert snapshot.running[0].completed_fraction == 0.0


ODD_ADDRESSES = [
    "",
    "garbage",
    "10.0.0.9",
    "10.0.0.9:",
    "10.0.0.9:0",
    "10.0.0.9:65536",
    "10.0.0.9:99999",
    "10.0.0.9:-1",
    "10.0.0.9:7700\n",
    "10.0.0.9:7700/path",
    "10.0.0:7700",
    "10.0.0.999:7700",
    "host.example:7700",
    "*:7700",
    "10.0.0.9:\u0667\u0667",
]


class TestAddresses:
    @pytest.mark.parametrize("text", ODD_ADDRESSES)
    def test_an_odd_one_is_none(self, text):
        with pytest.raises(ValueError, match=r"tcp://IP:PORT|[Oo]ctet"):
            parse_address(f"tcp://{text}")
        assert not is_address(f"tcp://{text}")

    def test_a_good_one_is_one(self):
        assert parse_address("tcp://10.0.0.9:65535") == ("10.0.0.9", 65_535)
        assert is_address("tcp://10.0.0.9:65535")

    @pytest.mark.parametrize("text", ODD_ADDRESSES)
    def test_of_a_worker(self, text):
        with pytest.raises(RequestError) as raised:
            wire.report_of("i-1", encoded(REPORT | {"address": text}))
        assert raised.value.code is Code.BAD_FIELD

    @pytest.mark.parametrize("worker_id", ["", "i-1\n", "i 1", "i-\u00e9", "i" * 201])
    def test_of_a_worker_with_an_odd_id(self, worker_id):
        with pytest.raises(RequestError) as raised:
            wire.report_of(worker_id, encoded(REPORT))
        assert raised.value.code is Code.BAD_FIELD
