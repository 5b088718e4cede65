"""The journal: events and log lines as JSON on standard output.

Writing never blocks the event loop: a bounded queue holds the lines until a thread
writes them in batches. A token bucket for each event name limits the rate. Dropped
lines are counted, and a separate event reports the counts. A summary of the failures
since the start is written again when it has changed, so that the end of a log has it.
"""

import json
import sys
import threading
import time
from collections import Counter, deque

import msgspec

from ragwortlug.events import IMPORTANT, Event, EventName
from ragwortlug.telemetry.failure_summary import FailureSummary

MAX_QUEUED_LINES = 4000
RATE_PER_S = 60.0
IMPORTANT_RATE_PER_S = 120.0
BURST_S = 2.0
REPORT_INTERVAL_S = 5.0
CLOSE_TIMEOUT_S = 0.3
# Lines are written in batches: waking the thread for each costs more than the line.
WRITE_INTERVAL_S = 0.1

_encoder = msgspec.json.Encoder()


def _encode_line(fields):
    """Return fields as a line of JSON; what JSON can't hold is written as text."""
    try:
        return _encoder.encode(fields) + b"\n"
    except (UnicodeEncodeError, TypeError, ValueError):
        # Text of a header may hold bytes that are not UTF-8.
        text = json.dumps(fields, default=repr, ensure_ascii=False)
        return text.encode(errors="replace") + b"\n"


class TokenBucket:
    """Limits a rate, and allows bursts of up to `BURST_S` seconds of it."""

    def __init__(self, rate_per_s):
        self._rate_per_s = rate_per_s
        self._tokens = rate_per_s * BURST_S
        self._refilled_at = 0.0

    def try_take(self, now):
        """Take a token, and return whether there was one."""
        gained = (now - self._refilled_at) * self._rate_per_s
        self._tokens = min(self._rate_per_s * BURST_S, self._tokens + gained)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Journal:
    """Writes the events of one process.

    Parameters
    ----------
    process : str
        Name that each line carries, so that files of many processes can be merged.
    stream : file, optional
        Binary file to write to; standard output by default.
    """

    def __init__(self, process, stream=None):
        self._process = process
        self._stream = sys.stdout.buffer if stream is None else stream
        self._lines = deque()
        self._buckets = {}
        self._dropped = Counter()
        self._summary = FailureSummary()
        self._reported_at = 0.0
        self._has_lines = threading.Event()
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._write_batches, daemon=True)
        self._thread.start()

    @property
    def dropped(self):
        """Return the number of dropped lines since the last report, by event name."""
        return self._dropped

    @property
    def queued(self):
        """Return the number of lines in the queue."""
        return len(self._lines)

    def emit(self, event):
        """Queue an event, or drop it if its rate is exceeded or the queue is full."""
        now = time.monotonic()
        name = event.name
        bucket = self._buckets.get(name)
        if bucket is None:
            rate = IMPORTANT_RATE_PER_S if name in IMPORTANT else RATE_PER_S
            bucket = self._buckets[name] = TokenBucket(rate)
        if not bucket.try_take(now):
            self._dropped[name.value] += 1
        else:
            self._enqueue(self._encode_event(event), name.value)
        self._summary.add(event)
        self._write_summary(self._summary.take_due(now))
        if self._dropped and now - self._reported_at >= REPORT_INTERVAL_S:
            self._report_dropped(now)

    def write_event(self, name, job_id="", **fields):
        """Build an event from its name and fields, and emit it."""
        self.emit(Event(name, job_id, fields))

    def log_line(self, record):
        """Queue a log record, or drop it if the queue is full."""
        fields = {"level": record.level_name, "part": record.channel}
        fields["message"] = record.message
        if record.exc_info:
            fields["exception"] = record.formatted_exception
        header = {"time": time.time(), "process": self._process, "event": "log"}
        self._enqueue(_encode_line({**header, **fields}), "log")

    def close(self):
        """Write the queued lines, waiting at most `CLOSE_TIMEOUT_S`."""
        if self._dropped:
            self._report_dropped(time.monotonic())
        self._write_summary(self._summary.event())
        self._closing.set()
        self._has_lines.set()
        self._thread.join(CLOSE_TIMEOUT_S)

    def _encode_event(self, event):
        """Return an event as a line of JSON, in bytes."""
        header = {
            "time": round(time.time(), 4),
            "process": self._process,
            "event": event.name.value,
        }
        if event.job_id:
            header["job"] = event.job_id
        return _encode_line({**header, **event.fields})

    def _report_dropped(self, now):
        """Queue an event with the counts of dropped lines, and reset them."""
        self._reported_at = now
        counts = dict(self._dropped)
        self._dropped.clear()
        event = Event(EventName.LINES_LEFT_OUT, "", {"counts": counts})
        self._enqueue(self._encode_event(event), EventName.LINES_LEFT_OUT.value)

    def _write_summary(self, summary):
        """Queue the summary of failures, if there is one to write."""
        if summary is not None:
            self._enqueue(self._encode_event(summary), summary.name.value)

    def _enqueue(self, line, name):
        """Queue a line, or count it as dropped if the queue is full."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self._dropped[name] += 1
            return
        self._lines.append(line)
        if not self._has_lines.is_set():
            self._has_lines.set()

    def _write_batches(self):
        """Write lines in batches until the journal is closed and the queue is empty."""
        while not self._closing.is_set() or self._lines:
            self._has_lines.wait()
            self._closing.wait(WRITE_INTERVAL_S)
            # Cleared before the queue is read, so that a later line sets it again.
            self._has_lines.clear()
            lines = [self._lines.popleft() for _ in range(len(self._lines))]
            try:
                self._stream.write(b"".join(lines))
                self._stream.flush()
            except (OSError, ValueError):
                return
