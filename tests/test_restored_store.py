"""Store that is restored from a copy, as its clients see it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import pytest

from dogwoodmast.clock import SystemClock
from dogwoodmast.errors import (
    HistoryLost,
    OutdatedEra,
    PlatformAnswerLost,
    PlatformAnswerUnreadable,
    PlatformRefused,
)
from dogwoodmast.key_value import Expectation, Put
from dogwoodmast.platform.store import MetadataStore
from dogwoodmast.store_position import era_of
from fleet import free_addresses
from metadata_store import PAGE_SIZE, StoreContent, serving
from restoring_store import RestoringStore, StoreCopy, restorable

if TYPE_CHECKING:
    from collections.abc import Iterable

pytestmark = pytest.mark.anyio

OTHER_KEY = 'dogwoodmast/other'
"""Key that the VM writes."""


async def test_changes_of_an_earlier_era_are_not_followed() -> None:
    """The revision from which changes are read has been given out again.

    Guards against a copy that lacks what was written below that revision.
    """
    async with restorable() as (server, store):
        copy = StoreCopy.of(server.content)
        server.content.write([], [])
        snapshot = await store.read_prefix('')
        server.restore(copy)
        for _ in range(3):
            server.content.put_bytes('op/x', b'x')
        for _ in range(2):
            # The second one is not sent.
            with pytest.raises(HistoryLost):
                await store.read_changes('', snapshot.revision, 0, 1)
        assert sum('kv-watch' in one for one in server.calls) == 1
        again = await store.read_prefix('')
        assert again.revision > snapshot.revision
        page = await store.read_changes('', again.revision, 0, 1)
    assert page.revision == again.revision


@attrs.define(eq=False)
class RestoringBetweenPages(RestoringStore):
    """Store that is restored when the second page of a list is read."""

    copy: StoreCopy | None = attrs.field(default=None, kw_only=True)
    """Copy to return to, until it has."""

    def _read_range(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        if query['after'] and self.copy is not None:
            self.restore(self.copy)
            self.copy = None
        return super()._read_range(query)


async def test_list_that_spans_a_restore_is_read_anew() -> None:
    """Guards against a copy that mixes the content of two eras."""
    address = free_addresses(1)[0]
    server = RestoringBetweenPages(StoreContent())
    for number in range(PAGE_SIZE + 1):
        server.content.put_bytes(f'dogwoodmast/{number:04}', b'x')
    server.copy = StoreCopy.of(server.content)
    server.content.put_bytes('dogwoodmast/0000', b'lost')
    async with serving((server, address)):
        store = MetadataStore(address, SystemClock())
        snapshot = await store.read_prefix('')
        await store.aclose()
    assert len(snapshot.values) == PAGE_SIZE + 1
    assert snapshot.values[0].value == b'x'
    assert {era_of(one.revision) for one in snapshot.values} == {1}


async def test_lease_of_an_earlier_era_has_ended() -> None:
    """Its identifier is given out again, to another VM.

    Guards against acting on, renewing and revoking the lease of another.
    """
    async with restorable() as (server, store):
        copy = StoreCopy.of(server.content)
        lease = await store.grant_lease(3)
        server.restore(copy)
        other = await store.grant_lease(3)
        assert len(server.content.leases) == 1
        assert other != lease
        assert not await store.renew_lease(lease)
        await store.revoke_lease(lease)
        put = Put('dogwoodmast/x', b'x', lease)
        assert not (await store.swap((), (put,))).succeeded
        assert await store.renew_lease(other)
        assert not server.content.items


async def test_restored_lease_of_an_earlier_era_has_ended() -> None:
    """The copy has the lease too, and the client does not know the era yet."""
    async with restorable() as (server, store):
        lease = await store.grant_lease(3)
        server.restore(StoreCopy.of(server.content))
        assert not await store.renew_lease(lease)


async def test_write_of_an_earlier_era_counts_as_lost() -> None:
    """Its condition holds by chance, since revisions are given out again."""
    async with restorable() as (server, store):
        copy = StoreCopy.of(server.content)
        written = await store.swap((), (Put(OTHER_KEY, b'x'),))
        server.restore(copy)
        server.content.put_bytes(OTHER_KEY, b'another')
        expected = Expectation(OTHER_KEY, written.revision)
        with pytest.raises(PlatformAnswerLost):
            await store.swap((expected,), (Put(OTHER_KEY, b'y'),))
        later = await store.swap((expected,), (Put(OTHER_KEY, b'z'),))
        assert not later.succeeded


async def test_lease_that_is_not_known_refuses_a_write() -> None:
    """The store has lost the lease, and nobody has it again."""
    async with restorable() as (server, store):
        copy = StoreCopy.of(server.content)
        lease = await store.grant_lease(3)
        server.restore(copy)
        with pytest.raises(PlatformRefused):
            await store.swap((), (Put(OTHER_KEY, b'x', lease),))


async def test_responses_of_an_earlier_era_are_lost() -> None:
    """A connection may deliver a response late, or the era may fall."""
    async with restorable(b'3') as (server, store):
        await store.read('op/x')
        server.era = b'4'
        await store.read('op/x')
        server.era = b'3'
        for _ in range(2):
            with pytest.raises(OutdatedEra):
                await store.read('op/x')
        server.era = b'4'
        await store.read('op/x')


@pytest.mark.parametrize('era', [b'x', b'-1', b'1.5', b'9' * 40, b'1048576'])
async def test_era_that_is_no_number_makes_a_response_unreadable(
    era: bytes,
) -> None:
    """Nothing is lost once the store names its era again."""
    async with restorable(b'2') as (server, store):
        before = await store.read('op/x')
        server.era = era
        with pytest.raises(PlatformAnswerUnreadable):
            await store.read('op/x')
        server.era = b'2'
        assert await store.read('op/x') == before


async def read_eras(numbers: Iterable[bytes | None]) -> list[int]:
    """Read a key in several eras, and return the positions.

    :param numbers: Era that the store names at each read.
    :return: Positions that were read.
    """
    positions = []
    async with restorable() as (server, store):
        for number in numbers:
            server.era = number
            positions.append((await store.read('op/x')).revision)
    return positions


@pytest.mark.parametrize(
    'eras', [(None, b'1', b'2'), (b'0', b'1', b'2'), (b'5', b'6', b'9')]
)
async def test_positions_rise_with_each_era(
    eras: tuple[bytes | None, ...],
) -> None:
    """A store may count from 0, and begin to name its era with the first."""
    positions = await read_eras(eras)
    assert positions == sorted(set(positions))


async def test_store_that_names_no_era_has_plain_revisions() -> None:
    """Builds without eras and this one understand each other."""
    assert await read_eras((None, None)) == [10, 10]
