"""The census: which members have been heard of, and what the roster lacks.

Every entry takes its own; their changes meet in the store's compare-and-swap.
"""

from dataclasses import dataclass

from ragwortlug.view.roster import Member, RosterChange, incarnation_of


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The last word of a member."""

    member: Member
    received_at: float
    leaving: bool
    handed_over: bool


class MembershipTracker:
    """What one entry has heard of the members.

    Parameters
    ----------
    own_incarnation : str
        The incarnation of this entry.
    lost_after_s : float
        Silence after which a member is taken for lost.
    """

    def __init__(self, own_incarnation, lost_after_s):
        self._own_incarnation = own_incarnation
        self._lost_after_s = lost_after_s
        self._heartbeats = {}
        self._last_contact_at = {}
        self._watched_since = {}

    def on_heartbeat(self, member, now, leaving=False, handed_over=False):
        """Take note of a member's word."""
        self._heartbeats[member.name] = Heartbeat(member, now, leaving, handed_over)
        self._last_contact_at[member.incarnation] = now

    def silent_s(self, name, now):
        """Return for how long a member should have been heard, and was not.

        Members find an entry by the roster, so that silence before both were in
        the roster does not count. A process may speak for a later stay.
        """
        last = self._watched_since.get(name, now)
        return now - max(last, self._last_contact_at.get(incarnation_of(name), last))

    def detect_changes(self, roster, configuration, now):
        """Return what the roster lacks, as a `RosterChange`."""
        self._forget(now)
        self._watch(roster, now)
        fresh = [
            each
            for each in self._heartbeats.values()
            if now - each.received_at < self._lost_after_s
        ]
        known = {each.name: each for each in roster.members}
        departing = [
            each.name
            for each in roster.members
            if each.is_present and self._departs(each, configuration)
        ]
        return RosterChange(
            joining=tuple(
                each.member for each in fresh if self._joins(each, known, configuration)
            ),
            departing=tuple(departing),
            lost=self._lost(roster, now),
            handed_over=_handed_over(fresh, roster),
            capacities=tuple(
                (each.member.name, each.member.capacity)
                for each in fresh
                if _differs(known.get(each.member.name), each.member)
            ),
        )

    def _joins(self, heartbeat, known, configuration):
        """Return whether a member heard of belongs in the roster."""
        member = heartbeat.member
        if member.name in known or heartbeat.leaving:
            return False
        return member.role == "entry" or configuration.in_service(member.data_centre)

    def _departs(self, member, configuration):
        """Return whether a present member is to leave."""
        heartbeat = self._heartbeats.get(member.name)
        if heartbeat is not None and heartbeat.leaving:
            return True
        is_agent = member.role == "agent"
        return is_agent and not configuration.in_service(member.data_centre)

    def _lost(self, roster, now):
        """Return the members that are silent, unless this entry hears too few.

        An entry that hears less than half of the agents is itself the one cut
        off, and says nothing of the others.
        """
        watched = [each for each in roster.members if not _is_over(each)]
        silent = [
            each.name
            for each in watched
            if self.silent_s(each.name, now) > self._lost_after_s
        ]
        agents = {each.name for each in watched if each.role == "agent"}
        silent_agents = agents.intersection(silent)
        if len(silent_agents) * 2 > len(agents) and len(agents) > 1:
            return ()
        return tuple(silent)

    def _watch(self, roster, now):
        """Note since when each member could know of this entry."""
        present = any(
            each.incarnation == self._own_incarnation
            for each in roster.present_members("entry")
        )
        names = {each.name for each in roster.members} if present else set()
        self._watched_since = {
            name: self._watched_since.get(name, now) for name in names
        }

    def _forget(self, now):
        """Drop members not heard of for long."""
        limit = 10 * self._lost_after_s
        self._heartbeats = {
            name: each
            for name, each in self._heartbeats.items()
            if now - each.received_at < limit
        }
        self._last_contact_at = {
            name: at for name, at in self._last_contact_at.items() if now - at < limit
        }


def _is_over(member):
    """Return whether a member's end is settled in the roster."""
    return not member.is_present and (
        member.lost or member.handed_over or member.role == "entry"
    )


def _handed_over(fresh, roster):
    """Return the stays whose process says that it handed its records over."""
    done = {each.member.incarnation for each in fresh if each.handed_over}
    return tuple(
        each.name
        for each in roster.members
        if each.incarnation in done and not each.handed_over
    )


def _differs(known, member):
    """Return whether a present member's capacity is other than the roster says."""
    return known is not None and known.is_present and known.capacity != member.capacity
