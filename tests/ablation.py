"""Plays heavy loads with one mechanism switched off at a time.

``python -m tests.ablation --seeds 6`` prints a table: for each load, what callers get
with all mechanisms, and what each mechanism changes, as means over the same seeds.
The jobs of a seed are the same in all its plays. Processor time and sockets are not
part of a play.
"""

import argparse
import contextlib
import random
import statistics
from concurrent.futures import ProcessPoolExecutor
from dataclasses import astuple, dataclass
from unittest.mock import patch

import msgspec

from ragwortlug.codes import Code
from ragwortlug.jobs import dispatcher, waiting_jobs
from ragwortlug.jobs.demand_notifier import DemandNotifier
from ragwortlug.jobs.permissions import Permissions
from ragwortlug.jobs.resource_reports import ResourceReports
from ragwortlug.jobs.run_feedback import RunFeedback
from ragwortlug.lease_messages import RunsEnded, StartRuns
from ragwortlug.policy.backlog import LateWork
from ragwortlug.policy.health import WorkerHealth
from ragwortlug.policy.job_ranking import job_rank
from ragwortlug.policy.known_workers import KnownWorkers
from ragwortlug.policy.run_time_estimator import RunTimeEstimator
from ragwortlug.restartable_model import Resources, RunEnd
from tests.play import Faults, Play

ENTRIES = 4
WORKERS = 8
# Jobs a second, tasks and mean work in seconds of each kind.
KINDS = ((13.4, 8, 0.12), (2.43, 4, 1.8), (39.0, 2, 0.4))
CPU = 6200
CPU_RANGE = (1000, 9400)
FROM_S = 0.5
UNTIL_S = 16.0
REST_S = 6.0
WINDOW_S = 2.0
WORST_WINDOWS = 2


@dataclass(frozen=True)
class Load:
    """A load and what happens under it.

    Attributes
    ----------
    rate, burst : float
        Factors on the usual rates: always, and from second 3 to 8.
    fail : float
        Fraction of the runs that fail.
    slow, failing : int
        Workers that run at a seventh of their speed, and that fail all runs, from
        second 3 to 8.
    power_loss_s : float
        Duration of a loss of all power at second 8; 0 for none.
    slow_entry_s : float
        Time after which one entry handles each message.
    """

    rate: float = 1.0
    burst: float = 1.0
    fail: float = 0.0
    slow: int = 0
    failing: int = 0
    power_loss_s: float = 0.0
    slow_entry_s: float = 0.0


LOADS = {
    "usual": Load(),
    "burst": Load(burst=1.8),
    "power loss": Load(power_loss_s=1.6),
    "slow workers": Load(rate=0.8, slow=2),
    "slow entry": Load(burst=1.5, slow_entry_s=0.1),
    "failing workers": Load(rate=0.8, fail=0.01, failing=1),
}


@dataclass(frozen=True)
class Outcome:
    """What callers got in one play.

    Attributes
    ----------
    in_time, unserved : float
        Fractions of callers served within their objective, and not at all.
    worst_windows : float
        Mean over the two worst windows of the fraction served within the objective.
    held : float
        Mean fraction of their time limit for which unserved callers waited.
    refused : float
        Refused assignments over all assignments.
    """

    in_time: float
    unserved: float
    worst_windows: float
    held: float
    refused: float


def play(load, seed):
    """Play a load and return the `Outcome`."""
    played = Play(seed=seed, faults=Faults(fail=load.fail))
    played.build(entries=ENTRIES, workers=WORKERS)
    counts = _count_assignments(played)
    ids = random.Random(f"{seed} ids")
    for at_s, *job in _jobs(load, seed):
        played.at(at_s, lambda job=job: _submit(played, ids, *job))
    if load.power_loss_s:
        played.at(8.0, lambda: played.power_off(load.power_loss_s))
    if load.slow_entry_s:
        played.slow_down(played.homes[0], load.slow_entry_s)
    for agent in played.agents[: load.slow]:
        usual = agent.worker.speed
        played.at(3.0, lambda w=agent.worker, s=usual / 7: setattr(w, "speed", s))
        played.at(8.0, lambda w=agent.worker, s=usual: setattr(w, "speed", s))
    _fail_all_runs(played, [each.worker for each in played.agents[: load.failing]])
    played.run_until(UNTIL_S + REST_S)
    assert not played.broken, played.broken[:3]
    return _outcome(played, counts)


def _jobs(load, seed):
    """Return the submissions of a seed: time, kind, works, estimate, resources."""
    rng = random.Random(f"{seed} jobs")
    jobs = []
    for kind, (rate, mean_tasks, mean_s) in enumerate(KINDS):
        now = FROM_S
        while now < UNTIL_S:
            size_s = mean_s * min(rng.lognormvariate(-0.08, 0.4), 4.0)
            tasks = round(mean_tasks * rng.lognormvariate(-0.08, 0.4))
            tasks = min(max(tasks, 1), 4 * mean_tasks)
            works = [size_s * rng.uniform(0.85, 1.15) for _ in range(tasks)]
            estimate_ms = int(size_s * 1000 * rng.uniform(0.6, 1.4))
            cpu = int(CPU * rng.lognormvariate(-0.02, 0.2))
            cpu = min(max(cpu, CPU_RANGE[0]), CPU_RANGE[1])
            jobs.append((now, kind, works, estimate_ms, Resources(cpu, 64, 0)))
            factor = load.rate * (load.burst if 3.0 < now < 8.0 else 1.0)
            now += rng.expovariate(rate * factor)
    return jobs


def _submit(played, ids, kind, works, estimate_ms, resources):
    """Submit one job at a random entry."""
    job_id = f"{ids.getrandbits(64):016x}"
    entry = ids.choice(played.homes)
    limit_s = 1.65 + 4.0 * max(works)
    played.submit_job(kind, job_id, works, estimate_ms, resources, limit_s, entry)


def _fail_all_runs(played, workers):
    """Let all runs on some workers fail from second 3 to 8."""
    for worker in workers:
        finish = worker.finish

        def fail(key, how, boot, finish=finish):
            finish(key, RunEnd.FAILED if 3.0 < played.now < 8.0 else how, boot)

        worker.finish = fail


def _count_assignments(played):
    """Count the assignments that are sent and refused, in a dict that is returned."""
    counts = {"sent": 0, "refused": 0}
    send = played.send

    def counted(sender, receiver, body):
        if isinstance(body, StartRuns):
            counts["sent"] += len(body.runs)
        elif isinstance(body, RunsEnded):
            ends = [end for _, end, _ in body.ends]
            counts["refused"] += ends.count(RunEnd.NO_RESOURCES)
        send(sender, receiver, body)

    played.send = counted
    return counts


def _outcome(played, counts):
    """Return the `Outcome` of a play that has ended."""
    callers = list(played.callers.values())
    in_time = {
        caller.job.id: caller.code is Code.OK
        and caller.ended - caller.began <= caller.aim_s
        for caller in callers
    }
    windows = {}
    for caller in callers:
        window = windows.setdefault(int(caller.began // WINDOW_S), [])
        window.append(in_time[caller.job.id])
    worst = sorted(statistics.mean(window) for window in windows.values())
    unserved = [caller for caller in callers if caller.code is not Code.OK]
    held = [
        (caller.ended - caller.began) / (caller.deadline - caller.began)
        for caller in unserved
        if caller.code is not None
    ]
    return Outcome(
        statistics.mean(in_time.values()),
        len(unserved) / len(callers),
        statistics.mean(worst[:WORST_WINDOWS]),
        statistics.mean(held) if held else 0.0,
        counts["refused"] / max(counts["sent"], 1),
    )


# Replacements that switch mechanisms off.


def _rank_without(**replaced):
    """Return a ranking function in which some fields of the rank are constant."""
    return lambda *arguments: msgspec.structs.replace(job_rank(*arguments), **replaced)


def _offer_beside_report(reports, effects, now):
    """Report resources as free although they are offered, as before."""
    return effects + reports.offer(now)


def _reserved_even_from_receiver(permissions, _sender):
    """Reserve offered resources for the answer to the latest offer only, as before."""
    return permissions.offering


def _assignment_without_demand(requested_at_ms, runs, offer=0, *demand):
    """Leave out the waiting work except in answers to offers, as before."""
    return StartRuns(requested_at_ms, runs, offer, *(demand if offer else ()))


MECHANISMS = {
    "late jobs go last": (
        (waiting_jobs, "job_rank", _rank_without(misses_objective=False)),
    ),
    "priorities": ((waiting_jobs, "job_rank", _rank_without(priority=0)),),
    "begun jobs first": ((waiting_jobs, "job_rank", _rank_without(unstarted=False)),),
    "least work first": (
        (waiting_jobs, "job_rank", _rank_without(remaining_work=0.0)),
    ),
    "late jobs refused by forecast": ((LateWork, "unreachable", lambda *_: []),),
    "offers before reports": (
        (ResourceReports, "offer_then_report", _offer_beside_report),
    ),
    "remainders reported": ((ResourceReports, "report_remainder", lambda _: []),),
    "late answers to offers": (
        (Permissions, "reserved_from", _reserved_even_from_receiver),
    ),
    "demand with assignments": ((dispatcher, "StartRuns", _assignment_without_demand),),
    "offers at all": (
        (ResourceReports, "offer", lambda *_: []),
        (DemandNotifier, "notify", lambda *_: []),
    ),
    "choice by speed": ((KnownWorkers, "update_slowdown", lambda *_: None),),
    "ejection": ((WorkerHealth, "on_failed", lambda *_: None),),
    "moving slow tasks": ((RunFeedback, "should_reschedule", lambda *_: False),),
    "learned run times": ((RunTimeEstimator, "add_run_time", lambda *_: None),),
}


def play_without(mechanism, load, seed):
    """Play a load with a mechanism switched off, or with all if it is empty."""
    with contextlib.ExitStack() as stack:
        for owner, name, replacement in MECHANISMS.get(mechanism, ()):
            stack.enter_context(patch.object(owner, name, replacement))
        return play(LOADS[load], seed)


def main():
    """Print the table that the command line asks for."""
    parser = argparse.ArgumentParser(prog="tests.ablation", description=__doc__)
    parser.add_argument("--seeds", type=int, default=6)
    parser.add_argument("--load", action="append", choices=sorted(LOADS))
    parser.add_argument("--mechanism", action="append", choices=sorted(MECHANISMS))
    parser.add_argument("--jobs", type=int, default=2)
    parsed = parser.parse_args()
    mechanisms = ["", *(parsed.mechanism or MECHANISMS)]
    header = "in time, unserved, worst windows, held, refused"
    with ProcessPoolExecutor(parsed.jobs) as pool:
        for load in parsed.load or LOADS:
            print(f"{load}: without ({header})")
            for mechanism in mechanisms:
                plays = [
                    pool.submit(play_without, mechanism, load, seed)
                    for seed in range(1, parsed.seeds + 1)
                ]
                columns = zip(*(astuple(each.result()) for each in plays), strict=True)
                means = "  ".join(f"{statistics.mean(each):6.3f}" for each in columns)
                print(f"  {mechanism or '(nothing)':32}{means}", flush=True)


if __name__ == "__main__":
    main()
