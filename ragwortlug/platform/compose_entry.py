"""The composition root of an entry on the platform."""

import random

from ragwortlug.dispatcher_actor import DispatcherActor
from ragwortlug.io.gossip import Gossip
from ragwortlug.io.request_limits import MS_PER_S, RequestLimits
from ragwortlug.jobs.dispatcher import Dispatcher
from ragwortlug.platform.callers import ClientRoutes, ReadyRoutes
from ragwortlug.platform.compose import compose_base, serve_metrics, server_factory
from ragwortlug.platform.records import EntryRecord
from ragwortlug.platform.store import OrdersWatch, StoreClient
from ragwortlug.restartable_model import QueueTable
from ragwortlug.shutdown import DispatchShutdown

NUMBER_BITS = 48


def compose(settings, journal):
    """Return the kernel of an entry that dispatches restartable jobs."""
    kernel, timer, metrics, peers = compose_base(settings, "entry")
    gossip = kernel.register(
        "gossip", Gossip(settings.entries, peers, timer, metrics, journal)
    )
    rng = random.Random()
    dispatcher = Dispatcher(settings.restart, rng, rng.getrandbits(NUMBER_BITS))
    actor = kernel.register(
        "dispatcher",
        DispatcherActor(dispatcher, gossip, peers, timer, metrics, journal),
    )
    store = kernel.register("store", StoreClient(settings.store, metrics, timer))
    kernel.register("orders", OrdersWatch(store, gossip.apply_orders, journal))
    kernel.register("record", EntryRecord(store, gossip, settings.address))
    server_at = server_factory(settings, metrics, journal)
    server = server_at(settings.http, lambda: _limits_of(gossip.orders.table))
    routes = ClientRoutes(server, actor, gossip, journal)
    kernel.register("http", server)
    ready_server = server_at(settings.ready)
    ReadyRoutes(
        ready_server,
        lambda: (
            gossip.orders.table is not None
            and not routes.draining
            and not actor.saturated
            and not actor.isolated
        ),
    )
    kernel.register("ready", ready_server)
    serve_metrics(kernel, settings, metrics, server_at)
    kernel.register(
        "shutdown", DispatchShutdown(routes, server, actor, settings.drain_s)
    )
    return kernel


def _limits_of(table):
    """Return the `RequestLimits` in the operators' configuration, if there is one."""
    table = table or QueueTable()
    return RequestLimits(
        table.header_limit,
        table.body_limit,
        table.header_timeout_ms / MS_PER_S,
        table.idle_timeout_ms / MS_PER_S,
    )
