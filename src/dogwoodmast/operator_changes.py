"""Writing of operators' orders together with their audit entries."""

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
"""Any order of an operator."""

_NO_ORDER = 'none'
"""State in the audit trail while there is no order."""
_GIVEN = 'given'
"""State in the audit trail while the order exists."""


@attrs.define
class UnknownName(DogwoodmastError):
    """A name in the arguments does not exist."""

    what: str
    """Kind of object that the name should refer to, such as ``zone``."""
    found: str
    """Name as given in the arguments."""
    known: tuple[str, ...]
    """Existing names of this kind."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        text = f'no {self.what} is named {self.found!r}'
        hint = suggest(self.found, self.known)
        return f'{text}; {hint}' if hint else text


@attrs.frozen
class OrderResult:
    """Result of a request to create or withdraw an order."""

    change_id: str | None
    """Id of the change that created the order; ``None`` if there was no order
    to withdraw."""
    changed: bool
    """Whether the request changed anything; ``False`` if the order already
    existed or there was none to withdraw."""


@attrs.define
class OrderStore:
    """Store of the operators' orders in the platform.

    Creating an order that exists and withdrawing one that does not exist have
    no effect.
    """

    _platform: Platform
    _who: str
    _retry_delay: float = RETRY_DELAY

    async def drain(self, name: str) -> OrderResult:
        """Create the order to drain a target or entry VM.

        :param name: Name of the target or entry VM.
        :return: Result of the request.
        """
        entry = new_entry(self._who, f'drain {name}', _NO_ORDER, _GIVEN)
        order = DrainOrder(name, self._who, entry.change_id)
        return await self._create(drain_key(name), order, entry)

    async def undo_drain(self, name: str) -> OrderResult:
        """Withdraw the order to drain a target or entry VM.

        :param name: Name of the target or entry VM.
        :return: Result of the request.
        """
        entry = new_entry(self._who, f'drain {name}', _GIVEN, _NO_ORDER)
        return await self._withdraw(drain_key(name), DrainOrder, entry)

    async def declare_lost(self, zone: str) -> OrderResult:
        """Create the declaration that a zone is lost.

        :param zone: Name of the zone.
        :return: Result of the request.
        """
        entry = new_entry(self._who, f'lost {zone}', _NO_ORDER, _GIVEN)
        order = LossDeclaration(zone, self._who, entry.change_id)
        return await self._create(loss_key(zone), order, entry)

    async def undo_loss(self, zone: str) -> OrderResult:
        """Withdraw the declaration that a zone is lost.

        :param zone: Name of the zone.
        :return: Result of the request.
        """
        entry = new_entry(self._who, f'lost {zone}', _GIVEN, _NO_ORDER)
        return await self._withdraw(loss_key(zone), LossDeclaration, entry)

    async def _create(
        self, key: str, order: Order, entry: AuditEntry
    ) -> OrderResult:
        stored = await self._read_stored(key)
        if stored is not None:
            existing = load_document(stored.value, type(order))
            return OrderResult(existing.change_id, changed=False)
        change = PendingChange(
            (Expectation(key, MISSING_REVISION),),
            (Put(key, dump_document(order)),),
            entry,
        )
        await self._write(change)
        return OrderResult(entry.change_id, changed=True)

    async def _withdraw(
        self, key: str, order_type: type[Order], entry: AuditEntry
    ) -> OrderResult:
        stored = await self._read_stored(key)
        if stored is None:
            return OrderResult(None, changed=False)
        existing = load_document(stored.value, order_type)
        change = PendingChange(
            (Expectation(key, stored.revision),), (Delete(key),), entry
        )
        await self._write(change)
        return OrderResult(existing.change_id, changed=True)

    async def _write(self, change: PendingChange) -> None:
        await ChangeWriter(self._platform, self._retry_delay).write(change)

    async def _read_stored(self, key: str) -> StoredValue | None:
        snapshot = await self._platform.read(key)
        return snapshot.first
