"""Placement: which agent a waiting task is granted to, by known free slots.

The home's own slots come first, since they cost no message, then agents of the
same data centre, then others. An agent's report of its free slots is used for a
short time, less the grants sent to the agent since.
"""

import itertools
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Hint:
    """An agent's known free slots, and monotonic seconds of its report."""

    free_slots: int
    reported_at: float


class Placement:
    """Chooses agents for waiting tasks.

    Parameters
    ----------
    own_incarnation : str
        The incarnation of this agent.
    data_centre : str
        This agent's data centre.
    hint_s : float
        How long a hint is used.
    probes : int
        Number of agents to notify of waiting work when no free slot is known.
    random : random.Random
        Breaks ties.
    """

    def __init__(self, own_incarnation, data_centre, hint_s, probes, random):
        self._own_incarnation = own_incarnation
        self._data_centre = data_centre
        self._hint_s = hint_s
        self._probes = probes
        self._random = random
        self._hints = {}

    def update_free_slots(self, incarnation, free_slots, now):
        """Record an agent's report of its free slots."""
        self._hints[incarnation] = Hint(free_slots, now)

    def on_granted(self, incarnation):
        """Count a slot as occupied by a grant just sent."""
        hint = self._hints.get(incarnation)
        if hint is not None:
            self._hints[incarnation] = Hint(hint.free_slots - 1, hint.reported_at)

    def forget(self, incarnation):
        """Remove the hint about an agent."""
        self._hints.pop(incarnation, None)

    def free_agent(self, agents, can_fit_task, now):
        """Return the agent to grant to directly, or None if no free slot is known.

        Only agents with a recent hint are examined, so that the cost does not grow
        with the number of agents.

        Parameters
        ----------
        agents : mapping of str to Member
            The agents of the task's service, by incarnation.
        can_fit_task : callable
            Returns whether the task fits on the target of a `Member`.
        now : float
            Monotonic seconds.
        """
        free = [
            agents[incarnation]
            for incarnation in self._free_incarnations(now)
            if incarnation in agents
        ]
        fitting = [member for member in free if can_fit_task(member)]
        if not fitting:
            return None
        return max(fitting, key=self._preference)

    def agents_to_notify(self, agents, notified, waiting):
        """Return more agents to notify of waiting work, without this agent.

        At most one agent more than there are waiting tasks is notified, since any
        further ones would ask in vain.

        Parameters
        ----------
        agents : sequence of Member
            The agents of the service.
        notified : collection of str
            Incarnations of the agents that have been notified already.
        waiting : int
            Number of waiting tasks.

        Returns
        -------
        list of Member
        """
        max_notified = min(self._probes, waiting + 1)
        wanted = max_notified - sum(each != self._own_incarnation for each in notified)
        if wanted <= 0:
            return []
        sample = self._random.sample(
            agents, min(len(agents), wanted + len(notified) + 1)
        )
        others = (
            member
            for member in sample
            if member.incarnation != self._own_incarnation
            and member.incarnation not in notified
        )
        return list(itertools.islice(others, wanted))

    def _free_incarnations(self, now):
        """Return the incarnations with known free slots; remove stale hints.

        The hint about this agent itself never becomes stale.
        """
        stale = [
            incarnation
            for incarnation, hint in self._hints.items()
            if incarnation != self._own_incarnation
            and now - hint.reported_at >= self._hint_s
        ]
        for incarnation in stale:
            del self._hints[incarnation]
        return [
            incarnation
            for incarnation, hint in self._hints.items()
            if hint.free_slots > 0
        ]

    def _preference(self, member):
        """Return a sort key: own agent, own data centre, most free slots, random."""
        return (
            member.incarnation == self._own_incarnation,
            member.data_centre == self._data_centre,
            self._hints[member.incarnation].free_slots,
            self._random.random(),
        )
