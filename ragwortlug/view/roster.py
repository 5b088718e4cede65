"""The roster: all entries and agents, and for which ids an agent may be home.

An agent is home only for ids created in ``[since_ms, until_ms)``. A roster change
takes effect at a time after its commit, so that a join or a departure moves no id
that was created before.
"""

from dataclasses import dataclass, replace
from typing import Literal

from ragwortlug.model import Capacity


@dataclass(frozen=True, slots=True)
class Member:
    """One process, for one session: its unbroken time in the roster.

    Attributes
    ----------
    name : str
        Unique for each session; a process restarted at the same address has another
        name.
    address : str
        Where it receives messages, as ``tcp://IP:PORT``.
    since_ms, until_ms : int
        The creation times of ids, in Unix milliseconds, for which an agent is home;
        `until_ms` is None until the member departs.
    lost : bool
        Whether the member departed because its heartbeats stopped.
    handed_over : bool
        Whether a departed agent has handed its records to its successors.
    capacity : Capacity or None
        The capacity of the agent's target, None without a target.
    """

    name: str
    role: Literal["entry", "agent"]
    address: str
    data_centre: str
    rack: str = ""
    since_ms: int = 0
    until_ms: int | None = None
    lost: bool = False
    handed_over: bool = False
    capacity: Capacity | None = None

    @property
    def incarnation(self):
        """Return the name of the process, the same for all its sessions."""
        return incarnation_of(self.name)

    @property
    def is_present(self):
        """Return whether the member has not departed."""
        return self.until_ms is None

    def covers(self, created_at_ms):
        """Return whether ids created at that time may be homed on this member."""
        if created_at_ms < self.since_ms:
            return False
        return self.until_ms is None or created_at_ms < self.until_ms


@dataclass(frozen=True, slots=True)
class Roster:
    """All members, with a version that increases with every change.

    Attributes
    ----------
    vouching : bool
        Whether a majority of entries may confirm views without the store.
    """

    version: int = 0
    members: tuple[Member, ...] = ()
    vouching: bool = True

    def find_member(self, name):
        """Return the member of that name, or None."""
        return next((member for member in self.members if member.name == name), None)

    def present_members(self, role):
        """Return the members of a role that have not departed."""
        return tuple(
            member
            for member in self.members
            if member.role == role and member.is_present
        )


def describe_change(before, after):
    """Return a short description of the differences between two rosters."""
    old_members = {member.name: member for member in before.members}
    parts = []
    for member in after.members:
        old = old_members.get(member.name)
        if old is None:
            parts.append(f"{member.name} joins")
        elif member.lost and not old.lost:
            parts.append(f"{member.name} is lost")
        elif old.is_present and not member.is_present:
            parts.append(f"{member.name} leaves")
        elif member.handed_over and not old.handed_over:
            parts.append(f"{member.name} has handed over")
        elif member.capacity != old.capacity:
            parts.append(f"{member.name} changes its capacity")
    return ", ".join(parts) or "only settings differ"


def incarnation_of(name):
    """Return the incarnation of the process that a member's name belongs to."""
    return name.rpartition("/")[0]


def member_name(incarnation, session):
    """Return the member name for a session of a process, counted from 0."""
    return f"{incarnation}/{session}"


@dataclass(frozen=True, slots=True)
class RosterChange:
    """Changes to a roster that are committed together.

    Attributes
    ----------
    joining : tuple of Member
        New members; their `since_ms` is set by `apply_roster_change`.
    departing, lost, handed_over : tuple of str
        Names of members that leave, whose heartbeats stopped, or that have handed
        over their records.
    capacities : tuple of (str, Capacity or None)
        Current capacities of targets, by member name.
    """

    joining: tuple[Member, ...] = ()
    departing: tuple[str, ...] = ()
    lost: tuple[str, ...] = ()
    handed_over: tuple[str, ...] = ()
    capacities: tuple[tuple[str, Capacity | None], ...] = ()


def apply_roster_change(roster, change, cutoff_ms, forget_before_ms):
    """Return the roster after a change, or the same roster if nothing changes.

    Parameters
    ----------
    cutoff_ms : int
        The creation time from which joins and departures apply. The very first
        roster has no predecessor, so its agents are home for every creation time.
    forget_before_ms : int
        Members that departed earlier are removed.
    """
    since = cutoff_ms if roster.version else 0
    lost = set(change.lost)
    departing = lost | set(change.departing)
    handed_over = set(change.handed_over)
    capacities = dict(change.capacities)
    members = []
    for member in roster.members:
        if not member.is_present and member.until_ms < forget_before_ms:
            continue
        if member.name in departing and member.is_present:
            member = replace(member, until_ms=max(cutoff_ms, member.since_ms))
        if member.name in lost:
            member = replace(member, lost=True)
        if member.name in handed_over:
            member = replace(member, handed_over=True)
        if member.name in capacities:
            member = replace(member, capacity=capacities[member.name])
        members.append(member)
    names = {member.name for member in members}
    joining = (member for member in change.joining if member.name not in names)
    members.extend(replace(member, since_ms=since) for member in joining)
    after = tuple(members)
    if after == roster.members:
        return roster
    return Roster(roster.version + 1, after, roster.vouching)
