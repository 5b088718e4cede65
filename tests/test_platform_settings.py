"""The platform's settings file: odd values are refused on start, with a reason."""

import faulthandler

import pytest

from ragwortlug.codes import Code
from ragwortlug.errors import SettingsError
from ragwortlug.jobs.job_owners import JobOwners
from ragwortlug.platform.program import EXIT_SETTINGS, PROGRAMS, main
from ragwortlug.platform.settings import agent_settings, entry_settings, read
from standins.platform_settings import INNER_PORT, settings_text

CLOCK_DRIFT = 0.02
# Three announcements, each sent with the first tick after 200 ms.
ANNOUNCEMENTS_MS = 3 * 250
GOOD = settings_text(
    "127.0.0.1", "127.0.0.1", "patan", ["127.0.0.2", "127.0.0.3"], "127.0.0.9:8100"
)


@pytest.fixture(autouse=True)
def _no_fault_handler(monkeypatch):
    """Don't write to the standard error that the tests capture."""
    monkeypatch.setattr(faulthandler, "enable", lambda: None)


@pytest.fixture
def file_with(tmp_path):
    """Return a function that writes the good settings with one text replaced."""

    def write(old, new):
        assert old in GOOD
        path = tmp_path / "local.toml"
        path.write_bytes(GOOD.replace(old, new).encode(errors="surrogateescape"))
        return path

    return write


class TestOddSettings:
    def test_good_ones_are_taken(self, file_with):
        settings = read(file_with("patan", "patan"))
        assert entry_settings(settings).entries == (
            f"tcp://127.0.0.2:{INNER_PORT}",
            f"tcp://127.0.0.3:{INNER_PORT}",
        )
        assert agent_settings(settings).store == "http://127.0.0.9:8100"

    @pytest.mark.parametrize(
        ("old", "new"),
        [
            ('zone = "patan"', f"zone = {'[' * 2000}"),
            ('zone = "patan"', 'zone = "\udcff"'),
            ("grace_s = 6", "grace_s = nan"),
            ("grace_s = 6", "grace_s = inf"),
            ("grace_s = 6", "grace_s = -1"),
            ("retransmit_ms = 1300", "retransmit_ms = inf"),
            ("retransmit_ms = 1300", "retransmit_ms = 1" + "0" * 30),
            ("max_hold_ms = 1000", "max_hold_ms = 0"),
            (f"[{INNER_PORT}, {INNER_PORT}]", "[99999, 99999]"),
            (f"[{INNER_PORT}, {INNER_PORT}]", "[]"),
            (f"[{INNER_PORT}, {INNER_PORT}]", "{}"),
            ('ip = "127.0.0.1"', 'ip = "garbage"'),
            ('"127.0.0.9:8100"', '"127.0.0.9:99999"'),
        ],
    )
    def test_odd_ones_are_refused(self, file_with, capsys, old, new):
        path = file_with(old, new)
        with pytest.raises(SettingsError):
            read(path)
        assert main(["entry", "--settings", str(path)]) == EXIT_SETTINGS
        assert str(path) in capsys.readouterr().err

    @pytest.mark.parametrize("role", ["entry", "agent"])
    @pytest.mark.parametrize("retry_ms", [1, 899, 999])
    def test_callers_that_retry_before_runs_have_ended_are_refused(
        self, file_with, capsys, role, retry_ms
    ):
        path = file_with("retransmit_ms = 1300", f"retransmit_ms = {retry_ms}")
        with pytest.raises(SettingsError, match="retransmit_ms"):
            PROGRAMS[role][0](read(path))
        assert main([role, "--settings", str(path)]) == EXIT_SETTINGS
        shown = capsys.readouterr().err
        assert f"[{int(Code.BAD_SETTINGS)}] bounds.retransmit_ms: {retry_ms}" in shown

    @pytest.mark.parametrize("retry_ms", [1000, 1300, 5000])
    def test_times_that_allow_one_run_are_taken(self, file_with, retry_ms):
        path = file_with("retransmit_ms = 1300", f"retransmit_ms = {retry_ms}")
        times = entry_settings(read(path)).restart
        assert times.permission_ms * (1 + CLOCK_DRIFT) <= times.orphan_ms
        assert times.orphan_ms <= times.caller_retry_ms == retry_ms
        assert times.announced_age_ms + ANNOUNCEMENTS_MS <= retry_ms
        owners = JobOwners(times)
        assert owners.isolated_after_s < owners.silence_s

    @pytest.mark.parametrize(
        ("role", "name"), [("entry", "front"), ("entry", "ready"), ("agent", "control")]
    )
    @pytest.mark.parametrize("address", ['"garbage"', '"127.0.0.1:0"', "7", "[]"])
    def test_odd_addresses_of_servers_are_refused(
        self, file_with, capsys, role, name, address
    ):
        path = file_with(f"{name} = ", f"{name} = {address}\nformer_{name} = ")
        assert main([role, "--settings", str(path)]) == EXIT_SETTINGS
        assert f"listen_addrs.{name}" in capsys.readouterr().err

    def test_an_odd_listen_address_is_refused(self, file_with, capsys):
        path = str(file_with("patan", "patan"))
        arguments = ["entry", "--settings", path, "--listen", "garbage"]
        assert main(arguments) == EXIT_SETTINGS
        assert "garbage" in capsys.readouterr().err

    @pytest.mark.parametrize("seed", ['"garbage"', '""', "7", '"host.example:80"'])
    def test_an_odd_seed_costs_itself_only(self, file_with, seed):
        path = file_with("seed_nodes = [", f"seed_nodes = [{seed}, ")
        assert read(path).entries == (
            f"tcp://127.0.0.2:{INNER_PORT}",
            f"tcp://127.0.0.3:{INNER_PORT}",
        )
