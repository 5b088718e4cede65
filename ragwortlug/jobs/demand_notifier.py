"""Tells agents that work waits for room; they offer theirs as it becomes free."""

from ragwortlug.envelope import Send
from ragwortlug.lease_messages import Wants

TELL_EVERY_S = 0.01
# Agents that are told at once of a better task; the others follow in turn.
TOLD_AT_ONCE = 6


class DemandNotifier:
    """What the agents have been told of one dispatcher's waiting tasks.

    Parameters
    ----------
    workers : KnownWorkers
        All agents that the dispatcher knows.
    """

    def __init__(self, workers):
        self._workers = workers
        self._ranks = {}
        self._sent_at = 0.0

    def notify(self, service, rank, resources, now):
        """Return the messages that tell of the best waiting task of a service.

        Parameters
        ----------
        rank, resources : Rank, Resources
            The task's place in the order of work, and what it takes.
        """
        fresh = now - self._sent_at >= TELL_EVERY_S
        if fresh and self._ranks.get(service) != rank:
            self._ranks[service] = rank
            self._sent_at = now
            notified = self._workers.least_recently_notified(service, TOLD_AT_ONCE, now)
        else:
            serving = self._workers.serving(service, now)
            notified = [each for each in serving if not each.notified]
        for worker in notified:
            worker.notified = True
            worker.notified_at = now
        message = Wants(rank, resources)
        return [Send(worker.peer, message) for worker in notified]
