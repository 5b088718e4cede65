"""The command line: commands for daemons, callers and operators."""

import argparse
import asyncio
import json
import sys
import time
import uuid
from pathlib import Path

import aiohttp
import msgspec
import uvloop

from ragwortlug import __version__
from ragwortlug.client import Client
from ragwortlug.codes import Code, Verdict
from ragwortlug.compose import compose_agent, compose_entry
from ragwortlug.configuration_files import check_file, read_json
from ragwortlug.daemon import serve
from ragwortlug.decoding import JsonDecoder
from ragwortlug.errors import RagwortlugError, RequestError, SettingsError
from ragwortlug.model import Task
from ragwortlug.reference import PAGES
from ragwortlug.settings import AgentSettings, EntrySettings, load
from ragwortlug.telemetry.logs import set_up
from ragwortlug.telemetry.timeline import format_timeline, read_timeline
from ragwortlug.view.note import ReleaseNote

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_NOT_RUN = 3
EXIT_UNKNOWN = 4
EXIT_SETTINGS = 5
EXIT_UNREACHABLE = 6

EXIT_CODES = {
    Verdict.DONE: EXIT_OK,
    Verdict.ACCEPTED: EXIT_OK,
    Verdict.FAILED: EXIT_FAILED,
    Verdict.NOT_RUN: EXIT_NOT_RUN,
    Verdict.UNKNOWN: EXIT_UNKNOWN,
}
POLL_PERIOD_S = 0.1

EXAMPLES = """\
examples:
  ragwortlug entry --settings examples/gyanbhandar/entry-1.json
  ragwortlug submit --team kitchen --service mould-carving '{"run_ms": 80}'
  ragwortlug note submit note.json && ragwortlug note wait 3
  ragwortlug check note.json --against configuration.json
  ragwortlug drain patan
  ragwortlug trace 01890a5d-ac96-774b-bcce-b302099a8057

exit codes:
  0 done, 1 failed, 2 wrong usage, 3 not run, 4 outcome unknown,
  5 settings not valid, 6 no entry reached
"""


def main(arguments=None, early_signals=()):
    """Run the command line and return its exit code.

    Parameters
    ----------
    arguments : list of str, optional
        The arguments of this process by default.
    early_signals : sequence of int
        Signals that a daemon handles when it starts, as they arrived before.
    """
    namespace = argparse.Namespace(early_signals=early_signals)
    parsed = _parser().parse_args(arguments, namespace)
    try:
        return parsed.run(parsed)
    except SettingsError as error:
        return _fail(error, EXIT_SETTINGS)
    except RagwortlugError as error:
        return _fail(error, EXIT_CODES[error.code.verdict])
    except (aiohttp.ClientError, ConnectionError) as error:
        return _fail(error, EXIT_UNREACHABLE)
    except KeyboardInterrupt:
        return EXIT_FAILED


# Daemons.


def _run_entry(parsed):
    settings = load(parsed.settings, EntrySettings)
    set_up(settings.log, f"entry {settings.address}")
    return uvloop.run(_serve(compose_entry, settings, parsed.early_signals))


def _run_agent(parsed):
    settings = load(parsed.settings, AgentSettings)
    set_up(settings.log, f"agent {settings.address}")
    return uvloop.run(_serve(compose_agent, settings, parsed.early_signals))


async def _serve(compose, settings, early_signals):
    return await serve(compose(settings), early_signals=early_signals)


# Callers' commands.


def _submit(parsed):
    tasks = tuple(Task(payload=_json(text)) for text in parsed.payload)

    async def run(client):
        job_id = parsed.id or None
        return await client.submit(
            parsed.service, tasks, job_id, parsed.deadline_ms, parsed.trace
        )

    return _answer(parsed, run)


def _fetch(parsed):
    return _answer(parsed, lambda client: client.fetch(parsed.id, not parsed.no_wait))


def _cancel(parsed):
    return _answer(parsed, lambda client: client.cancel(parsed.id))


def _answer(parsed, run):
    """Run a caller's command, print the answer and return the exit code."""
    answer = asyncio.run(_with_client(parsed, run))
    code = Code(answer.code)
    if parsed.json:
        print(msgspec.json.encode(answer).decode())
    else:
        print(f"{answer.id}: [{int(code)}] {code.verdict}: {code.meaning}")
        for index, task in enumerate(answer.tasks):
            print(f"  task {index}: [{task.code}] {json.dumps(task.result)}")
    return EXIT_CODES[code.verdict]


# Operators' commands.


def _note_check(parsed):
    return _post_note(parsed, "/notes/check", read_json(parsed.file, ReleaseNote))


def _note_submit(parsed):
    return _post_note(parsed, "/notes", read_json(parsed.file, ReleaseNote))


def _note_show(parsed):
    return _show(parsed, f"/notes/{parsed.id}")


def _note_history(parsed):
    return _show(parsed, "/notes")


def _note_wait(parsed):
    async def run(client):
        deadline_s = time.monotonic() + parsed.timeout
        while True:
            path = f"/configuration/in-force?version={parsed.version}"
            reply = await client.get(path)
            if reply["in_force"] or time.monotonic() > deadline_s:
                return reply
            await asyncio.sleep(POLL_PERIOD_S)

    reply = asyncio.run(_with_client(parsed, run))
    _print(parsed, reply)
    return EXIT_OK if reply["in_force"] else EXIT_UNKNOWN


def _status(parsed):
    return _show(parsed, "/status")


def _trace(parsed):
    spans = asyncio.run(
        _with_client(parsed, lambda client: client.get(f"/traces/{parsed.id}"))
    )
    if parsed.json:
        print(json.dumps(spans))
    else:
        print_trace(spans)
    return EXIT_OK if spans else EXIT_FAILED


def _explain(parsed):
    """Print the timeline of a job from journal files."""
    texts = [_read_journal(path) for path in parsed.files]
    timeline = read_timeline(parsed.id, (text.splitlines() for text in texts))
    for line in format_timeline(timeline):
        print(line)
    if timeline.unreadable:
        print(f"{timeline.unreadable} lines are no events.", file=sys.stderr)
    if not timeline.lines:
        print(f"No file has a line of job {parsed.id!r}.", file=sys.stderr)
    return EXIT_OK if timeline.lines else EXIT_FAILED


def print_trace(spans):
    """Print the spans of a job, one per line, indented below their parents."""
    depth = {}
    start_ms = min((span["start_ms"] for span in spans), default=0)
    for span in spans:
        level = depth.get(span["parent"], -1) + 1
        depth[span["span"]] = level
        offset_ms = span["start_ms"] - start_ms
        print(
            f"{offset_ms:9.2f} ms {span['duration_ms']:9.2f} ms  "
            f"{'  ' * level}{span['name']} ({span['process']})"
        )


def _drain(parsed):
    return _change_data_centre(parsed, False)


def _restore(parsed):
    return _change_data_centre(parsed, True)


def _change_data_centre(parsed, in_service):
    """Submit a release note that takes a data centre out of or into service."""

    async def run(client):
        configuration = await client.get("/configuration")
        verb = "restore" if in_service else "drain"
        return await client.post(
            "/notes",
            {
                "id": f"{verb}-{parsed.data_centre}-{uuid.uuid4().hex[:8]}",
                "base": configuration["version"],
                "changed": {
                    "data_centres": [
                        {"name": parsed.data_centre, "in_service": in_service}
                    ]
                },
            },
        )

    return _note_result(parsed, asyncio.run(_with_client(parsed, run)))


def _post_note(parsed, path, note):
    """Post a release note to a path, print the result and return the exit code."""
    reply = asyncio.run(_with_client(parsed, lambda client: client.post(path, note)))
    return _note_result(parsed, reply)


def _note_result(parsed, reply):
    """Print the result of a release note and return the exit code."""
    code = Code(reply["code"])
    if parsed.json:
        print(json.dumps(reply))
    else:
        print(f"[{int(code)}] {code.meaning} Version {reply.get('version')} holds.")
        for reason in reply.get("reasons", ()):
            print(f"  {reason}")
    return EXIT_CODES[code.verdict]


def _show(parsed, path):
    """Print the JSON that an entry serves at a path and return the exit code."""
    reply = asyncio.run(_with_client(parsed, lambda client: client.get(path)))
    _print(parsed, reply)
    failed = isinstance(reply, dict) and "verdict" in reply
    return EXIT_NOT_RUN if failed else EXIT_OK


def _check(parsed):
    """Print what is wrong with a configuration, and what it would change."""
    result = check_file(parsed.file, parsed.against)
    if parsed.json:
        print(json.dumps(result))
    else:
        for finding in result["findings"]:
            print("{severity}: {where}: {message}".format_map(finding))
        for line in result["differences"] or ():
            print(line)
        print("valid" if result["valid"] else "not valid")
    return EXIT_OK if result["valid"] else EXIT_NOT_RUN


def _reference(parsed):
    print(PAGES[parsed.page](), end="")
    return EXIT_OK


# Helpers.


def _read_journal(path):
    """Return the text of a journal, or raise `RequestError`."""
    try:
        return Path(path).read_text(errors="replace")
    except OSError as error:
        raise RequestError(f"{path}: {error.strerror}", Code.BAD_FIELD) from error


def _json(text):
    """Return the decoded JSON of an argument, or raise `RequestError`."""
    try:
        return JsonDecoder().decode(text)
    except msgspec.DecodeError as error:
        raise RequestError(f"{text!r}: {error}", Code.BAD_JSON) from error


async def _with_client(parsed, run):
    """Return what `run` returns for a client of the entries in the arguments."""
    async with Client(parsed.entry, getattr(parsed, "team", "")) as client:
        return await run(client)


def _print(parsed, value):
    """Print a value as JSON, on one line with ``--json``."""
    print(json.dumps(value, indent=None if parsed.json else 2))


def _fail(error, code):
    """Print an error to standard error and return the exit code."""
    print(f"ragwortlug: {error}", file=sys.stderr)
    return code


def _parser():
    """Return the parser of the whole command line."""
    parser = argparse.ArgumentParser(
        prog="ragwortlug",
        description="A dispatcher for sub-second tasks.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_daemons(commands)
    _add_caller_commands(commands)
    _add_operator_commands(commands)
    return parser


def _add_daemons(commands):
    """Add the commands that run daemons."""
    for name, run in (("entry", _run_entry), ("agent", _run_agent)):
        command = commands.add_parser(name, help=f"run an {name}")
        command.add_argument("--settings", required=True, help="a JSON file")
        command.set_defaults(run=run)


def _add_caller_commands(commands):
    """Add the commands of callers."""
    submit = _command(commands, "submit", _submit, "run a job and print its answer")
    submit.add_argument("--team", required=True)
    submit.add_argument("--service", required=True)
    submit.add_argument("--id", default="", help="a UUID of version 7")
    submit.add_argument("--deadline-ms", type=int, default=0)
    submit.add_argument("--trace", action="store_true", help="record spans")
    submit.add_argument("payload", nargs="+", help="JSON, one a task")
    fetch = _command(commands, "fetch", _fetch, "print the answer to a job")
    fetch.add_argument("--no-wait", action="store_true")
    cancel = _command(commands, "cancel", _cancel, "give up a job")
    for command in (fetch, cancel):
        command.add_argument("--team", required=True)
        command.add_argument("id")


def _add_operator_commands(commands):
    """Add the commands of operators."""
    note = commands.add_parser("note", help="release notes")
    notes = note.add_subparsers(required=True, metavar="ACTION")
    check = _command(notes, "check", _note_check, "say if a note would be accepted")
    submit = _command(notes, "submit", _note_submit, "commit a note")
    for command in (check, submit):
        command.add_argument("file", help="a JSON file, or - for standard input")
    show = _command(notes, "show", _note_show, "print an accepted note")
    show.add_argument("id")
    _command(notes, "history", _note_history, "print all accepted notes")
    wait = _command(notes, "wait", _note_wait, "wait until a version is in force")
    wait.add_argument("version", type=int)
    wait.add_argument("--timeout", type=float, default=10.0, help="seconds")
    _command(commands, "status", _status, "print the roster and its freshness")
    trace = _command(commands, "trace", _trace, "print the spans of a job")
    trace.add_argument("id")
    explain = commands.add_parser(
        "explain", help="print what journals tell of a job, in order"
    )
    explain.add_argument("id")
    explain.add_argument("files", nargs="+", help="journals of the processes")
    explain.set_defaults(run=_explain)
    check = commands.add_parser(
        "check", help="check a configuration before it is sent, without an entry"
    )
    check.add_argument(
        "file", help="a release note, a configuration or a table of queues, as JSON"
    )
    check.add_argument("--against", default="", help="the configuration in force")
    check.add_argument("--json", action="store_true", help="print one line of JSON")
    check.set_defaults(run=_check)
    reference = commands.add_parser("reference", help="print a reference page")
    reference.add_argument("page", choices=sorted(PAGES))
    reference.set_defaults(run=_reference)
    for name, run in (("drain", _drain), ("restore", _restore)):
        text = "take a data centre out" if name == "drain" else "bring it back"
        _command(commands, name, run, text).add_argument("data_centre")


def _command(commands, name, run, text):
    """Add a command that sends requests to an entry, and return its parser."""
    command = commands.add_parser(name, help=text, description=text)
    command.add_argument(
        "--entry",
        action="append",
        default=None,
        help="URL of an entry; may be given more than once "
        "(default http://127.0.0.1:8101)",
    )
    command.add_argument("--json", action="store_true", help="print one line of JSON")
    command.set_defaults(run=lambda parsed: run(_with_default_entry(parsed)))
    return command


def _with_default_entry(parsed):
    """Return the arguments, with the default entry if none is given."""
    parsed.entry = parsed.entry or ["http://127.0.0.1:8101"]
    return parsed


if __name__ == "__main__":
    sys.exit(main())
