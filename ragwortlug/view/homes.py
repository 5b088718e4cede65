"""Homes: which agent is responsible for a job id, and when it may start the job.

Ids fall into buckets; each bucket's home is the agent of greatest rendezvous
weight among those that cover the id's creation time. Every process with the same
roster computes the same home.
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
    """Computes the homes of ids by one roster and caches them.

    Parameters
    ----------
    roster : Roster
        The roster to read.
    """

    def __init__(self, roster):
        self._agents = [member for member in roster.members if member.role == "agent"]
        edges = {agent.since_ms for agent in self._agents}
        edges |= {agent.until_ms for agent in self._agents if not agent.is_present}
        self._edges = sorted(edges)
        self._cache = {}

    def home_of(self, job_id):
        """Return the member that may start the job of this id, or None."""
        return self._covering(bucket_of(job_id), job_created_at_ms(job_id))

    def record_holder(self, job_id):
        """Return the member that holds the id's record, or None.

        That is the home, or the successor of a home that handed its records over.
        """
        bucket = bucket_of(job_id)
        member = self._covering(bucket, job_created_at_ms(job_id))
        while member is not None and member.handed_over:
            member = self.successor(member, bucket)
        return member

    def successor(self, departed, bucket):
        """Return the member that receives a departed member's records, or None."""
        stayed = (
            agent
            for agent in self._agents
            if agent.name != departed.name
            and agent.since_ms <= departed.until_ms
            and (agent.until_ms is None or agent.until_ms > departed.until_ms)
        )
        return _heaviest(stayed, bucket)

    def _covering(self, bucket, created_at_ms):
        """Return the agent of greatest weight that covers a creation time, or None."""
        key = (bisect.bisect_right(self._edges, created_at_ms), bucket)
        if key not in self._cache:
            covering = (agent for agent in self._agents if agent.covers(created_at_ms))
            self._cache[key] = _heaviest(covering, bucket)
        return self._cache[key]


class HomeGuard:
    """Decides which ids this process must not start yet, since another one may do so.

    A roster change is committed before any process receives it. Until the views of
    all processes that have not received it are no longer confirmed, the old home
    may still start ids of the buckets that the change moved to this process.

    Parameters
    ----------
    overlap_ms : int
        Longest time after a commit in which the old home may still start ids,
        plus the greatest difference between two clocks.
    """

    def __init__(self, overlap_ms):
        self._overlap_ms = overlap_ms
        self._members = {}
        self._departed = ()
        self._edge_received_ms = {}
        self._closed_before_ms = 0

    def on_roster(self, roster, now_ms):
        """Record a roster that was received at `now_ms`, in Unix milliseconds."""
        current = {
            member.name: member for member in roster.members if member.role == "agent"
        }
        for name, previous in self._members.items():
            if name not in current and previous.is_present:
                self._closed_before_ms = now_ms + self._overlap_ms
        for member in current.values():
            self._record_edge((member.name, "since"), member.since_ms > 0, now_ms)
            self._record_edge((member.name, "until"), not member.is_present, now_ms)
        self._members = current
        self._departed = tuple(
            member for member in current.values() if not member.is_present
        )
        self._edge_received_ms = {
            edge: received_ms
            for edge, received_ms in self._edge_received_ms.items()
            if edge[0] in current
        }

    def is_sole_starter(self, member, job_id):
        """Return whether no other process may still start this id."""
        created_at_ms = job_created_at_ms(job_id)
        if created_at_ms < max(
            self._closed_before_ms, self._uncertain_before_ms(member.name, "since")
        ):
            return False
        bucket = bucket_of(job_id)
        own_weight = weight(member.name, bucket)
        return not any(
            other.until_ms
            <= created_at_ms
            < self._uncertain_before_ms(other.name, "until")
            and weight(other.name, bucket) > own_weight
            for other in self._departed
        )

    def _record_edge(self, edge, exists, now_ms):
        """Record the time at which an edge was first received."""
        if exists:
            self._edge_received_ms.setdefault(edge, now_ms)

    def _uncertain_before_ms(self, name, kind):
        """Return the creation time before which an edge may be unknown to others."""
        received_ms = self._edge_received_ms.get((name, kind))
        return 0 if received_ms is None else received_ms + self._overlap_ms


def _heaviest(members, bucket):
    """Return the member of greatest weight, or None if there is none."""
    return max(members, key=lambda member: weight(member.name, bucket), default=None)
