"""Signals to a direct entry VM that overlap with its stop."""

from __future__ import annotations

import asyncio
import signal
import socket
import subprocess
import sys
import time
from contextlib import ExitStack
from typing import TYPE_CHECKING

import anyio
import pytest

from direct_fleet import free_address, is_listening
from dogwoodmast._asgi import send_response
from dogwoodmast.direct.signals import WATCHED_SIGNALS, receive_signals
from dogwoodmast.http_server import make_http_server

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Callable

    from dogwoodmast._asgi import Receive, Scope, Send
    from dogwoodmast.address import Address

START_TIMEOUT = 10.0
STOP_TIMEOUT = 8.0
SIGNAL_INTERVAL = 0.001
"""Pause between two signals to a process that stops, in seconds."""
SLOW_READ_BYTES = 10_000
"""Bytes that a slow caller reads at a time."""


def write_settings(
    folder: pathlib.Path, callers: Address, store: Address
) -> pathlib.Path:
    """Write the settings of an entry VM.

    :param folder: Folder of the file.
    :param callers: Address for callers' requests.
    :param store: Address of the metadata store.
    :return: Path of the file.
    """
    addresses = {
        name: str(free_address()) for name in ('readiness', 'links', 'metrics')
    }
    listen = '\n'.join(f'{name} = "{at}"' for name, at in addresses.items())
    settings = folder / 'vm.toml'
    settings.write_text(
        f'[vm]\nname = "v1"\nzone = "a"\n'
        f'[listen]\ncallers = "{callers}"\n{listen}\n'
        f'[store]\naddress = "{store}"\n'
    )
    return settings


def wait_for_event(log: pathlib.Path, event: str) -> None:
    """Wait until a process has logged an event.

    :param log: Output of the process.
    :param event: Name of the event.
    """
    end = time.monotonic() + START_TIMEOUT
    while event not in log.read_text():
        assert time.monotonic() < end, log.read_text()
        time.sleep(0.05)


def stop_with_two_signals(
    process: subprocess.Popen[bytes], log: pathlib.Path, second: signal.Signals
) -> int:
    """Stop a process, and send it another signal before it has ended.

    :param process: Entry VM that has been started.
    :param log: Output of the process.
    :param second: Signal that follows on SIGTERM.
    :return: Exit status.
    """
    wait_for_event(log, 'VM_STARTED')
    process.send_signal(signal.SIGTERM)
    wait_for_event(log, 'VM_STOPPING')
    process.send_signal(second)
    return process.wait(STOP_TIMEOUT)


def stop_with_many_signals(
    process: subprocess.Popen[bytes], log: pathlib.Path, second: signal.Signals
) -> int:
    """Stop a process, and send it signals until it has ended.

    :param process: Entry VM that has been started.
    :param log: Output of the process.
    :param second: Signal that follows on SIGTERM, again and again.
    :return: Exit status.
    """
    wait_for_event(log, 'VM_STARTED')
    process.send_signal(signal.SIGTERM)
    end = time.monotonic() + STOP_TIMEOUT
    while process.poll() is None:
        assert time.monotonic() < end
        process.send_signal(second)
        time.sleep(SIGNAL_INTERVAL)
    return process.returncode


@pytest.mark.parametrize(
    'stop', [stop_with_two_signals, stop_with_many_signals]
)
@pytest.mark.parametrize('second', [signal.SIGHUP, signal.SIGTERM])
def test_signal_during_a_stop_does_not_cut_it_short(
    tmp_path: pathlib.Path,
    second: signal.Signals,
    stop: Callable[
        [subprocess.Popen[bytes], pathlib.Path, signal.Signals], int
    ],
) -> None:
    """Settings change, or the stop is repeated, until the VM has ended."""
    settings = write_settings(tmp_path, free_address(), free_address())
    log = tmp_path / 'log'
    with log.open('wb') as output:
        process = subprocess.Popen(
            [sys.executable, '-m', 'dogwoodmast.direct', str(settings)],
            stdout=output,
        )
    try:
        status = stop(process, log, second)
    finally:
        process.kill()
        process.wait()
    assert status == 0
    assert 'VM_STOPPED' in log.read_text()


@pytest.mark.parametrize('delay', [0, 0.1, 0.2, 0.4, 0.8, 1.6])
def test_signal_ends_a_vm_only_before_it_has_started(
    tmp_path: pathlib.Path, delay: float
) -> None:
    """SIGTERM comes while the interpreter loads, or the VM starts.

    Guards against a VM that serves, or is registered, before it handles the
    signals that stop it: requests would be cut off.
    """
    settings = write_settings(tmp_path, free_address(), free_address())
    log = tmp_path / 'log'
    with log.open('wb') as output:
        process = subprocess.Popen(
            [sys.executable, '-m', 'dogwoodmast.direct', str(settings)],
            stdout=output,
        )
    try:
        time.sleep(delay)
        process.send_signal(signal.SIGTERM)
        status = process.wait(STOP_TIMEOUT)
    finally:
        process.kill()
        process.wait()
    events = log.read_text()
    if status == -signal.SIGTERM:
        assert not events
    else:
        assert status == 0
        assert 'VM_STOPPED' in events


@pytest.mark.anyio
async def test_handler_of_a_vm_that_was_cancelled_takes_later_signals() -> None:
    """Two VMs of one process end in the order in which they began."""
    first, second = ExitStack(), ExitStack()
    for stack in (first, second):
        stack.enter_context(receive_signals(*WATCHED_SIGNALS))
    first.close()
    second.close()
    assert signal.getsignal(signal.SIGTERM) is signal.SIG_DFL
    assert signal.getsignal(signal.SIGINT) is signal.default_int_handler


@pytest.mark.anyio
async def test_server_is_not_closed_before_a_slow_caller_has_its_response() -> (
    None
):
    """The application has ended, but the response is in a buffer."""
    size = 30_000_000
    address = free_address()
    has_ended = anyio.Event()

    async def application(scope: Scope, _receive: Receive, send: Send) -> None:
        assert scope['type'] == 'http'
        length = (b'content-length', str(size).encode())
        await send_response(send, 200, [length], bytes(size))
        has_ended.set()

    server = make_http_server(application, address)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        while not await is_listening([address]):
            await anyio.sleep(0.05)
        reader, writer = await connect_slowly(address)
        writer.write(b'GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n')
        await has_ended.wait()
        server.request_shutdown()
        with anyio.move_on_after(0.5) as scope:
            await server.await_closed()
        assert scope.cancelled_caught
        received = await reader.read(-1)
        writer.close()
        await server.await_closed()
    assert len(received.partition(b'\r\n\r\n')[2]) == size


async def connect_slowly(
    address: Address,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to an entry VM with small buffers.

    :param address: Address of the VM for callers.
    :return: Streams; the VM can send no more than what is read from them.
    """
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READ_BYTES)
    raw.connect((address.host, address.port))
    return await asyncio.open_connection(sock=raw, limit=SLOW_READ_BYTES)
