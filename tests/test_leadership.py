"""The coordinator's lease: won once, renewed, given up and lost."""

from __future__ import annotations

import attrs
import pytest

from dogwoodmast._wire import decode
from dogwoodmast.clock import ManualClock
from dogwoodmast.direct.leadership import LEASE_TTL, Leadership
from dogwoodmast.direct.messages import VmRecord
from dogwoodmast.errors import PlatformAnswerLost, PlatformUnavailable
from dogwoodmast.key_value import (
    ChangePage,
    Delete,
    Expectation,
    Put,
    Snapshot,
    StoredValue,
    SwapResult,
)

pytestmark = pytest.mark.anyio
RECORD = VmRecord('v1', 'a', '10.0.0.1:7000', 'i1')


@attrs.define(eq=False)
class OneKeyStore:
    """Store of the coordinator's key alone."""

    holder: StoredValue | None = None
    is_down: bool = False
    loses_answers: bool = False
    ended: list[int] = attrs.field(factory=list)

    async def read(self, _key: str) -> Snapshot:
        """Read the key."""
        return Snapshot(9, (self.holder,) if self.holder else ())

    async def read_prefix(self, _prefix: str) -> Snapshot:
        """Read the key."""
        return await self.read('')

    async def read_changes(
        self, _prefix: str, after: int, _wait: float
    ) -> ChangePage:
        """Tell of no change."""
        return ChangePage(after, ())

    async def swap(
        self,
        _expectations: tuple[Expectation, ...],
        writes: tuple[Put | Delete, ...],
    ) -> SwapResult:
        """Write the key if nobody has it."""
        if self.holder is not None:
            return SwapResult(succeeded=False, revision=9)
        put = writes[0]
        assert isinstance(put, Put)
        self.holder = StoredValue(put.key, put.value, 9, put.lease)
        if self.loses_answers:
            raise PlatformAnswerLost('store')
        return SwapResult(succeeded=True, revision=9)

    async def grant_lease(self, _ttl: int) -> int:
        """Give a lease."""
        return 7

    async def renew_lease(self, _lease: int) -> bool:
        """Renew a lease."""
        return not self.ended

    async def revoke_lease(self, lease: int) -> None:
        """End a lease."""
        if self.is_down:
            raise PlatformUnavailable('store')
        self.ended.append(lease)
        if self.holder is not None and self.holder.lease == lease:
            self.holder = None


async def won(store: OneKeyStore) -> tuple[Leadership, ManualClock]:
    """Win the role."""
    clock = ManualClock()
    leadership = Leadership(RECORD, store, clock)
    assert await leadership.campaign() is not None
    return leadership, clock


async def test_one_vm_wins() -> None:
    """The loser gives its lease back and may not act."""
    store = OneKeyStore()
    await won(store)
    other = Leadership(VmRecord('v2', 'a', 'x', 'i2'), store, ManualClock())
    assert await other.campaign() is None
    assert other.term is None
    assert store.ended == [7]


async def test_earlier_life_is_replaced_at_once() -> None:
    """The role does not wait for the lease of a process that has ended."""
    store = OneKeyStore()
    await won(store)
    record = attrs.evolve(RECORD, incarnation='i2')
    leadership = Leadership(record, store, ManualClock())
    assert await leadership.reclaim() is not None
    assert store.ended == [7]
    assert store.holder is not None
    assert decode('VmRecord', store.holder.value) == record


@pytest.mark.parametrize(
    'other',
    [
        attrs.evolve(RECORD, name='v2'),
        attrs.evolve(RECORD, links='10.0.0.2:7000'),
    ],
)
async def test_reign_of_another_vm_is_left_alone(other: VmRecord) -> None:
    """Nothing of it is ended, neither by name nor by address alone."""
    store = OneKeyStore()
    await won(store)
    leadership = Leadership(other, store, ManualClock())
    assert await leadership.reclaim() is None
    assert not store.ended
    assert store.holder is not None


async def test_lost_answer_is_read_again() -> None:
    """A record that was written counts, though its answer was lost."""
    leadership, _ = await won(OneKeyStore(loses_answers=True))
    assert leadership.term is not None
    assert leadership.term.epoch == 9


async def test_right_ends_before_the_lease() -> None:
    """Without a renewal it may not act once its lease might have ended."""
    leadership, clock = await won(OneKeyStore())
    clock.advance(LEASE_TTL)
    assert leadership.term is None


async def test_role_is_given_up_at_once() -> None:
    """A planned stop ends the lease, so that another VM can follow."""
    store = OneKeyStore()
    leadership, _ = await won(store)
    await leadership.resign()
    assert leadership.term is None
    assert store.ended == [7]


async def test_role_is_kept_while_nobody_can_take_it() -> None:
    """A stop while the store is away does not leave keys unrenewed."""
    store = OneKeyStore(is_down=True)
    leadership, clock = await won(store)
    await leadership.resign()
    assert leadership.term is not None
    clock.advance(LEASE_TTL)
    assert leadership.term is None
