"""Encoding of ownership records as JSON documents."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from dogwoodmast._documents import dump_document, load_document
from dogwoodmast.address import Address
from dogwoodmast.ownership import (
    Assignment,
    HomeRecord,
    Member,
    ServiceTable,
    ZoneRecord,
)

MAX_VALUE_BYTES = 1_000_000
"""Largest value that the platform stores, in bytes."""
DESIGN_PARTITIONS = 65_536
"""Number of partitions of a service at the design size."""
DESIGN_ZONES = 10
"""Number of zones at the design size."""
DESIGN_MEMBERS = 49
"""Number of members of a zone at the design size."""
NAMES = st.sampled_from(('b0', 'b1', 'balance-é', ''))
FENCES = st.integers(0, 2**40)


@given(
    st.dictionaries(st.integers(0, 99), st.builds(Assignment, NAMES, FENCES)),
    st.dictionaries(st.text(max_size=5), st.integers(0, 99)),
    st.lists(NAMES).map(tuple),
    st.dictionaries(st.integers(0, 99), FENCES),
)
def test_records_survive_encoding(
    assignments: dict[int, Assignment],
    hot_keys: dict[str, int],
    zones: tuple[str, ...],
    fences: dict[int, int],
) -> None:
    """A record is equal to itself after encoding and decoding.

    Guards against fields that are lost or change their type in JSON, such as
    integer keys and empty or non-ASCII names.
    """
    table = ServiceTable(assignments, hot_keys)
    record = ZoneRecord('pikine', 1, 2, (), {'balance': table})
    assert load_document(dump_document(record), ZoneRecord) == record
    home = HomeRecord('balance', zones, 3, fences, 'change')
    assert load_document(dump_document(home), HomeRecord) == home


def test_records_of_design_size_fit_the_platform() -> None:
    """Records of the design size stay below a quarter of the platform's limit.

    Guards against a platform that refuses the records of a large deployment,
    so that the ownership can no longer change.
    """
    member = Member('entry-vm', 36 * 'x', Address('127.0.0.1', 9000))
    owned_partitions = range(0, DESIGN_PARTITIONS, DESIGN_ZONES)
    table = ServiceTable(
        {
            partition: Assignment(f'target-{partition % 100}', 2**31)
            for partition in owned_partitions
        }
    )
    record = ZoneRecord(
        'zone', 1, 1, (member,) * DESIGN_MEMBERS, {'balance': table}
    )
    zones = tuple(
        f'zone-{partition % DESIGN_ZONES}'
        for partition in range(DESIGN_PARTITIONS)
    )
    home = HomeRecord('balance', zones)
    assert len(dump_document(record)) < MAX_VALUE_BYTES / 4
    assert len(dump_document(home)) < MAX_VALUE_BYTES / 4
