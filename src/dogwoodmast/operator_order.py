"""Orders of operators, which zone coordinators execute.

An order is stored in the platform until an operator withdraws it.
"""

from __future__ import annotations

import attrs

ORDER_PREFIX = '/dogwoodmast/orders/'
"""Prefix of the platform keys that store orders."""


@attrs.frozen
class DrainOrder:
    """Order to move all keys off a target, or all leases off an entry VM."""

    name: str
    """Name of the target or entry VM."""
    who: str
    """Operator who created the order."""
    change_id: str
    """Id of the change that created the order."""


@attrs.frozen
class LossDeclaration:
    """Declaration that a zone is lost, so other zones may own its keys."""

    zone: str
    """Name of the zone."""
    who: str
    """Operator who made the declaration."""
    change_id: str
    """Id of the change that created the order."""


def drain_key(name: str) -> str:
    """Return the platform key of a drain order.

    :param name: Name of the target or entry VM.
    :return: Platform key.
    """
    return f'{ORDER_PREFIX}drain/{name}'


def loss_key(zone: str) -> str:
    """Return the platform key of a loss declaration.

    :param zone: Name of the zone.
    :return: Platform key.
    """
    return f'{ORDER_PREFIX}lost/{zone}'
