"""Several agents of one zone in one process."""

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
PARTITIONS = 16
TARGETS = ('b0', 'b1', 'b2', 'b3')
OTHER_ZONE = 'almadies'
OTHER_TARGETS = ('c0', 'c1')
FIRST_PORT = 9000
READY_TIMEOUT = 10.0
RECOVERY_TIMEOUT = 8.0
HANDOVER_TIMEOUT = 0.8
POLL_INTERVAL = 0.02

pytestmark = pytest.mark.anyio


@attrs.define(eq=False)
class IdleWorkload:
    """Requests of an entry VM that runs none."""

    builder: ViewBuilder
    vm: str
    zone: str

    @property
    def settled_version(self) -> int:
        """Settle at once at what is known."""
        record = self.builder.zone_record(self.zone)
        return 0 if record is None else record.version

    async def on_view(self, _view: RoutingView) -> None:
        """Take in a view."""

    def on_rights_changed(self) -> None:
        """Take in that rights changed."""

    def has_released(self, _target: str) -> bool:
        """Release at once."""
        return True

    def load_report(self, _now: float) -> LoadReport:
        """Report no load."""
        return LoadReport(self.vm)


@attrs.define(eq=False)
class Process:
    """One running agent."""

    agent: ZoneAgent
    member: Member
    builder: ViewBuilder
    scope: anyio.CancelScope


class AgentZone:
    """Agents of one zone over a shared platform and network."""

    def __init__(self, tasks: TaskGroup) -> None:
        self.tasks = tasks
        self.platform = MemoryPlatform()
        self.network = MemoryNetwork()
        self.vm_list = MemoryVmList()
        self.processes: dict[str, Process] = {}
        self._started = 0

    async def prepare(self, *, two_zones: bool = False) -> None:
        """Put a configuration in force."""
        placed = [(ZONE, TARGETS), (OTHER_ZONE, OTHER_TARGETS)]
        address = Address('127.0.0.1', 1)
        targets = tuple(
            Target(name, zone, address, 4, 50)
            for zone, names in placed[: 1 + two_zones]
            for name in names
        )
        kind = RequestKind('check', ('GET',), True, 1.0)
        service = Service('balance', PARTITIONS, targets, (kind,))
        configuration = Configuration(1, (Zone(ZONE),), (service,))
        await self.platform.swap(
            (), (Put(CURRENT_KEY, dump_document(configuration)),)
        )

    def start(self, vm: str, zone: str = ZONE) -> None:
        """Start a process on a VM."""
        self._started += 1
        port = FIRST_PORT + int(vm.removeprefix('vm'))
        address = Address('127.0.0.1', port)
        member = Member(vm, f'{self._started:04d}', address)
        listed = {one.name: one for one in self.vm_list.listing.vms}
        listed[vm] = Vm(vm, zone, VmRole.ENTRY, address)
        self.vm_list.listing = VmListing(tuple(listed.values()))
        self._run(member, zone)

    def kill(self, vm: str) -> None:
        """End a process without warning."""
        process = self.processes[vm]
        self.network.handlers.pop(process.member.address, None)
        process.scope.cancel()

    def record(self, zone: str = ZONE) -> ZoneRecord:
        """Read a zone's record."""
        stored = self.platform.values[zone_key(zone)]
        return load_document(stored.value, ZoneRecord)

    def holders(self) -> dict[str, list[str]]:
        """Tell who may dispatch to each target."""
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
        """Tell whether every target has a holder."""
        if zone_key(ZONE) not in self.platform.values:
            return False
        tables = self.record().tables
        if 'balance' not in tables:
            return False
        assigned = len(tables['balance'].assignments) == PARTITIONS
        return assigned and all(self.holders().values())

    def coordinators(self) -> list[str]:
        """Tell who has the coordinator's role."""
        return [
            vm
            for vm, process in self.processes.items()
            if process.agent.is_coordinator and not process.scope.cancel_called
        ]

    def listed(self) -> set[str]:
        """Tell which incarnations are listed."""
        return {member.incarnation for member in self.record().members}

    def _run(self, member: Member, zone: str) -> None:
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
        process = Process(agent, member, builder, scope)
        self.processes[member.vm] = process
        self.network.handlers[member.address] = handlers
        self.tasks.start_soon(self._run_agent, agent, scope)

    async def watch_gaps(self, gaps: dict[str, float]) -> None:
        """Note for how long each target had no holder at worst."""
        served = dict.fromkeys(TARGETS, SystemClock().monotonic())
        while True:
            now = SystemClock().monotonic()
            for target, holders in self.holders().items():
                if holders:
                    served[target] = now
                longest = max(gaps.get(target, 0), now - served[target])
                gaps[target] = longest
            await anyio.sleep(POLL_INTERVAL)

    async def _run_agent(
        self, agent: ZoneAgent, scope: anyio.CancelScope
    ) -> None:
        with scope:
            await agent.run()


async def await_true(
    condition: Callable[[], bool], timeout: float = READY_TIMEOUT
) -> None:
    """Wait until a condition holds."""
    tries = int(timeout / POLL_INTERVAL)
    for _ in range(tries):
        if condition():
            return
        await anyio.sleep(POLL_INTERVAL)
    raise AssertionError('the condition did not hold in time')


async def start_zone(tasks: TaskGroup, size: int) -> AgentZone:
    """Start a zone and wait until it serves with all its members."""
    zone = AgentZone(tasks)
    await zone.prepare()
    for number in range(size):
        zone.start(f'vm{number}')
    await await_true(zone.all_served)
    await await_true(lambda: len(zone.listed()) == size)
    return zone


async def test_members_share_the_targets() -> None:
    """Processes that start together form one zone and share its targets."""
    async with anyio.create_task_group() as tasks:
        zone = await start_zone(tasks, 3)
        assert len(zone.coordinators()) == 1
        await await_true(
            lambda: len({str(one) for one in zone.holders().values()}) == 3
        )
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize('platform_down', [False, True])
async def test_loss_of_coordinator(platform_down: bool) -> None:
    """Another member takes over, also without the platform."""
    async with anyio.create_task_group() as tasks:
        zone = await start_zone(tasks, 3)
        zone.platform.is_down = platform_down
        lost = zone.coordinators()[0]
        zone.kill(lost)
        await await_true(zone.all_served, RECOVERY_TIMEOUT)
        assert lost not in zone.coordinators()
        tasks.cancel_scope.cancel()


async def test_planned_leave_keeps_serving() -> None:
    """A coordinator that leaves hands over and is taken off the list."""
    async with anyio.create_task_group() as tasks:
        zone = await start_zone(tasks, 3)
        leaving = zone.coordinators()[0]
        incarnation = zone.processes[leaving].member.incarnation
        await zone.processes[leaving].agent.leave()
        zone.kill(leaving)
        await await_true(zone.all_served, HANDOVER_TIMEOUT)
        await await_true(lambda: incarnation not in zone.listed())
        tasks.cancel_scope.cancel()


async def test_rolling_restart() -> None:
    """Every process is replaced; handovers only make requests wait."""
    gaps: dict[str, float] = {}
    async with anyio.create_task_group() as tasks:
        zone = await start_zone(tasks, 3)
        before = zone.listed()
        tasks.start_soon(zone.watch_gaps, gaps)
        for vm in list(zone.processes):
            await zone.processes[vm].agent.leave()
            zone.kill(vm)
            zone.start(vm)
            incarnation = zone.processes[vm].member.incarnation
            is_listed = functools.partial(_is_listed, zone, incarnation)
            await await_true(is_listed)
        await await_true(lambda: not before & zone.listed())
        tasks.cancel_scope.cancel()
    assert max(gaps.values()) < HANDOVER_TIMEOUT


async def test_all_processes_lost_at_once() -> None:
    """New processes on the same VMs form the zone anew."""
    async with anyio.create_task_group() as tasks:
        zone = await start_zone(tasks, 2)
        fences = zone.record().tables
        for vm in list(zone.processes):
            zone.kill(vm)
        for vm in list(zone.processes):
            zone.start(vm)
        await await_true(zone.all_served)
        assert zone.record().tables == fences
        tasks.cancel_scope.cancel()


async def test_declared_loss_of_a_zone() -> None:
    """The partitions of a zone declared lost are owned elsewhere."""
    async with anyio.create_task_group() as tasks:
        zone = AgentZone(tasks)
        await zone.prepare(two_zones=True)
        zone.start('vm0')
        zone.start('vm1', OTHER_ZONE)
        await await_true(lambda: _assigned(zone, ZONE, OTHER_ZONE))
        before = zone.record(OTHER_ZONE)
        zone.kill('vm1')
        order = LossDeclaration(OTHER_ZONE, 'operator', 'change')
        await zone.platform.swap(
            (), (Put(loss_key(OTHER_ZONE), dump_document(order)),)
        )
        await await_true(zone.all_served)
        closed = zone.record(OTHER_ZONE)
        assert closed.lost
        assert closed.term > before.term
        taken = zone.record().tables['balance'].assignments
        for partition in before.tables['balance'].assignments:
            assert taken[partition].fence > closed.version
        tasks.cancel_scope.cancel()


async def test_lost_answers_leave_one_audit_entry_a_change() -> None:
    """Writes whose answers are lost take effect once."""
    async with anyio.create_task_group() as tasks:
        zone = await start_zone(tasks, 1)
        zone.platform.faults.extend(
            [SwapFault.LOST_AFTER, SwapFault.LOST_AFTER]
        )
        zone.start('vm1')
        await await_true(lambda: len(zone.listed()) == 2)
        written = [
            change.key
            for change in zone.platform.changes
            if change.key.startswith(AUDIT_PREFIX)
        ]
        assert len(written) == len(set(written))
        tasks.cancel_scope.cancel()


def _is_listed(zone: AgentZone, incarnation: str) -> bool:
    return incarnation in zone.listed()


def _assigned(zone: AgentZone, *names: str) -> bool:
    keys = {zone_key(name) for name in names}
    if not keys <= zone.platform.values.keys():
        return False
    tables = [zone.record(name).tables.get('balance') for name in names]
    count = sum(len(table.assignments) for table in tables if table)
    return count == PARTITIONS
