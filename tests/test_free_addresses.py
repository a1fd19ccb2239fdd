"""Addresses of the processes and stand-ins of a fleet."""

from __future__ import annotations

import os
import subprocess
import sys
from contextlib import ExitStack

import pytest

from fleet import free_addresses
from port_pool import BLOCK_SIZE, PortPool

COUNT = 1000
"""Number of addresses; by chance alone, some of them were the same."""
SIDE_BY_SIDE = """\
import sys
from fleet import free_addresses
print(*free_addresses(500), flush=True)
sys.stdin.read()
"""
"""Program that keeps its addresses until its input ends."""


def test_two_parts_of_a_fleet_get_the_same_address() -> None:
    """Addresses are found one by one, before anything listens at them.

    One of two parts at the same address ended the test with an exception.
    """
    found = [free_addresses(1)[0] for _ in range(COUNT)]
    assert len(set(found)) == COUNT


def test_addresses_found_together_are_the_same() -> None:
    """The same holds for the addresses of one call."""
    together = 200
    assert len(set(free_addresses(together))) == together


def test_two_processes_get_the_same_address() -> None:
    """The same holds for test processes beside each other.

    A server or VM did not start when another process used its address first.
    """
    with ExitStack() as stack:
        processes = [
            stack.enter_context(
                subprocess.Popen(
                    [sys.executable, '-c', SIDE_BY_SIDE],
                    env={**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)},
                    stdin=subprocess.PIPE,
                    stdout=subprocess.PIPE,
                    text=True,
                )
            )
            for _ in range(2)
        ]
        first, second = (
            process.stdout.readline().split()
            for process in processes
            if process.stdout is not None
        )
    assert len(set(first)) == len(set(second)) == COUNT // 2
    assert not set(first) & set(second)


def test_two_pools_claim_the_same_block() -> None:
    """A pool that uses its ports again takes none of another pool.

    Programs that claim no ports may use some of a block.
    """
    usable = BLOCK_SIZE - 1
    with ExitStack() as stack:
        pools = [stack.enter_context(PortPool(1)) for _ in range(2)]
        first, second = (
            [pool.find(1)[0] for _ in range(2 * usable)] for pool in pools
        )
    assert 0 < len(set(first)) <= usable
    assert 0 < len(set(second)) <= usable
    assert not set(first) & set(second)


def test_pool_with_too_few_ports_searches_forever() -> None:
    """A call that asks for more ports than a pool has fails instead."""
    with (
        PortPool(1) as pool,
        pytest.raises(RuntimeError, match=f'of {BLOCK_SIZE} ports'),
    ):
        pool.find(BLOCK_SIZE)
