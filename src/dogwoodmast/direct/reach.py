"""Which targets new connections of the entry VM reach.

A VM may be cut off from all targets, or from those of some services, while
callers, the store and other VMs reach it.  A target that has ended looks the
same as a cut between it and the VM.  The VM itself counts as cut off from a
service only once each of its targets has failed: when an availability zone is
cut off, a part of the targets fails, and the others still serve.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.direct.catalog import TargetKey
from dogwoodmast.events import Event, log_event

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodmast.direct.catalog import Target

MIN_TARGETS = 3
"""Number of targets from which on a service can count as cut off; all of fewer
may have ended."""
HEALED_TARGETS = 2
"""Number of targets that can be connected to from which on it no longer
does."""
MIN_IMPAIRED_TARGETS = 2
"""Smallest number of targets that other VMs reach and this one does not from
which on it should leave coordinating to them."""
IMPAIRED_FRACTION = 0.25
"""The same as a fraction of all targets."""
MAX_UNCONFIRMED = 64
"""Number of actions that wait until it is known whether the VM is cut off."""


@attrs.define(eq=False)
class ServiceReach:
    """Connections of the VM to the targets of one service."""

    service: str
    """Name of the service."""
    listed: frozenset[TargetKey] = frozenset()
    """Targets that may be sent requests."""
    is_cut: bool = False
    """Whether the VM counts as cut off from the service."""
    _failing: set[TargetKey] = attrs.field(factory=set)
    _failed_in_row: set[TargetKey] = attrs.field(factory=set)
    _confirmed: set[TargetKey] = attrs.field(factory=set)

    @property
    def has_failing(self) -> bool:
        """Whether a new connection to any target failed last."""
        return bool(self._failing)

    @property
    def failing(self) -> frozenset[TargetKey]:
        """Targets to which the last new connection failed, and those that
        were listed during a cut and not connected to yet."""
        return frozenset(self._failing)

    @property
    def failed_in_row(self) -> int:
        """Number of targets that failed since one could be connected to."""
        return len(self._failed_in_row)

    @property
    def is_suspicious(self) -> bool:
        """Whether connections fail, and it is open whether all do."""
        return bool(self._failed_in_row) and not self.is_cut

    @property
    def untested(self) -> frozenset[TargetKey]:
        """Targets that did not fail since one could be connected to."""
        return self.listed - self._failed_in_row

    @property
    def confirmed(self) -> frozenset[TargetKey]:
        """Targets whose last failure is known not to be a cut, since a target
        was connected to after it."""
        return frozenset(self._confirmed)

    def update(self, listed: frozenset[TargetKey]) -> None:
        """Apply a new list of targets.

        :param listed: Targets that may be sent requests.
        """
        if self.is_cut:
            self._failing |= listed - self.listed
        self.listed = listed
        self._failing &= listed
        self._failed_in_row &= listed
        self._confirmed &= listed
        if self.is_cut and len(listed) < MIN_TARGETS:
            self.is_cut = False

    def on_open(self, target: TargetKey) -> None:
        """Record a connection that was opened.

        :param target: Target incarnation.
        """
        if not self.is_cut:
            self._confirmed |= self._failed_in_row
        self._failing.discard(target)
        self._failed_in_row.clear()
        reached = len(self.listed) - len(self._failing)
        if self.is_cut and reached >= HEALED_TARGETS:
            self.is_cut = False
            log_event(Event.TARGETS_REACHABLE, service=self.service)

    def on_failed(self, target: TargetKey) -> None:
        """Record a connection that could not be opened.

        :param target: Target incarnation.
        """
        self._failing.add(target)
        self._failed_in_row.add(target)
        self._confirmed.discard(target)
        is_cut = (
            len(self.listed) >= MIN_TARGETS and self._failing >= self.listed
        )
        if is_cut and not self.is_cut:
            self.is_cut = True
            self._confirmed.clear()
            log_event(
                Event.TARGETS_UNREACHABLE,
                service=self.service,
                listed=len(self.listed),
            )


@attrs.define(eq=False)
class ReachTracker:
    """State of the VM's connections to all targets."""

    _services: dict[str, ServiceReach] = attrs.field(factory=dict)
    _service_of: dict[TargetKey, ServiceReach] = attrs.field(factory=dict)
    _reached_elsewhere: set[TargetKey] = attrs.field(factory=set)
    _unconfirmed: deque[tuple[TargetKey, Callable[[], None]]] = attrs.field(
        factory=lambda: deque(maxlen=MAX_UNCONFIRMED)
    )

    @property
    def services(self) -> tuple[ServiceReach, ...]:
        """State of each service that has targets."""
        return tuple(self._services.values())

    @property
    def failing(self) -> frozenset[TargetKey]:
        """Targets that requests are not sent to from this VM."""
        return frozenset().union(*(one.failing for one in self.services))

    @property
    def has_failing(self) -> bool:
        """Whether there is a target that requests are not sent to."""
        return any(one.has_failing for one in self._services.values())

    @property
    def is_impaired(self) -> bool:
        """Whether other VMs reach a considerable part of the targets that this
        one does not reach."""
        missed = len(self._reached_elsewhere)
        return missed >= max(
            MIN_IMPAIRED_TARGETS, len(self._service_of) * IMPAIRED_FRACTION
        )

    def is_cut_off(self, service: str) -> bool:
        """Tell whether the VM is cut off from a service.

        :param service: Name of the service.
        :return: Whether connections to all of its targets fail.
        """
        found = self._services.get(service)
        return found is not None and found.is_cut

    def can_reach(self, target: TargetKey) -> bool:
        """Tell whether requests may be sent to a target from this VM.

        :param target: Target incarnation.
        :return: Whether the last new connection to it did not fail.
        """
        service = self._service_of.get(target)
        return service is None or target not in service.failing

    def update(self, targets: Iterable[Target]) -> None:
        """Apply a new list of targets.

        :param targets: Targets that may be sent requests.
        """
        by_service: dict[str, set[TargetKey]] = {}
        for target in targets:
            by_service.setdefault(target.service, set()).add(target.key)
        for gone in self._services.keys() - by_service.keys():
            self._services.pop(gone)
        self._service_of = {}
        for name, listed in by_service.items():
            service = self._services.setdefault(name, ServiceReach(name))
            service.update(frozenset(listed))
            self._service_of.update(dict.fromkeys(listed, service))
        self._reached_elsewhere &= self._service_of.keys()

    def on_reached_elsewhere(self, target: TargetKey) -> None:
        """Record that another VM has reached a target.

        :param target: Target that this VM does not reach.
        """
        self._reached_elsewhere.add(target)

    def confirm(self, target: TargetKey, action: Callable[[], None]) -> None:
        """Act on the end of a target once it is known not to be a cut.

        :param target: Target that seems to have ended.
        :param action: Called when any target of its service can be connected
            to, at once if one was since the target failed; dropped when the VM
            turns out to be cut off from the service.
        """
        service = self._service_of.get(target)
        if service is not None and target in service.confirmed:
            action()
        elif service is None or not service.is_cut:
            self._unconfirmed.append((target, action))

    def on_connect(self, target: TargetKey, *, is_open: bool) -> None:
        """Record an attempt to open a connection.

        :param target: Target incarnation.
        :param is_open: Whether it succeeded.
        """
        service = self._service_of.get(target)
        if service is None:
            return
        if not is_open:
            service.on_failed(target)
            if service.is_cut:
                self._settle(service, is_cut=True)
            return
        self._reached_elsewhere.discard(target)
        was_cut = service.is_cut
        service.on_open(target)
        if not was_cut:
            self._settle(service, is_cut=False)

    def _settle(self, service: ServiceReach, *, is_cut: bool) -> None:
        """Call or drop the actions that waited for news of a service."""
        waiting = tuple(self._unconfirmed)
        self._unconfirmed.clear()
        for target, action in waiting:
            known = self._service_of.get(target, service)
            if known is not service:
                self._unconfirmed.append((target, action))
            elif not is_cut:
                action()
