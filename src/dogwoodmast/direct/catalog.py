"""Routes, services and targets, as the platform's store lists them."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.address import Address

if TYPE_CHECKING:
    from collections.abc import Iterable


@attrs.frozen
class WeightedService:
    """Part of a route's requests that one service gets."""

    service: str
    """Name of the service."""
    weight: float
    """Weight among the shares of the route."""


@attrs.frozen
class Route:
    """Rule for the requests of one host whose paths begin alike."""

    name: str
    """Name, unique within the table."""
    host: str
    """Host in lower case."""
    prefix: str
    """Beginning of the paths, with a slash at both ends."""
    retryable: bool
    """Whether its requests may run more than once."""
    timeout: float
    """Longest time that a caller is kept waiting, in seconds."""
    latency_objective: float
    """Time within which an answer is of full use, in seconds."""
    priority: int
    """Rank; 0 is the highest."""
    max_attempts: int
    """Targets that one attempt of a caller may be sent to."""
    weighted_services: tuple[WeightedService, ...]
    """Services that its requests go to."""


@attrs.frozen
class RoutedService:
    """A service that routes lead to."""

    name: str
    """Name."""
    max_connections: int
    """Connections that a target takes from all callers together."""
    sharded: bool
    """Whether each key is held by one target."""


@attrs.frozen
class CallerLimits:
    """Bounds of what a caller may send."""

    header_bytes: int
    """Size of all headers of a request."""
    body_bytes: int
    """Size of a request's body."""
    header_time: float
    """Time in which the headers have to come, in seconds."""
    idle_time: float
    """Time for which a connection may stay idle, in seconds."""


def _routes_by_host(table: RouteTable) -> dict[str, tuple[Route, ...]]:
    hosts: dict[str, list[Route]] = {}
    for route in table.routes:
        hosts.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(found, key=_prefix_length, reverse=True))
        for host, found in hosts.items()
    }


def _prefix_length(route: Route) -> int:
    return len(route.prefix)


@attrs.frozen
class RouteTable:
    """One version of the operator's configuration."""

    version: int
    """Version; later ones are greater."""
    routes: tuple[Route, ...]
    """All routes."""
    services: Mapping[str, RoutedService]
    """Services by name."""
    limits: CallerLimits
    """Bounds of what a caller may send."""
    _by_host: Mapping[str, tuple[Route, ...]] = attrs.field(
        init=False,
        eq=False,
        repr=False,
        default=attrs.Factory(_routes_by_host, takes_self=True),
    )

    def select(self, host: str, path: str) -> Route | None:
        """Choose the route of a request.

        :param host: Host that the caller named, with or without a port.
        :param path: Path of the request.
        :return: The route with the longest prefix, or ``None``.
        """
        name = host.partition(':')[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None


@attrs.frozen
class Target:
    """One life of a server that runs requests of a service."""

    name: str
    """Identity."""
    service: str
    """Service that it belongs to."""
    address: Address
    """Where it takes requests."""
    zone: str
    """Availability zone."""
    slots: int
    """Requests that it runs at a time."""
    leaving: bool
    """Whether it asks for no more requests."""
    born: int
    """Start of this life, which tells it from others of the same name."""


CatalogItem = RouteTable | Target


def pick_service(
    weighted_services: tuple[WeightedService, ...], point: float
) -> str:
    """Choose a service by the weights of a route's shares.

    :param weighted_services: Shares of the route.
    :param point: Number from 0 to 1, drawn evenly.
    :return: Name of the service.
    """
    rest = point * sum(share.weight for share in weighted_services)
    for share in weighted_services:
        rest -= share.weight
        if rest < 0:
            return share.service
    return weighted_services[-1].service


def targets_of(targets: Iterable[Target], service: str) -> list[Target]:
    """Select the targets of a service, in the order of their names.

    :param targets: Targets of all services.
    :param service: Name of the service.
    :return: Its targets.
    """
    found = [target for target in targets if target.service == service]
    return sorted(found, key=_name_of)


def _name_of(target: Target) -> str:
    return target.name
