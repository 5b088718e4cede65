"""The directory: which agents may run a service, and a team's share, by one view.

What is looked up is kept until the view changes.
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
        The same, by incarnation.
    offered_capacities : frozenset of Capacity
        What is offered, also where the service may not run now.
    slots, home_count : int
        Slots of all candidates, and the number of all homes.
    """

    members: tuple[Member, ...]
    by_incarnation: dict[str, Member]
    offered_capacities: frozenset[Capacity]
    slots: int
    home_count: int


class Directory:
    """What a home looks up in its view.

    Parameters
    ----------
    view : View
        What holds.
    own_incarnation : str
        The incarnation of the home.
    """

    def __init__(self, view, own_incarnation):
        self._view = view
        self._own_incarnation = own_incarnation
        self._candidates = {}
        self._quota_shares = {}

    def clear(self):
        """Forget what was looked up; the view has changed."""
        self._candidates.clear()
        self._quota_shares.clear()

    def candidates(self, service):
        """Return the `Candidates` for a service."""
        if service not in self._candidates:
            self._candidates[service] = _candidates(self._view, service)
        return self._candidates[service]

    def candidate(self, service, incarnation):
        """Return an agent if it may run a service, or None."""
        return self.candidates(service).by_incarnation.get(incarnation)

    def quota_share(self, team):
        """Return this home's share of a team's quota, or None for no limit."""
        if team not in self._quota_shares:
            self._quota_shares[team] = self._look_up_quota_share(team)
        return self._quota_shares[team]

    def _look_up_quota_share(self, name):
        """Return the share by the view."""
        team = self._view.configuration.team(name)
        if team is None:
            return None
        homes = [
            each.incarnation for each in self._view.roster.present_members("agent")
        ]
        return quotas.quota_share(team, homes, self._own_incarnation)


def _candidates(view, service):
    """Return the agents that may run a service by a view."""
    agents = view.roster.present_members("agent")
    offering = [
        each
        for each in agents
        if each.capacity is not None and service in each.capacity.services
    ]
    members = tuple(
        each
        for each in offering
        if view.configuration.permits(service, each.data_centre)
    )
    return Candidates(
        members,
        {each.incarnation: each for each in members},
        frozenset(each.capacity for each in offering),
        sum(each.capacity.slots for each in members),
        len(agents),
    )
