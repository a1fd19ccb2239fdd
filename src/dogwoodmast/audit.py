"""Audit trail of changes, kept in the platform.

An entry is written in the same compare-and-swap as the change that it
tells of, under the change's own identity, so that it is neither lost nor
doubled when an answer is.
"""

from __future__ import annotations

import attrs
import uuid6

from dogwoodmast._documents import dump_document, load_document
from dogwoodmast.key_value import Delete, Platform, Put

AUDIT_PREFIX = '/dogwoodmast/audit/'
"""Prefix of the platform keys of audit entries."""
MAX_ENTRIES = 5000
"""Entries that are kept."""
MAX_PRUNED = 64
"""Entries that one change removes at most."""
MS_PER_SECOND = 1000


@attrs.frozen
class AuditEntry:
    """One change."""

    change_id: str
    """Identity of the change, a UUID of version 7."""
    who: str
    """Operator or entry VM that made it."""
    what: str
    """What was changed."""
    before: str
    """State before the change."""
    after: str
    """State after the change."""
    when: float
    """Seconds since the Unix epoch."""


@attrs.frozen
class AuditFilter:
    """Selection of entries."""

    who: str | None = None
    """Operator or entry VM, or ``None`` for all."""
    what: str | None = None
    """Beginning of what was changed, or ``None`` for all."""
    change_id: str | None = None
    """Identity of the change, or ``None`` for all."""
    since: float | None = None
    """Earliest time in seconds since the Unix epoch, or ``None``."""

    def accepts(self, entry: AuditEntry) -> bool:
        """Tell whether an entry is selected.

        :param entry: The entry.
        :return: ``True`` if it is.
        """
        return (
            self.who in {None, entry.who}
            and self.change_id in {None, entry.change_id}
            and entry.what.startswith(self.what or '')
            and entry.when >= (self.since or 0)
        )


def new_entry(who: str, what: str, before: str, after: str) -> AuditEntry:
    """Make the entry of a change that is about to be made.

    :param who: Operator or entry VM that makes it.
    :param what: What is changed.
    :param before: State before the change.
    :param after: State after the change.
    :return: Entry with a new identity, dated now.
    """
    change_id = str(uuid6.uuid7())
    return AuditEntry(
        change_id, who, what, before, after, _creation_time(change_id)
    )


def audit_key(change_id: str) -> str:
    """Name the platform key of an entry.

    :param change_id: Identity of the change.
    :return: Platform key; keys sort by time.
    """
    return f'{AUDIT_PREFIX}{change_id}'


def audit_put(entry: AuditEntry) -> Put:
    """Make the write that adds an entry to the trail.

    :param entry: The entry.
    :return: Write for the change's own compare-and-swap.
    """
    return Put(audit_key(entry.change_id), dump_document(entry))


@attrs.define
class AuditTrail:
    """Reader of the trail."""

    _platform: Platform

    async def entries(
        self, wanted: AuditFilter | None = None
    ) -> tuple[AuditEntry, ...]:
        """Read entries, oldest first.

        :param wanted: Selection, or ``None`` for all.
        :return: The entries.
        """
        chosen = wanted or AuditFilter()
        snapshot = await self._platform.read_prefix(AUDIT_PREFIX)
        entries = (
            load_document(stored.value, AuditEntry)
            for stored in snapshot.values
        )
        return tuple(entry for entry in entries if chosen.accepts(entry))

    async def make_prune_writes(
        self, max_entries: int = MAX_ENTRIES
    ) -> tuple[Delete, ...]:
        """Make the writes that keep the trail bounded.

        :param max_entries: Entries to keep, with the one being added.
        :return: Writes for the next change's compare-and-swap.
        """
        snapshot = await self._platform.read_prefix(AUDIT_PREFIX)
        excess = max(0, len(snapshot.values) + 1 - max_entries)
        oldest = snapshot.values[: min(excess, MAX_PRUNED)]
        return tuple(Delete(stored.key) for stored in oldest)


def _creation_time(change_id: str) -> float:
    return uuid6.UUID(change_id).time / MS_PER_SECOND
