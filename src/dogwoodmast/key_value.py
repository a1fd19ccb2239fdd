"""Contract of the platform's key-value service.

The contract is the subset of etcd v3 that the router needs: reads, a
compare-and-swap, leases and watches.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from contextlib import AbstractAsyncContextManager

MISSING_REVISION = 0
"""Modification revision that stands for a key without a value."""
NO_LEASE = 0
"""Lease number that stands for no lease."""


@attrs.frozen
class StoredValue:
    """A key with its value."""

    key: str
    """Key."""
    value: bytes
    """Value."""
    revision: int
    """Store revision of its last change."""
    lease: int = NO_LEASE
    """Lease that it ends with, where the service tells it."""


@attrs.frozen
class Snapshot:
    """Values that were read together."""

    revision: int
    """Store revision of the read."""
    values: tuple[StoredValue, ...]
    """Values in the order of their keys."""

    @property
    def first(self) -> StoredValue | None:
        """First value, or ``None``."""
        return self.values[0] if self.values else None


@attrs.frozen
class Expectation:
    """Condition of a compare-and-swap: a key's last change."""

    key: str
    """Key."""
    revision: int
    """Revision expected; :data:`MISSING_REVISION` for no value."""


@attrs.frozen
class Put:
    """Write of one key."""

    key: str
    """Key."""
    value: bytes
    """Value."""
    lease: int = NO_LEASE
    """Lease that the value ends with."""


@attrs.frozen
class Delete:
    """Removal of one key."""

    key: str
    """Key."""


@attrs.frozen
class SwapResult:
    """Result of a compare-and-swap."""

    succeeded: bool
    """Whether every expectation held and the writes took effect."""
    revision: int
    """Store revision of the call."""


@attrs.frozen
class Change:
    """Change of one key, told by a watch."""

    key: str
    """Key."""
    value: bytes | None
    """New value, or ``None`` if it was removed."""
    revision: int
    """Store revision of the change."""


@attrs.frozen
class ChangePage:
    """Changes that were read together."""

    revision: int
    """Store revision that the page leads up to."""
    changes: tuple[Change, ...]
    """Changes in their order."""


class Store(Protocol):
    """Client of a key-value service with leases.

    Each call may raise :class:`~dogwoodmast.errors.PlatformUnavailable` if
    it surely had no effect, :class:`~dogwoodmast.errors.PlatformAnswerLost`
    if it may have had one, and
    :class:`~dogwoodmast.errors.PlatformRefused` for an error status.
    """

    async def read(self, key: str) -> Snapshot:
        """Read one key.

        :param key: Key.
        :return: At most one value.
        """

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read all keys that begin with a prefix.

        :param prefix: Beginning of the keys.
        :return: The values.
        """

    async def swap(
        self,
        expectations: tuple[Expectation, ...],
        writes: tuple[Put | Delete, ...],
    ) -> SwapResult:
        """Write if every expectation holds.

        :param expectations: Conditions.
        :param writes: Writes, made all or none.
        :return: Whether they were made.
        """

    async def grant_lease(self, ttl: int) -> int:
        """Create a lease.

        :param ttl: Time to live, in whole seconds.
        :return: Number of the lease.
        """

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease.

        :param lease: Number of the lease.
        :return: ``False`` if it had lapsed.
        """

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and the values that depend on it.

        :param lease: Number of the lease.
        """


class PolledStore(Store, Protocol):
    """Client of a service that is asked for its changes."""

    async def read_changes(
        self, prefix: str, after: int, wait: float
    ) -> ChangePage:
        """Read what has changed.

        :param prefix: Beginning of the keys.
        :param after: Revision after which changes count.
        :param wait: Longest time to wait for a change, in seconds.
        :return: The changes, none if the time passed without one.
        :raises HistoryLost: If the history does not reach back so far.
        """


class Platform(Store, Protocol):
    """Client of a service that streams its changes."""

    def watch_prefix(
        self, prefix: str, start_revision: int
    ) -> AbstractAsyncContextManager[AsyncIterator[Change]]:
        """Watch all keys that begin with a prefix.

        :param prefix: Beginning of the keys.
        :param start_revision: First revision to be told of.
        :return: Context manager of the stream of changes.
        """
