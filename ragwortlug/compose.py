"""The composition root: wires the parts of each program into a kernel."""

import random
import secrets

from ragwortlug import invariants
from ragwortlug.agent import AgentShutdown
from ragwortlug.entry import EntryShutdown
from ragwortlug.envelope import Peer
from ragwortlug.home_actor import HomeActor
from ragwortlug.io.announcer import Announcer
from ragwortlug.io.callers import CallerRoutes
from ragwortlug.io.http import HttpServer
from ragwortlug.io.keeper import ViewKeeper
from ragwortlug.io.operators import OperatorRoutes, health_routes
from ragwortlug.io.peers import Peers
from ragwortlug.io.registrar import Registrar
from ragwortlug.io.store import Store
from ragwortlug.io.targets import TargetClient, TargetRoutes
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
from ragwortlug.view.census import Census
from ragwortlug.view.roster import Member
from ragwortlug.view.view import View
from ragwortlug.view.vouching import Vouching

INCARNATION_BYTES = 6
ANNOUNCEMENT_LIMIT_KB = 64


def compose_entry(settings):
    """Return the kernel of an entry.

    Parameters
    ----------
    settings : EntrySettings
        As read from its file.
    """
    kernel, own = _compose_base(settings, "entry", settings.trace_share)
    timer, metrics, peers, traces = _base_services(kernel)
    member = Member(own.incarnation, "entry", settings.address, settings.data_centre)
    vouching = Vouching(own.incarnation)
    view = View(settings.view.confirm_s, settings.view.skew_ms)
    store = kernel.register(
        "store", Store(settings.store, settings.prefix, metrics, timer)
    )
    keeper = kernel.register(
        "keeper",
        ViewKeeper(view, member, (), peers, timer, metrics, settings.view, vouching),
    )
    announcer = kernel.register("announcer", Announcer(view, vouching, peers))
    registrar = kernel.register(
        "registrar",
        Registrar(
            keeper,
            Census(own.incarnation, settings.view.lost_after_s),
            vouching,
            announcer,
            store,
            peers,
            timer,
            metrics,
            settings.view,
        ),
    )
    relay = kernel.register("relay", Relay(keeper, peers, timer, metrics))
    host, port = parse_address(settings.http)
    server = HttpServer(host, port, settings.body_limit_kb)
    kernel.register("callers", CallerRoutes(server, relay, traces))
    operators = kernel.register(
        "operators",
        OperatorRoutes(server, registrar, keeper, peers, timer, metrics, traces, relay),
    )
    kernel.register("http", server)
    metrics.gauge("pending_requests", lambda: relay.pending)
    metrics.gauge("view_age_seconds", lambda: view.age_s(timer.monotonic()) or -1)
    metrics.gauge("configuration", lambda: view.configuration.version)
    shutdown = EntryShutdown(keeper, relay, operators, timer, settings.drain_s)
    kernel.register("shutdown", shutdown)
    return kernel


def compose_agent(settings):
    """Return the kernel of an agent.

    Parameters
    ----------
    settings : AgentSettings
        As read from its file.
    """
    kernel, own = _compose_base(settings, "agent")
    timer, metrics, peers, traces = _base_services(kernel)
    member = Member(
        own.incarnation,
        "agent",
        settings.address,
        settings.data_centre,
        settings.rack,
    )
    view = View(settings.view.confirm_s, settings.view.skew_ms)
    keeper = kernel.register(
        "keeper",
        ViewKeeper(
            view, member, settings.entries, peers, timer, metrics, settings.view
        ),
    )
    placement = Placement(
        own.incarnation,
        settings.data_centre,
        settings.policy.hint_s,
        settings.policy.probes,
        random.Random(),
    )
    home = Home(own, view, placement, settings.policy, settings.view)
    home_actor = kernel.register(
        "home", HomeActor(home, keeper, peers, timer, metrics, traces)
    )
    client = kernel.register(
        "target",
        TargetClient(view, settings.data_centre, timer, settings.view.confirm_s),
    )
    runner = Runner(own, settings.view.window_s)
    runner_actor = kernel.register(
        "runner", RunnerActor(runner, client, keeper, peers, timer, metrics, traces)
    )
    host, port = parse_address(settings.http)
    server = HttpServer(host, port, ANNOUNCEMENT_LIMIT_KB)
    TargetRoutes(server, lambda each: runner_actor.post(None, each))
    server.app.add_routes(health_routes(metrics))
    kernel.register("http", server)
    metrics.gauge("view_age_seconds", lambda: view.age_s(timer.monotonic()) or -1)
    metrics.gauge("configuration", lambda: view.configuration.version)
    shutdown = AgentShutdown(home_actor, runner_actor, keeper, timer)
    kernel.register("shutdown", shutdown)
    return kernel


def _compose_base(settings, role, trace_share=0.0):
    """Return a kernel with the services that every program has."""
    invariants.enable(settings.check_invariants)
    incarnation = f"{role}-{secrets.token_hex(INCARNATION_BYTES)}"
    own = Peer(settings.address, incarnation)
    kernel = Kernel()
    timer = kernel.register("timer", Timer())
    metrics = kernel.register("metrics", Metrics())
    kernel.register("peers", Peers(own, timer, metrics, CODEC))
    process = f"{role} {settings.address}"
    kernel.register("traces", Traces(process, trace_share))
    return kernel, own


def _base_services(kernel):
    """Return the services that every program has, in a fixed order."""
    names = ("timer", "metrics", "peers", "traces")
    return tuple(kernel.find(name) for name in names)
