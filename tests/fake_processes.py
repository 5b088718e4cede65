"""Fake processes for plays: the product's state machines, and calls that may fail."""

import random
from dataclasses import replace

from ragwortlug.envelope import Peer, Send
from ragwortlug.events import Event
from ragwortlug.jobs.dispatcher import Dispatcher
from ragwortlug.jobs.leased import LeasedRunner
from ragwortlug.jobs.request_answer import RequestAnswer
from ragwortlug.jobs.worker_calls import (
    AskBoot,
    RequestRenewals,
    RequestSnapshot,
    StartAnswer,
    StartOnWorker,
    StopOnWorker,
    StoreBoot,
    WorkerClock,
)
from ragwortlug.lease_messages import (
    AttachedRequestEnded,
    AttachRequest,
    CancelJobs,
    CancelsReceived,
    DetachRequest,
    Offer,
    OpenJobs,
    Progress,
    Relayed,
    Renewal,
    Renewed,
    RequestAttached,
    RunsEnded,
    RunsStopping,
    StartRuns,
    StopRuns,
    Wants,
    WorkerCrashed,
)
from ragwortlug.restartable_model import Orders

TICK_S = 0.05
# More than any process of a play makes.
MAX_ASSIGNMENTS = 1_000_000
LOCAL_S = 0.0005
REPORT_INTERVAL_S = 1.5
WATCHES = 2


class FakeProcess:
    """A process that may be cut off, frozen or gone; a subclass performs effects."""

    def __init__(self, play, name):
        self.play = play
        self.name = name
        self.boots = 0
        self.cut = False
        self.frozen_until = 0.0
        self.boot()

    def run(self, decide, boot=None):
        """Carry out a decision, unless this process is gone; a frozen one waits."""
        if not self.alive or boot not in (None, self.boots):
            return
        if self.play.now < self.frozen_until:
            wait, boot = self.frozen_until - self.play.now, self.boots
            self.play.at(wait, lambda: self.run(decide, boot))
            return
        self.perform(decide(self.play.now) or ())


class FakeAgent(FakeProcess):
    """An agent: the product's runner, and its calls to the fake worker."""

    def __init__(self, play, name, worker):
        self.worker = worker
        # What the store has for the next process of this agent.
        self.stored_report = None
        super().__init__(play, name)

    def boot(self):
        """Start a new process."""
        self.boots += 1
        self.alive = True
        self.peer = Peer(self.name, f"{self.name}-{self.boots}")
        self.runner = LeasedRunner(self.play.settings)
        self.told = {}
        boot = self.boots
        self.play.at(0.0, lambda: self.tick(boot))
        for _ in range(WATCHES):
            self.play.at(0.01, lambda: self.watch(boot))
        if self.stored_report is None:
            self.report(boot)
        else:
            stored = self.stored_report
            self.run(lambda now: self.runner.on_report(stored, now, recalled=True))
            self.play.at(
                self.play.rng.uniform(0.0, REPORT_INTERVAL_S),
                lambda: self.report(boot),
            )

    def report(self, boot):
        """Get a report of the worker."""
        if boot != self.boots or not self.alive or not self.worker.up:
            return
        report = self.worker.report()
        self.run(lambda now: self.runner.on_report(report, now))

    def tick(self, boot):
        """Let the runner look after time, and ask for renewals."""
        if boot != self.boots or not self.alive:
            return
        self.play.at(TICK_S, lambda: self.tick(boot))
        if self.play.now < self.frozen_until:
            return
        active = self.runner.active_dispatchers()
        for home in self.play.homes:
            settings = self.play.settings
            busy = home.name in active
            period = settings.renew_ms if busy else settings.idle_renew_ms
            if self.play.now - self.told.get(home.name, -9.0) >= period / 1000:
                self.ask(home)
        self.run(self.runner.tick)

    def ask(self, home):
        """Ask one dispatcher for a renewal."""
        self.told[home.name] = self.play.now
        renewal = self.runner.build_renewal(home.name, 0, self.play.now)
        self.play.send(self, Peer(home.name), renewal)

    def watch(self, boot):
        """Look again and again while something runs."""
        if boot != self.boots or not self.alive:
            return
        if self.runner.running and self.play.now >= self.frozen_until:
            self.look(self.play.settings.look_ms / 1000, lambda: self.watch(boot))
        else:
            self.play.at(0.005, lambda: self.watch(boot))

    def look(self, wait_s, after=lambda: None, request=None):
        """Look at the worker; the answer waits for an end."""
        request = request or self.runner.build_snapshot_request(self.play.now)
        boot = self.boots
        if request is None:
            self.play.at(0.05, after)
            return

        def answer(worker_boot):
            if not self.worker.up or worker_boot != self.worker.boots:
                failed(False)
                return
            lists = self.worker.look(request)
            clock_ms = self.worker.clock_ms()

            def done(now):
                if lists is None:
                    return self.runner.on_fenced(request, clock_ms)
                return self.runner.on_snapshot(lists, request, now)

            self.play.at(LOCAL_S, lambda: (self.run(done, boot), after()))

        def failed(refused):
            def lost(now):
                return self.runner.on_snapshot_failed(request.boot, refused, now)

            self.play.at(LOCAL_S, lambda: self.run(lost, boot))
            self.play.at(0.05, after)

        def arrive():
            if not self.worker.reachable:
                failed(True)
                return
            lists = self.worker.look(request)
            worker_boot = self.worker.boots
            if lists is None or lists.ended or not wait_s:
                answer(worker_boot)
            else:
                self.play.wait_for_end(self.worker, wait_s, lambda: answer(worker_boot))

        if self.unanswered():
            self.play.late(lambda: self.late_look(request))
            self.play.at(wait_s + 0.15, lambda: failed(False))
        else:
            self.play.travel(arrive)

    def unanswered(self):
        """Return whether a command to the worker gets no answer."""
        if self.play.now < self.worker.mute_until:
            return True
        return self.play.chance(self.play.faults.no_answer)

    def late_look(self, request):
        """Carry out a look whose answer is lost, if need be by the next boot."""
        if self.worker.up:
            self.worker.look(replace(request, last_end_number=0))

    def perform(self, effects):
        """Carry out effects."""
        for effect in effects:
            if isinstance(effect, Send):
                self.play.send(self, effect.receiver, effect.body)
            elif isinstance(effect, StartOnWorker):
                self.start(effect)
            elif isinstance(effect, StopOnWorker):
                self.stop(effect)
            elif isinstance(effect, RequestSnapshot):
                self.look(0.0)
            elif isinstance(effect, StoreBoot):
                self.stored_report = self.runner.worker
            elif isinstance(effect, AskBoot):
                self.look(0.0, request=effect.request)
            elif isinstance(effect, RequestRenewals):
                for home in self.play.homes:
                    self.ask(home)
            else:
                assert isinstance(effect, Event)
                self.play.on_event(self.name, effect)

    def late_start(self, worker_boot, order):
        """Carry out a start whose answer is lost, perhaps by a later boot.

        No command to a later boot is fenced before its first snapshot. What the agent
        has proved about the former boot does not hold there.
        """
        same_boot = self.worker.boots == worker_boot
        if self.worker.up and (same_boot or order.key in self.runner._runs):
            self.worker.start(order)

    def start(self, order):
        """Order a run from the worker."""
        boot, worker_boot = self.boots, self.worker.boots

        def answered(answer, clock=None):
            self.run(
                lambda now: self.runner.on_start_answered(
                    order.key, answer, now, clock
                ),
                boot,
            )

        def arrive():
            if not self.worker.reachable:
                answered(StartAnswer.REJECTED)
                return
            is_later_boot = order.boot != self.worker.boot_id
            if is_later_boot and not self.play.faults.reaches_next_boot:
                self.play.at(LOCAL_S, lambda: answered(StartAnswer.NOT_SENT))
                return
            if self.play.crashes_worker(order.run):
                delay_s = self.play.crash_delay_s
                self.play.at(delay_s, lambda: self.play.crash_by_run(self, order.run))
            answer = self.worker.start(order)
            clock = WorkerClock(self.worker.clock_ms())
            self.play.at(LOCAL_S, lambda: answered(answer, clock))

        if self.unanswered():
            self.play.late(lambda: self.late_start(worker_boot, order))
            self.play.at(0.06, lambda: answered(StartAnswer.NO_ANSWER))
        else:
            self.play.travel(arrive)

    def stop(self, order):
        """Order the end of a run from the worker."""
        boot = self.boots

        def answered(reached):
            self.run(
                lambda now: self.runner.on_stop_answered(
                    order.task, order.attempt, reached, now
                ),
                boot,
            )

        def arrive():
            reached = self.worker.reachable and self.worker.stop(order)
            self.play.at(LOCAL_S, lambda: answered(reached))

        if self.unanswered():
            self.play.late(lambda: self.worker.up and self.worker.stop(order))
            self.play.at(0.11, lambda: answered(False))
        else:
            self.play.travel(arrive)

    def receive(self, sender, message):
        """Take a message."""
        decisions = {
            Renewed: self.runner.on_renewed,
            StartRuns: self.runner.on_start_runs,
            StopRuns: self.runner.on_stop_runs,
            Wants: self.runner.on_wants,
            Relayed: self.runner.on_relayed,
        }
        decide = decisions[type(message)]
        self.run(lambda now: decide(sender, message, now))


class FakeEntry(FakeProcess):
    """An entry: the product's dispatcher."""

    def boot(self):
        """Start a new process."""
        self.boots += 1
        self.alive = True
        self.peer = Peer(self.name, f"{self.name}-{self.boots}")
        rng = random.Random(f"{self.play.seed} {self.name} {self.boots}")
        first_number = self.boots * MAX_ASSIGNMENTS
        self.dispatcher = Dispatcher(self.play.settings, rng, first_number)
        self.dispatcher.on_orders_changed(Orders(1, self.play.table), self.play.now)
        boot = self.boots
        self.play.at(0.0, lambda: self.tick(boot))

    def perform(self, effects):
        """Carry out effects."""
        for effect in effects:
            if isinstance(effect, Send):
                self.send(effect)
            elif isinstance(effect, RequestAnswer):
                self.play.answered(effect)
            else:
                assert isinstance(effect, Event)
                self.play.on_event(self.name, effect)

    def send(self, message):
        """Send a message, by way of agents too if need be."""
        relays = self.dispatcher.relays(message, self.peer, self.play.now)
        for each in (message, *relays):
            self.play.send(self, each.receiver, each.body)

    def on_relayed(self, sender, message, now):
        """Take a message that came by way of an agent."""
        if not message.is_for(self.peer):
            return []
        return self.dispatcher.on_relayed(sender, message, now)

    def tick(self, boot):
        """Let the dispatcher look after time."""
        if boot == self.boots and self.alive:
            self.play.at(TICK_S, lambda: self.tick(boot))
            names = [home.name for home in self.play.homes if home.alive]
            self.dispatcher.set_entries(names, self.name)
            if self.play.now >= self.frozen_until:
                self.run(self.dispatcher.tick)

    def receive(self, sender, message):
        """Take a message."""
        decisions = {
            Renewal: self.dispatcher.on_renewal,
            RunsEnded: self.dispatcher.on_runs_ended,
            Offer: self.dispatcher.on_offer,
            Progress: self.dispatcher.on_progress,
            WorkerCrashed: self.dispatcher.on_worker_crashed,
            OpenJobs: self.dispatcher.shared_jobs.on_direct_open_jobs,
            RunsStopping: self.dispatcher.shared_jobs.on_direct_runs_stopping,
            AttachRequest: self.dispatcher.shared_jobs.on_attach_request,
            RequestAttached: self.dispatcher.shared_jobs.on_request_attached,
            AttachedRequestEnded: self.dispatcher.shared_jobs.on_attached_request_ended,
            DetachRequest: self.dispatcher.on_detach_request,
            CancelJobs: self.dispatcher.on_cancel_jobs,
            CancelsReceived: self.dispatcher.shared_jobs.cancels.on_cancels_received,
            Relayed: self.on_relayed,
        }
        decide = decisions[type(message)]
        self.run(lambda now: decide(sender, message, now))
