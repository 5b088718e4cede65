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
from ragwortlug.platform import wire
from ragwortlug.settings import AgentSettings, EntrySettings, load
from ragwortlug.telemetry.timeline import read_timeline

DEPTH = 200_000
NESTED = b"[" * DEPTH + b"]" * DEPTH


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
            (wire.clock_of, "other", {"clock_ms": 1}),
        ],
    )
    def test_answers_of_the_platform(self, decode, name, fields):
        with pytest.raises(msgspec.DecodeError):
            decode(nested_in(name, **fields))

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

    def test_a_payload_on_the_command_line(self, capsys):
        arguments = ["submit", "--team", "kitchen", "--service", "carving"]
        assert main([*arguments, NESTED.decode()]) == 3
        assert f"[{int(Code.BAD_JSON)}]" in capsys.readouterr().err
