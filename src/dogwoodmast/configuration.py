"""Configuration of zones, services, targets and request kinds.

Operators write it as a questionnaire; accepted versions are stored in the
platform's key-value service.
"""

from __future__ import annotations

import enum
import functools

import attrs

from dogwoodmast.address import Address

ANY_PATH = '/'
"""Path prefix that matches every path, since all start with a slash."""


class Preference(enum.StrEnum):
    """Goal that the placement of a service's keys gives priority to."""

    AVAILABILITY = 'availability'
    """Move keys on small imbalances, to shorten their unavailability."""
    STABILITY = 'stability'
    """Move keys only on large, lasting imbalances, to avoid churn."""


class ZoneLossPolicy(enum.StrEnum):
    """Handling of keys that are owned by an unreachable zone."""

    HOLD = 'hold'
    """The zone keeps its keys until an operator declares it lost."""
    MOVE = 'move'
    """Other zones take the keys over once all their leases have expired.

    Not implemented: the value is accepted and treated as :attr:`HOLD`.
    """


class FrozenRequestPolicy(enum.StrEnum):
    """Handling of keys that move while the old target may run a request."""

    WAIT = 'wait'
    """The new owner starts serving after the request's deadline."""
    REFUSE = 'refuse'
    """Requests for the key are rejected until the old target has terminated.

    Not implemented: the value is accepted and treated as :attr:`WAIT`.
    """


@attrs.frozen
class Zone:
    """An availability zone."""

    name: str
    """Name, unique within the configuration."""
    region: str = ''
    """Region that the zone belongs to, for display only."""


@attrs.frozen
class Target:
    """A backend server that runs requests of one service."""

    name: str
    """Name, unique over all services of the configuration."""
    zone: str
    """Name of the availability zone that the server runs in."""
    address: Address
    """Address of the server's HTTP endpoint."""
    slots: int
    """Maximum number of requests that it runs concurrently."""
    connections: int
    """Maximum number of TCP connections that it accepts."""


@attrs.frozen
class RequestKind:
    """Rules for requests with certain methods and a certain path prefix."""

    name: str
    """Name, unique within the service."""
    methods: tuple[str, ...]
    """HTTP methods of the kind, in upper case."""
    idempotent: bool
    """Whether a request may safely be executed more than once."""
    deadline: float
    """Maximum time until the response, in seconds; also the default for
    callers that request no timeout."""
    path: str = ANY_PATH
    """Prefix of the matching paths; they are relative to the key and start
    with a slash."""
    attempts: int = 1
    """Maximum number of attempts, including the first; one if the kind is
    not idempotent."""

    def matches(self, method: str, path: str) -> bool:
        """Tell whether a request belongs to this kind.

        :param method: HTTP method in upper case.
        :param path: Path relative to the key, with its leading slash.
        :return: ``True`` if both the method and the path match.
        """
        return method in self.methods and path.startswith(self.path)


@attrs.frozen
class Service:
    """A service: its key space, its targets and its routing rules."""

    name: str
    """Name, unique within the configuration; the first segment of request
    paths."""
    partitions: int
    """Number of partitions that keys are hashed into, a power of two."""
    targets: tuple[Target, ...]
    """Backend servers that can own the service's keys."""
    kinds: tuple[RequestKind, ...]
    """Request kinds in order of precedence: the first match applies."""
    checks_fences: bool = False
    """Whether the targets reject requests that carry a fence lower than the
    highest one they have seen."""
    prefer: Preference = Preference.AVAILABILITY
    """Goal that placement gives priority to."""
    on_zone_loss: ZoneLossPolicy = ZoneLossPolicy.HOLD
    """Handling of keys that are owned by an unreachable zone."""
    frozen_requests: FrozenRequestPolicy = FrozenRequestPolicy.WAIT
    """Handling of keys that move while the old target may run a request."""
    queue_limit: int = 64
    """Maximum number of requests that wait for a slot of one target."""
    retry_budget: float = 0.1
    """Number of retries allowed per first attempt, from 0 to 1."""
    customer_header: str = 'customer-id'
    """Request header that identifies the customer, in lower case."""

    def find_kind(self, method: str, path: str) -> RequestKind | None:
        """Find the request kind that applies to a request.

        :param method: HTTP method in upper case.
        :param path: Path relative to the key, with its leading slash.
        :return: First kind that matches, or ``None``.
        """
        for kind in self.kinds:
            if kind.matches(method, path):
                return kind
        return None

    def target(self, name: str) -> Target | None:
        """Look up a target of the service.

        :param name: Name of the target.
        :return: The target, or ``None`` if the service has no such target.
        """
        for target in self.targets:
            if target.name == name:
                return target
        return None


@attrs.frozen(slots=False)
class Configuration:
    """One version of the whole configuration.

    The class has no slots, since the cached property needs an instance
    dictionary.
    """

    version: int
    """Version number, increased by one with each accepted change; zero
    before acceptance."""
    zones: tuple[Zone, ...]
    """Availability zones that run targets or entry VMs."""
    services: tuple[Service, ...]
    """Services that requests are routed to."""
    change_id: str = ''
    """Identifier of the change that put this version in force; its
    audit entry has the same identifier."""

    @functools.cached_property
    def services_by_name(self) -> dict[str, Service]:
        """Services indexed by name."""
        return {service.name: service for service in self.services}

    def service(self, name: str) -> Service | None:
        """Look up a service.

        :param name: Name of the service.
        :return: The service, or ``None`` if it is not configured.
        """
        return self.services_by_name.get(name)
