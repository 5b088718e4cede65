"""The cancels that one entry keeps, applies, and passes on to all other entries.

A caller may cancel its job at any entry: at one that doesn't know the job yet, or while
the job's entry can't be reached. Each entry therefore keeps a cancel for as long as a
job may be open, and refuses the job's id until then. The entry at which the cancel
arrived repeats it to each other entry until that one has acknowledged it.
"""

from dataclasses import dataclass, field
from itertools import islice

from ragwortlug.codes import Code
from ragwortlug.envelope import Peer, Send
from ragwortlug.jobs import dispatch_events as events
from ragwortlug.lease_messages import CancelJobs, CancelsReceived
from ragwortlug.restartable_model import MAX_JOB_MS

MS_PER_S = 1000.0
KEEP_S = MAX_JOB_MS / MS_PER_S
MAX_CANCELS = 20_000
MAX_CANCELS_PER_MESSAGE = 500
REPEAT_INTERVAL_S = 0.25
# An entry without an announcement for so long may have stopped.
CONTACT_TIMEOUT_S = 1.0
SILENT_REPEAT_INTERVAL_S = 1.0
EXPIRY_INTERVAL_S = 1.0


@dataclass(slots=True)
class OtherEntry:
    """What has been sent to another entry.

    Attributes
    ----------
    incarnation : str
        Its latest process.
    contact_at : float
        Monotonic seconds of its latest announcement.
    unsent : dict
        Ids of jobs whose cancels have not been sent, in order; the values are None.
    unacknowledged : dict
        Job id to the monotonic seconds of the latest message, in that order.
    next_repeat_at : float
        Monotonic seconds before which nothing is repeated.
    """

    incarnation: str = ""
    contact_at: float = float("-inf")
    unsent: dict = field(default_factory=dict)
    unacknowledged: dict = field(default_factory=dict)
    next_repeat_at: float = float("-inf")

    def on_contact(self, incarnation, kept, now):
        """Record an announcement; a new process lacks all the cancels that are `kept`.

        What an entry that was silent lacks is sent again without the usual delay.
        """
        if incarnation != self.incarnation:
            self.incarnation = incarnation
            self.unsent = dict.fromkeys(kept)
            self.unacknowledged.clear()
        elif now - self.contact_at > CONTACT_TIMEOUT_S:
            self.unsent |= dict.fromkeys(self.unacknowledged)
            self.unacknowledged.clear()
        self.contact_at = now

    def queue(self, job_ids):
        """Let the cancels of jobs be sent, unless they are about to be repeated."""
        for job_id in job_ids:
            if job_id not in self.unacknowledged:
                self.unsent[job_id] = None

    def pop_due(self, now):
        """Return the ids of the cancels to send now, which count as sent, a list."""
        due = list(islice(self.unsent, MAX_CANCELS_PER_MESSAGE))
        for job_id in due:
            del self.unsent[job_id]
        due += self._pop_repeated(MAX_CANCELS_PER_MESSAGE - len(due), now)
        self.unacknowledged |= dict.fromkeys(due, now)
        return due

    def is_in_contact(self, now):
        """Return whether the entry has announced itself recently."""
        return now - self.contact_at <= CONTACT_TIMEOUT_S

    def lacks(self, job_id):
        """Return whether a cancel has not been acknowledged."""
        return job_id in self.unsent or job_id in self.unacknowledged

    def remove(self, job_id):
        """Remove a cancel; return whether it had not been acknowledged."""
        was_unsent = self.unsent.pop(job_id, self) is not self
        return self.unacknowledged.pop(job_id, None) is not None or was_unsent

    def _pop_repeated(self, limit, now):
        """Remove and return the ids of the cancels to repeat now, a list."""
        if now < self.next_repeat_at:
            return []
        in_contact = self.is_in_contact(now)
        interval_s = REPEAT_INTERVAL_S if in_contact else SILENT_REPEAT_INTERVAL_S
        oldest = islice(self.unacknowledged.items(), limit)
        repeated = [job_id for job_id, sent_at in oldest if now - sent_at >= interval_s]
        for job_id in repeated:
            del self.unacknowledged[job_id]
        if repeated:
            self.next_repeat_at = now + interval_s
        return repeated


class Cancels:
    """The cancels that one entry keeps.

    Parameters
    ----------
    records : dict
        The entry's open jobs: job id to `RestartableRecord`.
    finish_job : callable
        Ends a job: called with its record, a `Code` and the time.
    owner_of : callable
        Returns the address of the entry that has announced a job, or an empty string;
        called with a job id and the time.
    capacity : int
        Maximum number of cancels.
    """

    def __init__(self, records, finish_job, owner_of, capacity=MAX_CANCELS):
        self._records = records
        self._finish_job = finish_job
        self._owner_of = owner_of
        self._capacity = capacity
        # Job id to the monotonic seconds until which its cancel is kept.
        self._kept_until = {}
        # By address.
        self._entries = {}
        self._next_expiry_at = float("-inf")

    def __len__(self):
        """Return the number of cancels that are kept."""
        return len(self._kept_until)

    @property
    def unacknowledged(self):
        """Return the number of acknowledgements that are missing."""
        return sum(
            len(entry.unsent) + len(entry.unacknowledged)
            for entry in self._entries.values()
        )

    def lacks_acknowledgement(self, job_id, now):
        """Return whether an entry in contact has not acknowledged a job's cancel."""
        return any(
            entry.lacks(job_id) and entry.is_in_contact(now)
            for entry in self._entries.values()
        )

    def is_cancelled(self, job_id, now):
        """Return whether a job was cancelled, so that no task of it may start."""
        return self._kept_until.get(job_id, now) > now

    # Requests of this entry's callers.

    def cancel(self, job_id, now):
        """Cancel a job for all its callers, wherever it is or will be submitted.

        A job that is open here ends even if no further cancel can be kept.
        """
        is_kept = self._keep(job_id, KEEP_S, now)
        owner = self._owner_of(job_id, now)
        record = self._records.get(job_id)
        effects = [events.cancel_requested(job_id, record, owner, is_kept, len(self))]
        if record is not None:
            effects += self._end(record, now)
        if is_kept:
            for entry in self._entries.values():
                entry.queue([job_id])
        return effects + self._messages(now)

    # Messages of other entries.

    def on_cancel_jobs(self, sender, message, now):
        """Apply the cancels of another entry, and acknowledge those that are kept."""
        effects = []
        kept = []
        for job_id, keep_ms in message.cancels:
            if self._keep(job_id, min(keep_ms / MS_PER_S, KEEP_S), now):
                kept.append(job_id)
            record = self._records.get(job_id)
            if record is not None:
                effects.append(events.cancel_received(record, sender, now))
                effects += self._end(record, now)
        if len(kept) < len(message.cancels):
            missing = len(message.cancels) - len(kept)
            effects.append(events.cancels_not_kept(sender, missing, len(self)))
        return [*effects, Send(sender, CancelsReceived(tuple(kept)))]

    def on_cancels_received(self, sender, message, now):
        """Record which cancels another entry keeps; a former process keeps none."""
        entry = self._entries.get(sender.address)
        if entry is None or entry.incarnation not in ("", sender.incarnation):
            return []
        late_s = [
            now - self._kept_until[job_id] + KEEP_S
            for job_id in message.job_ids
            if entry.remove(job_id) and job_id in self._kept_until
        ]
        if late_s and max(late_s) > REPEAT_INTERVAL_S:
            return [events.cancels_received_late(sender, len(late_s), max(late_s))]
        return []

    def on_open_jobs(self, sender, message, now):
        """Tell another entry the cancels that its announcement shows it to lack.

        A new process has none, and a process that lists a cancelled job lacks that one.
        """
        entry = self._entries.setdefault(sender.address, OtherEntry())
        entry.on_contact(sender.incarnation, self._kept_until, now)
        effects = []
        for job_id, age_ms in message.jobs:
            if self.is_cancelled(job_id, now):
                entry.queue([job_id])
                effects.append(events.cancelled_job_announced(job_id, sender, age_ms))
        return effects + self._messages(now)

    # Events.

    def update(self, addresses, now):
        """Send the cancels that are due to the entries at `addresses`, periodically."""
        heard = {
            address
            for address, entry in self._entries.items()
            if entry.is_in_contact(now)
        }
        self._entries = {
            address: self._entries.get(address) or OtherEntry()
            for address in sorted(heard.union(addresses))
        }
        return self._expire(now) + self._messages(now)

    def _keep(self, job_id, keep_s, now):
        """Keep a cancel; return whether it is kept."""
        if job_id not in self._kept_until and len(self) >= self._capacity:
            return False
        kept_until = self._kept_until.get(job_id, now)
        self._kept_until[job_id] = max(kept_until, now + keep_s)
        return True

    def _end(self, record, now):
        """End an open job with the code that says whether a task may have started."""
        code = Code.CANCELLED_AFTER_START if record.begun else Code.CANCELLED
        return self._finish_job(record, code, now)

    def _messages(self, now):
        """Return the messages that are due."""
        messages = []
        for address, entry in self._entries.items():
            due = entry.pop_due(now)
            if due:
                messages.append(Send(Peer(address), self._message(due, now)))
        return messages

    def _message(self, job_ids, now):
        """Return the message with cancels and how long they must be kept."""
        return CancelJobs(
            tuple(
                (job_id, max(1, round((self._kept_until[job_id] - now) * MS_PER_S)))
                for job_id in job_ids
            )
        )

    def _expire(self, now):
        """Forget the cancels of jobs that can't be open any more."""
        if now < self._next_expiry_at:
            return []
        self._next_expiry_at = now + EXPIRY_INTERVAL_S
        expired = [
            job_id
            for job_id, kept_until in self._kept_until.items()
            if kept_until <= now
        ]
        for job_id in expired:
            del self._kept_until[job_id]
        effects = []
        for address, entry in self._entries.items():
            missing = sum([entry.remove(job_id) for job_id in expired])
            if missing:
                effects.append(events.cancels_unacknowledged(address, missing))
        return effects
