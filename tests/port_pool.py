"""Ports that no other test process of the machine uses at the same time."""

from __future__ import annotations

import random
import socket
from collections.abc import Iterator
from contextlib import ExitStack, suppress

import attrs

HOST = '127.0.0.1'
FLEET_PORTS = range(10_000, 30_000)
"""Ports to choose from; they lie below Linux's ephemeral ports, so outgoing
connections do not take them."""
BLOCK_SIZE = 50
"""Number of ports that are claimed together; the first one is the claim."""
BLOCK_LIMIT = 100
"""Number of blocks that one pool claims before it uses its ports again; it
leaves blocks to three more processes."""


@attrs.define(eq=False)
class PortPool:
    """Ports of blocks that this process has claimed.

    A claim is a socket that is bound to the first port of its block, and does
    not listen.  The kernel lets no other process bind this port, and ends the
    claim with the process, however it ends.  Child processes do not inherit it.
    """

    block_limit: int = BLOCK_LIMIT
    """Number of blocks that are claimed before ports are used again."""
    _claims: ExitStack = attrs.field(factory=ExitStack)
    _ports: Iterator[int] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Draw the order of the ports; no block is claimed yet."""
        self._ports = self._draw()

    def __enter__(self) -> PortPool:
        """Claim blocks until the end of the context."""
        return self

    def __exit__(self, *exc_info: object) -> None:
        """End all claims."""
        self.close()

    def close(self) -> None:
        """End all claims."""
        self._claims.close()

    def find(self, count: int) -> list[int]:
        """Find ports that no process uses.

        :param count: Number of ports.
        :return: Ports that could be bound, none of them twice.
        :raises RuntimeError: If too few ports can be claimed and bound.
        """
        found: list[int] = []
        with ExitStack() as stack:
            for _ in FLEET_PORTS:
                if len(found) == count:
                    return found
                port = next(self._ports)
                if _is_bound(stack, port):
                    found.append(port)
        raise RuntimeError(f'{len(found)} of {count} ports are free')

    def _draw(self) -> Iterator[int]:
        drawn = random.SystemRandom()
        starts = FLEET_PORTS[::BLOCK_SIZE]
        claimed: list[int] = []
        for start in drawn.sample(starts, len(starts)):
            if len(claimed) == self.block_limit * (BLOCK_SIZE - 1):
                break
            if _is_bound(self._claims, start):
                ports = range(start + 1, start + BLOCK_SIZE)
                block = drawn.sample(ports, len(ports))
                claimed.extend(block)
                yield from block
        while claimed:
            yield from claimed
        raise RuntimeError('other processes have claimed all blocks of ports')


def _is_bound(stack: ExitStack, port: int) -> bool:
    with ExitStack() as attempt:
        candidate = attempt.enter_context(socket.socket())
        with suppress(OSError):
            candidate.bind((HOST, port))
            stack.push(attempt.pop_all())
            return True
    return False
