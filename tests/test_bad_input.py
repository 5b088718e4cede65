"""Malformed input gets its numbered error and harms nothing else."""

import asyncio
import json
import time

import aiohttp
import msgspec
import pytest
import zmq
import zmq.asyncio

from ragwortlug.codes import Code, Verdict
from ragwortlug.envelope import Envelope, Peer, Rejected
from ragwortlug.lease_settings import is_address
from ragwortlug.messages import CODEC, Load, Poll
from ragwortlug.model import new_job_id
from ragwortlug.view.roster import Member
from ragwortlug.view.view import Versions
from standins.site import SitePlan
from tests.test_path import starts, with_site

PLAN = SitePlan(
    port=22_500,
    data_centres=("patan",),
    service="mould-carving",
    teams=("gyanbhandar", "blue-mahoe"),
    entries=1,
    agents=2,
    slots=4,
)
HOUR_MS = 3_600_000
ANSWER_LIMIT_S = 5.0
STRANGER = Peer("tcp://127.0.0.1:1", "stranger")
# A message with one element more than it should have, which is deeply nested.
NESTED = b"\x94" + CODEC.encode(Envelope(STRANGER, "", Load(1)))[1:] + b"\x91" * 200_000


def submission(**fields):
    """Return the body of a good submission with some fields replaced."""
    body = {"team": PLAN.teams[0], "service": PLAN.service, "tasks": [{}]}
    body.update(fields)
    return {name: value for name, value in body.items() if value is not None}


def born(offset_ms):
    """Return an id born so long from now."""
    return new_job_id(int(time.time() * 1000) + offset_ms)


BODIES = {
    "no JSON": (b"{", Code.BAD_JSON),
    "no text": (b"\xff\xfe", Code.BAD_JSON),
    "deeply nested": (b'{"tasks":[{"payload":' + b"[" * 200_000, Code.BAD_JSON),
    "a payload of 900 levels": (
        b'{"team":"gyanbhandar","service":"mould-carving","tasks":[{"payload":'
        + (b"[" * 900 + b"]" * 900 + b"}]}"),
        Code.BAD_FIELD,
    ),
    "a number over 64 bits in a payload": (
        b'{"team":"gyanbhandar","service":"mould-carving","tasks":[{"payload":'
        + (b'{"a":[1' + b"0" * 30 + b"]}}]}"),
        Code.BAD_FIELD,
    ),
    "a number over 64 bits": (
        b'{"team":"gyanbhandar","service":"mould-carving","tasks":[{"run_ms":1'
        + (b"0" * 30 + b"}]}"),
        Code.BAD_FIELD,
    ),
    "a list": (b"[]", Code.BAD_FIELD),
    "a wrong type": (submission(tasks="many"), Code.BAD_FIELD),
    "a missing field": (submission(team=None), Code.BAD_FIELD),
    "a negative size": (submission(tasks=[{"memory_mb": -1}]), Code.BAD_FIELD),
    "no task": (submission(tasks=[]), Code.NO_TASKS),
    "151 tasks": (submission(tasks=[{}] * 151), Code.TOO_MANY_TASKS),
    "an oversize body": (submission(comment="x" * (2 << 20)), Code.BODY_TOO_LARGE),
    "an id that is none": (submission(id="job-1"), Code.BAD_JOB_ID),
    "an unknown service": (submission(service="gilding"), Code.UNKNOWN_SERVICE),
    "an unknown team": (submission(team="nobody"), Code.UNKNOWN_TEAM),
    "a future birth": (submission(id=born(HOUR_MS)), Code.BIRTH_IN_FUTURE),
    "an old birth": (submission(id=born(-HOUR_MS)), Code.ID_TOO_OLD),
    "an impossible size": (
        submission(tasks=[{"memory_mb": 1 << 30}]),
        Code.CAN_NEVER_RUN,
    ),
}


async def post(body, path="/jobs"):
    """Post a body to the entry; return the status and the decoded reply."""
    data = body if isinstance(body, bytes) else msgspec.json.encode(body)
    async with (
        aiohttp.ClientSession() as session,
        session.post(PLAN.entry_urls()[0] + path, data=data) as response,
    ):
        return response.status, msgspec.json.decode(await response.read())


async def assert_serves(client):
    """Fail unless a good job still runs."""
    answer = await client.submit(PLAN.service, [{"run_ms": 1}])
    assert answer.code == Code.OK


class TestSubmissions:
    def test_each_gets_its_number_and_harms_nothing(self):
        async def scenario(site, client):
            for what, (body, code) in BODIES.items():
                status, reply = await post(body)
                assert reply["code"] == code, (what, reply)
                assert status == code.http_status, what
                assert reply["verdict"] == code.verdict.value, what
            assert not starts(site)
            await assert_serves(client)

        with_site(scenario, PLAN)

    def test_wrong_type_names_the_field(self):
        async def scenario(site, client):
            _, reply = await post(submission(tasks=[{"run_ms": "long"}]))
            assert "$.tasks[0].run_ms" in reply["detail"]
            assert "Expected `int`, got `str`" in reply["detail"]

        with_site(scenario, PLAN)


class TestTargets:
    """What a target says is checked like what a caller says."""

    @pytest.mark.parametrize(
        "fields",
        [
            {"url": "garbage"},
            {"url": "http://127.0.0.1:99999"},
            {"url": "tcp://127.0.0.1:80"},
            {"ttl_ms": 10**30},
            {"capacity": {"services": ["mould-carving"], "slots": 10**30}},
            {"usage": {"cpus": -1}},
        ],
    )
    def test_an_odd_announcement_gets_its_number(self, fields):
        good = {
            "url": "http://127.0.0.1:80",
            "instance": "t",
            "capacity": {"services": ["mould-carving"], "slots": 1},
        }

        async def scenario(site, client):
            url = PLAN.agent_settings(0).http.replace("tcp://", "http://") + "/target"
            data = json.dumps(good | fields).encode()
            async with (
                aiohttp.ClientSession() as session,
                session.put(url, data=data) as response,
            ):
                assert response.status == 400
                body = msgspec.json.decode(await response.read())
                assert body["code"] == Code.BAD_FIELD
            await assert_serves(client)

        with_site(scenario, PLAN)

    @pytest.mark.parametrize(
        "reply",
        [
            b"",
            b"\xff",
            b"7",
            b"[]",
            b'{"result":' + b"[" * 200_000,
            b'{"result":' + b"[" * 900 + b"]" * 900 + b"}",
            b'{"result":1' + b"0" * 30 + b"}",
        ],
    )
    def test_an_odd_reply_costs_its_job_only(self, reply):
        async def scenario(site, client):
            for target in site.targets:
                target.reply_body = reply
            async with asyncio.timeout(ANSWER_LIMIT_S):
                answer = await client.submit(PLAN.service, [{"run_ms": 1}])
            assert answer.verdict in (Verdict.FAILED, Verdict.UNKNOWN)
            assert set(starts(site).values()) == {1}
            for target in site.targets:
                target.reply_body = None
            await assert_serves(client)

        with_site(scenario, PLAN)


class TestForeignIds:
    def test_another_teams_id_is_neither_run_nor_shown(self):
        async def scenario(site, client):
            answer = await client.submit(PLAN.service, [{"echo": "secret"}])
            body = submission(
                id=answer.id, team="blue-mahoe", tasks=[{"payload": {"echo": "secret"}}]
            )
            _, reply = await post(body)
            assert reply["code"] == Code.FOREIGN_ID
            assert "secret" not in str(reply)
            path = f"/jobs/{answer.id}?team=blue-mahoe"
            fetched = await client.get(path)
            assert fetched["code"] == Code.FOREIGN_ID
            assert set(starts(site).values()) == {1}

        with_site(scenario, PLAN)

    def test_same_id_with_another_body_is_refused(self):
        async def scenario(site, client):
            answer = await client.submit(PLAN.service, [{"echo": 1}])
            other = await client.submit(PLAN.service, [{"echo": 2}], answer.id)
            assert other.code == Code.ID_REUSED
            again = await client.submit(PLAN.service, [{"echo": 1}], answer.id)
            assert again == answer
            assert starts(site) == {f"{answer.id}/0": 1}

        with_site(scenario, PLAN)


class TestRecordedRefusals:
    def test_a_refused_id_stays_refused(self):
        async def scenario(site, client):
            job_id = new_job_id()
            _, first = await post(submission(id=job_id, service="gilding"))
            assert first["code"] == Code.UNKNOWN_SERVICE
            note = {
                "id": "gilding",
                "base": 1,
                "added": {"services": [{"name": "gilding", "data_centres": ["patan"]}]},
            }
            assert (await client.post("/notes", note))["code"] == Code.NOTE_COMMITTED
            _, second = await post(submission(id=job_id, service="gilding"))
            assert second["code"] == Code.UNKNOWN_SERVICE
            assert not starts(site)

        with_site(scenario, PLAN)


class TestNotes:
    @pytest.mark.parametrize("path", ["/notes", "/notes/check"])
    @pytest.mark.parametrize(
        "added",
        [
            {"teams": [{"name": "a", "quota": 10**30}]},
            {"services": [{"name": "a", "data_centres": [], "lease_ms": 10**400}]},
        ],
    )
    def test_a_number_out_of_range_gets_its_number(self, path, added):
        async def scenario(site, client):
            note = {"id": "wrong", "base": 1, "added": added}
            _, reply = await post(json.dumps(note).encode(), path)
            assert reply["code"] == Code.BAD_FIELD
            assert (await client.get("/configuration"))["version"] == 1

        with_site(scenario, PLAN)

    @pytest.mark.parametrize("version", ["", "-1", "x", "9" * 5000])
    def test_an_odd_version_gets_its_number(self, version):
        async def scenario(site, client):
            reply = await client.get(f"/configuration/in-force?version={version}")
            assert reply["code"] == Code.BAD_FIELD

        with_site(scenario, PLAN)

    @pytest.mark.parametrize("path", ["/notes", "/notes/check"])
    def test_refused_note_says_every_reason(self, path):
        async def scenario(site, client):
            note = {
                "id": "wrong",
                "base": 1,
                "added": {
                    "teams": [{"name": "gyanbhandar"}],
                    "services": [{"name": "gilding", "data_centres": ["nowhere"]}],
                },
                "withdrawn": {"rules": ["none"]},
            }
            reply = await client.post(path, note)
            assert reply["code"] == Code.NOTE_REFUSED
            assert len(reply["reasons"]) == 3
            assert (await client.get("/configuration"))["version"] == 1

        with_site(scenario, PLAN)

    def test_stale_base_names_the_note_that_came_first(self):
        async def scenario(site, client):
            reply = await client.post("/notes", {"id": "late", "base": 0})
            assert reply["code"] == Code.NOTE_CONFLICT
            assert "set-up" in reply["reasons"][0]

        with_site(scenario, PLAN)


class TestInnerPorts:
    def test_foreign_bytes_get_a_numbered_error(self):
        async def scenario(site, client):
            context = zmq.asyncio.Context()
            for settings in (PLAN.entry_settings(0), PLAN.agent_settings(0)):
                socket = context.socket(zmq.DEALER)
                socket.connect(settings.address)
                other = CODEC.encode(Envelope(STRANGER, "gone", Load(1)))
                nonsense = (b"\x00\x01nonsense", b"", b"\x93\x01", NESTED)
                for frames in ([b"one", b"two"], *([each] for each in nonsense)):
                    await socket.send_multipart(frames)
                    reply = await asyncio.wait_for(socket.recv(), 2)
                    body = CODEC.decode(reply).body
                    assert isinstance(body, Rejected)
                    assert body.code == Code.BAD_MESSAGE
                await socket.send(other)
                socket.close(linger=0)
            context.term()
            await assert_serves(client)

        with_site(scenario, PLAN)

    @pytest.mark.parametrize("address", ["garbage", "tcp://127.0.0.1:99999"])
    def test_a_member_at_an_invalid_address_does_not_join(self, address):
        async def scenario(site, client):
            context = zmq.asyncio.Context()
            socket = context.socket(zmq.DEALER)
            socket.connect(PLAN.entry_settings(0).address)
            for name, given in (("odd", address), ("good", STRANGER.address)):
                member = Member(f"{name}/0", "agent", given, "patan")
                poll = Poll(1, member, Versions())
                await socket.send(CODEC.encode(Envelope(STRANGER, "", poll)))
            addresses = {}
            try:
                async with asyncio.timeout(ANSWER_LIMIT_S):
                    while "good/0" not in addresses:
                        status = await client.get("/status")
                        members = status["roster"]["members"]
                        addresses = {each["name"]: each["address"] for each in members}
                        await asyncio.sleep(0.1)
            finally:
                socket.close(linger=0)
                context.term()
            assert all(is_address(each) for each in addresses.values())

        with_site(scenario, PLAN)
