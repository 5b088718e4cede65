"""The composition root: builds the kernel of each program from its services."""

import random
import secrets

from ragwortlug import invariants
from ragwortlug.agent import AgentShutdown
from ragwortlug.entry import EntryShutdown
from ragwortlug.envelope import Peer
from ragwortlug.home_actor import HomeActor
from ragwortlug.io.announcer import Announcer
from ragwortlug.io.callers import CallerRoutes
from ragwortlug.io.connection_guard import guard_of
from ragwortlug.io.etcd import EtcdClient
from ragwortlug.io.http import BYTES_PER_KB, HttpServer
from ragwortlug.io.operators import OperatorRoutes, health_routes
from ragwortlug.io.peers import Peers
from ragwortlug.io.registrar import Registrar
from ragwortlug.io.request_limits import request_limits
from ragwortlug.io.targets import TargetClient, TargetRoutes
from ragwortlug.io.view_sync import ViewSync
from ragwortlug.jobs.home import Home
from ragwortlug.jobs.runner import Runner
from ragwortlug.kernel import Kernel
from ragwortlug.lease_settings import parse_address
from ragwortlug.messages import CODEC
from ragwortlug.policy.placement import Placement
from ragwortlug.relay import Relay
from ragwortlug.runner_actor import RunnerActor
from ragwortlug.telemetry.metrics import Metrics
from ragwortlug.telemetry.traces import Traces
from ragwortlug.timer import Timer
from ragwortlug.view.membership import MembershipTracker
from ragwortlug.view.quorum import QuorumTracker
from ragwortlug.view.roster import Member
from ragwortlug.view.view import View

INCARNATION_BYTES = 6
ANNOUNCEMENT_LIMIT_KB = 64


def compose_entry(settings):
    """Return the kernel of an entry.

    Parameters
    ----------
    settings : EntrySettings
        The settings, as read from the settings file.
    """
    kernel, own_peer = _compose_base(settings, "entry", settings.trace_share)
    timer, metrics, peers, traces = _base_services(kernel)
    member = Member(
        own_peer.incarnation, "entry", settings.address, settings.data_centre
    )
    quorum = QuorumTracker(own_peer.incarnation)
    view = View(settings.view.confirm_s, settings.view.skew_ms)
    store = kernel.register(
        "store", EtcdClient(settings.store, settings.prefix, metrics, timer)
    )
    view_sync = kernel.register(
        "view_sync",
        ViewSync(view, member, (), peers, timer, metrics, settings.view, quorum),
    )
    announcer = kernel.register("announcer", Announcer(view, quorum, peers))
    registrar = kernel.register(
        "registrar",
        Registrar(
            view_sync,
            MembershipTracker(own_peer.incarnation, settings.view.lost_after_s),
            quorum,
            announcer,
            store,
            peers,
            timer,
            metrics,
            settings.view,
        ),
    )
    relay = kernel.register("relay", Relay(view_sync, peers, timer, metrics))
    server = _server(settings, settings.body_limit_kb, metrics)
    kernel.register("callers", CallerRoutes(server, relay, traces))
    operators = kernel.register(
        "operators",
        OperatorRoutes(
            server, registrar, view_sync, peers, timer, metrics, traces, relay
        ),
    )
    kernel.register("http", server)
    metrics.gauge("pending_requests", lambda: relay.pending)
    metrics.gauge("view_age_seconds", lambda: view.age_s(timer.monotonic()) or -1)
    metrics.gauge("configuration", lambda: view.configuration.version)
    shutdown = EntryShutdown(view_sync, relay, operators, timer, settings.drain_s)
    kernel.register("shutdown", shutdown)
    return kernel


def compose_agent(settings):
    """Return the kernel of an agent.

    Parameters
    ----------
    settings : AgentSettings
        The settings, as read from the settings file.
    """
    kernel, own_peer = _compose_base(settings, "agent")
    timer, metrics, peers, traces = _base_services(kernel)
    member = Member(
        own_peer.incarnation,
        "agent",
        settings.address,
        settings.data_centre,
        settings.rack,
    )
    view = View(settings.view.confirm_s, settings.view.skew_ms)
    view_sync = kernel.register(
        "view_sync",
        ViewSync(view, member, settings.entries, peers, timer, metrics, settings.view),
    )
    placement = Placement(
        own_peer.incarnation,
        settings.data_centre,
        settings.policy.hint_s,
        settings.policy.probes,
        random.Random(),
    )
    home = Home(own_peer, view, placement, settings.policy, settings.view)
    home_actor = kernel.register(
        "home", HomeActor(home, view_sync, peers, timer, metrics, traces)
    )
    client = kernel.register(
        "target",
        TargetClient(view, settings.data_centre, timer, settings.view.confirm_s),
    )
    runner = Runner(own_peer, settings.view.window_s)
    runner_actor = kernel.register(
        "runner", RunnerActor(runner, client, view_sync, peers, timer, metrics, traces)
    )
    server = _server(settings, ANNOUNCEMENT_LIMIT_KB, metrics)
    TargetRoutes(server, lambda message: runner_actor.post(None, message))
    server.app.add_routes(health_routes(metrics))
    kernel.register("http", server)
    metrics.gauge("view_age_seconds", lambda: view.age_s(timer.monotonic()) or -1)
    metrics.gauge("configuration", lambda: view.configuration.version)
    shutdown = AgentShutdown(home_actor, runner_actor, view_sync, timer)
    kernel.register("shutdown", shutdown)
    return kernel


def _server(settings, body_limit_kb, metrics):
    """Return the HTTP server of a program, without routes."""
    host, port = parse_address(settings.http)
    limits = request_limits(settings.limits, body_limit_kb * BYTES_PER_KB)
    return HttpServer(
        host,
        port,
        body_limit_kb,
        guard=guard_of(settings.limits, metrics),
        limits=lambda: limits,
    )


def _compose_base(settings, role, trace_share=0.0):
    """Return a kernel with the services that every program has."""
    invariants.enable(settings.check_invariants)
    incarnation = f"{role}-{secrets.token_hex(INCARNATION_BYTES)}"
    own_peer = Peer(settings.address, incarnation)
    kernel = Kernel()
    timer = kernel.register("timer", Timer())
    metrics = kernel.register("metrics", Metrics())
    kernel.register("peers", Peers(own_peer, timer, metrics, CODEC))
    process = f"{role} {settings.address}"
    kernel.register("traces", Traces(process, trace_share))
    return kernel, own_peer


def _base_services(kernel):
    """Return the services that every program has, in a fixed order."""
    names = ("timer", "metrics", "peers", "traces")
    return tuple(kernel.find(name) for name in names)
