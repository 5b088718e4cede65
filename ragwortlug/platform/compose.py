"""The composition root on the platform: wires the parts of each program."""

import random
import secrets

from ragwortlug import invariants
from ragwortlug.dispatcher_actor import DispatcherActor
from ragwortlug.io.gossip import Gossip
from ragwortlug.io.http import HttpServer, health_routes
from ragwortlug.io.peers import Peers
from ragwortlug.jobs.dispatcher import Dispatcher
from ragwortlug.jobs.leased import LeasedRunner
from ragwortlug.kernel import Kernel
from ragwortlug.leased_actor import LeasedActor
from ragwortlug.messages import Peer
from ragwortlug.platform.callers import ClientRoutes, ReadyRoutes
from ragwortlug.platform.records import EntryRecord, WorkerRecord
from ragwortlug.platform.store import OrdersWatch, StoreClient
from ragwortlug.platform.worker import WorkerClient, WorkerRoutes
from ragwortlug.settings import parse_address
from ragwortlug.shutdown import DispatchShutdown, LeasedShutdown
from ragwortlug.telemetry.metrics import Metrics
from ragwortlug.timer import Timer

INCARNATION_BYTES = 6
BODY_LIMIT_KB = 1024
STOP_S = 0.3


def compose_entry(settings, journal):
    """Return the kernel of an entry that dispatches restartable jobs."""
    kernel, timer, metrics, peers = _compose_base(settings, "entry")
    gossip = kernel.register(
        "gossip", Gossip(settings.entries, peers, timer, metrics, journal)
    )
    dispatcher = Dispatcher(settings.restart, random.Random())
    actor = kernel.register(
        "dispatcher",
        DispatcherActor(dispatcher, gossip, peers, timer, metrics, journal),
    )
    store = kernel.register("store", StoreClient(settings.store, metrics, timer))
    kernel.register("orders", OrdersWatch(store, gossip.learn, journal))
    kernel.register("record", EntryRecord(store, gossip, settings.address))
    server = _server(settings.http)
    routes = ClientRoutes(server, actor, gossip, journal)
    kernel.register("http", server)
    ready_server = _server(settings.ready)
    ReadyRoutes(
        ready_server,
        lambda: gossip.orders.table is not None and not routes.draining,
    )
    kernel.register("ready", ready_server)
    _serve_metrics(kernel, settings, metrics)
    kernel.register(
        "shutdown", DispatchShutdown(routes, server, actor, settings.drain_s)
    )
    return kernel


def compose_agent(settings, journal):
    """Return the kernel of an agent that runs leased tasks."""
    kernel, timer, metrics, peers = _compose_base(settings, "agent")
    client = kernel.register("worker", WorkerClient(settings.restart.call_ms))
    runner = LeasedRunner(settings.restart)
    actor = kernel.register(
        "runner",
        LeasedActor(
            runner,
            client,
            settings.entries,
            settings.restart,
            peers,
            timer,
            metrics,
            journal,
        ),
    )
    store = kernel.register("store", StoreClient(settings.store, metrics, timer))
    record = kernel.register(
        "record", WorkerRecord(store, actor, settings.address, timer)
    )
    server = _server(settings.http)
    WorkerRoutes(server, lambda each: actor.post(None, each), record)
    kernel.register("http", server)
    _serve_metrics(kernel, settings, metrics)
    kernel.register("shutdown", LeasedShutdown(actor))
    return kernel


def _compose_base(settings, role):
    """Return a kernel with the services that every program has."""
    invariants.enable(settings.check_invariants)
    incarnation = f"{role}-{secrets.token_hex(INCARNATION_BYTES)}"
    kernel = Kernel()
    timer = kernel.register("timer", Timer())
    metrics = kernel.register("metrics", Metrics())
    own = Peer(settings.address, incarnation)
    peers = kernel.register("peers", Peers(own, timer, metrics, settings.listen))
    return kernel, timer, metrics, peers


def _server(address):
    """Return an HTTP server at an address, without routes yet."""
    host, port = parse_address(address)
    return HttpServer(host, port, BODY_LIMIT_KB, True, STOP_S)


def _serve_metrics(kernel, settings, metrics):
    """Serve the metrics if the settings name an address."""
    if not settings.metrics:
        return
    server = _server(settings.metrics)
    server.app.add_routes(health_routes(metrics))
    kernel.register("metrics_http", server)
