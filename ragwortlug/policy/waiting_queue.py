"""The order of waiting work: fewest tasks left first, with aging.

A job's place is its arrival plus a fixed time for each task that it has left. A
small job overtakes a large one that came somewhat earlier, but no job is
overtaken by those that come later than its handicap.
"""

from sortedcontainers import SortedKeyList

MS_PER_S = 1000.0


class WaitingQueue:
    """The waiting jobs of one service, best first.

    Parameters
    ----------
    aging_ms_per_task : float
        The handicap of each task left.
    """

    def __init__(self, aging_ms_per_task):
        self._handicap_s = aging_ms_per_task / MS_PER_S
        self._places = {}
        self._tasks = {}
        self._waiting = 0
        self._records = SortedKeyList(key=lambda each: self._places[each.job.id])

    def __len__(self):
        return len(self._records)

    def __iter__(self):
        return iter(self._records)

    @property
    def waiting(self):
        """Return the number of tasks that wait, of all jobs together."""
        return self._waiting

    @property
    def min_remaining_tasks(self):
        """Return the rest of the first job; 0 if none waits."""
        return self._records[0].remaining_tasks if self._records else 0

    def update(self, record):
        """Put a job in its place, or take it out if no task of it waits."""
        self.remove(record)
        if record.waiting:
            place = record.arrived + self._handicap_s * record.remaining_tasks
            self._places[record.job.id] = (place, record.job.id)
            self._records.add(record)
            self._tasks[record.job.id] = record.waiting
            self._waiting += record.waiting

    def remove(self, record):
        """Take a job out, if it is there."""
        if record.job.id in self._places:
            self._records.remove(record)
            del self._places[record.job.id]
            self._waiting -= self._tasks.pop(record.job.id)

    def best(self, allowed):
        """Return the first job that `allowed` lets through, or None."""
        return next((each for each in self._records if allowed(each)), None)
