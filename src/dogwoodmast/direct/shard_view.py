"""Shard tables of an entry VM, and its load reports to the coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.address import Address
from dogwoodmast.clock import Clock, SystemClock
from dogwoodmast.direct.closed_keys import ClosedKeys
from dogwoodmast.direct.messages import (
    KeyCount,
    LeavingTarget,
    LoadReport,
    ShardImage,
    ShardRecord,
    ShardUpdate,
    ShardVersion,
    TargetPace,
    VmRecord,
)
from dogwoodmast.direct.shard_record import unpack_record
from dogwoodmast.direct.shard_table import ShardTable
from dogwoodmast.direct.update_log import UpdateLog
from dogwoodmast.errors import LinkError
from dogwoodmast.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from dogwoodmast.direct.directory import Directory
    from dogwoodmast.direct.target_set import TargetSet
    from dogwoodmast.link import Link
    from dogwoodmast.link_pool import LinkPool
    from dogwoodmast.message_handlers import MessageHandlers

REPORT_INTERVAL = 0.3
"""Pause between load reports to the coordinator, in seconds; a third of the
half-life of the request rates that the coordinator keeps."""
MAX_REPORTED_LEAVING = 64
"""Number of leaving targets of a service that one report names."""
REPORT_TIMEOUT = 0.6
"""Time limit for the coordinator's response to a report, in seconds."""


@attrs.define(eq=False)
class ShardView:
    """Shard tables and request counts of the sharded services."""

    _clock: Clock = attrs.field(factory=SystemClock)
    _closed: ClosedKeys = attrs.field(factory=ClosedKeys)
    _tables: dict[str, ShardTable] = attrs.field(factory=dict)
    _counts: dict[str, dict[int, float]] = attrs.field(factory=dict)
    _changed: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def changed(self) -> anyio.Event:
        """Event that is set at the next change of any shard table."""
        return self._changed

    def table(self, service: str) -> ShardTable:
        """Return the shard table of a service.

        :param service: Name of the service.
        :return: Shard table, empty until assignments have been received.
        """
        if service not in self._tables:
            self._tables[service] = ShardTable(UpdateLog(service))
        return self._tables[service]

    def versions(self) -> tuple[ShardVersion, ...]:
        """Return the versions of all shard tables."""
        return tuple(
            ShardVersion(service, table.epoch, table.number)
            for service, table in self._tables.items()
        )

    def updates_since(
        self, versions: Iterable[ShardVersion]
    ) -> list[ShardUpdate | ShardImage]:
        """Build what brings another VM's tables up to date.

        :param versions: Versions of the other VM's tables.
        :return: Updates and images of the tables that are older than here.
        """
        known = {one.service_name: one for one in versions}
        updates = (
            table.update_since(known.get(service, ShardVersion(service, 0, 0)))
            for service, table in self._tables.items()
        )
        return [one for one in updates if one is not None]

    def count(self, service: str, key: int) -> None:
        """Count a request for the next load report.

        :param service: Name of the service.
        :param key: Shard key of the request.
        """
        counts = self._counts.setdefault(service, {})
        counts[key] = counts.get(key, 0) + 1

    def drain_counts(self, service: str) -> dict[int, float]:
        """Return and reset the request counts of a service.

        :param service: Name of the service.
        :return: Requests by key since the previous call.
        """
        return self._counts.pop(service, {})

    def on_update(self, update: ShardUpdate) -> ShardVersion:
        """Apply an update that a coordinator sent.

        :param update: Full or incremental update.
        :return: Version of the table afterwards; it tells the coordinator
            what the table still lacks.
        """
        table = self.table(update.service_name)
        if table.is_older_than(update.epoch, update.number):
            table.on_update(update)
            self._notify(update.service_name)
        return ShardVersion(update.service_name, table.epoch, table.number)

    def on_image(self, image: ShardImage) -> ShardVersion:
        """Apply a complete table that another VM sent.

        :param image: Shard table of one service.
        :return: Version of the table afterwards.
        :raises MalformedFrame: If the image cannot be read.
        """
        record = unpack_record(image.content)
        table = self.table(record.service_name)
        if table.is_older_than(record.epoch, record.number):
            table.on_record(record, record.number)
            self._notify(record.service_name)
        return ShardVersion(record.service_name, table.epoch, table.number)

    def on_records(self, records: Iterable[ShardRecord]) -> None:
        """Apply stored records that are of a later epoch than the table.

        :param records: Records of the store, one for each service.
        """
        for record in records:
            table = self.table(record.service_name)
            if table.epoch >= record.epoch:
                continue
            # The record may be outdated, since the coordinator's updates are
            # newer.  Requests may be sent all the same: a target that does
            # not hold the key any more refuses them.
            assignments = tuple(
                attrs.evolve(one, open=True)
                for one in record.assignments
                if one.target
            )
            table.on_record(attrs.evolve(record, assignments=assignments), 0)
            self._notify(record.service_name)

    def seconds_closed(self, service: str, key: int) -> float:
        """Tell for how long no target may run requests for a key.

        :param service: Name of the service.
        :param key: Shard key of a request.
        :return: Time in seconds since this VM has known; 0 if it does not.
        """
        assignment = self.table(service).find(key)
        now = self._clock.monotonic()
        return self._closed.seconds_closed(service, assignment, now)

    def _notify(self, service: str) -> None:
        now = self._clock.monotonic()
        self._closed.update(service, self.table(service).assignments, now)
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()


class LoadReporter:
    """Task that reports load to the coordinator and applies its updates."""

    def __init__(
        self,
        vm: str,
        view: ShardView,
        targets: TargetSet,
        directory: Directory,
        links: LinkPool,
        reads_store: Callable[[], bool],
    ) -> None:
        """Create the task.

        :param vm: Name of the local entry VM.
        :param view: Shard tables and request counts of the local VM.
        :param targets: Targets with the latencies that the local VM has seen.
        :param directory: Local copy of the store.
        :param links: Links to other entry VMs.
        :param reads_store: Tells whether the local VM reads the store itself.
        """
        self._vm = vm
        self._view = view
        self._targets = targets
        self._directory = directory
        self._links = links
        self._reads_store = reads_store

    def register(self, handlers: MessageHandlers) -> None:
        """Register the handlers for shard tables of the coordinator.

        :param handlers: Message handlers of incoming links.
        """
        handlers.register_direct(ShardUpdate, self._on_update)
        handlers.register_direct(ShardImage, self._on_image)

    async def run(self) -> None:
        """Apply stored records and send load reports until cancelled."""
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

    def _on_update(self, _link: Link, update: ShardUpdate) -> object:
        return self._view.on_update(update)

    def _on_image(self, _link: Link, image: ShardImage) -> object:
        return self._view.on_image(image)

    async def _report(self, service: str, coordinator: VmRecord) -> None:
        table = self._view.table(service)
        counts = self._view.drain_counts(service)
        latencies = self._targets.baseline_latencies(service)
        report = LoadReport(
            self._vm,
            service,
            table.epoch,
            table.number,
            tuple(KeyCount(*one) for one in counts.items()),
            tuple(TargetPace(*one) for one in latencies.items()),
            self._reads_store(),
            self._find_leaving(service),
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

    def _find_leaving(self, service: str) -> tuple[LeavingTarget, ...]:
        statements = self._targets.statements
        leaving = [
            LeavingTarget(*target.key)
            for target in self._directory.known_targets()
            if target.service == service and statements.is_leaving(target.key)
        ]
        return tuple(leaving[-MAX_REPORTED_LEAVING:])
