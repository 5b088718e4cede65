"""Membership tracking: which members send heartbeats, and how the roster must change.

Every entry tracks the members on its own; concurrent changes are resolved by the
store's compare-and-swap.
"""

from dataclasses import dataclass

from ragwortlug.view.roster import Member, RosterChange, incarnation_of


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The latest heartbeat of a member; `received_at` is in monotonic seconds."""

    member: Member
    received_at: float
    leaving: bool
    handed_over: bool


class MembershipTracker:
    """Records the heartbeats that one entry received.

    Parameters
    ----------
    own_incarnation : str
        The incarnation of this entry.
    lost_after_s : float
        Time without a heartbeat after which a member counts as lost.
    """

    def __init__(self, own_incarnation, lost_after_s):
        self._own_incarnation = own_incarnation
        self._lost_after_s = lost_after_s
        self._heartbeats = {}
        self._last_contact_at = {}
        self._expected_since = {}

    def on_heartbeat(self, member, now, leaving=False, handed_over=False):
        """Record a heartbeat of a member."""
        self._heartbeats[member.name] = Heartbeat(member, now, leaving, handed_over)
        self._last_contact_at[member.incarnation] = now

    def silent_s(self, name, now):
        """Return the seconds since a heartbeat of a member was received or expected.

        Members find an entry by the roster, so the time before both were in the
        roster does not count. A heartbeat for a later session of the same process
        counts too.
        """
        since = self._expected_since.get(name, now)
        return now - max(since, self._last_contact_at.get(incarnation_of(name), since))

    def detect_changes(self, roster, configuration, now):
        """Return the changes that the roster needs, as a `RosterChange`."""
        self._remove_stale(now)
        self._update_expected_since(roster, now)
        fresh = [
            heartbeat
            for heartbeat in self._heartbeats.values()
            if now - heartbeat.received_at < self._lost_after_s
        ]
        members = {member.name: member for member in roster.members}
        departing = [
            member.name
            for member in roster.members
            if member.is_present and self._should_depart(member, configuration)
        ]
        return RosterChange(
            joining=tuple(
                heartbeat.member
                for heartbeat in fresh
                if self._should_join(heartbeat, members, configuration)
            ),
            departing=tuple(departing),
            lost=self._lost_members(roster, now),
            handed_over=_handed_over(fresh, roster),
            capacities=tuple(
                (heartbeat.member.name, heartbeat.member.capacity)
                for heartbeat in fresh
                if _capacity_differs(
                    members.get(heartbeat.member.name), heartbeat.member
                )
            ),
        )

    def _should_join(self, heartbeat, members, configuration):
        """Return whether the sender of a heartbeat must be added to the roster."""
        member = heartbeat.member
        if member.name in members or heartbeat.leaving:
            return False
        return member.role == "entry" or configuration.in_service(member.data_centre)

    def _should_depart(self, member, configuration):
        """Return whether a present member must leave the roster."""
        heartbeat = self._heartbeats.get(member.name)
        if heartbeat is not None and heartbeat.leaving:
            return True
        is_agent = member.role == "agent"
        return is_agent and not configuration.in_service(member.data_centre)

    def _lost_members(self, roster, now):
        """Return the names of silent members, or () if most agents are silent.

        An entry that gets heartbeats from less than half of the agents is itself
        disconnected and reports no member as lost.
        """
        expected = [member for member in roster.members if not _has_ended(member)]
        silent = [
            member.name
            for member in expected
            if self.silent_s(member.name, now) > self._lost_after_s
        ]
        agents = {member.name for member in expected if member.role == "agent"}
        silent_agents = agents.intersection(silent)
        if len(silent_agents) * 2 > len(agents) and len(agents) > 1:
            return ()
        return tuple(silent)

    def _update_expected_since(self, roster, now):
        """Record since when each member could know this entry."""
        is_present = any(
            entry.incarnation == self._own_incarnation
            for entry in roster.present_members("entry")
        )
        names = {member.name for member in roster.members} if is_present else set()
        self._expected_since = {
            name: self._expected_since.get(name, now) for name in names
        }

    def _remove_stale(self, now):
        """Remove members without a heartbeat for ten times the loss timeout."""
        limit_s = 10 * self._lost_after_s
        self._heartbeats = {
            name: heartbeat
            for name, heartbeat in self._heartbeats.items()
            if now - heartbeat.received_at < limit_s
        }
        self._last_contact_at = {
            incarnation: contact_at
            for incarnation, contact_at in self._last_contact_at.items()
            if now - contact_at < limit_s
        }


def _has_ended(member):
    """Return whether the roster needs no further change for a departed member."""
    return not member.is_present and (
        member.lost or member.handed_over or member.role == "entry"
    )


def _handed_over(fresh, roster):
    """Return the names of members whose process reports the handover as done."""
    done = {
        heartbeat.member.incarnation for heartbeat in fresh if heartbeat.handed_over
    }
    return tuple(
        member.name
        for member in roster.members
        if member.incarnation in done and not member.handed_over
    )


def _capacity_differs(listed, member):
    """Return whether a present member's capacity differs from that in the roster."""
    return (
        listed is not None and listed.is_present and listed.capacity != member.capacity
    )
