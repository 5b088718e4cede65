"""The directory: a cache of look-ups in one view.

It answers which agents may run a service and what this home's share of a team's
quota is. Results are cached until the view changes.
"""

from dataclasses import dataclass

from ragwortlug.model import Capacity
from ragwortlug.policy import quotas
from ragwortlug.view.roster import Member


@dataclass(frozen=True, slots=True)
class Candidates:
    """The agents that may run a service.

    Attributes
    ----------
    members : tuple of Member
        The agents.
    by_incarnation : dict
        The same agents, by incarnation.
    offered_capacities : frozenset of Capacity
        Capacities offered for the service, also in data centres where it may not
        run now.
    slots, home_count : int
        Slots of all candidates together, and the number of homes.
    """

    members: tuple[Member, ...]
    by_incarnation: dict[str, Member]
    offered_capacities: frozenset[Capacity]
    slots: int
    home_count: int


class Directory:
    """Looks up candidates and quota shares for a home and caches them.

    Parameters
    ----------
    view : View
        The view to read.
    own_incarnation : str
        The incarnation of the home.
    """

    def __init__(self, view, own_incarnation):
        self._view = view
        self._own_incarnation = own_incarnation
        self._candidates = {}
        self._quota_shares = {}

    def clear(self):
        """Clear the cache, since the view has changed."""
        self._candidates.clear()
        self._quota_shares.clear()

    def candidates(self, service):
        """Return the `Candidates` for a service."""
        if service not in self._candidates:
            self._candidates[service] = _candidates(self._view, service)
        return self._candidates[service]

    def candidate(self, service, incarnation):
        """Return the agent of that incarnation if it may run a service, or None."""
        return self.candidates(service).by_incarnation.get(incarnation)

    def quota_share(self, team):
        """Return how many of a team's tasks this home may run, or None for no limit."""
        if team not in self._quota_shares:
            self._quota_shares[team] = self._look_up_quota_share(team)
        return self._quota_shares[team]

    def _look_up_quota_share(self, name):
        """Return the share, computed from the view."""
        team = self._view.configuration.team(name)
        if team is None:
            return None
        homes = [
            agent.incarnation for agent in self._view.roster.present_members("agent")
        ]
        return quotas.quota_share(team, homes, self._own_incarnation)


def _candidates(view, service):
    """Return the `Candidates` for a service, computed from a view."""
    agents = view.roster.present_members("agent")
    offering = [
        agent
        for agent in agents
        if agent.capacity is not None and service in agent.capacity.services
    ]
    members = tuple(
        agent
        for agent in offering
        if view.configuration.permits(service, agent.data_centre)
    )
    return Candidates(
        members,
        {member.incarnation: member for member in members},
        frozenset(agent.capacity for agent in offering),
        sum(member.capacity.slots for member in members),
        len(agents),
    )
