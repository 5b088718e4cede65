"""The kernel: services are registered by name and find each other by name.

A service is any object; one with coroutine methods ``start`` and ``stop`` is
started in the order of registration and stopped in the reverse order.
"""

from ragwortlug.errors import RagwortlugError


class Kernel:
    """Names and lifetimes of the services of one process."""

    def __init__(self):
        self._services = {}
        self._started = []

    @property
    def names(self):
        """Return the names of all services, in order of registration."""
        return tuple(self._services)

    def register(self, name, service):
        """Add a service under a name that is not yet taken, and return it."""
        if name in self._services:
            raise RagwortlugError(f"service {name!r} is registered already")
        self._services[name] = service
        return service

    def find(self, name):
        """Return the service of that name."""
        try:
            return self._services[name]
        except KeyError:
            known = ", ".join(self._services)
            raise RagwortlugError(f"no service {name!r}; known: {known}") from None

    async def start(self):
        """Start every service that can be started."""
        for service in self._services.values():
            if hasattr(service, "start"):
                await service.start()
            self._started.append(service)

    async def stop(self):
        """Stop every started service, the last one first."""
        while self._started:
            service = self._started.pop()
            if hasattr(service, "stop"):
                await service.stop()
