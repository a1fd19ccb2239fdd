"""Routes, services and targets decoded from the platform's store."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.address import Address

if TYPE_CHECKING:
    from collections.abc import Iterable


@attrs.frozen
class WeightedService:
    """Service that gets a weighted part of a route's requests."""

    service: str
    """Name of the service."""
    weight: float
    """Relative weight; the service's part of the route's requests is its weight
    divided by the sum of the weights."""


@attrs.frozen
class Route:
    """Match rule and request policy for one host and path prefix."""

    name: str
    """Route name, unique within the route table."""
    host: str
    """Host name to match, in lower case."""
    prefix: str
    """Path prefix to match; it starts and ends with a slash."""
    retryable: bool
    """Whether a request that may have run may be sent to a target again."""
    timeout: float
    """Maximum time that a caller waits for the response, in seconds."""
    latency_objective: float
    """Latency up to which a response has its full value, in seconds."""
    priority: int
    """Priority in the admission queue; 0 is the highest."""
    max_attempts: int
    """Maximum number of different targets that are tried for one request."""
    weighted_services: tuple[WeightedService, ...]
    """Services that the route's requests are split between."""
    regions: frozenset[str] = frozenset()
    """Regions that the requests may be sent to; empty for any."""


@attrs.frozen
class RoutedService:
    """Configuration of a service that routes send requests to."""

    name: str
    """Service name."""
    max_connections: int
    """Connections that one target accepts from all entry VMs together; 0 for
    no limit."""
    sharded: bool
    """Whether its keys are split into shards, each held by a single target."""
    warmup_time: float = 0
    """Time for which a target that has just started is cold, in seconds."""
    warmup_rate: float = 0
    """Requests per second that a cold target tolerates from all entry VMs
    together; 0 for no limit."""


@attrs.frozen
class CallerLimits:
    """Limits on the requests and connections of callers."""

    header_bytes: int
    """Maximum total size of a request's headers, in bytes."""
    body_bytes: int
    """Maximum size of a request's body, in bytes."""
    header_time: float
    """Time limit for receiving the headers of a request, in seconds."""
    idle_time: float
    """Maximum idle time of a caller's connection, in seconds."""


def _routes_by_host(table: RouteTable) -> dict[str, tuple[Route, ...]]:
    hosts: dict[str, list[Route]] = {}
    for route in table.routes:
        hosts.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(found, key=_prefix_length, reverse=True))
        for host, found in hosts.items()
    }


def _longest_timeouts(table: RouteTable) -> dict[str, float]:
    longest: dict[str, float] = {}
    for route in table.routes:
        for part in route.weighted_services:
            known = longest.get(part.service, 0)
            longest[part.service] = max(known, route.timeout)
    return longest


def _prefix_length(route: Route) -> int:
    return len(route.prefix)


@attrs.frozen
class RouteTable:
    """One version of the operator's routing configuration."""

    version: int
    """Version number; a newer configuration has a greater one."""
    routes: tuple[Route, ...]
    """Routes in the order of the configuration document."""
    services: Mapping[str, RoutedService]
    """Services by name."""
    limits: CallerLimits
    """Limits on the requests and connections of callers."""
    _by_host: Mapping[str, tuple[Route, ...]] = attrs.field(
        init=False,
        eq=False,
        repr=False,
        default=attrs.Factory(_routes_by_host, takes_self=True),
    )
    _longest_timeouts: Mapping[str, float] = attrs.field(
        init=False,
        eq=False,
        repr=False,
        default=attrs.Factory(_longest_timeouts, takes_self=True),
    )

    def is_sharded(self, service: str) -> bool:
        """Tell whether a service's keys are held by single targets.

        :param service: Name of the service.
        :return: Whether they are; false if the service is not known.
        """
        known = self.services.get(service)
        return known is not None and known.sharded

    def longest_timeout(self, service: str) -> float:
        """Return the longest time that a caller of a service waits.

        :param service: Name of the service.
        :return: Time in seconds; 0 if no route leads to it.
        """
        return self._longest_timeouts.get(service, 0)

    def select(self, host: str, path: str) -> Route | None:
        """Match a request to a route.

        :param host: Value of the Host header, with or without a port.
        :param path: Path of the request.
        :return: Matching route with the longest prefix, or ``None``.
        """
        host_name = host.partition(':')[0].lower()
        for route in self._by_host.get(host_name, ()):
            if path.startswith(route.prefix):
                return route
        return None


TargetKey = tuple[str, int]
"""Name and ``born`` of a target, which identify its incarnation."""


@attrs.frozen
class Target:
    """One incarnation of a backend server that runs requests of a service."""

    name: str
    """Name of the server; later incarnations may have the same one."""
    service: str
    """Name of the service that the target belongs to."""
    address: Address
    """Address at which the target accepts requests."""
    zone: str
    """Availability zone of the target."""
    slots: int
    """Number of requests that the target runs concurrently."""
    leaving: bool
    """Whether the target is draining and asks for no new requests."""
    born: int
    """Start time of the process in Unix milliseconds, or 0 if the listing has
    none; together with the name it identifies the incarnation."""
    is_cold: bool | None = None
    """Whether the target warms up, or ``None`` if the listing does not tell.
    The remaining time is left out, since it differs in each listing."""

    @property
    def key(self) -> TargetKey:
        """Name and ``born``, which identify the incarnation."""
        return self.name, self.born


@attrs.frozen
class Evacuation:
    """Request of the operator to send nothing to the targets of a zone."""

    zone: str
    """Name of the availability zone."""


CatalogItem = RouteTable | Target | Evacuation


def pick_service(
    weighted_services: tuple[WeightedService, ...], draw: float
) -> str:
    """Choose a service at random by the weights of a route's services.

    :param weighted_services: Services of the route with their weights.
    :param draw: Number drawn uniformly from 0 to 1.
    :return: Name of the chosen service.
    """
    remaining = draw * sum(candidate.weight for candidate in weighted_services)
    for candidate in weighted_services:
        remaining -= candidate.weight
        if remaining < 0:
            return candidate.service
    return weighted_services[-1].service


def targets_of_service(targets: Iterable[Target], service: str) -> list[Target]:
    """Select the targets of one service.

    :param targets: Targets of any services.
    :param service: Name of the service.
    :return: Targets of the service, sorted by name.
    """
    found = [target for target in targets if target.service == service]
    return sorted(found, key=_name_of)


def _name_of(target: Target) -> str:
    return target.name
