"""Fleet of entry VMs that synchronise their copies on simulated time.

The modules are the real ones; store and links are simulated, with the faults of
single VMs that the platform contract allows.
"""

from __future__ import annotations

import enum
import random
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any, cast

import anyio
import attrs

from dogwoodmast._wire import decode, encode
from dogwoodmast.address import Address
from dogwoodmast.direct.directory import VM_PREFIX, Directory
from dogwoodmast.direct.directory_sync import DirectorySync, SyncDependencies
from dogwoodmast.direct.messages import VmRecord
from dogwoodmast.direct.source_selector import SourceSelector
from dogwoodmast.direct.sync_timing import SyncTiming
from dogwoodmast.errors import (
    LinkUnavailable,
    PlatformAnswerLost,
    PlatformRefused,
)
from dogwoodmast.key_value import Change, ChangePage, Snapshot, StoredValue
from dogwoodmast.message_handlers import MessageHandlers
from simulated_time import SimulatedClock

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from dogwoodmast.key_value import PolledStore
    from dogwoodmast.link_pool import LinkPool

STORE_LATENCY = 0.004
"""Time that a call to the store takes, in seconds, as the contract says."""
LINK_LATENCY = 0.001
"""One-way delay between two entry VMs, in seconds."""
SLOW_ANSWER_DELAY = 0.4
"""Delay of the answers of a slow VM, in seconds."""
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
    """Time in seconds of each call."""
    _changed: anyio.Event = attrs.field(factory=anyio.Event)

    def put(self, key: str, content: bytes) -> None:
        """Write a key; the write is acknowledged at once."""
        self.revision += 1
        self.values[key] = StoredValue(key, content, self.revision)
        self._append(Change(key, content, self.revision))

    def delete(self, key: str) -> None:
        """Delete a key."""
        self.revision += 1
        self.values.pop(key)
        self._append(Change(key, None, self.revision))

    async def changes_since(self, after: int, wait: float) -> ChangePage:
        """Return the changes after a revision, and wait for one if needed."""
        if self.revision <= after:
            with anyio.move_on_after(wait):
                await self._changed.wait()
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
    _handlers: MessageHandlers = attrs.field(init=False)
    _scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)

    def start(self, tasks: TaskGroup) -> None:
        """Start its process with an empty copy."""
        self.directory = Directory(lambda _key, _content: None)
        self._handlers = MessageHandlers()
        sync = DirectorySync(
            SourceSelector(self.record.name, self.record.zone),
            SyncDependencies(
                self.directory,
                cast('PolledStore', self),
                cast('LinkPool', self),
                SimulatedClock(),
            ),
            SyncTiming(self.fleet.bound),
        )
        sync.register(self._handlers)
        self._scope = anyio.CancelScope()
        tasks.start_soon(self._run, sync)

    async def _run(self, sync: DirectorySync) -> None:
        with self._scope:
            await sync.run()

    async def suffer(
        self, tasks: TaskGroup, fault: VmFault, seconds: float
    ) -> None:
        """Have a fault for some time."""
        self.fault = fault
        self.disturbed_until = float('inf')
        has_ended = fault in {VmFault.POWER, VmFault.PROCESS}
        if has_ended:
            self._scope.cancel()
        await anyio.sleep(seconds)
        self.fault = VmFault.NONE
        self.disturbed_until = anyio.current_time() + CONTACT_TIME
        if has_ended:
            self.start(tasks)

    async def call(self, address: Address, message: object) -> Any:
        """Send a message to another VM and return its answer."""
        peer = self.fleet.vms[address.port - 1]
        await anyio.sleep(LINK_LATENCY)
        if peer.fault is VmFault.PROCESS:
            raise LinkUnavailable(str(address))
        if peer.fault is VmFault.POWER:
            await anyio.sleep_forever()
        answer = await peer._handlers(cast('Any', None), _over_wire(message))
        delay = SLOW_ANSWER_DELAY if peer.fault is VmFault.SLOW else 0
        await anyio.sleep(LINK_LATENCY + delay)
        return _over_wire(answer)

    async def read_prefix(self, _prefix: str) -> Snapshot:
        """List the store."""
        await self._reach_store(1.5)
        store = self.fleet.store
        return Snapshot(store.revision, tuple(store.values.values()))

    async def read_changes(
        self, _prefix: str, after: int, wait: float, timeout: float
    ) -> ChangePage:
        """Read changes of the store."""
        await self._reach_store(wait + timeout)
        return await self.fleet.store.changes_since(after, wait)

    async def _reach_store(self, timeout: float) -> None:
        self.fleet.store.reads.append(anyio.current_time())
        await anyio.sleep(STORE_LATENCY)
        if self.fault is VmFault.STORE_SILENT:
            await anyio.sleep(timeout)
            raise PlatformAnswerLost('store')
        if self.fault is VmFault.STORE_REFUSES:
            raise PlatformRefused('store', 503)


@attrs.define(eq=False)
class SimulatedFleet:
    """Entry VMs of several zones with one store."""

    bound: float
    """Time within which each change has to reach each VM, in seconds."""
    vms: list[SimulatedVm] = attrs.field(factory=list)
    """All entry VMs; their ports are counted from 1."""
    store: SimulatedStore = attrs.field(factory=SimulatedStore)
    """Store of the fleet."""
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

    async def play(
        self, faults: list[tuple[float, int, VmFault, float]], seconds: float
    ) -> None:
        """Run all VMs under faults and check every change.

        :param faults: Start, VM, kind and duration of each fault, in seconds.
        :param seconds: Duration of the run.
        """
        async with AsyncExitStack() as stack:
            tasks = await stack.enter_async_context(anyio.create_task_group())
            stack.callback(tasks.cancel_scope.cancel)
            for vm in self.vms:
                vm.start(tasks)
            for start, number, fault, lasting in faults:
                tasks.start_soon(
                    self._inject, tasks, start, self.vms[number], fault, lasting
                )
            tasks.start_soon(self._change_and_check, tasks)
            await anyio.sleep(seconds)

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
