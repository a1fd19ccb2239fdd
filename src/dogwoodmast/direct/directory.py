"""Copy of the store's keys that an entry VM acts on.

The copy only moves forward: a page or a snapshot of an earlier revision than
the copy has is ignored, whoever sends it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from dogwoodmast._wire import decode
from dogwoodmast.direct.catalog import RouteTable, Target
from dogwoodmast.direct.messages import (
    DirectoryItem,
    DirectoryPage,
    ShardRecord,
    VmRecord,
)
from dogwoodmast.errors import MalformedFrame

if TYPE_CHECKING:
    from collections.abc import Callable

    from dogwoodmast.key_value import ChangePage, Snapshot

VM_PREFIX = 'dogwoodmast/vms/'
"""Keys of the entry VMs that are up."""
COORDINATOR_KEY = 'dogwoodmast/coordinator'
"""Key of the entry VM that grants keys to targets."""
SHARD_PREFIX = 'dogwoodmast/shards/'
"""Keys of the assignments, one a service."""
OLDEST_AGE = 1e6
"""Age that is told of a copy that was never confirmed, in seconds."""
RELIST_WINDOW = 2.0
"""Time after an outage of the store in which entries that lapsed during it
come back, in seconds; a bound of the platform."""

_OWN_KINDS = (
    (VM_PREFIX, 'VmRecord'),
    (COORDINATOR_KEY, 'VmRecord'),
    (SHARD_PREFIX, 'ShardRecord'),
)


@attrs.frozen
class Entry:
    """One key of the copy."""

    key: str
    """Key."""
    revision: int
    """Store revision of its last change that matters."""
    content: bytes
    """Value; the last one, if it was removed."""
    meaning: Any
    """What the value says, or ``None`` if it cannot be used."""
    removed: bool = False
    """Whether the key has no value any more."""
    doubtful_until: float = 0
    """Time until which a removal may be taken back, in seconds on the
    steady clock."""

    def is_present(self, now: float) -> bool:
        """Tell whether the key still counts.

        :param now: Steady time in seconds.
        :return: Whether it has a value, or may get it back.
        """
        return not self.removed or now < self.doubtful_until


class Directory:
    """Copy of the store's keys with what they say."""

    def __init__(
        self, decode_item: Callable[[str, bytes], RouteTable | Target | None]
    ) -> None:
        """Create an empty copy.

        :param decode_item: Reader of what operators and targets write.
        """
        self._decode_item = decode_item
        self._entries: dict[str, Entry] = {}
        self._revision = 0
        self._confirmed_at = float('-inf')
        self._outage_until = float('-inf')
        self._route_table: RouteTable | None = None

    @property
    def revision(self) -> int:
        """Store revision that the copy leads up to."""
        return self._revision

    @property
    def route_table(self) -> RouteTable | None:
        """Configuration in force, or ``None`` before the first."""
        return self._route_table

    def age(self, now: float) -> float:
        """Tell how old the copy may be.

        :param now: Steady time in seconds.
        :return: Time since the store confirmed it, in seconds.
        """
        return now - self._confirmed_at

    def targets(self, now: float) -> dict[str, Target]:
        """Find the targets that are up.

        :param now: Steady time in seconds.
        :return: Targets by name, also those that are leaving.
        """
        return {
            entry.meaning.name: entry.meaning
            for entry in self._entries.values()
            if isinstance(entry.meaning, Target) and entry.is_present(now)
        }

    def known_targets(self) -> list[Target]:
        """Find all targets that were ever listed, with what they said last.

        :return: Targets that are up or gone.
        """
        return [
            entry.meaning
            for entry in self._entries.values()
            if isinstance(entry.meaning, Target)
        ]

    def vms(self) -> dict[str, VmRecord]:
        """Find the entry VMs that are up.

        :return: Records by name.
        """
        return {
            entry.meaning.name: entry.meaning
            for key, entry in self._entries.items()
            if key.startswith(VM_PREFIX)
            and not entry.removed
            and isinstance(entry.meaning, VmRecord)
        }

    def coordinator(self) -> VmRecord | None:
        """Find the entry VM that grants keys to targets.

        :return: Its record, or ``None``.
        """
        entry = self._entries.get(COORDINATOR_KEY)
        if entry is None or entry.removed:
            return None
        found: VmRecord | None = entry.meaning
        return found

    def shard_records(self) -> list[ShardRecord]:
        """Find the assignments that the store keeps.

        :return: One record a service.
        """
        return [
            entry.meaning
            for entry in self._entries.values()
            if isinstance(entry.meaning, ShardRecord) and not entry.removed
        ]

    def on_outage(self, now: float) -> None:
        """Note that the store did not answer.

        :param now: Steady time in seconds.
        """
        self._outage_until = now + RELIST_WINDOW

    def on_snapshot(self, snapshot: Snapshot, asked_at: float) -> list[str]:
        """Take over all that the store has.

        :param snapshot: Whole content of the store.
        :param asked_at: Steady time at which it was asked for, in seconds.
        :return: Keys whose meaning changed.
        """
        if snapshot.revision < self._revision:
            return []
        present = {stored.key for stored in snapshot.values}
        changed = [
            stored.key
            for stored in snapshot.values
            if self._put(stored.key, stored.revision, stored.value)
        ]
        for key, entry in tuple(self._entries.items()):
            if key not in present and not entry.removed:
                self._remove(key, snapshot.revision, asked_at)
                changed.append(key)
        self._confirm(snapshot.revision, asked_at)
        return changed

    def on_changes(self, page: ChangePage, asked_at: float) -> list[str]:
        """Take over changes that the store told of.

        :param page: Changes since the copy's revision.
        :param asked_at: Steady time at which they were asked for.
        :return: Keys whose meaning changed.
        """
        changed: list[str] = []
        for change in page.changes:
            if change.value is None:
                if self._remove(change.key, change.revision, asked_at):
                    changed.append(change.key)
            elif self._put(change.key, change.revision, change.value):
                changed.append(change.key)
        self._confirm(page.revision, asked_at)
        return changed

    def page_since(self, after: int, now: float) -> DirectoryPage:
        """Answer another entry VM.

        :param after: Store revision that it has.
        :param now: Steady time in seconds.
        :return: What has changed since.
        """
        items = tuple(
            DirectoryItem(
                entry.key,
                entry.revision,
                entry.removed,
                entry.content,
                max(0, entry.doubtful_until - now),
            )
            for entry in self._entries.values()
            if entry.revision > after
        )
        return DirectoryPage(
            self._revision, min(self.age(now), OLDEST_AGE), items
        )

    def on_page(
        self, page: DirectoryPage, asked_at: float, now: float
    ) -> list[str]:
        """Take over what another entry VM knows.

        :param page: Its answer.
        :param asked_at: Steady time at which it was asked, in seconds.
        :param now: Steady time in seconds.
        :return: Keys whose meaning changed.
        """
        if page.revision < self._revision:
            return []
        changed = [
            item.key for item in page.items if self._take_item(item, now)
        ]
        self._confirm(page.revision, asked_at - page.age)
        return changed

    def _take_item(self, item: DirectoryItem, now: float) -> bool:
        if not item.removed:
            return self._put(item.key, item.revision, item.content)
        known = self._entries.get(item.key)
        if known is not None and known.revision >= item.revision:
            return False
        self._entries[item.key] = Entry(
            item.key,
            item.revision,
            item.content,
            self._meaning(item.key, item.content),
            removed=True,
            doubtful_until=now + item.doubtful_for,
        )
        return True

    def _put(self, key: str, revision: int, content: bytes) -> bool:
        known = self._entries.get(key)
        if known is not None and known.revision >= revision:
            return False
        meaning = self._meaning(key, content)
        if known is not None and not known.removed and known.meaning == meaning:
            return False
        self._entries[key] = Entry(key, revision, content, meaning)
        if isinstance(meaning, RouteTable):
            self._route_table = meaning
        return True

    def _remove(self, key: str, revision: int, now: float) -> bool:
        known = self._entries.get(key)
        if known is None or known.removed or known.revision > revision:
            return False
        self._entries[key] = attrs.evolve(
            known,
            revision=revision,
            removed=True,
            doubtful_until=self._outage_until,
        )
        return True

    def _meaning(self, key: str, content: bytes) -> Any:
        for prefix, kind in _OWN_KINDS:
            if key.startswith(prefix):
                return _decode_own(kind, content)
        return self._decode_item(key, content)

    def _confirm(self, revision: int, confirmed_at: float) -> None:
        self._revision = max(self._revision, revision)
        self._confirmed_at = max(self._confirmed_at, confirmed_at)


def _decode_own(kind: str, content: bytes) -> object | None:
    try:
        return decode(kind, content)
    except MalformedFrame:
        return None
