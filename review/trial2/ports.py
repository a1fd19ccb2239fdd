"""Free loopback addresses."""

from __future__ import annotations

import socket
from contextlib import ExitStack

from dogwoodmast.address import Address

HOST = '127.0.0.1'


def free_addresses(count: int) -> list[Address]:
    """Find loopback addresses whose ports are free.

    :param count: Number of addresses.
    :return: Different addresses that could be bound.
    """
    with ExitStack() as stack:
        bound = [
            stack.enter_context(socket.create_server((HOST, 0)))
            for _ in range(count)
        ]
        return [Address(HOST, one.getsockname()[1]) for one in bound]
