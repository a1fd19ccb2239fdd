"""Which targets new connections of the entry VM reach.

A VM may be cut off from all targets, or from some, while callers, the store
and other VMs reach it.  A target that has ended looks the same as a cut
between it and the VM; that the VM itself is cut off shows in several targets
at once, and in none that can be connected to.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast.direct.catalog import TargetKey
from dogwoodmast.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Collection

CUT_TARGETS = 3
"""Number of targets that cannot be connected to, with none in between that
can, from which on the VM counts as cut off from all targets."""
HEALED_TARGETS = 2
"""Number of targets that can be connected to, with none in between that
cannot, from which on it no longer does."""


@attrs.define(eq=False)
class ReachTracker:
    """State of the VM's connections to targets."""

    _listed: frozenset[TargetKey] = frozenset()
    _failing: set[TargetKey] = attrs.field(factory=set)
    _failed_in_row: set[TargetKey] = attrs.field(factory=set)
    _reached_in_row: set[TargetKey] = attrs.field(factory=set)
    _is_cut: bool = False

    @property
    def is_cut(self) -> bool:
        """Whether the VM counts as cut off from all targets."""
        return self._is_cut

    @property
    def failing(self) -> frozenset[TargetKey]:
        """Targets to which the last new connection failed."""
        return frozenset(self._failing)

    @property
    def is_suspicious(self) -> bool:
        """Whether connections fail, and it is open whether to all targets."""
        return bool(self._failed_in_row) and not self._is_cut

    @property
    def untested(self) -> frozenset[TargetKey]:
        """Listed targets that did not fail since one could be connected to."""
        return self._listed - self._failed_in_row

    @property
    def listed(self) -> frozenset[TargetKey]:
        """Targets that may be sent requests."""
        return self._listed

    def can_reach(self, target: TargetKey) -> bool:
        """Tell whether requests may be sent to a target from this VM.

        :param target: Target incarnation.
        :return: Whether neither the target nor the VM is known to be cut off.
        """
        return not self._is_cut and target not in self._failing

    def update(self, targets: Collection[TargetKey]) -> None:
        """Apply a new list of targets.

        :param targets: Targets that may be sent requests.
        """
        self._listed = frozenset(targets)
        self._failing &= self._listed
        self._failed_in_row &= self._listed
        self._reached_in_row &= self._listed

    def on_connect(self, target: TargetKey, *, is_open: bool) -> None:
        """Record an attempt to open a connection.

        :param target: Target incarnation.
        :param is_open: Whether it succeeded.
        """
        if target not in self._listed:
            return
        if is_open:
            self._on_open(target)
        else:
            self._on_failed(target)

    def _on_open(self, target: TargetKey) -> None:
        self._failing.discard(target)
        self._failed_in_row.clear()
        self._reached_in_row.add(target)
        needed = min(HEALED_TARGETS, len(self._listed))
        if self._is_cut and len(self._reached_in_row) >= needed:
            self._is_cut = False
            log_event(Event.TARGETS_REACHABLE, failing=len(self._failing))

    def _on_failed(self, target: TargetKey) -> None:
        self._failing.add(target)
        self._failed_in_row.add(target)
        self._reached_in_row.clear()
        needed = min(CUT_TARGETS, len(self._listed))
        if not self._is_cut and len(self._failed_in_row) >= needed:
            self._is_cut = True
            log_event(
                Event.TARGETS_UNREACHABLE,
                failing=len(self._failing),
                listed=len(self._listed),
            )
