"""A small deployment: a store, targets, callers and entry VMs."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import tempfile
import time
from typing import TYPE_CHECKING, Any

import attrs

from dogwoodmast.address import Address
from harness.callers import HOST, Callers
from harness.holds import HoldLog
from harness.processes import EntryVm, free_address, running
from harness.store import DrillStore
from harness.target import RecordingTarget, Run
from metadata_store import StoreContent, serving

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator, Callable


ZONES = ('plateau', 'pikine', 'almadies')
HEARTBEAT = 0.87
"""Pause between two heartbeats of a target, in seconds."""
SLOTS = 6
"""Slots of each target."""


def make_configuration(version: int) -> dict[str, Any]:
    """Make a configuration with a keyed and a plain service.

    :param version: Version number.
    :return: Document that the operator writes.
    """
    common = {
        'host': HOST,
        'timeout_s': 1.5,
        'objective_s': 0.5,
        'priority': 1,
        'max_attempts': 2,
    }
    routes = [
        {
            'name': 'balance',
            'prefix': '/balance/',
            'type': 'idempotent',
            'service': 'solde',
            **common,
        },
        {
            'name': 'payment',
            'prefix': '/payment/',
            'type': 'non_idempotent',
            'service': 'paiement',
            **common,
        },
    ]
    return {
        'version': f'{version:08x}',
        'routes': routes,
        'services': [
            {'name': 'solde', 'sharded': True, 'max_conns': 130},
            {'name': 'paiement', 'max_conns': 130},
        ],
        'limits': {
            'max_header_bytes': 16_384,
            'max_body_bytes': 100_000,
            'header_timeout_s': 3,
            'idle_timeout_s': 15,
        },
    }


@attrs.define(eq=False)
class Deployment:
    """Running deployment."""

    folder: pathlib.Path
    """Temporary folder."""
    content: StoreContent
    """Content of the store."""
    store: DrillStore
    """Server of the store."""
    vms: list[EntryVm]
    """Entry VMs."""
    tasks: asyncio.TaskGroup
    """Tasks that end with the deployment."""
    stack: contextlib.AsyncExitStack
    """Closes what is opened later."""
    holds: HoldLog = attrs.field(factory=HoldLog)
    """Grants and releases that targets saw."""
    began: list[Run] = attrs.field(factory=list)
    """Requests that targets began to run."""
    callers: Callers = attrs.field(factory=Callers)
    """Callers."""
    addresses: dict[str, Address] = attrs.field(factory=dict)
    """Addresses of the targets by name."""
    leaving: set[str] = attrs.field(factory=set)
    """Names of targets that say in their entries that they drain."""
    gone: set[str] = attrs.field(factory=set)
    """Names of targets that have left."""
    notes: list[tuple[float, str]] = attrs.field(factory=list)
    """What was done, with monotonic times in seconds."""
    _told: asyncio.Event = attrs.field(factory=asyncio.Event)

    def note(self, text: str) -> None:
        """Note what is done now.

        :param text: Text for the record.
        """
        self.notes.append((time.monotonic(), text))

    def make_target(self, name: str, *, sharded: bool) -> RecordingTarget:
        """Make a target that is not started.

        :param name: Name of the target.
        :param sharded: Whether it belongs to the keyed service.
        :return: The target.
        """
        return RecordingTarget(
            name,
            sharded,
            work_time=0.03,
            holds=self.holds,
            began=self.began,
        )

    async def add_target(self, target: RecordingTarget) -> None:
        """Start a target and its heartbeats.

        :param target: Target to start.
        """
        address = free_address()
        self.addresses[target.name] = address
        await self.stack.enter_async_context(serving((target, address)))
        service = 'solde' if target.sharded else 'paiement'
        self.tasks.create_task(self.beat(target.name, service, address))
        self.note(f'target {target.name} started')

    async def beat(self, name: str, service: str, address: Address) -> None:
        """List a target as it does itself, until cancelled.

        :param name: Name of the target.
        :param service: Service of the target.
        :param address: Address of the target.
        """
        born = int(time.time() * 1000)
        sequence = 0
        leaving = self.leaving
        while name not in self.gone:
            sequence += 1
            if not self.store.is_away:
                self.content.put_document(
                    f'servers/{name}',
                    {
                        'service': service,
                        'address': str(address),
                        'zone': 'plateau',
                        'version': 'v1',
                        'slots': SLOTS,
                        'state': 'draining' if name in leaving else 'ready',
                        'warmup_left_s': 0,
                        'sequence': sequence,
                        'born': born,
                    },
                )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT):
                    await self._told.wait()
                    self._told.clear()

    def remove(self, name: str) -> None:
        """Remove the entry of a target that has left.

        :param name: Name of the target.
        """
        self.gone.add(name)
        self.content.write([], [f'servers/{name}'])

    def drain(self, name: str) -> None:
        """Let a target say at once that it drains.

        :param name: Name of the target.
        """
        self.leaving.add(name)
        self._told.set()

    async def send_steadily(self, rate: float, draw: random.Random) -> None:
        """Send keyed requests to all VMs in turn until cancelled.

        :param rate: Requests a second.
        :param draw: Source of keys.
        """
        async with asyncio.TaskGroup() as tasks:
            while True:
                key = draw.randrange(65_536)
                vm = draw.choice(self.vms)
                path = f'/balance/{key}'
                tasks.create_task(self.callers.send(vm.callers, path, key=key))
                await asyncio.sleep(1 / rate)

    async def wait_for(
        self, condition: Callable[[], bool], limit: float
    ) -> bool:
        """Wait for a condition.

        :param condition: Condition.
        :param limit: Longest time, in seconds.
        :return: Whether it holds.
        """
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if condition():
                return True
            await asyncio.sleep(0.02)
        return False


@contextlib.asynccontextmanager
async def deployment(vm_count: int = 3) -> AsyncIterator[Deployment]:
    """Run a store and entry VMs until the block ends.

    :param vm_count: Number of entry VMs, in the zones in turn.
    :return: The deployment, without targets.
    """
    async with contextlib.AsyncExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        content = StoreContent()
        content.put_document('op/config', make_configuration(1))
        address = free_address()
        store = DrillStore(content, address=address)
        await stack.enter_async_context(serving((store, address)))
        tasks = await stack.enter_async_context(_cancelled_tasks())
        tasks.create_task(store.keep_copies())
        vms = [
            EntryVm(f'front-{one}', ZONES[one % 3], address, folder, ZONES)
            for one in range(vm_count)
        ]
        later = await stack.enter_async_context(contextlib.AsyncExitStack())
        await stack.enter_async_context(running(vms))
        yield Deployment(folder, content, store, vms, tasks, later)


@contextlib.asynccontextmanager
async def _cancelled_tasks() -> AsyncIterator[asyncio.TaskGroup]:
    """Open a task group whose tasks are cancelled at the end."""
    children: list[asyncio.Task[Any]] = []

    class Group(asyncio.TaskGroup):
        def create_task(self, *found: Any, **options: Any) -> asyncio.Task[Any]:
            task = super().create_task(*found, **options)
            children.append(task)
            return task

    async with Group() as tasks:
        try:
            yield tasks
        finally:
            for child in children:
                child.cancel()
