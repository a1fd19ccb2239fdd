"""Writes of zone records and home records to the platform.

The zone's state machines choose the writes of the own zone's record.  The
coordinator also creates missing home records and transfers the partitions of
zones that operators declared lost.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast._documents import dump_document
from dogwoodmast.backoff import Backoff
from dogwoodmast.document_store import Document, DocumentVersion
from dogwoodmast.errors import PlatformError
from dogwoodmast.events import Event, log_event
from dogwoodmast.home_transfer import (
    close_record,
    closed_record_versions,
    transfer_home,
)
from dogwoodmast.initial_placement import make_initial_home
from dogwoodmast.ownership import HomeRecord, ZoneRecord
from dogwoodmast.platform_reader import RECORDS_PREFIX
from dogwoodmast.record_changes import describe_changes
from dogwoodmast.record_store import (
    Record,
    RecordChange,
    RecordConflict,
    RecordStore,
    record_key,
)
from dogwoodmast.zone_node import ZoneNode
from dogwoodmast.zone_orders import lost_zones
from dogwoodmast.zone_services import ZoneServices

if TYPE_CHECKING:
    from dogwoodmast.configuration import Service
    from dogwoodmast.record_write_scheduler import WriteRecord

INITIAL_RETRY_DELAY = 0.2
"""Upper bound of the delay after the first failed write, in seconds."""
MAX_RETRY_DELAY = 5.0
"""Upper bound of the delay after repeated failures, in seconds."""
WRITE_TIMEOUT = 3.0
"""Time-out of one write of the zone's record, including retries, in
seconds."""


@attrs.define(eq=False)
class ZoneRecordWriter:
    """Writes records on behalf of one entry VM and reports the outcomes."""

    _services: ZoneServices
    _node: ZoneNode
    _store: RecordStore
    _backoff: Backoff = attrs.field(
        factory=lambda: Backoff(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY)
    )

    async def write(self, write: WriteRecord) -> None:
        """Write the zone's record and report the outcome to the node.

        :param write: Write that the zone's state machines chose.
        """
        change = RecordChange(
            write.base if write.base.version else None,
            write.record,
            write.what,
            describe_changes(write.base, write.base),
            describe_changes(write.base, write.record),
        )
        try:
            with anyio.fail_after(WRITE_TIMEOUT):
                record = await self._store.replace(change)
        except RecordConflict as conflict:
            self._on_conflict(conflict)
        except (PlatformError, TimeoutError) as error:
            self._on_failure(str(error))
        else:
            self._on_written(write, record)

    async def create_missing_homes(self) -> None:
        """Create the missing home records of services that have targets."""
        view = self._services.builder.build()
        if view is None:
            return
        for service in view.configuration.services:
            if service.targets and service.name not in view.homes:
                await self._create_home(service)

    async def transfer_homes(self) -> None:
        """Transfer the partitions of zones that operators declared lost.

        A coordinator does not close the record of its own zone; if that zone
        is declared lost, the coordinators of other zones do.
        """
        services = self._services
        declared = lost_zones(services.exchange.store) - {services.zone}
        view = services.builder.build()
        if view is None or not declared:
            return
        for zone in declared & view.zones.keys():
            await self._close_zone(view.zones[zone])
        fences = closed_record_versions(view.zones, declared)
        for service in view.configuration.services:
            home = view.homes.get(service.name)
            if home is not None:
                await self._transfer(home, service, fences)

    async def _close_zone(self, record: ZoneRecord) -> None:
        closed = close_record(record)
        if closed is not None:
            await self._write_record(RecordChange(record, closed, 'loss'))

    async def _transfer(
        self, home: HomeRecord, service: Service, fences: dict[str, int]
    ) -> None:
        moved = transfer_home(home, service, fences)
        if moved is not None:
            await self._write_record(RecordChange(home, moved, 'transfer'))

    async def _create_home(self, service: Service) -> None:
        await self._write_record(
            RecordChange(None, make_initial_home(service), 'creation')
        )

    async def _write_record(self, change: RecordChange) -> None:
        try:
            self._merge(await self._store.replace(change))
        except RecordConflict as conflict:
            if conflict.current is not None:
                self._merge(conflict.current)
        except PlatformError as error:
            log_event(Event.PLATFORM_FAILED, reason=error.message)

    def _on_written(self, write: WriteRecord, record: Record) -> None:
        assert isinstance(record, ZoneRecord)
        self._backoff.reset()
        self._merge(record)
        log_event(
            Event.ZONE_RECORD_WRITTEN,
            zone=record.zone,
            version=record.version,
            what=write.what,
        )
        written = attrs.evolve(write, record=record)
        self._node.on_written(written, self._services.now)

    def _on_conflict(self, conflict: RecordConflict) -> None:
        now = self._services.now
        current = conflict.current
        if isinstance(current, ZoneRecord):
            self._merge(current)
            retry_at = now + self._backoff.next_delay()
            self._node.on_write_failed(current, retry_at, now)
        else:
            self._on_failure(conflict.message)

    def _on_failure(self, reason: str) -> None:
        log_event(Event.PLATFORM_FAILED, reason=reason)
        now = self._services.now
        retry_at = now + self._backoff.next_delay()
        self._node.on_write_failed(None, retry_at, now)

    def _merge(self, record: Record) -> None:
        """Add a record from the platform to the replicated documents."""
        name = record_key(record).removeprefix(RECORDS_PREFIX)
        version = DocumentVersion(0, 0, record.version)
        document = Document(name, version, dump_document(record))
        self._services.exchange.merge((document,))
