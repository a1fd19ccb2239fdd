"""Operators' orders in the replicated documents."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from dogwoodmast._documents import load_document
from dogwoodmast.operator_order import (
    ORDER_PREFIX,
    DrainOrder,
    LossDeclaration,
)
from dogwoodmast.platform_reader import RECORDS_PREFIX, TOMBSTONE

if TYPE_CHECKING:
    from dogwoodmast.document_store import DocumentStore

_ORDER_DOCUMENT_PREFIX = ORDER_PREFIX.removeprefix(RECORDS_PREFIX)
DRAIN_DOCUMENT_PREFIX = f'{_ORDER_DOCUMENT_PREFIX}drain/'
"""Prefix of the document names of drain orders."""
LOSS_DOCUMENT_PREFIX = f'{_ORDER_DOCUMENT_PREFIX}lost/'
"""Prefix of the document names of loss declarations."""

_Order = TypeVar('_Order', DrainOrder, LossDeclaration)


def drained_names(store: DocumentStore) -> frozenset[str]:
    """List the targets and entry VMs with a drain order in force.

    :param store: Replicated documents.
    :return: Names of the targets and entry VMs.
    """
    orders = _load_orders(store, DRAIN_DOCUMENT_PREFIX, DrainOrder)
    return frozenset(order.name for order in orders)


def lost_zones(store: DocumentStore) -> frozenset[str]:
    """List the zones with a loss declaration in force.

    :param store: Replicated documents.
    :return: Names of the zones.
    """
    orders = _load_orders(store, LOSS_DOCUMENT_PREFIX, LossDeclaration)
    return frozenset(order.zone for order in orders)


def _load_orders(
    store: DocumentStore, prefix: str, cls: type[_Order]
) -> tuple[_Order, ...]:
    return tuple(
        load_document(document.content, cls)
        for document in store.with_prefix(prefix)
        if document.content != TOMBSTONE
    )
