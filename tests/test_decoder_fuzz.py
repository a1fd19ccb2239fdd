"""Anything from outside, on its way through decoders to where it is used."""

from __future__ import annotations

import json
import types
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from thriftpy2.thrift import TType

from direct_fleet import make_configuration
from dogwoodmast import frames
from dogwoodmast._wire import decode, encode
from dogwoodmast.address import Address
from dogwoodmast.clock import SystemClock
from dogwoodmast.direct import messages
from dogwoodmast.direct.directory import Directory
from dogwoodmast.direct.grant_state_machine import (
    GrantStateMachine,
    divide_keys,
)
from dogwoodmast.direct.json_client import JsonResponse
from dogwoodmast.direct.key_loads import KeyLoads
from dogwoodmast.direct.relay_protocol import (
    parse_problem,
    parse_relayed_request,
    parse_target,
    target_headers,
)
from dogwoodmast.direct.room import messages as room_messages
from dogwoodmast.direct.shard_planner import ShardPlanner
from dogwoodmast.direct.shard_record import pack_record, unpack_record
from dogwoodmast.direct.target_latencies import TargetLatencies
from dogwoodmast.direct.zones import zone_news
from dogwoodmast.errors import MalformedFrame, PlatformError
from dogwoodmast.key_value import Snapshot, StoredValue
from dogwoodmast.platform.documents import decode_catalog_item
from dogwoodmast.platform.headers import (
    expected_target_header,
    parse_request_headers,
    parse_response_headers,
)
from dogwoodmast.platform.store import MetadataStore

if TYPE_CHECKING:
    from dogwoodmast.direct.catalog import RouteTable, Target

EXAMPLES_PER_CLASS = 25
"""Number of examples for each class of messages."""
EXAMPLES_OF_THE_STORE = 250
"""Number of examples of values in the store."""
NESTED_LEVELS = 1000
"""Depth of nested lists that the JSON parser still takes."""
KEYS = (
    'servers/a',
    'servers/b',
    'servers/é',
    'servers/\r\n',
    'op/config',
    'op/evacuate/z',
    'dogwoodmast/vms/v',
    'dogwoodmast/coordinator',
    'dogwoodmast/shards/solde',
)
"""Keys whose values are decoded."""
MODULES = (frames, messages, room_messages, zone_news)
"""Modules that define messages between VMs."""
CLASSES: tuple[Any, ...] = tuple(
    sorted(
        {
            one
            for module in MODULES
            for one in vars(module).values()
            if hasattr(one, 'thrift_spec')
        },
        key=repr,
    )
)
"""Classes of messages between VMs."""

BOUNDS = (
    *(2**bits for bits in (31, 32, 53, 63)),
    *(2**bits - 1 for bits in (31, 63, 64)),
    10**18,
)
"""Numbers at which a kind of integer ends."""
integers = st.integers() | st.sampled_from(BOUNDS)
texts = st.text(max_size=8) | st.sampled_from(
    ('10.0.0.1:80', '10.0.0.1:65536', '::1%\r:1', 'solde', 'a\r\nb: c')
)
scalars = st.none() | st.booleans() | integers | st.floats() | texts


def nest(
    inner: st.SearchStrategy[Any],
) -> st.SearchStrategy[list[Any] | dict[str, Any]]:
    """Make lists and objects of values.

    :param inner: Strategy for the values.
    :return: Strategy for small lists and objects.
    """
    names = st.text(max_size=4)
    return st.lists(inner, max_size=3) | st.dictionaries(
        names, inner, max_size=3
    )


odd_values = st.recursive(scalars, nest, max_leaves=5) | st.just('<deep>')


def encode_json(document: object) -> bytes:
    """Encode a document in which ``<deep>`` stands for nested lists.

    :param document: JSON document, perhaps with NaN and infinity.
    :return: Text in the way of ``json``, which has names for these.
    """
    nested = b'%b%b' % (b'[' * NESTED_LEVELS, b']' * NESTED_LEVELS)
    return json.dumps(document).encode().replace(b'"<deep>"', nested)


def find_slots(document: Any) -> list[tuple[Any, Any]]:
    """List all places of a document that can hold another value.

    :param document: JSON document.
    :return: Objects and lists, each with a name or index.
    """
    if isinstance(document, dict):
        names: list[Any] = list(document)
    elif isinstance(document, list):
        names = list(range(len(document)))
    else:
        return []
    own = [(document, name) for name in names]
    return own + [slot for name in names for slot in find_slots(document[name])]


@st.composite
def mutated(draw: st.DrawFn, document: Any) -> bytes:
    """Change a valid document, or its text.

    :param draw: Source of choices.
    :param document: Valid document.
    :return: Bytes of the changed document.
    """
    copy = json.loads(json.dumps(document))
    for _ in range(draw(st.integers(0, 2))):
        holder, name = draw(st.sampled_from(find_slots(copy)))
        if name in holder or isinstance(holder, list):
            holder[name] = draw(odd_values)
    return draw(garbled(encode_json(copy)))


@st.composite
def garbled(draw: st.DrawFn, content: bytes) -> bytes:
    """Replace a part of an encoding, in one of four cases.

    :param draw: Source of choices.
    :param content: Encoding.
    :return: Changed bytes.
    """
    if draw(st.integers(0, 3)):
        return content
    start = draw(st.integers(0, len(content)))
    end = draw(st.integers(start, len(content)))
    inserted = draw(st.binary(max_size=6))
    return b'%b%b%b' % (content[:start], inserted, content[end:])


ENTRY = types.MappingProxyType(
    {
        'service': 'solde',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'version': 'v1',
        'slots': 4,
        'state': 'ready',
        'warmup_left_s': 0,
        'sequence': 1,
        'born': 1,
    }
)
VALID_RECORDS = (
    encode(messages.VmRecord('v', 'a', '10.0.0.1:7000', 'i')),
    pack_record(messages.ShardRecord('solde', 1, 1, ())),
)
stored_contents = (
    st.binary(max_size=40)
    | mutated(dict(ENTRY))
    | mutated(make_configuration())
    | st.sampled_from(VALID_RECORDS).flatmap(garbled)
)


@settings(max_examples=EXAMPLES_OF_THE_STORE)
@given(st.lists(st.tuples(st.sampled_from(KEYS), stored_contents), max_size=5))
def test_any_value_of_the_store_reaches_its_use_or_is_ignored(
    found: list[tuple[str, bytes]],
) -> None:
    """Guards against values that are decoded, and then raise where they are
    placed, recorded, sent or logged."""
    valid = ('servers/valid', encode_json(dict(ENTRY)))
    snapshot = Snapshot(
        9,
        tuple(
            StoredValue(key, content, 2)
            for key, content in (valid, *dict(found).items())
        ),
    )
    copy = Directory(decode_catalog_item)
    copy.on_snapshot(snapshot, 0)
    puller = Directory(decode_catalog_item)
    page = decode('DirectoryPage', encode(copy.page_since(0, 1)))
    assert isinstance(page, messages.DirectoryPage)
    puller.on_page(page, 0, 1, after=0)
    targets = puller.targets(1)
    assert targets == copy.targets(1)
    assert 'valid' in targets
    place(list(targets.values()))
    for target in targets.values():
        send(target)
    if copy.route_table is not None:
        route(copy.route_table)
    assert all(map(encode, (*copy.vms().values(), *copy.shard_records())))


def place(targets: list[Target]) -> None:
    """Assign keys to targets, and record and grant them.

    :param targets: Targets of one service.
    """
    machine = GrantStateMachine('solde', 2, 4)
    machine.on_targets(targets)
    machine.shards = divide_keys(8)
    planner = ShardPlanner(KeyLoads(1))
    capacities = TargetLatencies().capacities(targets)
    placed = planner.place_free(machine, capacities, 1)
    assignments = tuple(one.assignment for one in machine.shards)
    record = messages.ShardRecord('solde', 2, 1, assignments)
    assert unpack_record(pack_record(record)) == record
    machine.on_recorded(placed, 1)
    usable = any(not one.leaving for one in targets)
    assert bool(machine.tick(1)) is usable
    planner.plan_moves(machine, capacities, 1)


def send(target: Target) -> None:
    """Name a target in headers and messages.

    :param target: Target that was listed.
    """
    for _, header in (
        expected_target_header(target.name),
        *target_headers(target.key),
    ):
        assert not set(header) & set(b'\r\n\0')
    assert parse_target(target_headers(target.key)) == target.key
    ask = room_messages.RoomAsk(
        'v', 1, target.service, target.zone, target.name, target.born
    )
    assert decode('RoomAsk', encode(ask)) == ask
    news = zone_news.ZoneNews(
        'v', target.service, target.zone, slots=target.slots
    )
    assert decode('ZoneNews', encode(news)) == news


def route(table: RouteTable) -> None:
    """Use all routes of a configuration.

    :param table: Configuration in force.
    """
    for one in table.routes:
        ask = room_messages.RoomAsk(
            'v', 1, 's', 'a', rank=one.priority, route=one.name
        )
        assert decode('RoomAsk', encode(ask)) == ask
        assert 0 < one.timeout < 2**60
        assert table.select(one.host, one.prefix) is not None
        assert sum(part.weight for part in one.weighted_services) > 0


def values_of(spec: tuple[Any, ...]) -> st.SearchStrategy[Any]:
    """Make a strategy for the values of a field, valid or not.

    :param spec: Thrift specification of the field.
    :return: Strategy for values of its kind.
    """
    match spec[0]:
        case TType.BOOL:
            return st.booleans()
        case TType.I32 | TType.I64:
            return integers | st.integers(0, 9)
        case TType.DOUBLE:
            return st.floats() | st.integers(0, 9)
        case TType.STRING:
            return st.text(max_size=8) | st.just('\ud800')
        case TType.BINARY:
            return st.binary(max_size=8)
        case _:
            return st.lists(elements_of(spec[2]), max_size=2).map(tuple)


def elements_of(spec: Any) -> st.SearchStrategy[Any]:
    """Make a strategy for elements of a list.

    :param spec: Thrift specification of the elements.
    :return: Strategy for texts or messages.
    """
    if not isinstance(spec, tuple):
        return values_of((spec,))
    name = spec[1].__name__
    return messages_of(next(one for one in CLASSES if one.__name__ == name))


def messages_of(cls: Any) -> st.SearchStrategy[Any]:
    """Make a strategy for messages of a class, valid or not.

    :param cls: Class of messages.
    :return: Strategy for its instances.
    """
    specs = cls.thrift_spec.values()
    return st.builds(cls, **{spec[1]: values_of(spec) for spec in specs})


@settings(max_examples=EXAMPLES_PER_CLASS)
@given(st.data())
@pytest.mark.parametrize('cls', CLASSES)
def test_any_message_survives_the_wire_or_is_malformed(
    cls: Any, data: st.DataObject
) -> None:
    """Guards against errors of other types, which end processes, and against
    messages that arrive changed."""
    message = data.draw(messages_of(cls))
    try:
        found = decode(cls.__name__, encode(message))
    except MalformedFrame:
        return
    assert found == message


@settings(max_examples=EXAMPLES_PER_CLASS)
@given(st.data())
@pytest.mark.parametrize('cls', CLASSES)
def test_any_bytes_are_a_message_or_malformed(
    cls: Any, data: st.DataObject
) -> None:
    """What is decoded can be encoded again."""
    payload = data.draw(st.binary(max_size=40))
    try:
        payload = data.draw(garbled(encode(data.draw(messages_of(cls)))))
        found = decode(cls.__name__, payload)
    except MalformedFrame:
        return
    assert decode(cls.__name__, encode(found)) == found


ITEM = types.MappingProxyType(
    {'key': 'k', 'value': 'Zg==', 'revision': 3, 'lease': 0}
)
ANSWER = types.MappingProxyType(
    {
        **ITEM,
        'as_of': 4,
        'items': [dict(ITEM)],
        'events': [dict(ITEM), {'key': 'k', 'revision': 4, 'deleted': True}],
        'has_more': False,
    }
)


@given(
    st.sampled_from((200, 404, 410, 412, 503)),
    mutated(dict(ANSWER)) | st.binary(max_size=40),
    st.lists(
        st.sampled_from((b'0', b'1', b'7', b'', b'x', b'-1', b'9' * 30)),
        max_size=2,
    ),
)
def test_any_response_of_the_store_is_read_or_a_failed_call(
    status: int, body: bytes, eras: list[bytes]
) -> None:
    """Guards against errors that the callers of the store do not expect."""

    async def call(*_args: object) -> JsonResponse:
        await anyio.lowlevel.checkpoint()
        content = body.replace(b'"has_more": true', b'"has_more": false')
        headers = [(b'store-era', era) for era in eras]
        return JsonResponse(status, headers, content)

    async def call_all() -> None:
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr('dogwoodmast.platform.store.JsonClient.call', call)
            store = MetadataStore(Address('127.0.0.1', 1), SystemClock())
            for attempt in (
                lambda: store.read('k'),
                lambda: store.read_changes('', 1, 0, 1),
                lambda: store.swap((), ()),
                lambda: store.grant_lease(3),
                lambda: store.renew_lease(3),
            ):
                with suppress(PlatformError):
                    await attempt()

    anyio.run(call_all)


HEADER_NAMES = (
    b'request-deadline-ms',
    b'shard-key',
    b'server-limit',
    b'retry-after',
    b'warmup-ms',
    b'instance-load',
    b'handover',
    b'dogwoodmast-relay-origin',
    b'dogwoodmast-relay-service',
    b'dogwoodmast-relay-attempts',
    b'dogwoodmast-relay-target',
    b'dogwoodmast-relay-problem',
)
FIGURES = (
    st.binary(max_size=12)
    | st.integers().map(lambda number: str(number).encode())
    | st.integers(1, 6000).map(lambda count: b'9' * count)
    | st.sampled_from((b'nan', b'inf', b'1e400', b'\xb2', b'\xb2 t', b'1,1,1'))
)


@given(
    st.lists(st.tuples(st.sampled_from(HEADER_NAMES), FIGURES), max_size=8),
    st.sampled_from((200, 429, 503)),
)
def test_any_header_is_read_or_ignored(
    headers: list[tuple[bytes, bytes]], status: int
) -> None:
    """Guards against figures that cannot be converted."""
    fields = parse_request_headers(headers)
    assert fields.shard_key is None or 0 <= fields.shard_key < 2**16
    parse_response_headers(status, headers)
    parse_problem(status, headers)
    relayed = parse_relayed_request(headers)
    if relayed is not None:
        assert relayed.attempts_left >= 0
    target = parse_target(headers)
    if target is not None:
        assert parse_target(target_headers(target)) == target
