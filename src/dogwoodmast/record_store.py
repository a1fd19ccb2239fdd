"""A zone's records in the platform, changed by compare-and-swap only.

Every write carries its own change identity.  When an answer is lost, the
record is read again and compared with it before anything else is tried, and
a repeated write has the same condition, so that it takes effect once.
"""

from __future__ import annotations

import attrs
import uuid6

from dogwoodmast._documents import dump_document, load_document
from dogwoodmast.audit import AuditEntry, audit_put
from dogwoodmast.clock import Clock
from dogwoodmast.errors import (
    DogwoodmastError,
    PlatformAnswerLost,
    PlatformRefused,
)
from dogwoodmast.key_value import (
    MISSING_REVISION,
    Expectation,
    Platform,
    Put,
    StoredValue,
)
from dogwoodmast.ownership import HomeRecord, ZoneRecord, home_key, zone_key

MAX_TRIES = 2
"""Times that a write is sent when its answer is lost."""

Record = ZoneRecord | HomeRecord
"""A record that the store changes."""


@attrs.define
class RecordConflict(DogwoodmastError):
    """A record is no longer the one that a change was based on."""

    key: str
    """Platform key of the record."""
    current: Record | None
    """Record that the platform has, or ``None`` if it has none."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return f'record {self.key} was changed by another writer'


@attrs.frozen
class RecordChange:
    """Change of one record."""

    base: Record | None
    """Record that the change is based on, or ``None`` to create it."""
    record: Record
    """New record."""
    what: str
    """Kind of the change."""
    before: str = ''
    """State before the change, in words."""
    after: str = ''
    """State after the change, in words."""

    @property
    def key(self) -> str:
        """Platform key of the record."""
        return record_key(self.record)


def record_key(record: Record) -> str:
    """Name the platform key of a record.

    :param record: The record.
    :return: Platform key.
    """
    match record:
        case ZoneRecord():
            return zone_key(record.zone)
        case HomeRecord():
            return home_key(record.service)


@attrs.define
class RecordStore:
    """Writer of records for one entry VM."""

    _platform: Platform
    _vm: str
    _clock: Clock
    _stored: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    """Version and store revision of the records written last."""

    async def replace(self, change: RecordChange) -> Record:
        """Write a record if its base is still in the platform.

        :param change: The change.
        :return: The record as written, with its change identity.
        :raises RecordConflict: If another writer came first.
        :raises PlatformError: If it is not known whether it was written.
        """
        record = attrs.evolve(change.record, change_id=str(uuid6.uuid7()))
        revision = await self._revision_of(change)
        lost: PlatformAnswerLost | PlatformRefused | None = None
        for _ in range(MAX_TRIES):
            try:
                return await self._try(change, record, revision)
            except (PlatformAnswerLost, PlatformRefused) as error:
                lost = error
            if await self._is_written(change, record):
                return record
        assert lost is not None
        raise lost

    async def _revision_of(self, change: RecordChange) -> int:
        base = change.base
        if base is None:
            return MISSING_REVISION
        known = self._stored.get(change.key)
        if known is not None and known[0] == base.version:
            return known[1]
        stored, current = await self._read(change)
        if stored is None or current is None or current.version != base.version:
            raise RecordConflict(change.key, current)
        return stored.revision

    async def _try(
        self, change: RecordChange, record: Record, revision: int
    ) -> Record:
        swapped = await self._platform.swap(
            (Expectation(change.key, revision),),
            (
                Put(change.key, dump_document(record)),
                audit_put(self._entry(change, record)),
            ),
        )
        if swapped.succeeded:
            self._stored[change.key] = (record.version, swapped.revision)
            return record
        if await self._is_written(change, record):
            return record
        raise RecordConflict(change.key, (await self._read(change))[1])

    async def _is_written(self, change: RecordChange, record: Record) -> bool:
        _, current = await self._read(change)
        if current is None:
            return False
        if current.change_id == record.change_id:
            return True
        base = change.base
        if base is not None and current.version > base.version:
            raise RecordConflict(change.key, current)
        return False

    async def _read(
        self, change: RecordChange
    ) -> tuple[StoredValue | None, Record | None]:
        self._stored.pop(change.key, None)
        stored = (await self._platform.read(change.key)).first
        if stored is None:
            return None, None
        current = load_document(stored.value, type(change.record))
        self._stored[change.key] = (current.version, stored.revision)
        return stored, current

    def _entry(self, change: RecordChange, record: Record) -> AuditEntry:
        return AuditEntry(
            change_id=record.change_id,
            who=self._vm,
            what=f'{change.what} of {change.key}',
            before=change.before,
            after=change.after,
            when=self._clock.wall(),
        )
