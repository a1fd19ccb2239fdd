"""Account of the bytes of bodies that one entry VM holds in memory.

Callers that send or read slowly, many at a time, keep bodies in the memory of
the VM, until it is full and its process ends with all requests.  Bodies are
refused or streamed before that, those of less urgent requests first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from types import TracebackType

DEFAULT_LIMIT = 33_554_432
"""Bytes that are held at most by a VM whose memory is not known; one sixth of
the memory of the smallest VM in the platform contract."""
BYTES_PER_MEGABYTE = 1_000_000
MEMORY_FRACTION = 1 / 6
"""Fraction of the VM's memory that bodies may take; the rest is for the process
and for connections."""
SHARE_PER_LEVEL = 0.1
"""Fraction of the limit that each level of priority leaves to the more urgent
ones."""
MAX_LEVELS = 4
"""Number of levels from which on the fraction grows no more."""


@attrs.define(eq=False)
class ByteAccount:
    """Bytes of bodies that are held now."""

    limit: int = DEFAULT_LIMIT
    """Largest number of bytes that are held."""
    held: int = 0
    """Number of bytes that are held."""
    peak: int = 0
    """Largest number of bytes that were held at a time."""
    exceeded: int = 0
    """How often there was no room for a body, which was refused or streamed."""

    def limit_by_memory(self, megabytes: float) -> None:
        """Set the limit to a fraction of the VM's memory.

        :param megabytes: Memory of the VM in megabytes; 0 if it is not known.
        """
        if megabytes:
            self.limit = int(megabytes * BYTES_PER_MEGABYTE * MEMORY_FRACTION)

    def open(self, priority: int) -> HeldBytes:
        """Open the entry of a request, which the caller has to close.

        :param priority: Priority of the request; 0 is the highest.
        :return: Entry without bytes.
        """
        levels = min(priority, MAX_LEVELS)
        return HeldBytes(self, int(self.limit * (1 - levels * SHARE_PER_LEVEL)))


@attrs.define(eq=False)
class HeldBytes:
    """Bytes that one request holds; a context manager that frees them."""

    _account: ByteAccount
    _limit: int
    size: int = 0
    """Number of bytes."""

    def __enter__(self) -> HeldBytes:
        """Return the entry itself.

        :return: The entry.
        """
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Free all bytes.

        :param kind: Type of the exception that ended the block, if any.
        :param error: The exception.
        :param traceback: Its traceback.
        """
        self.shrink_to(0)

    def try_grow_to(self, size: int) -> bool:
        """Hold more bytes, if the account has room for them.

        :param size: Number of bytes that the request would hold; no more than
            it holds already is always granted.
        :return: Whether it may; nothing changes otherwise.
        """
        account = self._account
        added = size - self.size
        if added <= 0:
            return True
        if account.held + added > self._limit:
            account.exceeded += 1
            return False
        account.held += added
        account.peak = max(account.peak, account.held)
        self.size = size
        return True

    def shrink_to(self, size: int) -> None:
        """Free bytes.

        :param size: Number of bytes that the request still holds.
        """
        self._account.held -= max(self.size - size, 0)
        self.size = min(self.size, size)
