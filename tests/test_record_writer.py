"""Writes of shard records whose answers are lost, or that come late."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, cast

import attrs
import pytest

from dogwoodmast.direct.directory import COORDINATOR_KEY
from dogwoodmast.direct.messages import ShardAssignment, ShardRecord
from dogwoodmast.direct.record_writer import RecordWriter
from dogwoodmast.direct.shard_record import pack_record
from dogwoodmast.key_value import MISSING_REVISION, Delete, Expectation, Put
from memory_platform import MemoryPlatform, SwapFault

if TYPE_CHECKING:
    from dogwoodmast.direct.leadership import Leadership
    from dogwoodmast.key_value import PolledStore

pytestmark = pytest.mark.anyio

KEY = 'shards'
"""Key of the record."""


@attrs.define
class Term:
    """Term of a coordinator, with the condition that it is in office."""

    store: MemoryPlatform
    """Store."""
    epoch: int
    """Epoch, which is the revision of the coordinator's record."""

    @property
    def expectation(self) -> Expectation:
        """Condition that the term has not ended."""
        return Expectation(COORDINATOR_KEY, self.epoch)

    def writer(self) -> RecordWriter:
        """Make the writer of the term."""
        role = SimpleNamespace(expectation=self.expectation)
        return RecordWriter(
            KEY,
            self.epoch,
            cast('Leadership', role),
            cast('PolledStore', self.store),
        )

    def record(self, target: str, number: int = 1) -> ShardRecord:
        """Make a record.

        :param target: Target that all keys are assigned to.
        :param number: Version of the table.
        :return: Record of the term.
        """
        assignments = (ShardAssignment(0, 65_535, target, 1, 1, True),)
        return ShardRecord('balance', self.epoch, number, assignments, 6)


async def begin_term(store: MemoryPlatform) -> Term:
    """End the term before, if there is one, and begin another.

    :param store: Store.
    :return: Term.
    """
    await store.swap((), (Delete(COORDINATOR_KEY),))
    swap = await store.swap((), (Put(COORDINATOR_KEY, b'vm'),))
    return Term(store, swap.revision)


async def write_late(
    term: Term, record: ShardRecord, revision: int = MISSING_REVISION
) -> bool:
    """Execute a write that was sent earlier.

    :param term: Term that sent it.
    :param record: Record to store.
    :param revision: Revision that the write expects.
    :return: Whether its condition still held.
    """
    swap = await term.store.swap(
        (term.expectation, Expectation(KEY, revision)),
        (Put(KEY, pack_record(record)),),
    )
    return swap.succeeded


@pytest.mark.parametrize(
    ('fault', 'is_written'),
    [(SwapFault.LOST_AFTER, True), (SwapFault.LOST_BEFORE, False)],
)
async def test_record_counts_as_stored_only_if_it_is(
    fault: SwapFault, is_written: bool
) -> None:
    """The answer to the write is lost."""
    store = MemoryPlatform()
    term = await begin_term(store)
    writer = term.writer()
    store.faults.append(fault)
    assert await writer.try_write(term.record('t1')) is is_written
    assert await writer.try_write(term.record('t2', 2))


async def test_write_that_comes_late_replaces_no_later_one() -> None:
    """A write is executed after its retry, or right before it."""
    store = MemoryPlatform()
    term = await begin_term(store)
    writer = term.writer()
    store.faults.append(SwapFault.LOST_BEFORE)
    assert not await writer.try_write(term.record('t1'))
    assert await write_late(term, term.record('t1'))
    assert await writer.try_write(term.record('t1'))
    assert await writer.try_write(term.record('t2', 2))
    assert not await write_late(term, term.record('t1'))
    found = await writer.read()
    assert found is not None
    assert found.value == pack_record(term.record('t2', 2))


async def test_write_of_an_ended_term_is_not_executed_late() -> None:
    """The next coordinator has read the record before."""
    store = MemoryPlatform()
    ended = await begin_term(store)
    following = await begin_term(store)
    assert await following.writer().read() is None
    assert not await write_late(ended, ended.record('t1'))
    assert not await ended.writer().try_write(ended.record('t1'))


async def test_record_of_a_former_process_is_not_taken_for_ones_own() -> None:
    """The same VM assigned the same keys to the same target in another term."""
    store = MemoryPlatform()
    former = await begin_term(store)
    assert await former.writer().try_write(former.record('t1'))
    own = await begin_term(store)
    writer = own.writer()
    store.faults.append(SwapFault.LOST_BEFORE)
    assert not await writer.try_write(own.record('t1'))
    assert await writer.try_write(own.record('t1'))


async def test_record_that_another_term_replaced_is_not_confirmed() -> None:
    """A write was executed and its answer lost, and its term has ended.

    Guards against granting keys by a record that is no longer stored.
    """
    store = MemoryPlatform()
    ended = await begin_term(store)
    assert await write_late(ended, ended.record('t1'))
    revision = store.values[KEY].revision
    following = await begin_term(store)
    assert await write_late(following, following.record('t2'), revision)
    writer = ended.writer()
    await writer.read()
    assert not await writer.try_write(ended.record('t1'))
