"""Registrations of entry VMs that stop, or lapse in an outage of the store."""

from __future__ import annotations

import functools
import itertools
from typing import TYPE_CHECKING, cast

import anyio
import attrs
import pytest

from dogwoodmast._wire import encode
from dogwoodmast.clock import ManualClock
from dogwoodmast.direct.directory import RELIST_WINDOW, VM_PREFIX, Directory
from dogwoodmast.direct.messages import RateRequest, VmRecord
from dogwoodmast.direct.rate_keeper import SETTLING_TIME
from dogwoodmast.direct.rate_limiting import RateLimiting
from dogwoodmast.direct.retry_budget import RetryBudget
from dogwoodmast.direct.sync_timing import SyncTiming
from dogwoodmast.direct.vm_registration import (
    RENEWAL_INTERVAL,
    VmRegistration,
    is_list_certain,
)
from dogwoodmast.errors import (
    PlatformAnswerLost,
    PlatformRefused,
    PlatformUnavailable,
)
from dogwoodmast.key_value import (
    Change,
    ChangePage,
    Delete,
    Expectation,
    Put,
    Snapshot,
    StoredValue,
    SwapResult,
)
from dogwoodmast.platform.documents import decode_catalog_item
from simulated_time import run_simulated

if TYPE_CHECKING:
    from dogwoodmast.key_value import PolledStore
    from dogwoodmast.link_pool import LinkPool

RECORD = VmRecord('vm0', 'a', '127.0.0.1:1', 'i0')
"""Record of the VM."""
KEY = f'{VM_PREFIX}{RECORD.name}'
"""Key of its registration."""
LATENCY = 0.004
"""Time that a call to the store takes in each direction, in seconds."""
STOP_TIME = 5.6
"""Time from the stop signal to the end of the process, in seconds."""
CONFIG_APPLY_TIME = 2.0
"""Time within which VMs follow a change of the store, in seconds."""
VMS = tuple(attrs.evolve(RECORD, name=f'vm{one}') for one in range(12))
"""Records of the VMs of a fleet."""
LISTED = Snapshot(
    5, tuple(StoredValue(f'{VM_PREFIX}{vm.name}', encode(vm), 4) for vm in VMS)
)
"""Store in which all of them are registered."""
LAPSED = ChangePage(
    6, tuple(Change(f'{VM_PREFIX}{vm.name}', None, 6) for vm in VMS)
)
"""Changes by which no registration is left."""
OUTAGE_END = 30.0
"""Monotonic time at which the store answers again, in seconds."""


@attrs.define(eq=False)
class LeaseStore:
    """Store that knows registrations and the leases that they are bound to."""

    registered: dict[str, tuple[bytes, int]] = attrs.field(factory=dict)
    """Content and lease by key."""
    leases: dict[int, float] = attrs.field(factory=dict)
    """Time at which each lease expires, in seconds."""
    is_down: bool = False
    """Whether calls fail."""
    revision: int = 0
    """Revision of the latest change."""
    swap_delay: float = 0
    """Time after which writes are made whose answer is lost, in seconds."""
    _numbers: itertools.count[int] = attrs.field(
        factory=lambda: itertools.count(1)
    )

    def has(self, key: str) -> bool:
        """Tell whether a key is there, as its lease has not ended."""
        _, lease = self.registered.get(key, (b'', 0))
        return anyio.current_time() < self.leases.get(lease, 0)

    async def grant_lease(self, ttl: int) -> int:
        """Create a lease."""
        await self._reach()
        lease = next(self._numbers)
        self.leases[lease] = anyio.current_time() + ttl
        await anyio.sleep(LATENCY)
        return lease

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease."""
        await self._reach()
        stands = anyio.current_time() < self.leases.get(lease, 0)
        if stands:
            self.leases[lease] = anyio.current_time() + 12
        await anyio.sleep(LATENCY)
        return stands

    async def revoke_lease(self, lease: int) -> None:
        """End a lease."""
        await self._reach()
        self.leases.pop(lease, None)
        await anyio.sleep(LATENCY)

    async def swap(
        self,
        _expectations: tuple[Expectation, ...],
        writes: tuple[Put | Delete, ...],
    ) -> SwapResult:
        """Write a registration, or write it late without an answer."""
        await self._reach()
        write = writes[0]
        assert isinstance(write, Put)
        if self.swap_delay:
            with anyio.CancelScope(shield=True):
                await anyio.sleep(self.swap_delay)
                self._put(write)
            raise PlatformAnswerLost('store')
        if not self._put(write):
            raise PlatformRefused('store', 404)
        await anyio.sleep(LATENCY)
        return SwapResult(succeeded=True, revision=self.revision)

    def show(self, directory: Directory) -> None:
        """Bring a copy up to date."""
        values = tuple(
            StoredValue(key, content, self.revision)
            for key, (content, _) in self.registered.items()
            if self.has(key)
        )
        self.revision += 1
        snapshot = Snapshot(self.revision, values)
        directory.on_snapshot(snapshot, anyio.current_time())

    def _put(self, write: Put) -> bool:
        if write.lease in self.leases:
            self.revision += 1
            self.registered[write.key] = (write.value, write.lease)
        return write.lease in self.leases

    async def _reach(self) -> None:
        await anyio.sleep(LATENCY)
        if self.is_down:
            raise PlatformUnavailable('store')


async def watch_registration(store: LeaseStore) -> list[float]:
    """Watch a VM from its stop signal to the end of its process.

    :param store: The store.
    :return: Times after the signal at which it was registered, in seconds.
    """
    seen = []
    for step in range(int(STOP_TIME * 100)):
        if store.has(KEY):
            seen.append(step / 100)
        await anyio.sleep(0.01)
    return seen


def stop_after(seconds: float, store: LeaseStore, outage: float) -> list[float]:
    """Let a VM register, and stop it.

    :param seconds: Time from its start to the stop signal, in seconds.
    :param store: The store.
    :param outage: Time from the signal until the store answers, in seconds.
    :return: Times after the signal at which it was registered, in seconds.
    """

    async def run() -> list[float]:
        registration = VmRegistration(RECORD, cast('PolledStore', store))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(registration.run)
            await anyio.sleep(seconds)
            store.is_down = outage > 0
            tasks.start_soon(end_outage, store, outage)
            tasks.start_soon(registration.leave)
            seen = await watch_registration(store)
            tasks.cancel_scope.cancel()
        return seen

    return run_simulated(run)


async def end_outage(store: LeaseStore, after: float) -> None:
    """Let the store answer again.

    :param store: The store.
    :param after: Time until then, in seconds.
    """
    await anyio.sleep(after)
    store.is_down = False


@pytest.mark.parametrize('seconds', [0.006, 0.011, 0.014, 1, 3, 4.02, 7.9, 100])
@pytest.mark.parametrize('outage', [0, 0.5, 2])
def test_vm_that_stops_is_registered_no_longer(
    seconds: float, outage: float
) -> None:
    """Others would count it, and ask it for room and permits, after its end."""
    seen = stop_after(seconds, LeaseStore(), outage)
    assert max(seen, default=0) <= outage + CONFIG_APPLY_TIME


def test_registration_that_is_written_late_does_not_stand() -> None:
    """The store may make a write seconds after the VM has left."""
    seen = stop_after(0.1, LeaseStore(swap_delay=2.5), 0)
    assert not seen


def test_running_vm_is_registered_once_the_store_makes_its_write() -> None:
    """A lease that was granted does not tell that the record was written."""

    async def run() -> bool:
        store = LeaseStore()
        registration = VmRegistration(RECORD, cast('PolledStore', store))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(registration.run)
            await anyio.sleep(0.011)
            store.is_down = True
            await anyio.sleep(1)
            store.is_down = False
            await anyio.sleep(CONFIG_APPLY_TIME)
            is_listed = store.has(KEY)
            tasks.cancel_scope.cancel()
        return is_listed and store.registered[KEY][0] == encode(RECORD)

    assert run_simulated(run)


@pytest.mark.parametrize('life', [0.5, 12])
def test_late_write_of_an_earlier_process_ends_a_registration(
    life: float,
) -> None:
    """The record is that of the earlier one, and goes with its lease."""
    earlier = encode(attrs.evolve(RECORD, incarnation='i-1'))

    async def run() -> bool:
        store = LeaseStore()
        copy = Directory(decode_catalog_item)
        registration = VmRegistration(RECORD, cast('PolledStore', store), copy)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(registration.run)
            await anyio.sleep(1)
            store.leases[99] = anyio.current_time() + life
            store.registered[KEY] = (earlier, 99)
            for _ in range(int(RENEWAL_INTERVAL + CONFIG_APPLY_TIME)):
                await anyio.sleep(1)
                store.show(copy)
            is_listed = store.has(KEY)
            tasks.cancel_scope.cancel()
        return is_listed and store.registered[KEY][0] == encode(RECORD)

    assert run_simulated(run)


@pytest.fixture
def reader() -> Directory:
    """Make a copy that learns after an outage that all registrations lapsed.

    :return: Copy of a VM that reads the store.
    """
    made = Directory(decode_catalog_item)
    made.on_snapshot(LISTED, 1)
    made.on_outage(OUTAGE_END)
    made.on_changes(LAPSED, OUTAGE_END)
    return made


@pytest.fixture
def puller(reader: Directory) -> Directory:
    """Make a copy that has pulled these changes.

    :param reader: Copy that it pulls from.
    :return: Copy of a VM that does not read the store.
    """
    made = Directory(decode_catalog_item)
    made.on_snapshot(LISTED, 1)
    page = reader.page_since(5, OUTAGE_END)
    made.on_page(page, OUTAGE_END, OUTAGE_END, 5)
    return made


def test_vms_share_the_retry_budget_after_an_outage(
    reader: Directory, puller: Directory
) -> None:
    """VMs that run but are not registered again yet do not spend it each."""
    slack, spent = 20, 0
    for directory in (reader, puller) * (len(VMS) // 2):
        budget = RetryBudget(0, 4, slack)
        while budget.try_spend(len(directory.vms()), OUTAGE_END):
            spent += 1
    assert spent <= slack


def test_vms_that_do_not_come_back_count_no_longer(
    reader: Directory, puller: Directory
) -> None:
    """They have ended in the outage."""
    at = OUTAGE_END + RELIST_WINDOW
    reader.on_changes(ChangePage(7, ()), at)
    puller.on_page(reader.page_since(6, at), at, at, 6)
    assert not reader.vms()
    assert not puller.vms()


def test_keeper_without_a_registration_gives_a_stand_ins_permits() -> None:
    """VMs without the outage take another one for the keeper, which gives all.

    But some permits are given: targets with a limit are not left unserved.
    """
    given = []
    for vm in VMS:
        clock = ManualClock(OUTAGE_END - SETTLING_TIME * 2)
        directory = Directory(decode_catalog_item)
        directory.on_snapshot(LISTED, clock.monotonic())
        links = cast('LinkPool', None)
        timing = SyncTiming(CONFIG_APPLY_TIME)
        rates = RateLimiting(vm.name, directory, links, clock, timing)
        rates.check_list = functools.partial(is_list_certain, directory)
        rates.refresh()
        clock.advance(SETTLING_TIME * 2)
        directory.on_outage(OUTAGE_END)
        directory.on_changes(LAPSED, OUTAGE_END)
        rates.refresh()
        given.append(count_permits(rates))
    assert sorted(given)[-2:] == [1, 1]


def count_permits(rates: RateLimiting) -> int:
    """Count the permits that a VM gives at once.

    :param rates: Its parts.
    :return: Number of permits for a target with a limit of 10 a second.
    """
    request = RateRequest('t', 1, 0, 10, 0, 0)
    count = 0
    while rates.keeper.on_request(request).is_permitted:
        count += 1
    return count
