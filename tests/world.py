"""A small world of agents for randomised tests: pure parts, a clock and a network.

Nothing here decides; it delivers, drops, doubles and delays messages, lets time
pass, pauses and restarts agents, and keeps the true record of starts.
"""

import itertools
import random
from collections import Counter, deque
from dataclasses import dataclass, field

from ragwortlug.codes import Code, Verdict
from ragwortlug.envelope import Peer, Send
from ragwortlug.jobs.home import Home
from ragwortlug.jobs.runner import Runner, StartTask, StopTask
from ragwortlug.messages import (
    Cancel,
    Fetch,
    Finished,
    Grant,
    Handover,
    HandoverTaken,
    Load,
    Moved,
    Nothing,
    Probe,
    Pull,
    Refused,
    Reply,
    Stop,
    Submit,
    Waiting,
    peer_of,
)
from ragwortlug.model import Announcement, Capacity, Job, Task, new_job_id
from ragwortlug.policy.placement import Placement
from ragwortlug.settings import PolicySettings, ViewSettings
from ragwortlug.view.note import Configuration, DataCentre, Service, Team
from ragwortlug.view.roster import (
    Member,
    Roster,
    RosterChange,
    apply_roster_change,
    member_name,
)
from ragwortlug.view.view import View

VIEW = ViewSettings(confirm_s=2.0, skew_ms=250, window_s=60.0)
POLICY = PolicySettings(queue_tasks=12)
CENTRES = ("patan", "kirtipur")
SERVICE = "mould-carving"
TEAM = "gyanbhandar"
ENTRY = Peer("tcp://entry", "entry-x")
EPOCH_MS = 1_700_000_000_000
MOST_DOUBLED = 60
MOST_REPLAYED = 30
CAPACITY = Capacity((SERVICE,), slots=2)

TIMED = (Pull, Load)
DATED = (Submit, Cancel, Finished, Refused)
RUNNER = (Grant, Waiting, Nothing, Probe, Stop)


def configuration(version, out=()):
    """Return a configuration with some data centres taken out."""
    centres = tuple(DataCentre(each, each not in out) for each in CENTRES)
    services = (Service(SERVICE, CENTRES),)
    return Configuration(version, f"note-{version}", services, (Team(TEAM),), centres)


@dataclass
class Agent:
    """An agent's pure parts."""

    address: str
    incarnation: str
    data_centre: str
    clock_ms: int
    view: View
    home: Home = None
    runner: Runner = None
    paused: bool = False
    stay: int = 0
    polls: list = field(default_factory=list)
    handed_over: bool = False

    @property
    def peer(self):
        return Peer(self.address, self.incarnation)

    @property
    def name(self):
        return member_name(self.incarnation, self.stay)

    def member(self):
        return Member(
            self.name, "agent", self.address, self.data_centre, capacity=CAPACITY
        )


@dataclass
class Call:
    """A start on its way to a target, or a task that runs there."""

    agent: Agent
    effect: StartTask
    start_before: float
    started: bool = False


class World:
    """The true state of everything, and the moves that tests may make."""

    def __init__(self, agents=4):
        self.now = 100.0
        self.random = random.Random(0)
        self.network = []
        self.past = deque(maxlen=MOST_REPLAYED)
        self.calls = []
        self.starts = Counter()
        self.told_not_run = {}
        self.told_done = {}
        self.problems = []
        self.jobs = []
        self.requests = itertools.count()
        self.asked = {}
        self.configuration = configuration(1)
        self.out_since = {}
        self.roster = Roster()
        self.rosters = [self.roster]
        self.commits = []
        self.agents = []
        self.incarnations = itertools.count()
        for index in range(agents):
            self.agents.append(self.new_agent(f"tcp://agent-{index}", index))
        joining = tuple(each.member() for each in self.agents)
        self.commit(
            apply_roster_change(self.roster, RosterChange(joining=joining), 0, 0)
        )
        for agent in self.agents:
            self.poll(agent)
            self.answer_poll(agent)

    # Time and clocks.

    def now_ms(self, offset_ms=0):
        """Return the wall clock, as somebody's clock shows it."""
        return EPOCH_MS + int(self.now * 1000) + offset_ms

    def advance(self, seconds):
        """Let time pass."""
        self.now += seconds

    # Agents.

    def new_agent(self, address, index):
        """Return a new process at an address."""
        incarnation = f"agent-{next(self.incarnations)}"
        clock_ms = VIEW.skew_ms // 2 * (1 if index % 2 else -1)
        view = View(VIEW.confirm_s, VIEW.skew_ms)
        agent = Agent(address, incarnation, CENTRES[index % 2], clock_ms, view)
        placement = Placement(incarnation, agent.data_centre, 1.0, 2, self.random)
        agent.home = Home(agent.peer, view, placement, POLICY, VIEW)
        agent.runner = Runner(agent.peer, VIEW.window_s)
        self.announce(agent)
        return agent

    def announce(self, agent):
        """Let the agent's target announce itself."""
        if agent.paused:
            return
        announcement = Announcement(
            f"http://{agent.address}", "target", CAPACITY, ttl_ms=30_000
        )
        self.perform(agent, agent.runner.on_announcement(announcement, self.now))

    def restart(self, agent):
        """Kill an agent; another process takes its address."""
        index = self.agents.index(agent)
        self.calls = [each for each in self.calls if each.agent is not agent]
        self.agents[index] = self.new_agent(agent.address, index)

    def tick(self, agent):
        """Let an agent notice the time."""
        if agent.paused:
            return
        self.perform(agent, agent.runner.tick(self.now))
        now_ms = self.now_ms(agent.clock_ms)
        self.perform(agent, agent.home.tick(self.now, now_ms))

    # The view.

    def poll(self, agent):
        """Let an agent ask for a confirmation; an entry reads the store now."""
        if not agent.paused:
            read = (self.now, self.configuration, self.roster)
            agent.polls.append((self.now, read))

    def answer_poll(self, agent):
        """Let the answer to an agent's oldest poll arrive."""
        if agent.paused or not agent.polls:
            return
        asked_at, (_, configuration_, roster) = agent.polls.pop(0)
        view = agent.view
        news = view.update_configuration(configuration_)
        news |= view.update_roster(roster, self.now_ms(agent.clock_ms))
        known = view.roster.find_member(agent.name)
        if known is not None and not known.is_present:
            agent.stay += 1
        versions = type(view.versions)(configuration_.version, roster.version)
        view.confirm(versions, asked_at, 0.0)
        if news:
            now_ms = self.now_ms(agent.clock_ms)
            self.perform(agent, agent.home.on_view_changed(self.now, now_ms))

    def refresh_all(self):
        """Let every agent poll, hear the answer and hear its target."""
        for agent in self.agents:
            agent.polls.clear()
            self.poll(agent)
            self.answer_poll(agent)
            self.announce(agent)

    def set_in_service(self, centre, in_service):
        """Commit a note for a data centre."""
        if in_service:
            self.out_since.pop(centre, None)
        else:
            self.out_since.setdefault(centre, self.now)
        out = tuple(self.out_since)
        self.configuration = configuration(self.configuration.version + 1, out)

    def begin_commit(self, change):
        """Let an entry set about a change of the roster."""
        lead_ms = int(VIEW.confirm_s * 1000) + 2 * VIEW.skew_ms + 1000
        cutoff_ms = self.now_ms() + lead_ms
        forget_ms = self.now_ms() - int(VIEW.window_s * 1000)
        self.commits.append(
            apply_roster_change(self.roster, change, cutoff_ms, forget_ms)
        )

    def end_commit(self):
        """Let the oldest change reach the store, however late."""
        if self.commits:
            roster = self.commits.pop(0)
            if roster.version == self.roster.version + 1:
                self.commit(roster)

    def commit(self, roster):
        """Put a roster in force in the store."""
        self.roster = roster
        self.rosters.append(roster)

    # Callers.

    def submit(self, job, roster, wait=True):
        """Submit a job to the home that some version of the roster names."""
        holder = self.holder(job, roster)
        if holder is not None:
            self.submit_to(peer_of(holder), job, wait)

    def submit_to(self, peer, job, wait=True):
        """Submit a job to an agent, whether or not it is the home."""
        body = Submit(self.request(job), job, "", wait)
        self.network.append((ENTRY, Send(peer, body)))

    def fetch(self, job, roster):
        """Ask for a job's answer."""
        holder = self.holder(job, roster)
        if holder is not None:
            body = Fetch(self.request(job), job.id, TEAM, True)
            self.network.append((ENTRY, Send(peer_of(holder), body)))

    def cancel(self, job, roster):
        """Give a job up."""
        holder = self.holder(job, roster)
        if holder is not None:
            body = Cancel(self.request(job), job.id, TEAM)
            self.network.append((ENTRY, Send(peer_of(holder), body)))

    def holder(self, job, roster):
        """Return who holds a job's record by a roster; a mere heir is asked too."""
        probe = View(VIEW.confirm_s, VIEW.skew_ms)
        probe.update_roster(roster, 0)
        return probe.home_map.record_holder(job.id)

    def new_job(self, tasks, offset_ms, deadline_ms):
        """Return a job born so long from now."""
        job_id = new_job_id(self.now_ms(offset_ms), self.random.getrandbits)
        job = Job(job_id, TEAM, SERVICE, (Task(),) * tasks, deadline_ms)
        self.jobs.append(job)
        return job

    def request(self, job):
        """Return the name of a new request."""
        name = f"request-{next(self.requests)}"
        self.asked[name] = job
        return name

    # The network.

    def deliver(self, index, keep=False):
        """Deliver one message; with `keep`, it will come again."""
        if not self.network:
            return
        index %= len(self.network)
        sender, effect = self.network[index]
        agent = self.agent_at(effect.receiver)
        if agent is not None and agent.paused:
            return
        if not keep:
            self.past.append(self.network.pop(index))
        if effect.receiver == ENTRY:
            self.take_reply(effect.body)
        elif agent is not None:
            self.handle(agent, sender, effect.body)

    def double_all(self):
        """Let every message under way come twice, within reason."""
        if len(self.network) < MOST_DOUBLED:
            self.network += self.network

    def flow(self):
        """Deliver messages in order for a while, and let calls arrive."""
        for _ in range(40):
            self.deliver(0)
        for _ in range(6):
            self.reach_target(0)

    def replay(self):
        """Let the messages delivered last come once more."""
        self.network += self.past

    def drop(self, index):
        """Lose one message."""
        if self.network:
            self.network.pop(index % len(self.network))

    def agent_at(self, peer):
        """Return the living agent that a message is for, or None."""
        matching = (each for each in self.agents if each.peer == peer)
        return next(matching, None)

    def agent_at_name(self, incarnation):
        """Return the living agent of an incarnation, or None."""
        matching = (each for each in self.agents if each.incarnation == incarnation)
        return next(matching, None)

    def handle(self, agent, sender, body):
        """Hand a message to the part of the agent that it is for."""
        now_ms = self.now_ms(agent.clock_ms)
        home = agent.home
        name = {Submit: "submit", Cancel: "cancel", Fetch: "fetch"}.get(type(body))
        name = name or f"on_{type(body).__name__.lower()}"
        if isinstance(body, RUNNER):
            effects = getattr(agent.runner, name)(sender, body, self.now)
        elif isinstance(body, TIMED):
            effects = getattr(home, name)(sender, body, self.now)
        elif isinstance(body, DATED):
            effects = getattr(home, name)(sender, body, self.now, now_ms)
        elif isinstance(body, Handover):
            effects = home.on_handover(sender, body, now_ms)
        elif isinstance(body, HandoverTaken):
            effects = home.on_handover_taken(body)
        else:
            effects = home.fetch(sender, body)
        self.perform(agent, effects)

    def perform(self, agent, effects):
        """Carry out an agent's effects."""
        for effect in effects:
            if isinstance(effect, Send):
                self.network.append((agent.peer, effect))
            elif isinstance(effect, StartTask):
                self.begin_call(agent, effect)
            else:
                assert isinstance(effect, StopTask)
                self.end_calls(effect)

    def take_reply(self, body):
        """Compare what a caller is told with what was started and told before."""
        if isinstance(body, Moved):
            return
        assert isinstance(body, Reply)
        job = self.asked[body.request_id]
        answer = body.answer
        if answer.id != job.id:
            self.problems.append(f"{body.request_id} got the answer to {answer.id}")
        verdict = Code(answer.code).verdict
        if verdict is Verdict.DONE:
            before = self.told_done.setdefault(job.id, answer)
            if before != answer or len(answer.tasks) != len(job.tasks):
                self.problems.append(f"{job.id} was answered {before}, then {answer}")
        refusal = not answer.tasks and verdict is Verdict.NOT_RUN
        names = [f"{job.id}/{index}" for index in range(len(job.tasks))]
        for index, name in enumerate(names):
            task = Code(answer.tasks[index].code) if answer.tasks else None
            if refusal or (task and task.verdict is Verdict.NOT_RUN):
                self.told_not_run[name] = answer.code

    # Targets.

    def begin_call(self, agent, effect):
        """Let an agent hand a task to its target, if its view permits."""
        view = agent.view
        if not view.permits_start(SERVICE, agent.data_centre, self.now):
            code = Code.NOT_CONFIRMED
            effects = agent.runner.on_start_failed(effect.key, code, self.now)
            self.perform(agent, effects)
            return
        left = VIEW.confirm_s - view.age_s(self.now)
        self.calls.append(Call(agent, effect, self.now + left))

    def reach_target(self, index):
        """Let a call arrive at its target."""
        waiting = [each for each in self.calls if not each.started]
        if not waiting:
            return
        call = waiting[index % len(waiting)]
        if self.now > call.start_before:
            self.calls.remove(call)
            code = Code.LEASE_TOO_LATE
            effects = call.agent.runner.on_start_failed(call.effect.key, code, self.now)
            self.perform(call.agent, effects)
            return
        call.started = True
        grant = call.effect.grant
        self.record_start(f"{grant.job_id}/{grant.index}", call.agent.data_centre)

    def end_task(self, index, code):
        """Let a task end."""
        running = [each for each in self.calls if each.started]
        if not running:
            return
        call = running[index % len(running)]
        self.calls.remove(call)
        result = call.effect.grant.index if code is Code.OK else None
        effects = call.agent.runner.on_task_ended(
            call.effect.key, int(code), result, "", 50.0, self.now
        )
        self.perform(call.agent, effects)

    def end_calls(self, stop):
        """Stop a task that runs."""
        for call in [each for each in self.calls if each.effect.key == stop.key]:
            if call.started:
                self.calls.remove(call)
                effects = call.agent.runner.on_task_ended(
                    stop.key, int(Code.STOPPED), None, "", 1.0, self.now
                )
                self.perform(call.agent, effects)

    def record_start(self, name, centre):
        """Keep the true record of a start."""
        self.starts[name] += 1
        since = self.out_since.get(centre)
        if since is not None and self.now > since + VIEW.confirm_s:
            self.problems.append(f"{name} started {self.now - since} s after the note")

    def check(self):
        """Fail if a promise is broken."""
        for name, count in self.starts.items():
            if count > 1:
                self.problems.append(f"{name} was started {count} times")
            if name in self.told_not_run:
                told = self.told_not_run[name]
                self.problems.append(f"{name} was told [{told}], but was started")
        assert not self.problems, self.problems
