"""Request id ledgers of the partitions assigned to one target.

A ledger is complete only if no other entry VM can have dispatched the
partition since it was opened. It is therefore discarded when the target's
dispatch lease lapses or the partition's fence changes. A new ledger starts
empty when this entry VM may dispatch the partition, unless the previous
leaseholder handed its ledger over.
"""

from __future__ import annotations

import math

import attrs

from dogwoodmast.backend import Grant
from dogwoodmast.dispatch_right import DispatchRights, Right
from dogwoodmast.ledger import Ledger, LedgerEntry
from dogwoodmast.ledger_extract import LedgerExtract

IMPORT_LIFETIME = 0.9
"""Time for which an imported ledger counts as complete before this entry VM
acquires the target's lease, in seconds. Shorter than a dispatch lease, so
that no other entry VM can have held the lease in between."""
NOT_HELD = 0
"""Generation number that stands for a lease that is not held."""


@attrs.define
class LeaseTracker:
    """Generation counter for one target's dispatch lease.

    A generation lasts while the lease is held without a gap. A renewal
    that is first observed after the previously known expiry starts a new
    generation, since the lease may have lapsed in between.
    """

    _target: str
    _rights: DispatchRights
    _expiry: float = -math.inf
    _last_generation: int = NOT_HELD

    def observe(self, now: float) -> int:
        """Read the lease's expiry and update the generation.

        :param now: Monotonic time in seconds.
        :return: Number of the generation, or :data:`NOT_HELD`.
        """
        renewed_in_time = now < self._expiry
        self._expiry = self._rights.lease_expiry(self._target)
        if self._expiry <= now:
            self._expiry = -math.inf
            return NOT_HELD
        if not renewed_in_time:
            self._last_generation += 1
        return self._last_generation


@attrs.frozen
class _OpenLedger:
    ledger: Ledger
    grant: Grant


@attrs.frozen
class _StagedLedger:
    extract: LedgerExtract
    entries: tuple[LedgerEntry, ...]
    grant: Grant
    staged_at: float
    generation: int

    def is_complete(self, grant: Grant, generation: int, now: float) -> bool:
        if grant != self.grant:
            return False
        if self.generation == generation:
            return True
        return now - self.staged_at < IMPORT_LIFETIME


@attrs.define
class PartitionLedgers:
    """Open and imported ledgers, keyed by partition name."""

    _target: str
    _rights: DispatchRights
    _lease: LeaseTracker = attrs.field(init=False)
    _generation: int = NOT_HELD
    _grants: frozenset[Grant] = frozenset()
    _open: dict[str, _OpenLedger] = attrs.field(factory=dict)
    _staged: dict[str, _StagedLedger] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Start in the state in which the lease is not held."""
        self._lease = LeaseTracker(self._target, self._rights)

    def on_grants(self, grants: frozenset[Grant]) -> None:
        """Replace the set of partitions assigned to the target.

        :param grants: Grants of all assigned partitions.
        """
        self._grants = grants

    def observe(self, now: float, wall_time: float) -> bool:
        """Check the lease and replace all ledgers if its generation changed.

        :param now: Monotonic time in seconds.
        :param wall_time: Wall-clock time in seconds since the Unix epoch.
        :return: Whether the generation is the same as at the last call.
        """
        generation = self._lease.observe(now)
        unbroken = generation == self._generation
        if not unbroken:
            self._open.clear()
            self._generation = generation
            self.open_granted(now, wall_time)
        return unbroken

    def open_granted(self, now: float, wall_time: float) -> None:
        """Open missing ledgers of partitions that may be dispatched now.

        :param now: Monotonic time in seconds.
        :param wall_time: Wall-clock time in seconds since the Unix epoch.
        """
        for grant in self._grants:
            if self._is_missing(grant) and self._is_granted(grant, now):
                self.ledger(grant, now, wall_time)

    def ledger(self, grant: Grant, now: float, wall_time: float) -> Ledger:
        """Find or open the ledger of a partition that may be dispatched now.

        :param grant: Partition and fence.
        :param now: Monotonic time in seconds.
        :param wall_time: Wall-clock time in seconds since the Unix epoch.
        :return: Open ledger for this partition and fence.
        """
        known = self._open.get(grant.partition)
        if known is not None and known.grant == grant:
            return known.ledger
        ledger = self._create_ledger(grant, now, wall_time)
        self._open[grant.partition] = _OpenLedger(ledger, grant)
        return ledger

    def find(self, grant: Grant) -> Ledger | None:
        """Find the open ledger of a partition.

        :param grant: Partition and fence.
        :return: Ledger, or ``None`` if none is open under this fence.
        """
        known = self._open.get(grant.partition)
        if known is None or known.grant != grant:
            return None
        return known.ledger

    def export(self, grant: Grant) -> LedgerExtract | None:
        """Close a ledger and export it for handover.

        :param grant: Grant under which no request runs any more.
        :return: Contents of the ledger, or ``None`` if none is open.
        """
        ledger = self.find(grant)
        if ledger is None:
            return None
        self._open.pop(grant.partition)
        return LedgerExtract.from_ledger(grant.partition, ledger)

    def stage(self, extract: LedgerExtract, grant: Grant, now: float) -> None:
        """Import a ledger from the previous leaseholder.

        Merges its entries into the open ledger, or else keeps it until the
        partition may be dispatched here.

        :param extract: Contents of the ledger.
        :param grant: Grant under which this entry VM dispatches the
            partition.
        :param now: Monotonic time in seconds.
        :raises MalformedFrame: If an entry is not valid.
        """
        entries = extract.to_entries()
        known = self.find(grant)
        if known is not None:
            known.merge(entries)
            return
        self._staged[extract.partition] = _StagedLedger(
            extract, entries, grant, now, self._generation
        )

    def _create_ledger(
        self, grant: Grant, now: float, wall_time: float
    ) -> Ledger:
        staged = self._staged.pop(grant.partition, None)
        if staged is None or not staged.is_complete(
            grant, self._generation, now
        ):
            return Ledger(wall_time)
        ledger = Ledger(staged.extract.since)
        ledger.merge(staged.entries)
        return ledger

    def _is_missing(self, grant: Grant) -> bool:
        return self.find(grant) is None

    def _is_granted(self, grant: Grant, now: float) -> bool:
        right = self._rights.right(self._target, grant, now)
        return right is Right.GRANTED
