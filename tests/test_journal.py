"""The journal: bounded, and never in the way."""

import io
import json
import os

import pytest

from ragwortlug.events import Event, EventName
from ragwortlug.telemetry.journal import IMPORTANT_RATE_PER_S, MAX_QUEUED_LINES, Journal

MANY = 3 * MAX_QUEUED_LINES


def lines(stream):
    """Return the decoded lines of a stream."""
    return [json.loads(each) for each in stream.getvalue().splitlines()]


class TestJournal:
    """What a process writes to standard output."""

    def test_a_line_has_what_decided(self):
        stream = io.BytesIO()
        journal = Journal("entry 1", stream)
        journal.write_event(
            EventName.JOB_REFUSED, "00c0ffee00c0ffee", code="QUEUE_FULL"
        )
        journal.close()
        (line,) = lines(stream)
        assert line["event"] == "job_refused"
        assert line["job"] == "00c0ffee00c0ffee"
        assert line["code"] == "QUEUE_FULL"
        assert line["process"] == "entry 1"

    @pytest.mark.parametrize("odd", ["\udcff", 10**400, object(), float("nan")])
    def test_a_field_that_json_cannot_hold_costs_no_line(self, odd):
        stream = io.BytesIO()
        journal = Journal("entry 1", stream)
        journal.write_event(EventName.JOB_REFUSED, "a", why=odd)
        journal.write_event(EventName.JOB_REFUSED, "b")
        journal.close()
        assert [each["job"] for each in lines(stream)] == ["a", "b"]

    def test_one_event_does_not_drown_the_others(self):
        stream = io.BytesIO()
        journal = Journal("entry 1", stream)
        for _ in range(MANY):
            journal.emit(Event(EventName.RUNS_ORDERED, "a", {}))
        journal.write_event(EventName.JOB_REFUSED, "b")
        journal.close()
        seen = [each["event"] for each in lines(stream)]
        assert "job_refused" in seen
        # Some seconds of the rate at most: the loop takes far less than ten.
        assert seen.count("runs_ordered") < 12 * IMPORTANT_RATE_PER_S
        counts = [each["counts"] for each in lines(stream) if "counts" in each]
        left_out = sum(each.get("runs_ordered", 0) for each in counts)
        assert left_out + seen.count("runs_ordered") == MANY

    def test_a_reader_that_stands_still_blocks_nothing(self):
        reading, writing = os.pipe()
        stream = os.fdopen(writing, "wb", buffering=0)
        journal = Journal("entry 1", stream)
        for number in range(MANY):
            # As many names as there are, so that the buckets let more through.
            name = list(EventName)[number % len(EventName)]
            journal.emit(Event(name, "a" * 16, {"text": "x" * 200}))
        assert journal.queued <= MAX_QUEUED_LINES
        assert sum(journal.dropped.values()) > 0
        os.close(reading)
        journal.close()
