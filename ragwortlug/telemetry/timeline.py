"""Stories: what the journals of all processes tell of one job, in order."""

from dataclasses import dataclass, field

import msgspec

JOB_KEY = "job"
ORDERS_KEY = "orders"
MS_PER_S = 1000.0

# What is known without being told on each line, or told on lines of its own.
_NOT_SHOWN = frozenset({"time", "process", "event", JOB_KEY, ORDERS_KEY})


@dataclass(frozen=True, slots=True)
class JobTimeline:
    """The lines of one job.

    Attributes
    ----------
    lines : tuple of dict
        In order of time.
    unreadable : int
        Lines of the files that are no events.
    """

    lines: tuple[dict, ...] = ()
    unreadable: int = field(default=0)


def read_timeline(job_id, files):
    """Return the `JobTimeline` of a job in some journals.

    Parameters
    ----------
    job_id : str
    files : iterable of iterable of str
        The lines of each file; anything before the first brace is passed over,
        so that files with a prefix on each line can be read too.
    """
    lines = []
    unreadable = 0
    for file in files:
        for text in file:
            start = text.find("{")
            try:
                event = msgspec.json.decode(text[start:] if start >= 0 else text)
            except (msgspec.DecodeError, UnicodeDecodeError):
                unreadable += bool(text.strip())
                continue
            if isinstance(event, dict) and event.get(JOB_KEY) == job_id:
                lines.append(event)
    lines.sort(key=lambda each: each.get("time", 0.0))
    return JobTimeline(tuple(lines), unreadable)


def format_timeline(timeline):
    """Return a story as lines of text, with the time since its beginning."""
    if not timeline.lines:
        return []
    started_at = timeline.lines[0].get("time", 0.0)
    return [line for each in timeline.lines for line in _format_event(each, started_at)]


def _format_event(event, started_at):
    """Return one event as lines of text; each order that it tells of has its own."""
    offset_ms = (event.get("time", started_at) - started_at) * MS_PER_S
    head = f"{offset_ms:9.1f} ms  {event.get('process', '?'):32}"
    name = f"{event.get('event', '?'):14}"
    orders = event.get(ORDERS_KEY, ())
    return [
        f"{head} {name} {_format_fields(event)}",
        *(f"{head} {'':14} {_format_fields(each)}" for each in orders),
    ]


def _format_fields(fields):
    """Return facts as text."""
    return " ".join(
        f"{name}={value}" for name, value in fields.items() if name not in _NOT_SHOWN
    )
