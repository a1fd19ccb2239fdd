"""Changes that are written once, even when an answer is lost."""

from __future__ import annotations

import anyio
import attrs

from dogwoodmast.audit import AuditEntry, AuditTrail, audit_key, audit_put
from dogwoodmast.errors import (
    ChangeSuperseded,
    ChangeUncertain,
    PlatformAnswerLost,
    PlatformRefused,
    PlatformUnavailable,
)
from dogwoodmast.key_value import (
    MISSING_REVISION,
    Delete,
    Expectation,
    Platform,
    Put,
)

MAX_TRIES = 6
"""Times that a write whose fate is unknown is tried."""
RETRY_DELAY = 0.5
"""Time between two tries, in seconds."""


@attrs.frozen
class PendingChange:
    """A change with its audit entry, not yet written."""

    expectations: tuple[Expectation, ...]
    """State that the change is based on."""
    writes: tuple[Put | Delete, ...]
    """Writes of the change itself."""
    entry: AuditEntry
    """Entry that is written with it."""

    @property
    def not_applied(self) -> Expectation:
        """Condition that holds until the change has taken effect."""
        return Expectation(audit_key(self.entry.change_id), MISSING_REVISION)


@attrs.define
class ChangeWriter:
    """Writer of operators' changes."""

    _platform: Platform
    _retry_delay: float = RETRY_DELAY

    async def write(self, change: PendingChange) -> None:
        """Write a change and its audit entry, both or neither.

        :param change: The change.
        :raises ChangeSuperseded: If the state was no longer as expected.
        :raises ChangeUncertain: If no answer came after several tries.
        """
        pruned = await AuditTrail(self._platform).make_prune_writes()
        writes = (*change.writes, audit_put(change.entry), *pruned)
        sent = False
        for _ in range(MAX_TRIES):
            try:
                return await self._try(change, writes)
            except (PlatformAnswerLost, PlatformRefused):
                sent = True
            except PlatformUnavailable:
                if not sent:
                    raise
            await anyio.sleep(self._retry_delay)
        raise ChangeUncertain(change.entry.what, change.entry.change_id)

    async def _try(
        self, change: PendingChange, writes: tuple[Put | Delete, ...]
    ) -> None:
        expectations = (*change.expectations, change.not_applied)
        written = await self._platform.swap(expectations, writes)
        if not written.succeeded and await self._is_missing(change):
            raise ChangeSuperseded(change.entry.what)

    async def _is_missing(self, change: PendingChange) -> bool:
        """Look for the change's own identity.

        A swap without writes is used, since a read may be stale.

        :param change: The change.
        :return: Whether it has not taken effect.
        """
        checked = await self._platform.swap((change.not_applied,), ())
        return checked.succeeded
