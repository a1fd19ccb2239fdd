"""Agent of one entry VM that takes part in its zone's coordination.

The decisions are those of :class:`~dogwoodmast.zone_node.ZoneNode`; the
agent carries them out over links, the platform and the VM list.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from dogwoodmast.assignment_planner import AssignmentPlanner
from dogwoodmast.events import Event, log_event
from dogwoodmast.membership import Membership
from dogwoodmast.record_store import RecordStore
from dogwoodmast.record_writer import WriteRecord
from dogwoodmast.takeover import SendProbe
from dogwoodmast.vm_list import VmListing, VmListUnavailable
from dogwoodmast.zone_actions import (
    OfferRole,
    PublishHolders,
    PullKnowledge,
    ZoneAction,
)
from dogwoodmast.zone_coordinator import SendRound
from dogwoodmast.zone_inputs import ZoneInputs
from dogwoodmast.zone_joining import ZoneJoining
from dogwoodmast.zone_links import ZoneLinks
from dogwoodmast.zone_node import ZoneNode
from dogwoodmast.zone_protocol import LOSS_TIMEOUT
from dogwoodmast.zone_records import ZoneRecords
from dogwoodmast.zone_sync import PeerFollower, PlatformFollower

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from dogwoodmast.dispatch_right import DispatchRights
    from dogwoodmast.load_report import LoadReport
    from dogwoodmast.message_handlers import MessageHandlers
    from dogwoodmast.zone_services import ZoneServices

TICK_INTERVAL = 0.05
"""Time between two looks at what is due, in seconds."""
JOIN_INTERVAL = 0.5
"""Time between two attempts to be listed, in seconds."""
VM_LIST_INTERVAL = 1.0
"""Time between reads of the VM list by a coordinator, in seconds."""
MEMBER_VM_LIST_INTERVAL = 5.0
"""Time between reads of the VM list by a member, in seconds."""
REPORT_INTERVAL = 1.0
"""Time between two reports of load and health, in seconds."""
HOME_INTERVAL = 0.5
"""Time between two looks at the home records, in seconds."""
LEAVE_TIMEOUT = 10.0
"""Time allowed for a planned leave, in seconds."""


class ZoneAgent:
    """One entry VM's agent."""

    def __init__(
        self, services: ZoneServices, handlers: MessageHandlers
    ) -> None:
        """Create an agent that does nothing until it is run.

        :param services: What it works with.
        :param handlers: Collection to register its handlers in.
        """
        self._services = services
        self._planner = AssignmentPlanner(services.planner)
        self._node = ZoneNode(
            services.me,
            Membership(services.zone),
            self._planner.next_record,
            services.member,
        )
        self._links = ZoneLinks(
            services, self._node, self._carry_out, self._on_report
        )
        self._links.register(handlers)
        store = RecordStore(services.platform, services.me.vm, services.clock)
        self._records = ZoneRecords(services, self._node, store)
        self._joining = ZoneJoining(
            services, self._node, self._links, self._records
        )
        self._inputs = ZoneInputs(services, self._node, self._planner)
        self._tasks: TaskGroup | None = None
        self._left = anyio.Event()
        self._peers = PeerFollower(services, self._node)
        self._platform = PlatformFollower(services)
        services.exchange.subscribe(self._inputs.on_documents)

    @property
    def rights(self) -> DispatchRights:
        """What this entry VM may dispatch."""
        return self._node.member

    @property
    def is_coordinator(self) -> bool:
        """Whether this entry VM coordinates its zone."""
        return self._node.coordinator is not None

    @property
    def listing(self) -> VmListing | None:
        """Latest VM list, or ``None`` if it was never read."""
        return self._inputs.listing

    @property
    def is_listed(self) -> bool:
        """Whether this entry VM is a member of its zone."""
        return self._node.is_listed

    async def run(self) -> None:
        """Take part until cancelled."""
        self._inputs.on_documents()
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._tick, tasks)
            tasks.start_soon(self._read_vm_list)
            tasks.start_soon(self._join)
            tasks.start_soon(self._report)
            tasks.start_soon(self._keep_homes)

    async def leave(self) -> None:
        """Hand everything over before the process stops."""
        self._node.leave()
        with anyio.move_on_after(LEAVE_TIMEOUT):
            await self._left.wait()

    async def _tick(self, tasks: TaskGroup) -> None:
        while True:
            self._node.on_tick(self._services.now)
            self._carry_out()
            self._platform.follow(tasks, has_role=self.is_coordinator)
            if self._node.member.leaving and self._has_left():
                self._left.set()
            await anyio.sleep(TICK_INTERVAL)

    async def _read_vm_list(self) -> None:
        while True:
            try:
                listing = await self._services.vm_list.fetch()
            except VmListUnavailable as error:
                log_event(Event.VM_LIST_FAILED, reason=error.message)
            else:
                self._inputs.on_listing(listing)
            await anyio.sleep(self._vm_list_interval())

    async def _join(self) -> None:
        while True:
            if not self._node.is_listed and not self._node.member.leaving:
                await self._joining.attempt(self._inputs.listing)
                self._carry_out()
            await anyio.sleep(JOIN_INTERVAL)

    async def _report(self) -> None:
        while True:
            await anyio.sleep(REPORT_INTERVAL)
            report = self._services.workload.load_report(self._services.now)
            await self._links.send_report(report)

    async def _keep_homes(self) -> None:
        while True:
            if self.is_coordinator:
                await self._records.create_missing_homes()
                await self._records.transfer_homes()
            await anyio.sleep(HOME_INTERVAL)

    def _vm_list_interval(self) -> float:
        silence = self._node.member.silence(self._services.now)
        settled = self._node.is_listed and silence < LOSS_TIMEOUT
        if self.is_coordinator or not settled:
            return VM_LIST_INTERVAL
        return MEMBER_VM_LIST_INTERVAL

    def _on_report(self, report: LoadReport) -> None:
        self._planner.on_report(report, self._services.now)

    def _has_left(self) -> bool:
        coordinator = self._node.coordinator
        if coordinator is None:
            return self._node.member.idle
        now = self._services.now
        return (
            coordinator.has_quorum(now) and coordinator.successor(now) is None
        )

    def _carry_out(self) -> None:
        if self._tasks is None:
            return
        for action in self._node.take_actions():
            self._start(self._tasks, action)

    def _start(self, tasks: TaskGroup, action: ZoneAction) -> None:
        match action:
            case SendRound():
                tasks.start_soon(self._links.send_round, action)
            case SendProbe():
                tasks.start_soon(self._links.send_probe, action)
            case OfferRole():
                tasks.start_soon(self._links.send_offer, action)
            case WriteRecord():
                tasks.start_soon(self._write, action)
            case PullKnowledge(address):
                tasks.start_soon(self._peers.pull, address)
            case PublishHolders():
                self._inputs.publish(action)

    async def _write(self, action: WriteRecord) -> None:
        await self._records.write(action)
        self._carry_out()
