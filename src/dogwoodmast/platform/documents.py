"""Decoders of documents that operators and targets write to the store.

Other writers may put anything there.  A document that is not valid is logged
and ignored, and never raises.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from dogwoodmast.address import Address, InvalidAddress
from dogwoodmast.direct.catalog import (
    CallerLimits,
    Evacuation,
    Route,
    RoutedService,
    RouteTable,
    Target,
    WeightedService,
)
from dogwoodmast.events import Event, log_event
from dogwoodmast.platform.json_fields import (
    MAX_INTEGER,
    InvalidDocument,
    JsonFields,
    check_name,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodmast.direct.catalog import CatalogItem

MAX_SLOTS = 1_000_000
"""Greatest number of requests that a target may be listed to run concurrently;
sums and products over all targets stay exact, and no target counts as the
whole room of its service by a mistake of its writer."""
MAX_BORN = 253_402_300_799_999
"""Latest start of a target, in Unix milliseconds: the end of the year 9999."""

_CONFIGURATION_KEY = 'op/config'
_TARGET_PREFIX = 'servers/'
_EVACUATION_PREFIX = 'op/evacuate/'
_READY = 'ready'
_DRAINING = 'draining'
_RETRYABLE_TYPES = frozenset(('idempotent', 'download'))
_HEXADECIMAL_BASE = 16
_VERSION = re.compile('[0-9a-fA-F]{1,16}')
"""Version of a configuration, as hexadecimal digits."""


def decode_catalog_item(key: str, content: bytes) -> CatalogItem | None:
    """Decode the configuration, an evacuation, or the listing of a target.

    The reason for which a document is not valid is logged.

    :param key: Store key of the document.
    :param content: JSON document.
    :return: Route table, evacuation or target; ``None`` if the document is not
        valid, is of another kind, or lists a target that is neither ready nor
        draining.
    """
    try:
        return _decode_item(key, content)
    except InvalidDocument as error:
        log_event(Event.RECORD_INVALID, key=key, reason=error.reason)
        return None


def _decode_item(key: str, content: bytes) -> CatalogItem | None:
    if key == _CONFIGURATION_KEY:
        table = _route_table(JsonFields.parse(content))
        _check_table(table)
        return table
    if key.startswith(_EVACUATION_PREFIX):
        return _evacuation(key)
    if key.startswith(_TARGET_PREFIX):
        name = key.removeprefix(_TARGET_PREFIX)
        return _target(name, JsonFields.parse(content))
    return None


def _check_table(table: RouteTable) -> None:
    limits = table.limits
    _check_positive(
        'limits',
        (
            limits.header_bytes,
            limits.body_bytes,
            limits.header_time,
            limits.idle_time,
        ),
    )
    for route in table.routes:
        _check_route(route)
        for part in route.weighted_services:
            if part.service not in table.services:
                raise InvalidDocument(
                    f'route {route.name}: no service {part.service}'
                )


def _check_route(route: Route) -> None:
    if not (route.prefix.startswith('/') and route.prefix.endswith('/')):
        raise InvalidDocument(f'route {route.name}: prefix')
    _check_positive(
        f'route {route.name}: timeout, objective or attempts',
        (route.timeout, route.latency_objective, route.max_attempts),
    )
    weights = [part.weight for part in route.weighted_services]
    _check_positive(f'route {route.name}: sum of weights', (sum(weights),))


def _check_positive(name: str, numbers: Iterable[float]) -> None:
    if not all(one > 0 for one in numbers):
        raise InvalidDocument(f'{name}: must be positive')


def _route_table(document: JsonFields) -> RouteTable:
    limits = JsonFields.wrap(document.read('limits'), 'limits')
    services = [_service(one) for one in document.read_objects('services')]
    return RouteTable(
        version=_version(document.text('version')),
        routes=tuple(_route(one) for one in document.read_objects('routes')),
        services={one.name: one for one in services},
        limits=CallerLimits(
            header_bytes=int(limits.number('max_header_bytes')),
            body_bytes=int(limits.number('max_body_bytes')),
            header_time=limits.number('header_timeout_s'),
            idle_time=limits.number('idle_timeout_s'),
        ),
    )


def _version(text: str) -> int:
    if not _VERSION.fullmatch(text):
        raise InvalidDocument('version: hexadecimal digits were expected')
    version = int(text, _HEXADECIMAL_BASE)
    if version > MAX_INTEGER:
        raise InvalidDocument('version: too large')
    return version


def _route(document: JsonFields) -> Route:
    return Route(
        name=document.name('name'),
        host=document.text('host').lower(),
        prefix=document.text('prefix'),
        # The operator's route type decides about retries, not the method.
        retryable=document.text('type') in _RETRYABLE_TYPES,
        timeout=document.number('timeout_s'),
        latency_objective=document.number('objective_s'),
        priority=int(document.number('priority', 0)),
        max_attempts=int(document.number('max_attempts', 1)),
        weighted_services=_weighted_services(document),
        regions=_regions(document),
    )


def _regions(document: JsonFields) -> frozenset[str]:
    name = 'allowed_regions'
    regions = document.read(name, None) or []
    is_valid = isinstance(regions, list) and all(
        isinstance(one, str) for one in regions
    )
    if not is_valid:
        raise InvalidDocument(f'{document.path(name)}: not a list of texts')
    return frozenset(regions)


def _weighted_services(document: JsonFields) -> tuple[WeightedService, ...]:
    if document.has('split'):
        return tuple(
            WeightedService(one.name('service'), one.number('weight'))
            for one in document.read_objects('split')
        )
    return (WeightedService(document.name('service'), 1.0),)


def _evacuation(key: str) -> Evacuation | None:
    """Decode an evacuation, which is in force while its key exists.

    The content is ignored: a zone that serves on against the operator's request
    does more harm than one that rests until the key is removed.
    """
    zone = key.removeprefix(_EVACUATION_PREFIX)
    return Evacuation(zone) if zone else None


def _service(document: JsonFields) -> RoutedService:
    return RoutedService(
        name=document.name('name'),
        max_connections=int(_number_or_zero(document, 'max_conns')),
        sharded=document.has('sharded'),
        warmup_time=_number_or_zero(document, 'warmup_s'),
        warmup_rate=_number_or_zero(document, 'warmup_per_s'),
    )


def _number_or_zero(document: JsonFields, name: str) -> float:
    """Read a number that may be missing or null."""
    return document.number(name) if document.has(name) else 0


def _target(name: str, document: JsonFields) -> Target:
    state = document.text('state')
    if state not in {_READY, _DRAINING}:
        raise InvalidDocument('state: neither ready nor draining')
    return Target(
        name=_target_name(name),
        service=document.name('service'),
        address=_address(document.text('address')),
        zone=document.name('zone'),
        slots=document.integer('slots', 1, MAX_SLOTS),
        leaving=state == _DRAINING,
        # The platform's name for the start time in Unix milliseconds.
        born=document.integer('born', 0, MAX_BORN, 0),
        is_cold=_is_cold(document.read('warmup_left_s', None)),
    )


def _target_name(name: str) -> str:
    # HTTP strips spaces around the value of a header.
    if name != name.strip():
        raise InvalidDocument('name of the target: begins or ends with a space')
    return check_name('name of the target', name)


def _address(text: str) -> Address:
    try:
        return Address.parse(text)
    except InvalidAddress:
        raise InvalidDocument(
            'address: not an IP address with a port'
        ) from None


def _is_cold(time_left: object) -> bool | None:
    if isinstance(time_left, bool) or not isinstance(time_left, (int, float)):
        return None
    return time_left > 0
