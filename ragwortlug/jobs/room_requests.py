"""Tells agents that work waits for room; they offer theirs as it becomes free."""

from ragwortlug.envelope import Send
from ragwortlug.lease_messages import Wants

TELL_EVERY_S = 0.01
# Agents that are told at once of a better task; the others follow in turn.
TOLD_AT_ONCE = 6


class RoomRequests:
    """What the agents have been told of one dispatcher's waiting tasks.

    Parameters
    ----------
    workers : Workers
        All agents that the dispatcher knows.
    """

    def __init__(self, workers):
        self._workers = workers
        self._ranks = {}
        self._sent_at = 0.0

    def tell(self, service, rank, room, now):
        """Return the messages that tell of the best waiting task of a service.

        Parameters
        ----------
        rank, room : Rank, Room
            The task's place in the order of work, and what it takes.
        """
        fresh = now - self._sent_at >= TELL_EVERY_S
        if fresh and self._ranks.get(service) != rank:
            self._ranks[service] = rank
            self._sent_at = now
            told = self._workers.told_longest_ago(service, TOLD_AT_ONCE, now)
        else:
            serving = self._workers.serving(service, now)
            told = [each for each in serving if not each.told]
        for worker in told:
            worker.told = True
            worker.told_at = now
        message = Wants(rank, room)
        return [Send(worker.peer, message) for worker in told]
