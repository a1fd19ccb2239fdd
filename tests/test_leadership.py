"""Lease of the coordinator: acquisition, renewal, resignation and loss."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import attrs
import pytest

from dogwoodmast._wire import decode
from dogwoodmast.address import Address
from dogwoodmast.clock import ManualClock, SystemClock
from dogwoodmast.direct.json_client import (
    CALL_TIMEOUT,
    JsonClient,
    JsonResponse,
)
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
from dogwoodmast.platform.store import MetadataStore
from simulated_time import SimulatedClock, run_simulated

pytestmark = pytest.mark.anyio
RECORD = VmRecord('v1', 'a', '10.0.0.1:7000', 'i1')
"""Record of the entry VM under test."""


@attrs.define(eq=False)
class CoordinatorKeyStore:
    """Store that holds only the coordinator's key.

    The only lease has the identifier 7, and the key is written at revision 9.
    """

    holder: StoredValue | None = None
    """Value of the key, or ``None`` if there is no coordinator."""
    is_down: bool = False
    """Whether calls on leases fail because the store is unreachable."""
    loses_revocations: bool = False
    """Whether the answer to a revocation is lost before it takes effect."""
    during_revocation: Callable[[], None] | None = None
    """Called while a revocation is under way."""
    revocation_time: float = 0
    """Time that a revocation takes, in seconds."""
    loses_answers: bool = False
    """Whether the answer to a write is lost after it took effect."""
    revoked_leases: list[int] = attrs.field(factory=list)
    """Leases that were revoked."""
    executes_before: StoredValue | None = None
    """Value that an earlier write puts right before the next write."""
    renewals: int = 0
    """Number of renewals that were asked for."""
    answer_time: float = 0
    """Time that the answer to a renewal takes, in seconds."""
    silent_connections: int = 0
    """Number of idle connections on which renewals are lost."""

    async def read(self, _key: str) -> Snapshot:
        """Read the coordinator's key, whichever key is asked for.

        :return: Snapshot with at most one value.
        """
        return Snapshot(9, (self.holder,) if self.holder else ())

    @property
    def is_arriving(self) -> bool:
        """Whether a response has begun to arrive; they come whole here."""
        return False

    async def aclose(self) -> None:
        """Close the idle connections."""
        self.silent_connections = 0

    async def read_prefix(self, _prefix: str) -> Snapshot:
        """Read the coordinator's key, whichever prefix is asked for.

        :return: Snapshot with at most one value.
        """
        return await self.read('')

    async def read_changes(
        self, _prefix: str, after: int, _wait: float, _timeout: float
    ) -> ChangePage:
        """Report that nothing has changed.

        :param after: Revision after which changes are asked for.
        :return: Page without changes.
        """
        return ChangePage(after, ())

    async def swap(
        self,
        _expectations: tuple[Expectation, ...],
        writes: tuple[Put | Delete, ...],
    ) -> SwapResult:
        """Write the coordinator's key if it is not present.

        :param writes: A single put.
        :return: Whether the key was written.
        :raises PlatformAnswerLost: If ``loses_answers`` is set.
        """
        if self.executes_before is not None:
            self.holder = self.executes_before
            raise PlatformAnswerLost('store')
        if self.holder is not None:
            return SwapResult(succeeded=False, revision=9)
        put = writes[0]
        assert isinstance(put, Put)
        self.holder = StoredValue(put.key, put.value, 9, put.lease)
        if self.loses_answers:
            raise PlatformAnswerLost('store')
        return SwapResult(succeeded=True, revision=9)

    async def agree_on_eras(self) -> None:
        """Do nothing, since this store is never restored."""

    async def grant_lease(self, _ttl: int) -> int:
        """Grant the only lease.

        :return: Identifier of the lease.
        """
        return 7

    async def renew_lease(self, _lease: int) -> bool:
        """Renew the lease unless any lease was revoked.

        :return: Whether it was renewed.
        :raises PlatformUnavailable: If ``is_down`` is set.
        :raises PlatformAnswerLost: If the connection is silent.
        """
        self.renewals += 1
        if self.is_down:
            raise PlatformUnavailable('store')
        if self.silent_connections:
            await anyio.sleep(CALL_TIMEOUT)
            await self.aclose()
            raise PlatformAnswerLost('store')
        await anyio.sleep(self.answer_time)
        return not self.revoked_leases

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and delete the key if it is bound to it.

        :param lease: Lease to revoke.
        :raises PlatformUnavailable: If ``is_down`` is set.
        :raises PlatformAnswerLost: If ``loses_revocations`` is set.
        """
        await anyio.sleep(self.revocation_time)
        if self.is_down:
            raise PlatformUnavailable('store')
        if self.loses_revocations:
            raise PlatformAnswerLost('store')
        self.revoked_leases.append(lease)
        if self.holder is not None and self.holder.lease == lease:
            self.holder = None
        if self.during_revocation is not None:
            self.during_revocation()


async def win_role(
    store: CoordinatorKeyStore,
) -> tuple[Leadership, ManualClock]:
    """Let a candidate become the coordinator.

    :param store: Store without a coordinator.
    :return: The coordinator and its clock.
    """
    clock = ManualClock()
    leadership = Leadership(RECORD, store, clock)
    assert await leadership.campaign() is not None
    return leadership, clock


async def test_one_vm_wins() -> None:
    """The loser of a campaign has no term and revokes its lease.

    Guards against two coordinators that grant keys at the same time.
    """
    store = CoordinatorKeyStore()
    await win_role(store)
    rival = Leadership(VmRecord('v2', 'a', 'x', 'i2'), store, ManualClock())
    assert await rival.campaign() is None
    assert rival.term is None
    assert store.revoked_leases == [7]


async def test_term_of_an_earlier_incarnation_is_replaced() -> None:
    """A restarted coordinator replaces the term of its former process.

    Guards against waiting for the lease of a process that has ended, while no
    keys can be granted.
    """
    store = CoordinatorKeyStore()
    await win_role(store)
    record = attrs.evolve(RECORD, incarnation='i2')
    leadership = Leadership(record, store, ManualClock())
    assert await leadership.reclaim() is not None
    assert store.revoked_leases == [7]
    assert store.holder is not None
    assert decode('VmRecord', store.holder.value) == record


@pytest.mark.parametrize(
    'rival',
    [
        attrs.evolve(RECORD, name='v2'),
        attrs.evolve(RECORD, links='10.0.0.2:7000'),
    ],
)
async def test_term_of_another_vm_is_not_revoked(rival: VmRecord) -> None:
    """A VM does not revoke the term of another VM.

    The record of the other VM has the same name or the same address, but not
    both.  Guards against ending a term whose coordinator may be running.
    """
    store = CoordinatorKeyStore()
    await win_role(store)
    leadership = Leadership(rival, store, ManualClock())
    assert await leadership.reclaim() is None
    assert not store.revoked_leases
    assert store.holder is not None


async def test_record_is_read_after_a_lost_answer() -> None:
    """A campaign whose write took effect wins although its answer is lost.

    Guards against a coordinator's record in the store that no VM acts on.
    """
    leadership, _ = await win_role(CoordinatorKeyStore(loses_answers=True))
    assert leadership.term is not None
    assert leadership.term.epoch == 9


async def test_record_of_an_earlier_campaign_gives_no_term() -> None:
    """A record that is bound to another lease than the new one is no term.

    Guards against a coordinator that renews a lease which its record is not
    bound to, while another VM takes the role.
    """
    store = CoordinatorKeyStore(loses_answers=True)
    await win_role(store)
    assert store.holder is not None
    earlier = attrs.evolve(store.holder, lease=5)
    store.holder = None
    store.executes_before = earlier
    leadership = Leadership(RECORD, store, ManualClock())
    assert await leadership.campaign() is None
    assert leadership.term is None


async def test_term_ends_before_the_lease_expires() -> None:
    """Without renewals the term is over when the lease may have expired.

    Guards against a former coordinator that still acts after another VM has
    taken over.
    """
    leadership, clock = await win_role(CoordinatorKeyStore())
    clock.advance(LEASE_TTL)
    assert leadership.term is None


async def test_resignation_revokes_the_lease() -> None:
    """A planned stop revokes the lease at once.

    Guards against waiting for the lease to expire before another VM can take
    over.
    """
    store = CoordinatorKeyStore()
    leadership, _ = await win_role(store)
    await leadership.resign()
    assert leadership.term is None
    assert store.revoked_leases == [7]


async def test_term_continues_if_the_lease_cannot_be_revoked() -> None:
    """A coordinator that stops during an outage keeps its term.

    No other VM can take over while the store is down.  Guards against keys
    whose grants expire because nobody renews them.
    """
    store = CoordinatorKeyStore(is_down=True)
    leadership, clock = await win_role(store)
    await leadership.resign()
    assert leadership.term is not None
    clock.advance(LEASE_TTL)
    assert leadership.term is None


async def test_coordinator_that_resigns_acts_no_more() -> None:
    """Another VM may have the role before the store's answer is here."""
    store = CoordinatorKeyStore()
    leadership, _ = await win_role(store)
    assert leadership.may_act
    permissions = []
    store.during_revocation = lambda: permissions.append(leadership.may_act)
    await leadership.resign()
    assert permissions == [False]
    assert not leadership.may_act


async def test_unanswered_resignation_ends_when_the_lease_is_renewed() -> None:
    """A VM that cannot tell whether it resigned acts only by a later renewal.

    Guards against two coordinators, and against keys that nobody renews.
    """
    store = CoordinatorKeyStore(loses_revocations=True)
    leadership, clock = await win_role(store)
    clock.advance(0.5)
    await leadership.resign()
    assert leadership.term is not None
    assert not leadership.may_act
    clock.advance(0.1)
    assert await leadership.confirm(clock.monotonic())
    assert leadership.may_act


async def test_resignation_that_was_not_sent_leaves_the_term_as_it_was() -> (
    None
):
    """The keys are renewed while the store cannot be reached."""
    leadership, _ = await win_role(CoordinatorKeyStore(is_down=True))
    await leadership.resign()
    assert leadership.may_act


async def test_resignation_from_an_expired_term_ends_the_next_one() -> None:
    """Guards against a record that blocks others, and that nobody revokes."""
    store = CoordinatorKeyStore()
    leadership, clock = await win_role(store)
    clock.advance(LEASE_TTL)
    store.holder = None
    store.revocation_time = 0.01
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(leadership.resign)
        await anyio.sleep(store.revocation_time / 2)
        term = await leadership.campaign()
    assert term is not None
    assert leadership.term is term


async def test_two_resignations_that_were_not_sent_end_no_right() -> None:
    """A VM that stops while it resigns anyway goes on to renew keys."""
    store = CoordinatorKeyStore()
    leadership, _ = await win_role(store)
    store.revocation_time = 0.01
    store.is_down = True
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(leadership.resign)
        tasks.start_soon(leadership.resign)
    assert leadership.may_act


@pytest.mark.parametrize('status', [429, 503])
async def test_resignation_that_the_store_declines_ends_no_right(
    monkeypatch: pytest.MonkeyPatch, status: int
) -> None:
    """Keys are renewed while the store takes renewals but no writes."""

    async def call(_client: JsonClient, method: str, *_: object) -> object:
        if method == 'DELETE':
            return JsonResponse(status, [], b'{}')
        if method == 'GET':
            return JsonResponse(404, [], b'{}')
        return JsonResponse(200, [], b'{"lease": 7, "revision": 9}')

    monkeypatch.setattr(JsonClient, 'call', call)
    store = MetadataStore(Address('127.0.0.1', 1), SystemClock())
    clock = ManualClock()
    leadership = Leadership(RECORD, store, clock)
    await leadership.campaign()
    clock.advance(0.5)
    await leadership.resign()
    assert leadership.may_act


async def test_revoked_lease_is_found_out_by_a_confirmation() -> None:
    """A coordinator learns that the store has revoked its lease.

    Guards against grants to processes that have started since another VM became
    the coordinator.
    """
    store = CoordinatorKeyStore()
    leadership, clock = await win_role(store)
    clock.advance(1.0)
    await store.revoke_lease(7)
    assert leadership.term is not None
    assert not await leadership.confirm(clock.monotonic())
    assert leadership.term is None


async def test_term_is_not_confirmed_while_the_store_does_not_answer() -> None:
    """The term goes on without a confirmation."""
    store = CoordinatorKeyStore()
    leadership, clock = await win_role(store)
    clock.advance(1.0)
    store.is_down = True
    assert not await leadership.confirm(clock.monotonic())
    assert leadership.term is not None


@pytest.mark.parametrize('is_down', [False, True])
async def test_one_renewal_confirms_a_term_for_all_connections(
    is_down: bool,
) -> None:
    """Calls that start together cost the store one renewal, not one each."""
    store = CoordinatorKeyStore()
    leadership, clock = await win_role(store)
    store.is_down = is_down
    clock.advance(1.0)
    opened_at = clock.monotonic()
    confirmed: list[bool] = []

    async def confirm() -> None:
        confirmed.append(await leadership.confirm(opened_at))

    async with anyio.create_task_group() as tasks:
        for _ in range(9):
            tasks.start_soon(confirm)
    assert len(confirmed) == 9
    assert set(confirmed) == {not is_down}
    assert store.renewals == 1


async def test_confirmation_counts_as_a_renewal() -> None:
    """The term lasts as long as after any other renewal."""
    leadership, clock = await win_role(CoordinatorKeyStore())
    clock.advance(LEASE_TTL / 2)
    assert await leadership.confirm(clock.monotonic())
    clock.advance(LEASE_TTL / 2 + 0.5)
    assert leadership.term is not None


@pytest.mark.parametrize('answer_time', [0.005, 0.1, 0.4])
@pytest.mark.parametrize('silent_connections', [0, 1, 3])
def test_term_outlasts_a_renewal_that_is_lost(
    answer_time: float, silent_connections: int
) -> None:
    """Keys are not closed for a takeover when one answer of the store is lost.

    A calm store is not called more often than every 0.8 s.
    """
    store = CoordinatorKeyStore(answer_time=answer_time)

    async def run() -> None:
        leadership = Leadership(RECORD, store, SimulatedClock())
        term = await leadership.campaign()
        assert term is not None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(leadership.renew_until_lost, term)
            await anyio.sleep(60)
            assert store.renewals <= 60 / max(0.8, answer_time)
            store.silent_connections = silent_connections
            await anyio.sleep(2 * LEASE_TTL)
            assert leadership.term is term
            tasks.cancel_scope.cancel()

    run_simulated(run)


def test_term_is_confirmed_by_a_store_that_is_slow() -> None:
    """Grants on new connections go on while answers take 0.9 s."""

    async def run() -> bool:
        store = CoordinatorKeyStore(answer_time=0.9)
        clock = SimulatedClock()
        leadership = Leadership(RECORD, store, clock)
        await leadership.campaign()
        await anyio.sleep(0.1)
        return await leadership.confirm(clock.monotonic())

    assert run_simulated(run)
