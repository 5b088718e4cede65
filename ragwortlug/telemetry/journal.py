"""The journal: events and log lines as JSON on standard output.

Writing never blocks the event loop and its volume is bounded: a bounded number of
lines waits for a thread that writes them in batches, and each event name has a token
bucket. What is left out is counted, and told in a line of its own.
"""

import sys
import threading
import time
from collections import Counter, deque

import msgspec

from ragwortlug.events import IMPORTANT, Event, EventName

QUEUED_LINES = 4000
RATE_PER_S = 60.0
IMPORTANT_RATE_PER_S = 120.0
BURST_S = 2.0
REPORT_EVERY_S = 5.0
CLOSE_WAIT_S = 0.3
# Lines of that long are written at once: a wake-up for each costs more than the line.
WRITE_EVERY_S = 0.1

_encoder = msgspec.json.Encoder()


class TokenBucket:
    """Lets a bounded number of things through each second."""

    def __init__(self, rate_per_s):
        self._rate_per_s = rate_per_s
        self._tokens = rate_per_s * BURST_S
        self._filled_at = 0.0

    def take(self, now):
        """Return whether one more may pass."""
        gained = (now - self._filled_at) * self._rate_per_s
        self._tokens = min(self._rate_per_s * BURST_S, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Journal:
    """Writes the events of one process.

    Parameters
    ----------
    process : str
        Named in each line, so that files of many processes can be merged.
    stream : file, optional
        Where to write, in bytes; standard output by default.
    """

    def __init__(self, process, stream=None):
        self._process = process
        self._stream = sys.stdout.buffer if stream is None else stream
        self._lines = deque()
        self._buckets = {}
        self._dropped = Counter()
        self._reported_at = 0.0
        self._filled = threading.Event()
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._write, daemon=True)
        self._thread.start()

    @property
    def dropped(self):
        """Return how many lines of each name were left out since the last report."""
        return self._dropped

    @property
    def waiting(self):
        """Return the number of lines that are not written yet."""
        return len(self._lines)

    def emit(self, event):
        """Write an event, unless there are too many of its name."""
        now = time.monotonic()
        name = event.name
        bucket = self._buckets.get(name)
        if bucket is None:
            rate = IMPORTANT_RATE_PER_S if name in IMPORTANT else RATE_PER_S
            bucket = self._buckets[name] = TokenBucket(rate)
        if not bucket.take(now):
            self._dropped[name.value] += 1
        else:
            self._put(self._line(event), name.value)
        if self._dropped and now - self._reported_at >= REPORT_EVERY_S:
            self._report(now)

    def write_event(self, name, job_id="", **fields):
        """Write an event of that name."""
        self.emit(Event(name, job_id, fields))

    def log_line(self, record):
        """Write a record of the log."""
        fields = {"level": record.level_name, "part": record.channel}
        fields["message"] = record.message
        if record.exc_info:
            fields["exception"] = record.formatted_exception
        header = {"time": time.time(), "process": self._process, "event": "log"}
        self._put(_encoder.encode({**header, **fields}) + b"\n", "log")

    def close(self):
        """Write what waits, within a short time."""
        if self._dropped:
            self._report(time.monotonic())
        self._closing.set()
        self._filled.set()
        self._thread.join(CLOSE_WAIT_S)

    def _line(self, event):
        """Return an event as a line of JSON."""
        header = {
            "time": round(time.time(), 4),
            "process": self._process,
            "event": event.name.value,
        }
        if event.job_id:
            header["job"] = event.job_id
        return _encoder.encode({**header, **event.fields}) + b"\n"

    def _report(self, now):
        """Write how many lines were left out."""
        self._reported_at = now
        counts = dict(self._dropped)
        self._dropped.clear()
        event = Event(EventName.LINES_LEFT_OUT, "", {"counts": counts})
        self._put(self._line(event), EventName.LINES_LEFT_OUT.value)

    def _put(self, line, name):
        """Queue a line, or count it as left out."""
        if len(self._lines) >= QUEUED_LINES:
            self._dropped[name] += 1
            return
        self._lines.append(line)
        if not self._filled.is_set():
            self._filled.set()

    def _write(self):
        """Write lines in batches until the journal is closed and none is left."""
        while not self._closing.is_set() or self._lines:
            self._filled.wait()
            self._closing.wait(WRITE_EVERY_S)
            # Cleared before the lines are taken, so that a later one sets it again.
            self._filled.clear()
            lines = [self._lines.popleft() for _ in range(len(self._lines))]
            try:
                self._stream.write(b"".join(lines))
                self._stream.flush()
            except (OSError, ValueError):
                return
