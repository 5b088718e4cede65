"""Vouching: how entries confirm a view while the store can't be reached.

Before a change is written to the store it is announced to a majority of the
entries, and each of those lets the announcement restrict it. While the store is
silent, an entry that hears from a majority, none of which knows of anything
newer, may therefore trust its view: two majorities have an entry in common.
This follows the node quorum of the paper cited in docs/design/view.md; no agreed
state is kept here.
"""

MAX_PENDING = 32


class QuorumTracker:
    """When each entry last spoke, and which changes were announced.

    Parameters
    ----------
    own_incarnation : str
        The incarnation of this entry.
    """

    def __init__(self, own_incarnation):
        self._own_incarnation = own_incarnation
        self._asked_at = {}
        self._pending = ()

    def add_announced(self, change):
        """Keep an announced change; return whether it is kept."""
        if change not in self._pending:
            if len(self._pending) >= MAX_PENDING:
                return False
            self._pending = (*self._pending, change)
        return True

    def announced_changes(self, versions):
        """Return the announced changes that these versions do not settle."""
        self._pending = tuple(
            each for each in self._pending if not each.is_superseded_by(versions)
        )
        return self._pending

    def on_poll_answer(self, incarnation, asked_at):
        """Take note of an entry's answer to a poll sent at `asked_at`."""
        known = self._asked_at.get(incarnation, asked_at)
        self._asked_at[incarnation] = max(known, asked_at)

    def quorum_confirmed_at(self, rosters, now):
        """Return when a majority of each roster's entries vouched, or None.

        Parameters
        ----------
        rosters : sequence of Roster
            The accepted roster and those that are announced.
        now : float
            Monotonic seconds; this entry vouches for itself as of now.
        """
        instants = [self._majority_at(roster, now) for roster in rosters]
        return None if None in instants else min(instants)

    def _majority_at(self, roster, now):
        """Return when the last entry of the freshest majority was asked."""
        voters = {each.incarnation for each in roster.present_members("entry")}
        if self._own_incarnation not in voters:
            return None
        times = [
            now if voter == self._own_incarnation else self._asked_at.get(voter)
            for voter in voters
        ]
        known = sorted((each for each in times if each is not None), reverse=True)
        needed = majority(len(voters))
        return known[needed - 1] if len(known) >= needed else None


def majority(count):
    """Return the size of a majority."""
    return count // 2 + 1
