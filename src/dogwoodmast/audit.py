"""Audit trail of changes, stored in the platform's key-value store.

An entry is written in the same compare-and-swap operation as the change that
it describes, under a key made of the change's id.  A retry after a lost
response can therefore neither omit nor duplicate the entry.
"""

from __future__ import annotations

import attrs
import uuid6

from dogwoodmast._documents import dump_document, load_document
from dogwoodmast.key_value import Delete, Platform, Put

AUDIT_PREFIX = '/dogwoodmast/audit/'
"""Prefix of the platform keys of audit entries."""
MAX_AUDIT_ENTRIES = 5000
"""Number of entries that pruning keeps by default."""
MAX_PRUNED_PER_CHANGE = 64
"""Maximum number of entries that one change deletes, which bounds the size
of its compare-and-swap operation."""
MS_PER_SECOND = 1000


@attrs.frozen
class AuditEntry:
    """Entry of the audit trail that describes one change."""

    change_id: str
    """Id of the change, a UUID of version 7."""
    who: str
    """Operator or entry VM that made the change."""
    what: str
    """Subject of the change, such as ``drain balance-pikine-1``."""
    before: str
    """State before the change, as text."""
    after: str
    """State after the change, as text."""
    when: float
    """Creation time of the change's id, in seconds since the Unix epoch."""


@attrs.frozen
class AuditFilter:
    """Filter of audit entries; an entry must match every condition."""

    who: str | None = None
    """Operator or entry VM that made the change, or ``None`` for any."""
    what: str | None = None
    """Prefix of the subject of the change, or ``None`` for any."""
    change_id: str | None = None
    """Id of the change, or ``None`` for any."""
    since: float | None = None
    """Earliest time in seconds since the Unix epoch, or ``None`` for any."""

    def matches(self, entry: AuditEntry) -> bool:
        """Return whether an entry matches the filter.

        :param entry: The entry.
        :return: ``True`` if all conditions hold.
        """
        return (
            self.who in {None, entry.who}
            and self.change_id in {None, entry.change_id}
            and entry.what.startswith(self.what or '')
            and entry.when >= (self.since or 0)
        )


def new_entry(who: str, what: str, before: str, after: str) -> AuditEntry:
    """Create the audit entry of a change that is about to be written.

    :param who: Operator or entry VM that makes the change.
    :param what: Subject of the change.
    :param before: State before the change, as text.
    :param after: State after the change, as text.
    :return: Entry with a new change id and the current time.
    """
    change_id = str(uuid6.uuid7())
    return AuditEntry(
        change_id, who, what, before, after, _creation_time(change_id)
    )


def audit_key(change_id: str) -> str:
    """Return the platform key of an entry.

    :param change_id: Id of the change.
    :return: Platform key; keys sort by creation time.
    """
    return f'{AUDIT_PREFIX}{change_id}'


def audit_put(entry: AuditEntry) -> Put:
    """Return the write that adds an entry to the trail.

    :param entry: The entry.
    :return: Write to include in the compare-and-swap of the change.
    """
    return Put(audit_key(entry.change_id), dump_document(entry))


@attrs.define
class AuditTrail:
    """Reader of the audit trail."""

    _platform: Platform

    async def entries(
        self, wanted: AuditFilter | None = None
    ) -> tuple[AuditEntry, ...]:
        """Read entries of the trail.

        :param wanted: Filter of the entries, or ``None`` for all.
        :return: Matching entries, oldest first.
        """
        selection = wanted or AuditFilter()
        snapshot = await self._platform.read_prefix(AUDIT_PREFIX)
        entries = (
            load_document(stored.value, AuditEntry)
            for stored in snapshot.values
        )
        return tuple(entry for entry in entries if selection.matches(entry))

    async def make_prune_writes(
        self, max_entries: int = MAX_AUDIT_ENTRIES
    ) -> tuple[Delete, ...]:
        """Return the writes that delete the oldest excess entries.

        At most ``MAX_PRUNED_PER_CHANGE`` entries are deleted at a time.

        :param max_entries: Number of entries to keep, including the one that
            the next change adds.
        :return: Writes to include in the compare-and-swap of that change.
        """
        snapshot = await self._platform.read_prefix(AUDIT_PREFIX)
        excess = max(0, len(snapshot.values) + 1 - max_entries)
        oldest = snapshot.values[: min(excess, MAX_PRUNED_PER_CHANGE)]
        return tuple(Delete(stored.key) for stored in oldest)


def _creation_time(change_id: str) -> float:
    return uuid6.UUID(change_id).time / MS_PER_SECOND
