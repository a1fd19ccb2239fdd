"""Compare-and-swap of records when writers compete or answers are lost."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, cast

import attrs
import pytest

from dogwoodmast._documents import load_document
from dogwoodmast.address import Address
from dogwoodmast.audit import AUDIT_PREFIX
from dogwoodmast.clock import ManualClock
from dogwoodmast.errors import PlatformError
from dogwoodmast.ownership import Member, ZoneRecord, zone_key
from dogwoodmast.record_store import (
    Record,
    RecordChange,
    RecordConflict,
    RecordStore,
)
from memory_platform import MemoryPlatform, SwapFault

if TYPE_CHECKING:
    from dogwoodmast.key_value import Platform

pytestmark = pytest.mark.anyio

MEMBER = Member('vm0', '0001', Address('127.0.0.1', 9000))
FIRST_RECORD = ZoneRecord('pikine', 1, 1, (MEMBER,), {})
"""First record of the zone."""


def make_store(platform: MemoryPlatform, vm: str = 'vm0') -> RecordStore:
    """Make the record store of an entry VM."""
    return RecordStore(cast('Platform', platform), vm, ManualClock())


def make_change(record: Record) -> RecordChange:
    """Make a change that only increases the version of a record."""
    return RecordChange(
        record, attrs.evolve(record, version=record.version + 1), 'test'
    )


def read_stored_version(platform: MemoryPlatform) -> int:
    """Read the version of the record in the platform."""
    stored = platform.values[zone_key(FIRST_RECORD.zone)]
    return load_document(stored.value, ZoneRecord).version


@pytest.mark.parametrize(
    'faults', list(itertools.product(SwapFault, SwapFault, SwapFault))
)
async def test_writes_take_effect_once(faults: tuple[SwapFault, ...]) -> None:
    """Acknowledged writes are kept and have one audit entry each.

    Guards against a write that takes effect twice, or that is reported as
    successful without effect, when the platform fails or its answers are
    lost during several attempts.
    """
    platform = MemoryPlatform()
    store = make_store(platform)
    record = await store.replace(RecordChange(None, FIRST_RECORD, 'creation'))
    platform.faults.extend(faults)
    acknowledged = record.version
    for _ in range(4):
        try:
            record = await store.replace(make_change(record))
        except RecordConflict as conflict:
            record = conflict.current or record
        except PlatformError:
            continue
        acknowledged = record.version
    assert read_stored_version(platform) >= acknowledged
    audit_keys = platform.keys_containing(AUDIT_PREFIX)
    assert len(audit_keys) == read_stored_version(platform)


async def test_second_writer_gets_conflict() -> None:
    """Of two writers with the same base, the second gets a conflict.

    Guards against a lost update, and against an audit entry for the write
    that had no effect.
    """
    platform = MemoryPlatform()
    first, second = make_store(platform), make_store(platform, 'vm1')
    base = await first.replace(RecordChange(None, FIRST_RECORD, 'creation'))
    accepted = await first.replace(make_change(base))
    with pytest.raises(RecordConflict) as caught:
        await second.replace(make_change(base))
    assert caught.value.current == accepted
    assert len(platform.keys_containing(AUDIT_PREFIX)) == 2


@pytest.mark.parametrize(
    'fault', [SwapFault.LOST_AFTER, SwapFault.REFUSED_AFTER]
)
async def test_own_change_is_recognized(fault: SwapFault) -> None:
    """A write whose answer was lost is recognised by its change identity.

    Guards against a writer that sees its own record in the platform and
    takes it for a conflict, or writes it again.
    """
    platform = MemoryPlatform()
    store = make_store(platform)
    record = await store.replace(RecordChange(None, FIRST_RECORD, 'creation'))
    platform.faults.append(fault)
    written = await store.replace(make_change(record))
    assert written.version == read_stored_version(platform)
    assert len(platform.keys_containing(AUDIT_PREFIX)) == 2


async def test_writer_with_outdated_revision_gets_conflict() -> None:
    """A writer with an outdated revision gets a conflict.

    Guards against a lost update.  The writer remembers the revision of the
    record that it wrote last, and another writer replaces that record.
    """
    platform = MemoryPlatform()
    first, second = make_store(platform), make_store(platform, 'vm1')
    base = await first.replace(RecordChange(None, FIRST_RECORD, 'creation'))
    accepted = await second.replace(make_change(base))
    with pytest.raises(RecordConflict) as caught:
        await first.replace(make_change(base))
    assert caught.value.current == accepted
