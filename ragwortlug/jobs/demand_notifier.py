"""Notifies agents of tasks that wait for resources.

The agents then offer their resources when these become free.
"""

from ragwortlug.envelope import Send
from ragwortlug.lease_messages import Wants

NOTIFY_INTERVAL_S = 0.01
# Agents notified at once of a better task; the others follow in turn.
MAX_NOTIFIED_AT_ONCE = 6


class DemandNotifier:
    """Notifies agents of the best waiting task of each service.

    Parameters
    ----------
    workers : KnownWorkers
        All agents known to the dispatcher.
    """

    def __init__(self, workers):
        self._workers = workers
        self._notified_ranks = {}
        self._sent_at = 0.0

    def notify(self, service, rank, resources, now, avoided=()):
        """Return the `Send` effects that notify agents of a best waiting task.

        Parameters
        ----------
        rank, resources : Rank, Resources
            The task's position in the order of work, and the resources it needs.
        avoided : container of str
            Incarnations of agents that the task may not run at.
        """
        interval_elapsed = now - self._sent_at >= NOTIFY_INTERVAL_S
        if interval_elapsed and self._notified_ranks.get(service) != rank:
            self._notified_ranks[service] = rank
            self._sent_at = now
            notified = self._workers.least_recently_notified(
                service, MAX_NOTIFIED_AT_ONCE, now
            )
        else:
            serving = self._workers.serving(service, now)
            notified = [worker for worker in serving if not worker.notified]
        if avoided:
            notified = [
                worker for worker in notified if worker.peer.incarnation not in avoided
            ]
        for worker in notified:
            worker.on_demand_sent(rank, now)
        message = Wants(rank, resources)
        return [Send(worker.peer, message) for worker in notified]
