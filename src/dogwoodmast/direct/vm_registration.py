"""Registration of the local entry VM in the store."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import anyio

from dogwoodmast._wire import encode
from dogwoodmast.address import Address
from dogwoodmast.backoff import Backoff
from dogwoodmast.direct.directory import VM_PREFIX, Directory
from dogwoodmast.direct.messages import VmRecord
from dogwoodmast.errors import PlatformError
from dogwoodmast.events import Event, log_event
from dogwoodmast.frames import PROTOCOL_VERSION, Hello
from dogwoodmast.key_value import NO_LEASE, Put
from dogwoodmast.store_position import era_of

if TYPE_CHECKING:
    from dogwoodmast.direct.settings import DirectSettings
    from dogwoodmast.key_value import PolledStore

LISTING_TTL = 12
"""Time to live of the registration without renewals, in seconds; other VMs
skip a VM that does not answer long before it expires."""
RENEWAL_INTERVAL = 4.0
"""Pause between renewals, in seconds; a third of the time to live."""
RESTORE_CHECK_INTERVAL = 0.5
"""Pause between checks whether the store was restored, in seconds; other VMs
keep a missing record for two seconds."""
INITIAL_BACKOFF = 0.25
"""Upper bound of the first pause after a failure, in seconds."""
MAX_BACKOFF = 1.0
"""Upper bound of all pauses after failures, in seconds."""
INCARNATION_BYTES = 8
"""Random bytes of an incarnation ID, which identifies one run of the process;
enough to make IDs unique."""


def make_vm_record(settings: DirectSettings) -> VmRecord:
    """Make the record of a process that starts.

    :param settings: Settings of the process.
    :return: Record with a new incarnation ID.
    """
    return VmRecord(
        settings.vm.name,
        settings.vm.zone,
        str(settings.listen.links),
        secrets.token_hex(INCARNATION_BYTES),
        settings.capacity,
        str(settings.listen.relay or ''),
        keeps_room=True,
    )


def make_hello(record: VmRecord) -> Hello:
    """Make the first message on links to other VMs.

    :param record: Record that identifies the local VM.
    :return: Message with its name, zone and incarnation.
    """
    return Hello(record.name, record.zone, record.incarnation, PROTOCOL_VERSION)


def peer_addresses(own: VmRecord, directory: Directory) -> list[Address]:
    """Return the addresses of the other entry VMs that are registered.

    :param own: Record of the local VM.
    :param directory: Local copy of the store.
    :return: Addresses of their links.
    """
    return [
        Address.parse(vm.links)
        for vm in directory.vms().values()
        if vm.name != own.name
    ]


def is_list_certain(directory: Directory) -> bool:
    """Tell whether no VM is listed that other copies do not list any more.

    :param directory: Local copy of the store.
    :return: Whether no removal is in doubt because of an outage of the store.
    """
    return len(directory.vms()) == len(directory.vms(is_certain=True))


class VmRegistration:
    """Task that keeps the local VM's record in the store, bound to a lease."""

    def __init__(
        self,
        record: VmRecord,
        store: PolledStore,
        directory: Directory | None = None,
    ) -> None:
        """Create the task.

        :param record: Record that identifies the local VM.
        :param store: Client of the platform's store.
        :param directory: Local copy of the store, which shows whether the
            record is still there; default: it is as long as its lease stands.
        """
        self._record = record
        self._store = store
        self._lease = NO_LEASE
        self._directory = directory
        self._is_written = False
        self._revision = 0
        self._is_leaving = False

    async def run(self) -> None:
        """Register, and renew the registration, until the VM leaves."""
        backoff = Backoff(INITIAL_BACKOFF, MAX_BACKOFF)
        while not self._is_leaving:
            try:
                await self._renew_or_register()
            except PlatformError as error:
                log_event(Event.LISTING_FAILED, reason=error.message)
                await anyio.sleep(backoff.next_delay())
                continue
            backoff.reset()
            await self._await_renewal()

    async def leave(self) -> None:
        """Remove the record from the store for good.

        A write of the record that is under way, or that the store makes late,
        is bound to the same lease and fails once that has ended.
        """
        self._is_leaving = True
        backoff = Backoff(INITIAL_BACKOFF, MAX_BACKOFF)
        while self._lease != NO_LEASE:
            try:
                await self._store.revoke_lease(self._lease)
            except PlatformError as error:
                log_event(Event.LISTING_FAILED, reason=error.message)
                await anyio.sleep(backoff.next_delay())
            else:
                self._lease = NO_LEASE

    async def _await_renewal(self) -> None:
        """Wait until the record is to be renewed, or may have been lost."""
        era = self._era
        for _ in range(round(RENEWAL_INTERVAL / RESTORE_CHECK_INTERVAL)):
            await anyio.sleep(RESTORE_CHECK_INTERVAL)
            if self._era != era:
                break

    @property
    def _era(self) -> int:
        """Era of the copy of the store."""
        return era_of(self._directory.revision) if self._directory else 0

    async def _renew_or_register(self) -> None:
        lease = self._lease
        if lease == NO_LEASE or not await self._store.renew_lease(lease):
            self._is_written = False
            lease = await self._store.grant_lease(LISTING_TTL)
            if self._is_leaving:
                # No record is bound to the new lease, so that it may expire.
                return
            self._lease = lease
        if self._is_leaving or (self._is_written and not self._is_replaced()):
            return
        key = f'{VM_PREFIX}{self._record.name}'
        written = await self._store.swap(
            (), (Put(key, encode(self._record), lease),)
        )
        self._revision = written.revision
        self._is_written = True

    def _is_replaced(self) -> bool:
        """Tell whether the copy shows that the record was written over.

        The store may make a write of an earlier process late, and remove it
        when that one's lease ends.
        """
        copy = self._directory
        if copy is None or copy.revision < self._revision:
            return False
        found = copy.vms(is_certain=True).get(self._record.name)
        return found is None or found.incarnation != self._record.incarnation
