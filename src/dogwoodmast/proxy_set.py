"""Target proxies of one entry VM.

An entry VM runs one :class:`TargetProxy` for each target whose dispatch lease
it holds, is to acquire, or has not released completely.
"""

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
"""Grants of the assigned partitions, keyed by target name."""


@attrs.define(eq=False)
class _RunningProxy:
    proxy: TargetProxy
    stop: anyio.Event = attrs.field(factory=anyio.Event)
    grants: frozenset[Grant] = frozenset()


@attrs.define(eq=False)
class ProxySet:
    """Starts, updates and stops the target proxies of one entry VM.

    Implements the ``Workload`` protocol, through which the ownership code
    reports load and learns which leases may be released.
    """

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
        """Latest routing view, or ``None`` before the first one."""
        return self._view

    @property
    def settled_version(self) -> int:
        """Latest version of the own zone's record that is fully applied.

        Under the grants that this version or an earlier one replaced, no
        request can still run, and each ledger has been handed over or
        dropped.
        """
        open_handovers = [
            handover.version
            for handover in self._handovers
            if not handover.done
        ]
        return min(open_handovers, default=self._version + 1) - 1

    async def __aenter__(self) -> ProxySet:
        """Open the task group of the proxies, without starting a proxy.

        :return: This set.
        """
        self._tasks = await self._stack.enter_async_context(
            anyio.create_task_group()
        )
        return self

    async def __aexit__(self, *exc_info: Any) -> None:
        """Cancel all proxies and handovers.

        :param exc_info: Exception that ends the block, if any.
        """
        if self._tasks is not None:
            self._tasks.cancel_scope.cancel()
        await self._stack.__aexit__(*exc_info)

    def find(self, target: str) -> TargetProxy | None:
        """Find the proxy of a target.

        :param target: Name of the target.
        :return: Proxy, or ``None`` if this entry VM runs none for it.
        """
        running = self._running.get(target)
        return None if running is None else running.proxy

    def all(self) -> dict[str, TargetProxy]:
        """Return all running proxies.

        :return: Proxies, keyed by target name.
        """
        return {
            target: running.proxy for target, running in self._running.items()
        }

    async def on_view(self, view: RoutingView) -> None:
        """Apply a new routing view.

        Starts proxies for targets that this entry VM now holds, updates
        the grants of all proxies, hands over the ledgers of revoked grants
        and stops proxies of targets that have been released.

        :param view: Configuration, zone records and leaseholders.
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
        """Wait until the first routing view has been applied."""
        if self._view is None:
            await self._view_changed.wait()

    async def wait_for_change(
        self, last_view: RoutingView, timeout: float
    ) -> None:
        """Wait until the routing view is replaced by a newer one.

        :param last_view: View that the caller has used.
        :param timeout: Maximum time to wait, in seconds.
        """
        if self._view is last_view:
            with anyio.move_on_after(timeout):
                await self._view_changed.wait()

    def on_rights_changed(self) -> None:
        """Let all proxies re-evaluate their waiting requests."""
        for running in self._running.values():
            running.proxy.on_rights_changed()

    def has_released(self, target: str) -> bool:
        """Check whether a target's lease may pass to another entry VM.

        :param target: Target that another entry VM is to hold, by the
            routing view.
        :return: ``True`` once none of its requests can still run from here
            and its ledgers have been handed over or dropped.
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
        """Report the load of partitions and keys and the health of targets.

        :param now: Monotonic time in seconds.
        :return: Report of this entry VM for the zone's coordinator.
        """
        health = tuple(
            running.proxy.health() for running in self._running.values()
        )
        measured = self._meter.report(now)
        return LoadReport(
            self._vm, measured.partitions, measured.hot_keys, health
        )

    def import_ledger(self, extract: LedgerExtract) -> bool:
        """Import a ledger from the previous leaseholder of a partition.

        :param extract: Contents of the ledger.
        :return: ``False`` if no proxy has a grant for the partition yet.
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
