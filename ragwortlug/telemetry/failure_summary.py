"""Counts of the events that may explain two runs of a task, since the start."""

from ragwortlug.events import Event, EventName

INTERVAL_S = 5.0

# The strongest evidence comes first, since long lines may be cut.
SUMMARIZED = (
    EventName.RUN_OUTLIVED_REPORT,
    EventName.RUN_FOREIGN,
    EventName.JOB_YIELDED,
    EventName.JOB_OVERLAPS,
    EventName.RUNS_UNWANTED,
    EventName.RUN_PRESUMED_LOST,
    EventName.RUN_END_LISTED_LATE,
    EventName.JOB_ABANDONED,
)
# The fields that name the other process, of which each event has one.
PEER_FIELDS = ("dispatcher", "owner", "entry", "agent")
_ORDER = {name: position for position, name in enumerate(SUMMARIZED)}


class FailureSummary:
    """Counts `SUMMARIZED` events by name and proof.

    Each count comes with the job and the other process of the latest event.
    """

    def __init__(self):
        self._rows = {}
        self._changed = False
        self._written_at = float("-inf")

    def add(self, event):
        """Count an event, whether or not it is written."""
        if event.name not in _ORDER:
            return
        if event.name is EventName.JOB_ABANDONED and not event.fields.get("begun"):
            return
        if not event.fields.get("listed_after_report", True):
            return
        proof = event.fields.get("proof")
        key = event.name.value if proof is None else f"{event.name.value}, {proof}"
        peers = (event.fields.get(field) for field in PEER_FIELDS)
        peer = next((peer for peer in peers if peer), "")
        count = self._rows.get(key, (0,))[0]
        self._rows[key] = (count + 1, event.job_id, peer)
        self._changed = True

    def take_due(self, now):
        """Return the event to write now, or None before its time or without news."""
        if not self._changed or now - self._written_at < INTERVAL_S:
            return None
        self._written_at = now
        self._changed = False
        return self.event()

    def event(self):
        """Return the event with all counts, or None if there are none."""
        if not self._rows:
            return None
        keys = sorted(self._rows, key=lambda key: _ORDER[key.partition(",")[0]])
        fields = {key: self._rows[key] for key in keys}
        return Event(EventName.FAILURE_SUMMARY, "", fields)
