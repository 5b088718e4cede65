"""Logs: short sentences, each with its logger's name, as text or JSON lines."""

import json
import sys

import logbook

MAX_SUBJECTS = 1000
TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} "
    "{record.channel}: {record.message}"
)


def logger(part):
    """Return the logger of a part; its name is the prefix of each line."""
    return logbook.Logger(part)


class OnceLogger:
    """Logs one line for each subject, however often the subject is met.

    Only the latest `MAX_SUBJECTS` subjects are remembered.

    Parameters
    ----------
    log : logbook.Logger
        Writes the lines.
    """

    def __init__(self, log):
        self._log = log
        self._subjects = {}

    def warning(self, subject, message, *arguments):
        """Log a warning if the subject is a new one."""
        if subject in self._subjects:
            return
        if len(self._subjects) >= MAX_SUBJECTS:
            del self._subjects[next(iter(self._subjects))]
        self._subjects[subject] = None
        self._log.warning(message, *arguments)


def set_up(settings, process):
    """Configure this process to log to standard error.

    Parameters
    ----------
    settings : LogSettings
        Format and level.
    process : str
        Name that JSON lines carry, so that logs of many processes can be merged.
    """
    logbook.set_datetime_format("utc")
    handler = logbook.StreamHandler(sys.stderr, level=settings.level)
    if settings.format == "json":
        handler.formatter = lambda record, _: _json_line(record, process)
    else:
        handler.format_string = TEXT_FORMAT
    handler.push_application()


def set_up_journal(settings, journal):
    """Configure this process to log to its journal.

    Parameters
    ----------
    settings : LogSettings
        Only the level is used.
    journal : Journal
        Journal that writes each record.
    """
    logbook.set_datetime_format("utc")
    handler = JournalHandler(journal, level=settings.level)
    handler.push_application()


class JournalHandler(logbook.Handler):
    """Writes log records to a journal, which never blocks."""

    def __init__(self, journal, level):
        super().__init__(level=level)
        self._journal = journal

    def emit(self, record):
        """Write a log record to the journal."""
        self._journal.log_line(record)


def _json_line(record, process):
    """Return a log record as JSON, without a line end."""
    fields = {
        "time": record.time.isoformat() + "Z",
        "level": record.level_name,
        "process": process,
        "part": record.channel,
        "message": record.message,
    }
    if record.exc_info:
        fields["exception"] = record.formatted_exception
    return json.dumps(fields)
