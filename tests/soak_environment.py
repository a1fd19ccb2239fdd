"""Entry VMs as processes, among a store and targets that misbehave."""

from __future__ import annotations

import os
import pathlib
import signal
import sys
import time
from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING, Any

import anyio
import attrs
from anyio.abc import Process

from direct_fleet import configuration, route
from dogwoodmast.address import Address
from faulty_path import FaultyPath, PathState
from fleet import free_addresses
from history import Call, CallOutcome, Violation, check_history, check_versions
from metadata_store import StoreContent, StoreFault, StoreServer, serving
from soak_callers import PATIENCE, SoakCallers
from soak_plan import (
    FREE_TARGETS,
    HOLDERS,
    VMS,
    OnConfiguration,
    OnPath,
    OnStore,
    OnTarget,
    OnVm,
    Step,
    TargetTrouble,
    VmTrouble,
)
from soak_target import DRAIN_TIME, Ledger, SoakTarget

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from anyio.abc import TaskGroup


CALLERS = 6
ADDRESSES = 2 * (HOLDERS + FREE_TARGETS) + 5 * VMS
"""Listeners of targets, their paths, VMs and servers of the store."""
RECOVERY = 15.0
"""Time in which everything is served again after the last trouble, in
seconds; the bound of the platform."""
LATENESS = 1.5
"""Time after its deadline by which a request is answered, in seconds: the
half second that the contract allows, and one for a busy machine."""
DRAIN_SLACK = 0.5
"""Allowance on the time of the last request to a leaving target, in seconds."""
ENTRY_LAG = 1.0
"""Time after a crash at which the target's entry is removed, in seconds."""
LAST_LINES = 20
"""Lines of the log that are shown of a process that ended by itself."""
SETTINGS = """
[vm]
name = "{name}"
zone = "{zone}"
[listen]
callers = "{callers}"
readiness = "{readiness}"
links = "{links}"
metrics = "{metrics}"
[store]
address = "{store}"
"""


@attrs.define(eq=False)
class SoakVm:
    """Process of one entry VM."""

    name: str
    settings: pathlib.Path
    callers: Address
    store: StoreServer
    process: Process | None = None

    async def start(self) -> None:
        """Start the next life."""
        with self.settings.with_suffix('.log').open('ab') as log:
            self.process = await anyio.open_process(
                [sys.executable, '-m', 'dogwoodmast.direct', self.settings],
                stdout=log,
                stderr=log,
                env=dict(os.environ),
            )

    async def end(self, number: signal.Signals) -> None:
        """End the current life by a signal."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(number)
        with anyio.CancelScope(shield=True):
            await self.process.wait()

    def check_running(self) -> list[Violation]:
        """Find out whether the process ended by itself."""
        if self.process is None or self.process.returncode is None:
            return []
        lines = self.settings.with_suffix('.log').read_text().splitlines()
        status = self.process.returncode
        detail = f'{self.name} ended with {status}: {lines[-LAST_LINES:]}'
        return [Violation('runs on', detail)]


@attrs.define(eq=False)
class SoakWorld:
    """Everything that a soak needs."""

    folder: pathlib.Path
    content: StoreContent = attrs.field(factory=StoreContent)
    ledger: Ledger = attrs.field(factory=Ledger)
    vms: list[SoakVm] = attrs.field(factory=list)
    paths: list[FaultyPath] = attrs.field(factory=list)
    version: int = 1
    addresses: list[Address] = attrs.field(
        factory=lambda: free_addresses(ADDRESSES)
    )
    """Addresses that nothing listens on yet."""
    troubled: set[object] = attrs.field(factory=set)
    """Subjects that a trouble is under way for."""

    @property
    def callers(self) -> dict[str, Address]:
        """Addresses for callers by VM."""
        return {vm.name: vm.callers for vm in self.vms}

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run stand-ins and VMs until the block ends."""
        self._add_targets()
        self._add_vms()
        self.configure()
        async with AsyncExitStack() as stack:
            apps: list[tuple[Any, Any]] = []
            for target, path in zip(
                self.ledger.targets, self.paths, strict=True
            ):
                apps.append((target, path.forward))
                await stack.enter_async_context(path.serving())
                self.list_target(target)
            apps.extend((vm.store, vm.store.address) for vm in self.vms)
            await stack.enter_async_context(serving(*apps))
            for vm in self.vms:
                await vm.start()
                stack.push_async_callback(vm.end, signal.SIGKILL)
            yield

    def configure(self) -> None:
        """Write the configuration of the current version."""
        document = configuration(self.version)
        document['routes'].append(
            route(f'v{self.version}', 'idempotent', 'paiement')
        )
        self.content.put_document('op/config', document)

    def list_target(self, target: SoakTarget, state: str = 'ready') -> None:
        """Write a target's entry."""
        place = self.ledger.targets.index(target)
        document = {
            'service': 'solde' if target.sharded else 'paiement',
            'address': str(self.paths[place].listen),
            'zone': 'ab'[place % 2],
            'version': 'v1',
            'slots': 4,
            'state': state,
            'warmup_left_s': 0,
            'sequence': 1,
            'born': target.born,
        }
        self.content.put_document(f'servers/{target.name}', document)

    def check_running(self) -> list[Violation]:
        """Find processes that ended by themselves."""
        return [found for vm in self.vms for found in vm.check_running()]

    async def suffer(self, step: Step, callers: SoakCallers) -> None:
        """Bring a trouble about, and end it."""
        await anyio.sleep(step.at)
        subject = _subject(step)
        if subject in self.troubled:
            return
        self.troubled.add(subject)
        match step.trouble:
            case OnVm(number, what):
                await self._trouble_vm(self.vms[number], what, step.lasting)
            case OnTarget(number, what):
                target = self.ledger.targets[number]
                await self._trouble_target(target, what, step.lasting)
            case OnPath(number, state):
                self.paths[number].turn(state)
                await anyio.sleep(step.lasting)
                self.paths[number].turn(PathState.OPEN)
            case OnStore(number, fault):
                vms = self.vms if number is None else [self.vms[number]]
                await _trouble_stores(vms, fault, step.lasting)
            case OnConfiguration():
                self.version += 1
                self.configure()
                callers.newest = self.version
        self.troubled.discard(subject)

    async def _trouble_vm(
        self, vm: SoakVm, what: VmTrouble, lasting: float
    ) -> None:
        assert vm.process is not None
        match what:
            case VmTrouble.KILL:
                await vm.end(signal.SIGKILL)
                await anyio.sleep(lasting)
                await vm.start()
            case VmTrouble.STOP:
                await vm.end(signal.SIGTERM)
                await vm.start()
            case VmTrouble.FREEZE:
                vm.process.send_signal(signal.SIGSTOP)
                await anyio.sleep(lasting)
                vm.process.send_signal(signal.SIGCONT)
            case VmTrouble.RELOAD:
                vm.process.send_signal(signal.SIGHUP)

    async def _trouble_target(
        self, target: SoakTarget, what: TargetTrouble, lasting: float
    ) -> None:
        path = self.paths[self.ledger.targets.index(target)]
        key = f'servers/{target.name}'
        match what:
            case TargetTrouble.CRASH:
                target.end()
                path.set_down(is_down=True)
                await anyio.sleep(min(ENTRY_LAG, lasting))
                self.content.write([], [key])
                await anyio.sleep(max(lasting - ENTRY_LAG, 0))
            case TargetTrouble.DRAIN | TargetTrouble.VANISH:
                if what is TargetTrouble.DRAIN:
                    self.list_target(target, 'draining')
                else:
                    self.content.write([], [key])
                target.left_at = time.monotonic() + DRAIN_SLACK
                await anyio.sleep(DRAIN_TIME + lasting)
                target.end()
                path.set_down(is_down=True)
                self.content.write([], [key])
        target.begin()
        path.set_down(is_down=False)
        self.list_target(target)

    def _add_targets(self) -> None:
        for number in range(HOLDERS + FREE_TARGETS):
            target = SoakTarget(f's{number}', number < HOLDERS, self.ledger)
            self.ledger.targets.append(target)
            self.paths.append(
                FaultyPath(self.addresses.pop(), self.addresses.pop())
            )

    def _add_vms(self) -> None:
        for number in range(VMS):
            name = f'vm{number}'
            path = self.folder / f'{name}.toml'
            callers, store = self.addresses.pop(), self.addresses.pop()
            path.write_text(
                SETTINGS.format(
                    name=name,
                    zone='ab'[number % 2],
                    callers=callers,
                    readiness=self.addresses.pop(),
                    links=self.addresses.pop(),
                    metrics=self.addresses.pop(),
                    store=store,
                )
            )
            server = StoreServer(self.content, address=store)
            self.vms.append(SoakVm(name, path, callers, server))


async def play(plan: Sequence[Step], folder: pathlib.Path) -> list[Violation]:
    """Play a plan and find the promises that it broke."""
    world = SoakWorld(folder)
    async with world.running():
        callers = SoakCallers(world.callers)
        found = await _await_served(callers, 'first service')
        found += world.check_running()
        if found:
            return found
        async with anyio.create_task_group() as tasks:
            _start_callers(tasks, callers)
            async with anyio.create_task_group() as troubles:
                for step in plan:
                    troubles.start_soon(world.suffer, step, callers)
            found = await _await_served(callers, 'recovery')
            found += world.check_running()
            tasks.cancel_scope.cancel()
    return [
        *found,
        *world.ledger.violations,
        *check_history(callers.calls, world.ledger.runs),
        *check_versions(callers.observed_versions),
        *check_in_time(plan, callers.calls),
        *check_stops(plan, callers.calls, world.ledger),
        *check_drains(plan, world.ledger),
    ]


def check_in_time(
    plan: Sequence[Step], calls: Sequence[Call]
) -> list[Violation]:
    """No VM that runs holds a request past its deadline."""
    frozen = _vms_with(plan, {VmTrouble.FREEZE})
    return [
        Violation('in time', repr(call))
        for call in calls
        if call.entry not in frozen
        and call.ended - call.began > PATIENCE + LATENESS
    ]


def check_stops(
    plan: Sequence[Step], calls: Sequence[Call], ledger: Ledger
) -> list[Violation]:
    """Planned stops and reloads cut off no request that was passed on.

    Where targets and ways to them are sound, an answer of the VM's own in
    place of the target's is a cut too.
    """
    harmed = _vms_with(plan, {VmTrouble.KILL, VmTrouble.FREEZE})
    ran = {run.request_id for run in ledger.runs}
    cuts = {CallOutcome.LOST}
    if not any(isinstance(one.trouble, OnTarget | OnPath) for one in plan):
        cuts.add(CallOutcome.MAY_HAVE_RUN)
    return [
        Violation('nothing cut off', repr(call))
        for call in calls
        if call.outcome in cuts
        and call.entry not in harmed
        and call.request_id in ran
    ]


def check_drains(plan: Sequence[Step], ledger: Ledger) -> list[Violation]:
    """A target that left gets nothing late where nothing else is troubled."""
    out_of_touch = OnStore | OnPath | OnVm
    if any(isinstance(step.trouble, out_of_touch) for step in plan):
        return []
    return list(ledger.late)


def _vms_with(plan: Sequence[Step], kinds: set[VmTrouble]) -> set[str]:
    return {
        f'vm{step.trouble.vm}'
        for step in plan
        if isinstance(step.trouble, OnVm) and step.trouble.what in kinds
    }


def _start_callers(tasks: TaskGroup, callers: SoakCallers) -> None:
    for place in range(CALLERS):
        tasks.start_soon(callers.call_on, place % VMS)
    for vm in callers.vms:
        tasks.start_soon(callers.look_on, vm)


async def _await_served(callers: SoakCallers, what: str) -> list[Violation]:
    """Wait until every VM serves everything, or find that it does not."""
    with anyio.move_on_after(RECOVERY):
        for vm in callers.vms:
            while not await callers.is_served(vm):
                await anyio.sleep(0.1)
        return []
    return [Violation(what, f'not served after {RECOVERY} s')]


async def _trouble_stores(
    vms: Sequence[SoakVm], fault: StoreFault, lasting: float
) -> None:
    for vm in vms:
        vm.store.fault = fault
    await anyio.sleep(lasting)
    for vm in vms:
        vm.store.fault = StoreFault.NONE


def _subject(step: Step) -> object:
    match step.trouble:
        case OnVm(number, _):
            return 'vm', number
        case OnTarget(number, _):
            return 'target', number
        case OnPath(number, _):
            return 'path', number
        case OnStore():
            return 'store'
    return step
