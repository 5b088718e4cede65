"""Which unstarted job leaves a full queue for a new one that is more urgent."""


def displacement_key(rank):
    """Return the sort key by which jobs are displaced; the lowest goes first.

    It is the job that costs callers least: of the lowest priority, then one that misses
    its objective anyway, then one with the most remaining work.
    """
    return -rank.priority, not rank.misses_objective, -rank.remaining_work


class DisplaceableJobs:
    """The unstarted jobs of one service, in the order in which they are displaced.

    Parameters
    ----------
    ranked : list of (Rank, RestartableRecord)
        The waiting jobs of the service.
    """

    def __init__(self, ranked):
        self._jobs = [pair for pair in ranked if pair[0].unstarted]
        self._jobs.sort(key=lambda pair: displacement_key(pair[0]), reverse=True)

    def first_after(self, rank, may_displace):
        """Return the job that a new job of some rank displaces, or None.

        `may_displace` returns whether a job still waits and has not begun.
        """
        while self._jobs and not may_displace(self._jobs[-1][1]):
            self._jobs.pop()
        if not self._jobs or not rank < self._jobs[-1][0]:
            return None
        return self._jobs[-1][1]
