"""Quorum: how entries confirm a view while the store can't be reached.

Before a change is written to the store, it is announced to a majority of the
entries, and each of those applies its restrictions. While the store does not answer,
an entry may therefore trust its view if a majority answers and none of them knows
anything newer: any two majorities have an entry in common. This follows the node
quorum of the paper cited in docs/design/view.md; no consensus state is stored here.
"""

MAX_PENDING = 32


class QuorumTracker:
    """Records when each entry last answered a poll, and the announced changes.

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
        """Store an announced change; return False if `MAX_PENDING` are stored."""
        if change not in self._pending:
            if len(self._pending) >= MAX_PENDING:
                return False
            self._pending = (*self._pending, change)
        return True

    def announced_changes(self, versions):
        """Return the announced changes newer than these versions; drop the others."""
        self._pending = tuple(
            change for change in self._pending if not change.is_superseded_by(versions)
        )
        return self._pending

    def on_poll_answer(self, incarnation, asked_at):
        """Record an entry's answer to a poll sent at `asked_at`."""
        latest = self._asked_at.get(incarnation, asked_at)
        self._asked_at[incarnation] = max(latest, asked_at)

    def quorum_confirmed_at(self, rosters, now):
        """Return when a majority of each roster's entries confirmed the view, or None.

        Parameters
        ----------
        rosters : sequence of Roster
            The accepted roster and those that are announced.
        now : float
            Monotonic seconds; this entry counts as polled at this time.

        Returns
        -------
        float or None
            Monotonic seconds, the earliest over the rosters.
        """
        majority_times = [self._majority_at(roster, now) for roster in rosters]
        return None if None in majority_times else min(majority_times)

    def _majority_at(self, roster, now):
        """Return the earliest poll time of the latest polled majority, or None."""
        voters = {entry.incarnation for entry in roster.present_members("entry")}
        if self._own_incarnation not in voters:
            return None
        times = [
            now if voter == self._own_incarnation else self._asked_at.get(voter)
            for voter in voters
        ]
        answered = sorted((time for time in times if time is not None), reverse=True)
        needed = majority(len(voters))
        return answered[needed - 1] if len(answered) >= needed else None


def majority(count):
    """Return the size of a majority of that many entries."""
    return count // 2 + 1
