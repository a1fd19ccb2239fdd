"""Entry VMs as processes, started with the command of the deploy file."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import time
from collections.abc import Sequence
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.address import Address

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HOST = '127.0.0.1'
START_TIMEOUT = 20.0
"""Time limit for an entry VM to accept connections, in seconds."""
STOP_TIMEOUT = 8.0
"""Time after which a process that was told to stop is killed, in seconds."""
POLL_INTERVAL = 0.05
"""Pause between two checks of a condition, in seconds."""
SETTINGS = """\
regions = {{ {regions} }}

[vm]
name = "{name}"
zone = "{zone}"

[listen]
callers = "{callers}"
readiness = "{readiness}"
links = "{links}"
metrics = "{metrics}"
relay = "{relay}"

[store]
address = "{store}"

[bounds]
drain_time = 2
apply_time = 2
stop_time = 6
retry_ratio = 0.2
retry_window = 10
retry_slack = 64
longest_hold = 10

[capacity]
link_mbps = 1000
cpu_share = 0.86
memory_mb = 300
cores = 1
"""
"""What the template of the deploy file gives with the bounds of the site."""


def free_address() -> Address:
    """Find a loopback address whose port is free."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return Address(HOST, probe.getsockname()[1])


@attrs.define(eq=False)
class EntryVm:
    """Entry VM that runs as a process of its own."""

    name: str
    """Name of the VM."""
    zone: str
    """Availability zone."""
    store: Address
    """Address of the store, as this VM reaches it."""
    folder: pathlib.Path
    """Folder for the settings file and the log."""
    zones: Sequence[str]
    """All zones of the deployment."""
    callers: Address = attrs.field(factory=free_address)
    """Address for callers' requests."""
    readiness: Address = attrs.field(factory=free_address)
    """Address for readiness checks."""
    links: Address = attrs.field(factory=free_address)
    """Address for links from other VMs."""
    relay: Address = attrs.field(factory=free_address)
    """Address for requests that other VMs relay."""
    metrics: Address = attrs.field(factory=free_address)
    """Address for metrics."""
    process: subprocess.Popen[bytes] | None = None
    """Process that runs now."""

    @property
    def settings_file(self) -> pathlib.Path:
        """Path of the settings file."""
        return self.folder / f'{self.name}.toml'

    @property
    def log_file(self) -> pathlib.Path:
        """Path of the log."""
        return self.folder / f'{self.name}.log'

    def start(self) -> None:
        """Start a process, with the log appended to that of the former."""
        regions = ', '.join(f'"{one}" = "dakar"' for one in self.zones)
        self.settings_file.write_text(
            SETTINGS.format(
                regions=regions,
                name=self.name,
                zone=self.zone,
                callers=self.callers,
                readiness=self.readiness,
                links=self.links,
                metrics=self.metrics,
                relay=self.relay,
                store=self.store,
            )
        )
        kept = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment = {**kept, 'PYTHONPATH': 'target/deps'}
        command = ['python3', '-m', 'dogwoodmast.direct']
        with self.log_file.open('ab') as log:
            self.process = subprocess.Popen(
                [*command, str(self.settings_file)],
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process.

        :param number: Signal.
        """
        assert self.process is not None
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_listening(self) -> None:
        """Wait until callers' connections are accepted.

        :raises TimeoutError: If they are not in time.
        """
        until = time.monotonic() + START_TIMEOUT
        while time.monotonic() < until:
            if await _accepts(self.callers):
                return
            await asyncio.sleep(POLL_INTERVAL)
        raise TimeoutError

    def terminate(self) -> None:
        """Tell the process to stop, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.terminate()

    async def stop(self) -> None:
        """End the process, and kill it if it does not end in time."""
        if self.process is None or self.process.poll() is not None:
            return
        self.terminate()
        until = time.monotonic() + STOP_TIMEOUT
        while time.monotonic() < until:
            if self.process.poll() is not None:
                break
            await asyncio.sleep(POLL_INTERVAL)
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


async def _accepts(address: Address) -> bool:
    try:
        _, writer = await asyncio.open_connection(address.host, address.port)
    except OSError:
        return False
    writer.close()
    return True


@contextlib.asynccontextmanager
async def running(vms: Sequence[EntryVm]) -> AsyncIterator[None]:
    """Run entry VMs until the block ends.

    :param vms: VMs to start, all at once.
    """
    async with contextlib.AsyncExitStack() as stack:
        for vm in vms:
            stack.push_async_callback(vm.stop)
            vm.start()
        # At the end, all are told to stop before any is waited for.
        for vm in vms:
            stack.callback(vm.terminate)
        for vm in vms:
            await vm.wait_listening()
        yield
