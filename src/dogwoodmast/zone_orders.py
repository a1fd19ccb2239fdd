"""Operators' orders, as the documents tell them."""

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

_ORDERS = ORDER_PREFIX.removeprefix(RECORDS_PREFIX)
DRAIN_NAMES = f'{_ORDERS}drain/'
"""Beginning of the names of drain orders."""
LOSS_NAMES = f'{_ORDERS}lost/'
"""Beginning of the names of loss declarations."""

_Order = TypeVar('_Order', DrainOrder, LossDeclaration)


def drained_names(store: DocumentStore) -> frozenset[str]:
    """List the targets and entry VMs that operators drain.

    :param store: Documents that are known.
    :return: Their names.
    """
    orders = _orders(store, DRAIN_NAMES, DrainOrder)
    return frozenset(order.name for order in orders)


def lost_zones(store: DocumentStore) -> frozenset[str]:
    """List the zones that operators declare lost.

    :param store: Documents that are known.
    :return: Their names.
    """
    orders = _orders(store, LOSS_NAMES, LossDeclaration)
    return frozenset(order.zone for order in orders)


def _orders(
    store: DocumentStore, names: str, cls: type[_Order]
) -> tuple[_Order, ...]:
    return tuple(
        load_document(document.content, cls)
        for document in store.with_prefix(names)
        if document.content != TOMBSTONE
    )
