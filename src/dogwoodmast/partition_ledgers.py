"""Ledgers of all partitions that one target's leaseholder dispatches.

A ledger is complete only while no other entry VM can have dispatched the
partition. So it ends when the lease of the target lapses or the partition
comes under another fence, and begins anew at the moment at which the
partition may be dispatched here, unless the last owner handed its own over.
"""

from __future__ import annotations

import math

import attrs

from dogwoodmast.backend import Grant
from dogwoodmast.dispatch_right import DispatchRights, Right
from dogwoodmast.ledger import Ledger, LedgerEntry
from dogwoodmast.ledger_extract import LedgerExtract

IMPORT_LIFETIME = 0.9
"""Time for which a ledger that was handed over stays complete while this
entry VM does not hold the target's lease, in seconds; shorter than a
dispatch lease, so that nobody else can have held one in between."""
NOT_HELD = 0
"""Number that stands for no tenure."""


@attrs.define
class LeaseTracker:
    """Continuity of one target's lease.

    A renewal that was not seen before the known end of the lease counts as
    a new tenure, since the lease may have lapsed in between.
    """

    _target: str
    _rights: DispatchRights
    _expiry: float = -math.inf
    _last_generation: int = NOT_HELD

    def observe(self, now: float) -> int:
        """Look at the lease.

        :param now: Monotonic time in seconds.
        :return: Number of the tenure, or :data:`NOT_HELD`.
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
    staged: float
    generation: int

    def is_complete(self, grant: Grant, generation: int, now: float) -> bool:
        if grant != self.grant:
            return False
        if self.generation == generation:
            return True
        return now - self.staged < IMPORT_LIFETIME


@attrs.define
class PartitionLedgers:
    """Ledgers by partition."""

    _target: str
    _rights: DispatchRights
    _lease: LeaseTracker = attrs.field(init=False)
    _generation: int = NOT_HELD
    _grants: frozenset[Grant] = frozenset()
    _open: dict[str, _OpenLedger] = attrs.field(factory=dict)
    _staged: dict[str, _StagedLedger] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Begin without the lease."""
        self._lease = LeaseTracker(self._target, self._rights)

    def on_grants(self, grants: frozenset[Grant]) -> None:
        """Take in which partitions are assigned to the target.

        :param grants: Their grants.
        """
        self._grants = grants

    def observe(self, now: float, wall_time: float) -> bool:
        """Look at the lease, and open ledgers under a new one.

        :param now: Monotonic time in seconds.
        :param wall_time: Seconds since the Unix epoch.
        :return: Whether the lease has been held without a break.
        """
        generation = self._lease.observe(now)
        unbroken = generation == self._generation
        if not unbroken:
            self._open.clear()
            self._generation = generation
            self.open_granted(now, wall_time)
        return unbroken

    def open_granted(self, now: float, wall_time: float) -> None:
        """Open a ledger for each partition that may be dispatched now.

        :param now: Monotonic time in seconds.
        :param wall_time: Seconds since the Unix epoch.
        """
        for grant in self._grants:
            if self._is_new(grant) and self._is_granted(grant, now):
                self.ledger(grant, now, wall_time)

    def ledger(self, grant: Grant, now: float, wall_time: float) -> Ledger:
        """Find the ledger of a partition that may be dispatched now.

        :param grant: Partition and fence.
        :param now: Monotonic time in seconds.
        :param wall_time: Seconds since the Unix epoch.
        :return: Its ledger.
        """
        known = self._open.get(grant.partition)
        if known is not None and known.grant == grant:
            return known.ledger
        ledger = self._create_ledger(grant, now, wall_time)
        self._open[grant.partition] = _OpenLedger(ledger, grant)
        return ledger

    def find(self, grant: Grant) -> Ledger | None:
        """Find a ledger that is open.

        :param grant: Partition and fence.
        :return: The ledger, or ``None``.
        """
        known = self._open.get(grant.partition)
        if known is None or known.grant != grant:
            return None
        return known.ledger

    def export(self, grant: Grant) -> LedgerExtract | None:
        """Close a ledger to hand it over.

        :param grant: Grant under which nothing runs.
        :return: What to hand over, or ``None`` if no ledger is open.
        """
        ledger = self.find(grant)
        if ledger is None:
            return None
        self._open.pop(grant.partition)
        return LedgerExtract.from_ledger(grant.partition, ledger)

    def stage(self, extract: LedgerExtract, grant: Grant, now: float) -> None:
        """Keep a ledger that the last owner handed over.

        :param extract: The ledger.
        :param grant: Grant under which the partition is to run here.
        :param now: Monotonic time in seconds.
        :raises MalformedFrame: If it is not valid.
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

    def _is_new(self, grant: Grant) -> bool:
        return self.find(grant) is None

    def _is_granted(self, grant: Grant, now: float) -> bool:
        right = self._rights.right(self._target, grant, now)
        return right is Right.GRANTED
