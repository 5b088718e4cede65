"""Every command of the command line, against a site with real sockets."""

import asyncio
import json

import pytest

from ragwortlug.cli import EXIT_FAILED, EXIT_NOT_RUN, EXIT_OK, main
from ragwortlug.codes import Code
from standins.site import SitePlan
from tests.test_path import with_site

PLAN = SitePlan(
    port=23_400,
    data_centres=("patan", "kirtipur"),
    service="mould-carving",
    teams=("gyanbhandar",),
    entries=1,
    agents=2,
    slots=2,
)
ENTRY = ("--entry", PLAN.entry_urls()[0])
TEAM = ("--team", PLAN.teams[0])
NOTE = {"id": "more", "base": 1, "added": {"teams": [{"name": "kitchen"}]}}


@pytest.fixture
def command(capsys):
    """Return a function that runs a command beside the site; it returns its output."""

    async def run(*arguments, expected=EXIT_OK):
        capsys.readouterr()
        code = await asyncio.to_thread(main, list(arguments))
        shown = capsys.readouterr()
        assert code == expected, shown
        return shown.out

    return run


class TestCallers:
    def test_submit_fetch_cancel_and_trace(self, command):
        async def scenario(site, client):
            job = ("--service", PLAN.service, '{"echo": 7}', '{"run_ms": 1}')
            shown = await command("submit", *ENTRY, *TEAM, "--json", "--trace", *job)
            answer = json.loads(shown)
            assert answer["code"] == Code.OK
            assert answer["tasks"][0]["result"] == 7
            job_id = answer["id"]
            assert "[0] done" in await command("submit", *ENTRY, *TEAM, *job)
            for name in ("fetch", "cancel"):
                shown = await command(name, *ENTRY, *TEAM, job_id)
                assert shown.startswith(f"{job_id}: [0] done")
            shown = await command("fetch", *ENTRY, *TEAM, "--no-wait", "--json", job_id)
            assert json.loads(shown) == answer
            assert " entry (" in await command("trace", *ENTRY, job_id)
            spans = json.loads(await command("trace", *ENTRY, "--json", job_id))
            assert {"entry", "target"} <= {each["name"] for each in spans}

        with_site(scenario, PLAN)


class TestOperators:
    def test_notes_and_status(self, command, tmp_path):
        path = tmp_path / "note.json"
        path.write_text(json.dumps(NOTE))

        async def scenario(site, client):
            assert "[0]" in await command("note", "check", *ENTRY, str(path))
            shown = await command("note", "submit", *ENTRY, str(path))
            assert "Version 2 holds" in shown
            shown = await command("note", "wait", *ENTRY, "2", "--json")
            assert json.loads(shown)["in_force"]
            shown = json.loads(await command("note", "show", *ENTRY, "more"))
            assert shown["version"] == 2
            shown = json.loads(await command("note", "history", *ENTRY))
            assert [each["note"]["id"] for each in shown] == ["set-up", "more"]
            await command("note", "show", *ENTRY, "none", expected=EXIT_NOT_RUN)
            assert json.loads(await command("status", *ENTRY))["configuration"] == 2

        with_site(scenario, PLAN)

    def test_drain_and_restore(self, command):
        async def scenario(site, client):
            for name, in_service in (("drain", False), ("restore", True)):
                await command(name, *ENTRY, "patan")
                found = (await client.get("/configuration"))["data_centres"]
                states = {each["name"]: each["in_service"] for each in found}
                assert states == {"patan": in_service, "kirtipur": True}

        with_site(scenario, PLAN)


class TestExplain:
    def test_journals(self, command, tmp_path):
        path = tmp_path / "journal"
        path.write_text('{"job": "a", "event": "job_accepted", "time": 1.0}\n[]\n')

        async def scenario():
            assert "job_accepted" in await command("explain", "a", str(path))
            await command("explain", "b", str(path), expected=EXIT_FAILED)

        asyncio.run(scenario())

    def test_a_missing_journal(self, tmp_path, capsys):
        missing = str(tmp_path / "none")
        assert main(["explain", "a", missing]) == EXIT_NOT_RUN
        assert f"[{int(Code.BAD_FIELD)}] {missing}" in capsys.readouterr().err
