"""Homes: which agent answers for an id, and when it may be sure of that.

Ids fall into buckets; each bucket's home is the agent of greatest rendezvous
weight among those that cover the id's birth. Every process with the same roster
computes the same home.
"""

import bisect

import xxhash

from ragwortlug.model import job_created_at_ms

BUCKETS = 4096


def bucket_of(job_id):
    """Return the bucket of an id, from 0 to `BUCKETS` - 1."""
    return xxhash.xxh3_64_intdigest(job_id.encode()) % BUCKETS


def weight(name, bucket):
    """Return the rendezvous weight of a member for a bucket."""
    return xxhash.xxh3_64_intdigest(f"{name}/{bucket}".encode())


class HomeMap:
    """The homes that one roster gives.

    Parameters
    ----------
    roster : Roster
        The roster that is asked.
    """

    def __init__(self, roster):
        self._agents = [each for each in roster.members if each.role == "agent"]
        edges = {each.since_ms for each in self._agents}
        edges |= {each.until_ms for each in self._agents if not each.is_present}
        self._edges = sorted(edges)
        self._cache = {}

    def home_of(self, job_id):
        """Return the member with the right to start this id, or None."""
        return self._covering(bucket_of(job_id), job_created_at_ms(job_id))

    def record_holder(self, job_id):
        """Return the member that holds the id's record, or None.

        That is the home, or the heir of a home that handed its records over.
        """
        bucket = bucket_of(job_id)
        member = self._covering(bucket, job_created_at_ms(job_id))
        while member is not None and member.handed_over:
            member = self.successor(member, bucket)
        return member

    def successor(self, departed, bucket):
        """Return the member that takes over a departed one's records."""
        stayed = (
            each
            for each in self._agents
            if each.name != departed.name
            and each.since_ms <= departed.until_ms
            and (each.until_ms is None or each.until_ms > departed.until_ms)
        )
        return _heaviest(stayed, bucket)

    def _covering(self, bucket, created_at_ms):
        """Return the heaviest agent that covers a birth."""
        key = (bisect.bisect_right(self._edges, created_at_ms), bucket)
        if key not in self._cache:
            covering = (each for each in self._agents if each.covers(created_at_ms))
            self._cache[key] = _heaviest(covering, bucket)
        return self._cache[key]


class HomeGuard:
    """What this process must not start yet, since another may have started it.

    A change of the roster is committed no later than it is learned. Until the
    last process that has not heard of it stops trusting its old view, ids of the
    buckets that the change moved here may still be started by their old home.

    Parameters
    ----------
    overlap_ms : int
        Longest time after a commit in which the old home may still start ids,
        with the greatest difference between two clocks added.
    """

    def __init__(self, overlap_ms):
        self._overlap_ms = overlap_ms
        self._members = {}
        self._departed = ()
        self._learned_ms = {}
        self._closed_before_ms = 0

    def on_roster(self, roster, now_ms):
        """Take note of a roster and of the time at which it became known."""
        current = {each.name: each for each in roster.members if each.role == "agent"}
        for name, before in self._members.items():
            if name not in current and before.is_present:
                self._closed_before_ms = now_ms + self._overlap_ms
        for member in current.values():
            self._learn_edge((member.name, "since"), member.since_ms > 0, now_ms)
            self._learn_edge((member.name, "until"), not member.is_present, now_ms)
        self._members = current
        self._departed = tuple(each for each in current.values() if not each.is_present)
        self._learned_ms = {
            edge: learned
            for edge, learned in self._learned_ms.items()
            if edge[0] in current
        }

    def is_sole_starter(self, member, job_id):
        """Return whether no other process may still start this id."""
        created_at_ms = job_created_at_ms(job_id)
        if created_at_ms < max(
            self._closed_before_ms, self._until(member.name, "since")
        ):
            return False
        bucket = bucket_of(job_id)
        own = weight(member.name, bucket)
        return not any(
            other.until_ms <= created_at_ms < self._until(other.name, "until")
            and weight(other.name, bucket) > own
            for other in self._departed
        )

    def _learn_edge(self, edge, exists, now_ms):
        """Keep the time at which an edge was first seen."""
        if exists:
            self._learned_ms.setdefault(edge, now_ms)

    def _until(self, name, kind):
        """Return the birth before which an edge leaves ids unsettled."""
        learned = self._learned_ms.get((name, kind))
        return 0 if learned is None else learned + self._overlap_ms


def _heaviest(members, bucket):
    """Return the member of greatest weight, or None if there is none."""
    return max(members, key=lambda each: weight(each.name, bucket), default=None)
