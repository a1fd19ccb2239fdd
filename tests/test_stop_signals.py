"""Signals to a direct entry VM that overlap with its stop."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from typing import TYPE_CHECKING

import pytest

from direct_fleet import free_address

if TYPE_CHECKING:
    import pathlib

START_TIMEOUT = 10.0
STOP_TIMEOUT = 8.0


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


@pytest.mark.parametrize('second', [signal.SIGHUP, signal.SIGTERM])
def test_signal_during_a_stop_does_not_cut_it_short(
    tmp_path: pathlib.Path, second: signal.Signals
) -> None:
    """Settings change, or the stop is repeated, while a VM drains."""
    settings = tmp_path / 'vm.toml'
    addresses = {
        name: str(free_address())
        for name in ('callers', 'readiness', 'links', 'metrics')
    }
    listen = '\n'.join(f'{name} = "{at}"' for name, at in addresses.items())
    settings.write_text(
        f'[vm]\nname = "v1"\nzone = "a"\n[listen]\n{listen}\n'
        f'[store]\naddress = "{free_address()}"\n[bounds]\nstop_time = 2\n'
    )
    log = tmp_path / 'log'
    with log.open('wb') as output:
        process = subprocess.Popen(
            [sys.executable, '-m', 'dogwoodmast.direct', str(settings)],
            stdout=output,
        )
    try:
        status = stop_with_two_signals(process, log, second)
    finally:
        process.kill()
        process.wait()
    assert status == 0
    assert 'VM_STOPPED' in log.read_text()
