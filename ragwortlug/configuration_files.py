"""Configurations in files, as operators write them before they are sent."""

import sys
from pathlib import Path

import msgspec

from ragwortlug.codes import Code
from ragwortlug.decoding import JsonDecoder
from ragwortlug.errors import RequestError
from ragwortlug.restartable_model import QueueTable
from ragwortlug.view.configuration_check import (
    Severity,
    check_configuration,
    check_queues,
    differences,
)
from ragwortlug.view.note import Configuration, ReleaseNote, apply_note


def read_json(path, kind):
    """Return the value of a type in a file, or raise `RequestError`.

    Parameters
    ----------
    path : str
        ``-`` for standard input.
    """
    return _decode(path, _read(path), kind)


def read_configuration(path, base=None):
    """Return the configuration that a file holds or results in.

    Parameters
    ----------
    path : str
        A file with a release note, a configuration or a table of queues.
    base : Configuration, optional
        What a release note is applied to; an empty configuration by default.

    Returns
    -------
    Configuration or QueueTable

    Raises
    ------
    RequestError
        The file can't be read, or its content is invalid.
    NoteError
        The note can't be applied.
    """
    raw = _read(path)
    fields = _decode(path, raw, dict)
    if "queues" in fields:
        return _decode(path, raw, QueueTable)
    if "base" in fields:
        note = _decode(path, raw, ReleaseNote)
        return apply_note(base or Configuration(note.base), note)
    return _decode(path, raw, Configuration)


def check_file(path, against=""):
    """Check the configuration in a file, against the one in force if given.

    Parameters
    ----------
    against : str
        A file with the configuration in force, as ``GET /configuration`` returns it,
        or with the table of queues in force.

    Returns
    -------
    dict
        ``findings``, a list of severity, place and message; ``differences``, lines of
        text, None without a configuration in force; and ``valid``, which is false if
        a finding is an error.
    """
    in_force = read_configuration(against) if against else None
    base = in_force if isinstance(in_force, Configuration) else None
    configuration = read_configuration(path, base)
    if in_force is not None and type(in_force) is not type(configuration):
        detail = f"{path} and {against} are not of the same kind"
        raise RequestError(detail, Code.BAD_FIELD)
    is_table = isinstance(configuration, QueueTable)
    check = check_queues if is_table else check_configuration
    findings = check(configuration)
    return {
        "valid": all(each.severity is not Severity.ERROR for each in findings),
        "findings": [msgspec.to_builtins(each) for each in findings],
        "differences": (
            None if in_force is None else differences(in_force, configuration)
        ),
    }


def _read(path):
    """Return the bytes of a file, or raise `RequestError`."""
    try:
        return sys.stdin.buffer.read() if path == "-" else Path(path).read_bytes()
    except OSError as error:
        raise RequestError(f"{path}: {error.strerror}", Code.BAD_FIELD) from error


def _decode(path, raw, kind):
    """Return the decoded bytes of a file, or raise `RequestError`."""
    try:
        return JsonDecoder(kind).decode(raw)
    except msgspec.ValidationError as error:
        raise RequestError(f"{path}: {error}", Code.BAD_FIELD) from error
    except msgspec.DecodeError as error:
        raise RequestError(f"{path}: {error}", Code.BAD_JSON) from error
