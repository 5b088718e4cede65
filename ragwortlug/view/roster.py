"""The roster: which entries and agents there are, and for which births each is home.

An agent is home only for ids born in ``[since_ms, until_ms)``. A change of the
roster names an instant ahead of its commit, so that a join or a departure moves
no id that was born before it.
"""

from dataclasses import dataclass, replace
from typing import Literal

from ragwortlug.model import Capacity


@dataclass(frozen=True, slots=True)
class Member:
    """One process, for one unbroken stay in the roster.

    Attributes
    ----------
    name : str
        Unique for each stay; a restart at the same address has another name.
    address : str
        Where it takes messages, as ``tcp://IP:PORT``.
    since_ms, until_ms : int
        The births, in Unix milliseconds, for which an agent is home;
        `until_ms` is None while it stays.
    lost : bool
        Whether the member departed because nothing was heard of it.
    handed_over : bool
        Whether a departed agent has handed its records to the heirs.
    capacity : Capacity or None
        What the agent's target offers, None without a target.
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
        """Return the name of the process, the same for all its stays."""
        return incarnation_of(self.name)

    @property
    def is_present(self):
        """Return whether the member has not departed."""
        return self.until_ms is None

    def covers(self, created_at_ms):
        """Return whether ids born then may be at home here."""
        if created_at_ms < self.since_ms:
            return False
        return self.until_ms is None or created_at_ms < self.until_ms


@dataclass(frozen=True, slots=True)
class Roster:
    """All members, with a version that rises with every change.

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
        return next((each for each in self.members if each.name == name), None)

    def present_members(self, role):
        """Return the members of a role that have not departed."""
        return tuple(
            each for each in self.members if each.role == role and each.is_present
        )


def describe_change(before, after):
    """Return a short sentence on what differs between two rosters."""
    old = {each.name: each for each in before.members}
    parts = []
    for member in after.members:
        known = old.get(member.name)
        if known is None:
            parts.append(f"{member.name} joins")
        elif member.lost and not known.lost:
            parts.append(f"{member.name} is lost")
        elif known.is_present and not member.is_present:
            parts.append(f"{member.name} leaves")
        elif member.handed_over and not known.handed_over:
            parts.append(f"{member.name} has handed over")
        elif member.capacity != known.capacity:
            parts.append(f"{member.name} offers something else")
    return ", ".join(parts) or "only settings differ"


def incarnation_of(name):
    """Return the process that a member's name belongs to."""
    return name.rpartition("/")[0]


def member_name(incarnation, session):
    """Return the member name of a process's stay, counted from 0."""
    return f"{incarnation}/{session}"


@dataclass(frozen=True, slots=True)
class RosterChange:
    """What is to change, as one commit.

    Attributes
    ----------
    joining : tuple of Member
        New members; their `since_ms` is set by `apply_roster_change`.
    departing, lost, handed_over : tuple of str
        Names of members that leave, that are silent, or that have handed over
        their records.
    capacities : tuple of (str, Capacity or None)
        What targets now offer, by member name.
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
        The birth from which joins and departures count. The first roster of
        all has no predecessor, so its agents are home for every birth.
    forget_before_ms : int
        Members that departed earlier are dropped.
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
    known = {member.name for member in members}
    joining = (each for each in change.joining if each.name not in known)
    members.extend(replace(each, since_ms=since) for each in joining)
    after = tuple(members)
    if after == roster.members:
        return roster
    return Roster(roster.version + 1, after, roster.vouching)
