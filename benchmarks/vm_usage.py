"""Measure the processor time of entry VMs that dispatch directly to targets.

Each VM is a process of its own; the metadata store, the targets and the
callers run in the process of this program and are not counted.

Run ``python -m benchmarks.vm_usage`` in the root of the repository.
"""

from __future__ import annotations

import contextlib
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import TYPE_CHECKING

import anyio
import attrs
import httpcore
from tabulate import tabulate

from direct_fleet import HOST, free_address, make_configuration
from dogwoodmast.address import Address
from dogwoodmast.direct.room.messages import (
    RoomAsk,
    RoomReply,
    RoomReturn,
    Verdict,
)
from dogwoodmast.frames import PROTOCOL_VERSION, Hello
from dogwoodmast.link_pool import LinkPool, serve_links
from dogwoodmast.message_handlers import MessageHandlers
from metadata_store import StoreContent, StoreServer, serving
from platform_target import PlatformTarget, TargetFault

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


VM_COUNT = 3
"""Entry VMs that run at a time."""
TARGET_COUNT = 12
"""Targets of the service."""
IDLE_TIME = 10.0
"""Time for which idle VMs are measured, in seconds."""
REQUEST_COUNT = 1500
"""Requests that are sent one after another, in each case."""
MESSAGE_ROUNDS = 4000
"""Rounds of an ask, its reply and a return over a link."""
POLL_INTERVAL = 0.02
"""Pause between two checks whether VMs are ready, in seconds."""
OK = 200
"""HTTP status of a successful response."""

_NANOSECONDS = 1e9
_MICROSECONDS = 1e6
_SECONDS_PER_MINUTE = 60


@attrs.frozen
class VmProcess:
    """Process of an entry VM."""

    callers: Address
    """Address for callers' requests."""
    readiness: Address
    """Address for readiness checks."""
    process: subprocess.Popen[bytes]
    """Process."""

    @property
    def processor_time(self) -> float:
        """Processor time since the start of the process, in seconds."""
        tasks = pathlib.Path(f'/proc/{self.process.pid}/task')
        return sum(
            int((task / 'schedstat').read_text().split()[0]) / _NANOSECONDS
            for task in tasks.iterdir()
        )


def start_vm(folder: pathlib.Path, name: str, store: Address) -> VmProcess:
    """Start an entry VM.

    :param folder: Folder of the settings and the log.
    :param name: Name of the VM.
    :param store: Address of the metadata store.
    :return: Process, which may not be ready yet.
    """
    listen = {
        part: free_address()
        for part in ('callers', 'readiness', 'links', 'metrics')
    }
    lines = '\n'.join(f'{part} = "{at}"' for part, at in listen.items())
    settings = folder / f'{name}.toml'
    settings.write_text(
        f'[vm]\nname = "{name}"\nzone = "a"\n'
        f'[listen]\n{lines}\n[store]\naddress = "{store}"\n'
    )
    with (folder / f'{name}.log').open('wb') as log:
        process = subprocess.Popen(
            [sys.executable, '-m', 'dogwoodmast.direct', str(settings)],
            stdout=log,
        )
    return VmProcess(listen['callers'], listen['readiness'], process)


def start_vms(folder: pathlib.Path, store: Address) -> list[VmProcess]:
    """Start all entry VMs.

    :param folder: Folder of their settings and logs.
    :param store: Address of the metadata store.
    :return: Processes, which may not be ready yet.
    """
    names = [f'vm{number}' for number in range(VM_COUNT)]
    return [start_vm(folder, name, store) for name in names]


def make_content(addresses: dict[str, Address]) -> StoreContent:
    """Make the content of the store.

    :param addresses: Addresses of the targets by name.
    :return: Configuration, and entries of the targets.
    """
    content = StoreContent()
    content.put_document('op/config', make_configuration())
    for name, address in addresses.items():
        document = {
            'service': 'paiement',
            'address': str(address),
            'zone': 'a',
            'version': 'v1',
            'slots': 4,
            'state': 'ready',
            'warmup_left_s': 0,
            'sequence': 1,
            'born': 1,
        }
        content.put_document(f'servers/{name}', document)
    return content


@contextlib.asynccontextmanager
async def running_vms(
    targets: list[PlatformTarget],
) -> AsyncIterator[list[VmProcess]]:
    """Run a store, targets and VMs until the block ends.

    :param targets: Targets of the service without keys.
    :return: Processes, which are all ready.
    """
    store = free_address()
    addresses = {target.name: free_address() for target in targets}
    server = StoreServer(make_content(addresses))
    apps = [(target, addresses[target.name]) for target in targets]
    with tempfile.TemporaryDirectory() as folder:
        async with serving((server, store), *apps):
            vms = start_vms(pathlib.Path(folder), store)
            try:
                for vm in vms:
                    await wait_until_ready(vm)
                yield vms
            finally:
                for vm in vms:
                    vm.process.kill()
                    vm.process.wait()


async def wait_until_ready(vm: VmProcess) -> None:
    """Wait until a VM is ready.

    :param vm: Process that was started.
    """
    url = f'http://{vm.readiness}/api/readiness'
    async with httpcore.AsyncConnectionPool() as pool:
        status = 0
        while status != OK:
            with contextlib.suppress(httpcore.ConnectError):
                status = (await pool.request('GET', url)).status
            await anyio.sleep(POLL_INTERVAL)


async def measure_requests(vm: VmProcess, name: str) -> float:
    """Send requests one after another over one connection.

    :param vm: Process that serves them.
    :param name: Distinguishes their attempt IDs.
    :return: Processor time of the VM for a request, in seconds.
    """
    async with httpcore.AsyncConnectionPool() as pool:
        before = vm.processor_time
        for number in range(REQUEST_COUNT):
            await pool.request(
                'GET',
                f'http://{vm.callers}/payment/x',
                headers={
                    'Host': HOST,
                    'Request-Attempt-Id': f'{name}-{number}',
                    'Request-Deadline-Ms': '1500',
                },
            )
        return (vm.processor_time - before) / REQUEST_COUNT


async def measure_messages() -> float:
    """Exchange messages over a link whose two ends are in this process.

    :return: Processor time of both ends for a message, in seconds.
    """
    address = free_address()
    handlers = make_handlers()
    hello = Hello('vm0', 'a', 'incarnation', PROTOCOL_VERSION)
    async with (
        anyio.create_task_group() as tasks,
        LinkPool(hello, handlers) as pool,
    ):
        await tasks.start(serve_links, address, handlers)
        began_at = time.process_time()
        await exchange_messages(pool, address)
        spent = time.process_time() - began_at
        tasks.cancel_scope.cancel()
    return spent / (3 * MESSAGE_ROUNDS)


async def exchange_messages(pool: LinkPool, address: Address) -> None:
    """Ask for room and give it back, again and again.

    :param pool: Pool with the link.
    :param address: Other end of the link.
    """
    for number in range(MESSAGE_ROUNDS):
        group = ('incarnation', number, 'paiement', 'a')
        await pool.call(address, RoomAsk(*group))
        pool.send(address, RoomReturn(*group))


def make_handlers() -> MessageHandlers:
    """Make handlers that grant room and take it back without a decision.

    :return: Handlers of both ends of a link.
    """
    handlers = MessageHandlers()
    reply = RoomReply(Verdict.GRANTED, 'target-12', 1)
    handlers.register_direct(RoomAsk, lambda _link, _ask: reply)
    handlers.register_direct(RoomReturn, lambda _link, _returned: None)
    return handlers


async def measure() -> list[tuple[str, str]]:
    """Measure all cases.

    :return: Rows of the table.
    """
    targets = [PlatformTarget(f't{number}') for number in range(TARGET_COUNT)]
    rows = [('message, both ends', _micros(await measure_messages()))]
    async with running_vms(targets) as vms:
        starts = [vm.processor_time for vm in vms]
        rows.append(('start until ready', f'{min(starts):.2f} s'))
        await anyio.sleep(1)
        idle = await measure_idle(vms)
        rows.append(('idle VM, a minute', f'{idle:.2f} s'))
        await measure_requests(vms[0], 'warm')
        served = await measure_requests(vms[0], 'served')
        rows.append(('request, connection reused', _micros(served)))
        for target in targets:
            target.fault = TargetFault.FULL
        refused = await measure_requests(vms[0], 'full')
        rows.append(('request, refused by targets', _micros(refused)))
    return rows


async def measure_idle(vms: list[VmProcess]) -> float:
    """Let VMs wait without requests.

    :param vms: Processes that are ready.
    :return: Processor time of one VM for a minute, in seconds.
    """
    before = sum(vm.processor_time for vm in vms)
    await anyio.sleep(IDLE_TIME)
    spent = sum(vm.processor_time for vm in vms) - before
    return spent / len(vms) * _SECONDS_PER_MINUTE / IDLE_TIME


def _micros(seconds: float) -> str:
    return f'{seconds * _MICROSECONDS:.0f} µs'


if __name__ == '__main__':
    print(tabulate(anyio.run(measure), ('what', 'processor time')))
