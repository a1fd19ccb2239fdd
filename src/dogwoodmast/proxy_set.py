"""Fronts of the targets that one entry VM is to front."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any

import anyio
import attrs
from anyio.abc import TaskGroup

from dogwoodmast.backend import Grant
from dogwoodmast.clock import Clock
from dogwoodmast.dispatch_right import DispatchRights
from dogwoodmast.ledger_handover import LedgerHandover, LedgerSender
from dogwoodmast.load_meter import LoadMeter
from dogwoodmast.load_report import LoadReport
from dogwoodmast.quarantine import Quarantine
from dogwoodmast.routing import RoutingView, make_grant
from dogwoodmast.target_proxy import TargetProxy

if TYPE_CHECKING:
    from collections.abc import Iterator

    from anyio.abc import TaskStatus

    from dogwoodmast.configuration import Service, Target
    from dogwoodmast.ledger_extract import LedgerExtract
    from dogwoodmast.ownership import ZoneRecord

GrantsByTarget = dict[str, frozenset['Grant']]
"""Grants of the partitions that are assigned to each target."""


@attrs.define(eq=False)
class _RunningProxy:
    proxy: TargetProxy
    stop: anyio.Event = attrs.field(factory=anyio.Event)
    grants: frozenset[Grant] = frozenset()


@attrs.define(eq=False)
class ProxySet:
    """Fronts of one entry VM; its part of the ownership's contract."""

    _vm: str
    _zone: str
    _clock: Clock
    _rights: DispatchRights
    _sender: LedgerSender
    _meter: LoadMeter
    _quarantine: Quarantine
    _running: dict[str, _RunningProxy] = attrs.field(factory=dict)
    _handovers: list[LedgerHandover] = attrs.field(factory=list)
    _view: RoutingView | None = None
    _version: int = 0
    _view_changed: anyio.Event = attrs.field(factory=anyio.Event)
    _stack: AsyncExitStack = attrs.field(factory=AsyncExitStack)
    _tasks: TaskGroup | None = None

    @property
    def view(self) -> RoutingView | None:
        """What is known for routing, or ``None`` before the start."""
        return self._view

    @property
    def settled_version(self) -> int:
        """Version of the own zone's record that all work has settled at."""
        open_handovers = [
            handover.version
            for handover in self._handovers
            if not handover.done
        ]
        return min(open_handovers, default=self._version + 1) - 1

    async def __aenter__(self) -> ProxySet:
        """Start without any front.

        :return: The set.
        """
        self._tasks = await self._stack.enter_async_context(
            anyio.create_task_group()
        )
        return self

    async def __aexit__(self, *exc_info: Any) -> None:
        """Stop every front.

        :param exc_info: Exception that ends the block, if any.
        """
        if self._tasks is not None:
            self._tasks.cancel_scope.cancel()
        await self._stack.__aexit__(*exc_info)

    def find(self, target: str) -> TargetProxy | None:
        """Find the front of a target.

        :param target: Name of the target.
        :return: The front, or ``None`` if it is not fronted here.
        """
        running = self._running.get(target)
        return None if running is None else running.proxy

    def all(self) -> dict[str, TargetProxy]:
        """List every front.

        :return: Front per target.
        """
        return {
            target: running.proxy for target, running in self._running.items()
        }

    async def on_view(self, view: RoutingView) -> None:
        """Take in new knowledge for routing.

        :param view: What is known now.
        """
        self._handovers = [one for one in self._handovers if not one.done]
        for service, target in _targets(view):
            holder = view.holders.get(target.name)
            if holder is not None and holder.vm == self._vm:
                await self._ensure_proxy(service, target)
        record = view.zones.get(self._zone)
        if record is not None:
            self._on_record(view, record)
        self._view = view
        self._stop_released()
        self._view_changed.set()
        self._view_changed = anyio.Event()

    async def wait_for_first_view(self) -> None:
        """Wait until anything is known for routing."""
        if self._view is None:
            await self._view_changed.wait()

    async def wait_for_change(
        self, last_view: RoutingView, timeout: float
    ) -> None:
        """Wait until more is known than a view tells.

        :param last_view: The view.
        :param timeout: Time to wait at most, in seconds.
        """
        if self._view is last_view:
            with anyio.move_on_after(timeout):
                await self._view_changed.wait()

    def on_rights_changed(self) -> None:
        """Look again at what waits, since a right may have changed."""
        for running in self._running.values():
            running.proxy.on_rights_changed()

    def has_released(self, target: str) -> bool:
        """Tell whether a target's lease may pass to another entry VM.

        :param target: Target whose holder in the view is another one.
        :return: ``True`` once nothing of it runs here and its request
            ids have been handed over or given up.
        """
        running = self._running.get(target)
        if running is None:
            return True
        if self._is_holder(target) or running.proxy.unsettled():
            return False
        return all(
            handover.done
            for handover in self._handovers
            if handover.target == target
        )

    def load_report(self, now: float) -> LoadReport:
        """Report load and health as requests show them.

        :param now: Monotonic time in seconds.
        :return: Report since the last one.
        """
        health = tuple(
            running.proxy.health() for running in self._running.values()
        )
        measured = self._meter.report(now)
        return LoadReport(
            self._vm, measured.partitions, measured.hot_keys, health
        )

    def import_ledger(self, extract: LedgerExtract) -> bool:
        """Take in the ledger of a partition that comes here.

        :param extract: The ledger.
        :return: ``False`` if the partition is not known to come here yet.
        """
        for running in self._running.values():
            for grant in running.grants:
                if grant.partition == extract.partition:
                    running.proxy.import_ledger(extract, grant)
                    return True
        return False

    def _on_record(self, view: RoutingView, record: ZoneRecord) -> None:
        grants = _grants_by_target(record)
        self._version = max(self._version, record.version)
        for name, running in self._running.items():
            holder = view.holders.get(name)
            stays_here = holder is None or holder.vm == self._vm
            current = grants.get(name, frozenset())
            revoked = running.grants - current if stays_here else running.grants
            running.grants = current if stays_here else frozenset()
            running.proxy.on_grants(running.grants)
            self._hand_over(name, running.proxy, revoked, stays_here=stays_here)

    def _hand_over(
        self,
        target: str,
        proxy: TargetProxy,
        grants: frozenset[Grant],
        *,
        stays_here: bool,
    ) -> None:
        assert self._tasks is not None
        for grant in grants:
            handover = LedgerHandover(
                target, proxy, grant, self._version, not stays_here
            )
            self._handovers.append(handover)
            self._tasks.start_soon(handover.run, self._sender)

    async def _ensure_proxy(self, service: Service, target: Target) -> None:
        assert self._tasks is not None
        if target.name in self._running:
            return
        proxy = TargetProxy(
            service,
            target,
            self._clock,
            self._rights,
            self._meter,
            self._quarantine,
        )
        running = _RunningProxy(proxy)
        await self._tasks.start(_run_proxy, running)
        self._running[target.name] = running

    def _stop_released(self) -> None:
        now = self._clock.monotonic()
        for name in tuple(self._running):
            lease_stands = self._rights.lease_expiry(name) > now
            if not lease_stands and self.has_released(name):
                self._running.pop(name).stop.set()

    def _is_holder(self, target: str) -> bool:
        if self._view is None:
            return False
        holder = self._view.holders.get(target)
        return holder is not None and holder.vm == self._vm


async def _run_proxy(
    running: _RunningProxy,
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    async with running.proxy:
        task_status.started()
        await running.stop.wait()


def _targets(view: RoutingView) -> Iterator[tuple[Service, Target]]:
    for service in view.configuration.services:
        for target in service.targets:
            yield service, target


def _grants_by_target(record: ZoneRecord) -> GrantsByTarget:
    found: dict[str, set[Grant]] = {}
    for service, table in record.tables.items():
        for partition, assignment in table.assignments.items():
            grant = make_grant(service, partition, assignment.fence)
            found.setdefault(assignment.target, set()).add(grant)
    return {target: frozenset(grants) for target, grants in found.items()}
