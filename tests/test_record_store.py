"""Compare-and-swap of records when answers are lost."""

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
FIRST = ZoneRecord('pikine', 1, 1, (MEMBER,), {})


def make_store(platform: MemoryPlatform, vm: str = 'vm0') -> RecordStore:
    """Make the store of one entry VM."""
    return RecordStore(cast('Platform', platform), vm, ManualClock())


def next_version(record: Record) -> RecordChange:
    """Make a change of a record."""
    return RecordChange(
        record, attrs.evolve(record, version=record.version + 1), 'test'
    )


def stored_version(platform: MemoryPlatform) -> int:
    """Read the version in the platform."""
    stored = platform.values[zone_key(FIRST.zone)]
    return load_document(stored.value, ZoneRecord).version


@pytest.mark.parametrize(
    'faults', list(itertools.product(SwapFault, SwapFault, SwapFault))
)
async def test_writes_take_effect_once(faults: tuple[SwapFault, ...]) -> None:
    """Whatever fails, what is acknowledged is kept and audited once."""
    platform = MemoryPlatform()
    store = make_store(platform)
    record = await store.replace(RecordChange(None, FIRST, 'creation'))
    platform.faults.extend(faults)
    acknowledged = record.version
    for _ in range(4):
        try:
            record = await store.replace(next_version(record))
        except RecordConflict as conflict:
            record = conflict.current or record
        except PlatformError:
            continue
        acknowledged = record.version
    assert stored_version(platform) >= acknowledged
    changes = platform.keys_containing(AUDIT_PREFIX)
    assert len(changes) == stored_version(platform)


async def test_second_writer_gets_a_conflict() -> None:
    """Of two writers on one base, one wins and the other is told."""
    platform = MemoryPlatform()
    one, other = make_store(platform), make_store(platform, 'vm1')
    base = await one.replace(RecordChange(None, FIRST, 'creation'))
    won = await one.replace(next_version(base))
    with pytest.raises(RecordConflict) as caught:
        await other.replace(next_version(base))
    assert caught.value.current == won
    assert len(platform.keys_containing(AUDIT_PREFIX)) == 2


@pytest.mark.parametrize(
    'fault', [SwapFault.LOST_AFTER, SwapFault.REFUSED_AFTER]
)
async def test_own_change_is_recognized(fault: SwapFault) -> None:
    """A write whose answer was lost is found by its identity."""
    platform = MemoryPlatform()
    store = make_store(platform)
    record = await store.replace(RecordChange(None, FIRST, 'creation'))
    platform.faults.append(fault)
    written = await store.replace(next_version(record))
    assert written.version == stored_version(platform)
    assert len(platform.keys_containing(AUDIT_PREFIX)) == 2


async def test_writer_with_an_old_revision_gets_a_conflict() -> None:
    """A writer that wrote the base does not overwrite its successor."""
    platform = MemoryPlatform()
    one, other = make_store(platform), make_store(platform, 'vm1')
    base = await one.replace(RecordChange(None, FIRST, 'creation'))
    won = await other.replace(next_version(base))
    with pytest.raises(RecordConflict) as caught:
        await one.replace(next_version(base))
    assert caught.value.current == won
