"""A fake worker for plays: leases, fencing tokens and lists, by the clock of a play."""

import itertools
from dataclasses import dataclass

from ragwortlug.jobs.worker_calls import (
    ListedRun,
    StartAnswer,
    WorkerReport,
    WorkerSnapshot,
)
from ragwortlug.restartable_model import Resources, RunEnd

SERVICE = "carving"
STOP_S = 0.02
MAX_LEASE_MS = 1000


@dataclass
class RunningTask:
    """A run on a fake worker."""

    began: float
    work_s: float
    room: Resources
    stopped: bool = False


class FakeWorker:
    """A worker: leases, fencing tokens, lists; it guards no room."""

    def __init__(
        self,
        play,
        name,
        room,
        speed=1.0,
        drift=1.0,
        data_centre="patan",
        kinds=((SERVICE, ()),),
    ):
        self.play = play
        self.name = name
        self.room = room
        # The capacity that its agent knows.
        self.limit = room
        self.speed = speed
        self.drift = drift
        self.data_centre = data_centre
        self.born = play.now
        self.boots = 0
        self.up = True
        # The service and the labels of each boot, in turn.
        self.kinds = kinds
        self.stands = False
        # Connections are refused until then, though the worker runs on.
        self.refuses_until = 0.0
        # Commands get no answer until then, and may be carried out late.
        self.mute_until = 0.0
        self.reset()

    def reset(self):
        """Begin a new boot."""
        self.boots += 1
        self.born = self.play.now
        self.running = {}
        self.ended = []
        self.numbers = itertools.count(1)
        self.refused = {}
        self.token = 0
        self.lease_ms = 0
        self.waiting = []

    @property
    def kind(self):
        """Return the service and the labels of this boot."""
        return self.kinds[(self.boots - 1) % len(self.kinds)]

    @property
    def boot_id(self):
        """Return the id and the start time that its reports give."""
        return (self.name, int(self.born * 1000) + self.boots)

    @property
    def reachable(self):
        """Return whether a command reaches the worker."""
        return self.up and self.play.now >= self.refuses_until

    def clock_ms(self):
        """Return the steady clock, which may be slow."""
        return int((self.play.now - self.born) * 1000 * self.drift)

    def report(self, draining=False):
        """Return a status report."""
        service, labels = self.kind
        return WorkerReport(
            *self.boot_id,
            next(self.play.counter),
            service,
            "10.0.0.1:1",
            self.data_centre,
            labels,
            self.room,
            self.clock_ms(),
            draining,
        )

    def extend(self, until_ms):
        """Take a lease; one that is too long is shortened."""
        longest_ms = self.clock_ms() + MAX_LEASE_MS
        self.lease_ms = max(self.lease_ms, min(until_ms or 0, longest_ms))

    def lapse(self):
        """End what the lease no longer covers."""
        if self.running and self.clock_ms() >= self.lease_ms:
            for key in tuple(self.running):
                self.end(key, RunEnd.LOST)

    def end(self, key, how):
        """End a run."""
        self.running.pop(key, None)
        self.refused[key[0]] = max(self.refused.get(key[0], 0), key[1])
        self.ended.append(ListedRun(key[0], key[1], 1.0, next(self.numbers), how))
        self.play.wake(self)

    def start(self, order):
        """Start a run, as an order says."""
        if order.fencing_token < self.token:
            return StartAnswer.REJECTED
        self.token = order.fencing_token
        self.lapse()
        self.extend(order.lease_until_ms)
        run = order.run
        key = ((run.job_id, run.step, run.index), run.attempt)
        if key in self.running:
            return StartAnswer.STARTED
        if self.refused.get(key[0], 0) >= key[1]:
            return StartAnswer.OUTDATED
        if self.clock_ms() >= self.lease_ms:
            return StartAnswer.REJECTED
        self.play.witness_start(self, key, run.resources)
        work_s = self.play.work_of(run) / self.speed
        boot = self.boots
        self.running[key] = RunningTask(self.play.now, work_s, run.resources)
        how = self.play.outcome(run)
        if not self.stands:
            self.play.at(work_s, lambda: self.finish(key, how, boot))
        return StartAnswer.STARTED

    def finish(self, key, how, boot):
        """End a run by itself."""
        self.lapse()
        if self.up and boot == self.boots and key in self.running:
            self.end(key, how)

    def stop(self, order):
        """Stop a run, or refuse it from now on; return whether that was done."""
        if order.fencing_token < self.token:
            return False
        self.token = order.fencing_token
        key = (order.task, order.attempt)
        self.refused[key[0]] = max(self.refused.get(key[0], 0), key[1])
        boot = self.boots
        if key in self.running:
            self.play.at(STOP_S, lambda: self.finish(key, RunEnd.STOPPED, boot))
        return True

    def look(self, request):
        """Renew the lease and return the lists, None for a token that is too low."""
        self.lapse()
        if request.fencing_token < self.token:
            return None
        self.token = request.fencing_token
        self.extend(request.lease_until_ms)
        seen = request.last_end_number
        self.ended = [each for each in self.ended if each.number > seen]
        running = tuple(
            ListedRun(key[0], key[1], self.share(each))
            for key, each in self.running.items()
        )
        born = self.boot_id[1]
        return WorkerSnapshot(self.clock_ms(), born, running, tuple(self.ended))

    def share(self, run):
        """Return the share of the work that is done."""
        done = 0.0 if self.stands else (self.play.now - run.began) / run.work_s
        return min(0.99, int(done * 100) / 100)
