"""Addresses of the processes and stand-ins of a fleet."""

from __future__ import annotations

from fleet import free_addresses

COUNT = 1000
"""Number of addresses; by chance alone, some of them were the same."""


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
