"""Distribution of a service's shard table from the coordinator to entry VMs.

Each VM is sent the changes that it lacks.  A whole table, which every VM lacks
when a term begins, is sent only to those that read the store; the other VMs
pull it from them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.address import Address
from dogwoodmast.clock import Clock
from dogwoodmast.direct.directory import Directory
from dogwoodmast.direct.messages import (
    LoadReport,
    ShardImage,
    ShardUpdate,
    ShardVersion,
    VmRecord,
)
from dogwoodmast.direct.shard_coordinator import ShardCoordinator
from dogwoodmast.errors import LinkError
from dogwoodmast.events import Event, log_event
from dogwoodmast.link_pool import LinkPool

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

PUSH_TIMEOUT = 0.6
"""Time limit for an entry VM to acknowledge an update, in seconds."""
IMAGE_TIMEOUT = 2.0
"""Time limit for an entry VM to acknowledge a whole table, in seconds."""
MAX_IMAGE_TRANSFERS = 3
"""Number of whole tables sent at a time, so that renewals of grants and
callers' requests share the link with few of them."""
PULL_GRACE_PERIOD = 1.0
"""Time in which a VM may pull a whole table from another one before the
coordinator sends it, in seconds; several pull intervals."""


@attrs.define(eq=False)
class TableDistributor:
    """Task that sends one service's shard table to the entry VMs."""

    _shard_coordinator: ShardCoordinator
    _directory: Directory
    _links: LinkPool
    _clock: Clock
    _versions: dict[str, ShardVersion] = attrs.field(factory=dict)
    _lacking_since: dict[str, float] = attrs.field(factory=dict)
    _readers: set[str] = attrs.field(factory=set)
    _served: set[str] = attrs.field(factory=set)
    _image_slots: anyio.CapacityLimiter = attrs.field(
        factory=lambda: anyio.CapacityLimiter(MAX_IMAGE_TRANSFERS)
    )
    _reported: anyio.Event = attrs.field(factory=anyio.Event)

    async def run(self) -> None:
        """Send updates until cancelled.

        A VM that does not answer delays no other one.
        """
        async with anyio.create_task_group() as tasks:
            while True:
                changed = self._shard_coordinator.changed
                self._reported = anyio.Event()
                self._serve_all(tasks)
                await _first_of(changed, self._reported)

    def on_report(self, report: LoadReport) -> ShardUpdate | None:
        """Process the load report of an entry VM.

        :param report: Report with the version of the VM's table.
        :return: Changes that the VM lacks, if they are kept; a whole table is
            sent in its own time.
        """
        self._shard_coordinator.on_report(report)
        version = ShardVersion(report.service_name, report.epoch, report.number)
        self._versions[report.vm] = version
        if report.reads_store:
            self._readers.add(report.vm)
        else:
            self._readers.discard(report.vm)
        update = self._shard_coordinator.update_since(version)
        if isinstance(update, ShardImage):
            now = self._clock.monotonic()
            self._lacking_since.setdefault(report.vm, now)
            self._reported.set()
            return None
        self._lacking_since.pop(report.vm, None)
        return update

    def _serve_all(self, tasks: TaskGroup) -> None:
        for vm in self._directory.vms().values():
            if vm.name not in self._served and self._next_update(vm.name):
                self._served.add(vm.name)
                tasks.start_soon(self._serve, vm)

    async def _serve(self, vm: VmRecord) -> None:
        try:
            is_progress = True
            while is_progress:
                is_progress = await self._send_next(vm)
        finally:
            self._served.discard(vm.name)

    async def _send_next(self, vm: VmRecord) -> bool:
        """Send what a VM lacks; return whether it acknowledged something."""
        match self._next_update(vm.name):
            case ShardUpdate() as update:
                return await self._send(vm, update, PUSH_TIMEOUT)
            case ShardImage():
                async with self._image_slots:
                    return await self._send_image(vm)
            case None:
                return False

    async def _send_image(self, vm: VmRecord) -> bool:
        # The VM may have pulled a table while it waited for its turn.
        update = self._next_update(vm.name)
        if update is None:
            return False
        return await self._send(vm, update, IMAGE_TIMEOUT)

    def _next_update(self, name: str) -> ShardUpdate | ShardImage | None:
        version = self._versions.get(name)
        if version is None:
            return None
        update = self._shard_coordinator.update_since(version)
        if isinstance(update, ShardImage) and not self._is_image_due(name):
            return None
        return update

    def _is_image_due(self, name: str) -> bool:
        now = self._clock.monotonic()
        lacking_since = self._lacking_since.setdefault(name, now)
        return name in self._readers or now >= lacking_since + PULL_GRACE_PERIOD

    async def _send(
        self, vm: VmRecord, update: ShardUpdate | ShardImage, timeout: float
    ) -> bool:
        try:
            with anyio.fail_after(timeout):
                answer = await self._links.call(Address.parse(vm.links), update)
        except (LinkError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            log_event(Event.PEER_NOT_TOLD, peer=vm.name, reason=reason)
            return False
        if not isinstance(answer, ShardVersion):
            return False
        is_progress = answer != self._versions.get(vm.name)
        self._versions[vm.name] = answer
        return is_progress


async def _first_of(*events: anyio.Event) -> None:
    """Wait until one of several events is set."""
    async with anyio.create_task_group() as tasks:

        async def wait(event: anyio.Event) -> None:
            await event.wait()
            tasks.cancel_scope.cancel()

        for event in events:
            tasks.start_soon(wait, event)
