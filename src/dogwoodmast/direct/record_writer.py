"""Store writes of one service's shard record, for one term."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from dogwoodmast.direct.shard_record import pack_record
from dogwoodmast.errors import PlatformAnswerLost, PlatformError
from dogwoodmast.events import Event, log_event
from dogwoodmast.key_value import MISSING_REVISION, Expectation, Put
from dogwoodmast.store_position import is_later_era

if TYPE_CHECKING:
    from dogwoodmast.direct.leadership import Leadership
    from dogwoodmast.direct.messages import ShardRecord
    from dogwoodmast.key_value import PolledStore, StoredValue

RECORD_RETRY_INTERVAL = 0.2
"""Pause before the retry of a failed write of the record, in seconds."""


class RecordWriter:
    """Writer that replaces only the record that it knows, and as coordinator.

    The store rejects a write if this VM is not the coordinator, so that nothing
    newer is replaced.
    """

    def __init__(
        self, key: str, epoch: int, leadership: Leadership, store: PolledStore
    ) -> None:
        """Create a writer for a record that is not stored yet.

        :param key: Store key of the record.
        :param epoch: Epoch of the coordinator's term.
        :param leadership: Source of the condition that this VM coordinates.
        :param store: Client of the platform's store.
        """
        self._key = key
        self._epoch = epoch
        self._leadership = leadership
        self._store = store
        self._revision = MISSING_REVISION

    async def read(self) -> StoredValue | None:
        """Read the stored record, which the next write replaces.

        :return: Record as it is stored, or ``None`` if there is none.
        :raises PlatformError: If the call to the store fails.
        """
        found = (await self._store.read(self._key)).first
        self._revision = found.revision if found else MISSING_REVISION
        return found

    async def write(self, record: ShardRecord) -> None:
        """Write a record, and retry until the store has confirmed it.

        :param record: Record to store.
        """
        while True:
            try:
                written = await self.try_write(record)
            except PlatformError as error:
                log_event(Event.RECORD_FAILED, reason=error.message)
            else:
                if written:
                    return
            await anyio.sleep(RECORD_RETRY_INTERVAL)

    async def try_write(self, record: ShardRecord) -> bool:
        """Write a record once.

        :param record: Record to store.
        :return: Whether it is stored.
        :raises PlatformError: If a call to the store fails; the record may be
            stored or not.
        """
        content = pack_record(record)
        expectations = (
            self._leadership.expectation,
            Expectation(self._key, self._revision),
        )
        try:
            swap = await self._store.swap(
                expectations, (Put(self._key, content),)
            )
        except PlatformAnswerLost:
            return await self._confirm_written(content)
        if swap.succeeded:
            self._revision = swap.revision
            return True
        return await self._confirm_written(content)

    async def _confirm_written(self, content: bytes) -> bool:
        """Tell whether a record is stored; if not, expect what is instead."""
        found = await self.read()
        if found is None or found.value != content:
            return False
        return not is_later_era(found.revision, self._epoch)
