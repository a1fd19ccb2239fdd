"""Process of an entry VM that dispatches requests directly to targets."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import anyio

from dogwoodmast.clock import BootClock
from dogwoodmast.crash_notifier import CrashNotifier
from dogwoodmast.direct.coordinator import Coordinator, CoordinatorDependencies
from dogwoodmast.direct.copy_monitor import CopyMonitor
from dogwoodmast.direct.directory import Directory
from dogwoodmast.direct.directory_sync import (
    DirectorySync,
    SyncDependencies,
)
from dogwoodmast.direct.dispatcher import Dispatcher
from dogwoodmast.direct.gateway import DirectGateway
from dogwoodmast.direct.leadership import Leadership
from dogwoodmast.direct.metrics import Metrics
from dogwoodmast.direct.process_monitor import ProcessMonitor
from dogwoodmast.direct.rate_limiting import RateLimiting
from dogwoodmast.direct.readiness import Readiness
from dogwoodmast.direct.relaying import Relaying
from dogwoodmast.direct.room.room_sharing import RoomSharing
from dogwoodmast.direct.send_guard import make_send_guard
from dogwoodmast.direct.settings import DirectSettings, load_direct_settings
from dogwoodmast.direct.shard_view import LoadReporter, ShardView
from dogwoodmast.direct.signals import (
    RELOAD_SIGNAL,
    WATCHED_SIGNALS,
    SignalStream,
    ignore_signals,
    receive_signals,
)
from dogwoodmast.direct.source_selector import SourceSelector
from dogwoodmast.direct.sync_timing import SyncTiming
from dogwoodmast.direct.target_set import TargetSet
from dogwoodmast.direct.vm_edges import make_vm_edges
from dogwoodmast.direct.vm_registration import (
    VmRegistration,
    is_list_certain,
    make_hello,
    make_vm_record,
    peer_addresses,
)
from dogwoodmast.events import Event, log_event
from dogwoodmast.input_errors import InvalidInput
from dogwoodmast.link_pool import LinkPool, serve_links
from dogwoodmast.message_handlers import MessageHandlers
from dogwoodmast.platform.documents import decode_catalog_item
from dogwoodmast.platform.store import MetadataStore

if TYPE_CHECKING:
    import pathlib

    from anyio.abc import TaskGroup

REFRESH_INTERVAL = 0.5
"""Longest time between two updates of the targets, in seconds.  Store entries
that expired during an outage are kept for a grace period, and its end gives
no change notification."""
FLUSH_DELAY = 0.1
"""Pause between the end of the last request and the end of the process, in
seconds, in which the last responses are sent."""


class DirectVm:
    """Entry VM with all of its components, servers and background tasks."""

    def __init__(self, settings: DirectSettings, path: pathlib.Path) -> None:
        """Create an entry VM that is not yet started.

        :param settings: Settings of the process.
        :param path: Settings file, which is read again on ``SIGHUP``.
        """
        self._settings = settings
        self._path = path
        self._bounds = settings.bounds
        self._clock = BootClock()
        self._store = MetadataStore(settings.store, self._clock)
        self._handlers = MessageHandlers()
        self._record = make_vm_record(settings)
        self._monitor = ProcessMonitor()
        self._links = LinkPool(
            make_hello(self._record),
            self._handlers,
            self._monitor.traffic,
        )
        self._directory = Directory(decode_catalog_item)
        self._view = ShardView(self._clock)
        self._metrics = Metrics(settings.vm.zone)
        self._timing = SyncTiming(self._bounds.copy_bound)
        self._guard = make_send_guard(
            self._directory, self._clock, self._timing
        )
        self._rates = RateLimiting(
            settings.vm.name,
            self._directory,
            self._links,
            self._clock,
            self._timing,
            self._bounds,
        )
        self._rates.check_list = lambda: is_list_certain(self._directory)
        self._targets = TargetSet(
            settings.vm.zone, self._clock, self._rates.statements
        )
        self._room = RoomSharing(
            self._record,
            self._directory,
            self._links,
            self._clock,
            self._rates.statements,
            settings.zones,
        )
        self._readiness = Readiness(self._directory, self._targets)
        self._relaying = Relaying(
            settings, self._directory, self._targets, self._clock
        )
        self._dispatcher = Dispatcher(
            self._targets,
            self._view,
            self._clock,
            self._rates.gate,
            self._relaying.dispatcher,
            self._bounds,
            guard=self._guard,
            room=self._room.make_admission(self._targets),
            homes=self._relaying.homes,
        )
        self._gateway = DirectGateway(
            self._directory,
            self._dispatcher,
            self._clock,
            self._metrics,
            self._guard.freshness,
        )
        self._gateway.held_bytes.limit_by_memory(settings.memory)
        self._edges = make_vm_edges(settings.memory, settings.descriptors)
        self._server = self._edges.serve_callers(
            self._gateway, settings.listen.callers
        )
        self._listed_targets: dict[str, bool] = {}
        self._changed = anyio.Event()

    async def run(self) -> None:
        """Serve until ``SIGTERM`` or ``SIGINT``, then stop gracefully."""
        async with AsyncExitStack() as stack:
            # Open until the end: by default, SIGHUP ends a process at once.
            signals = stack.enter_context(receive_signals(*WATCHED_SIGNALS))
            stack.push_async_callback(self._store.aclose)
            tasks = await stack.enter_async_context(anyio.create_task_group())
            stack.callback(tasks.cancel_scope.cancel)
            await stack.enter_async_context(self._links)
            stack.push_async_callback(self._targets.aclose)
            stack.push_async_callback(self._relaying.aclose)
            await self._serve(tasks, signals)
            ignore_signals(*WATCHED_SIGNALS)
        log_event(Event.VM_STOPPED, vm=self._record.name)

    async def _serve(self, tasks: TaskGroup, signals: SignalStream) -> None:
        coordinator = self._make_coordinator()
        registration = VmRegistration(
            self._record, self._store, self._directory
        )
        await self._start(tasks, coordinator, registration)
        log_event(
            Event.VM_STARTED, vm=self._record.name, zone=self._record.zone
        )
        await self._await_stop(signals)
        log_event(Event.VM_STOPPING, vm=self._record.name)
        await self._stop(tasks, coordinator, registration)
        self._dispatcher.stopping.log()

    def _make_coordinator(self) -> Coordinator:
        parts = CoordinatorDependencies(
            self._record,
            self._directory,
            self._store,
            self._links,
            self._clock,
            self._bounds.longest_hold,
            self._rates.statements,
            self._targets.reach,
        )
        leadership = Leadership(self._record, self._store, self._clock)
        return Coordinator(parts, leadership)

    async def _start(
        self,
        tasks: TaskGroup,
        coordinator: Coordinator,
        registration: VmRegistration,
    ) -> None:
        listen = self._settings.listen
        vm = self._settings.vm
        sync = DirectorySync(
            SourceSelector(vm.name, vm.zone, self._timing),
            SyncDependencies(
                self._directory,
                self._view,
                self._store,
                self._links,
                self._clock,
                self._guard.freshness,
            ),
            self._timing,
        )
        reporter = LoadReporter(
            vm.name,
            self._view,
            self._targets,
            self._directory,
            self._links,
            lambda: sync.reads_store,
        )
        sync.subscribe(self._on_changes)
        self._monitor.add_gauges(self._metrics)
        self._add_sync_gauges(sync)
        notifier = CrashNotifier(
            self._clock,
            self._links,
            lambda: peer_addresses(self._record, self._directory),
            self._dispatcher.quarantine,
        )
        for part in (
            sync,
            reporter,
            coordinator,
            notifier,
            self._rates,
            self._room,
        ):
            part.register(self._handlers)
        await tasks.start(
            serve_links, listen.links, self._handlers, self._monitor.traffic
        )
        self._start_servers(tasks)
        self._relaying.start(self._gateway, tasks, self._edges.relay)
        for task in (
            sync,
            registration,
            reporter,
            coordinator,
            notifier,
            self._monitor,
            self._make_copy_monitor(sync),
            self._rates,
            self._room,
        ):
            tasks.start_soon(task.run)
        tasks.start_soon(self._refresh, tasks)

    def _make_copy_monitor(self, sync: DirectorySync) -> CopyMonitor:
        monitor = CopyMonitor(
            self._directory, sync.activity, self._clock, self._timing
        )
        monitor.add_gauges(self._metrics)
        return monitor

    def _start_servers(self, tasks: TaskGroup) -> None:
        listen = self._settings.listen
        self._add_gauges()
        self._room.add_gauges(self._metrics)
        self._edges.add_gauges(self._metrics)
        status = self._edges.serve_status(self._readiness, listen.readiness)
        metrics = self._edges.serve_status(self._metrics, listen.metrics)
        for server in (self._server, status, metrics):
            tasks.start_soon(server.serve)

    async def _refresh(self, tasks: TaskGroup) -> None:
        """Apply changes of the directory, the local copy of the store."""
        while True:
            table = self._directory.route_table
            if table is not None:
                targets = self._directory.targets(self._clock.monotonic())
                vm_count = max(1, len(self._directory.vms()))
                self._dispatcher.vm_count = vm_count
                # VMs that relay their requests send targets none themselves.
                senders = max(1, vm_count - self._relaying.origins)
                self._targets.update(targets, table, senders, tasks)
                self._rates.refresh(table)
                self._room.refresh()
                self._server.config.timeout_keep_alive = int(
                    table.limits.idle_time
                )
                self._edges.apply(table.limits)
                self._log_target_changes(
                    {name: one.leaving for name, one in targets.items()}
                )
            changed = self._changed
            with anyio.move_on_after(REFRESH_INTERVAL):
                await changed.wait()

    def _on_changes(self, _keys: list[str]) -> None:
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()

    def _log_target_changes(self, current: dict[str, bool]) -> None:
        previous = self._listed_targets
        self._listed_targets = current
        for name in current.keys() - previous.keys():
            log_event(Event.TARGET_LISTED, target=name)
        for name in previous.keys() - current.keys():
            log_event(Event.TARGET_GONE, target=name)
        for name, leaving in current.items():
            if leaving and not previous.get(name, False):
                log_event(Event.TARGET_LEAVING, target=name)

    def _add_gauges(self) -> None:
        metrics = self._metrics
        metrics.add_gauge(
            'running', 'Requests being served.', lambda: self._gateway.running
        )
        metrics.add_gauge(
            'unreachable_targets',
            'Targets to which the last new connection failed.',
            lambda: len(self._targets.reach.failing),
        )
        metrics.add_gauge(
            'limited_targets',
            'Targets that name a rate limit.',
            lambda: len(self._rates.limits.rates),
        )
        metrics.add_gauge(
            'held_bytes',
            'Bytes of bodies of requests and responses that the VM holds.',
            lambda: self._gateway.held_bytes.held,
        )
        metrics.add_gauge(
            'held_bytes_exceeded',
            'Bodies so far for which there was no room in memory.',
            lambda: self._gateway.held_bytes.exceeded,
        )
        metrics.add_gauge(
            'evacuated_zones',
            'Zones that the operator has evacuated, as this VM knows.',
            lambda: len(self._directory.evacuated.names),
        )
        metrics.add_gauge(
            'cold_targets',
            'Targets that warm up.',
            lambda: len(self._rates.cold.rates),
        )
        metrics.add_gauge(
            'store_calls',
            'Calls to the store so far.',
            lambda: self._store.calls,
        )
        metrics.add_gauge(
            'directory_age_seconds',
            'Age of the copy of the store.',
            lambda: self._directory.age(self._clock.monotonic()),
        )

    def _add_sync_gauges(self, sync: DirectorySync) -> None:
        self._metrics.add_gauge(
            'configuration_version',
            'Version of the configuration in force, 0 before the first.',
            self._configuration_version,
        )
        self._metrics.add_gauge(
            'reads_store',
            'Whether changes are read from the store.',
            lambda: sync.reads_store,
        )
        self._metrics.add_gauge(
            'source_changes',
            'Changes of the source of the copy of the store so far.',
            lambda: sync.activity.source_changes,
        )

    def _configuration_version(self) -> int:
        table = self._directory.route_table
        return table.version if table else 0

    async def _await_stop(self, signals: SignalStream) -> None:
        async for number in signals:
            if number != RELOAD_SIGNAL:
                break
            self._reload()

    def _reload(self) -> None:
        try:
            settings = load_direct_settings(self._path)
        except InvalidInput as error:
            log_event(Event.SETTINGS_REJECTED, reason=str(error))
            return
        self._settings = settings
        self._dispatcher.bounds = settings.bounds
        self._timing.bound = settings.bounds.copy_bound
        self._relaying.homes.regions = settings.regions
        self._rates.apply_bounds(settings.bounds)
        log_event(Event.SETTINGS_RELOADED, path=str(self._path))

    async def _stop(
        self,
        tasks: TaskGroup,
        coordinator: Coordinator,
        registration: VmRegistration,
    ) -> None:
        """Stop gracefully.

        Readiness fails at once, so that the load balancer removes the VM, and
        the coordinator role and the registration are given up meanwhile.  Then
        the server accepts no more connections, and requests in flight are
        awaited until shortly before the process would be killed.  Requests that
        can't end by then are rejected as soon as that is known.
        """
        self._readiness.draining = True
        self._gateway.draining = True
        self._room.stop()
        tasks.start_soon(coordinator.leave)
        tasks.start_soon(registration.leave)
        stopping = self._dispatcher.stopping
        window = stopping.begin(self._settings.bounds.stop_time)
        accept_time = window.accepts_until - stopping.now
        tasks.start_soon(stopping.run, window)
        tasks.start_soon(self._relaying.leave, accept_time)
        await anyio.sleep(accept_time)
        self._server.request_shutdown()
        with anyio.move_on_after(window.closes_at - stopping.now):
            await self._await_last_responses()

    async def _await_last_responses(self) -> None:
        await self._gateway.await_idle()
        await self._relaying.stop()
        await self._server.await_closed()
        # Lets the last responses leave the sockets' buffers.
        await anyio.sleep(FLUSH_DELAY)
