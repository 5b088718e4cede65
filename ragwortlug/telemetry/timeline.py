"""Timelines: the events of one job in the journals of all processes, by time."""

from dataclasses import dataclass, field

import msgspec

from ragwortlug.decoding import JsonDecoder

JOB_KEY = "job"
ORDERS_KEY = "orders"
MS_PER_S = 1000.0

_json_decoder = JsonDecoder()

# Fields that the timeline shows elsewhere: in the line's head or on separate lines.
_NOT_SHOWN = frozenset({"time", "process", "event", JOB_KEY, ORDERS_KEY})


@dataclass(frozen=True, slots=True)
class JobTimeline:
    """The events of one job.

    Attributes
    ----------
    lines : tuple of dict
        The decoded events, ordered by time.
    unreadable : int
        Number of lines in the files that are not events, except blank ones.
    """

    lines: tuple[dict, ...] = ()
    unreadable: int = field(default=0)


def read_timeline(job_id, files):
    """Return the `JobTimeline` of a job from journal files.

    Parameters
    ----------
    job_id : str
    files : iterable of iterable of str
        The lines of each file. Text before the first brace of a line is ignored,
        so that files with a prefix on each line can be read too.
    """
    lines = []
    unreadable = 0
    for file in files:
        for text in file:
            start = text.find("{")
            try:
                event = _json_decoder.decode(text[start:] if start >= 0 else text)
            except msgspec.DecodeError:
                unreadable += bool(text.strip())
                continue
            if not _is_event(event):
                unreadable += 1
            elif event.get(JOB_KEY) == job_id:
                lines.append(event)
    lines.sort(key=lambda event: event.get("time", 0.0))
    return JobTimeline(tuple(lines), unreadable)


def _is_event(value):
    """Return whether a decoded line has the form of an event."""
    if not isinstance(value, dict):
        return False
    orders = value.get(ORDERS_KEY, [])
    return (
        isinstance(value.get("time", 0.0), int | float)
        and isinstance(orders, list)
        and all(isinstance(order, dict) for order in orders)
    )


def format_timeline(timeline):
    """Return a timeline as lines of text, each with the time since the first event."""
    if not timeline.lines:
        return []
    started_at = timeline.lines[0].get("time", 0.0)
    return [
        line for event in timeline.lines for line in _format_event(event, started_at)
    ]


def _format_event(event, started_at):
    """Return an event as lines of text: one for it and one for each of its orders."""
    offset_ms = (event.get("time", started_at) - started_at) * MS_PER_S
    head = f"{offset_ms:9.1f} ms  {event.get('process', '?'):32}"
    name = f"{event.get('event', '?'):14}"
    orders = event.get(ORDERS_KEY, ())
    return [
        f"{head} {name} {_format_fields(event)}",
        *(f"{head} {'':14} {_format_fields(order)}" for order in orders),
    ]


def _format_fields(fields):
    """Return the fields of an event or an order as text, without `_NOT_SHOWN`."""
    return " ".join(
        f"{name}={value}" for name, value in fields.items() if name not in _NOT_SHOWN
    )
