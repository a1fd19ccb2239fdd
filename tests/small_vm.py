"""Process of a small entry VM, with a store and a target in the test's own."""

from __future__ import annotations

import contextlib
import itertools
import resource
import types
from typing import TYPE_CHECKING, Any

import anyio
import attrs
import httpcore

from client_crowd import Crowd, ProcessUsage
from direct_fleet import HOST, free_address, make_configuration, make_route
from dogwoodmast.address import Address
from metadata_store import StoreContent, StoreServer, serving
from platform_target import PlatformTarget
from test_planned_stop import start_vm
from test_stop_signals import wait_for_event

if TYPE_CHECKING:
    import pathlib
    import subprocess
    from collections.abc import AsyncIterator

MEMORY_MB = 160
"""Memory of the smallest entry VMs, in megabytes."""
DESCRIPTORS = 256
"""Descriptors that the process may have."""
FREE_DESCRIPTORS = DESCRIPTORS // 4
"""Descriptors that have to stay free for targets, store and other VMs."""
ANSWER_TIMEOUT = 10.0
"""Time limit for an answer to an ordinary request, in seconds."""
CALM_TIME = 1.0
"""Time after the clients have left, in seconds."""
LIMITS = types.MappingProxyType(
    {
        'max_header_bytes': 16_384,
        'max_body_bytes': 100_000,
        'header_timeout_s': 1,
        'idle_timeout_s': 2,
    }
)


@attrs.define(eq=False)
class SmallVm:
    """Process of a small entry VM, with a store and a target in this one."""

    callers: Address
    """Address for callers."""
    others: dict[str, Address]
    """Further addresses by name."""
    usage: ProcessUsage
    """What the process takes."""
    _numbers: itertools.count[int] = attrs.field(factory=itertools.count)

    async def send(self) -> int:
        """Send an ordinary request on a connection of its own.

        :return: Status.
        """
        headers: dict[str | bytes, str | bytes] = {
            'Host': HOST,
            'Request-Attempt-Id': f'ordinary-{next(self._numbers)}',
            'Request-Deadline-Ms': str(int(ANSWER_TIMEOUT * 1000)),
        }
        url = f'http://{self.callers}/receipt/x'
        with anyio.fail_after(ANSWER_TIMEOUT):
            async with httpcore.AsyncConnectionPool() as pool:
                response = await pool.request('GET', url, headers=headers)
        return response.status

    async def bear(self, crowd: Crowd) -> list[int]:
        """Let a crowd act, with an ordinary request meanwhile.

        :param crowd: Clients outside the limits.
        :return: Statuses of an ordinary request beside them and of one after.
        """
        statuses: list[int] = []

        async def send_beside() -> None:
            await anyio.sleep(crowd.seconds / 2)
            statuses.append(await self.send())

        with self.usage.sampled():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send_beside)
                await anyio.to_thread.run_sync(crowd.run)
            await anyio.sleep(CALM_TIME)
            statuses.append(await self.send())
        return statuses

    def check(self, statuses: list[int]) -> None:
        """Check what must hold whatever clients do.

        :param statuses: Statuses of ordinary requests.
        """
        assert self.usage.is_alive
        assert self.usage.peak_memory <= MEMORY_MB * 1_000_000
        assert self.usage.descriptors <= DESCRIPTORS - FREE_DESCRIPTORS
        assert statuses[0] in {200, 503}
        assert statuses[1:] == [200]


def write_settings(
    folder: pathlib.Path, listen: dict[str, Address], store: Address
) -> pathlib.Path:
    """Write the settings of a small entry VM.

    :param folder: Folder of the file.
    :param listen: Addresses that it listens on, by name.
    :param store: Address of the metadata store.
    :return: Path of the file.
    """
    addresses = '\n'.join(f'{name} = "{at}"' for name, at in listen.items())
    settings = folder / 'vm.toml'
    settings.write_text(
        f'[vm]\nname = "v1"\nzone = "a"\n'
        f'[listen]\n{addresses}\n'
        f'[store]\naddress = "{store}"\n'
        f'[capacity]\nmemory_mb = {MEMORY_MB}\n'
    )
    return settings


@contextlib.asynccontextmanager
async def small_vm(folder: pathlib.Path) -> AsyncIterator[SmallVm]:
    """Run a small entry VM, a store and a target.

    :param folder: Folder for settings and log.
    :return: The VM, which serves requests.
    """
    routes = [make_route('receipt', 'download', 'paiement')]
    document = make_configuration(routes=routes, limits=dict(LIMITS))
    content = StoreContent()
    content.put_document('op/config', document)
    names = ('callers', 'readiness', 'links', 'metrics', 'relay')
    listen = {name: free_address() for name in names}
    store, at = free_address(), free_address()
    entry: dict[str, Any] = {
        'service': 'paiement',
        'address': str(at),
        'zone': 'a',
        'version': 'v1',
        'slots': 20,
        'state': 'ready',
        'warmup_left_s': 0,
        'sequence': 1,
        'born': 1,
    }
    content.put_document('servers/p', entry)
    log = folder / 'log'
    target = PlatformTarget('p')
    async with serving((StoreServer(content), store), (target, at)):
        process = start_vm(write_settings(folder, listen, store), log)
        try:
            limit_descriptors(process)
            await anyio.to_thread.run_sync(wait_for_event, log, 'TARGET_LISTED')
            callers = listen.pop('callers')
            yield SmallVm(callers, listen, ProcessUsage(process.pid))
        finally:
            process.kill()
            process.wait()


def limit_descriptors(process: subprocess.Popen[bytes]) -> None:
    """Lower the number of descriptors that a process may have."""
    limits = (DESCRIPTORS, DESCRIPTORS)
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)
