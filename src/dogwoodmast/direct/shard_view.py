"""What an entry VM knows of the holders of keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.address import Address
from dogwoodmast.direct.messages import (
    KeyCount,
    LoadReport,
    ShardRecord,
    ShardUpdate,
    ShardVersion,
    TargetPace,
    VmRecord,
)
from dogwoodmast.direct.shard_table import ShardTable
from dogwoodmast.errors import LinkError
from dogwoodmast.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodmast.direct.directory import Directory
    from dogwoodmast.direct.target_set import TargetSet
    from dogwoodmast.link import Link
    from dogwoodmast.link_pool import LinkPool
    from dogwoodmast.message_handlers import MessageHandlers

REPORT_INTERVAL = 0.3
"""Pause between reports to the coordinator, in seconds; a third of the time
for which it remembers half of a key's load."""
REPORT_TIMEOUT = 0.6
"""Time allowed for the coordinator's answer, in seconds."""


@attrs.define(eq=False)
class ShardView:
    """Tables of the services whose keys are held by one target each."""

    _tables: dict[str, ShardTable] = attrs.field(factory=dict)
    _counts: dict[str, dict[int, float]] = attrs.field(factory=dict)
    _changed: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def changed(self) -> anyio.Event:
        """Event that is set at the next change."""
        return self._changed

    def table(self, service: str) -> ShardTable:
        """Find the table of a service.

        :param service: Name of the service.
        :return: Its table, empty if nothing is known.
        """
        return self._tables.setdefault(service, ShardTable())

    def count(self, service: str, key: int) -> None:
        """Count a request.

        :param service: Name of the service.
        :param key: Shard key.
        """
        counts = self._counts.setdefault(service, {})
        counts[key] = counts.get(key, 0) + 1

    def take_counts(self, service: str) -> dict[int, float]:
        """Take the requests counted since the last time.

        :param service: Name of the service.
        :return: Requests by key.
        """
        return self._counts.pop(service, {})

    def on_update(self, update: ShardUpdate) -> ShardVersion:
        """Take over what a coordinator tells.

        :param update: Changed or all assignments.
        :return: Version that the table has now.
        """
        table = self.table(update.service_name)
        if table.is_older_than(update.epoch, update.number):
            table.on_update(update)
            self._tell()
        return ShardVersion(update.service_name, table.epoch, table.number)

    def on_records(self, records: Iterable[ShardRecord]) -> None:
        """Take over records of the store where nothing later is known.

        :param records: One record a service.
        """
        for record in records:
            table = self.table(record.service_name)
            if table.epoch >= record.epoch:
                continue
            # The record is older than what the coordinator tells; a target
            # that no longer holds a key says so.
            table.replace(
                attrs.evolve(one, open=True)
                for one in record.assignments
                if one.target
            )
            table.epoch = record.epoch
            table.number = 0
            self._tell()

    def _tell(self) -> None:
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()


class LoadReporter:
    """Task that reports to the coordinator and takes its tables."""

    def __init__(
        self,
        vm: str,
        view: ShardView,
        gates: TargetSet,
        directory: Directory,
        links: LinkPool,
    ) -> None:
        """Create the task.

        :param vm: Name of the own VM.
        :param view: What is known of the holders.
        :param gates: Targets, as the own VM sees them.
        :param directory: Copy of the store.
        :param links: Links to other entry VMs.
        """
        self._vm = vm
        self._view = view
        self._gates = gates
        self._directory = directory
        self._links = links

    def register(self, handlers: MessageHandlers) -> None:
        """Take what a coordinator tells.

        :param handlers: Handlers of links.
        """
        handlers.register(ShardUpdate, self._on_update)

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await anyio.sleep(REPORT_INTERVAL)
            self._view.on_records(self._directory.shard_records())
            coordinator = self._directory.coordinator()
            table = self._directory.route_table
            if coordinator is None or table is None:
                continue
            for service in table.services.values():
                if service.sharded:
                    await self._report(service.name, coordinator)

    async def _on_update(self, _link: Link, update: ShardUpdate) -> object:
        return self._view.on_update(update)

    async def _report(self, service: str, coordinator: VmRecord) -> None:
        table = self._view.table(service)
        counts = self._view.take_counts(service)
        paces = self._gates.baseline_latencies(service)
        report = LoadReport(
            self._vm,
            service,
            table.epoch,
            table.number,
            tuple(KeyCount(*one) for one in counts.items()),
            tuple(TargetPace(*one) for one in paces.items()),
        )
        try:
            with anyio.fail_after(REPORT_TIMEOUT):
                answer = await self._links.call(
                    Address.parse(coordinator.links), report
                )
        except (LinkError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            log_event(Event.PEER_NOT_TOLD, peer=coordinator.name, reason=reason)
            return
        if isinstance(answer, ShardUpdate):
            self._view.on_update(answer)
