"""The queue of waiting jobs: fewest remaining tasks first, with aging.

A job is ordered by its arrival time plus a handicap, a fixed time for each
remaining task. A small job overtakes a large one that arrived somewhat earlier, but
no job is overtaken by jobs that arrive after its own arrival plus its handicap.
"""

from sortedcontainers import SortedKeyList

MS_PER_S = 1000.0


class WaitingQueue:
    """The waiting jobs of one service, in order; iterates over their records.

    Parameters
    ----------
    aging_ms_per_task : float
        The handicap of each remaining task.
    """

    def __init__(self, aging_ms_per_task):
        self._handicap_s = aging_ms_per_task / MS_PER_S
        self._sort_keys = {}
        self._waiting_by_job = {}
        self._waiting = 0
        self._records = SortedKeyList(key=lambda record: self._sort_keys[record.job.id])

    def __len__(self):
        return len(self._records)

    def __iter__(self):
        return iter(self._records)

    @property
    def waiting(self):
        """Return the number of waiting tasks of all jobs together."""
        return self._waiting

    @property
    def min_remaining_tasks(self):
        """Return the number of remaining tasks of the first job; 0 if none waits."""
        return self._records[0].remaining_tasks if self._records else 0

    def update(self, record):
        """Insert or reorder a job, or remove it if none of its tasks waits."""
        self.remove(record)
        if record.waiting:
            ordered_at = record.arrived + self._handicap_s * record.remaining_tasks
            self._sort_keys[record.job.id] = (ordered_at, record.job.id)
            self._records.add(record)
            self._waiting_by_job[record.job.id] = record.waiting
            self._waiting += record.waiting

    def remove(self, record):
        """Remove a job if it is in the queue."""
        if record.job.id in self._sort_keys:
            self._records.remove(record)
            del self._sort_keys[record.job.id]
            self._waiting -= self._waiting_by_job.pop(record.job.id)

    def best(self, allowed):
        """Return the first job for which `allowed` returns true, or None."""
        return next((record for record in self._records if allowed(record)), None)
