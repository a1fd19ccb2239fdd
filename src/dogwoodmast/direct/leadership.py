"""Election of the one entry VM that grants keys to targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast._wire import decode, encode
from dogwoodmast.direct.directory import COORDINATOR_KEY
from dogwoodmast.direct.messages import VmRecord
from dogwoodmast.errors import PlatformAnswerLost, PlatformError
from dogwoodmast.events import Event, log_event
from dogwoodmast.key_value import MISSING_REVISION, Expectation, Put

if TYPE_CHECKING:
    from dogwoodmast.clock import Clock
    from dogwoodmast.key_value import PolledStore

LEASE_TTL = 3
"""Time after which the store drops a coordinator that fell silent, in
seconds; keys stay held twice as long, so that a takeover loses none."""
LEASE_MARGIN = 0.2
"""Time by which a coordinator stops before its lease may end, in seconds."""
RENEWAL_INTERVAL = 0.8
"""Pause between renewals, in seconds; three may fail within a lease."""
RENEWAL_RETRY = 0.2
"""Pause after a renewal that failed, in seconds."""


@attrs.frozen
class CoordinatorTerm:
    """Time for which one entry VM is the coordinator."""

    epoch: int
    """Store revision of the coordinator's record; later reigns are greater."""
    lease: int
    """Lease that the record ends with."""


class Leadership:
    """The coordinator's lease of the own VM."""

    def __init__(
        self, record: VmRecord, store: PolledStore, clock: Clock
    ) -> None:
        """Create it without a lease.

        :param record: Record of the own VM.
        :param store: The store.
        :param clock: Clock that counts suspended time.
        """
        self._record = record
        self._store = store
        self._clock = clock
        self._valid_until = float('-inf')
        self._reign: CoordinatorTerm | None = None

    @property
    def term(self) -> CoordinatorTerm | None:
        """The current reign, or ``None`` if this VM may not act."""
        if self._clock.monotonic() >= self._valid_until:
            return None
        return self._reign

    @property
    def expectation(self) -> Expectation:
        """Condition that holds only while this VM is the coordinator."""
        epoch = self._reign.epoch if self._reign else MISSING_REVISION
        return Expectation(COORDINATOR_KEY, epoch)

    def is_own(self, record: VmRecord) -> bool:
        """Tell whether a coordinator's record is the own VM's.

        :param record: Record of this or an earlier life.
        :return: Whether name and address are the own ones; an earlier life
            at this address has ended, since its ports are free.
        """
        own = self._record
        return (record.name, record.links) == (own.name, own.links)

    async def reclaim(self) -> CoordinatorTerm | None:
        """Become the coordinator in place of an earlier own reign.

        It was lost with the process or while the store did not answer, and
        would keep other VMs away until its lease ends.

        :return: The reign, or ``None`` if another VM was first.
        :raises PlatformError: If the store does not answer.
        """
        found = (await self._store.read(COORDINATOR_KEY)).first
        if found is not None:
            record = decode('VmRecord', found.value)
            if not (isinstance(record, VmRecord) and self.is_own(record)):
                return None
            await self._store.revoke_lease(found.lease)
        return await self.campaign()

    async def campaign(self) -> CoordinatorTerm | None:
        """Try to become the coordinator.

        :return: The reign, or ``None`` if another VM was first.
        :raises PlatformError: If the store does not answer.
        """
        asked_at = self._clock.monotonic()
        lease = await self._store.grant_lease(LEASE_TTL)
        revision = await self._write_record(lease)
        if revision is None:
            await self._store.revoke_lease(lease)
            return None
        self._reign = CoordinatorTerm(revision, lease)
        self._extend(asked_at)
        log_event(Event.ROLE_TAKEN, vm=self._record.name, epoch=revision)
        return self._reign

    async def keep(self, term: CoordinatorTerm) -> None:
        """Renew the lease until it is lost.

        :param term: The current reign.
        """
        while self.term is term:
            asked_at = self._clock.monotonic()
            try:
                stands = await self._store.renew_lease(term.lease)
            except PlatformError as error:
                log_event(Event.RENEWAL_FAILED, reason=error.message)
                await anyio.sleep(RENEWAL_RETRY)
                continue
            if not stands:
                break
            self._extend(asked_at)
            await anyio.sleep(RENEWAL_INTERVAL)
        self._end()

    async def resign(self) -> None:
        """Give the role up, so that another VM can take it at once.

        While the store does not answer nobody can take it, so the reign goes
        on until its lease ends.
        """
        term = self._reign
        if term is None:
            return
        try:
            await self._store.revoke_lease(term.lease)
        except PlatformError as error:
            log_event(Event.RENEWAL_FAILED, reason=error.message)
            return
        self._end()

    async def _write_record(self, lease: int) -> int | None:
        content = encode(self._record)
        try:
            swap = await self._store.swap(
                (Expectation(COORDINATOR_KEY, MISSING_REVISION),),
                (Put(COORDINATOR_KEY, content, lease),),
            )
        except PlatformAnswerLost:
            return await self._find_own_record(content)
        return swap.revision if swap.succeeded else None

    async def _find_own_record(self, content: bytes) -> int | None:
        found = (await self._store.read(COORDINATOR_KEY)).first
        if found is None or found.value != content:
            return None
        return found.revision

    def _extend(self, asked_at: float) -> None:
        self._valid_until = asked_at + LEASE_TTL - LEASE_MARGIN

    def _end(self) -> None:
        if self._reign is not None:
            log_event(Event.ROLE_GIVEN_UP, epoch=self._reign.epoch)
        self._reign = None
        self._valid_until = float('-inf')
