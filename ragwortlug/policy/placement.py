"""Placement: where a waiting task goes, by what is known of free slots.

The home's own slots come first, since they cost no message, then agents of the
same data centre, then others. What an agent said of its free slots counts for a
short time, less what was granted to it since.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Hint:
    """What is known of an agent's free slots, and since when (monotonic s)."""

    free: int
    at: float


class Placement:
    """Chooses agents for waiting tasks.

    Parameters
    ----------
    own : str
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

    def __init__(self, own, data_centre, hint_s, probes, random):
        self._own = own
        self._data_centre = data_centre
        self._hint_s = hint_s
        self._probes = probes
        self._random = random
        self._hints = {}

    def learn(self, incarnation, free, now):
        """Take an agent's word on its free slots."""
        self._hints[incarnation] = Hint(free, now)

    def granted(self, incarnation):
        """Count a slot as taken by a grant just sent."""
        hint = self._hints.get(incarnation)
        if hint is not None:
            self._hints[incarnation] = Hint(hint.free - 1, hint.at)

    def forget(self, incarnation):
        """Drop what is known of an agent."""
        self._hints.pop(incarnation, None)

    def free_agent(self, agents, now):
        """Return the agent to grant to directly, or None if no slot is known free.

        Parameters
        ----------
        agents : sequence of Member
            The agents that may run the task.
        now : float
            Monotonic seconds.
        """
        free = [each for each in agents if self._believed_free(each, now)]
        if not free:
            return None
        return max(free, key=self._preference)

    def probe_agents(self, agents, told):
        """Return the agents to tell of waiting work, besides those told already."""
        if len(told) >= self._probes:
            return []
        others = [each for each in agents if each.incarnation not in told]
        return self._random.sample(others, min(self._probes - len(told), len(others)))

    def _believed_free(self, member, now):
        """Return whether a slot of the agent is believed to be free."""
        hint = self._hints.get(member.incarnation)
        if hint is None or hint.free <= 0:
            return False
        own = member.incarnation == self._own
        return own or now - hint.at < self._hint_s

    def _preference(self, member):
        """Return a key: own slots, then the data centre's, then the freest."""
        return (
            member.incarnation == self._own,
            member.data_centre == self._data_centre,
            self._hints[member.incarnation].free,
            self._random.random(),
        )
