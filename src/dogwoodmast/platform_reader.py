"""Copying of platform keys into the replicated documents.

Only the coordinator of a zone runs the reader continuously.  It reads all
keys once and then follows a single watch, which the platform counts as one
call.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast._documents import load_document
from dogwoodmast.backoff import Backoff
from dogwoodmast.configuration import Configuration
from dogwoodmast.configuration_store import CURRENT_KEY
from dogwoodmast.document_exchange import DocumentExchange
from dogwoodmast.document_store import (
    CONFIGURATION_NAME,
    Document,
    DocumentVersion,
)
from dogwoodmast.errors import ConfigurationError, PlatformError
from dogwoodmast.events import Event, log_event
from dogwoodmast.key_value import Change, Platform, Snapshot
from dogwoodmast.operator_order import ORDER_PREFIX
from dogwoodmast.ownership import (
    HOME_PREFIX,
    ZONE_PREFIX,
    HomeRecord,
    ZoneRecord,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

RECORDS_PREFIX = '/dogwoodmast/'
"""Prefix of the platform keys that are read; document names lack it."""
INITIAL_RETRY_DELAY = 0.2
"""Upper bound of the delay after the first failure, in seconds."""
MAX_RETRY_DELAY = 5.0
"""Upper bound of the delay after repeated failures, in seconds."""
TOMBSTONE = b''
"""Content of the document of a deleted order.  The document itself is kept,
so that peers learn of the deletion."""


def _platform_version(number: int) -> DocumentVersion:
    return DocumentVersion(0, 0, number)


def make_document(key: str, content: bytes, revision: int) -> Document | None:
    """Convert a platform key and its value to a document.

    Orders have no version of their own; their documents use the store
    revision.

    :param key: Platform key.
    :param content: Value of the key; :data:`TOMBSTONE` if an order was
        deleted.
    :param revision: Store revision of the key's last change.
    :return: Document, or ``None`` if keys of this kind are not replicated.
    :raises UnknownField: If the value is not valid.
    """
    name = key.removeprefix(RECORDS_PREFIX)
    if key == CURRENT_KEY:
        configuration = load_document(content, Configuration)
        version = _platform_version(configuration.version)
        return Document(CONFIGURATION_NAME, version, content)
    if key.startswith(HOME_PREFIX):
        home = load_document(content, HomeRecord)
        return Document(name, _platform_version(home.version), content)
    if key.startswith(ZONE_PREFIX):
        record = load_document(content, ZoneRecord)
        return Document(name, _platform_version(record.version), content)
    if key.startswith(ORDER_PREFIX):
        return Document(name, _platform_version(revision), content)
    return None


@attrs.define(eq=False)
class PlatformReader:
    """Reads platform keys and merges them into the replicated documents."""

    _platform: Platform
    _exchange: DocumentExchange
    _backoff: Backoff = attrs.field(
        factory=lambda: Backoff(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY)
    )
    _is_failing: bool = False
    _status_changed_at: float = 0

    @property
    def is_failing(self) -> bool:
        """Whether the latest read or watch failed."""
        return self._is_failing

    @property
    def status_changed_at(self) -> float:
        """Wall-clock time at which reads last began to fail or to succeed, in
        seconds since the Unix epoch; zero before the first read."""
        return self._status_changed_at

    async def run(self) -> None:
        """Read all keys and follow their changes until cancelled.

        Everything is read again after a failure and when a watch ends.
        """
        while True:
            try:
                await self._follow()
            except PlatformError as error:
                self._on_failure(error)
            await anyio.sleep(self._backoff.next_delay())

    async def refresh(self) -> Snapshot:
        """Read all keys once and merge them into the documents.

        :return: Keys and values that were read.
        :raises PlatformError: If the platform failed.
        """
        snapshot = await self._platform.read_prefix(RECORDS_PREFIX)
        self._exchange.merge(self._documents(snapshot))
        self._on_success()
        return snapshot

    async def _follow(self) -> None:
        snapshot = await self.refresh()
        async with self._platform.watch_prefix(
            RECORDS_PREFIX, snapshot.revision + 1
        ) as changes:
            async for change in changes:
                self._on_change(change)

    def _on_change(self, change: Change) -> None:
        content = TOMBSTONE if change.value is None else change.value
        document = _make_document_if_valid(change.key, content, change.revision)
        if document is not None:
            self._exchange.merge((document,))

    def _documents(self, snapshot: Snapshot) -> Iterator[Document]:
        names = set()
        for stored in snapshot.values:
            document = _make_document_if_valid(
                stored.key, stored.value, stored.revision
            )
            if document is not None:
                names.add(document.name)
                yield document
        yield from self._tombstones(names, snapshot.revision)

    def _tombstones(self, names: set[str], revision: int) -> Iterator[Document]:
        """Make tombstones of stored orders that the platform no longer has."""
        prefix = ORDER_PREFIX.removeprefix(RECORDS_PREFIX)
        for stored in self._exchange.store.with_prefix(prefix):
            if stored.name not in names and stored.content != TOMBSTONE:
                yield Document(
                    stored.name,
                    _platform_version(revision),
                    TOMBSTONE,
                )

    def _on_failure(self, error: PlatformError) -> None:
        if not self._is_failing:
            log_event(Event.PLATFORM_FAILED, reason=error.message)
            self._status_changed_at = time.time()
        self._is_failing = True

    def _on_success(self) -> None:
        if self._is_failing:
            log_event(Event.PLATFORM_BACK)
        if self._is_failing or not self._status_changed_at:
            self._status_changed_at = time.time()
        self._is_failing = False
        self._backoff.reset()


def _make_document_if_valid(
    key: str, content: bytes, revision: int
) -> Document | None:
    try:
        return make_document(key, content, revision)
    except ConfigurationError as error:
        log_event(Event.RECORD_INVALID, key=key, reason=error.message)
        return None
