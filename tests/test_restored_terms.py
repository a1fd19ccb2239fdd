"""Fencing tokens of terms before and after a restore of the store."""

from __future__ import annotations

import pytest

from dogwoodmast.address import Address
from dogwoodmast.clock import SystemClock
from dogwoodmast.direct.fence_counter import FENCES_PER_EPOCH, FenceCounter
from dogwoodmast.direct.json_client import JsonClient, JsonResponse
from dogwoodmast.direct.leadership import CoordinatorTerm, Leadership
from dogwoodmast.direct.messages import VmRecord
from dogwoodmast.errors import FencesUsedUp
from dogwoodmast.platform.store import MetadataStore
from dogwoodmast.store_position import era_of, make_position
from restoring_store import RestoringStore, StoreCopy, restorable

pytestmark = pytest.mark.anyio

RECORD = VmRecord('v1', 'a', '10.0.0.1:7000', 'i1')
"""Record of the VM."""
GREATEST_EXACT = 9_007_199_254_740_992
"""Greatest whole number up to which JSON numbers are exact: 2 ** 53."""


async def begin_term(store: MetadataStore) -> CoordinatorTerm:
    """Let the VM become the coordinator.

    :param store: Client of the store.
    :return: Its term.
    """
    term = await Leadership(RECORD, store, SystemClock()).campaign()
    assert term is not None
    return term


def end_terms(server: RestoringStore) -> None:
    """Revoke all leases.

    :param server: Store.
    """
    for lease in tuple(server.content.leases):
        server.content.revoke_lease(lease)


@pytest.mark.parametrize('era', [b'1', b'7', b'0', None])
async def test_term_after_a_restore_has_higher_tokens(
    era: bytes | None,
) -> None:
    """Terms follow each other in eras that give the same revisions out.

    Guards against tokens that targets refuse, or that are lower than those of
    a holder whose term the copy does not know.
    """
    async with restorable(era) as (server, store):
        empty = StoreCopy.of(server.content)
        highest = 0
        for drill in range(3):
            for _ in range(200 - 60 * drill):
                server.content.write([], [])
            counter = FenceCounter((await begin_term(store)).epoch)
            first = counter.take()
            assert first > highest
            counter = FenceCounter(counter.epoch, FENCES_PER_EPOCH - 1)
            highest = counter.take()
            assert highest <= GREATEST_EXACT
            server.restore(empty)


@pytest.mark.parametrize('era', [b'0', b'1', None])
async def test_vm_that_starts_after_a_restore_gives_low_tokens(
    era: bytes | None,
) -> None:
    """It becomes the coordinator beside VMs that know the era before.

    Guards against eras that VMs count from different numbers.
    """
    async with restorable(era) as (server, store):
        await begin_term(store)
        copy = StoreCopy.of(server.content)
        server.content.write([], [])
        end_terms(server)
        highest = FenceCounter((await begin_term(store)).epoch).take()
        server.restore(copy)
        end_terms(server)
        started = MetadataStore(store._http.address, SystemClock())
        try:
            later = await begin_term(started)
        finally:
            await started.aclose()
        assert era_of(later.epoch) == 1
        assert FenceCounter(later.epoch).take() > highest


async def test_tokens_are_those_of_builds_without_eras_before_a_restore() -> (
    None
):
    """Old and new builds follow each other as coordinators in an upgrade."""
    async with restorable() as (server, store):
        epoch = (await begin_term(store)).epoch
        written_at = server.content.revision
    assert epoch == written_at
    assert FenceCounter(epoch).take() == written_at * FENCES_PER_EPOCH + 1


@pytest.mark.parametrize('era', [0, 1, 4_000])
async def test_no_term_begins_with_tokens_that_are_not_exact(
    monkeypatch: pytest.MonkeyPatch, era: int
) -> None:
    """Two tokens that differ must not be equal once a target has read them."""
    revision = 2**33 - era * 2**20

    async def call(_client: object, method: str, *_: object) -> JsonResponse:
        headers = [(b'store-era', b'%d' % (era + 1))]
        if method == 'GET':
            return JsonResponse(404, headers, b'{}')
        content = b'{"lease": 7, "revision": %d}' % revision
        return JsonResponse(200, headers, content)

    monkeypatch.setattr(JsonClient, 'call', call)
    store = MetadataStore(Address('127.0.0.1', 1), SystemClock())
    store._eras._first_number = 1
    with pytest.raises(FencesUsedUp):
        await begin_term(store)
    revision -= 1
    assert (await begin_term(store)).epoch == make_position(era, revision)


@pytest.mark.parametrize('era', [b'0', b'1', None])
async def test_copy_from_before_the_first_term_makes_a_new_vm_give_low_tokens(
    era: bytes | None,
) -> None:
    """The copy lacks the number from which the eras are counted."""
    async with restorable(era) as (server, store):
        copy = StoreCopy.of(server.content)
        for _ in range(9):
            server.content.write([], [])
        highest = FenceCounter((await begin_term(store)).epoch).take()
        server.restore(copy)
        end_terms(server)
        started = MetadataStore(store._http.address, SystemClock())
        try:
            later = await begin_term(started)
        finally:
            await started.aclose()
        assert FenceCounter(later.epoch).take() > highest
