"""How long grants last, which coordinators of later terms have to know."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, cast

import attrs
import pytest

from dogwoodmast.direct.directory import COORDINATOR_KEY, SHARD_PREFIX
from dogwoodmast.direct.grant_state_machine import (
    GrantStateMachine,
    max_hold_time,
)
from dogwoodmast.direct.hold_bound import EARLIER_TERM_GRANT_WINDOW
from dogwoodmast.direct.messages import ShardAssignment, ShardRecord
from dogwoodmast.direct.shard_coordinator import ShardCoordinator
from dogwoodmast.direct.shard_record import pack_record, unpack_record
from dogwoodmast.errors import PlatformError
from dogwoodmast.key_value import MISSING_REVISION, Expectation, Put
from dogwoodmast.store_position import make_position
from memory_platform import MemoryPlatform, SwapFault

if TYPE_CHECKING:
    from dogwoodmast.direct.leadership import Leadership
    from dogwoodmast.direct.reach import ReachTracker
    from dogwoodmast.direct.statement_book import StatementBook
    from dogwoodmast.key_value import PolledStore

pytestmark = pytest.mark.anyio

SERVICE = 'balance'
LONGEST_HOLD = 10.0
"""Longest hold that the platform permits, in seconds: ``hold_max_s``."""
LONG_HOLD = 6.0
SHORT_HOLD = 2.0
EPOCH = 2
"""Epoch of the term, which is the revision of its record."""


@attrs.define
class StandingClock:
    """Clock that stands still unless a test sets it."""

    now: float = 100.0
    """Time in seconds."""

    def monotonic(self) -> float:
        """Return the time in seconds."""
        return self.now

    def wall(self) -> float:
        """Return the time in seconds."""
        return self.now


async def make_store(hold: float, *faults: SwapFault) -> MemoryPlatform:
    """Make a store with a coordinator and the record of an earlier one.

    :param hold: Hold that the record names, in seconds.
    :param faults: Faults of later writes.
    :return: Store.
    """
    store = MemoryPlatform()
    nothing = Expectation(COORDINATOR_KEY, MISSING_REVISION)
    await store.swap((nothing,), (Put(COORDINATOR_KEY, b'vm'),))
    assignments = (ShardAssignment(0, 65_535, 't1', 1, 1, True),)
    record = ShardRecord(SERVICE, 1, 1, assignments, hold)
    await store.swap(
        (), (Put(f'{SHARD_PREFIX}{SERVICE}', pack_record(record)),)
    )
    store.faults.extend(faults)
    return store


def make_coordinator(
    store: MemoryPlatform,
    hold: float,
    clock: StandingClock,
    epoch: int = EPOCH,
) -> ShardCoordinator:
    """Make the coordinator of a term.

    :param store: Store.
    :param hold: Hold of its own grants, in seconds.
    :param clock: Clock.
    :param epoch: Epoch of the term.
    :return: Coordinator that has not loaded the record.
    """
    machine = GrantStateMachine(SERVICE, epoch, hold, longest_hold=LONGEST_HOLD)
    role = SimpleNamespace(expectation=Expectation(COORDINATOR_KEY, EPOCH))
    return ShardCoordinator(
        machine,
        cast('Leadership', role),
        cast('PolledStore', store),
        clock,
        cast('StatementBook', None),
        cast('ReachTracker', None),
    )


def stored_hold(store: MemoryPlatform, key: str) -> float:
    """Return the hold that the stored record names, in seconds."""
    return unpack_record(store.values[key].value).hold


@pytest.mark.parametrize(
    ('recorded', 'lasting'),
    [(LONG_HOLD, LONG_HOLD), (SHORT_HOLD, SHORT_HOLD), (0, LONGEST_HOLD)],
)
async def test_keys_are_freed_before_a_longer_hold_of_an_earlier_term_ends(
    recorded: float, lasting: float
) -> None:
    """Settings of VMs differ, or a build stored no hold; its holds are unknown.

    Guards against bounding the holds of earlier terms by one's own setting.
    """
    machine = GrantStateMachine(
        SERVICE, EPOCH, SHORT_HOLD, longest_hold=LONGEST_HOLD
    )
    assignments = (ShardAssignment(0, 65_535, 't1', 1, 1, True),)
    record = ShardRecord(SERVICE, 1, 1, assignments, recorded)
    machine.restore(record, 100.0, 3.0)
    assert machine.shards[0].held_until == 103 + max_hold_time(lasting)
    assert machine.shards[0].delayed_grant_until == machine.shards[0].held_until


@pytest.mark.parametrize(
    ('recorded', 'own', 'expected'),
    [
        (SHORT_HOLD, LONG_HOLD, LONG_HOLD),
        (LONG_HOLD, SHORT_HOLD, LONG_HOLD),
        (LONG_HOLD, LONG_HOLD, LONG_HOLD),
        (0, LONG_HOLD, LONGEST_HOLD),
    ],
)
async def test_longest_hold_is_stored_before_keys_are_granted(
    recorded: float, own: float, expected: float
) -> None:
    """A record that names shorter holds is replaced when a term begins."""
    store = await make_store(recorded)
    coordinator = make_coordinator(store, own, StandingClock())
    before = store.values[coordinator.key].revision
    await coordinator.load()
    assert stored_hold(store, coordinator.key) == expected
    is_written = store.values[coordinator.key].revision > before
    assert is_written is (recorded < own)


async def test_no_keys_are_granted_if_their_hold_cannot_be_stored() -> None:
    """The term loads the record again later."""
    store = await make_store(SHORT_HOLD, SwapFault.LOST_BEFORE)
    coordinator = make_coordinator(store, LONG_HOLD, StandingClock())
    with pytest.raises(PlatformError):
        await coordinator.load()
    again = make_coordinator(store, LONG_HOLD, StandingClock())
    await again.load()
    assert stored_hold(store, again.key) == LONG_HOLD


@pytest.mark.parametrize(
    ('margin', 'expected'), [(-0.1, LONG_HOLD), (0.1, SHORT_HOLD)]
)
async def test_shorter_hold_is_stored_once_longer_ones_are_over(
    margin: float, expected: float
) -> None:
    """Until then the record names the longer hold of the earlier term."""
    store = await make_store(LONG_HOLD)
    clock = StandingClock()
    coordinator = make_coordinator(store, SHORT_HOLD, clock)
    await coordinator.load()
    clock.now += EARLIER_TERM_GRANT_WINDOW + max_hold_time(LONG_HOLD) + margin
    await coordinator.record_assignments([])
    assert stored_hold(store, coordinator.key) == expected


@pytest.mark.parametrize('recorded', [SHORT_HOLD, LONG_HOLD])
async def test_keys_are_freed_by_the_shorter_hold_of_a_restored_record(
    recorded: float,
) -> None:
    """A restore takes back the record of a longer hold, but no grants.

    Guards against a shorter wait than for the coordinator's own holds.
    """
    store = await make_store(recorded)
    clock = StandingClock()
    restored_epoch = make_position(1, EPOCH)
    coordinator = make_coordinator(store, LONG_HOLD, clock, restored_epoch)
    await coordinator.load()
    lasting = EARLIER_TERM_GRANT_WINDOW + max_hold_time(LONG_HOLD)
    shards = coordinator._state_machine.shards
    assert {one.held_until for one in shards} == {clock.now + lasting}


async def test_term_that_stored_no_hold_is_bounded_by_the_record() -> None:
    """A term of an earlier build wrote nothing after a later build.

    Guards against a shorter wait than for the coordinator's own holds, which
    are those of the other build too.
    """
    machine = GrantStateMachine(
        SERVICE, EPOCH, LONG_HOLD, longest_hold=LONGEST_HOLD
    )
    assignments = (ShardAssignment(0, 65_535, 't1', 1, 1, True),)
    machine.restore(
        ShardRecord(SERVICE, 1, 1, assignments, SHORT_HOLD), 100.0, 3.0
    )
    assert machine.shards[0].held_until == 103 + max_hold_time(LONG_HOLD)


async def test_keys_of_an_unreadable_record_are_freed_by_own_holds() -> None:
    """The build that stored it may grant keys for longer.

    Guards against bounding the holds of other builds by one's own setting.
    """
    store = await make_store(LONG_HOLD)
    clock = StandingClock()
    coordinator = make_coordinator(store, SHORT_HOLD, clock)
    await store.swap((), (Put(coordinator.key, b'unreadable'),))
    await coordinator.load()
    lasting = EARLIER_TERM_GRANT_WINDOW + max_hold_time(LONGEST_HOLD)
    shards = coordinator._state_machine.shards
    assert {one.held_until for one in shards} == {clock.now + lasting}
