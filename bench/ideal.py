"""Calculations that results are compared with: the ideal, the bound, baselines.

The ideal time of a job is the time that it would take on an idle system: its
tasks, longest first, on all slots, and the wire to the caller and back. The bound
is one central queue that knows everything at once, fewest tasks left first. The
baselines hand each task to an agent's own queue on arrival, at random or in turn.
"""

import heapq
import itertools
import random
from collections import deque

MS_PER_S = 1000


def ideal_s(run_ms, slots, one_way_s):
    """Return the time that a job takes on an idle system."""
    free_at = [0.0] * min(slots, len(run_ms))
    for each in sorted(run_ms, reverse=True):
        heapq.heappushpop(free_at, free_at[0] + each / MS_PER_S)
    return max(free_at) + 2 * one_way_s


def central_queue(coming, slots):
    """Return each job's time under the bound."""
    ends, waiting, free_at = {}, [], []
    left = {index: len(each.run_ms) for index, each in enumerate(coming)}
    todo = {index: deque(each.run_ms) for index, each in enumerate(coming)}
    due = deque(enumerate(coming))
    now, busy = 0.0, 0
    while due or free_at:
        arrives = due[0][1].at_s if due else float("inf")
        if free_at and free_at[0][0] <= arrives:
            now, index = heapq.heappop(free_at)
            busy -= 1
            left[index] -= 1
            ends[index] = now
        else:
            index, job = due.popleft()
            now = job.at_s
            waiting.append(index)
        while busy < slots and waiting:
            best = min(waiting, key=lambda each: (left[each], each))
            run_ms = todo[best].popleft()
            if not todo[best]:
                waiting.remove(best)
            heapq.heappush(free_at, (now + run_ms / MS_PER_S, best))
            busy += 1
    return [ends[index] - each.at_s for index, each in enumerate(coming)]


def queues_by_agent(coming, agents, slots, choose):
    """Return each job's time when `choose` hands its tasks to agents' queues."""
    free_at = [[0.0] * slots for _ in range(agents)]
    times = []
    for job in coming:
        last = 0.0
        for run_ms in job.run_ms:
            slots_of = free_at[choose()]
            begins = max(job.at_s, slots_of[0])
            heapq.heapreplace(slots_of, begins + run_ms / MS_PER_S)
            last = max(last, begins + run_ms / MS_PER_S)
        times.append(last - job.at_s)
    return times


def at_random(agents, seed):
    """Return a chooser that picks agents at random."""
    rng = random.Random(seed)
    return lambda: rng.randrange(agents)


def in_turn(agents):
    """Return a chooser that picks agents in turn."""
    turn = itertools.count()
    return lambda: next(turn) % agents
