"""Entry VMs, a store and targets in one process, for tests of direct ways."""

from __future__ import annotations

import base64
import contextlib
import pathlib
import socket
import time
from typing import TYPE_CHECKING, Any

import anyio
import attrs
import httpcore

from dogwoodmast._wire import encode
from dogwoodmast.address import Address
from dogwoodmast.direct.daemon import DirectVm
from dogwoodmast.direct.directory import COORDINATOR_KEY
from dogwoodmast.direct.messages import VmRecord
from dogwoodmast.direct.settings import (
    Bounds,
    DirectListenSettings,
    DirectSettings,
)
from dogwoodmast.settings import LogSettings, VmSettings
from metadata_store import StoreContent, StoreServer, serving
from platform_target import PlatformTarget

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HOST = 'shop.example'
READY_TIMEOUT = 10.0
KILLED_LEASE = 60.0
"""Time that a killed coordinator's lease still lasts, in seconds; longer
than tests wait."""
OK = 200


def free_address() -> Address:
    """Find a free port."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return Address('127.0.0.1', probe.getsockname()[1])


def configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Write a configuration as an operator does."""
    routes = [
        route('balance', 'idempotent', 'solde'),
        route('payment', 'non_idempotent', 'paiement'),
        route('receipt', 'download', 'paiement'),
    ]
    services = [
        {'name': 'solde', 'sharded': True, 'max_conns': 100},
        {'name': 'paiement', 'max_conns': 100},
    ]
    return {
        'version': f'{version:08x}',
        'routes': routes,
        'services': services,
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 100_000,
            'header_timeout_s': 3,
            'idle_timeout_s': 15,
        },
        **changes,
    }


def route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Write a route as an operator does."""
    return {
        'name': name,
        'host': HOST,
        'prefix': f'/{name}/',
        'type': kind,
        'timeout_s': 1.5,
        'objective_s': 0.5,
        'priority': 1,
        'max_attempts': 2,
        'service': service,
        **changes,
    }


@attrs.define(eq=False)
class DirectFleet:
    """Everything that a test needs."""

    content: StoreContent
    store: StoreServer
    targets: dict[str, PlatformTarget]
    addresses: dict[str, Address]
    callers: list[Address] = attrs.field(factory=list)
    readiness: list[Address] = attrs.field(factory=list)
    _attempts: int = 0

    def list_target(self, name: str, **changes: Any) -> None:
        """Write a target's entry."""
        target = self.targets[name]
        document = {
            'service': 'solde' if target.sharded else 'paiement',
            'address': str(self.addresses[name]),
            'zone': 'a',
            'version': 'v1',
            'slots': 4,
            'state': 'ready',
            'warmup_left_s': 0,
            'sequence': 1,
            'born': 1,
            **changes,
        }
        self.content.put_document(f'servers/{name}', document)

    def unlist_target(self, name: str) -> None:
        """Remove a target's entry."""
        self.content.write([], [f'servers/{name}'])

    async def ask(
        self,
        path: str,
        *,
        method: str = 'GET',
        patience: int = 1500,
        key: int | None = None,
        vm: int = 0,
        **given: Any,
    ) -> httpcore.Response:
        """Send a request as a client does; ``attempt`` and ``body`` too."""
        self._attempts += 1
        attempt = given.get('attempt') or f'attempt-{self._attempts}'
        headers: dict[str | bytes, str | bytes] = {
            'Host': HOST,
            'Request-Attempt-Id': attempt,
            'Request-Deadline-Ms': str(patience),
        }
        if key is not None:
            headers['Shard-Key'] = str(key)
        url = f'http://{self.callers[vm]}{path}'
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(
                method, url, headers=headers, content=given.get('body')
            )

    async def await_ready(self) -> None:
        """Wait until every VM takes callers and every key is served."""
        with anyio.fail_after(READY_TIMEOUT):
            for vm, _ in enumerate(self.callers):
                while (await self.ask_key(vm)) != 200:
                    await anyio.sleep(0.05)

    async def ask_key(self, vm: int) -> int:
        """Ask for a key and tell the status."""
        if not any(target.sharded for target in self.targets.values()):
            return (await self.ask('/payment/x', vm=vm)).status
        return (await self.ask('/balance/x', key=7, vm=vm)).status


@contextlib.asynccontextmanager
async def direct_fleet(
    *targets: PlatformTarget,
    vms: int = 1,
    document: Any = None,
    reign_left: bool = False,
) -> AsyncIterator[DirectFleet]:
    """Start a store, targets and entry VMs."""
    content = StoreContent()
    store = StoreServer(content)
    store_address = free_address()
    addresses = {target.name: free_address() for target in targets}
    fleet = DirectFleet(
        content, store, {one.name: one for one in targets}, addresses
    )
    given = configuration() if document is None else document
    content.put_document('op/config', given)
    apps = [(one, addresses[one.name]) for one in targets]
    async with serving((store, store_address), *apps):
        for target in targets:
            fleet.list_target(target.name)
        async with anyio.create_task_group() as tasks:
            for number in range(vms):
                settings = vm_settings(f'vm{number}', store_address)
                if reign_left:
                    leave_reign(content, settings)
                fleet.callers.append(settings.listen.callers)
                fleet.readiness.append(settings.listen.readiness)
                vm = DirectVm(settings, pathlib.Path('none'))
                tasks.start_soon(vm.run)
            while not await is_listening(fleet.callers):
                await anyio.sleep(0.02)
            yield fleet
            tasks.cancel_scope.cancel()


def leave_reign(content: StoreContent, settings: DirectSettings) -> None:
    """Leave the record of a coordinator that was killed a moment ago."""
    record = VmRecord(
        settings.vm.name, 'a', str(settings.listen.links), 'earlier'
    )
    lease = 5
    content.leases[lease] = (KILLED_LEASE, time.monotonic() + KILLED_LEASE)
    value = base64.b64encode(encode(record)).decode()
    put = {'key': COORDINATOR_KEY, 'value': value, 'lease': lease}
    content.write([put], [])


async def is_ready(address: Address) -> bool:
    """Ask an entry VM whether it takes callers."""
    url = f'http://{address}/api/readiness'
    async with httpcore.AsyncConnectionPool() as pool:
        return (await pool.request('GET', url)).status == OK


async def is_listening(addresses: list[Address]) -> bool:
    """Tell whether all addresses take connections."""
    for address in addresses:
        try:
            stream = await anyio.connect_tcp(address.host, address.port)
        except OSError:
            return False
        await stream.aclose()
    return True


def vm_settings(name: str, store: Address) -> DirectSettings:
    """Make the settings of an entry VM."""
    listen = DirectListenSettings(
        free_address(), free_address(), free_address(), free_address()
    )
    return DirectSettings(
        VmSettings(name, 'a'), listen, store, Bounds(), LogSettings()
    )
