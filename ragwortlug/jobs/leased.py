"""The leased runner: decides what runs on an agent's worker.

This is a state machine without sockets or clocks. It keeps the runs within the
worker's resources and the worker's lease within the permissions that dispatchers
renew, and reports a run as ended only when the worker can no longer run it.
Effects are calls to the worker, messages to dispatchers and events to log.
"""

import dataclasses

from ragwortlug.envelope import Send
from ragwortlug.events import Event, EventName
from ragwortlug.invariants import Invariant, check
from ragwortlug.jobs.ended_runs import EndProof
from ragwortlug.jobs.local_runs import (
    LocalRun,
    Phase,
    StartCommand,
    event_of,
    late_runs,
    may_reach,
    run_other_boot,
)
from ragwortlug.jobs.permissions import Permissions
from ragwortlug.jobs.reported_boots import ReportedBoots
from ragwortlug.jobs.resource_reports import ResourceReports
from ragwortlug.jobs.run_ends import RunEnds
from ragwortlug.jobs.run_refusals import RefusalReason, run_refused
from ragwortlug.jobs.slow_run_counts import SlowRunCounts, progress_reports
from ragwortlug.jobs.worker_calls import (
    RequestRenewals,
    RequestSnapshot,
    SnapshotRequest,
    StartAnswer,
    StartOnWorker,
    StopOnWorker,
    StoreBoot,
)
from ragwortlug.jobs.worker_lease import WorkerLease
from ragwortlug.lease_messages import Renewal, RunsEnded
from ragwortlug.restartable_model import (
    Evacuations,
    Resources,
    RunEnd,
    WorkerState,
)

MS_PER_S = 1000.0
SNAPSHOT_RETRY_INTERVAL_S = 0.2


class LeasedRunner:
    """All runs on one agent's worker.

    Parameters
    ----------
    settings : RestartSettings
        Times and bounds.
    """

    def __init__(self, settings):
        self._settings = settings
        self._worker = None
        self._lease = WorkerLease()
        self._has_snapshot = False
        self._has_current_report = False
        self._departed = False
        self._last_end_number = 0
        self._runs = {}
        self._unassigned_runs = set()
        self._permissions = Permissions(settings)
        self._reports = ResourceReports(
            self._permissions, lambda: self.free_resources, lambda: self.may_start
        )
        self._latest_snapshot_requested_at = 0.0
        self._slow_run_counts = SlowRunCounts(self._runs)
        self._run_ends = RunEnds(
            self._runs, self._reports.unreserved, self._slow_run_counts, self._lease
        )
        self._next_snapshot_at = 0.0
        self._reported_boots = ReportedBoots()
        # The latest report of a boot that was replaced, and when it was first missed,
        # while it is open which of its runs the later boot has.
        self._replaced_boot = None
        self._evacuations = Evacuations()
        self.leaving = False

    @property
    def worker(self):
        """Return the worker's latest report, or None."""
        return self._worker

    @property
    def running(self):
        """Return the number of runs that the worker has or may have."""
        return len(self._runs)

    @property
    def accepting(self):
        """Return whether the worker can start new runs."""
        return (
            self._worker is not None
            and self._has_snapshot
            and self._has_current_report
            and not self._worker.draining
            and not self.leaving
            and self._lease.can_give
            and not self._unassigned_runs
        )

    @property
    def orders_revision(self):
        """Return the revision of the newest orders that it has learned of, or 0."""
        return self._evacuations.revision

    @property
    def in_service(self):
        """Return whether the newest orders let runs start in the data centre."""
        return (
            self._worker is None
            or self._worker.data_centre not in self._evacuations.data_centres
        )

    @property
    def may_start(self):
        """Return whether the worker and the operators let new runs start."""
        return self.accepting and self.in_service

    @property
    def free_resources(self):
        """Return the worker's resources that no run uses."""
        if self._worker is None:
            return Resources()
        free_resources = self._worker.capacity
        for local_run in self._runs.values():
            free_resources = free_resources - local_run.run.resources
        return free_resources

    # The worker.

    def on_report(self, report, now, recalled=False):
        """Handle a worker's report; one older than the latest is ignored.

        A report of another boot than the current one may have been delayed. It ends
        nothing before that boot has answered.

        `recalled` says that a former process has stored it. The boot that it names is
        used at once, but the worker's capacity, labels and draining may have changed
        since, so that no run starts before the worker's next report.
        """
        if self._reported_boots.current_known_at is None:
            return self._use_boot(report, now, recalled)
        if recalled:
            return []
        if self._is_current(report.boot_id):
            return self._on_current_report(report)
        self._reported_boots.add(report, now)
        return self._ask_reported_boots(now)

    def _on_current_report(self, report):
        """Handle a report of the current boot."""
        previous = self._worker
        if report.sequence <= previous.sequence:
            return []
        self._worker = report
        is_first, self._has_current_report = not self._has_current_report, True
        if self._departed:
            self._departed = False
            self._has_snapshot = False
        if (report.draining, report.capacity) != (previous.draining, previous.capacity):
            fields = {"worker": report.id, "draining": report.draining}
            fields |= {"remaining_ms": report.remaining_ms}
            fields |= {"capacity_mc": report.capacity.cpu}
            changed = Event(EventName.WORKER_CHANGED, "", fields)
            return [changed, *self._request_renewals()]
        return self._request_renewals() if is_first else []

    def _ask_reported_boots(self, now):
        """Return the effects that ask boots that reported whether they run."""
        return self._reported_boots.ask(self._lease.fencing_token, now)

    def _on_asked_boot_answered(self, snapshot, request, now):
        """Use a boot that reported if the answer shows that it is the one that runs."""
        report = self._reported_boots.answering(snapshot, request)
        if report is None:
            return []
        may_be_current = (
            not snapshot.booted_at_ms
            and self._worker is not None
            and self._worker.id == report.id
            and snapshot.clock_ms >= self._lease.least_clock_ms
        )
        return [] if may_be_current else self._use_boot(report, now)

    def _use_boot(self, report, now, recalled=False):
        """Begin with a boot of the worker, which replaces the current one."""
        effects = self._on_boot_replaced(report.id, now)
        self._worker = report
        self._reported_boots.begin(now)
        self._reported_boots.remove(report.boot_id)
        self._has_current_report = not recalled
        self._has_snapshot = False
        self._departed = False
        expires_at = self._lease.expires_at if self._runs else 0.0
        self._lease.begin_boot(report.booted_at_ms + report.clock_ms, expires_at)
        self._last_end_number = 0
        self._unassigned_runs = set()
        fields = {
            "worker": report.id,
            "born_ms": report.booted_at_ms,
            "service": report.service,
            "labels": report.labels,
            "token": self._lease.fencing_token,
            "open_runs": len(self._runs),
            "recalled": recalled,
        }
        if not recalled:
            effects.append(StoreBoot(report.boot_id))
        return [*effects, Event(EventName.WORKER_BOOT, "", fields), RequestSnapshot()]

    def on_departed(self, worker_id, booted_at_ms):
        """Handle a planned shutdown of the worker, which may still run for a moment.

        `booted_at_ms` identifies the boot, 0 if unknown. The worker gets no new runs
        and no further lease. A later report of the same boot revokes that, since the
        notice may come from a former boot.
        """
        if self._worker is None or self._worker.id != worker_id or self._departed:
            return []
        if booted_at_ms not in (0, self._worker.booted_at_ms):
            return []
        self._departed = True
        self._worker = dataclasses.replace(self._worker, draining=True)
        self._permissions.withdraw()
        fields = {"worker": worker_id, "runs": len(self._runs)}
        fields["born_ms"] = self._worker.booted_at_ms
        departs = Event(EventName.WORKER_DEPARTS, "", fields)
        return [departs, *self._request_renewals()]

    def on_other_id_answered(self, boot, now):
        """Handle the answer of a worker with another id to a call to a boot."""
        self._reported_boots.remove(boot)
        return self._on_replaced(None, now) if self._is_current(boot) else []

    def _on_replaced(self, later_id, now):
        """Handle the end of the current boot of the worker without a notice.

        `later_id` is the id of the boot that answered instead, None for another one.
        """
        runs = len(self._runs)
        effects = self._on_boot_replaced(later_id, now)
        if self._worker is None:
            return effects
        fields = {"worker": self._worker.id, "runs": runs}
        fields |= {"open_runs": len(self._runs)}
        fields["born_ms"] = self._worker.booted_at_ms
        effects.append(Event(EventName.WORKER_GONE, "", fields))
        self._reported_boots.begin(now)
        self._worker = None
        self._has_snapshot = False
        effects += self._ask_reported_boots(now)
        return effects + self._request_renewals()

    def _on_boot_replaced(self, later_id, now):
        """End the runs of a boot that a later one has replaced.

        If the later boot may have one of them, all wait for its first snapshot, so
        that the crash is reported once, without the runs that go on.
        """
        if self._worker is not None and self._replaced_boot is None:
            self._replaced_boot = (self._worker, self._failing_since(now))
        if self._replaced_boot is None:
            return []
        former, _ = self._replaced_boot
        if may_reach(self._runs.values(), former, later_id):
            # The later boot shortens a lease to its own maximum.
            longest_s = self._settings.orphan_ms / MS_PER_S
            self._lease.expires_at = max(self._lease.expires_at, now + longest_s)
            return []
        return self._end_as_crashed(tuple(self._runs), EndProof.REPLACED, now)

    def on_fenced(self, request, clock_ms):
        """Raise the fencing token after the worker has refused it as too low."""
        report = self._reported_boots.get(request.boot)
        if self._is_current(request.boot):
            report = self._worker
        if report is None or request.fencing_token < self._lease.fencing_token:
            return []
        self._lease.raise_refused_token(report.booted_at_ms + clock_ms)
        return [RequestSnapshot()]

    def build_snapshot_request(self, now):
        """Return the `SnapshotRequest` to make now, or None without a worker."""
        if self._worker is None:
            return None
        return SnapshotRequest(
            self._worker.boot_id,
            now,
            self._lease.fencing_token,
            self._last_end_number,
            self._lease.least_clock_ms,
            self._give_lease(now),
        )

    def _give_lease(self, now):
        """Give the worker a lease; return its end in ms of its clock, or None.

        A worker that has not answered a snapshot request gets no further lease, nor
        does one with runs of a former process, which no permission covers. A lease is
        never shortened, and it covers all runs. It therefore ends with the earliest
        permission of the dispatchers that have runs here or may assign some, so that
        no run outlives its permission even if this process is paused.
        """
        if self._departed or self._unassigned_runs or not self._lease.can_give:
            return None
        active_dispatchers = {
            local_run.dispatcher.incarnation for local_run in self._runs.values()
        }
        limit = now + self._settings.lease_ms / MS_PER_S
        expires_at = max(
            now, self._permissions.earliest_expiry(active_dispatchers, limit, now)
        )
        return self._lease.give(expires_at)

    def on_snapshot(self, snapshot, request, now):
        """Handle a worker's snapshot, the answer to a `SnapshotRequest`."""
        if not self._is_current(request.boot):
            return self._on_asked_boot_answered(snapshot, request, now)
        if request.requested_at < self._reported_boots.current_known_at:
            # It asked whether the boot runs, and fenced no commands to the former one.
            return []
        if snapshot.booted_at_ms not in (0, self._worker.booted_at_ms):
            later = (self._worker.id, snapshot.booted_at_ms)
            report = self._reported_boots.get(later)
            if report is not None:
                return self._use_boot(report, now)
            return self._on_replaced(self._worker.id, now)
        if not snapshot.booted_at_ms and snapshot.clock_ms < request.least_clock_ms:
            # It may come from a later boot, whose report follows.
            return self.on_snapshot_failed(request.boot, False, now)
        was_fenced = self._lease.is_fenced
        self._lease.on_contact(request.fencing_token, now)
        effects = []
        if self._replaced_boot is None:
            effects += self._run_ends.withdraw_suspicion(self._permissions.peers)
        by_run = {
            (local_run.task, local_run.run.attempt): key
            for key, local_run in self._runs.items()
        }
        effects += self._record_ends(snapshot.ended, by_run, now)
        requested_at = request.requested_at
        if requested_at < self._latest_snapshot_requested_at:
            if self._lease.is_fenced and not was_fenced:
                effects += self._request_renewals()
            return self._reports.offer_then_report(effects, now)
        self._latest_snapshot_requested_at = requested_at
        is_first_of_boot = self._lease.clock_base is None
        silent_s = self._lease.on_clock(snapshot.clock_ms, requested_at, now)
        if silent_s:
            fields = {"silent_ms": round(silent_s * MS_PER_S)}
            effects.append(Event(EventName.WORKER_ANSWERS, "", fields))
        if is_first_of_boot:
            self._lease.raise_token(self._worker.booted_at_ms + snapshot.clock_ms)
        self._has_snapshot |= snapshot.is_complete
        effects += self._record_running(snapshot.running, by_run, now)
        if snapshot.is_complete:
            listed = {(row.task, row.attempt) for row in snapshot.running}
            effects += self._end_unlisted(listed, requested_at, now)
        if not self._lease.is_fenced:
            effects.append(RequestSnapshot())
        elif not was_fenced:
            effects += self._request_renewals()
        return self._reports.offer_then_report(effects, now)

    def _end_unlisted(self, listed, requested_at, now):
        """End the runs that a snapshot proves not to run; stop the unconfirmed ones.

        Parameters
        ----------
        listed : set
            Task and attempt of each run that the worker has.
        requested_at : float
            When the snapshot was requested, in monotonic seconds.
        """
        effects = []
        if self._replaced_boot is not None:
            former_runs = [
                key
                for key, local_run in self._runs.items()
                if (local_run.task, local_run.run.attempt) not in listed
            ]
            effects += self._end_as_crashed(former_runs, EndProof.REPLACED, now)
        ends = []
        for key, local_run in tuple(self._runs.items()):
            acknowledged = (
                local_run.acknowledged_at is not None
                and requested_at >= local_run.acknowledged_at
            )
            if (local_run.task, local_run.run.attempt) in listed:
                continue
            if (
                local_run.unacknowledged_since is not None
                and requested_at > local_run.unacknowledged_since
            ):
                effects.append(self._mark_stopping(local_run))
                local_run.unacknowledged_since = now
            if acknowledged:
                started = local_run.phase is Phase.RUNNING or local_run.stopped
                end = RunEnd.LOST if started else RunEnd.NOT_STARTED
                ends.append((key, end))
        return effects + self._run_ends.end(ends, EndProof.NOT_LISTED, now)

    def on_snapshot_failed(self, boot, refused, now):
        """Handle a snapshot request that a boot of the worker did not answer.

        Parameters
        ----------
        boot : tuple
            The boot that was asked; failures of an earlier boot are ignored.
        refused : bool
            Whether its port refused the connection.
        """
        if not self._is_current(boot):
            return []
        effects = []
        if self._lease.on_failure(refused, now):
            fields = {"refused": refused, "runs": len(self._runs)}
            fields["born_ms"] = self._worker.booted_at_ms
            fields["lease_left_ms"] = round((self._lease.expires_at - now) * MS_PER_S)
            effects = [
                Event(EventName.WORKER_SILENT, "", fields),
                *self._request_renewals(),
            ]
        effects += self._report_suspected_crash(now)
        return effects + self._end_expired(now)

    def _report_suspected_crash(self, now):
        """Report the crash that a refused connection suggests; its runs may go on."""
        if not self._lease.refused or self._worker.draining:
            return []
        crashed_at = self._failing_since(now)
        return self._run_ends.suspect_crash(crashed_at, self._permissions.peers)

    def _end_expired(self, now):
        """End the runs of a silent worker once its lease must have expired.

        A start without an answer may still be carried out later. The worker gets no
        lease before it has seen a higher token, which prevents that.
        """
        silent = self._worker is None or self._lease.silent_since is not None
        if not self._runs or not silent or now < self._lease.expires_at:
            return []
        keys = tuple(self._runs)
        crashed = self._lease.refused or self._replaced_boot is not None
        fields = {"runs": len(keys), "refused": self._lease.refused}
        fields["token"] = self._lease.fencing_token
        self._lease.raise_token(self._lease.fencing_token + 1)
        expired = Event(EventName.LEASE_EXPIRED, "", fields)
        proof = EndProof.LEASE_EXPIRED
        if crashed:
            return [expired, *self._end_as_crashed(keys, proof, now)]
        self._permissions.withdraw()
        return [expired, *self._run_ends.end_as_lost(keys, proof, now)]

    def on_start_answered(self, key, answer, now, clock=None):
        """Handle the worker's answer to a command to start a run.

        `clock` is the `WorkerClock` of the answer, if there is one. An answer of a
        later boot with the same id counts as none: its next snapshot decides. That
        another id answered a command to a former boot proves nothing about the boot
        that runs now.
        """
        local_run = self._runs.get(key)
        if local_run is None:
            return []
        started = answer is StartAnswer.STARTED
        command = local_run.command
        if started and command.was_answered_by_its_boot(clock, now):
            if local_run.phase is not Phase.STOPPING:
                local_run.phase = Phase.RUNNING
            local_run.started_on = command.boot
            local_run.acknowledged_at = now
            return []
        if started or answer is StartAnswer.NO_ANSWER:
            if local_run.phase is Phase.STARTING:
                local_run.phase = Phase.UNACKNOWLEDGED
                local_run.unacknowledged_since = now
            event = event_of(EventName.RUN_UNSURE, local_run)
            if started:
                event = run_other_boot(local_run, self._worker, clock)
            return [event, RequestSnapshot()]
        end = RunEnd.OUTDATED if answer is StartAnswer.OUTDATED else RunEnd.NOT_STARTED
        if answer is StartAnswer.OTHER_BOOT and self._is_current(command.boot):
            return self._on_replaced(None, now)
        effects = self._run_ends.end([(key, end)], EndProof.NOT_STARTED, now)
        if answer is StartAnswer.NOT_SENT:
            effects.append(RequestSnapshot())
        return self._reports.offer_then_report(effects, now)

    def on_stop_answered(self, task, attempt, answered, now):
        """Handle the worker's answer to a command to stop a run.

        A run that did not exist when the worker received the command will never
        start.
        """
        for local_run in self._runs.values():
            if local_run.task == task and local_run.run.attempt == attempt:
                if not answered:
                    return [self._stop_command(task, attempt)]
                local_run.acknowledged_at = now
                local_run.unacknowledged_since = None
                return [RequestSnapshot()]
        return []

    # Dispatchers.

    def on_renewed(self, sender, message, now):
        """Handle a dispatcher's renewal of its permission."""
        is_new = self._permissions.expires_at(sender.incarnation) is None
        self._permissions.on_renewed(sender, message.requested_at_ms)
        reports = self._run_ends.crash_reports(now) if is_new else ()
        effects = self._update_evacuations(sender, message.evacuations)
        return [*effects, *(Send(sender, report) for report in reports)]

    def _update_evacuations(self, sender, evacuations):
        """Apply evacuations if they are newer; inform the dispatchers of a change.

        A dispatcher that is cut off from the store and the others repeats old ones.
        """
        if evacuations is None or evacuations.revision <= self.orders_revision:
            return []
        previous, was_in_service = self._evacuations, self.in_service
        self._evacuations = evacuations
        if evacuations.data_centres == previous.data_centres:
            return []
        fields = {"revision": evacuations.revision, "dispatcher": sender.address}
        fields["evacuated"] = evacuations.data_centres
        applied = Event(EventName.ORDERS_APPLIED, "", fields)
        if self.in_service == was_in_service:
            return [applied]
        return [applied, *self._request_renewals()]

    def on_start_runs(self, sender, message, now):
        """Start the runs that are permitted and fit; report the others as ended."""
        self._permissions.set_waiting_task(sender, message.rank, message.resources)
        self._permissions.offer_answered(message.offer)
        effects = []
        refused = []
        is_outdated = False
        requested_at_ms = message.requested_at_ms
        permitted = self._permissions.allows(
            sender, requested_at_ms, self._lease.expires_at, now
        )
        for run in message.runs:
            key = (sender.incarnation, run.number)
            if key in self._runs:
                continue
            reason = self._refusal_reason(sender, message.service, run, permitted)
            if reason is not None:
                is_outdated |= reason is RefusalReason.OTHER_KIND
                refused.append((run.number, reason.end, 0.0))
                self._run_ends.refuse(key, reason.end)
                event = run_refused(
                    run,
                    reason,
                    permitted=permitted,
                    accepting=self.accepting,
                    in_service=self.in_service,
                    revision=self.orders_revision,
                    free_mc=self.free_resources.cpu,
                    dispatcher=sender.address,
                )
                effects.append(event)
                continue
            check(
                Invariant.RESOURCES_BOUND,
                self.free_resources.can_fit(run.resources),
                free_resources=self.free_resources,
            )
            boot, token = self._worker.boot_id, self._lease.fencing_token
            command = StartCommand(boot, token, self._lease.clock_bound)
            self._runs[key] = LocalRun(run, sender, now, now, command)
            lease = self._give_lease(now)
            least_clock_ms = self._lease.least_clock_ms
            effects.append(StartOnWorker(boot, key, run, lease, token, least_clock_ms))
        if refused:
            # Without a permission, or for a dispatcher that knows a former boot of the
            # worker, free resources can't be used before the next renewal. If they were
            # reported, the dispatcher would assign the same runs again at once.
            free_resources = Resources()
            if permitted and self.may_start and not is_outdated:
                free_resources = self._reports.unreserved()
            effects.append(Send(sender, RunsEnded(tuple(refused), free_resources)))
        if is_outdated:
            effects += self._request_renewals()
        effects += self._reports.offer(now)
        return effects + self._reports.report_remainder()

    def on_stop_runs(self, sender, message, now):
        """Stop runs of a dispatcher, or repeat how they ended.

        An assignment that has not arrived yet is recorded as never started, so that
        it is refused on arrival.
        """
        effects = []
        ends = []
        for number in message.assignment_numbers:
            key = (sender.incarnation, number)
            local_run = self._runs.get(key)
            if local_run is None:
                ends.append((number, *self._run_ends.end_or_refuse(key)))
            elif not local_run.stopped:
                effects.append(
                    event_of(EventName.RUN_STOPPED, local_run, why="ordered")
                )
                effects.append(self._mark_stopping(local_run))
        if ends:
            effects.append(
                Send(sender, RunsEnded(tuple(ends), self._reports.unreserved()))
            )
        return effects

    def on_relayed(self, sender, message, now):
        """Pass an entry's message on to another one that has a permission here."""
        address = message.receiver.address
        in_contact = {peer.address for peer in self._permissions.peers}
        if sender != message.origin or address not in in_contact:
            return []
        return [Send(message.receiver, message)]

    def on_wants(self, sender, message, now):
        """Record the resources that a dispatcher's best waiting task needs."""
        self._permissions.set_waiting_task(sender, message.rank, message.resources)
        return self._reports.offer(now)

    def build_renewal(self, address, round_trip_ms, now):
        """Return the request for a renewal to the dispatcher at an address.

        `round_trip_ms` says how long the latest renewal took; 0 if unknown.
        """
        assignment_numbers = tuple(
            key[1]
            for key, local_run in self._runs.items()
            if local_run.dispatcher.address == address
        )
        requested_at_ms = int(now * MS_PER_S)
        return Renewal(
            requested_at_ms,
            self.state(),
            assignment_numbers,
            round_trip_ms,
            self._slow_run_counts.share(now),
        )

    def state(self):
        """Return the worker state that is sent to dispatchers, or None."""
        if self._worker is None or (self._departed and not self._runs):
            return None
        report = self._worker
        return WorkerState(
            report.service,
            report.data_centre,
            report.labels,
            report.capacity,
            self._reports.unreserved(),
            self.accepting,
            self.in_service,
        )

    def tick(self, now):
        """Stop runs with expiring permissions, request snapshots, offer resources."""
        effects = self._end_expired(now)
        for local_run in self._runs.values():
            incarnation = local_run.dispatcher.incarnation
            if (
                self._permissions.is_expiring(incarnation, now)
                and not local_run.stopped
            ):
                why = "no renewal"
                effects.append(event_of(EventName.RUN_STOPPED, local_run, why=why))
                effects.append(self._mark_stopping(local_run))
        self._permissions.expire(now)
        needs_snapshot = (
            not self._has_snapshot or not self._lease.can_give or self._unassigned_runs
        )
        if (
            self._worker is not None
            and needs_snapshot
            and (self._runs or not self._departed)
            and now >= self._next_snapshot_at
        ):
            self._next_snapshot_at = now + SNAPSHOT_RETRY_INTERVAL_S
            effects.append(RequestSnapshot())
        effects += self._ask_reported_boots(now)
        effects += self._reports.offer(now)
        return effects + self._reports.report_remainder()

    def active_dispatchers(self):
        """Return the addresses of dispatchers with runs here."""
        return {local_run.dispatcher.address for local_run in self._runs.values()}

    def leave(self):
        """Stop accepting new runs and inform the dispatchers."""
        self.leaving = True
        return self._request_renewals()

    # Decisions.

    def _is_current(self, boot_id):
        """Return whether a boot is the current one."""
        return self._worker is not None and self._worker.boot_id == boot_id

    def _refusal_reason(self, sender, service, run, permitted):
        """Return why a run for a service must not start, or None if it may.

        The dispatcher may have chosen the worker by the report of a former boot.
        """
        key = (sender.incarnation, run.number)
        task = (run.job_id, run.step, run.index)
        if not permitted:
            return RefusalReason.NO_PERMISSION
        if not self.accepting:
            return RefusalReason.NOT_ACCEPTING
        if not self.in_service:
            return RefusalReason.EVACUATED
        if not self._worker.can_run(service, run.label):
            return RefusalReason.OTHER_KIND
        if key in self._run_ends:
            return RefusalReason.ENDED
        if any(local_run.task == task for local_run in self._runs.values()):
            return RefusalReason.SAME_TASK
        if self._permissions.reserved_from(sender):
            return RefusalReason.RESERVED
        if not self.free_resources.can_fit(run.resources):
            return RefusalReason.FULL
        return None

    def _record_ends(self, rows, by_run, now):
        """Record the ends that the worker lists; return messages and events."""
        ends = {}
        effects = []
        for row in rows:
            if row.number <= self._last_end_number:
                continue
            self._last_end_number = row.number
            key = by_run.get((row.task, row.attempt))
            if key is not None:
                ends.setdefault(key, row.end)
            else:
                effects += self._run_ends.on_listed_ended(row, now)
        return effects + self._run_ends.end(ends.items(), EndProof.LISTED, now)

    def _record_running(self, rows, by_run, now):
        """Record the listed runs; stop those that this agent did not start."""
        effects = []
        unassigned = set()
        sampled = []
        for row in rows:
            task_attempt = (row.task, row.attempt)
            key = by_run.get(task_attempt)
            local_run = self._runs.get(key)
            if local_run is None:
                unassigned.add(task_attempt)
                token = self._lease.fencing_token
                requested_at = self._latest_snapshot_requested_at
                effects.append(
                    self._run_ends.on_listed_running(row, token, requested_at, now)
                )
                effects.append(self._stop_command(row.task, row.attempt))
                continue
            if self._replaced_boot is not None:
                effects += self._adopt(local_run)
            local_run.started_on = self._worker.boot_id
            if local_run.phase in (Phase.STARTING, Phase.UNACKNOWLEDGED):
                local_run.phase = (
                    Phase.RUNNING if not local_run.stopped else Phase.STOPPING
                )
                local_run.acknowledged_at = now
                local_run.unacknowledged_since = None
            if not local_run.stopped and local_run.sample(row.completed_fraction, now):
                sampled.append(local_run)
        self._unassigned_runs = unassigned
        rows = late_runs(sampled, self._runs.values(), now)
        return effects + progress_reports(rows, self._slow_run_counts, now)

    def _adopt(self, local_run):
        """Go on with a run that a later boot carried out; return the effects."""
        effects = [event_of(EventName.RUN_ADOPTED, local_run)]
        if local_run.stopped:
            effects.append(self._mark_stopping(local_run))
        return effects

    def _failing_since(self, now):
        """Return since when calls to the worker have failed, `now` if they have not."""
        failing_since = self._lease.failing_since
        return now if failing_since is None else failing_since

    def _end_as_crashed(self, keys, proof, now):
        """End runs as lost after their worker has ended without notice."""
        former, crashed_at = self._replaced_boot or (
            self._worker,
            self._failing_since(now),
        )
        self._replaced_boot = None
        self._permissions.withdraw()
        return self._run_ends.end_as_crashed(
            keys, former, crashed_at, self._permissions.peers, proof, now
        )

    def _mark_stopping(self, local_run):
        """Mark a run as stopping and return the command to stop it."""
        local_run.stopped = True
        if local_run.phase is Phase.RUNNING:
            local_run.phase = Phase.STOPPING
        return self._stop_command(local_run.task, local_run.run.attempt)

    def _stop_command(self, task, attempt):
        """Return the command to stop a run."""
        return StopOnWorker(task, attempt, self._lease.fencing_token)

    def _request_renewals(self):
        """Return the effect that requests a renewal from every dispatcher at once."""
        return [RequestRenewals()]
