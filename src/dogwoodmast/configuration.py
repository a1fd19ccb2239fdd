"""The operators' configuration: services, targets and kinds of request."""

from __future__ import annotations

import enum
import functools

import attrs

from dogwoodmast.address import Address

ANY_PATH = '/'


class Preference(enum.StrEnum):
    """Measure that placement favours for a service."""

    AVAILABILITY = 'availability'
    """Move keys readily to shorten unavailable time."""
    STABILITY = 'stability'
    """Move keys reluctantly to avoid churn."""


class ZoneLossPolicy(enum.StrEnum):
    """What becomes of the keys of a zone that is not heard of."""

    HOLD = 'hold'
    """They stay with the zone until it is declared lost."""
    MOVE = 'move'
    """Other zones take them over once every lease has lapsed."""


class FrozenRequestPolicy(enum.StrEnum):
    """How a key moves while its old target may still run a request."""

    WAIT = 'wait'
    """The new owner starts after the request's deadline has passed."""
    REFUSE = 'refuse'
    """The key is refused until the old target is known to be gone."""


@attrs.frozen
class Zone:
    """An availability zone."""

    name: str
    """Name of the zone."""
    region: str = ''
    """Region that the zone belongs to."""


@attrs.frozen
class Target:
    """A back-end server that runs requests of one service."""

    name: str
    """Name, unique within the configuration."""
    zone: str
    """Availability zone of the server."""
    address: Address
    """Address of its HTTP endpoint."""
    slots: int
    """Requests that it runs at once."""
    connections: int
    """Connections that it accepts at most."""


@attrs.frozen
class RequestKind:
    """A kind of request and how it may be handled."""

    name: str
    """Name of the kind."""
    methods: tuple[str, ...]
    """HTTP methods, in upper case."""
    idempotent: bool
    """Whether it may run more than once."""
    deadline: float
    """Longest time allowed, and what a caller gets who states none, in
    seconds."""
    path: str = ANY_PATH
    """Prefix of the paths below the key."""
    attempts: int = 1
    """Attempts at most; always one if not idempotent."""

    def matches(self, method: str, path: str) -> bool:
        """Tell whether a request is of this kind.

        :param method: HTTP method in upper case.
        :param path: Path below the key.
        :return: ``True`` if it is.
        """
        return method in self.methods and path.startswith(self.path)


@attrs.frozen
class Service:
    """A service and the key space that it owns."""

    name: str
    """Name, the first part of callers' paths."""
    partitions: int
    """Number of partitions of the key space, a power of two."""
    targets: tuple[Target, ...]
    """Servers that can own its keys."""
    kinds: tuple[RequestKind, ...]
    """Kinds of request; the first that matches counts."""
    checks_fences: bool = False
    """Whether its servers check fences."""
    prefer: Preference = Preference.AVAILABILITY
    """Measure that placement favours."""
    on_zone_loss: ZoneLossPolicy = ZoneLossPolicy.HOLD
    """What becomes of the keys of a lost zone."""
    frozen_requests: FrozenRequestPolicy = FrozenRequestPolicy.WAIT
    """How keys leave a target that may still run a request."""
    queue_limit: int = 64
    """Requests that may wait per target."""
    retry_budget: float = 0.1
    """Retries allowed per first attempt."""
    customer_header: str = 'customer-id'
    """Header that names the customer, in lower case."""

    def find_kind(self, method: str, path: str) -> RequestKind | None:
        """Find the kind of a request.

        :param method: HTTP method in upper case.
        :param path: Path below the key.
        :return: The first kind that matches, or ``None``.
        """
        for kind in self.kinds:
            if kind.matches(method, path):
                return kind
        return None

    def target(self, name: str) -> Target | None:
        """Find a target by name.

        :param name: Name of the target.
        :return: The target, or ``None``.
        """
        for target in self.targets:
            if target.name == name:
                return target
        return None


@attrs.frozen(slots=False)
class Configuration:
    """One accepted version of the configuration."""

    version: int
    """Version; a later one has a greater number."""
    zones: tuple[Zone, ...]
    """All availability zones."""
    services: tuple[Service, ...]
    """All services."""
    change_id: str = ''
    """Identity of the change that put this version in force."""

    @functools.cached_property
    def services_by_name(self) -> dict[str, Service]:
        """Services by their names."""
        return {service.name: service for service in self.services}

    def service(self, name: str) -> Service | None:
        """Find a service by name.

        :param name: Name of the service.
        :return: The service, or ``None``.
        """
        return self.services_by_name.get(name)
