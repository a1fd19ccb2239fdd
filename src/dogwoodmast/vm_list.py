"""VM list of the platform: its content, interface and HTTP client."""

from __future__ import annotations

import enum
from http import HTTPStatus
from typing import Protocol

import attrs
import httpcore

from dogwoodmast._documents import load_document
from dogwoodmast.address import Address
from dogwoodmast.errors import DogwoodmastError

REQUEST_TIMEOUT = 1.0
"""Time-out of connecting, of each read and of the wait for the connection,
in seconds."""


@attrs.define
class VmListUnavailable(DogwoodmastError):
    """The VM list could not be read."""

    endpoint: str
    """URL of the list."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return f'VM list at {self.endpoint} cannot be read'


class VmRole(enum.StrEnum):
    """Role of a VM."""

    ENTRY = 'entry'
    """Entry VM, which runs the router."""
    BACKEND = 'backend'
    """VM that runs a backend server of a service."""


class VmState(enum.StrEnum):
    """State of a VM, as reported by the platform."""

    LIVE = 'live'
    """The VM is in use."""
    LEAVING = 'leaving'
    """The platform is going to remove the VM."""


@attrs.frozen
class Vm:
    """Entry of the VM list."""

    name: str
    """Name of the VM; for a backend VM also the name of its target."""
    zone: str
    """Name of the availability zone that the VM runs in."""
    role: VmRole
    """Role of the VM."""
    address: Address
    """Link address of an entry VM, or HTTP address of a backend VM."""
    state: VmState = VmState.LIVE
    """Whether the VM is in use or about to be removed."""


@attrs.frozen
class VmListing:
    """Content of the VM list, as of one read."""

    vms: tuple[Vm, ...]
    """All VMs of the list."""

    def entry_vms(self, zone: str | None = None) -> tuple[Vm, ...]:
        """Select the entry VMs of a zone, or all entry VMs.

        :param zone: Name of the availability zone, or ``None`` for all
            zones.
        :return: Entry VMs in the order of the list.
        """
        return tuple(
            vm
            for vm in self.vms
            if vm.role is VmRole.ENTRY and zone in {None, vm.zone}
        )

    def find(self, name: str) -> Vm | None:
        """Find a VM by its name.

        :param name: Name of the VM.
        :return: Entry of the VM, or ``None`` if it is not listed.
        """
        for vm in self.vms:
            if vm.name == name:
                return vm
        return None


class VmList(Protocol):
    """Client of the platform's VM list."""

    async def fetch(self) -> VmListing:
        """Fetch the current VM list.

        :return: Content of the list.
        :raises VmListUnavailable: If it cannot be read.
        """


class HttpVmList:
    """Client of a VM list served as JSON over HTTP."""

    def __init__(self, endpoint: str) -> None:
        """Create a client; the connection is opened on demand.

        :param endpoint: URL of the list.
        """
        self._endpoint = endpoint
        self._pool = httpcore.AsyncConnectionPool(max_connections=1)

    async def aclose(self) -> None:
        """Close the connection if it is open."""
        await self._pool.aclose()

    async def fetch(self) -> VmListing:
        """Fetch the current VM list.

        :return: Content of the list.
        :raises VmListUnavailable: If it cannot be read.
        """
        timeout = {
            'connect': REQUEST_TIMEOUT,
            'read': REQUEST_TIMEOUT,
            'pool': REQUEST_TIMEOUT,
        }
        try:
            response = await self._pool.request(
                'GET', self._endpoint, extensions={'timeout': timeout}
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            raise VmListUnavailable(self._endpoint) from None
        if response.status != HTTPStatus.OK:
            raise VmListUnavailable(self._endpoint)
        return load_document(response.content, VmListing)
