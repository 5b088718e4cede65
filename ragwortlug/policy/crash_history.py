"""What crashes of workers tell about the tasks that ran on them.

A task may crash each worker that starts it. A crash ends all runs of the worker, so one
crash proves nothing: most of the runs were only beside the cause. A crash points to the
runs that had just started, or to all if none had. A task is given up once several
crashes point to it, or came at the same age of its run; these no longer count against
others. A task that ends well is cleared.

Workers may also crash whatever they run. The crashes that no task explains give the
rate at which that happens. A task is blamed only for crashes that are unlikely at that
rate.
"""

import math
from collections import Counter, deque
from dataclasses import dataclass, field

# A crash follows the start of its cause by less than this, if the start caused it.
RECENT_START_MS = 30
# Crashes that point to a task after which it is given up: shortly after its start, if
# one of them points to no other job; and any.
MAX_RECENT_CRASHES = 2
MAX_CRASHES = 3
# Difference of the ages at which a task crashes its workers, if it is the cause.
SAME_AGE_MS = 20
# Crashes under a task after which it is given up, whatever they point to.
MAX_CRASHES_BESIDE = 5
# Crashes long after its start after which a task is suspect.
SUSPECT_CRASHES = 2
# A queue of which a job was given up is risky from the next such job on, or once that
# many crashes point to no other queue, and more than don't point to it, until enough of
# its jobs end well.
RISKY_JOBS = 2
RISKY_CRASHES = 3
SAFE_JOBS = 20
RISKY_S = 30.0
# Crashes of this latest time count for the rate at which workers crash by themselves.
BASE_RATE_S = 10.0
# A task is suspect if its crashes come by chance with less than this probability, and
# given up with less than the other: of many tasks, a few meet several crashes.
MAX_SUSPECT_CHANCE = 0.003
MAX_GIVEN_UP_CHANCE = 1e-7
# No caller waits longer, so no task returns later.
KEEP_S = 60.0
MAX_KEPT_CRASHES = 256
MS_PER_S = 1000.0


@dataclass(slots=True)
class _TaskCrashes:
    """The crashes under one task, whatever explains them.

    Attributes
    ----------
    queue : str
        The queue of its job.
    updated_at : float
        Monotonic seconds of the latest crash.
    count : int
        All crashes, also those before the worker had confirmed its start.
    given_up : bool
        Whether it is not started again.
    """

    queue: str
    updated_at: float = 0.0
    count: int = 0
    given_up: bool = False


@dataclass(slots=True)
class _Crash:
    """A crash that no task explains yet.

    Attributes
    ----------
    at : float
        Monotonic seconds of its report.
    runs : dict
        The `CrashedRun` of each task that ran: job id, step and index.
    key : tuple
        The agent that reported it, and the number of its report.
    """

    at: float
    runs: dict
    key: tuple

    @property
    def recent_runs(self):
        """Return the runs that had just started, by task."""
        return {
            task: run for task, run in self.runs.items() if run.age_ms < RECENT_START_MS
        }


@dataclass(slots=True)
class _RiskyQueue:
    """A queue of which tasks were given up for crashes.

    Attributes
    ----------
    crashed_at : float
        Monotonic seconds of the latest crash that may be due to it.
    jobs : set of str
        Ids of the jobs that were given up.
    is_risky : bool
        Whether enough is known to call the queue risky.
    safe_jobs : int
        Jobs that have ended well since.
    """

    crashed_at: float
    jobs: set = field(default_factory=set)
    is_risky: bool = False
    safe_jobs: int = 0


class CrashHistory:
    """Crashes of workers by task, and the queues whose tasks caused some.

    Tasks of one queue run the same program on different inputs, so a queue of which
    tasks were given up is risky until jobs of it end well again.
    """

    def __init__(self):
        # All known workers, of which only the number counts.
        self._workers = ()
        # Monotonic seconds of the latest report or tick.
        self._now = 0.0
        self._crashes = deque(maxlen=MAX_KEPT_CRASHES)
        # The `_TaskCrashes` of each task: job id, step and index.
        self._tasks = {}
        # The tasks that are suspect, and the ids of their jobs.
        self._suspects = set()
        self._suspect_jobs = frozenset()
        self._given_up_jobs = frozenset()
        # Crashes, tasks and recent crashes that the latest tick counted, None for a
        # change since.
        self._counts = None
        self._queues = {}
        # Monotonic seconds and queue of each crash that points to one queue only.
        self._queue_crashes = deque(maxlen=MAX_KEPT_CRASHES)
        # When each report was received, by agent and number.
        self._seen = {}

    @property
    def is_calm(self):
        """Return whether no job is suspect and no queue is risky."""
        return not self._suspect_jobs and not self.risky_queues

    @property
    def risky_queues(self):
        """Return the names of the queues whose jobs are likely to crash workers."""
        return frozenset(filter(self.is_risky, self._queues))

    def set_workers(self, workers):
        """Set the iterable of all known workers, which may change with time."""
        self._workers = workers

    def record(self, agent, message, now):
        """Record a crash that an agent reports.

        Parameters
        ----------
        agent : str
            The incarnation of the agent. A repeated report changes nothing, but one
            without runs withdraws it.
        message : WorkerCrashed
            The report.

        Returns
        -------
        list of str
            Ids of the jobs that must be given up now.
        """
        key = (agent, message.number)
        if key in self._seen:
            if not message.runs:
                self._withdraw(key)
            return []
        self._seen[key] = self._now = now
        self._counts = None
        crash = _Crash(now, {}, key)
        for run in message.runs:
            task = (run.job_id, run.step, run.index)
            crash.runs[task] = run
            crashes = self._tasks.setdefault(task, _TaskCrashes(run.queue))
            crashes.updated_at = now
            crashes.count += 1
        if not any(self._tasks[task].given_up for task in crash.runs):
            self._crashes.append(crash)
        recent_queues = {run.queue for run in crash.recent_runs.values()}
        if len(recent_queues) == 1:
            self._queue_crashes.append((now, *recent_queues))
        given_up_before = self._given_up_jobs
        self._explain_crashes(now)
        for task in crash.runs:
            crashes = self._tasks[task]
            crashes.given_up |= crashes.count >= MAX_CRASHES_BESIDE
        self._update_jobs()
        self._update_queues(message.runs, now)
        return sorted(self._given_up_jobs - given_up_before)

    def is_suspect(self, job_id):
        """Return whether a task of a job may have crashed a worker."""
        return job_id in self._suspect_jobs

    def is_given_up(self, job_id):
        """Return whether a task of a job must not be started again."""
        return job_id in self._given_up_jobs

    def is_risky(self, queue_name):
        """Return whether jobs of a queue are likely to crash workers."""
        queue = self._queues.get(queue_name)
        return queue is not None and queue.is_risky

    def on_task_done(self, job_id, step, index):
        """Clear a task that has ended well."""
        task = (job_id, step, index)
        if self._tasks.pop(task, None) is not None:
            for crash in self._crashes:
                crash.runs.pop(task, None)
            self._suspects.discard(task)
            self._counts = None
            self._update_job_ids()

    def on_job_done(self, queue_name):
        """Record a job that has ended well."""
        queue = self._queues.get(queue_name)
        if queue is not None:
            queue.safe_jobs += 1

    def expire(self, now):
        """Forget what is old, and end the risk of queues."""
        if not self._seen:
            return
        self._now = now
        while self._crashes and now - self._crashes[0].at > KEEP_S:
            self._crashes.popleft()
        self._tasks = {
            task: crashes
            for task, crashes in self._tasks.items()
            if now - crashes.updated_at <= KEEP_S
        }
        # An agent repeats its reports for as long as they are kept.
        self._seen = {
            key: seen_at
            for key, seen_at in self._seen.items()
            if now - seen_at <= 2 * KEEP_S
        }
        counts = (len(self._crashes), len(self._tasks), len(self._base_crashes()))
        if counts != self._counts:
            self._counts = counts
            self._update_jobs()
        ended = [
            name
            for name, queue in self._queues.items()
            if queue.safe_jobs >= SAFE_JOBS or now - queue.crashed_at > RISKY_S
        ]
        for name in ended:
            del self._queues[name]

    def _withdraw(self, key):
        """Forget a reported crash that turned out to be none."""
        crash = next((crash for crash in self._crashes if crash.key == key), None)
        if crash is None:
            return
        self._crashes.remove(crash)
        for task in crash.runs:
            if task in self._tasks:
                self._tasks[task].count -= 1
        recent_queues = {run.queue for run in crash.recent_runs.values()}
        if len(recent_queues) == 1:
            self._queue_crashes.remove((crash.at, *recent_queues))
        self._counts = None
        self._update_jobs()

    def _explain_crashes(self, now):
        """Give up the tasks that crashes point to, the likeliest first."""
        while (cause := self._likeliest_cause()) is not None:
            crashes = self._tasks[cause]
            crashes.given_up = True
            unexplained = (each for each in self._crashes if cause not in each.runs)
            self._crashes = deque(unexplained, MAX_KEPT_CRASHES)
            queue = self._queues.setdefault(crashes.queue, _RiskyQueue(now))
            queue.jobs.add(cause[0])

    def _likeliest_cause(self):
        """Return the task that enough unexplained crashes point to, or None."""
        total, recent, unambiguous = Counter(), Counter(), Counter()
        ages_ms = {}
        for crash in self._crashes:
            for task, run in crash.runs.items():
                if run.acknowledged:
                    ages_ms.setdefault(task, []).append(run.age_ms)
            recent_runs = crash.recent_runs
            is_only_job = len({run.job_id for run in recent_runs.values()}) == 1
            for task, run in (recent_runs or crash.runs).items():
                # A worker may crash before a command to start a run arrives.
                if run.acknowledged:
                    total[task] += 1
                    recent[task] += task in recent_runs
                    unambiguous[task] += task in recent_runs and is_only_job
        regular = {task for task, ages in ages_ms.items() if _is_regular(ages)}
        candidates = regular | {
            task
            for task in total
            if total[task] >= MAX_CRASHES
            or (recent[task] >= MAX_RECENT_CRASHES and unambiguous[task])
        }
        if not candidates:
            return None
        base_rate_of = self._base_rates()
        causes = {
            task
            for task in candidates
            if _chance(ages_ms[task], base_rate_of(task)) < MAX_GIVEN_UP_CHANCE
        }

        def weight(task):
            return (task in regular, recent[task], total[task], task)

        return max(causes, key=weight, default=None)

    def _base_rates(self):
        """Return the crashes per second and worker that no task explains.

        Returns
        -------
        callable
            Returns the rate of the crashes that were not under a task; called with
            the task, or with None for the rate of all.
        """
        crashes = self._base_crashes()
        under = Counter()
        for crash in crashes:
            under.update(crash.runs.keys())
        worker_s = self._base_worker_s()
        return lambda task: (len(crashes) - under[task]) / worker_s

    def _base_worker_s(self):
        """Return the seconds that all workers together had for the recent crashes."""
        return BASE_RATE_S * max(sum(1 for _ in self._workers), 1)

    def _base_crashes(self):
        """Return the recent crashes that no task explains, a list."""
        return [crash for crash in self._crashes if self._now - crash.at <= BASE_RATE_S]

    def _update_jobs(self):
        """Determine the jobs that are suspect, and those that are given up."""
        base_rate_of = self._base_rates()
        recent = set()
        ages_ms = {}
        for crash in self._crashes:
            recent_runs = crash.recent_runs
            recent |= recent_runs.keys()
            for task, run in (recent_runs or crash.runs).items():
                ages_ms.setdefault(task, []).append(run.age_ms)
        self._suspects = {
            task
            for task, ages in ages_ms.items()
            if (task in recent or len(ages) >= SUSPECT_CRASHES)
            and _chance(ages, base_rate_of(task)) < MAX_SUSPECT_CHANCE
        }
        self._update_job_ids()

    def _update_job_ids(self):
        """Update the ids of the jobs that are suspect, and of those given up."""
        self._suspect_jobs = frozenset(task[0] for task in self._suspects)
        self._given_up_jobs = frozenset(
            task[0] for task, crashes in self._tasks.items() if crashes.given_up
        )

    def _may_be_chance(self, name, count, now):
        """Return whether crashes that point to a queue only may come by chance.

        They may if as many crashes, or frequent ones, neither a task explains nor
        point to the queue.
        """
        elsewhere = [
            now - crash.at
            for crash in self._crashes
            if now - crash.at <= RISKY_S
            and all(run.queue != name for run in crash.recent_runs.values())
        ]
        recent = sum(1 for since_s in elsewhere if since_s <= BASE_RATE_S)
        chance = _crash_probability(
            recent / self._base_worker_s(), RECENT_START_MS / MS_PER_S
        )
        return len(elsewhere) >= count or chance >= MAX_SUSPECT_CHANCE

    def _update_queues(self, runs, now):
        """Update the risk of the queues that may have caused a crash."""
        counts = Counter(
            name for at, name in self._queue_crashes if now - at <= RISKY_S
        )
        for name, queue in self._queues.items():
            if len(queue.jobs) >= RISKY_JOBS:
                queue.is_risky = True
            elif self._may_be_chance(name, counts[name], now):
                queue.is_risky = False
            elif counts[name] >= RISKY_CRASHES:
                queue.is_risky = True
        for run in runs:
            queue = self._queues.get(run.queue)
            may_be_cause = run.job_id in self._suspect_jobs | self._given_up_jobs
            if queue is not None and may_be_cause:
                queue.crashed_at = now
                queue.safe_jobs = 0


def _is_regular(ages_ms):
    """Return whether a task crashed enough workers at the same age of its run."""
    return len(ages_ms) >= MAX_CRASHES and max(ages_ms) - min(ages_ms) <= SAME_AGE_MS


def _chance(ages_ms, rate):
    """Return how likely all runs of a task end so early, or at the same age, by chance.

    Parameters
    ----------
    ages_ms : list of int
        How long each of its runs had lasted when its worker crashed.
    rate : float
        The crashes per second and worker that have nothing to do with it.
    """
    longest_s = max(RECENT_START_MS, *ages_ms) / MS_PER_S
    chance = _crash_probability(rate, longest_s) ** len(ages_ms)
    if _is_regular(ages_ms):
        same_age = _crash_probability(rate, 2 * SAME_AGE_MS / MS_PER_S)
        chance = min(chance, same_age ** (len(ages_ms) - 1))
    return chance


def _crash_probability(rate, duration_s):
    """Return how likely a worker crashes within a time at this rate."""
    return 1.0 - math.exp(-rate * duration_s)
