"""Leader election among entry VMs: the leader is the coordinator of keys.

The coordinator writes its record to the store, bound to a lease, and keeps
the role for as long as it renews the lease.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast._wire import decode, encode
from dogwoodmast.direct.directory import COORDINATOR_KEY
from dogwoodmast.direct.fence_counter import FenceCounter
from dogwoodmast.direct.messages import VmRecord
from dogwoodmast.errors import (
    FencesUsedUp,
    MalformedFrame,
    PlatformAnswerLost,
    PlatformError,
    PlatformUnavailable,
)
from dogwoodmast.events import Event, log_event
from dogwoodmast.key_value import MISSING_REVISION, Expectation, Put

if TYPE_CHECKING:
    from dogwoodmast.clock import Clock
    from dogwoodmast.key_value import PolledStore

LEASE_TTL = 3
"""Time to live of the coordinator's lease in the store, in seconds.  Keys are
granted for twice as long, so that none expires during a takeover."""
LEASE_MARGIN = 0.2
"""Time before the earliest possible expiry of its lease at which a
coordinator stops acting, in seconds."""
RENEWAL_INTERVAL = 0.85
"""Time from the start of one lease renewal to the next, in seconds; three
renewals fit into the lease, so that it survives failures of some."""
RENEWAL_TIMEOUT = 0.6
"""Time limit for the store's answer to a renewal that follows one that
succeeded, in seconds; a slow store takes up to 0.4 s.  A retry on another
connection then fits into the term, with the limit of the store's client."""
RENEWAL_RETRY_INTERVAL = 0.2
"""Pause before the retry of a failed lease renewal, in seconds."""


@attrs.frozen
class CoordinatorTerm:
    """Period for which one entry VM is the coordinator."""

    epoch: int
    """Store position at which the coordinator's record was written; later
    terms have greater epochs, also after a restore of the store."""
    lease: int
    """Store lease that the coordinator's record is bound to."""


class Leadership:
    """Candidacy of the local entry VM for the coordinator role."""

    def __init__(
        self, record: VmRecord, store: PolledStore, clock: Clock
    ) -> None:
        """Create a candidate that does not hold the role.

        :param record: Record that identifies the local VM.
        :param store: Client of the platform's store.
        :param clock: Monotonic clock that also advances while the machine is
            suspended.
        """
        self._record = record
        self._store = store
        self._clock = clock
        self._valid_until = float('-inf')
        self._term: CoordinatorTerm | None = None
        self._confirmed_at = float('-inf')
        self._confirmed_again_from = float('-inf')
        self._confirming = anyio.Lock()
        self._resigning = anyio.Lock()
        self._confirmation_due_at = float('-inf')

    @property
    def term(self) -> CoordinatorTerm | None:
        """Current term, or ``None`` if this VM is not the coordinator."""
        if self._clock.monotonic() >= self._valid_until:
            return None
        return self._term

    @property
    def may_act(self) -> bool:
        """Whether this VM is the coordinator and has not begun to resign.

        After a resignation whose outcome is not known, it acts again once a
        renewal has shown that the lease still stands.
        """
        return (
            self.term is not None
            and self._confirmed_at >= self._confirmed_again_from
        )

    @property
    def expectation(self) -> Expectation:
        """Compare-and-swap condition that this VM is the coordinator.

        With it the store rejects writes of a coordinator that was replaced.
        """
        epoch = self._term.epoch if self._term else MISSING_REVISION
        return Expectation(COORDINATOR_KEY, epoch)

    def is_own(self, record: VmRecord) -> bool:
        """Check whether a coordinator's record belongs to the local VM.

        :param record: Record of any entry VM.
        :return: Whether name and address are the local VM's.  The record may
            be of an earlier incarnation; that one has ended, since this
            process could bind the same address.
        """
        own = self._record
        return (record.name, record.links) == (own.name, own.links)

    async def reclaim(self) -> CoordinatorTerm | None:
        """Replace an earlier term of the local VM by a new one.

        The earlier term ended with a former process or during an outage of
        the store.  Until its lease expires, its record would block every
        campaign, so the lease is revoked first.

        :return: The new term, or ``None`` if another VM is the coordinator.
        :raises PlatformError: If a call to the store fails.
        """
        found = (await self._store.read(COORDINATOR_KEY)).first
        if found is not None:
            if not self._is_own_content(found.value):
                return None
            await self._store.revoke_lease(found.lease)
        return await self.campaign()

    async def campaign(self) -> CoordinatorTerm | None:
        """Try to become the coordinator.

        :return: The new term, or ``None`` if another VM is the coordinator.
        :raises PlatformError: If a call to the store fails, or there are no
            more fencing tokens.
        """
        await self._store.agree_on_eras()
        requested_at = self._clock.monotonic()
        lease = await self._store.grant_lease(LEASE_TTL)
        revision = await self._write_record(lease)
        if revision is None:
            await self._store.revoke_lease(lease)
            return None
        if not FenceCounter(revision).is_exact:
            await self._store.revoke_lease(lease)
            raise FencesUsedUp(revision)
        self._term = CoordinatorTerm(revision, lease)
        self._confirmed_again_from = float('-inf')
        self._on_confirmed(requested_at)
        log_event(Event.ROLE_TAKEN, vm=self._record.name, epoch=revision)
        return self._term

    async def renew_until_lost(self, term: CoordinatorTerm) -> None:
        """Renew the lease until it expires or the term ends otherwise.

        A confirmation of the term counts as a renewal.

        :param term: Current term.
        """
        timeout = RENEWAL_TIMEOUT
        while self.term is term:
            confirmed_at = self._confirmed_at
            renewed_for = self._clock.monotonic() - confirmed_at
            await anyio.sleep(max(0, RENEWAL_INTERVAL - renewed_for))
            if self.term is not term or self._confirmed_at > confirmed_at:
                continue
            try:
                await self._renew(term, timeout)
            except PlatformError as error:
                log_event(Event.RENEWAL_FAILED, reason=error.message)
                timeout = math.inf
                await anyio.sleep(RENEWAL_RETRY_INTERVAL)
            else:
                timeout = RENEWAL_TIMEOUT
        self._end_term()

    async def confirm(self, since: float) -> bool:
        """Make sure that the lease stood at some time after a given one.

        The store may revoke a lease without telling its holder.  Another term
        can have begun only after the time at which this one was confirmed.
        Callers that wait together share one renewal, also one that fails.

        :param since: Monotonic time in seconds, not in the future.
        :return: Whether the lease stood, and this VM has not begun to resign;
            not if the store gave no answer.
        """
        async with self._confirming:
            is_due = self._clock.monotonic() >= self._confirmation_due_at
            if is_due and self._confirmed_at < since:
                await self._try_confirm(since)
        return self.may_act and self._confirmed_at >= since

    async def _try_confirm(self, since: float) -> None:
        term = self.term
        if term is None:
            return
        try:
            await self._renew(term, math.inf)
        except PlatformError as error:
            log_event(Event.RENEWAL_FAILED, reason=error.message)
        finally:
            if self._confirmed_at < since:
                self._confirmation_due_at = (
                    self._clock.monotonic() + RENEWAL_RETRY_INTERVAL
                )

    async def resign(self) -> None:
        """Revoke the lease, so that another VM can take over at once.

        Another VM may have the role before the store's answer is here, so this
        one stops to act first.  If the store cannot be reached, it goes on; if
        the answer is lost, it goes on once a renewal has succeeded.
        """
        async with self._resigning:
            if self._term is not None:
                await self._revoke(self._term)

    def abandon(self, term: CoordinatorTerm) -> None:
        """End a term whose lease is known to be void.

        :param term: Term of an era before the latest restore of the store.
        """
        if self._term is term:
            self._end_term()

    async def _revoke(self, term: CoordinatorTerm) -> None:
        confirmed_again_from = self._confirmed_again_from
        self._confirmed_again_from = float('inf')
        try:
            await self._store.revoke_lease(term.lease)
        except PlatformUnavailable as error:
            log_event(Event.RENEWAL_FAILED, reason=error.message)
            self._confirmed_again_from = confirmed_again_from
        except PlatformError as error:
            log_event(Event.RENEWAL_FAILED, reason=error.message)
            self._confirmed_again_from = self._clock.monotonic()
        else:
            if self._term is term:
                self._end_term()

    def _is_own_content(self, content: bytes) -> bool:
        """Tell whether a stored record is the local VM's; not if unreadable."""
        try:
            record = decode('VmRecord', content)
        except MalformedFrame:
            return False
        return isinstance(record, VmRecord) and self.is_own(record)

    async def _write_record(self, lease: int) -> int | None:
        content = encode(self._record)
        try:
            swap = await self._store.swap(
                (Expectation(COORDINATOR_KEY, MISSING_REVISION),),
                (Put(COORDINATOR_KEY, content, lease),),
            )
        except PlatformAnswerLost:
            return await self._find_own_record(content, lease)
        return swap.revision if swap.succeeded else None

    async def _find_own_record(self, content: bytes, lease: int) -> int | None:
        """Tell the revision of a record that may have been written.

        A write of an earlier campaign may be executed late, with the same
        content and the lease of that campaign.
        """
        found = (await self._store.read(COORDINATOR_KEY)).first
        if found is None or (found.value, found.lease) != (content, lease):
            return None
        return found.revision

    async def _renew(self, term: CoordinatorTerm, timeout: float) -> None:
        """Renew the lease; end the term if the lease has ended.

        :param term: Current term.
        :param timeout: Time limit in seconds, beside that of the store's
            client.
        :raises PlatformError: If the call to the store fails.
        """
        requested_at = self._clock.monotonic()
        is_renewed = await self._request_renewal(term.lease, timeout)
        if self._term is not term:
            return
        if is_renewed:
            self._on_confirmed(requested_at)
        else:
            self._end_term()

    async def _request_renewal(self, lease: int, timeout: float) -> bool:
        try:
            with anyio.fail_after(timeout):
                return await self._store.renew_lease(lease)
        except TimeoutError:
            # Whatever silenced this connection may have silenced the idle
            # ones too.
            await self._store.aclose()
            raise PlatformAnswerLost('store') from None

    def _on_confirmed(self, requested_at: float) -> None:
        """Record that the lease was granted or renewed by the store."""
        self._confirmed_at = max(self._confirmed_at, requested_at)
        self._valid_until = self._confirmed_at + LEASE_TTL - LEASE_MARGIN

    def _end_term(self) -> None:
        if self._term is not None:
            log_event(Event.ROLE_GIVEN_UP, epoch=self._term.epoch)
        self._term = None
        self._valid_until = float('-inf')
