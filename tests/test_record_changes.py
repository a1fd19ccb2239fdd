"""Changes of a zone's record by placement and by transfer."""

from __future__ import annotations

import attrs
from hypothesis import given
from hypothesis import strategies as st

from dogwoodmast.address import Address
from dogwoodmast.configuration import Configuration, Service, Target, Zone
from dogwoodmast.home_transfer import close_record, transfer_home
from dogwoodmast.initial_placement import InitialPlanner
from dogwoodmast.ownership import Assignment, HomeRecord, ZoneRecord
from dogwoodmast.partition import partition_of
from dogwoodmast.placement import (
    Merge,
    Move,
    PlacementChange,
    PlacementInput,
    Split,
)
from dogwoodmast.record_changes import apply_changes, owned_partitions

ZONE = 'pikine'
OTHER = 'almadies'
SERVICE = 'balance'
PARTITIONS = 4
KEYS = ('k0', 'k1', 'k2')
NAMES = ('b0', 'b1')
ADDRESS = Address('127.0.0.1', 1)
CONFIGURATION = Configuration(
    1,
    (Zone(ZONE), Zone(OTHER)),
    (
        Service(
            SERVICE,
            PARTITIONS,
            tuple(
                Target(name, zone, ADDRESS, 4, 50)
                for zone, name in ((ZONE, 'b0'), (ZONE, 'b1'), (OTHER, 'c0'))
            ),
            (),
        ),
    ),
)
HOME = HomeRecord(SERVICE, (ZONE,) * PARTITIONS)
EMPTY = ZoneRecord(ZONE, 1, 1, (), {})

change = st.one_of(
    st.builds(
        Move,
        st.just(SERVICE),
        st.integers(0, PARTITIONS - 1),
        st.sampled_from(NAMES),
    ),
    st.builds(
        Split, st.just(SERVICE), st.sampled_from(KEYS), st.sampled_from(NAMES)
    ),
    st.builds(Merge, st.just(SERVICE), st.sampled_from(KEYS)),
)


def owner_of(record: ZoneRecord, key: str) -> Assignment:
    """Find who owns a key."""
    table = record.tables[SERVICE]
    partition = partition_of(key, PARTITIONS)
    return table.assignments[table.hot_keys.get(key, partition)]


def first_plan(home: HomeRecord, zone: str) -> ZoneRecord:
    """Assign everything that a zone owns."""
    record = attrs.evolve(EMPTY, zone=zone)
    partitions = {SERVICE: owned_partitions(home, zone)}
    known = PlacementInput(CONFIGURATION, record, (), frozenset(), partitions)
    moves = InitialPlanner().plan(known, 0)
    planned = apply_changes(record, CONFIGURATION, {SERVICE: home}, moves)
    assert planned is not None
    return planned


@given(st.lists(change, max_size=12))
def test_fences_of_keys_only_grow(changes: list[PlacementChange]) -> None:
    """Whenever a key's owner changes, its fence is a greater one."""
    record = first_plan(HOME, ZONE)
    owners = {key: owner_of(record, key) for key in KEYS}
    for one in changes:
        if _is_split_already(record, one):
            continue
        after = apply_changes(record, CONFIGURATION, {SERVICE: HOME}, (one,))
        record = after or record
        for key, before in owners.items():
            now = owner_of(record, key)
            assert now == before or now.fence > before.fence
            owners[key] = now


def _is_split_already(record: ZoneRecord, one: PlacementChange) -> bool:
    hot = record.tables[SERVICE].hot_keys
    return isinstance(one, Split) and one.key in hot


def test_transfer_fences_above_the_lost_zone() -> None:
    """A partition that changes its zone gets a fence above its old one."""
    lost = attrs.evolve(first_plan(HOME, ZONE), version=70)
    closed = close_record(lost)
    assert closed is not None
    assert close_record(closed) is None
    moved = transfer_home(
        HOME, CONFIGURATION.services[0], {ZONE: closed.version}
    )
    assert moved is not None
    assert moved.zones == (OTHER,) * PARTITIONS
    taken = first_plan(moved, OTHER)
    for key in KEYS:
        assert owner_of(taken, key).fence > closed.version


def test_released_partitions_leave_the_record() -> None:
    """A zone drops what it does not own any more."""
    record = first_plan(HOME, ZONE)
    gone = attrs.evolve(HOME, zones=(OTHER,) * PARTITIONS)
    after = apply_changes(record, CONFIGURATION, {SERVICE: gone}, ())
    assert after is not None
    assert not after.tables
