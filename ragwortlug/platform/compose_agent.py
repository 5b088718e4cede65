"""The composition root of an agent on the platform."""

from ragwortlug.jobs.leased import LeasedRunner
from ragwortlug.leased_actor import LeasedActor
from ragwortlug.platform.compose import compose_base, serve_metrics, server_factory
from ragwortlug.platform.records import WorkerRecord
from ragwortlug.platform.store import StoreClient
from ragwortlug.platform.worker import WorkerClient, WorkerRoutes
from ragwortlug.shutdown import LeasedShutdown


def compose(settings, journal):
    """Return the kernel of an agent that runs leased tasks."""
    kernel, timer, metrics, peers = compose_base(settings, "agent")
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
    actor.on_boot(record.store_boot)
    server_at = server_factory(settings, metrics, journal)
    server = server_at(settings.http)
    WorkerRoutes(server, lambda message: actor.post(None, message), record)
    kernel.register("http", server)
    serve_metrics(kernel, settings, metrics, server_at)
    kernel.register("shutdown", LeasedShutdown(actor))
    return kernel
