"""Agent that runs the zone protocol at one entry VM.

The state machine :class:`~dogwoodmast.zone_node.ZoneNode` makes the
decisions; the agent does the I/O: links to peers, the platform and the VM
list.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from dogwoodmast.assignment_planner import AssignmentPlanner
from dogwoodmast.events import Event, log_event
from dogwoodmast.membership import Membership
from dogwoodmast.record_store import RecordStore
from dogwoodmast.record_write_scheduler import WriteRecord
from dogwoodmast.takeover import SendProbe
from dogwoodmast.vm_list import VmListing, VmListUnavailable
from dogwoodmast.zone_actions import (
    OfferRole,
    PublishHolders,
    PullFromPeer,
    ZoneAction,
)
from dogwoodmast.zone_coordinator import SendRound
from dogwoodmast.zone_inputs import ZoneInputs
from dogwoodmast.zone_joining import ZoneJoiner
from dogwoodmast.zone_links import ZoneLinks
from dogwoodmast.zone_node import ZoneNode
from dogwoodmast.zone_protocol import LOSS_TIMEOUT
from dogwoodmast.zone_record_writer import ZoneRecordWriter
from dogwoodmast.zone_sync import DocumentPuller, PlatformWatcher

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from dogwoodmast.dispatch_right import DispatchRights
    from dogwoodmast.load_report import LoadReport
    from dogwoodmast.message_handlers import MessageHandlers
    from dogwoodmast.zone_services import ZoneServices

TICK_INTERVAL = 0.05
"""Interval between ticks of the zone's state machines, in seconds."""
JOIN_INTERVAL = 0.5
"""Interval between attempts to join the zone, in seconds."""
VM_LIST_INTERVAL = 1.0
"""Interval between reads of the VM list by a coordinator, and by an entry VM
that is not a member or receives no rounds, in seconds."""
MEMBER_VM_LIST_INTERVAL = 5.0
"""Interval between reads of the VM list by a member that receives rounds, in
seconds."""
REPORT_INTERVAL = 1.0
"""Interval between reports of load and target health to the coordinator, in
seconds."""
HOME_CHECK_INTERVAL = 0.5
"""Interval between checks of the home records by a coordinator, in seconds."""
LEAVE_TIMEOUT = 10.0
"""Maximum time that a stopping process waits for its targets and the
coordinator role to be handed over, in seconds."""


class ZoneAgent:
    """Runs the zone protocol at one entry VM."""

    def __init__(
        self, services: ZoneServices, handlers: MessageHandlers
    ) -> None:
        """Create an agent and register its message handlers.

        It sends no messages until :meth:`run` is called.

        :param services: Services of the entry VM that the agent uses.
        :param handlers: Registry for the handlers of zone messages.
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
            services, self._node, self._run_actions, self._on_report
        )
        self._links.register(handlers)
        store = RecordStore(services.platform, services.me.vm, services.clock)
        self._records = ZoneRecordWriter(services, self._node, store)
        self._joiner = ZoneJoiner(
            services, self._node, self._links, self._records
        )
        self._inputs = ZoneInputs(services, self._node, self._planner)
        self._tasks: TaskGroup | None = None
        self._leave_done = anyio.Event()
        self._puller = DocumentPuller(services, self._node)
        self._platform_watcher = PlatformWatcher(services)
        services.exchange.subscribe(self._inputs.on_documents)

    @property
    def rights(self) -> DispatchRights:
        """Dispatch rights of this entry VM."""
        return self._node.member

    @property
    def is_coordinator(self) -> bool:
        """Whether this entry VM has the coordinator role of its zone."""
        return self._node.coordinator is not None

    @property
    def listing(self) -> VmListing | None:
        """Latest VM list, or ``None`` if it was never read."""
        return self._inputs.listing

    @property
    def is_listed(self) -> bool:
        """Whether the zone's record lists this process as a member."""
        return self._node.is_listed

    async def run(self) -> None:
        """Run the zone protocol until cancelled."""
        self._inputs.on_documents()
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._tick, tasks)
            tasks.start_soon(self._read_vm_list)
            tasks.start_soon(self._join)
            tasks.start_soon(self._report)
            tasks.start_soon(self._maintain_homes)

    async def leave(self) -> None:
        """Hand over all targets and the coordinator role before shutdown.

        Returns after ``LEAVE_TIMEOUT`` if the handover does not complete.
        """
        self._node.leave()
        with anyio.move_on_after(LEAVE_TIMEOUT):
            await self._leave_done.wait()

    async def _tick(self, tasks: TaskGroup) -> None:
        while True:
            self._node.on_tick(self._services.now)
            self._run_actions()
            self._platform_watcher.update(tasks, has_role=self.is_coordinator)
            if self._node.member.leaving and self._is_handed_over():
                self._leave_done.set()
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
                await self._joiner.attempt(self._inputs.listing)
                self._run_actions()
            await anyio.sleep(JOIN_INTERVAL)

    async def _report(self) -> None:
        while True:
            await anyio.sleep(REPORT_INTERVAL)
            report = self._services.workload.load_report(self._services.now)
            await self._links.send_report(report)

    async def _maintain_homes(self) -> None:
        while True:
            if self.is_coordinator:
                await self._records.create_missing_homes()
                await self._records.transfer_homes()
            await anyio.sleep(HOME_CHECK_INTERVAL)

    def _vm_list_interval(self) -> float:
        silence = self._node.member.time_since_round(self._services.now)
        in_contact = self._node.is_listed and silence < LOSS_TIMEOUT
        if self.is_coordinator or not in_contact:
            return VM_LIST_INTERVAL
        return MEMBER_VM_LIST_INTERVAL

    def _on_report(self, report: LoadReport) -> None:
        self._planner.on_report(report, self._services.now)

    def _is_handed_over(self) -> bool:
        coordinator = self._node.coordinator
        if coordinator is None:
            return self._node.member.has_released_all
        now = self._services.now
        return (
            coordinator.has_quorum(now) and coordinator.successor(now) is None
        )

    def _run_actions(self) -> None:
        if self._tasks is None:
            return
        for action in self._node.take_actions():
            self._start_action(self._tasks, action)

    def _start_action(self, tasks: TaskGroup, action: ZoneAction) -> None:
        match action:
            case SendRound():
                tasks.start_soon(self._links.send_round, action)
            case SendProbe():
                tasks.start_soon(self._links.send_probe, action)
            case OfferRole():
                tasks.start_soon(self._links.send_offer, action)
            case WriteRecord():
                tasks.start_soon(self._write, action)
            case PullFromPeer(address):
                tasks.start_soon(self._puller.pull, address)
            case PublishHolders():
                self._inputs.publish(action)

    async def _write(self, action: WriteRecord) -> None:
        await self._records.write(action)
        self._run_actions()
