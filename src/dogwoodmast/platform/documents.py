"""Documents that operators and targets write to the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import orjson

from dogwoodmast.address import Address, InvalidAddress
from dogwoodmast.direct.catalog import (
    CallerLimits,
    Route,
    RoutedService,
    RouteTable,
    Target,
    WeightedService,
)

if TYPE_CHECKING:
    from dogwoodmast.direct.catalog import CatalogItem

_CONFIGURATION_KEY = 'op/config'
_TARGET_PREFIX = 'servers/'
_READY = 'ready'
_LEAVING = 'draining'
_REPEATABLE_TYPES = frozenset(('idempotent', 'download'))
_HEXADECIMAL = 16
_WRONG = (ValueError, TypeError, KeyError, AttributeError, InvalidAddress)


def decode_catalog_item(key: str, content: bytes) -> CatalogItem | None:
    """Read a document that operators or targets wrote.

    :param key: Key that it is stored under.
    :param content: Its bytes.
    :return: What it says, or ``None`` for any that cannot be used.
    """
    try:
        if key == _CONFIGURATION_KEY:
            return _route_table(orjson.loads(content))
        if key.startswith(_TARGET_PREFIX):
            name = key.removeprefix(_TARGET_PREFIX)
            return _target(name, orjson.loads(content))
    except _WRONG:
        return None
    return None


def _route_table(document: dict[str, Any]) -> RouteTable:
    limits = document['limits']
    return RouteTable(
        version=int(document['version'], _HEXADECIMAL),
        routes=tuple(_route(one) for one in document['routes']),
        services={one['name']: _service(one) for one in document['services']},
        limits=CallerLimits(
            header_bytes=int(limits['max_header_bytes']),
            body_bytes=int(limits['max_body_bytes']),
            header_time=float(limits['header_timeout_s']),
            idle_time=float(limits['idle_timeout_s']),
        ),
    )


def _route(document: dict[str, Any]) -> Route:
    return Route(
        name=document['name'],
        host=document['host'].lower(),
        prefix=document['prefix'],
        # The type says what may be repeated; the method does not.
        retryable=document['type'] in _REPEATABLE_TYPES,
        timeout=float(document['timeout_s']),
        latency_objective=float(document['objective_s']),
        priority=int(document.get('priority', 0)),
        max_attempts=int(document.get('max_attempts', 1)),
        weighted_services=_shares(document),
    )


def _shares(document: dict[str, Any]) -> tuple[WeightedService, ...]:
    if document.get('split'):
        return tuple(
            WeightedService(one['service'], float(one['weight']))
            for one in document['split']
        )
    return (WeightedService(document['service'], 1.0),)


def _service(document: dict[str, Any]) -> RoutedService:
    return RoutedService(
        name=document['name'],
        max_connections=int(document.get('max_conns') or 0),
        sharded=bool(document.get('sharded', False)),
    )


def _target(name: str, document: dict[str, Any]) -> Target | None:
    state = document['state']
    if state not in {_READY, _LEAVING} or not _is_valid(name, document):
        return None
    return Target(
        name=name,
        service=document['service'],
        address=Address.parse(document['address']),
        zone=document['zone'],
        slots=document['slots'],
        leaving=state == _LEAVING,
        # Start of the process, as Unix time in milliseconds.
        born=document.get('born', 0),
    )


def _is_valid(name: str, document: dict[str, Any]) -> bool:
    numbers = (document['slots'], document.get('born', 0))
    texts = (document['service'], document['zone'], document['address'])
    return (
        bool(name)
        and all(_is_whole(one) for one in numbers)
        and all(isinstance(one, str) for one in texts)
        and numbers[0] > 0
    )


def _is_whole(found: object) -> bool:
    return isinstance(found, int) and not isinstance(found, bool)
