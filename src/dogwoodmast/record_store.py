"""Compare-and-swap writes of zone records and home records.

Every written record contains a unique change identity.  When the answer to a
write is lost, the record is read again: if it contains that identity, the
write took effect.  Otherwise the write is repeated with the same condition,
so that it takes effect at most once.
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

MAX_ATTEMPTS = 2
"""Maximum number of attempts of a write whose answers are lost."""

Record = ZoneRecord | HomeRecord
"""Either kind of record that the store writes."""


@attrs.define
class RecordConflict(DogwoodmastError):
    """The record is no longer the version that the change is based on."""

    key: str
    """Platform key of the record."""
    current: Record | None
    """Record in the platform, or ``None`` if it does not exist."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return f'record {self.key} was changed by another writer'


@attrs.frozen
class RecordChange:
    """Replacement or creation of one record, with texts for its audit entry."""

    base: Record | None
    """Record to be replaced, or ``None`` to create the record."""
    record: Record
    """New version of the record."""
    what: str
    """Kind of the change, for the audit trail."""
    before: str = ''
    """Description of the old version, for the audit trail."""
    after: str = ''
    """Description of the new version, for the audit trail."""

    @property
    def key(self) -> str:
        """Platform key of the record."""
        return record_key(self.record)


def record_key(record: Record) -> str:
    """Build the platform key of a record.

    :param record: Zone record or home record.
    :return: Platform key.
    """
    match record:
        case ZoneRecord():
            return zone_key(record.zone)
        case HomeRecord():
            return home_key(record.service)


@attrs.define
class RecordStore:
    """Writes records on behalf of one entry VM."""

    _platform: Platform
    _vm: str
    _clock: Clock
    _revisions: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    """Version and store revision per platform key, as of the last read or
    write; saves the read before a write."""

    async def replace(self, change: RecordChange) -> Record:
        """Write a record if the platform still has the version it replaces.

        :param change: Change to write.
        :return: Written record, with its change identity.
        :raises RecordConflict: If another writer has changed the record.
        :raises PlatformError: If the platform failed; the record may or may
            not have been written.
        """
        record = attrs.evolve(change.record, change_id=str(uuid6.uuid7()))
        revision = await self._expected_revision(change)
        last_error: PlatformAnswerLost | PlatformRefused | None = None
        for _ in range(MAX_ATTEMPTS):
            try:
                return await self._attempt(change, record, revision)
            except (PlatformAnswerLost, PlatformRefused) as error:
                last_error = error
            if await self._is_written(change, record):
                return record
        assert last_error is not None
        raise last_error

    async def _expected_revision(self, change: RecordChange) -> int:
        """Find the store revision that the replaced version has."""
        base = change.base
        if base is None:
            return MISSING_REVISION
        cached = self._revisions.get(change.key)
        if cached is not None and cached[0] == base.version:
            return cached[1]
        stored, current = await self._read(change)
        if stored is None or current is None or current.version != base.version:
            raise RecordConflict(change.key, current)
        return stored.revision

    async def _attempt(
        self, change: RecordChange, record: Record, revision: int
    ) -> Record:
        result = await self._platform.swap(
            (Expectation(change.key, revision),),
            (
                Put(change.key, dump_document(record)),
                audit_put(self._audit_entry(change, record)),
            ),
        )
        if result.succeeded:
            self._revisions[change.key] = (record.version, result.revision)
            return record
        if await self._is_written(change, record):
            return record
        raise RecordConflict(change.key, (await self._read(change))[1])

    async def _is_written(self, change: RecordChange, record: Record) -> bool:
        """Tell whether the platform has the record with its change identity.

        :raises RecordConflict: If another writer has replaced the base.
        """
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
        self._revisions.pop(change.key, None)
        stored = (await self._platform.read(change.key)).first
        if stored is None:
            return None, None
        current = load_document(stored.value, type(change.record))
        self._revisions[change.key] = (current.version, stored.revision)
        return stored, current

    def _audit_entry(self, change: RecordChange, record: Record) -> AuditEntry:
        return AuditEntry(
            change_id=record.change_id,
            who=self._vm,
            what=f'{change.what} of {change.key}',
            before=change.before,
            after=change.after,
            when=self._clock.wall(),
        )
