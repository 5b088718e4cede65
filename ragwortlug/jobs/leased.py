"""The leased runner: decides what runs on the worker beside an agent.

This is a state machine without sockets or clocks. It guards the worker's room,
keeps the worker's lease within the permissions that dispatchers renew, and calls
a run ended only once the worker can't run it any more. Effects are calls to the
worker and messages to dispatchers.
"""

from ragwortlug.envelope import Send
from ragwortlug.events import Event, EventName
from ragwortlug.invariants import Invariant, check
from ragwortlug.jobs.local_runs import (
    MIN_RELATIVE_SPEED,
    LocalRun,
    Phase,
    event_of,
    is_worker_slow,
)
from ragwortlug.jobs.permissions import Permissions
from ragwortlug.jobs.worker_calls import (
    RequestRenewals,
    RequestSnapshot,
    StartAnswer,
    StartOnWorker,
    StopOnWorker,
)
from ragwortlug.lease_messages import Progress, Renewal, RunsEnded
from ragwortlug.restartable_model import Resources, RunEnd, WorkerState

MS_PER_S = 1000.0
CLOCK_DRIFT = 1.03
SILENT_AFTER_S = 0.35
KEPT_ENDS = 5000
SNAPSHOT_RETRY_INTERVAL_S = 0.2
NEVER_STARTED = (RunEnd.NOT_STARTED, 0.0)


class LeasedRunner:
    """All runs on the worker beside one agent.

    Parameters
    ----------
    settings : RestartSettings
        Times and bounds.
    """

    def __init__(self, settings):
        self._settings = settings
        self._worker = None
        self._fencing_token = 0
        self._ready = False
        self._clock_base = None
        self._last_end_number = 0
        self._runs = {}
        self._unassigned = set()
        self._permissions = Permissions(settings)
        self._lease_expires_at = 0.0
        self._silent_since = None
        self._latest_snapshot_requested_at = 0.0
        self._latest_answer = 0.0
        self._ended = {}
        self._next_snapshot_at = 0.0
        self._dead_boot = None
        self.leaving = False

    @property
    def worker(self):
        """Return the worker's latest report, or None."""
        return self._worker

    @property
    def fencing_token(self):
        """Return the fencing token of this agent's orders, or 0."""
        return self._fencing_token

    @property
    def last_end_number(self):
        """Return the number of the latest end that was taken note of."""
        return self._last_end_number

    @property
    def running(self):
        """Return the number of runs that the worker has, or may have."""
        return len(self._runs)

    @property
    def accepting(self):
        """Return whether new runs are taken."""
        return (
            self._worker is not None
            and self._ready
            and not self._worker.draining
            and not self.leaving
            and self._silent_since is None
            and not self._unassigned
        )

    @property
    def free_resources(self):
        """Return the room that nothing takes and that is kept for nobody."""
        if self._worker is None:
            return Resources()
        free_resources = self._worker.capacity
        for local in self._runs.values():
            free_resources = free_resources - local.run.resources
        return free_resources

    # The worker.

    def on_report(self, report, now):
        """Take a worker's report; one older than the latest is passed over."""
        known = self._worker
        if known is not None and report.boot_id == known.boot_id:
            if report.sequence <= known.sequence:
                return []
            self._worker = report
            if report.draining != known.draining:
                fields = {"worker": report.id, "draining": report.draining}
                fields |= {"remaining_ms": report.remaining_ms}
                changed = Event(EventName.WORKER_CHANGED, "", fields)
                return [changed, *self._renewals()]
            return []
        older = known is not None and report.booted_at_ms < known.booted_at_ms
        if older or report.boot_id == self._dead_boot:
            return []
        effects = self._lose_all()
        self._worker = report
        self._ready = False
        self._fencing_token = report.booted_at_ms + report.clock_ms
        self._last_end_number = 0
        self._unassigned = set()
        self._silent_since = None
        self._clock_base = None
        self._lease_expires_at = 0.0
        fields = {
            "worker": report.id,
            "born_ms": report.booted_at_ms,
            "token": self._fencing_token,
        }
        return [*effects, Event(EventName.WORKER_BOOT, "", fields), RequestSnapshot()]

    def on_departed(self, worker_id):
        """Take note that the worker has ended as planned."""
        if self._worker is None or self._worker.id != worker_id:
            return []
        return self.on_replaced()

    def on_replaced(self):
        """Take note that this boot of the worker is gone."""
        runs = len(self._runs)
        effects = self._lose_all()
        if self._worker is not None:
            fields = {"worker": self._worker.id, "runs": runs}
            effects.append(Event(EventName.WORKER_GONE, "", fields))
            self._dead_boot = self._worker.boot_id
        self._worker = None
        self._ready = False
        return effects + self._renewals()

    def on_fenced(self, clock_ms):
        """Take a higher token after the worker has refused this agent's."""
        if self._worker is not None:
            self._fencing_token = max(
                self._fencing_token + 1, self._worker.booted_at_ms + clock_ms
            )
        return [RequestSnapshot()]

    def lease_until_ms(self, now):
        """Return until when the worker's lease may last, on its clock, or None.

        A worker that has left a look without an answer gets no further lease.
        A lease is never shortened, and it covers all runs: so it ends with the
        first permission of the dispatchers that have runs here or may order some,
        and no run outlives its permission even if this process stands still.
        """
        if self._clock_base is None or self._silent_since is not None:
            return None
        active_dispatchers = {
            each.dispatcher.incarnation for each in self._runs.values()
        }
        limit = now + self._settings.lease_ms / MS_PER_S
        expires_at = max(
            now, self._permissions.earliest_expiry(active_dispatchers, limit, now)
        )
        self._lease_expires_at = max(self._lease_expires_at, expires_at)
        at, clock_ms = self._clock_base
        return clock_ms + int((expires_at - at) * MS_PER_S / CLOCK_DRIFT)

    def on_snapshot(self, snapshot, asked_at, now):
        """Take a worker's lists, asked for at `asked_at`."""
        if self._worker is None:
            return []
        if snapshot.booted_at_ms and snapshot.booted_at_ms != self._worker.booted_at_ms:
            return self.on_replaced()
        self._latest_answer = now
        by_run = {
            (each.task, each.run.attempt): key for key, each in self._runs.items()
        }
        effects = self._take_ends(snapshot.ended, by_run, now)
        if asked_at < self._latest_snapshot_requested_at:
            return effects + self._offer_resources(now)
        self._latest_snapshot_requested_at = asked_at
        self._clock_base = (now, snapshot.clock_ms)
        if self._silent_since is not None:
            fields = {"silent_ms": round((now - self._silent_since) * MS_PER_S)}
            effects.append(Event(EventName.WORKER_ANSWERS, "", fields))
        self._silent_since = None
        first = not self._ready
        if first:
            self._fencing_token = max(
                self._fencing_token, self._worker.booted_at_ms + snapshot.clock_ms
            )
            self._ready = True
        effects += self._take_running(snapshot.running, by_run, now)
        listed = {(each.task, each.attempt) for each in snapshot.running}
        for key, local in tuple(self._runs.items()):
            acknowledged = (
                local.acknowledged_at is not None and asked_at >= local.acknowledged_at
            )
            if (local.task, local.run.attempt) in listed:
                continue
            if (
                local.unacknowledged_since is not None
                and asked_at > local.unacknowledged_since
            ):
                effects.append(self._stop(local))
                local.unacknowledged_since = now
            if acknowledged:
                started = local.phase is Phase.RUNNING or local.stopped
                end = RunEnd.LOST if started else RunEnd.NOT_STARTED
                effects += self._end(key, end, now)
        if first:
            effects += self._renewals()
        return effects + self._offer_resources(now)

    def on_snapshot_failed(self, boot, refused, now):
        """Take note that a boot of the worker did not answer a look.

        Parameters
        ----------
        boot : tuple
            The boot that was asked; the answer of an earlier one says nothing.
        refused : bool
            Whether its port refused the connection: its process is gone.
        """
        if self._worker is None or boot != self._worker.boot_id:
            return []
        effects = []
        silent = refused or now - self._latest_answer > SILENT_AFTER_S
        if silent and self._silent_since is None:
            self._silent_since = now
            fields = {"refused": refused, "runs": len(self._runs)}
            effects = [Event(EventName.WORKER_SILENT, "", fields), *self._renewals()]
        if refused or now > self._lease_expires_at:
            effects += self._lose_all()
        return effects

    def on_start_answered(self, key, answer, now):
        """Take the worker's answer to the order to start a run."""
        local = self._runs.get(key)
        if local is None:
            return []
        if answer is StartAnswer.STARTED:
            if local.phase is not Phase.STOPPING:
                local.phase = Phase.RUNNING
            local.acknowledged_at = now
            return []
        if answer is StartAnswer.NO_ANSWER:
            if local.phase is Phase.STARTING:
                local.phase = Phase.UNACKNOWLEDGED
                local.unacknowledged_since = now
            unacknowledged = event_of(EventName.RUN_UNSURE, local)
            return [unacknowledged, RequestSnapshot()]
        end = RunEnd.OUTDATED if answer is StartAnswer.OUTDATED else RunEnd.NOT_STARTED
        if answer is StartAnswer.OTHER_BOOT:
            return self.on_replaced()
        return self._end(key, end, now) + self._offer_resources(now)

    def on_stop_answered(self, task, attempt, answered, now):
        """Take the worker's answer to the order to stop a run.

        A run that was not there when the worker took the order never will be.
        """
        for local in self._runs.values():
            if local.task == task and local.run.attempt == attempt:
                if not answered:
                    return [self._stop_call(local)]
                local.acknowledged_at = now
                local.unacknowledged_since = None
                return [RequestSnapshot()]
        return []

    # Dispatchers.

    def on_renewed(self, sender, message, now):
        """Take a dispatcher's renewal of its permission."""
        self._permissions.on_renewed(sender, message.requested_at_ms)
        return []

    def on_start_runs(self, sender, message, now):
        """Start runs that fit; the others end at once as not started."""
        self._permissions.set_waiting_task(sender, message.rank, message.resources)
        self._permissions.offer_answered(message.offer)
        effects = []
        refused = []
        requested_at_ms = message.requested_at_ms
        permitted = self._permissions.allows(
            sender, requested_at_ms, self._lease_expires_at, now
        )
        for run in message.runs:
            key = (sender.incarnation, run.number)
            end = self._refusal(key, run, permitted, message.offer)
            if end is not None:
                refused.append((run.number, end, 0.0))
                fields = {"number": run.number, "end": end.value}
                fields |= {"permitted": permitted, "accepting": self.accepting}
                fields |= {
                    "free_mc": self.free_resources.cpu,
                    "dispatcher": sender.address,
                }
                effects.append(Event(EventName.RUN_REFUSED, run.job_id, fields))
                continue
            check(
                Invariant.RESOURCES_BOUND,
                self.free_resources.can_fit(run.resources),
                free_resources=self.free_resources,
            )
            self._runs[key] = LocalRun(run, sender, now, now)
            lease = self.lease_until_ms(now)
            effects.append(
                StartOnWorker(
                    self._worker.boot_id, key, run, lease, self._fencing_token
                )
            )
        if refused:
            # Without a permission no room is of use until the next renewal; a
            # dispatcher that is told of it would order the same runs again at once.
            free_resources = (
                self._unreserved() if permitted and self.accepting else Resources()
            )
            effects.append(Send(sender, RunsEnded(tuple(refused), free_resources)))
        return effects + self._offer_resources(now)

    def on_stop_runs(self, sender, message, now):
        """Stop runs of a dispatcher, or tell again how they ended.

        An order that has not come yet is never carried out.
        """
        effects = []
        ends = []
        for number in message.assignment_numbers:
            key = (sender.incarnation, number)
            local = self._runs.get(key)
            if local is None:
                ends.append((number, *self._ended.setdefault(key, NEVER_STARTED)))
            elif not local.stopped:
                effects.append(event_of(EventName.RUN_STOPPED, local, why="ordered"))
                effects.append(self._stop(local))
        if ends:
            effects.append(Send(sender, RunsEnded(tuple(ends), self._unreserved())))
        return effects

    def on_wants(self, sender, message, now):
        """Take note of the room that a dispatcher's best task needs."""
        self._permissions.set_waiting_task(sender, message.rank, message.resources)
        return self._offer_resources(now)

    def build_renewal(self, address, now):
        """Return the request for a renewal to the dispatcher at an address."""
        assignment_numbers = tuple(
            key[1]
            for key, each in self._runs.items()
            if each.dispatcher.address == address
        )
        return Renewal(int(now * MS_PER_S), self.state(), assignment_numbers)

    def state(self):
        """Return what dispatchers are told of the worker, or None."""
        if self._worker is None:
            return None
        report = self._worker
        return WorkerState(
            report.service,
            report.data_centre,
            report.labels,
            report.capacity,
            self._unreserved(),
            self.accepting,
        )

    def tick(self, now):
        """Stop the runs of silent dispatchers; look after late runs and offers."""
        effects = []
        for local in self._runs.values():
            name = local.dispatcher.incarnation
            if self._permissions.is_expiring(name, now) and not local.stopped:
                why = "no renewal"
                effects.append(event_of(EventName.RUN_STOPPED, local, why=why))
                effects.append(self._stop(local))
        self._permissions.expire(now)
        doubtful = not self._ready or self._silent_since is not None or self._unassigned
        if self._worker is not None and doubtful and now >= self._next_snapshot_at:
            self._next_snapshot_at = now + SNAPSHOT_RETRY_INTERVAL_S
            effects.append(RequestSnapshot())
        return effects + self._offer_resources(now)

    def active_dispatchers(self):
        """Return the addresses of dispatchers with runs here."""
        return {each.dispatcher.address for each in self._runs.values()}

    def leave(self):
        """Take no new runs from now on, and say so."""
        self.leaving = True
        return self._renewals()

    # Decisions.

    def _refusal(self, key, run, permitted, offer):
        """Return how a run ends that is not to be started, or None."""
        if not permitted or not self.accepting or self._clock_base is None:
            return RunEnd.NO_RESOURCES
        if key in self._ended:
            return RunEnd.NOT_STARTED
        task = (run.job_id, run.step, run.index)
        if any(each.task == task for each in self._runs.values()):
            return RunEnd.NO_RESOURCES
        kept = self._permissions.offering not in (0, offer)
        if kept or not self.free_resources.can_fit(run.resources):
            return RunEnd.NO_RESOURCES
        return None

    def _offer_resources(self, now):
        """Offer the free room to the dispatcher with the best waiting task."""
        if not self.accepting:
            return []
        return self._permissions.offer(self.free_resources, now)

    def _unreserved(self):
        """Return the free room that is not kept for an offer."""
        return Resources() if self._permissions.offering else self.free_resources

    def _take_ends(self, rows, by_run, now):
        """Take note of ends that the worker lists."""
        effects = []
        for row in rows:
            if row.number <= self._last_end_number:
                continue
            self._last_end_number = row.number
            key = by_run.get((row.task, row.attempt))
            if key is not None and key in self._runs:
                effects += self._end(key, row.end, now)
        return _merge_ends(effects)

    def _take_running(self, rows, by_run, now):
        """Take note of what runs; stop what this agent did not order."""
        effects = []
        unassigned = set()
        sampled = []
        for row in rows:
            name = (row.task, row.attempt)
            key = by_run.get(name)
            local = self._runs.get(key)
            if local is None:
                unassigned.add(name)
                fields = {
                    "task": f"{row.task[1]}.{row.task[2]}",
                    "attempt": row.attempt,
                }
                effects.append(Event(EventName.RUN_FOREIGN, row.task[0], fields))
                effects.append(StopOnWorker(row.task, row.attempt, self._fencing_token))
                continue
            if local.phase in (Phase.STARTING, Phase.UNACKNOWLEDGED):
                local.phase = Phase.RUNNING if not local.stopped else Phase.STOPPING
                local.acknowledged_at = now
                local.unacknowledged_since = None
            if not local.stopped and local.sample(row.completed_fraction, now):
                sampled.append(local)
        self._unassigned = unassigned
        return effects + self._report_progress(sampled, now)

    def _report_progress(self, sampled, now):
        """Tell dispatchers of runs that stand still, or crawl with their worker.

        A run alone that is slower than expected may just be larger than declared.
        """
        all_slow = is_worker_slow(self._runs.values())
        told = {}
        for local in sampled:
            remaining_run_ms = local.remaining_run_ms()
            if (
                remaining_run_ms is None
                or all_slow
                or local.relative_speed < MIN_RELATIVE_SPEED
            ):
                run_ms = (now - local.started_at) * MS_PER_S
                rows = told.setdefault(local.dispatcher, [])
                rows.append((local.run.number, run_ms, remaining_run_ms))
        return [
            Send(receiver, Progress(tuple(rows))) for receiver, rows in told.items()
        ]

    def _end(self, key, end, now):
        """Forget a run that has ended, and tell its dispatcher."""
        local = self._runs.pop(key)
        run_ms = 0.0 if now is None else (now - local.started_at) * MS_PER_S
        if end is RunEnd.STOPPED and not local.stopped:
            end = RunEnd.LOST
        self._ended[key] = (end, run_ms)
        while len(self._ended) > KEPT_ENDS:
            del self._ended[next(iter(self._ended))]
        message = RunsEnded(((key[1], end, run_ms),), self._unreserved())
        return [Send(local.dispatcher, message)]

    def _lose_all(self):
        """End all runs as lost: the worker can't run them any more."""
        effects = []
        for key in tuple(self._runs):
            effects += self._end(key, RunEnd.LOST, None)
        self._permissions.withdraw()
        return _merge_ends(effects)

    def _stop(self, local):
        """Mark a run as stopping and return the order to stop it."""
        local.stopped = True
        if local.phase is Phase.RUNNING:
            local.phase = Phase.STOPPING
        return self._stop_call(local)

    def _stop_call(self, local):
        """Return the order to stop a run."""
        return StopOnWorker(local.task, local.run.attempt, self._fencing_token)

    def _renewals(self):
        """Return the effect that tells every dispatcher of the worker at once."""
        return [RequestRenewals()]


def _merge_ends(effects):
    """Return one message of ends for each dispatcher, with the newest word on room."""
    merged = {}
    for effect in effects:
        before = merged.get(effect.receiver)
        ends = effect.body.ends if before is None else before.ends + effect.body.ends
        merged[effect.receiver] = RunsEnded(ends, effect.body.free_resources)
    return [Send(receiver, body) for receiver, body in merged.items()]
