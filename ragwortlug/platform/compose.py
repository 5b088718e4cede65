"""Functions that the composition roots of the platform's programs share."""

import secrets

from ragwortlug import invariants
from ragwortlug.envelope import Peer
from ragwortlug.io.connection_guard import guard_of
from ragwortlug.io.http import BYTES_PER_KB, HttpServer, health_routes
from ragwortlug.io.peers import Peers
from ragwortlug.io.request_limits import request_limits
from ragwortlug.kernel import Kernel
from ragwortlug.lease_messages import CODEC
from ragwortlug.lease_settings import parse_address
from ragwortlug.telemetry.metrics import Metrics
from ragwortlug.timer import Timer

INCARNATION_BYTES = 6
BODY_LIMIT_KB = 1024
SERVER_STOP_TIMEOUT_S = 0.3


def compose_base(settings, role):
    """Return the kernel, timer, metrics and peers that every program has."""
    invariants.enable(settings.check_invariants)
    incarnation = f"{role}-{secrets.token_hex(INCARNATION_BYTES)}"
    kernel = Kernel()
    timer = kernel.register("timer", Timer())
    metrics = kernel.register("metrics", Metrics())
    own_peer = Peer(settings.address, incarnation)
    peers = kernel.register(
        "peers", Peers(own_peer, timer, metrics, CODEC, settings.listen)
    )
    return kernel, timer, metrics, peers


def server_factory(settings, metrics, journal):
    """Return a function that makes the HTTP servers of a process.

    It takes an address, and optionally a function that returns the `RequestLimits` of
    a new connection. The server has no routes. All servers share one guard.
    """
    guard = guard_of(settings.limits, metrics, journal)
    own_limits = request_limits(settings.limits, BODY_LIMIT_KB * BYTES_PER_KB)

    def server_at(address, limits=lambda: own_limits):
        host, port = parse_address(address)
        return HttpServer(
            host, port, BODY_LIMIT_KB, True, SERVER_STOP_TIMEOUT_S, guard, limits
        )

    return server_at


def serve_metrics(kernel, settings, metrics, server_at):
    """Register a server of the metrics, if the settings have an address for it."""
    if not settings.metrics:
        return
    server = server_at(settings.metrics)
    server.app.add_routes(health_routes(metrics))
    kernel.register("metrics_http", server)
