"""Entry VMs, a metadata store and targets in one process."""

from __future__ import annotations

import base64
import contextlib
import pathlib
import time
from typing import TYPE_CHECKING, Any

import anyio
import attrs
import httpcore

from cut_path import Cut, CutPath
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
from fleet import free_addresses
from metadata_store import StoreContent, StoreServer, serving
from platform_target import PlatformTarget

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterable

HOST = 'shop.example'
"""``Host`` header of all requests and host of all configured routes."""
READY_TIMEOUT = 10.0
"""Time limit for a fleet to serve requests, in seconds."""
STALE_LEASE_TTL = 60.0
"""Remaining lifetime of a stale coordinator's lease, in seconds; longer than
any test waits, so that the lease does not expire by itself."""
OK = 200
"""HTTP status of a successful response."""


def free_address() -> Address:
    """Find a loopback address whose port is free.

    Outgoing connections do not take the port before it is listened on.

    :return: Address that nothing listened on when the port was probed.
    """
    return free_addresses(1)[0]


def make_configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Make the configuration that an operator writes to the store.

    :param version: Version number.
    :param changes: Top-level fields that replace the default ones.
    :return: Document in the form of the platform.
    """
    routes = [
        make_route('balance', 'idempotent', 'solde'),
        make_route('payment', 'non_idempotent', 'paiement'),
        make_route('receipt', 'download', 'paiement'),
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


def make_route(
    name: str, kind: str, service: str, **changes: Any
) -> dict[str, Any]:
    """Make a route of the configuration.

    :param name: Name of the route; its path prefix is ``/name/``.
    :param kind: Type of the route, such as ``idempotent``.
    :param service: Service that the route leads to.
    :param changes: Fields that replace the default ones.
    :return: Route in the form of the platform.
    """
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
    """Running fleet, with the operations that tests need."""

    content: StoreContent
    """Keys of the metadata store."""
    store: StoreServer
    """Server of the metadata store, whose faults tests set."""
    targets: dict[str, PlatformTarget]
    """Stand-ins of targets by name."""
    addresses: dict[str, Address]
    """Addresses of the targets by name."""
    callers: list[Address] = attrs.field(factory=list)
    """Address of each entry VM for callers."""
    readiness: list[Address] = attrs.field(factory=list)
    """Address of each entry VM for readiness checks."""
    scopes: list[anyio.CancelScope] = attrs.field(factory=list)
    """Scope of each entry VM; a cancelled VM ends like one that is killed, and
    does not give up its registration."""
    _attempt_count: int = 0

    async def run_vm(self, settings: DirectSettings) -> None:
        """Run an entry VM until its scope is cancelled.

        :param settings: Settings of the VM.
        """
        with anyio.CancelScope() as scope:
            self.scopes.append(scope)
            await DirectVm(settings, pathlib.Path('none')).run()

    def list_target(self, name: str, **changes: Any) -> None:
        """List a target in the store.

        :param name: Name of the target.
        :param changes: Fields of the entry that replace the default ones.
        """
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
        """Remove a target's entry from the store.

        :param name: Name of the target.
        """
        self.content.write([], [f'servers/{name}'])

    async def send_request(
        self,
        path: str,
        *,
        method: str = 'GET',
        timeout_ms: int = 1500,
        key: int | None = None,
        vm: int = 0,
        **options: Any,
    ) -> httpcore.Response:
        """Send a request as a caller does.

        :param path: Path with query string.
        :param method: HTTP method.
        :param timeout_ms: Timeout that the request announces, in milliseconds.
        :param key: Shard key, or ``None`` to send none.
        :param vm: Number of the entry VM.
        :param options: ``attempt``, the attempt ID, by default a new one, and
            ``body``, by default none.
        :return: Complete response.
        """
        self._attempt_count += 1
        attempt = options.get('attempt') or f'attempt-{self._attempt_count}'
        headers: dict[str | bytes, str | bytes] = {
            'Host': HOST,
            'Request-Attempt-Id': attempt,
            'Request-Deadline-Ms': str(timeout_ms),
        }
        if key is not None:
            headers['Shard-Key'] = str(key)
        url = f'http://{self.callers[vm]}{path}'
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(
                method, url, headers=headers, content=options.get('body')
            )

    async def wait_until_ready(self) -> None:
        """Wait until every VM serves requests.

        :raises TimeoutError: If that takes longer than ``READY_TIMEOUT``.
        """
        with anyio.fail_after(READY_TIMEOUT):
            for vm, _ in enumerate(self.callers):
                while (await self.send_probe(vm)) != 200:
                    await anyio.sleep(0.05)

    async def send_probe(self, vm: int) -> int:
        """Send a request that only a ready VM answers with 200.

        :param vm: Number of the entry VM.
        :return: Status of the response.
        """
        if not any(target.sharded for target in self.targets.values()):
            return (await self.send_request('/payment/x', vm=vm)).status
        return (await self.send_request('/balance/x', key=7, vm=vm)).status


@attrs.define(eq=False)
class CuttableFleet(DirectFleet):
    """Running fleet whose VMs reach targets through paths of their own."""

    paths: list[dict[str, CutPath]] = attrs.field(factory=list)
    """Paths to targets by name, for each entry VM."""

    async def cut(
        self, vms: Iterable[int], how: Cut, targets: Iterable[str] | None = None
    ) -> None:
        """Cut VMs off from targets.

        :param vms: Numbers of the VMs.
        :param how: How the paths are cut, or that they are healed.
        :param targets: Names of the targets, by default all.
        """
        names = tuple(self.targets) if targets is None else tuple(targets)
        for vm in vms:
            for name in names:
                await self.paths[vm][name].change(how)


@contextlib.asynccontextmanager
async def cuttable_fleet(
    *targets: PlatformTarget, vms: int
) -> AsyncIterator[CuttableFleet]:
    """Run a fleet whose VMs can be cut off from targets one by one.

    :param targets: Targets to run and to list in the store.
    :param vms: Number of entry VMs.
    :return: The fleet; its VMs accept connections but may not be ready.
    """
    addresses = {target.name: free_address() for target in targets}
    content = StoreContent()
    content.put_document('op/config', make_configuration())
    fleet = CuttableFleet(
        content,
        StoreServer(content),
        {one.name: one for one in targets},
        addresses,
    )
    async with contextlib.AsyncExitStack() as stack:
        stores = []
        for _ in range(vms):
            paths = {
                name: CutPath(free_address(), address)
                for name, address in addresses.items()
            }
            for path in paths.values():
                await stack.enter_async_context(path.serving())
            fleet.paths.append(paths)
            listed = {
                f'servers/{name}': str(opened.listen)
                for name, opened in paths.items()
            }
            store = StoreServer(content, address=free_address())
            store.target_addresses = listed
            stores.append(store)
        await stack.enter_async_context(
            serving(
                *((one, addresses[one.name]) for one in targets),
                *((store, store.address) for store in stores),
            )
        )
        for target in targets:
            fleet.list_target(target.name)
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tasks.cancel_scope.cancel)
        for number, store in enumerate(stores):
            settings = make_settings(f'vm{number}', store.address)
            fleet.callers.append(settings.listen.callers)
            tasks.start_soon(DirectVm(settings, pathlib.Path('none')).run)
        while not await is_listening(fleet.callers):
            await anyio.sleep(0.02)
        yield fleet


@contextlib.asynccontextmanager
async def direct_fleet(
    *targets: PlatformTarget,
    vms: int = 1,
    document: Any = None,
    with_stale_coordinator: bool = False,
    slots: int = 4,
    store: StoreServer | None = None,
) -> AsyncIterator[DirectFleet]:
    """Run a store, targets and entry VMs until the block ends.

    :param targets: Targets to run and to list in the store.
    :param vms: Number of entry VMs.
    :param document: Configuration, by default ``make_configuration()``.
    :param with_stale_coordinator: Whether the store holds a coordinator's
        record of an earlier incarnation of each VM.
    :param slots: Slots of each target.
    :param store: Server of the store, by default one of an empty store.
    :return: The fleet; its VMs accept connections but may not be ready.
    """
    store = store or StoreServer(StoreContent())
    content = store.content
    store_address = free_address()
    addresses = {target.name: free_address() for target in targets}
    fleet = DirectFleet(
        content, store, {one.name: one for one in targets}, addresses
    )
    stored = make_configuration() if document is None else document
    content.put_document('op/config', stored)
    apps = [(one, addresses[one.name]) for one in targets]
    async with serving((store, store_address), *apps):
        for target in targets:
            fleet.list_target(target.name, slots=slots)
        async with anyio.create_task_group() as tasks:
            for number in range(vms):
                settings = make_settings(f'vm{number}', store_address)
                if with_stale_coordinator:
                    store_stale_coordinator(content, settings)
                fleet.callers.append(settings.listen.callers)
                fleet.readiness.append(settings.listen.readiness)
                tasks.start_soon(fleet.run_vm, settings)
            while not await is_listening(fleet.callers):
                await anyio.sleep(0.02)
            yield fleet
            tasks.cancel_scope.cancel()


def store_stale_coordinator(
    content: StoreContent, settings: DirectSettings
) -> None:
    """Store the coordinator's record of a killed process.

    :param content: Keys of the store.
    :param settings: Settings of the VM whose earlier incarnation was killed.
    """
    record = VmRecord(
        settings.vm.name, 'a', str(settings.listen.links), 'earlier'
    )
    lease = 5
    content.leases[lease] = (
        STALE_LEASE_TTL,
        time.monotonic() + STALE_LEASE_TTL,
    )
    value = base64.b64encode(encode(record)).decode()
    put = {'key': COORDINATOR_KEY, 'value': value, 'lease': lease}
    content.write([put], [])


async def is_ready(address: Address) -> bool:
    """Ask an entry VM whether it is ready.

    :param address: Address for readiness checks.
    :return: Whether the status is 200.
    """
    url = f'http://{address}/api/readiness'
    async with httpcore.AsyncConnectionPool() as pool:
        return (await pool.request('GET', url)).status == OK


async def is_listening(addresses: list[Address]) -> bool:
    """Check whether all addresses accept connections.

    :param addresses: Addresses to connect to.
    :return: Whether every connection was accepted.
    """
    for address in addresses:
        try:
            stream = await anyio.connect_tcp(address.host, address.port)
        except OSError:
            return False
        await stream.aclose()
    return True


def make_settings(name: str, store: Address) -> DirectSettings:
    """Make the settings of an entry VM on free ports.

    :param name: Name of the VM.
    :param store: Address of the metadata store.
    :return: Settings with the default bounds.
    """
    listen = DirectListenSettings(
        free_address(),
        free_address(),
        free_address(),
        free_address(),
        free_address(),
    )
    return DirectSettings(
        VmSettings(name, 'a'), listen, store, Bounds(), LogSettings()
    )
