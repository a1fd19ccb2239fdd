"""Reading and checking of one service table of a questionnaire.

A value with a mistake is read as ``None``, although its field has another
type; the checks of related values skip it.
"""

from __future__ import annotations

from typing import Any

from dogwoodmast.configuration import (
    ANY_PATH,
    FrozenRequestPolicy,
    Preference,
    RequestKind,
    Service,
    Target,
    ZoneLossPolicy,
)
from dogwoodmast.input_errors import Duplicate, UnknownChoice
from dogwoodmast.input_rules import (
    AddressText,
    Boolean,
    Choice,
    HeaderName,
    Integer,
    Name,
    Number,
    PathPrefix,
    PowerOfTwo,
    Reference,
    Rule,
    Text,
)
from dogwoodmast.questionnaire_mistakes import (
    NonIdempotentGet,
    NotInThisRelease,
    NowhereToMove,
    RetriedNonIdempotent,
    TooFewConnections,
    TooFewPartitions,
    UnmatchableKind,
    UnusedAttempts,
    ZoneWithoutTarget,
)
from dogwoodmast.table_reader import REQUIRED, MistakeLog, TableReader

MAX_PARTITIONS = 65_536
"""Maximum number of partitions of a service."""
MAX_SLOTS = 10_000
"""Maximum number of concurrent requests of a target."""
MAX_CONNECTIONS = 100_000
"""Maximum number of connections of a target."""
MAX_DEADLINE = 300.0
"""Maximum deadline of a request kind, in seconds."""
MAX_ATTEMPTS = 10
"""Maximum number of attempts of a request kind."""
MAX_QUEUE_LIMIT = 100_000
"""Maximum number of requests that may wait for a target."""
METHODS = ('DELETE', 'GET', 'HEAD', 'OPTIONS', 'PATCH', 'POST', 'PUT')
"""HTTP methods that a request kind may have."""
SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
"""HTTP methods defined as safe (RFC 9110), which request no change."""

_SERVICE_DEFAULTS = Service('', 1, (), ())
_KIND_DEFAULTS = RequestKind('', (), idempotent=True, deadline=1)
"""Instances that only provide the defaults of the optional fields."""


def read_service(
    reader: TableReader, zones: tuple[str, ...], cautions: MistakeLog
) -> Service:
    """Read and check the table of one service.

    :param reader: Reader of the service's table; it collects mistakes.
    :param zones: Names of the configured zones.
    :param cautions: Collector of valid values that are probably unintended.
    :return: The service.  It is incomplete if a mistake was found.
    """
    targets = _read_targets(reader, zones)
    kinds = _read_kinds(reader)
    service = Service(
        name=reader.read('name', Name()),
        partitions=reader.read('partitions', PowerOfTwo(MAX_PARTITIONS)),
        targets=targets,
        kinds=kinds,
        **_read_policies(reader),
    )
    reader.finish()
    _check_partitions(reader, service)
    _check_kinds(reader, service)
    _find_cautions(TableReader(cautions, reader.path, {}), service, zones)
    return service


def _read_policies(reader: TableReader) -> dict[str, Any]:
    rules: dict[str, Rule] = {
        'checks_fences': Boolean(),
        'prefer': Choice(Preference),
        'on_zone_loss': Choice(ZoneLossPolicy),
        'frozen_requests': Choice(FrozenRequestPolicy),
        'queue_limit': Integer(0, MAX_QUEUE_LIMIT),
        'retry_budget': Number(
            0, 1, 'retries per request', includes_minimum=True
        ),
        'customer_header': HeaderName(),
    }
    return {
        key: reader.read(key, rule, getattr(_SERVICE_DEFAULTS, key))
        for key, rule in rules.items()
    }


def _read_targets(
    reader: TableReader, zones: tuple[str, ...]
) -> tuple[Target, ...]:
    slots = Integer(1, MAX_SLOTS)
    connections = Integer(1, MAX_CONNECTIONS)
    default_slots = reader.read('slots', slots, None)
    default_connections = reader.read('connections', connections, None)
    targets = []
    for entry in reader.read_tables('targets', 'target'):
        target = Target(
            name=entry.read('name', Name()),
            zone=entry.read('zone', Reference(zones)),
            address=entry.read('address', AddressText()),
            slots=entry.read(
                'slots', slots, _default(reader, 'slots', default_slots)
            ),
            connections=entry.read(
                'connections',
                connections,
                _default(reader, 'connections', default_connections),
            ),
        )
        entry.finish()
        _check_connections(entry, target)
        targets.append(target)
    return tuple(targets)


def _default(reader: TableReader, key: str, default: object) -> object:
    # If the service has the key, its targets inherit the value.  This holds
    # even if the value is invalid: that mistake is reported once.
    return default if reader.has(key) else REQUIRED


def _check_connections(entry: TableReader, target: Target) -> None:
    if target.slots is None or target.connections is None:
        return
    if target.slots > target.connections:
        entry.report(TooFewConnections(target.slots, target.connections))


def _read_kinds(reader: TableReader) -> tuple[RequestKind, ...]:
    kinds = []
    for entry in reader.read_tables('kinds', 'request kind'):
        kind = RequestKind(
            name=entry.read('name', Name()),
            methods=_read_methods(entry),
            idempotent=entry.read('idempotent', Boolean()),
            deadline=entry.read('deadline', Number(0, MAX_DEADLINE, 'seconds')),
            path=entry.read('path', PathPrefix(), ANY_PATH),
            attempts=entry.read(
                'attempts', Integer(1, MAX_ATTEMPTS), _KIND_DEFAULTS.attempts
            ),
        )
        entry.finish()
        _check_attempts(entry, kind)
        kinds.append(kind)
    return tuple(kinds)


def _read_methods(entry: TableReader) -> tuple[str, ...]:
    key = 'methods'
    found = entry.read_list(key, Text(), 'HTTP method')
    for position, method in enumerate(found):
        path = (*entry.path_of(key), position)
        if method is not None and method not in METHODS:
            entry.log.add(UnknownChoice(method, METHODS), path)
        elif method in found[:position]:
            first = entry.log.place((*entry.path_of(key), found.index(method)))
            entry.log.add(Duplicate('method', method, first), path)
    return found


def _check_attempts(entry: TableReader, kind: RequestKind) -> None:
    if kind.idempotent is False and (kind.attempts or 1) > 1:
        entry.report(RetriedNonIdempotent(kind.name, kind.attempts), 'attempts')


def _check_partitions(reader: TableReader, service: Service) -> None:
    partitions = service.partitions
    if partitions is not None and partitions < len(service.targets):
        reader.report(
            TooFewPartitions(partitions, len(service.targets)), 'partitions'
        )


def _check_kinds(reader: TableReader, service: Service) -> None:
    path = reader.path_of('kinds')
    names = [kind.name for kind in service.kinds]
    for position, kind in enumerate(service.kinds):
        first = names.index(kind.name)
        if first < position and kind.name is not None:
            place = reader.log.place((*path, first, 'name'))
            duplicate = Duplicate('kind', kind.name, place)
            reader.log.add(duplicate, (*path, position, 'name'))
        earlier = _shadowing_kinds(kind, service.kinds[:position])
        if earlier:
            reader.log.add(
                UnmatchableKind(kind.name, earlier), (*path, position)
            )


def _shadowing_kinds(
    kind: RequestKind, earlier: tuple[RequestKind, ...]
) -> tuple[str, ...]:
    if kind.path is None:
        return ()
    # A kind never applies if earlier kinds match each of its methods and its
    # path prefix.
    found = {}
    for method in kind.methods:
        shadowing = next(
            (other for other in earlier if _covers(other, method, kind.path)),
            None,
        )
        if shadowing is None:
            return ()
        found[shadowing.name] = shadowing
    return tuple(found)


def _covers(kind: RequestKind, method: str, path: str) -> bool:
    return kind.path is not None and kind.matches(method, path)


def _find_cautions(
    reader: TableReader, service: Service, zones: tuple[str, ...]
) -> None:
    zones_with_targets = {target.zone for target in service.targets}
    missing = tuple(zone for zone in zones if zone not in zones_with_targets)
    if missing:
        reader.report(ZoneWithoutTarget(service.name, missing), 'targets')
    if (
        service.on_zone_loss is ZoneLossPolicy.MOVE
        and len(zones_with_targets) == 1
    ):
        reader.report(NowhereToMove(service.name), 'on_zone_loss')
    if service.on_zone_loss is ZoneLossPolicy.MOVE:
        caution = NotInThisRelease(ZoneLossPolicy.MOVE, ZoneLossPolicy.HOLD)
        reader.report(caution, 'on_zone_loss')
    if service.frozen_requests is FrozenRequestPolicy.REFUSE:
        caution = NotInThisRelease(
            FrozenRequestPolicy.REFUSE, FrozenRequestPolicy.WAIT
        )
        reader.report(caution, 'frozen_requests')
    for position, kind in enumerate(service.kinds):
        path = (*reader.path_of('kinds'), position)
        _find_kind_cautions(reader.log, path, service, kind)


def _find_kind_cautions(
    cautions: MistakeLog,
    path: tuple[str | int, ...],
    service: Service,
    kind: RequestKind,
) -> None:
    if kind.idempotent is False:
        for method in kind.methods:
            if method in SAFE_METHODS:
                caution = NonIdempotentGet(kind.name, method)
                cautions.add(caution, (*path, 'methods'))
    elif service.retry_budget == 0 and (kind.attempts or 1) > 1:
        cautions.add(UnusedAttempts(kind.name), (*path, 'attempts'))
