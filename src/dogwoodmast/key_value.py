"""Interface of the platform's key-value service.

It is the subset of etcd v3 that the router needs: reads, a multi-key
compare-and-swap, leases and watches.  Every write increments the revision of
the whole store, and each key has the revision of its last change.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from contextlib import AbstractAsyncContextManager

MISSING_REVISION = 0
"""Expected revision of a key that must not exist."""
NO_LEASE = 0
"""Lease identifier of values that are attached to no lease."""


@attrs.frozen
class StoredValue:
    """Key and value, as read from the store."""

    key: str
    """Key in the store."""
    value: bytes
    """Value of the key."""
    revision: int
    """Store revision of the key's last change."""
    lease: int = NO_LEASE
    """Identifier of the lease that the value is attached to; only set by
    stores that report it."""


@attrs.frozen
class Snapshot:
    """Keys and values of one consistent read."""

    revision: int
    """Store revision at the time of the read."""
    values: tuple[StoredValue, ...]
    """Keys and values, sorted by key."""

    @property
    def first(self) -> StoredValue | None:
        """First key and its value, or ``None`` if nothing was found."""
        return self.values[0] if self.values else None


@attrs.frozen
class Expectation:
    """Condition of a compare-and-swap: the revision of a key."""

    key: str
    """Key to check."""
    revision: int
    """Expected store revision of the key's last change;
    :data:`MISSING_REVISION` if the key must not exist."""


@attrs.frozen
class Put:
    """Write of one key."""

    key: str
    """Key to write."""
    value: bytes
    """New value of the key."""
    lease: int = NO_LEASE
    """Identifier of the lease to attach; the key is deleted when the lease
    ends."""


@attrs.frozen
class Delete:
    """Deletion of one key."""

    key: str
    """Key to delete."""


@attrs.frozen
class SwapResult:
    """Result of a compare-and-swap."""

    succeeded: bool
    """Whether every expectation held, so that the writes took effect."""
    revision: int
    """Store revision after the call; that of the writes if they took effect."""


@attrs.frozen
class Change:
    """Change of one key, as reported by the store."""

    key: str
    """Key that was changed."""
    value: bytes | None
    """New value, or ``None`` if the key was deleted."""
    revision: int
    """Store revision of the change."""


@attrs.frozen
class ChangePage:
    """Changes returned by one poll."""

    revision: int
    """Store revision up to which the page is complete."""
    changes: tuple[Change, ...]
    """Changes in the order in which they were made."""


class Store(Protocol):
    """Client of a key-value service with leases.

    Each call may raise :class:`~dogwoodmast.errors.PlatformUnavailable` if
    it certainly had no effect,
    :class:`~dogwoodmast.errors.PlatformAnswerLost` if it may have had one,
    and :class:`~dogwoodmast.errors.PlatformRefused` if the answer has an
    error status.
    """

    async def read(self, key: str) -> Snapshot:
        """Read one key.

        :param key: Key to read.
        :return: Snapshot with the value, or with no value if the key does
            not exist.
        """

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Read all keys that begin with a prefix.

        :param prefix: Prefix of the keys; not empty.
        :return: Snapshot of the matching keys and their values.
        """

    async def swap(
        self,
        expectations: tuple[Expectation, ...],
        writes: tuple[Put | Delete, ...],
    ) -> SwapResult:
        """Write atomically if every expectation holds.

        :param expectations: Revisions that keys must have.
        :param writes: Writes, of which either all or none take effect.
        :return: Result that tells whether the writes took effect.
        """

    async def grant_lease(self, ttl: int) -> int:
        """Create a lease.

        :param ttl: Time to live, in whole seconds.
        :return: Identifier of the lease.
        """

    async def renew_lease(self, lease: int) -> bool:
        """Restart the time to live of a lease.

        :param lease: Identifier of the lease.
        :return: ``False`` if the lease had expired.
        """

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and delete the keys that are attached to it.

        :param lease: Identifier of the lease.
        """


class PolledStore(Store, Protocol):
    """Client of a key-value service that is polled for changes."""

    @property
    def is_arriving(self) -> bool:
        """Whether a response is arriving: begun, not complete, nor stalled."""

    async def agree_on_eras(self) -> None:
        """Count the eras of the store as all other entry VMs do.

        Positions that are read before may be of an earlier era than the same
        ones afterwards.

        :raises PlatformError: If a call to the store fails, or another entry VM
            writes from where it counts at the same time.
        """

    async def aclose(self) -> None:
        """Close idle connections; calls in progress go on."""

    async def read_changes(
        self, prefix: str, after: int, wait: float, timeout: float
    ) -> ChangePage:
        """Read changes by a long poll.

        :param prefix: Prefix of the keys.
        :param after: Store revision after which changes are reported.
        :param wait: Maximum time to wait for a change, in seconds.
        :param timeout: Time limit for the answer beyond that, in seconds.
        :return: Page of changes; empty if there was none within the time.
        :raises HistoryLost: If the store has discarded changes since that
            revision.
        """


class Platform(Store, Protocol):
    """Client of a key-value service that streams changes to a watch."""

    def watch_prefix(
        self, prefix: str, start_revision: int
    ) -> AbstractAsyncContextManager[AsyncIterator[Change]]:
        """Watch all keys that begin with a prefix.

        :param prefix: Prefix of the keys; not empty.
        :param start_revision: Store revision of the first change to report.
        :return: Context manager of the stream of changes.
        """
