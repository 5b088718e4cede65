"""The outstanding grants of a home: those that agents have not answered yet."""

from collections import Counter
from dataclasses import dataclass

from ragwortlug.envelope import Peer
from ragwortlug.jobs.record import JobRecord


@dataclass(slots=True)
class OutstandingGrant:
    """A grant of one task to an agent that has not answered it.

    Attributes
    ----------
    index : int
        Index of the task in its job.
    last_probe_at : float
        Monotonic seconds of the grant or of the latest probe for it.
    """

    record: JobRecord
    index: int
    agent: Peer
    last_probe_at: float


class OutstandingGrants:
    """All outstanding grants of one home, by number."""

    def __init__(self):
        self._grants = {}
        self._last_number = 0
        self._by_team = Counter()
        self._late_replies = 0

    @property
    def late_replies(self):
        """Return how many replies matched no outstanding grant of their sender."""
        return self._late_replies

    def count_of_team(self, team):
        """Return how many grants of a team are outstanding."""
        return self._by_team[team]

    def issue(self, record, index, agent, now):
        """Record a new grant and return its number."""
        self._last_number += 1
        self._grants[self._last_number] = OutstandingGrant(record, index, agent, now)
        self._by_team[record.job.team] += 1
        return self._last_number

    def pop(self, sender, number):
        """Remove and return a grant; None if it is not outstanding at the sender."""
        grant = self._grants.get(number)
        if grant is None or grant.agent.incarnation != sender.incarnation:
            self._late_replies += 1
            return None
        del self._grants[number]
        self._by_team[grant.record.job.team] -= 1
        return grant

    def pop_of_agents(self, incarnations):
        """Remove all grants of some agent incarnations and return them as a list."""
        numbers = [
            (grant.agent, number)
            for number, grant in self._grants.items()
            if grant.agent.incarnation in incarnations
        ]
        return [self.pop(agent, number) for agent, number in numbers]

    def numbers_of_record(self, record):
        """Return a dict of agent to the tuple of numbers of its grants of a job."""
        return _numbers_by_agent(
            (number, grant)
            for number, grant in self._grants.items()
            if grant.record is record
        )

    def overdue(self, now, after_s):
        """Return the numbers of the grants to probe, and record the probe time.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        after_s : float
            Seconds since the grant or its latest probe after which it is overdue.

        Returns
        -------
        dict
            Agent to a tuple of grant numbers.
        """
        overdue = [
            (number, grant)
            for number, grant in self._grants.items()
            if now - grant.last_probe_at >= after_s
        ]
        for _, grant in overdue:
            grant.last_probe_at = now
        return _numbers_by_agent(overdue)


def _numbers_by_agent(grants):
    """Return a dict of agent to a tuple of its grant numbers."""
    numbers_by_agent = {}
    for number, grant in grants:
        numbers_by_agent.setdefault(grant.agent, []).append(number)
    return {agent: tuple(numbers) for agent, numbers in numbers_by_agent.items()}
