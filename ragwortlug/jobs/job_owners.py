"""The entries that have jobs open which a caller may submit to another entry.

A caller whose connection breaks submits its job again, at any entry, while the first
one may not have noticed. Entries therefore announce their open jobs to each other
before a caller can have returned. Younger jobs are left out, which are most of them.
"""

import dataclasses
from dataclasses import dataclass

from ragwortlug.envelope import Peer, Send
from ragwortlug.lease_messages import OpenJobs, RelayedJobs, RunsStopping

MS_PER_S = 1000.0
# Announcements go out with the first tick after this time.
ANNOUNCEMENT_INTERVAL_S = 0.2
# How much longer than its runs may exist an entry must be silent. An announcement may
# be late or lost.
SILENCE_MARGIN_S = 0.5
FORGET_AFTER_S = 60.0


@dataclass(frozen=True, slots=True)
class Announcement:
    """The latest announcement of another entry's process.

    Attributes
    ----------
    peer : Peer
        The process.
    job_ids : frozenset of str
        Its open jobs that are old enough.
    received_at : float
        Monotonic seconds.
    number : int
        Its number; 0 if it was relayed.
    """

    peer: Peer
    job_ids: frozenset
    received_at: float
    number: int = 0


class JobOwners:
    """What one dispatcher announces of its jobs, and knows of those of others.

    Parameters
    ----------
    settings : RestartSettings
        Gives the times after which callers return and permissions have expired.
    """

    def __init__(self, settings):
        self._announced_age_s = settings.announced_age_ms / MS_PER_S
        self._silence_s = settings.orphan_ms / MS_PER_S + SILENCE_MARGIN_S
        # Agents stop the runs of a dispatcher that they miss after this time.
        self._isolated_after_s = (
            settings.permission_ms - settings.stop_ahead_ms
        ) / MS_PER_S
        # By process, as runs of one that has stopped may exist until it is silent.
        self._announcements = {}
        # The notices of jobs that were given up, by job id and process, until the
        # process has announced all its jobs again.
        self._given_up = {}
        self._other_addresses = ()
        self._sent_at = float("-inf")
        self._next_number = 0

    @property
    def announced_age_s(self):
        """Return from which age on a job may have been submitted elsewhere."""
        return self._announced_age_s

    @property
    def isolated_after_s(self):
        """Return after which silence others may be missing this entry."""
        return self._isolated_after_s

    @property
    def silence_s(self):
        """Return after which silence no run of another entry's jobs can exist."""
        return self._silence_s

    @property
    def other_addresses(self):
        """Return the addresses of the other entries, a tuple."""
        return self._other_addresses

    @property
    def knows_others(self):
        """Return whether another entry has been in contact."""
        return bool(self._announcements)

    def set_entries(self, addresses, own_address):
        """Set the addresses of the entries that get announcements."""
        self._other_addresses = tuple(sorted({*addresses} - {own_address}))

    def hears_entry(self, now):
        """Return whether another entry has been in contact recently.

        This entry misses the others sooner than these take over its jobs.
        """
        return any(
            self._is_recent(announcement, now)
            for announcement in self._announcements.values()
        )

    def is_outdated(self, sender, message):
        """Return whether a later announcement of the sender has arrived."""
        known = self._announcements.get(sender)
        return known is not None and message.number <= known.number

    def on_open_jobs(self, sender, message, now):
        """Record another entry's announcement.

        Returns
        -------
        bool
            Whether the entry is new or was silent, so that it needs an announcement.
        """
        known = self._announcements.get(sender)
        is_back = known is None or not self._is_recent(known, now)
        job_ids = frozenset(job_id for job_id, _ in message.jobs)
        job_ids |= frozenset(message.stopping)
        self._announcements[sender] = Announcement(sender, job_ids, now, message.number)
        self._keep_notices(
            lambda notice: notice.peer != sender or notice.number > message.number
        )
        for relayed in message.relayed:
            if relayed.owner not in self._announcements:
                self._announcements[relayed.owner] = Announcement(
                    relayed.owner,
                    frozenset(relayed.job_ids),
                    now - relayed.age_ms / MS_PER_S,
                )
        return is_back

    def on_runs_stopping(self, sender, message, now):
        """Record a job that another entry has just given up."""
        job_ids = frozenset((message.job_id,))
        given_up = Announcement(sender, job_ids, now, message.number)
        self._given_up.setdefault(message.job_id, {})[sender] = given_up

    def owner_of(self, job_id, now):
        """Return the `Announcement` of the entry that may have runs of a job, or None.

        Entries that have been silent for so long that no run of theirs can exist are
        left out.
        """
        announcements = (
            *self._given_up.get(job_id, {}).values(),
            *self._announcements.values(),
        )
        owners = (
            announcement
            for announcement in announcements
            if job_id in announcement.job_ids
            and now - announcement.received_at <= self._silence_s
        )
        return next(owners, None)

    def remove(self, owner, job_id):
        """Record that an entry no longer has a job."""
        self._given_up.get(job_id, {}).pop(owner, None)
        known = self._announcements.get(owner)
        if known is not None:
            job_ids = known.job_ids - {job_id}
            self._announcements[owner] = dataclasses.replace(known, job_ids=job_ids)

    def announce(self, records, stopping, silent, now):
        """Return the `Send` effects of the announcements that are due.

        Parameters
        ----------
        records : mapping
            The open jobs: job id to `RestartableRecord`.
        stopping : set of str
            Ids of jobs that were given up, with runs that have not ended. They may be
            open again.
        silent : tuple of str
            The addresses of the entries whose messages do not arrive directly.
        """
        if now - self._sent_at < ANNOUNCEMENT_INTERVAL_S:
            return []
        self._sent_at = now
        self._forget_silent(now)
        message = self.announcement(records, stopping, silent, now)
        return [Send(Peer(address), message) for address in self._other_addresses]

    def announce_stopping(self, job_id):
        """Return the `Send` effects that announce a job which was just given up."""
        message = RunsStopping(self._next_number + 1, job_id)
        return [Send(Peer(address), message) for address in self._other_addresses]

    def announcement(self, records, stopping, silent, now, disputed=(), newcomer=None):
        """Return the message with all jobs that callers may submit elsewhere.

        `disputed` are the ids of younger jobs to include. A `newcomer` also gets
        those of other entries.
        """
        jobs = tuple(
            (job_id, round((now - record.arrived) * MS_PER_S))
            for job_id, record in records.items()
            if now - record.arrived >= self._announced_age_s or job_id in disputed
        )
        relayed = () if newcomer is None else self._relayed(newcomer, now)
        self._next_number += 1
        stopping_jobs = tuple(sorted(stopping))
        return OpenJobs(self._next_number, jobs, stopping_jobs, relayed, silent)

    def _relayed(self, newcomer, now):
        """Return what a new process must know of the others, a tuple."""
        return tuple(
            RelayedJobs(
                known.peer,
                round((now - known.received_at) * MS_PER_S),
                tuple(sorted(known.job_ids)),
            )
            for known in self._announcements.values()
            if known.peer != newcomer
            and known.job_ids
            and now - known.received_at <= self._silence_s
        )

    def _is_recent(self, announcement, now):
        """Return whether an entry's latest announcement is recent."""
        return now - announcement.received_at <= self._isolated_after_s

    def _forget_silent(self, now):
        """Remove the processes that have been silent for long."""
        self._announcements = {
            peer: announcement
            for peer, announcement in self._announcements.items()
            if now - announcement.received_at < FORGET_AFTER_S
        }
        self._keep_notices(lambda notice: now - notice.received_at <= self._silence_s)

    def _keep_notices(self, is_kept):
        """Remove the notices for which the function `is_kept` returns False."""
        kept = {
            job_id: {peer: each for peer, each in notices.items() if is_kept(each)}
            for job_id, notices in self._given_up.items()
        }
        self._given_up = {
            job_id: notices for job_id, notices in kept.items() if notices
        }
