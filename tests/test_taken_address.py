"""Servers whose address another process listens at."""

from __future__ import annotations

import errno
import socket
import subprocess
import sys
from contextlib import ExitStack
from typing import TYPE_CHECKING

import pytest

from direct_fleet import free_address
from dogwoodmast.exit_code import ExitCode
from dogwoodmast.http_server import make_http_server
from test_stop_signals import write_settings

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Iterator

    from dogwoodmast._asgi import Receive, Scope, Send
    from dogwoodmast.address import Address

STOP_TIMEOUT = 20.0
"""Time limit for the end of a process that cannot start, in seconds."""


@pytest.fixture(name='taken')
def make_taken_address() -> Iterator[Address]:
    """Listen at an address until the end of the test."""
    address = free_address()
    with ExitStack() as stack:
        at = (address.host, address.port)
        stack.enter_context(socket.create_server(at))
        yield address


async def application(_scope: Scope, _receive: Receive, _send: Send) -> None:
    """Answer nothing; no request arrives."""


@pytest.mark.anyio
async def test_server_does_not_tell_its_taken_address(taken: Address) -> None:
    """The error told neither the address nor the reason: SystemExit(3)."""
    server = make_http_server(application, taken)
    with pytest.raises(OSError, match=str(taken.port)) as failure:
        await server.serve()
    assert failure.value.errno == errno.EADDRINUSE


def test_vm_does_not_tell_its_taken_address(
    tmp_path: pathlib.Path, taken: Address
) -> None:
    """The process ended with the exit code of mistakes in its settings."""
    settings = write_settings(tmp_path, taken, free_address())
    ended = subprocess.run(
        [sys.executable, '-m', 'dogwoodmast.direct', str(settings)],
        check=False,
        capture_output=True,
        timeout=STOP_TIMEOUT,
        text=True,
    )
    assert ended.returncode == ExitCode.FAILED
    assert f"('{taken.host}', {taken.port})" in ended.stderr
    assert 'address already in use' in ended.stderr
