"""Free loopback addresses."""

from __future__ import annotations

from dogwoodmast.address import Address
from port_pool import HOST, PortPool

_POOL = PortPool()
"""Ports that outgoing connections and other test processes don't take."""


def free_addresses(count: int) -> list[Address]:
    """Find loopback addresses whose ports are free.

    :param count: Number of addresses.
    :return: Different addresses that could be bound.
    """
    return [Address(HOST, port) for port in _POOL.find(count)]
