"""Local copy of the store's keys, with their decoded values.

The revision of the copy never decreases: a snapshot or page of an earlier
revision than the copy's is ignored, whether it comes from the store or from
another entry VM.  Revisions here are positions, so that those of an era after
a restore of the store are greater than all before it.

A restore undoes changes that the copy has seen.  An older configuration does
not replace a newer one, targets that were leaving stay so until they say
otherwise again, and entries that are missing count as present for the time
within which their writers write them again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from dogwoodmast._wire import decode
from dogwoodmast.address import Address, InvalidAddress
from dogwoodmast.direct.catalog import RouteTable, Target
from dogwoodmast.direct.compression import compress, decompress
from dogwoodmast.direct.messages import (
    DirectoryItem,
    DirectoryPage,
    ShardRecord,
    VmRecord,
)
from dogwoodmast.direct.shard_record import unpack_record
from dogwoodmast.direct.zones.evacuation import EvacuatedZones
from dogwoodmast.errors import MalformedFrame
from dogwoodmast.events import Event, log_event
from dogwoodmast.store_position import era_of, is_later_era

if TYPE_CHECKING:
    from collections.abc import Callable

    from dogwoodmast.direct.catalog import CatalogItem
    from dogwoodmast.key_value import ChangePage, Snapshot

VM_PREFIX = 'dogwoodmast/vms/'
"""Prefix of the keys under which entry VMs register."""
COORDINATOR_KEY = 'dogwoodmast/coordinator'
"""Key of the record of the coordinator, which grants keys to targets."""
SHARD_PREFIX = 'dogwoodmast/shards/'
"""Prefix of the keys of shard assignments, one key for each service."""
MAX_REPORTED_AGE = 1e6
"""Age in seconds that is reported for a copy that the store has never
confirmed; the actual age is infinite then."""
RELIST_WINDOW = 2.0
"""Time after an outage of the store within which its clients list themselves
again if their entries expired during the outage, in seconds; the platform
guarantees it."""

MIN_COMPRESSED_BYTES = 2048
"""Size of values from which on they are sent compressed, in bytes; most
entries are far smaller, and configurations larger."""
MAX_REASON_LENGTH = 200
"""Greatest length of the reason that is logged for a value that is not valid,
in characters."""
MAX_GAPS = 8
"""Number of gaps in its knowledge of removals that a copy tells apart."""

_ROUTER_RECORD_TYPES = (
    (VM_PREFIX, 'VmRecord'),
    (COORDINATOR_KEY, 'VmRecord'),
)


@attrs.frozen
class _Gap:
    """Revisions between which keys may have come and gone unseen."""

    after: int
    """Revision of the copy before a snapshot."""
    until: int
    """Revision of the snapshot."""


@attrs.frozen
class Entry:
    """One key of the copy; removed keys are kept."""

    key: str
    """Key in the store."""
    revision: int
    """Store revision of the last change of the decoded value, or of the
    removal; writes that leave the decoded value equal do not count."""
    content: bytes
    """Encoded value; the last one before the removal if it was removed."""
    decoded: Any
    """Decoded value, or ``None`` if the value is not valid."""
    removed: bool = False
    """Whether the key has been removed from the store."""
    retained_until: float = 0
    """Monotonic time in seconds until which a removed key counts as present,
    because it may have expired only due to an outage of the store."""

    def is_present(self, now: float) -> bool:
        """Check whether the key counts as present.

        :param now: Monotonic time in seconds.
        :return: Whether the key has a value, or was removed after an outage
            of the store and may be listed again.
        """
        return not self.removed or now < self.retained_until


class Directory:
    """Local copy of the store's keys, with their decoded values."""

    def __init__(
        self, decode_item: Callable[[str, bytes], CatalogItem | None]
    ) -> None:
        """Create an empty copy.

        :param decode_item: Decoder of the documents that operators and
            targets write; it returns ``None`` for one that is not valid.
        """
        self._decode_item = decode_item
        self._entries: dict[str, Entry] = {}
        self._target_keys: dict[str, str] = {}
        self._revision = 0
        self._confirmed_at = float('-inf')
        self._relist_until = float('-inf')
        self._route_table: RouteTable | None = None
        self._gaps: list[_Gap] = []
        self.evacuated = EvacuatedZones()

    @property
    def revision(self) -> int:
        """Store revision that the copy reflects; 0 before the first read."""
        return self._revision

    @property
    def route_table(self) -> RouteTable | None:
        """Latest valid configuration, or ``None`` before the first one."""
        return self._route_table

    def age(self, now: float) -> float:
        """Return an upper bound of the age of the copy.

        :param now: Monotonic time in seconds.
        :return: Time in seconds since the start of the last read that
            confirmed the copy; infinite before the first.
        """
        return now - self._confirmed_at

    def targets(self, now: float) -> dict[str, Target]:
        """Return the targets that are listed.

        :param now: Monotonic time in seconds.
        :return: Targets by name, including those that are draining, and those
            whose removal does not count yet because of an outage; those of
            evacuated zones count as leaving.
        """
        return {
            entry.decoded.name: self.evacuated.mark(entry.decoded)
            for entry in self._entries.values()
            if isinstance(entry.decoded, Target) and entry.is_present(now)
        }

    def find_target(self, name: str, now: float) -> Target | None:
        """Return the target that is listed under a name.

        :param name: Name of the target.
        :param now: Monotonic time in seconds.
        :return: Target as :meth:`targets` has it, or ``None``.
        """
        entry = self._entries.get(self._target_keys.get(name, ''))
        if entry is None or not entry.is_present(now):
            return None
        if not isinstance(entry.decoded, Target):
            return None
        return self.evacuated.mark(entry.decoded)

    def known_targets(self) -> list[Target]:
        """Return the targets that are or were listed.

        :return: Targets as last listed, including those that were removed.
        """
        return [
            entry.decoded
            for entry in self._entries.values()
            if isinstance(entry.decoded, Target)
        ]

    def vms(self, *, is_certain: bool = False) -> dict[str, VmRecord]:
        """Return the entry VMs that are registered.

        :param is_certain: Whether those are left out whose removal does not
            count yet because of an outage.
        :return: Records of entry VMs by name.
        """
        counted_at = float('inf') if is_certain else self._confirmed_at
        return {
            entry.decoded.name: entry.decoded
            for key, entry in self._entries.items()
            if key.startswith(VM_PREFIX)
            and entry.is_present(counted_at)
            and isinstance(entry.decoded, VmRecord)
        }

    def coordinator(self) -> VmRecord | None:
        """Return the entry VM that is the coordinator.

        :return: Its record, or ``None`` if there is no coordinator.
        """
        entry = self._entries.get(COORDINATOR_KEY)
        if entry is None or entry.removed:
            return None
        record: VmRecord | None = entry.decoded
        return record

    def shard_records(self) -> list[ShardRecord]:
        """Return the shard assignments that coordinators have stored.

        :return: One record for each service.
        """
        return [
            entry.decoded
            for entry in self._entries.values()
            if isinstance(entry.decoded, ShardRecord) and not entry.removed
        ]

    def on_outage(self, now: float) -> None:
        """Record that a read of the store failed, or was the first to succeed.

        Keys whose removal is seen until ``RELIST_WINDOW`` has passed count
        as present for the rest of that window.

        :param now: Monotonic time in seconds.
        """
        self._relist_until = now + RELIST_WINDOW

    def on_snapshot(self, snapshot: Snapshot, requested_at: float) -> list[str]:
        """Apply a snapshot of the store.

        :param snapshot: Complete content of the store.
        :param requested_at: Monotonic time in seconds at which the read began.
        :return: Keys whose decoded value changed, including removed keys.
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
                self._remove(key, snapshot.revision, requested_at)
                changed.append(key)
        self._gaps = _add_gap(
            self._gaps, _Gap(self._revision, snapshot.revision)
        )
        self._confirm(snapshot.revision, requested_at)
        return changed

    def on_changes(self, page: ChangePage, requested_at: float) -> list[str]:
        """Apply changes that were read from the store.

        :param page: Changes since the copy's revision.
        :param requested_at: Monotonic time in seconds at which the read began.
        :return: Keys whose decoded value changed, including removed keys.
        """
        if page.revision < self._revision:
            return []
        changed: list[str] = []
        for change in page.changes:
            if change.value is None:
                if self._remove(change.key, change.revision, requested_at):
                    changed.append(change.key)
            elif self._put(change.key, change.revision, change.value):
                changed.append(change.key)
        self._confirm(page.revision, requested_at)
        return changed

    def page_since(
        self, after: int, now: float, *, is_relayed: bool = False
    ) -> DirectoryPage:
        """Collect the changes that another entry VM lacks.

        Stored shard records are left out, since shard tables are newer.

        :param after: Store revision of the other VM's copy.
        :param now: Monotonic time in seconds.
        :param is_relayed: Whether this VM does not read the store itself.
        :return: Keys that changed after that revision.
        """
        is_complete = any(gap.after < after < gap.until for gap in self._gaps)
        has_gap = any(after < gap.until for gap in self._gaps)
        items = tuple(
            _make_item(entry, now)
            for entry in self._entries.values()
            if (is_complete or entry.revision > after)
            and not entry.key.startswith(SHARD_PREFIX)
        )
        age = min(self.age(now), MAX_REPORTED_AGE)
        return DirectoryPage(
            self._revision, age, items, is_relayed, is_complete, has_gap
        )

    def on_page(
        self, page: DirectoryPage, requested_at: float, now: float, after: int
    ) -> list[str]:
        """Apply changes that were pulled from another entry VM.

        A page with a gap that is not complete fits only the copy as it was
        when the page was requested.

        :param page: Response of the other VM.
        :param requested_at: Monotonic time in seconds at which the request was
            sent.
        :param now: Monotonic time in seconds.
        :param after: Revision of the copy at that time.
        :return: Keys whose decoded value changed, including removed keys.
        """
        if page.revision < self._revision:
            return []
        is_partial = page.has_gap and not page.is_complete
        if is_partial and self._revision > after:
            return []
        if is_later_era(page.revision, self._revision):
            self.on_outage(now)
        items = page.items
        if page.is_complete:
            items = tuple(
                _supersede(item, self._entries.get(item.key), page.revision)
                for item in items
            )
        changed = [item.key for item in items if self._apply_item(item, now)]
        if page.is_complete:
            changed.extend(self._remove_missing(page, now))
        if page.has_gap:
            self._gaps = _add_gap(
                self._gaps, _Gap(self._revision, page.revision)
            )
        self._confirm(page.revision, requested_at - page.age)
        return changed

    def _remove_missing(self, page: DirectoryPage, now: float) -> list[str]:
        listed = {item.key for item in page.items}
        return [
            key
            for key in tuple(self._entries)
            if not (key in listed or key.startswith(SHARD_PREFIX))
            and self._remove(key, page.revision, now)
        ]

    def _apply_item(self, item: DirectoryItem, now: float) -> bool:
        content = item.content
        if item.is_compressed:
            content = decompress(content)
        if not item.removed:
            has_changed = self._put(item.key, item.revision, content)
            if self._entries[item.key].revision < item.revision:
                # The value was another one in between, and a copy that pulls
                # from this one may have it.
                self._entries[item.key] = attrs.evolve(
                    self._entries[item.key], revision=item.revision
                )
            return has_changed
        known = self._entries.get(item.key)
        if known is not None and known.revision >= item.revision:
            return False
        self._store(
            Entry(
                item.key,
                item.revision,
                content,
                self._decode(item.key, content),
                removed=True,
                retained_until=now + item.doubtful_for,
            )
        )
        return True

    def _put(self, key: str, revision: int, content: bytes) -> bool:
        known = self._entries.get(key)
        if known is not None and known.revision >= revision:
            return False
        if known is not None and known.content == content:
            # Its reason was logged when it was first decoded.
            decoded = known.decoded
        else:
            decoded = self._decode(key, content)
        if _is_outdated(decoded, self._route_table):
            decoded = None
        elif known is not None and era_of(known.revision) < era_of(revision):
            decoded = _merge_restored(known, decoded, self._confirmed_at)
        if known is not None and not known.removed and known.decoded == decoded:
            if era_of(known.revision) < era_of(revision):
                # What is written from now on counts as it stands.
                self._entries[key] = attrs.evolve(known, revision=revision)
            return False
        self._store(Entry(key, revision, content, decoded))
        return True

    def _store(self, entry: Entry) -> None:
        self._entries[entry.key] = entry
        if entry.removed:
            self.evacuated.on_removed(entry.key)
        else:
            self.evacuated.on_entry(entry.key, entry.decoded)
        if isinstance(entry.decoded, Target):
            self._target_keys[entry.decoded.name] = entry.key
        if isinstance(entry.decoded, RouteTable) and not entry.removed:
            self._route_table = entry.decoded

    def _remove(self, key: str, revision: int, now: float) -> bool:
        known = self._entries.get(key)
        if known is None or known.removed or known.revision > revision:
            return False
        self.evacuated.on_removed(key)
        self._entries[key] = attrs.evolve(
            known,
            revision=revision,
            removed=True,
            retained_until=self._relist_until,
        )
        return True

    def _decode(self, key: str, content: bytes) -> Any:
        """Decode a value; one that fails any decoder counts as not valid."""
        try:
            return _decode_value(self._decode_item, key, content)
        except (MalformedFrame, InvalidAddress) as error:
            reason = error.message
        except Exception as error:
            # Other writers share the store: no value may end the process.
            reason = type(error).__name__
        log_event(
            Event.RECORD_INVALID, key=key, reason=reason[:MAX_REASON_LENGTH]
        )
        return None

    def _confirm(self, revision: int, confirmed_at: float) -> None:
        self._revision = max(self._revision, revision)
        self._confirmed_at = max(self._confirmed_at, confirmed_at)


def _is_outdated(decoded: object, in_force: RouteTable | None) -> bool:
    if in_force is None or not isinstance(decoded, RouteTable):
        return False
    if decoded.version >= in_force.version:
        return False
    log_event(
        Event.CONFIGURATION_STALE,
        version=in_force.version,
        offered=decoded.version,
    )
    return True


def _merge_restored(
    known: Entry, decoded: object, confirmed_at: float
) -> object:
    """Keep what was known of a target whose entry was restored.

    The entry may be of an earlier incarnation, or from before the target said
    that it leaves.

    :param known: Entry of the copy from before the restore.
    :param decoded: Restored value.
    :param confirmed_at: Monotonic time of the last confirmation of the copy,
        in seconds.
    :return: Value that counts until the target writes its entry again.
    """
    before = known.decoded
    if not (isinstance(decoded, Target) and isinstance(before, Target)):
        return decoded
    if before.born < decoded.born:
        return decoded
    is_gone = known.removed and known.retained_until <= confirmed_at
    latest = before if decoded.born < before.born else decoded
    leaving = before.leaving or is_gone or latest.leaving
    return attrs.evolve(latest, leaving=leaving)


def _supersede(
    item: DirectoryItem, known: Entry | None, revision: int
) -> DirectoryItem:
    """Let an item of a complete page count as newer than a known value.

    The sender may have missed that the key had another value in between, and
    then holds the latest one under an earlier revision.

    :param item: Item of the page.
    :param known: Entry of the copy under that key, if there is one.
    :param revision: Revision of the page.
    :return: Item, with the page's revision if the known value is later than
        the item's, but not than the page.
    """
    if known is None or not item.revision < known.revision <= revision:
        return item
    return attrs.evolve(item, revision=revision)


def _add_gap(gaps: list[_Gap], gap: _Gap) -> list[_Gap]:
    if len(gaps) < MAX_GAPS:
        return [*gaps, gap]
    first, second, *others = [*gaps, gap]
    return [_Gap(first.after, second.until), *others]


def _make_item(entry: Entry, now: float) -> DirectoryItem:
    is_large = len(entry.content) >= MIN_COMPRESSED_BYTES
    return DirectoryItem(
        entry.key,
        entry.revision,
        entry.removed,
        compress(entry.content) if is_large else entry.content,
        max(0, entry.retained_until - now),
        is_large,
    )


def _decode_value(
    decode_item: Callable[[str, bytes], CatalogItem | None],
    key: str,
    content: bytes,
) -> object:
    if key.startswith(SHARD_PREFIX):
        return unpack_record(content)
    for prefix, type_name in _ROUTER_RECORD_TYPES:
        if key.startswith(prefix):
            return _decode_router_record(type_name, content)
    return decode_item(key, content)


def _decode_router_record(type_name: str, content: bytes) -> object:
    record = decode(type_name, content)
    if isinstance(record, VmRecord):
        Address.parse(record.links)
        if record.relay:
            Address.parse(record.relay)
    return record
