"""Idempotent writes of operators' changes to the platform.

Every change is written in one transaction with an audit entry whose key
contains the change's identity.  The transaction requires that this key does
not exist yet, so that a write can be repeated after a lost answer and still
takes effect only once.
"""

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

MAX_ATTEMPTS = 6
"""Maximum number of attempts of a write whose outcome is unknown."""
RETRY_DELAY = 0.5
"""Delay between attempts of a write, in seconds."""


@attrs.frozen
class PendingChange:
    """An operator's change and its audit entry, to be written atomically."""

    expectations: tuple[Expectation, ...]
    """Revisions of the keys that the change is based on."""
    writes: tuple[Put | Delete, ...]
    """Writes of the change, without its audit entry."""
    entry: AuditEntry
    """Audit entry, written in the same transaction."""

    @property
    def not_applied(self) -> Expectation:
        """Expectation that the audit entry of the change does not exist yet."""
        return Expectation(audit_key(self.entry.change_id), MISSING_REVISION)


@attrs.define
class ChangeWriter:
    """Writes operators' changes and retries those with an unknown outcome."""

    _platform: Platform
    _retry_delay: float = RETRY_DELAY

    async def write(self, change: PendingChange) -> None:
        """Write a change and its audit entry in one transaction.

        Old audit entries are pruned in the same transaction.  The write is
        not retried if the platform could not be reached for the first
        attempt.

        :param change: Change to write.
        :raises ChangeSuperseded: If an expectation of the change did not
            hold; nothing was written.
        :raises ChangeUncertain: If the outcome is still unknown after
            ``MAX_ATTEMPTS`` attempts.
        :raises PlatformUnavailable: If the platform could not be reached
            and no earlier attempt may have taken effect.
        """
        pruning_writes = await AuditTrail(self._platform).make_prune_writes()
        writes = (*change.writes, audit_put(change.entry), *pruning_writes)
        may_have_effect = False
        for _ in range(MAX_ATTEMPTS):
            try:
                return await self._attempt(change, writes)
            except (PlatformAnswerLost, PlatformRefused):
                may_have_effect = True
            except PlatformUnavailable:
                if not may_have_effect:
                    raise
            await anyio.sleep(self._retry_delay)
        raise ChangeUncertain(change.entry.what, change.entry.change_id)

    async def _attempt(
        self, change: PendingChange, writes: tuple[Put | Delete, ...]
    ) -> None:
        expectations = (*change.expectations, change.not_applied)
        result = await self._platform.swap(expectations, writes)
        if not result.succeeded and await self._is_not_applied(change):
            raise ChangeSuperseded(change.entry.what)

    async def _is_not_applied(self, change: PendingChange) -> bool:
        """Tell whether the change has not taken effect.

        A compare-and-swap without writes is used because a read may return
        a stale value.

        :param change: Change to look for.
        :return: ``True`` if its audit entry does not exist.
        """
        result = await self._platform.swap((change.not_applied,), ())
        return result.succeeded
