"""Reader that keeps a knowledge base level with the platform.

Only the coordinator of a zone runs it steadily.  It reads everything once
and then follows one watch, which the platform counts as a single call.
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
"""Prefix of the platform keys that are read."""
FIRST_DELAY = 0.2
"""Upper bound of the first delay between tries, in seconds."""
LONGEST_DELAY = 5.0
"""Upper bound of the delays between tries, in seconds."""
TOMBSTONE = b''
"""Content of a document that stands for a removed key."""


def _number(number: int) -> DocumentVersion:
    return DocumentVersion(0, 0, number)


def document_of(key: str, content: bytes, revision: int) -> Document | None:
    """Make the document of a platform key.

    :param key: Platform key.
    :param content: Its value.
    :param revision: Store revision of its last change.
    :return: The document, or ``None`` if the key is not passed on.
    :raises UnknownField: If the value is not valid.
    """
    name = key.removeprefix(RECORDS_PREFIX)
    if key == CURRENT_KEY:
        configuration = load_document(content, Configuration)
        version = _number(configuration.version)
        return Document(CONFIGURATION_NAME, version, content)
    if key.startswith(HOME_PREFIX):
        home = load_document(content, HomeRecord)
        return Document(name, _number(home.version), content)
    if key.startswith(ZONE_PREFIX):
        record = load_document(content, ZoneRecord)
        return Document(name, _number(record.version), content)
    if key.startswith(ORDER_PREFIX):
        return Document(name, _number(revision), content)
    return None


@attrs.define(eq=False)
class PlatformReader:
    """Feeds what the platform holds into a knowledge exchange."""

    _platform: Platform
    _exchange: DocumentExchange
    _backoff: Backoff = attrs.field(
        factory=lambda: Backoff(FIRST_DELAY, LONGEST_DELAY)
    )
    _is_failing: bool = False
    _changed_at: float = 0

    @property
    def is_failing(self) -> bool:
        """Whether the last try to read failed."""
        return self._is_failing

    @property
    def status_changed_at(self) -> float:
        """Wall time of the last change between failing and not, in seconds;
        zero if the platform was never called."""
        return self._changed_at

    async def run(self) -> None:
        """Read and watch until cancelled."""
        while True:
            try:
                await self._follow()
            except PlatformError as error:
                self._on_failure(error)
            await anyio.sleep(self._backoff.next_delay())

    async def refresh(self) -> Snapshot:
        """Read everything once.

        :return: What was read.
        :raises PlatformError: If the platform fails.
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
        document = _checked_document(change.key, content, change.revision)
        if document is not None:
            self._exchange.merge((document,))

    def _documents(self, snapshot: Snapshot) -> Iterator[Document]:
        names = set()
        for stored in snapshot.values:
            document = _checked_document(
                stored.key, stored.value, stored.revision
            )
            if document is not None:
                names.add(document.name)
                yield document
        yield from self._removed_orders(names, snapshot.revision)

    def _removed_orders(
        self, names: set[str], revision: int
    ) -> Iterator[Document]:
        prefix = ORDER_PREFIX.removeprefix(RECORDS_PREFIX)
        for known in self._exchange.store.with_prefix(prefix):
            if known.name not in names and known.content != TOMBSTONE:
                yield Document(known.name, _number(revision), TOMBSTONE)

    def _on_failure(self, error: PlatformError) -> None:
        if not self._is_failing:
            log_event(Event.PLATFORM_FAILED, reason=error.message)
            self._changed_at = time.time()
        self._is_failing = True

    def _on_success(self) -> None:
        if self._is_failing:
            log_event(Event.PLATFORM_BACK)
        if self._is_failing or not self._changed_at:
            self._changed_at = time.time()
        self._is_failing = False
        self._backoff.reset()


def _checked_document(
    key: str, content: bytes, revision: int
) -> Document | None:
    try:
        return document_of(key, content, revision)
    except ConfigurationError as error:
        log_event(Event.RECORD_INVALID, key=key, reason=error.message)
        return None
