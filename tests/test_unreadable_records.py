"""Records of entry VMs in the store that cannot be read."""

from __future__ import annotations

from typing import Any, cast

import pytest

from dogwoodmast.clock import ManualClock
from dogwoodmast.direct.grant_state_machine import GrantStateMachine
from dogwoodmast.direct.hold_bound import EARLIER_TERM_GRANT_WINDOW
from dogwoodmast.direct.leadership import Leadership
from dogwoodmast.direct.messages import ShardAssignment, ShardRecord, VmRecord
from dogwoodmast.direct.shard import Phase
from dogwoodmast.direct.shard_coordinator import (
    ShardCoordinator,
)
from dogwoodmast.direct.shard_record import pack_record
from dogwoodmast.key_value import Snapshot, StoredValue

pytestmark = pytest.mark.anyio


class _OneRecord:
    """Store with one value, whichever key is asked for."""

    def __init__(self, content: bytes) -> None:
        """Store the value.

        :param content: Value.
        """
        self.content = content

    async def read(self, key: str) -> Snapshot:
        """Read the value.

        :param key: Any key.
        :return: Snapshot with the value.
        """
        return Snapshot(9, (StoredValue(key, self.content, 8, 7),))


def make_record(*bounds: tuple[int, int]) -> bytes:
    """Encode a record of shards that one target holds.

    :param bounds: First and last key of each shard.
    :return: Stored value.
    """
    shards = tuple(
        ShardAssignment(first, last, 't', 1, 1, True) for first, last in bounds
    )
    return pack_record(ShardRecord('s', 1, 0, shards))


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'\xff' * 9,
        b'\x78\x01\x00',
        make_record((0, 100)),
        make_record((0, 65_535), (0, 65_535)),
        make_record((0, 65_536)),
        make_record((5, 2), (3, 65_535)),
    ],
)
async def test_unreadable_assignments_wait_for_all_earlier_grants(
    content: bytes,
) -> None:
    """Any target may hold any key; the coordinator ended for such a record."""
    state_machine = GrantStateMachine('s', 12, 6)
    clock = ManualClock()
    coordinator = ShardCoordinator(
        state_machine,
        cast('Any', None),
        cast('Any', _OneRecord(content)),
        clock,
        cast('Any', None),
        cast('Any', None),
    )
    await coordinator.load()
    until = EARLIER_TERM_GRANT_WINDOW + state_machine.max_hold_time
    start = clock.monotonic()
    assert state_machine.tick(start + until - 0.01) == []
    assert {one.phase for one in state_machine.shards} == {Phase.EXPIRING}
    assert state_machine.tick(start + until) == []
    assert {one.phase for one in state_machine.shards} == {Phase.FREE}
    assert sum(one.width for one in state_machine.shards) == 65_536


async def test_unreadable_coordinator_is_not_this_vm() -> None:
    """The record was decoded on a path that only expects failed calls."""
    record = VmRecord('v1', 'a', '10.0.0.1:7000', 'i1')
    store = cast('Any', _OneRecord(b'\xff'))
    assert await Leadership(record, store, ManualClock()).reclaim() is None
