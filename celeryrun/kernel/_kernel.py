"""Registry of the services in one process."""

from __future__ import annotations

from typing import Any, Protocol

from celeryrun.exception import CeleryrunError

__all__ = ["Kernel", "Service"]


class Service(Protocol):
    """Component that the kernel starts and stops."""

    def start(self) -> None:
        """Start work; from this call on, the service may look up other services."""

    def stop(self) -> None:
        """Stop work and release resources."""


class Kernel:
    """Registry of services, started in order of registration and stopped in reverse.

    Examples
    --------
    >>> class Clock:
    ...     def start(self): print("start")
    ...     def stop(self): print("stop")
    >>> kernel = Kernel()
    >>> kernel.register("clock", Clock())
    >>> kernel.start()
    start
    >>> kernel.stop()
    stop
    """

    __slots__ = ("_started", "services_by_name")

    def __init__(self) -> None:
        self.services_by_name: dict[str, Any] = {}
        self._started: list[str] = []

    def register(self, name: str, service: Any) -> None:
        """Register a service under a name.

        Raises
        ------
        CeleryrunError
            If the name is already registered.
        """
        if name in self.services_by_name:
            raise CeleryrunError(f"service {name!r} is registered twice; choose another name")
        self.services_by_name[name] = service

    def find(self, name: str) -> Any:
        """Return the service registered under a name.

        Raises
        ------
        CeleryrunError
            If no service has the name.
        """
        try:
            return self.services_by_name[name]
        except KeyError:
            raise CeleryrunError(f"no service {name!r}; register it before start") from None

    def start(self) -> None:
        """Start every service in order of registration."""
        for name, service in self.services_by_name.items():
            service.start()
            self._started.append(name)

    def stop(self) -> None:
        """Stop the started services in reverse order."""
        while self._started:
            self.services_by_name[self._started.pop()].stop()
