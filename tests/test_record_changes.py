"""Changes of a zone's record by placement and by transfer of homes."""

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
"""Zone that is the home of all partitions."""
OTHER_ZONE = 'almadies'
"""Zone to which partitions are transferred."""
SERVICE = 'balance'
PARTITIONS = 4
KEYS = ('k0', 'k1', 'k2')
"""Keys that may be split out."""
TARGETS = ('b0', 'b1')
"""Targets in the home zone."""
ADDRESS = Address('127.0.0.1', 1)
CONFIGURATION = Configuration(
    1,
    (Zone(ZONE), Zone(OTHER_ZONE)),
    (
        Service(
            SERVICE,
            PARTITIONS,
            tuple(
                Target(name, zone, ADDRESS, 4, 50)
                for zone, name in (
                    (ZONE, 'b0'),
                    (ZONE, 'b1'),
                    (OTHER_ZONE, 'c0'),
                )
            ),
            (),
        ),
    ),
)
HOME = HomeRecord(SERVICE, (ZONE,) * PARTITIONS)
"""Home record that gives all partitions to one zone."""
EMPTY_RECORD = ZoneRecord(ZONE, 1, 1, (), {})
"""Zone record without members and assignments."""

change = st.one_of(
    st.builds(
        Move,
        st.just(SERVICE),
        st.integers(0, PARTITIONS - 1),
        st.sampled_from(TARGETS),
    ),
    st.builds(
        Split, st.just(SERVICE), st.sampled_from(KEYS), st.sampled_from(TARGETS)
    ),
    st.builds(Merge, st.just(SERVICE), st.sampled_from(KEYS)),
)


def owner_of(record: ZoneRecord, key: str) -> Assignment:
    """Return the assignment of a key, which may be split out."""
    table = record.tables[SERVICE]
    partition = partition_of(key, PARTITIONS)
    return table.assignments[table.hot_keys.get(key, partition)]


def make_first_assignments(home: HomeRecord, zone: str) -> ZoneRecord:
    """Make the first record with assignments of a zone's partitions."""
    record = attrs.evolve(EMPTY_RECORD, zone=zone)
    partitions = {SERVICE: owned_partitions(home, zone)}
    inputs = PlacementInput(CONFIGURATION, record, (), frozenset(), partitions)
    moves = InitialPlanner().plan(inputs, 0)
    planned = apply_changes(record, CONFIGURATION, {SERVICE: home}, moves)
    assert planned is not None
    return planned


@given(st.lists(change, max_size=12))
def test_fences_of_keys_only_increase(changes: list[PlacementChange]) -> None:
    """A key whose assignment changes gets a greater fence.

    Guards against a target that accepts late requests of the previous owner.
    That happens if a move, a split or a merge reuses an old fence for one of
    the keys that it concerns.
    """
    record = make_first_assignments(HOME, ZONE)
    owners = {key: owner_of(record, key) for key in KEYS}
    for one in changes:
        if _is_already_split(record, one):
            continue
        after = apply_changes(record, CONFIGURATION, {SERVICE: HOME}, (one,))
        record = after or record
        for key, before in owners.items():
            current = owner_of(record, key)
            assert current == before or current.fence > before.fence
            owners[key] = current


def _is_already_split(record: ZoneRecord, one: PlacementChange) -> bool:
    hot = record.tables[SERVICE].hot_keys
    return isinstance(one, Split) and one.key in hot


def test_transferred_partitions_get_greater_fences() -> None:
    """A partition that is transferred gets a fence above those of its old zone.

    Guards against requests of the lost zone that are still accepted.  The
    record of the new zone has lower versions, from which its fences would
    follow without the minimum in the home record.
    """
    old_record = attrs.evolve(make_first_assignments(HOME, ZONE), version=70)
    closed_record = close_record(old_record)
    assert closed_record is not None
    assert close_record(closed_record) is None
    moved = transfer_home(
        HOME, CONFIGURATION.services[0], {ZONE: closed_record.version}
    )
    assert moved is not None
    assert moved.zones == (OTHER_ZONE,) * PARTITIONS
    new_record = make_first_assignments(moved, OTHER_ZONE)
    for key in KEYS:
        assert owner_of(new_record, key).fence > closed_record.version


def test_transferred_partitions_are_removed() -> None:
    """Partitions whose home is another zone are removed from the record.

    Guards against two zones that own a partition after its transfer.
    """
    record = make_first_assignments(HOME, ZONE)
    transferred = attrs.evolve(HOME, zones=(OTHER_ZONE,) * PARTITIONS)
    after = apply_changes(record, CONFIGURATION, {SERVICE: transferred}, ())
    assert after is not None
    assert not after.tables
