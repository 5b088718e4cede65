"""Which workers run tasks that may crash their worker.

Such tasks are confined to a few workers, so that they can't take down the others. All
dispatchers rank the workers alike and divide the first of them among themselves. A
worker that is down keeps its rank: if another one took its place, each crash would
expose one more worker.
"""

import math
import zlib

# Share of a service's workers that run confined tasks.
CONFINED_SHARE = 0.25
# A worker that is away for longer is not expected back, and loses its rank.
MAX_DOWNTIME_S = 8.0


class Confinement:
    """Divides the workers for confined tasks among the dispatchers.

    Parameters
    ----------
    workers : KnownWorkers
        All workers known to this dispatcher.
    """

    def __init__(self, workers):
        self._workers = workers
        self._dispatchers = 1
        self._position = 0

    def set_dispatchers(self, addresses, own_address):
        """Set the addresses of all dispatchers, and this one's."""
        ranked = sorted({*addresses, own_address})
        self._dispatchers = len(ranked)
        self._position = ranked.index(own_address)

    def ranked(self, service, now):
        """Return the workers of a service in the order common to all dispatchers."""
        candidates = [
            worker
            for worker in self._workers
            if (worker.state is None or worker.state.service == service)
            and self._workers.is_in_service(worker)
            and not worker.is_away(now, MAX_DOWNTIME_S)
        ]
        return sorted(candidates, key=_common_rank)

    def workers_of_all(self, service, now):
        """Return the workers for confined tasks of any dispatcher.

        Returns
        -------
        list of KnownWorker
            At most half of the workers of the service.
        """
        ranked = self.ranked(service, now)
        count = self._per_dispatcher(ranked) * self._dispatchers
        return ranked[: min(count, len(ranked) // 2)]

    def own_workers(self, service, now):
        """Return the workers for confined tasks of this dispatcher, a list."""
        shared = self.workers_of_all(service, now)
        if not shared:
            return []
        return shared[self._position % len(shared) :: self._dispatchers]

    def other_workers(self, service, now):
        """Return all workers, first those that no other dispatcher tries first."""
        ranked = self.ranked(service, now)
        first = self._position * len(ranked) // self._dispatchers
        return ranked[first:] + ranked[:first]

    def wait_s(self, service, now):
        """Return the expected seconds until a worker of this dispatcher is up."""
        downtime_s = self._workers.downtime_s
        waits = [
            0.0
            if worker.accepting or downtime_s is None
            else max(0.0, worker.unavailable_since + downtime_s - now)
            for worker in self.own_workers(service, now)
        ]
        return min(waits, default=0.0)

    def _per_dispatcher(self, ranked):
        """Return how many of the ranked workers each dispatcher confines tasks to."""
        return max(1, math.floor(CONFINED_SHARE * len(ranked) / self._dispatchers))


def _common_rank(worker):
    """Return a key that orders workers alike in each process, and mixes addresses."""
    address = worker.peer.address
    return (zlib.crc32(address.encode()), address)
