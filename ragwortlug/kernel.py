"""The kernel: a registry of services by name, which starts and stops them.

A service is any object. The kernel awaits the optional coroutine methods ``start``
in the order of registration and ``stop`` in the reverse order.
"""

from ragwortlug.errors import RagwortlugError


class Kernel:
    """Registers, starts and stops the services of one process."""

    def __init__(self):
        self._services = {}
        self._started = []

    @property
    def names(self):
        """Return the names of all services, in order of registration."""
        return tuple(self._services)

    def register(self, name, service):
        """Register a service and return it.

        Raises
        ------
        RagwortlugError
            If the name is registered already.
        """
        if name in self._services:
            raise RagwortlugError(f"service {name!r} is registered already")
        self._services[name] = service
        return service

    def find(self, name):
        """Return the service with a name, or raise `RagwortlugError`."""
        try:
            return self._services[name]
        except KeyError:
            names = ", ".join(self._services)
            raise RagwortlugError(f"no service {name!r}; known: {names}") from None

    async def start(self):
        """Start the services in order of registration."""
        for service in self._services.values():
            if hasattr(service, "start"):
                await service.start()
            self._started.append(service)

    async def stop(self):
        """Stop the started services in reverse order."""
        while self._started:
            service = self._started.pop()
            if hasattr(service, "stop"):
                await service.stop()
