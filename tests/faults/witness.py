"""The witness: checks the promises by what workers, callers and the store see."""

import asyncio
import json
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from standins.platform import CAPACITY

CONTACT_S = 3.0
DRAIN_S = 2.0
EVACUATE_S = 5.0
CONFIGURED_S = 2.0
LOSS_SLACK_S = 0.2
# A process is killed this long after SIGTERM. A cut request does not count if a worker
# was at work on it in the last sixth of that time, and it was sent early enough.
GRACE_S = 6.0
SENT_AFTER_TERM_S = 3.0
# Crashes of workers under a task after which its job may be given up.
GIVEN_UP_CRASHES = 3
NOT_TAKEN = frozenset({400, 404, 413, 429, 503})


def callers_of(entry):
    """Return the name of the place where an entry's callers are."""
    return f"callers of {entry}"


@dataclass
class Attempt:
    """One request of a caller.

    Attributes
    ----------
    wait_s : float
        Time after which the caller may have left by itself.
    status : int or None
        Of the answer; None if the connection broke or nothing came in time.
    """

    entry: str
    sent_at: float
    wait_s: float
    status: int | None = None
    state: str = ""
    ended_at: float = 0.0


@dataclass
class Job:
    """What a caller has handed in, and what was seen of it.

    Attributes
    ----------
    label : str
        A label that its workers must have; empty for any worker.
    """

    id: str
    spec: str
    tasks: int
    cpu: int
    deadline_s: float
    label: str = ""
    attempts: list = field(default_factory=list)
    starts: int = 0
    done: set = field(default_factory=set)
    failures: Counter = field(default_factory=Counter)
    crashes: Counter = field(default_factory=Counter)
    work_ended_at: float = float("-inf")


class Witness:
    """Takes note of what is seen, and of the promises that it breaks.

    Parameters
    ----------
    max_attempts : int
        Failed runs of a task that make its job fail.
    links : Links
        Knows which connections were refused, so that nothing was read from them.
    log : Path
        Takes what is seen, in the format of the programs' logs.
    """

    def __init__(self, max_attempts, links, log):
        self._max_attempts = max_attempts
        self._links = links
        self._log = log.open("a", buffering=1)
        self._now = asyncio.get_running_loop().time
        self._disturbed = defaultdict(list)
        self._evacuated_at = {}
        self.jobs = {}
        self.workers = {}
        self.broken = []

    def break_promise(self, promise, **facts):
        """Take note of a broken promise."""
        told = ", ".join(f"{name}={value}" for name, value in facts.items())
        self.broken.append(f"{self._now():.3f} {promise}: {told}")
        self.note("promise_broken", promise=promise, told=told)

    def note(self, event, **facts):
        """Write an event to the log."""
        line = {"time": round(time.time(), 4), "process": "witness", "event": event}
        self._log.write(f"{json.dumps(line | facts)}\n")

    def close(self):
        """Close the log."""
        self._log.close()

    # Disturbances.

    def begin(self, places):
        """Take note that a disturbance of some places begins; return its end."""
        spans = []
        for place in places:
            spans.append([self._now(), float("inf")])
            self._disturbed[place].append(spans[-1])
        self.note("disturbance_began", places=places)

        def end():
            for span in spans:
                span[1] = self._now()
            self.note("disturbance_ended", places=places)

        return end

    def calm(self, places, since, until):
        """Return whether nothing disturbed any of some places in a span of time."""
        return not any(
            begins <= until and ends >= since
            for place in places
            for begins, ends in self._disturbed[place]
        )

    def in_touch(self, places, at):
        """Return whether the places and the store have been calm before a moment."""
        return self.calm((*places, "store"), at - CONTACT_S, at)

    def evacuated(self, zone, at):
        """Take note of an evacuation that begins at a moment, or ends with None."""
        self._evacuated_at[zone] = at

    # What workers see.

    def observe(self, worker, how, order):
        """Take note of a start or an end on a worker."""
        if how == "start":
            self._started(worker, order)
            return
        job_id, _, _, index = order[0].split(".")
        facts = {"task": order[0], "run_id": order[1], "end": how}
        self.note("run_ended", job=job_id, worker=worker.name, **facts)
        job = self.jobs.get(job_id)
        if job is not None:
            job.work_ended_at = self._now()
        if job is not None and how == "done":
            job.done.add(int(index))
        if job is not None and how == "failed":
            job.failures[int(index)] += 1
        if job is not None and how == "crashed":
            job.crashes[int(index)] += 1

    def _started(self, worker, order):
        """Check a start."""
        task = order["task"]
        job_id, occurrence, step, index = task.split(".")
        facts = {"task": task, "run_id": order["run_id"]}
        self.note("run_started", job=job_id, worker=worker.name, **facts)
        job = self.jobs.get(job_id)
        known = job is not None and (occurrence, step) == ("0", "0")
        if not known or int(index) >= job.tasks or order["spec"] != job.spec:
            self.break_promise("unasked", worker=worker.name, task=task)
            return
        job.starts += 1
        self._check_single(worker, task, order["run_id"])
        self._check_room(worker)
        if job.label and job.label not in worker.labels:
            facts = {"label": job.label, "labels": worker.labels}
            self.break_promise("label", worker=worker.name, task=task, **facts)
        self._check_orders(worker, job, task)

    def _check_single(self, worker, task, own_attempt):
        """Check that no other run of the task is alive."""
        for other in self.workers.values():
            for each, attempt in other.running:
                own = other is worker and attempt == own_attempt
                if each == task and not own:
                    self.break_promise(
                        "two runs of a task",
                        task=task,
                        attempt=attempt,
                        workers=f"{other.name} {worker.name}",
                    )

    def _check_room(self, worker):
        """Check that what runs fits the worker."""
        taken = 0
        for task, _ in worker.running:
            job = self.jobs.get(task.partition(".")[0])
            taken += 0 if job is None else job.cpu
        if taken > CAPACITY["cpu"]:
            self.break_promise("room", worker=worker.name, taken=taken)

    def _check_orders(self, worker, job, task):
        """Check the operators' orders, if the senders were in touch."""
        now = self._now()
        entry = job.attempts[-1].entry
        if not self.in_touch((entry, worker.name), now):
            return
        confirmed = worker.drain_confirmed_at
        if confirmed is not None and now > confirmed + DRAIN_S:
            self.break_promise("drain", worker=worker.name, task=task)
        evacuated = self._evacuated_at.get(worker.zone)
        if evacuated is not None and now > evacuated + EVACUATE_S:
            self.break_promise("evacuation", worker=worker.name, task=task)

    # What callers see.

    def asked(self, job, attempt):
        """Take note of an attempt that begins."""
        facts = {"tasks": job.tasks, "spec": job.spec, "wait_s": attempt.wait_s}
        self.note("asked", job=job.id, entry=attempt.entry, **facts)

    def answered(self, job, attempt, terms):
        """Check one answer, or its absence.

        Parameters
        ----------
        terms : list of tuple
            The planned stops: the entry and when it was asked to stop.
        """
        facts = {"status": attempt.status, "state": attempt.state}
        self.note("answered", job=job.id, entry=attempt.entry, **facts)
        if attempt.state == "completed" and len(job.done) < job.tasks:
            self.break_promise("partial answer", job=job.id, done=len(job.done))
        if attempt.state == "failed":
            failures = max(job.failures.values(), default=0)
            crashes = max(job.crashes.values(), default=0)
            if failures < self._max_attempts and crashes < GIVEN_UP_CRASHES:
                facts = {"job": job.id, "failures": failures, "crashes": crashes}
                self.break_promise("failed without cause", **facts)
        if attempt.status is None:
            self._check_cut(job, attempt, terms)

    def _check_cut(self, job, attempt, terms):
        """Check that no planned stop alone has cut a request."""
        if self._links.take_refusal("callers", attempt.entry, attempt.sent_at):
            return
        held_s = attempt.ended_at - attempt.sent_at
        if held_s < LOSS_SLACK_S or held_s >= attempt.wait_s:
            return
        for entry, asked_at in terms:
            mine = entry == attempt.entry and asked_at < attempt.ended_at
            places = (entry, callers_of(entry))
            calm = self.calm(places, asked_at - CONTACT_S, attempt.ended_at)
            if not (mine and attempt.ended_at - asked_at < 7.0 and calm):
                continue
            if not self._outlasts_grace(job, attempt, asked_at):
                self.break_promise("cut by a planned stop", job=job.id, entry=entry)

    def _outlasts_grace(self, job, attempt, asked_at):
        """Return whether a request's work was not done when its entry was killed."""
        killed_at = asked_at + GRACE_S
        is_at_work = job.work_ended_at >= killed_at or any(
            task.partition(".")[0] == job.id
            for worker in self.workers.values()
            for task, _ in worker.running
        )
        return (
            is_at_work
            and attempt.sent_at <= asked_at + SENT_AFTER_TERM_S
            and attempt.ended_at >= asked_at + GRACE_S * 5 / 6
        )

    def check_route(self, entry, status, wanted, ordered_at):
        """Check how an entry treats a route that operators added or dropped."""
        now = self._now()
        places = (entry, callers_of(entry))
        late = now > ordered_at + CONFIGURED_S and self.in_touch(places, now)
        if late and (status == 404) != (not wanted):
            self.break_promise("configuration", entry=entry, status=status)

    def check_end(self):
        """Check what must hold once everything has settled."""
        for job in self.jobs.values():
            statuses = {each.status for each in job.attempts}
            if job.starts and statuses <= NOT_TAKEN:
                self.break_promise("refused and run", job=job.id, statuses=statuses)
        for worker in self.workers.values():
            if worker.running:
                self.break_promise("left running", worker=worker.name)
