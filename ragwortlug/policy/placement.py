"""Placement: where a waiting task goes, by what is known of free slots.

The home's own slots come first, since they cost no message, then agents of the
same data centre, then others. What an agent said of its free slots counts for a
short time, less what was granted to it since.
"""

import itertools
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Hint:
    """What is known of an agent's free slots, and since when (monotonic s)."""

    free_slots: int
    at: float


class Placement:
    """Chooses agents for waiting tasks.

    Parameters
    ----------
    own_incarnation : str
        The incarnation of this agent.
    data_centre : str
        This agent's data centre.
    hint_s : float
        How long a hint is believed.
    probes : int
        Agents to tell of waiting work when no free slot is known.
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
        """Take an agent's word on its free slots."""
        self._hints[incarnation] = Hint(free_slots, now)

    def on_granted(self, incarnation):
        """Count a slot as taken by a grant just sent."""
        hint = self._hints.get(incarnation)
        if hint is not None:
            self._hints[incarnation] = Hint(hint.free_slots - 1, hint.at)

    def forget(self, incarnation):
        """Drop what is known of an agent."""
        self._hints.pop(incarnation, None)

    def free_agent(self, agents, able, now):
        """Return the agent to grant to directly, or None if no slot is known free.

        Only agents that have said so recently are looked at, however many there
        are.

        Parameters
        ----------
        agents : mapping of str to Member
            The agents of the task's service, by incarnation.
        able : callable
            Says of a member whether its target can hold the task.
        now : float
            Monotonic seconds.
        """
        known = [agents[each] for each in self._fresh_hints(now) if each in agents]
        free = [each for each in known if able(each)]
        if not free:
            return None
        return max(free, key=self._preference)

    def agents_to_notify(self, agents, notified, waiting):
        """Return agents to tell of waiting work, besides this one and those told.

        For few `waiting` tasks few agents are told: all but as many of them
        would ask in vain.
        """
        most = min(self._probes, waiting + 1)
        wanted = most - sum(each != self._own_incarnation for each in notified)
        if wanted <= 0:
            return []
        drawn = self._random.sample(
            agents, min(len(agents), wanted + len(notified) + 1)
        )
        others = (
            each
            for each in drawn
            if each.incarnation != self._own_incarnation
            and each.incarnation not in notified
        )
        return list(itertools.islice(others, wanted))

    def _fresh_hints(self, now):
        """Return the agents with a slot believed to be free; drop stale hints."""
        stale = [
            each
            for each, hint in self._hints.items()
            if each != self._own_incarnation and now - hint.at >= self._hint_s
        ]
        for each in stale:
            del self._hints[each]
        return [each for each, hint in self._hints.items() if hint.free_slots > 0]

    def _preference(self, member):
        """Return a key: own slots, then the data centre's, then the freest."""
        return (
            member.incarnation == self._own_incarnation,
            member.data_centre == self._data_centre,
            self._hints[member.incarnation].free_slots,
            self._random.random(),
        )
