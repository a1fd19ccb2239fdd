"""Orders of operators, written with their audit entries."""

from __future__ import annotations

import attrs

from dogwoodmast._documents import dump_document, load_document
from dogwoodmast.audit import AuditEntry, new_entry
from dogwoodmast.change_writer import RETRY_DELAY, ChangeWriter, PendingChange
from dogwoodmast.errors import DogwoodmastError
from dogwoodmast.input_errors import suggest
from dogwoodmast.key_value import (
    MISSING_REVISION,
    Delete,
    Expectation,
    Platform,
    Put,
    StoredValue,
)
from dogwoodmast.operator_order import (
    DrainOrder,
    LossDeclaration,
    drain_key,
    loss_key,
)

Order = DrainOrder | LossDeclaration

_NO_ORDER = 'none'
_GIVEN = 'given'


@attrs.define
class UnknownName(DogwoodmastError):
    """A name in the arguments stands for nothing that is known."""

    what: str
    """What the name is to stand for."""
    found: str
    """The name."""
    known: tuple[str, ...]
    """Names that are known."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        text = f'no {self.what} is named {self.found!r}'
        hint = suggest(self.found, self.known)
        return f'{text}; {hint}' if hint else text


@attrs.frozen
class OrderResult:
    """What became of a wish to give or withdraw an order."""

    change_id: str | None
    """Identity of the order that stands or was withdrawn."""
    changed: bool
    """Whether anything had to be changed."""


@attrs.define
class OrderStore:
    """Orders that stand, in the platform."""

    _platform: Platform
    _who: str
    _retry_delay: float = RETRY_DELAY

    async def drain(self, name: str) -> OrderResult:
        """Order that a target or entry VM is drained.

        :param name: Its name.
        :return: What became of it.
        """
        entry = new_entry(self._who, f'drain {name}', _NO_ORDER, _GIVEN)
        order = DrainOrder(name, self._who, entry.change_id)
        return await self._give(drain_key(name), order, entry)

    async def undo_drain(self, name: str) -> OrderResult:
        """Withdraw a drain order.

        :param name: Name of the target or entry VM.
        :return: What became of it.
        """
        entry = new_entry(self._who, f'drain {name}', _GIVEN, _NO_ORDER)
        return await self._withdraw(drain_key(name), DrainOrder, entry)

    async def declare_lost(self, zone: str) -> OrderResult:
        """Declare that a zone is lost.

        :param zone: Availability zone.
        :return: What became of it.
        """
        entry = new_entry(self._who, f'lost {zone}', _NO_ORDER, _GIVEN)
        order = LossDeclaration(zone, self._who, entry.change_id)
        return await self._give(loss_key(zone), order, entry)

    async def undo_loss(self, zone: str) -> OrderResult:
        """Withdraw the declaration that a zone is lost.

        :param zone: Availability zone.
        :return: What became of it.
        """
        entry = new_entry(self._who, f'lost {zone}', _GIVEN, _NO_ORDER)
        return await self._withdraw(loss_key(zone), LossDeclaration, entry)

    async def _give(
        self, key: str, order: Order, entry: AuditEntry
    ) -> OrderResult:
        stored = await self._stored(key)
        if stored is not None:
            standing = load_document(stored.value, type(order))
            return OrderResult(standing.change_id, changed=False)
        change = PendingChange(
            (Expectation(key, MISSING_REVISION),),
            (Put(key, dump_document(order)),),
            entry,
        )
        await self._write(change)
        return OrderResult(entry.change_id, changed=True)

    async def _withdraw(
        self, key: str, sort: type[Order], entry: AuditEntry
    ) -> OrderResult:
        stored = await self._stored(key)
        if stored is None:
            return OrderResult(None, changed=False)
        standing = load_document(stored.value, sort)
        change = PendingChange(
            (Expectation(key, stored.revision),), (Delete(key),), entry
        )
        await self._write(change)
        return OrderResult(standing.change_id, changed=True)

    async def _write(self, change: PendingChange) -> None:
        await ChangeWriter(self._platform, self._retry_delay).write(change)

    async def _stored(self, key: str) -> StoredValue | None:
        snapshot = await self._platform.read(key)
        return snapshot.first
