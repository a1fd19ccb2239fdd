"""Keeps an entry VM listed in the store while it is up."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from dogwoodmast._wire import encode
from dogwoodmast.backoff import Backoff
from dogwoodmast.direct.directory import VM_PREFIX
from dogwoodmast.errors import PlatformError
from dogwoodmast.events import Event, log_event
from dogwoodmast.key_value import Put

if TYPE_CHECKING:
    from dogwoodmast.direct.messages import VmRecord
    from dogwoodmast.key_value import PolledStore

LISTING_TTL = 12
"""Time after which a VM that fell silent is no longer listed, in seconds;
others pass over a VM that does not answer long before."""
RENEWAL_INTERVAL = 4.0
"""Pause between renewals, in seconds; a third of the time to live."""
RETRY_FIRST = 0.25
"""Bound of the first pause after a failure, in seconds."""
RETRY_LONGEST = 2.0
"""Bound of every pause after a failure, in seconds."""


class VmRegistration:
    """Task that keeps the VM's record in the store."""

    def __init__(self, record: VmRecord, store: PolledStore) -> None:
        """Create the task.

        :param record: Record of the own VM.
        :param store: The store.
        """
        self._record = record
        self._store = store
        self._lease = 0
        self._backoff = Backoff(RETRY_FIRST, RETRY_LONGEST)

    async def run(self) -> None:
        """Keep the record until cancelled."""
        while True:
            try:
                await self._keep()
            except PlatformError as error:
                log_event(Event.LISTING_FAILED, reason=error.message)
                await anyio.sleep(self._backoff.next_delay())
                continue
            self._backoff.reset()
            await anyio.sleep(RENEWAL_INTERVAL)

    async def leave(self) -> None:
        """Take the record out of the store."""
        lease = self._lease
        self._lease = 0
        if not lease:
            return
        try:
            await self._store.revoke_lease(lease)
        except PlatformError as error:
            log_event(Event.LISTING_FAILED, reason=error.message)

    async def _keep(self) -> None:
        if self._lease and await self._store.renew_lease(self._lease):
            return
        lease = await self._store.grant_lease(LISTING_TTL)
        key = f'{VM_PREFIX}{self._record.name}'
        await self._store.swap((), (Put(key, encode(self._record), lease),))
        self._lease = lease
