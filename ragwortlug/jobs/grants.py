"""The grants that agents have not answered yet, by number."""

from collections import Counter
from dataclasses import dataclass

from ragwortlug.envelope import Peer
from ragwortlug.jobs.record import JobRecord


@dataclass(slots=True)
class OutstandingGrant:
    """A grant that is out."""

    record: JobRecord
    index: int
    agent: Peer
    last_probe_at: float


class OutstandingGrants:
    """All grants of one home that are out."""

    def __init__(self):
        self._grants = {}
        self._last_number = 0
        self._by_team = Counter()
        self._late = 0

    @property
    def late_replies(self):
        """Return how many replies named a grant that is not out."""
        return self._late

    def of_team(self, team):
        """Return the number of a team's grants that are out."""
        return self._by_team[team]

    def issue(self, record, index, agent, now):
        """Take note of a new grant and return its number."""
        self._last_number += 1
        self._grants[self._last_number] = OutstandingGrant(record, index, agent, now)
        self._by_team[record.job.team] += 1
        return self._last_number

    def take(self, sender, number):
        """Return and forget a grant, or None if the reply is late or foreign."""
        grant = self._grants.get(number)
        if grant is None or grant.agent.incarnation != sender.incarnation:
            self._late += 1
            return None
        del self._grants[number]
        self._by_team[grant.record.job.team] -= 1
        return grant

    def take_from(self, incarnations):
        """Return and forget every grant that some agents have."""
        numbers = [
            (grant.agent, number)
            for number, grant in self._grants.items()
            if grant.agent.incarnation in incarnations
        ]
        return [self.take(agent, number) for agent, number in numbers]

    def of_record(self, record):
        """Return the numbers of a job's grants, by agent."""
        return _by_agent(
            (number, grant)
            for number, grant in self._grants.items()
            if grant.record is record
        )

    def overdue(self, now, after_s):
        """Return the numbers not asked after for so long, by agent."""
        overdue = [
            (number, grant)
            for number, grant in self._grants.items()
            if now - grant.last_probe_at >= after_s
        ]
        for _, grant in overdue:
            grant.last_probe_at = now
        return _by_agent(overdue)


def _by_agent(grants):
    """Return numbers of grants, by agent."""
    found = {}
    for number, grant in grants:
        found.setdefault(grant.agent, []).append(number)
    return {agent: tuple(numbers) for agent, numbers in found.items()}
