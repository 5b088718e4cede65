"""The reference pages, the settings files and the command line."""

import json
from pathlib import Path

import msgspec
import pytest

from ragwortlug.cli import EXIT_NOT_RUN, EXIT_SETTINGS, EXIT_UNREACHABLE, main
from ragwortlug.codes import Code
from ragwortlug.errors import SettingsError
from ragwortlug.reference import PAGES
from ragwortlug.settings import AgentSettings, EntrySettings, load
from standins.deployments import DEPLOYMENTS, write_examples

ROOT = Path(__file__).parent.parent
GOOD = {
    "address": "tcp://127.0.0.1:8100",
    "http": "tcp://127.0.0.1:8101",
    "data_centre": "patan",
    "store": "http://127.0.0.1:8090",
}


class TestPages:
    @pytest.mark.parametrize(
        ("page", "file"), [("codes", "result-codes.md"), ("settings", "settings.md")]
    )
    def test_page_says_what_the_code_says(self, page, file):
        assert (ROOT / "docs" / file).read_text() == PAGES[page]()

    def test_codes_are_unique_and_every_refusal_has_a_status(self):
        assert len({int(each) for each in Code}) == len(Code)
        assert all(100 <= each.http_status < 600 for each in Code)


class TestSettings:
    @pytest.mark.parametrize(
        ("change", "names"),
        [
            ({"store": None}, ["store"]),
            ({"view": {"poll_s": "soon"}}, ["$.view.poll_s", "str", "float"]),
            ({"view": {"poll_s": 0}}, ["$.view.poll_s", "> 0"]),
            ({"view": {"pol_s": 1}}, ["pol_s", "poll_s", "$.view"]),
            ({"address": "localhost:1"}, ["localhost:1", "$.address", "tcp://IP:PORT"]),
            ({"http": "tcp://1.2.3.4:99999"}, ["99999", "$.http"]),
        ],
    )
    def test_bad_file_names_the_field_and_what_is_wanted(self, tmp_path, change, names):
        body = {**GOOD, **change}
        body = {name: each for name, each in body.items() if each is not None}
        file = tmp_path / "entry.json"
        file.write_text(json.dumps(body))
        with pytest.raises(SettingsError) as caught:
            load(file, EntrySettings)
        assert all(name in str(caught.value) for name in [*names, "entry.json"])

    def test_examples_are_those_of_the_deployments(self, tmp_path):
        write_examples(tmp_path)
        for name in DEPLOYMENTS:
            for file in (tmp_path / name).iterdir():
                example = ROOT / "examples" / name / file.name
                assert example.read_text() == file.read_text()
                kind = EntrySettings if "entry" in file.name else AgentSettings
                loaded = load(example, kind)
                assert msgspec.json.decode(msgspec.json.encode(loaded), type=kind)


class TestCommandLine:
    def test_exit_codes(self, tmp_path, capsys):
        missing = str(tmp_path / "none.json")
        assert main(["entry", "--settings", missing]) == EXIT_SETTINGS
        unreached = ["status", "--entry", "http://127.0.0.1:1"]
        assert main(unreached) == EXIT_UNREACHABLE
        note = tmp_path / "note.json"
        note.write_text("{")
        assert main(["note", "check", str(note)]) == EXIT_NOT_RUN
        errors = capsys.readouterr().err
        assert "[510]" in errors
        assert f"[{int(Code.BAD_JSON)}]" in errors

    def test_help_shows_examples_and_exit_codes(self, capsys, snapshot):
        with pytest.raises(SystemExit):
            main(["--help"])
        shown = capsys.readouterr().out
        assert shown.partition("examples:")[2] == snapshot
