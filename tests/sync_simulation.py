"""Fleet of entry VMs that synchronise their copies on simulated time.

The modules are the real ones; store and links are simulated, with the faults of
single VMs that the platform contract allows.
"""

from __future__ import annotations

import enum
import random
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any, cast

import anyio
import attrs

from dogwoodmast._wire import decode, encode
from dogwoodmast.address import Address
from dogwoodmast.direct.catalog import RouteTable
from dogwoodmast.direct.coordinator import Coordinator, CoordinatorDependencies
from dogwoodmast.direct.copy_freshness import CopyFreshness
from dogwoodmast.direct.directory import COORDINATOR_KEY, VM_PREFIX, Directory
from dogwoodmast.direct.directory_sync import DirectorySync, SyncDependencies
from dogwoodmast.direct.json_client import CALL_TIMEOUT
from dogwoodmast.direct.leadership import Leadership
from dogwoodmast.direct.messages import VmRecord
from dogwoodmast.direct.shard_view import LoadReporter, ShardView
from dogwoodmast.direct.source_selector import SourceSelector
from dogwoodmast.direct.sync_timing import SyncTiming
from dogwoodmast.direct.target_set import TargetSet
from dogwoodmast.errors import (
    HistoryLost,
    LinkUnavailable,
    PlatformAnswerLost,
    PlatformRefused,
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
from dogwoodmast.message_handlers import MessageHandlers
from simulated_time import SimulatedClock

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from anyio.abc import TaskGroup

    from dogwoodmast.key_value import PolledStore
    from dogwoodmast.link_pool import LinkPool

STORE_LATENCY = 0.004
"""Time that a call to the store takes, in seconds, as the contract says."""
LINK_LATENCY = 0.001
"""One-way delay between two entry VMs, in seconds."""
SLOW_ANSWER_DELAY = 0.4
"""Delay of the answers of a slow VM, in seconds."""
SLOW_STORE_DELAY = 0.9
"""Delay of the answers of a slow store, in seconds; longer than the first time
limit of a read."""
MEASURING_INTERVAL = 0.01
"""Resolution of measured delays, in seconds."""
RETRANSMISSION_TIME = 0.2
"""Delay of a message of which a packet was lost, in seconds; it doubles with
each further loss."""
CONTACT_TIME = 3.0
"""Time after the end of a fault from which a VM has to keep the bound again,
in seconds, as the contract says."""


class VmFault(enum.Enum):
    """Fault of one entry VM."""

    NONE = 'none'
    POWER = 'power'
    """It is gone without a reset, and starts anew at the end."""
    PROCESS = 'process'
    """Its process has ended, and starts anew at the end."""
    SLOW = 'slow'
    """It answers late."""
    STORE_SILENT = 'store-silent'
    """The store does not answer it."""
    STORE_REFUSES = 'store-refuses'
    """The store refuses its calls."""
    STORE_SLOW = 'store-slow'
    """The store answers its calls late."""
    CUT = 'cut'
    """It reaches neither the store nor other VMs."""


@attrs.define
class Disturbance:
    """What goes wrong at all VMs now."""

    answer_loss: float = 0
    """Share of calls to the store that are not answered."""
    store_delay: float = 0
    """Time that the store takes longer for an answer, in seconds."""
    packet_loss: float = 0
    """Share of messages between VMs that are sent again."""


@attrs.define(eq=False)
class SimulatedStore:
    """Content and change history of the store."""

    revision: int = 1
    """Revision of the latest change."""
    values: dict[str, StoredValue] = attrs.field(factory=dict)
    """Values by key."""
    changes: list[Change] = attrs.field(factory=list)
    """All changes so far."""
    written: list[tuple[int, float]] = attrs.field(factory=list)
    """Revision and time in seconds of each acknowledged write."""
    reads: list[float] = attrs.field(factory=list)
    """Time in seconds of each read of changes and each listing."""
    forgotten_until: int = 0
    """Revision up to which the history of changes is lost."""
    is_mute: bool = False
    """Whether those who wait for changes are not told of them."""
    _changed: anyio.Event = attrs.field(factory=anyio.Event)

    def put(self, key: str, content: bytes, lease: int = 0) -> None:
        """Write a key; the write is acknowledged at once."""
        self.revision += 1
        self.values[key] = StoredValue(key, content, self.revision, lease)
        self._append(Change(key, content, self.revision))

    def delete(self, key: str) -> None:
        """Delete a key."""
        self.revision += 1
        self.values.pop(key)
        self._append(Change(key, None, self.revision))

    def swap(
        self,
        expectations: tuple[Expectation, ...],
        writes: tuple[Put | Delete, ...],
    ) -> SwapResult:
        """Write keys if every expectation holds."""
        for one in expectations:
            found = self.values.get(one.key)
            revision = found.revision if found else 0
            if revision != one.revision:
                return SwapResult(succeeded=False, revision=self.revision)
        for write in writes:
            if isinstance(write, Put):
                self.put(write.key, write.value, write.lease)
            else:
                self.delete(write.key)
        return SwapResult(succeeded=True, revision=self.revision)

    def revoke(self, lease: int) -> None:
        """Delete the keys that are bound to a lease."""
        for key, found in tuple(self.values.items()):
            if found.lease == lease:
                self.delete(key)

    async def changes_since(self, after: int, wait: float) -> ChangePage:
        """Return the changes after a revision, and wait for one if needed."""
        if after < self.forgotten_until:
            raise HistoryLost(after)
        if self.is_mute:
            await anyio.sleep(wait)
            return ChangePage(after, ())
        if self.revision <= after:
            with anyio.move_on_after(wait):
                await self._changed.wait()
        if self.is_mute:
            return ChangePage(after, ())
        found = tuple(one for one in self.changes if one.revision > after)
        return ChangePage(self.revision, found)

    def _append(self, change: Change) -> None:
        self.changes.append(change)
        self.written.append((change.revision, anyio.current_time()))
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()


@attrs.define(eq=False)
class SimulatedVm:
    """One entry VM with its own access to store and links."""

    fleet: SimulatedFleet
    """Fleet that it belongs to."""
    record: VmRecord
    """Its record in the store."""
    fault: VmFault = VmFault.NONE
    """Fault that it has now."""
    disturbed_until: float = 0
    """Time in seconds until which it need not keep the bound."""
    directory: Directory = attrs.field(init=False)
    """Its copy of the store."""
    view: ShardView = attrs.field(init=False)
    """Its shard tables."""
    sent_bytes: int = 0
    """Bytes of the messages that it has sent."""
    _link_free_at: float = 0
    _handlers: MessageHandlers = attrs.field(init=False)
    _scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)

    @property
    def version_in_force(self) -> int:
        """Version of the configuration that it uses; 0 before the first."""
        table = self.directory.route_table
        return table.version if table else 0

    def start(self, tasks: TaskGroup) -> None:
        """Start its process with an empty copy."""
        self.directory = Directory(self.fleet.decode_item)
        self.view = ShardView()
        self._handlers = MessageHandlers()
        sync = self.make_sync(self.directory, self.view)
        reporter = LoadReporter(
            self.record.name,
            self.view,
            TargetSet(self.record.zone, SimulatedClock()),
            self.directory,
            cast('LinkPool', self),
            lambda: sync.reads_store,
        )
        coordinator = self._make_coordinator()
        self._scope = anyio.CancelScope()
        for part in (sync, reporter, coordinator):
            part.register(self._handlers)
        tasks.start_soon(self._run, sync, reporter, coordinator)

    def make_sync(self, directory: Directory, view: ShardView) -> DirectorySync:
        """Make the synchronisation of a copy.

        :param directory: Copy of the store.
        :param view: Shard tables.
        :return: Synchronisation with its own access to store and links.
        """
        timing = SyncTiming(self.fleet.bound)
        clock = SimulatedClock()
        return DirectorySync(
            SourceSelector(
                self.record.name,
                self.record.zone,
                timing,
                random.Random(self.record.name),
            ),
            SyncDependencies(
                directory,
                view,
                cast('PolledStore', self),
                cast('LinkPool', self),
                clock,
                CopyFreshness(directory, clock, timing),
            ),
            timing,
        )

    def _make_coordinator(self) -> Coordinator:
        store = cast('PolledStore', self)
        clock = SimulatedClock()
        dependencies = CoordinatorDependencies(
            self.record,
            self.directory,
            store,
            cast('LinkPool', self),
            clock,
            longest_hold=10,
        )
        leadership = Leadership(self.record, store, clock)
        return Coordinator(dependencies, leadership)

    async def _run(
        self, *parts: DirectorySync | LoadReporter | Coordinator
    ) -> None:
        with self._scope:
            async with anyio.create_task_group() as tasks:
                for part in parts:
                    tasks.start_soon(part.run)

    def stop(self) -> None:
        """End its process."""
        self._scope.cancel()

    async def suffer(
        self, tasks: TaskGroup, fault: VmFault, seconds: float
    ) -> None:
        """Have a fault for some time."""
        self.fault = fault
        self.disturbed_until = float('inf')
        has_ended = fault in {VmFault.POWER, VmFault.PROCESS}
        if has_ended:
            self.stop()
        await anyio.sleep(seconds)
        self.fault = VmFault.NONE
        self.disturbed_until = anyio.current_time() + CONTACT_TIME
        if has_ended:
            self.start(tasks)

    async def call(self, address: Address, message: object) -> Any:
        """Send a message to another VM and return its answer."""
        peer = self.fleet.vms[address.port - 1]
        if VmFault.CUT in {self.fault, peer.fault}:
            await anyio.sleep_forever()
        await self._transmit(message)
        await anyio.sleep(LINK_LATENCY + self.fleet.draw_resend_delay())
        if peer.fault is VmFault.PROCESS:
            raise LinkUnavailable(str(address))
        if peer.fault is VmFault.POWER:
            await anyio.sleep_forever()
        answer = await peer._handlers(cast('Any', None), _over_wire(message))
        await peer._transmit(answer)
        delay = SLOW_ANSWER_DELAY if peer.fault is VmFault.SLOW else 0
        await anyio.sleep(LINK_LATENCY + delay + self.fleet.draw_resend_delay())
        return _over_wire(answer)

    async def _transmit(self, message: object) -> None:
        """Wait until a message has left over this VM's link."""
        size = len(encode(message))
        self.sent_bytes += size
        now = anyio.current_time()
        self._link_free_at = (
            max(now, self._link_free_at) + size / self.fleet.link_rate
        )
        await anyio.sleep(self._link_free_at - now)

    @property
    def is_arriving(self) -> bool:
        """Whether a response has begun to arrive; they come whole here."""
        return False

    async def aclose(self) -> None:
        """Close idle connections, of which there are none."""

    async def read(self, key: str) -> Snapshot:
        """Read one key."""
        await self._reach_store(CALL_TIMEOUT)
        store = self.fleet.store
        found = store.values.get(key)
        return Snapshot(store.revision, (found,) if found else ())

    async def swap(
        self,
        expectations: tuple[Expectation, ...],
        writes: tuple[Put | Delete, ...],
    ) -> SwapResult:
        """Write keys if every expectation holds."""
        await self._reach_store(CALL_TIMEOUT)
        return self.fleet.store.swap(expectations, writes)

    async def agree_on_eras(self) -> None:
        """Do nothing, since this store is never restored."""

    async def grant_lease(self, _ttl: int) -> int:
        """Create a lease, which ends only when it is revoked."""
        await self._reach_store(CALL_TIMEOUT)
        self.fleet.last_lease += 1
        return self.fleet.last_lease

    async def renew_lease(self, _lease: int) -> bool:
        """Renew a lease."""
        await self._reach_store(CALL_TIMEOUT)
        return True

    async def revoke_lease(self, lease: int) -> None:
        """End a lease."""
        await self._reach_store(CALL_TIMEOUT)
        self.fleet.store.revoke(lease)

    async def read_prefix(self, _prefix: str) -> Snapshot:
        """List the store."""
        self.fleet.store.reads.append(anyio.current_time())
        await self._reach_store(CALL_TIMEOUT)
        store = self.fleet.store
        return Snapshot(store.revision, tuple(store.values.values()))

    async def read_changes(
        self, _prefix: str, after: int, wait: float, timeout: float
    ) -> ChangePage:
        """Read changes of the store."""
        self.fleet.store.reads.append(anyio.current_time())
        await self._reach_store(wait + timeout)
        return await self.fleet.store.changes_since(after, wait)

    async def _reach_store(self, timeout: float) -> None:
        await anyio.sleep(STORE_LATENCY)
        if self.fault in {VmFault.STORE_SILENT, VmFault.CUT}:
            await anyio.sleep(timeout)
            raise PlatformAnswerLost('store')
        if self.fault is VmFault.STORE_REFUSES:
            raise PlatformRefused('store', 503)
        if self.fault is VmFault.STORE_SLOW:
            await anyio.sleep(min(SLOW_STORE_DELAY, timeout))
            if timeout < SLOW_STORE_DELAY:
                raise PlatformAnswerLost('store')
        disturbance = self.fleet.disturbance
        if self.fleet.draw.random() < disturbance.answer_loss:
            await anyio.sleep(timeout)
            raise PlatformAnswerLost('store')
        await anyio.sleep(disturbance.store_delay)


@attrs.define(eq=False)
class SimulatedFleet:
    """Entry VMs of several zones with one store."""

    bound: float
    """Time within which each change has to reach each VM, in seconds."""
    vms: list[SimulatedVm] = attrs.field(factory=list)
    """All entry VMs; their ports are counted from 1."""
    configuration: RouteTable | None = None
    """Decoded value of the key ``op/config``."""
    store: SimulatedStore = attrs.field(factory=SimulatedStore)
    """Store of the fleet."""
    last_lease: int = 0
    """Number of the latest lease."""
    link_rate: float = float('inf')
    """What the link of each VM carries, in bytes a second."""
    disturbance: Disturbance = attrs.field(factory=Disturbance)
    """What goes wrong at all VMs now."""
    draw: random.Random = attrs.field(factory=lambda: random.Random(1))
    """Source of the losses."""
    late: list[tuple[str, int]] = attrs.field(factory=list)
    """VM and revision of each change that came later than the bound."""

    def add_vms(self, zones: int, per_zone: int) -> None:
        """Add entry VMs and register them in the store."""
        for number in range(zones * per_zone):
            zone = f'z{number % zones}'
            name = f'vm-{number // zones:03}-{zone}'
            links = str(Address('10.0.0.1', number + 1))
            record = VmRecord(name, zone, links, 'i')
            self.vms.append(SimulatedVm(self, record))
            self.store.put(f'{VM_PREFIX}{name}', encode(record))

    @property
    def epoch(self) -> int:
        """Epoch of the current term; 0 if there is no coordinator."""
        found = self.store.values.get(COORDINATOR_KEY)
        return found.revision if found else 0

    def decode_item(self, key: str, _content: bytes) -> RouteTable | None:
        """Decode a document of the operator.

        :param key: Key of the document.
        :return: Configuration of the fleet, if the key is the operator's.
        """
        return self.configuration if key == 'op/config' else None

    def coordinator(self) -> SimulatedVm | None:
        """Return the VM that has the coordinator role, if any."""
        found = self.store.values.get(COORDINATOR_KEY)
        if found is None:
            return None
        return next(vm for vm in self.vms if encode(vm.record) == found.value)

    @asynccontextmanager
    async def running(self) -> AsyncIterator[TaskGroup]:
        """Run all VMs until the block ends."""
        async with anyio.create_task_group() as tasks:
            for vm in self.vms:
                vm.start(tasks)
            yield tasks
            tasks.cancel_scope.cancel()

    async def play(
        self, faults: list[tuple[float, int, VmFault, float]], seconds: float
    ) -> None:
        """Run all VMs under faults and check every change.

        :param faults: Start, VM, kind and duration of each fault, in seconds.
        :param seconds: Duration of the run.
        """
        async with self.running() as tasks:
            for start, number, fault, lasting in faults:
                tasks.start_soon(
                    self._inject, tasks, start, self.vms[number], fault, lasting
                )
            tasks.start_soon(self._change_and_check, tasks)
            await anyio.sleep(seconds)

    def draw_resend_delay(self) -> float:
        """Draw by how much a message between VMs is late.

        :return: Delay in seconds, 0 if no packet of it is lost.
        """
        delay: float = 0
        wait = RETRANSMISSION_TIME
        while self.draw.random() < self.disturbance.packet_loss:
            delay += wait
            wait *= 2
        return delay

    def set_fault(
        self, fault: VmFault, vms: Sequence[SimulatedVm] | None = None
    ) -> None:
        """Give VMs a fault that ends no process.

        :param fault: Fault that they have from now on.
        :param vms: Entry VMs; all if they are not named.
        """
        for vm in self.vms if vms is None else vms:
            vm.fault = fault

    async def measure_delay(self) -> float:
        """Change a key and wait until all VMs have the change.

        :return: Time until the last VM had it, in seconds.
        """
        self.store.put('op/config', b'%d' % self.store.revision)
        return await self.await_revision(self.store.revision, self.vms)

    async def await_revision(
        self, revision: int, vms: Sequence[SimulatedVm]
    ) -> float:
        """Wait until VMs have a revision of the store.

        :param revision: Revision of the store.
        :param vms: Entry VMs.
        :return: Time until the last of them had it, in seconds.
        """
        started_at = anyio.current_time()
        while any(vm.directory.revision < revision for vm in vms):
            await anyio.sleep(MEASURING_INTERVAL)
        return anyio.current_time() - started_at

    async def _inject(
        self,
        tasks: TaskGroup,
        start: float,
        vm: SimulatedVm,
        fault: VmFault,
        lasting: float,
    ) -> None:
        await anyio.sleep(start)
        await vm.suffer(tasks, fault, lasting)

    async def _change_and_check(self, tasks: TaskGroup) -> None:
        pauses = random.Random(1)
        await anyio.sleep(CONTACT_TIME)
        while True:
            self.store.put('op/config', b'%d' % self.store.revision)
            tasks.start_soon(self._check, self.store.revision)
            await anyio.sleep(pauses.choice((0.05, 0.3, 0.9, 2.7)))

    async def _check(self, revision: int) -> None:
        await anyio.sleep(self.bound)
        now = anyio.current_time()
        self.late.extend(
            (vm.record.name, revision)
            for vm in self.vms
            if now >= vm.disturbed_until and vm.directory.revision < revision
        )


def _over_wire(message: object) -> object:
    return decode(type(message).__name__, encode(message))
