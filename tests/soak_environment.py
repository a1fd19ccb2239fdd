"""Environment of a soak: processes of entry VMs, and stand-ins.

Each VM has a server of the metadata store of its own, and each target is
reached through a proxy, so that faults can be injected one by one.
"""

from __future__ import annotations

import base64
import itertools
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

from answer_fault import AnswerFault
from cut_path import Cut, CutPath
from direct_fleet import make_configuration, make_route
from dogwoodmast.address import Address
from dogwoodmast.direct.directory import COORDINATOR_KEY
from dogwoodmast.events import Event
from faulty_path import FaultyPath, PathState
from fleet import free_addresses
from history import Violation
from metadata_store import StoreContent, StoreFault, serving
from restoring_store import RestoringStore, StoreCopy
from soak_callers import SoakCallers
from soak_checks import WARMUP_OVERRUN, WARMUP_SLACK, check_run
from soak_plan import (
    SHARDED_TARGETS,
    UNSHARDED_TARGETS,
    VM_COUNT,
    AnswerInjection,
    ConfigurationChange,
    CutInjection,
    LeaseInjection,
    OddEntryInjection,
    PathInjection,
    RestoreInjection,
    ScheduledFault,
    SoakTargetFault,
    StoreInjection,
    TargetInjection,
    VmFault,
    VmInjection,
)
from soak_target import (
    DRAIN_TIME,
    WARMUP_RATE,
    Observations,
    SoakTarget,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from anyio.abc import TaskGroup

    from soak_entries import OddEntry


CALLER_COUNT = 2 * VM_COUNT
"""Number of concurrent callers."""
SERVICES = ('solde', 'paiement')
"""Services of the targets."""
RESTARTS = frozenset(
    (
        SoakTargetFault.RESTART,
        SoakTargetFault.RESTART_UNHEARD,
        SoakTargetFault.RESTART_LAPSED,
        SoakTargetFault.REPLACE,
    )
)
"""Faults after which the next incarnation starts at once."""
TARGET_COUNT = SHARDED_TARGETS + UNSHARDED_TARGETS
"""Number of targets."""
ADDRESS_COUNT = 2 * TARGET_COUNT + (6 + TARGET_COUNT) * VM_COUNT
"""Number of addresses of targets, their proxies, the VMs' listeners and the
servers of the store."""
LIMITED_TIME = 6.0
"""Time for which a target names a limit, besides the duration of the fault, in
seconds; long enough for some windows."""
WARMUP_TIME = 12.0
"""Time for which targets of the services are cold, in seconds."""
HEARTBEAT = 0.5
"""Time between two listings of a cold target, in seconds."""
COPY_INTERVAL = 0.2
"""Time between two copies of the store, in seconds."""
MAX_AWAY_TIME = 1.5
"""Longest time for which the store is away before a restore, in seconds; the
platform says a moment."""
RECOVERY_TIMEOUT = 15.0
"""Time after the last fault within which every request must be served again, in
seconds; the platform's bound."""
DRAIN_MARGIN = 0.5
"""Margin added to the time by which a draining target must receive no new
requests, in seconds."""
RESTART_TIME = 0.1
"""Time between the end of a target and the start of its next incarnation, in
seconds."""
ODD_ENTRY_PREFIX = 'servers/odd'
"""Prefix of the keys of odd entries."""
LISTING_EXPIRY_TIME = 1.0
"""Time after a crash at which the target's listing is removed, in seconds."""
INTERPRETER_TIME = 3.0
"""Time after the start of a process in which SIGHUP may end it, since the
interpreter is still loading, in seconds."""
LOG_TAIL_LINES = 20
"""Number of log lines shown for a process that exited by itself."""
SETTINGS = """
[vm]
name = "{name}"
zone = "{zone}"
[listen]
callers = "{callers}"
readiness = "{readiness}"
links = "{links}"
metrics = "{metrics}"
relay = "{relay}"
[store]
address = "{store}"
[bounds]
warmup_overrun = {overrun}
warmup_slack = {slack}
"""
"""Settings file of an entry VM."""


@attrs.define(eq=False)
class SoakVm:
    """Process of one entry VM."""

    name: str
    """Name of the VM."""
    settings: pathlib.Path
    """Settings file; the log is written next to it."""
    callers: Address
    """Address for callers."""
    store: RestoringStore
    """Server of the store that only this VM uses."""
    cuts: list[CutPath] = attrs.field(factory=list)
    """Paths from this VM to all targets."""
    process: Process | None = None
    """Current process, or ``None`` before the first start."""
    started_at: float = 0
    """Monotonic time in seconds of its latest start."""
    log_offset: int = 0
    """Size of the log in bytes at the latest start."""
    unclean_stops: list[Violation] = attrs.field(factory=list)
    """Stops that were not clean, see :func:`is_clean_stop`."""

    async def start(self) -> None:
        """Start a new process."""
        with self.settings.with_suffix('.log').open('ab') as log:
            self.log_offset = log.tell()
            self.process = await anyio.open_process(
                [sys.executable, '-m', 'dogwoodmast.direct', self.settings],
                stdout=log,
                stderr=log,
                env=dict(os.environ),
            )
        self.started_at = time.monotonic()

    async def stop(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process and wait until it has exited.

        :param signal_number: Signal to send.
        """
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal_number)
        with anyio.CancelScope(shield=True):
            status = await self.process.wait()
        if signal_number is signal.SIGKILL:
            return
        log = self.settings.with_suffix('.log').read_bytes()
        if not is_clean_stop(status, log[self.log_offset :]):
            detail = f'{self.name} exited with {status}'
            self.unclean_stops.append(Violation('stops cleanly', detail))

    def reload(self) -> None:
        """Tell the process to reload its settings."""
        assert self.process is not None
        can_handle = time.monotonic() >= self.started_at + INTERPRETER_TIME
        if can_handle and self.process.returncode is None:
            self.process.send_signal(signal.SIGHUP)

    def check_running(self) -> list[Violation]:
        """Check that the process has not exited by itself.

        :return: A violation with the end of the log if it has.
        """
        if self.process is None or self.process.returncode is None:
            return list(self.unclean_stops)
        lines = self.settings.with_suffix('.log').read_text().splitlines()
        status = self.process.returncode
        detail = f'{self.name} exited with {status}: {lines[-LOG_TAIL_LINES:]}'
        return [*self.unclean_stops, Violation('keeps running', detail)]


def is_clean_stop(status: int, log: bytes) -> bool:
    """Check the exit status of a process that was told to stop by SIGTERM.

    The signal may end a process whose interpreter is still loading, before any
    handler can be installed: it has neither accepted a connection nor
    registered itself.  It may not end one that has started.

    :param status: Exit status, negative if a signal ended the process.
    :param log: Output of the process.
    :return: Whether it exited with status 0, or had not started.
    """
    has_started = Event.VM_STARTED.name.encode() in log
    return status == 0 or (status == -signal.SIGTERM and not has_started)


@attrs.define(eq=False)
class SoakEnvironment:
    """Processes, stand-ins and addresses of one soak."""

    folder: pathlib.Path
    """Folder for settings and logs."""
    content: StoreContent = attrs.field(factory=StoreContent)
    """Content of the metadata store."""
    observations: Observations = attrs.field(factory=Observations)
    """Observations of all targets."""
    vms: list[SoakVm] = attrs.field(factory=list)
    """Entry VMs, by their number in the plan."""
    paths: list[FaultyPath] = attrs.field(factory=list)
    """Proxies of the targets, by the target's number in the plan."""
    version: int = 1
    """Version of the configuration in the store."""
    written: dict[int, float] = attrs.field(factory=dict)
    """Monotonic time in seconds at which each version was written."""
    copies: list[tuple[float, StoreCopy]] = attrs.field(factory=list)
    """Copies of the store, with the monotonic times in seconds at which they
    were made."""
    addresses: list[Address] = attrs.field(
        factory=lambda: free_addresses(ADDRESS_COUNT)
    )
    """Addresses that are not assigned yet."""
    cold: list[tuple[SoakTarget, float, float]] = attrs.field(factory=list)
    """Targets that were cold, with the monotonic times in seconds between which
    they were."""
    limits: list[tuple[SoakTarget, float, float]] = attrs.field(factory=list)
    """Targets that named a limit, with the monotonic times in seconds between
    which they did."""
    active_subjects: set[object] = attrs.field(factory=set)
    """VMs, targets, paths and the store if a fault of theirs is active; a
    second fault of the same subject is skipped."""

    @property
    def callers(self) -> dict[str, Address]:
        """Addresses for callers, by the name of the VM."""
        return {vm.name: vm.callers for vm in self.vms}

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run the stand-ins and the VMs until the block ends."""
        self._add_targets()
        self._add_vms()
        self.write_configuration()
        async with AsyncExitStack() as stack:
            apps: list[tuple[Any, Any]] = []
            for target, path in zip(
                self.observations.targets, self.paths, strict=True
            ):
                apps.append((target, path.forward))
                await stack.enter_async_context(path.serving())
                self.list_target(target)
            for cut in itertools.chain(*(vm.cuts for vm in self.vms)):
                await stack.enter_async_context(cut.serving())
            apps.extend((vm.store, vm.store.address) for vm in self.vms)
            await stack.enter_async_context(serving(*apps))
            tasks = await stack.enter_async_context(anyio.create_task_group())
            stack.callback(tasks.cancel_scope.cancel)
            tasks.start_soon(self.keep_copies)
            for vm in self.vms:
                await vm.start()
                stack.push_async_callback(vm.stop, signal.SIGKILL)
            yield

    def write_configuration(self) -> None:
        """Write the configuration of the current version.

        A route that only this version has lets callers find out the version.
        """
        document = make_configuration(self.version)
        document['routes'].append(
            make_route(f'v{self.version}', 'idempotent', 'paiement')
        )
        for service in document['services']:
            service['warmup_s'] = WARMUP_TIME
            service['warmup_per_s'] = WARMUP_RATE
        self.content.put_document('op/config', document)
        self.written[self.version] = time.monotonic()

    def list_target(
        self, target: SoakTarget, state: str = 'ready', warmup: float = 0
    ) -> None:
        """List a target in the store.

        :param target: Target to list.
        :param state: State in the listing.
        :param warmup: Time for which it stays cold, in seconds.
        """
        index = self.observations.targets.index(target)
        document = {
            'service': 'solde' if target.sharded else 'paiement',
            'address': str(self.paths[index].listen),
            'zone': 'ab'[index % 2],
            'version': 'v1',
            'slots': 4,
            'state': state,
            'warmup_left_s': warmup,
            'sequence': 1,
            'born': target.born,
        }
        self.content.put_document(f'servers/{target.name}', document)

    def check_running(self) -> list[Violation]:
        """Check that no VM's process has exited by itself.

        :return: One violation for each that has.
        """
        return [found for vm in self.vms for found in vm.check_running()]

    async def inject(
        self, scheduled: ScheduledFault, callers: SoakCallers
    ) -> None:
        """Inject a fault at its time and end it after its duration.

        It is skipped if a fault of the same subject is active, except for
        reloads.

        :param scheduled: Fault with its time.
        :param callers: Callers, which are told of a new configuration.
        """
        await anyio.sleep(scheduled.start)
        injection = scheduled.injection
        if isinstance(injection, VmInjection) and (
            injection.fault is VmFault.RELOAD
        ):
            self.vms[injection.vm].reload()
            return
        subject = _subject(scheduled)
        if subject in self.active_subjects:
            return
        self.active_subjects.add(subject)
        await self._inject(scheduled, callers)
        self.active_subjects.discard(subject)

    async def _inject(
        self, scheduled: ScheduledFault, callers: SoakCallers
    ) -> None:
        match scheduled.injection:
            case VmInjection(number, vm_fault):
                await self._inject_vm_fault(
                    self.vms[number], vm_fault, scheduled.duration
                )
            case TargetInjection(number, target_fault):
                target = self.observations.targets[number]
                await self._inject_target_fault(
                    target, target_fault, scheduled.duration
                )
            case PathInjection(number, state):
                self.paths[number].change_state(state)
                await anyio.sleep(scheduled.duration)
                self.paths[number].change_state(PathState.OPEN)
            case CutInjection(number, cut):
                await self._cut_off(self.vms[number], cut, scheduled.duration)
            case AnswerInjection(number, answer_fault):
                await self._break_answers(
                    number, answer_fault, scheduled.duration
                )
            case _:
                await self._inject_store_fault(scheduled, callers)

    async def _inject_store_fault(
        self, scheduled: ScheduledFault, callers: SoakCallers
    ) -> None:
        match scheduled.injection:
            case RestoreInjection(age):
                await self._restore_store(age, scheduled.duration)
            case LeaseInjection():
                await self._revoke_coordinator(scheduled.duration)
            case OddEntryInjection(entry):
                await self._leave_entry(entry, scheduled.duration)
            case StoreInjection(number, fault):
                vms = self.vms if number is None else [self.vms[number]]
                await _inject_store_fault(vms, fault, scheduled.duration)
            case ConfigurationChange():
                self.version += 1
                self.write_configuration()
                callers.newest_version = self.version

    async def _inject_vm_fault(
        self, vm: SoakVm, fault: VmFault, duration: float
    ) -> None:
        assert vm.process is not None
        match fault:
            case VmFault.KILL:
                await vm.stop(signal.SIGKILL)
                await anyio.sleep(duration)
                await vm.start()
            case VmFault.STOP:
                await vm.stop(signal.SIGTERM)
                await vm.start()
            case VmFault.FREEZE:
                vm.process.send_signal(signal.SIGSTOP)
                await anyio.sleep(duration)
                vm.process.send_signal(signal.SIGCONT)

    async def _break_answers(
        self, number: int | None, fault: AnswerFault, duration: float
    ) -> None:
        """Break the responses of one target or all.

        :param number: Number of the target, or ``None`` for all.
        :param fault: Fault of the responses.
        :param duration: Duration, in seconds.
        """
        chosen = slice(None) if number is None else slice(number, number + 1)
        targets = self.observations.targets[chosen]
        paths = self.paths[chosen]
        for target, path in zip(targets, paths, strict=True):
            path.answer_fault = fault
            target.prepare_fault(fault)
        await anyio.sleep(duration)
        for target, path in zip(targets, paths, strict=True):
            path.answer_fault = AnswerFault.NONE
            target.prepare_fault(AnswerFault.NONE)

    async def _revoke_coordinator(self, duration: float) -> None:
        """Revoke the coordinator's lease, and let the store refuse its calls.

        :param duration: Duration, in seconds.
        """
        item = self.content.items.get(COORDINATOR_KEY)
        if item is None:
            return
        record = base64.b64decode(item.content)
        vms = [vm for vm in self.vms if vm.name.encode() in record]
        for vm in vms:
            vm.store.fault = StoreFault.BUSY
        self.content.revoke_lease(item.lease)
        await anyio.sleep(duration)
        for vm in vms:
            vm.store.fault = StoreFault.NONE

    async def _restore_store(self, age: float, duration: float) -> None:
        """Let the store be away, and come back from a copy.

        :param age: Age of the copy when the store leaves, in seconds.
        :param duration: Time for which it is away, in seconds.
        """
        made_until = time.monotonic() - age
        older = [copy for at, copy in self.copies if at <= made_until]
        if not older:
            return
        away = min(duration, MAX_AWAY_TIME)
        await _inject_store_fault(self.vms, StoreFault.SILENT, away)
        latest = StoreCopy.of(self.content)
        for vm in self.vms:
            vm.store.begin_era()
        older[-1].restore(self.content)
        latest.write_again(older[-1], self.content)

    async def keep_copies(self) -> None:
        """Copy the store again and again until cancelled."""
        while True:
            self.copies.append((time.monotonic(), StoreCopy.of(self.content)))
            await anyio.sleep(COPY_INTERVAL)

    async def _leave_entry(self, entry: OddEntry, duration: float) -> None:
        """Keep an odd entry for each service among those of the targets.

        :param entry: Entry to keep.
        :param duration: Duration, in seconds.
        """
        keys = [f'{ODD_ENTRY_PREFIX}-{entry.name}-{one}' for one in SERVICES]
        for key, service in zip(keys, SERVICES, strict=True):
            self.content.put_bytes(key, entry.encode(service))
        await anyio.sleep(duration)
        self.content.write([], keys)

    async def _cut_off(self, vm: SoakVm, cut: Cut, duration: float) -> None:
        for path in vm.cuts:
            await path.change(cut)
        await anyio.sleep(duration)
        for path in vm.cuts:
            await path.change(Cut.NONE)

    async def _name_limit(self, target: SoakTarget, duration: float) -> None:
        target.limited_since = time.monotonic()
        await anyio.sleep(LIMITED_TIME + duration)
        self.limits.append((target, target.limited_since, time.monotonic()))
        target.limited_since = float('inf')

    async def _grow_cold(self, target: SoakTarget, duration: float) -> None:
        since = time.monotonic()
        until = since + LIMITED_TIME + duration
        while time.monotonic() < until:
            self.list_target(target, warmup=until - time.monotonic())
            await anyio.sleep(HEARTBEAT)
        self.cold.append((target, since, until))
        self.list_target(target)

    async def _inject_target_fault(
        self, target: SoakTarget, fault: SoakTargetFault, duration: float
    ) -> None:
        path = self.paths[self.observations.targets.index(target)]
        key = f'servers/{target.name}'
        if fault is SoakTargetFault.LIMIT:
            await self._name_limit(target, duration)
            return
        if fault is SoakTargetFault.COLD:
            await self._grow_cold(target, duration)
            return
        if fault in RESTARTS:
            await self._restart_target(target, fault, duration)
            return
        match fault:
            case SoakTargetFault.CRASH:
                target.stop()
                path.set_down(is_down=True)
                await anyio.sleep(min(LISTING_EXPIRY_TIME, duration))
                self.content.write([], [key])
                await anyio.sleep(max(duration - LISTING_EXPIRY_TIME, 0))
            case SoakTargetFault.DRAIN | SoakTargetFault.VANISH:
                if fault is SoakTargetFault.DRAIN:
                    self.list_target(target, 'draining')
                else:
                    self.content.write([], [key])
                target.draining_since = time.monotonic() + DRAIN_MARGIN
                await anyio.sleep(DRAIN_TIME + duration)
                target.stop()
                path.set_down(is_down=True)
                self.content.write([], [key])
        target.restart()
        path.set_down(is_down=False)
        self.list_target(target)

    async def _restart_target(
        self, target: SoakTarget, fault: SoakTargetFault, duration: float
    ) -> None:
        """End a target and start its next incarnation at once.

        :param target: Target to restart.
        :param fault: Kind of restart.
        :param duration: Duration of what the fault adds to it, in seconds.
        """
        path = self.paths[self.observations.targets.index(target)]
        old_key = f'servers/{target.name}'
        target.stop()
        path.set_down(is_down=True)
        await anyio.sleep(RESTART_TIME)
        if fault is SoakTargetFault.REPLACE:
            self._rename(target)
        target.restart()
        path.set_down(is_down=False)
        match fault:
            case SoakTargetFault.REPLACE:
                self.list_target(target)
                await anyio.sleep(LISTING_EXPIRY_TIME)
                self.content.write([], [old_key])
                return
            case SoakTargetFault.RESTART_UNHEARD:
                await anyio.sleep(duration)
            case SoakTargetFault.RESTART_LAPSED:
                await anyio.sleep(min(LISTING_EXPIRY_TIME, duration))
                self.content.write([], [old_key])
                await anyio.sleep(max(duration - LISTING_EXPIRY_TIME, 0))
        self.list_target(target)

    def _rename(self, target: SoakTarget) -> None:
        old_key = f'servers/{target.name}'
        name, _, count = target.name.partition('-')
        target.name = f'{name}-{int(count or 0) + 1}'
        for vm in self.vms:
            addresses = vm.store.target_addresses
            addresses[f'servers/{target.name}'] = addresses[old_key]

    def _add_targets(self) -> None:
        for number in range(SHARDED_TARGETS + UNSHARDED_TARGETS):
            target = SoakTarget(
                f's{number}', number < SHARDED_TARGETS, self.observations
            )
            self.observations.targets.append(target)
            self.paths.append(
                FaultyPath(self.addresses.pop(), self.addresses.pop())
            )

    def _add_vms(self) -> None:
        for number in range(VM_COUNT):
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
                    relay=self.addresses.pop(),
                    store=store,
                    overrun=WARMUP_OVERRUN,
                    slack=WARMUP_SLACK,
                )
            )
            server = RestoringStore(self.content, address=store)
            cuts = [
                CutPath(self.addresses.pop(), path_to_target.listen)
                for path_to_target in self.paths
            ]
            server.target_addresses = {
                f'servers/{target.name}': str(cut.listen)
                for target, cut in zip(
                    self.observations.targets, cuts, strict=True
                )
            }
            self.vms.append(SoakVm(name, path, callers, server, cuts))


async def run_plan(
    plan: Sequence[ScheduledFault], folder: pathlib.Path
) -> list[Violation]:
    """Run a plan of faults and check the invariants of the router.

    :param plan: Faults to inject.
    :param folder: Folder for settings and logs.
    :return: Violations that were found.
    """
    environment = SoakEnvironment(folder)
    async with environment.running():
        callers = SoakCallers(environment.callers)
        found = await _wait_until_served(callers, 'initial availability')
        found += environment.check_running()
        if found:
            return found
        async with anyio.create_task_group() as tasks:
            _start_callers(tasks, callers)
            began = time.monotonic()
            async with anyio.create_task_group() as faults:
                for scheduled in plan:
                    faults.start_soon(environment.inject, scheduled, callers)
            found = await _wait_until_served(callers, 'recovery')
            found += environment.check_running()
            tasks.cancel_scope.cancel()
    return [*found, *check_run(plan, began, environment, callers)]


def _start_callers(tasks: TaskGroup, callers: SoakCallers) -> None:
    for index in range(CALLER_COUNT):
        tasks.start_soon(callers.call_repeatedly, index % VM_COUNT)
    for vm in callers.vms:
        tasks.start_soon(callers.poll_configuration, vm)


async def _wait_until_served(
    callers: SoakCallers, stage: str
) -> list[Violation]:
    """Wait until every VM serves all kinds of requests and all keys.

    :param callers: Callers to check with.
    :param stage: Stage of the soak, as the name of the violation.
    :return: A violation if that takes longer than ``RECOVERY_TIMEOUT``.
    """
    with anyio.move_on_after(RECOVERY_TIMEOUT):
        for vm in callers.vms:
            while not await callers.is_served(vm):
                await anyio.sleep(0.1)
        return []
    return [Violation(stage, f'not served after {RECOVERY_TIMEOUT} s')]


async def _inject_store_fault(
    vms: Sequence[SoakVm], fault: StoreFault, duration: float
) -> None:
    for vm in vms:
        vm.store.fault = fault
    await anyio.sleep(duration)
    for vm in vms:
        vm.store.fault = StoreFault.NONE


def _subject(scheduled: ScheduledFault) -> object:
    injection = scheduled.injection
    subject: object = scheduled
    match injection:
        case VmInjection(number, _) | CutInjection(number, _):
            subject = type(injection), number
        case TargetInjection(number, _) | PathInjection(number, _):
            subject = type(injection), number
        case AnswerInjection():
            subject = AnswerInjection
        case StoreInjection() | LeaseInjection() | RestoreInjection():
            subject = StoreInjection
        case OddEntryInjection(entry):
            subject = entry
    return subject
