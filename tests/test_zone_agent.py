"""Zone agents that run in one process, over an in-memory network."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, cast

import anyio
import attrs
import pytest

from dogwoodmast._documents import dump_document, load_document
from dogwoodmast.address import Address
from dogwoodmast.audit import AUDIT_PREFIX
from dogwoodmast.backend import Grant
from dogwoodmast.clock import SystemClock
from dogwoodmast.configuration import (
    Configuration,
    RequestKind,
    Service,
    Target,
    Zone,
)
from dogwoodmast.configuration_store import CURRENT_KEY
from dogwoodmast.dispatch_right import Right
from dogwoodmast.document_exchange import DocumentExchange
from dogwoodmast.document_store import DocumentStore
from dogwoodmast.initial_placement import InitialPlanner
from dogwoodmast.key_value import Platform, Put
from dogwoodmast.load_report import LoadReport
from dogwoodmast.message_handlers import MessageHandlers
from dogwoodmast.operator_order import LossDeclaration, loss_key
from dogwoodmast.ownership import Member, ZoneRecord, zone_key
from dogwoodmast.platform_reader import PlatformReader
from dogwoodmast.view_builder import ViewBuilder
from dogwoodmast.vm_list import Vm, VmListing, VmRole
from dogwoodmast.zone_agent import ZoneAgent
from dogwoodmast.zone_member import ZoneMember
from dogwoodmast.zone_services import ZoneServices
from memory_network import MemoryLinks, MemoryNetwork, MemoryVmList
from memory_platform import MemoryPlatform, SwapFault

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from dogwoodmast.link_pool import LinkPool
    from dogwoodmast.routing import RoutingView

ZONE = 'pikine'
"""Name of the tested zone."""
PARTITIONS = 16
"""Number of partitions of the service."""
TARGETS = ('b0', 'b1', 'b2', 'b3')
"""Targets of the tested zone."""
OTHER_ZONE = 'almadies'
"""Name of the second zone, for tests with two zones."""
OTHER_TARGETS = ('c0', 'c1')
"""Targets of the second zone."""
FIRST_PORT = 9000
"""Port in the address of ``vm0``; other VMs have the following ones.  No
socket is opened."""
READY_TIMEOUT = 10.0
"""Time limit for a condition to hold, unless a test sets one, in seconds."""
RECOVERY_TIMEOUT = 8.0
"""Time limit for service after the loss of a coordinator, in seconds."""
HANDOVER_TIMEOUT = 0.8
"""Time limit for service after a planned leave, in seconds."""
POLL_INTERVAL = 0.02
"""Interval between two checks of a condition, in seconds."""

pytestmark = pytest.mark.anyio


@attrs.define(eq=False)
class IdleWorkload:
    """Workload of an entry VM without requests."""

    builder: ViewBuilder
    vm: str
    zone: str

    @property
    def settled_version(self) -> int:
        """Version of the latest known record, since no request is running."""
        record = self.builder.zone_record(self.zone)
        return 0 if record is None else record.version

    async def on_view(self, _view: RoutingView) -> None:
        """Ignore a new routing view."""

    def on_rights_changed(self) -> None:
        """Ignore a change of the dispatch rights."""

    def has_released(self, _target: str) -> bool:
        """Report every target as released."""
        return True

    def load_report(self, _now: float) -> LoadReport:
        """Return a report without load."""
        return LoadReport(self.vm)


@attrs.define(eq=False)
class AgentProcess:
    """Agent of one simulated entry VM process."""

    agent: ZoneAgent
    member: Member
    builder: ViewBuilder
    scope: anyio.CancelScope
    """Scope whose cancellation ends the process."""


class AgentZone:
    """Agents that share a platform, a network and a VM list.

    :param tasks: Task group in which the agents run.
    """

    def __init__(self, tasks: TaskGroup) -> None:
        self.tasks = tasks
        self.platform = MemoryPlatform()
        self.network = MemoryNetwork()
        self.vm_list = MemoryVmList()
        self.processes: dict[str, AgentProcess] = {}
        self._started = 0

    async def prepare(self, *, two_zones: bool = False) -> None:
        """Store the configuration in the platform.

        :param two_zones: Whether targets of the second zone are configured
            too.
        """
        zone_targets = [(ZONE, TARGETS), (OTHER_ZONE, OTHER_TARGETS)]
        address = Address('127.0.0.1', 1)
        targets = tuple(
            Target(name, zone, address, 4, 50)
            for zone, names in zone_targets[: 1 + two_zones]
            for name in names
        )
        kind = RequestKind('check', ('GET',), True, 1.0)
        service = Service('balance', PARTITIONS, targets, (kind,))
        configuration = Configuration(1, (Zone(ZONE),), (service,))
        await self.platform.swap(
            (), (Put(CURRENT_KEY, dump_document(configuration)),)
        )

    def start(self, vm: str, zone: str = ZONE) -> None:
        """Start a new incarnation on a VM and add the VM to the VM list."""
        self._started += 1
        port = FIRST_PORT + int(vm.removeprefix('vm'))
        address = Address('127.0.0.1', port)
        member = Member(vm, f'{self._started:04d}', address)
        listed_vms = {one.name: one for one in self.vm_list.listing.vms}
        listed_vms[vm] = Vm(vm, zone, VmRole.ENTRY, address)
        self.vm_list.listing = VmListing(tuple(listed_vms.values()))
        self._start_agent(member, zone)

    def kill(self, vm: str) -> None:
        """End a process without a leave; its VM stays in the VM list."""
        process = self.processes[vm]
        self.network.handlers.pop(process.member.address, None)
        process.scope.cancel()

    def record(self, zone: str = ZONE) -> ZoneRecord:
        """Read the record of a zone from the platform."""
        stored = self.platform.values[zone_key(zone)]
        return load_document(stored.value, ZoneRecord)

    def holders(self) -> dict[str, list[str]]:
        """Find the VMs that may dispatch to each target, at most one.

        :return: Names of the VMs by target.
        """
        now = SystemClock().monotonic()
        found: dict[str, list[str]] = {}
        table = self.record().tables['balance']
        for partition, assignment in table.assignments.items():
            grant = Grant(f'balance/{partition}', assignment.fence)
            holders = [
                vm
                for vm, process in self.processes.items()
                if not process.scope.cancel_called
                and process.agent.rights.right(assignment.target, grant, now)
                is Right.GRANTED
            ]
            assert len(holders) <= 1
            found[assignment.target] = holders
        return found

    def all_served(self) -> bool:
        """Tell whether all partitions are assigned to targets with holders."""
        if zone_key(ZONE) not in self.platform.values:
            return False
        tables = self.record().tables
        if 'balance' not in tables:
            return False
        assigned = len(tables['balance'].assignments) == PARTITIONS
        return assigned and all(self.holders().values())

    def coordinators(self) -> list[str]:
        """List the VMs whose processes have the coordinator's role."""
        return [
            vm
            for vm, process in self.processes.items()
            if process.agent.is_coordinator and not process.scope.cancel_called
        ]

    def listed_incarnations(self) -> set[str]:
        """Return the incarnations in the member list of the zone."""
        return {member.incarnation for member in self.record().members}

    def _start_agent(self, member: Member, zone: str) -> None:
        handlers = MessageHandlers()
        platform = cast('Platform', self.platform)
        links = cast('LinkPool', MemoryLinks(self.network, member.address))
        exchange = DocumentExchange(DocumentStore(), links)
        exchange.register(handlers)
        builder = ViewBuilder(exchange.store)
        services = ZoneServices(
            me=member,
            zone=zone,
            clock=SystemClock(),
            exchange=exchange,
            builder=builder,
            links=links,
            platform=platform,
            reader=PlatformReader(platform, exchange),
            vm_list=self.vm_list,
            member=ZoneMember(),
            workload=IdleWorkload(builder, member.vm, zone),
            planner=InitialPlanner(),
        )
        agent = ZoneAgent(services, handlers)
        scope = anyio.CancelScope()
        process = AgentProcess(agent, member, builder, scope)
        self.processes[member.vm] = process
        self.network.handlers[member.address] = handlers
        self.tasks.start_soon(self._run_agent, agent, scope)

    async def measure_gaps(self, gaps: dict[str, float]) -> None:
        """Measure the longest time for which each target had no holder.

        Runs until cancelled.

        :param gaps: Longest time by target, in seconds; updated in place.
        """
        last_served_at = dict.fromkeys(TARGETS, SystemClock().monotonic())
        while True:
            now = SystemClock().monotonic()
            for target, holders in self.holders().items():
                if holders:
                    last_served_at[target] = now
                longest_gap = max(
                    gaps.get(target, 0), now - last_served_at[target]
                )
                gaps[target] = longest_gap
            await anyio.sleep(POLL_INTERVAL)

    async def _run_agent(
        self, agent: ZoneAgent, scope: anyio.CancelScope
    ) -> None:
        with scope:
            await agent.run()


async def wait_until(
    condition: Callable[[], bool], timeout: float = READY_TIMEOUT
) -> None:
    """Poll a condition until it holds.

    :param condition: Condition to wait for.
    :param timeout: Time limit, in seconds.
    :raises AssertionError: If the condition does not hold in time.
    """
    attempts = int(timeout / POLL_INTERVAL)
    for _ in range(attempts):
        if condition():
            return
        await anyio.sleep(POLL_INTERVAL)
    raise AssertionError('the condition did not hold in time')


async def start_zone(tasks: TaskGroup, size: int) -> AgentZone:
    """Start a zone and wait until all targets have holders.

    :param tasks: Task group in which the agents run.
    :param size: Number of entry VMs; all of them are members on return.
    :return: Running zone.
    """
    zone = AgentZone(tasks)
    await zone.prepare()
    for number in range(size):
        zone.start(f'vm{number}')
    await wait_until(zone.all_served)
    await wait_until(lambda: len(zone.listed_incarnations()) == size)
    return zone


async def test_members_share_the_targets() -> None:
    """Processes that start together form one zone and share its targets.

    Guards against several coordinators after a simultaneous start, and
    against a coordinator that leases all targets to few members.
    """
    async with anyio.create_task_group() as tasks:
        zone = await start_zone(tasks, 3)
        assert len(zone.coordinators()) == 1
        await wait_until(
            lambda: len({str(one) for one in zone.holders().values()}) == 3
        )
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize('platform_down', [False, True])
async def test_loss_of_coordinator(platform_down: bool) -> None:
    """Another member takes over from a lost coordinator.

    Guards against targets that stay without a holder after a crash, also
    while the platform is down and no new term can be written.
    """
    async with anyio.create_task_group() as tasks:
        zone = await start_zone(tasks, 3)
        zone.platform.is_down = platform_down
        lost = zone.coordinators()[0]
        zone.kill(lost)
        await wait_until(zone.all_served, RECOVERY_TIMEOUT)
        assert lost not in zone.coordinators()
        tasks.cancel_scope.cancel()


async def test_planned_leave_hands_over() -> None:
    """A coordinator that leaves hands over its role and its leases.

    Guards against a planned leave after which targets are unserved until
    leases expire, and against a member that is never removed from the
    member list.
    """
    async with anyio.create_task_group() as tasks:
        zone = await start_zone(tasks, 3)
        leaving = zone.coordinators()[0]
        incarnation = zone.processes[leaving].member.incarnation
        await zone.processes[leaving].agent.leave()
        zone.kill(leaving)
        await wait_until(zone.all_served, HANDOVER_TIMEOUT)
        await wait_until(lambda: incarnation not in zone.listed_incarnations())
        tasks.cancel_scope.cancel()


async def test_rolling_restart() -> None:
    """Targets have a holder throughout a rolling restart.

    Guards against a handover that leaves a target without a holder for
    longer than :data:`HANDOVER_TIMEOUT`, which happens when a lease has to
    expire instead of being released, and against members that are not
    replaced.
    """
    gaps: dict[str, float] = {}
    async with anyio.create_task_group() as tasks:
        zone = await start_zone(tasks, 3)
        before = zone.listed_incarnations()
        tasks.start_soon(zone.measure_gaps, gaps)
        for vm in list(zone.processes):
            await zone.processes[vm].agent.leave()
            zone.kill(vm)
            zone.start(vm)
            incarnation = zone.processes[vm].member.incarnation
            is_listed = functools.partial(_is_listed, zone, incarnation)
            await wait_until(is_listed)
        await wait_until(lambda: not before & zone.listed_incarnations())
        tasks.cancel_scope.cancel()
    assert max(gaps.values()) < HANDOVER_TIMEOUT


async def test_zone_recovers_from_loss_of_all_processes() -> None:
    """New processes on the same VMs recover the zone.

    Guards against a zone that cannot elect a coordinator because all listed
    members have terminated, and against assignments that change when the
    member list is recovered.
    """
    async with anyio.create_task_group() as tasks:
        zone = await start_zone(tasks, 2)
        tables = zone.record().tables
        for vm in list(zone.processes):
            zone.kill(vm)
        for vm in list(zone.processes):
            zone.start(vm)
        await wait_until(zone.all_served)
        assert zone.record().tables == tables
        tasks.cancel_scope.cancel()


async def test_declared_loss_of_a_zone() -> None:
    """The partitions of a zone that is declared lost move to another zone.

    Guards against partitions that stay unowned, and against two owners: the
    record of the lost zone is closed under a new term, and the new fences
    must be above all of its fences.
    """
    async with anyio.create_task_group() as tasks:
        zone = AgentZone(tasks)
        await zone.prepare(two_zones=True)
        zone.start('vm0')
        zone.start('vm1', OTHER_ZONE)
        await wait_until(lambda: _is_fully_assigned(zone, ZONE, OTHER_ZONE))
        before = zone.record(OTHER_ZONE)
        zone.kill('vm1')
        order = LossDeclaration(OTHER_ZONE, 'operator', 'change')
        await zone.platform.swap(
            (), (Put(loss_key(OTHER_ZONE), dump_document(order)),)
        )
        await wait_until(zone.all_served)
        closed_record = zone.record(OTHER_ZONE)
        assert closed_record.lost
        assert closed_record.term > before.term
        reassigned = zone.record().tables['balance'].assignments
        for partition in before.tables['balance'].assignments:
            assert reassigned[partition].fence > closed_record.version
        tasks.cancel_scope.cancel()


async def test_lost_answers_leave_one_audit_entry_per_change() -> None:
    """Writes whose answers are lost take effect once.

    Guards against a repeated write that leaves a second audit entry for the
    same change.
    """
    async with anyio.create_task_group() as tasks:
        zone = await start_zone(tasks, 1)
        zone.platform.faults.extend(
            [SwapFault.LOST_AFTER, SwapFault.LOST_AFTER]
        )
        zone.start('vm1')
        await wait_until(lambda: len(zone.listed_incarnations()) == 2)
        audit_keys = [
            change.key
            for change in zone.platform.changes
            if change.key.startswith(AUDIT_PREFIX)
        ]
        assert len(audit_keys) == len(set(audit_keys))
        tasks.cancel_scope.cancel()


def _is_listed(zone: AgentZone, incarnation: str) -> bool:
    return incarnation in zone.listed_incarnations()


def _is_fully_assigned(zone: AgentZone, *names: str) -> bool:
    keys = {zone_key(name) for name in names}
    if not keys <= zone.platform.values.keys():
        return False
    tables = [zone.record(name).tables.get('balance') for name in names]
    count = sum(len(table.assignments) for table in tables if table)
    return count == PARTITIONS
