"""Coordinators whose terms have ended without their knowledge."""

from __future__ import annotations

import asyncio
import contextlib
import threading
import time
from typing import TYPE_CHECKING, Any

import anyio
import attrs
import orjson
import pytest

from dogwoodmast.address import Address
from dogwoodmast.clock import SystemClock
from dogwoodmast.direct.catalog import Target
from dogwoodmast.direct.grant_state_machine import GrantStateMachine
from dogwoodmast.direct.leadership import CoordinatorTerm, Leadership
from dogwoodmast.direct.messages import VmRecord
from dogwoodmast.direct.reach import ReachTracker
from dogwoodmast.direct.shard_coordinator import ShardCoordinator
from dogwoodmast.direct.statement_book import StatementBook
from dogwoodmast.errors import PlatformError
from dogwoodmast.platform.store import MetadataStore
from fleet import free_addresses
from metadata_store import StoreContent, StoreServer, serving

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from dogwoodmast._asgi import Receive, Scope, Send

HOLD = 1.2
"""Time for which each grant lasts, in seconds."""
FREEZE = 1.0
"""Time for which a VM is frozen, in seconds."""
STEP = 0.02
"""Pause between two steps of a coordinator or of the test, in seconds."""
SLOW = 0.4
"""Time until a slow store executes a call, in seconds."""


@attrs.define(eq=False)
class TargetProcess:
    """Process of a target, with what it was granted."""

    address: Address
    """Address at which it listens."""
    held: set[int] = attrs.field(factory=set)
    """First keys of the shards that it holds."""
    accepted: list[int] = attrs.field(factory=list)
    """Fencing tokens of the grants that it accepted."""
    _highest: dict[int, int] = attrs.field(factory=dict)
    _writers: list[asyncio.StreamWriter] = attrs.field(factory=list)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run the process until the block ends; that resets connections."""
        server = await asyncio.start_server(
            self._serve, self.address.host, self.address.port
        )
        try:
            yield
        finally:
            server.close()
            for writer in self._writers:
                writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                length = head.lower().partition(b'content-length: ')[2]
                size = int(length.partition(b'\r')[0])
                call = orjson.loads(await reader.readexactly(size))
                status = self._execute(call, is_grant=b'/grant' in head)
                writer.write(
                    b'HTTP/1.1 %d X\r\ncontent-length: 0\r\n\r\n' % status
                )

    def _execute(self, call: dict[str, Any], *, is_grant: bool) -> int:
        first, fence = call['from'], call['fence']
        if not is_grant:
            self.held.discard(first)
            return 200
        if self._highest.get(first, 0) > fence:
            return 409
        self._highest[first] = fence
        self.held.add(first)
        self.accepted.append(fence)
        return 200


@attrs.define(eq=False)
class HoldingStore:
    """Server of the store that may hold its answers back."""

    server: StoreServer
    """Server that executes the calls."""
    holds_back: str = 'no call'
    """Part of the calls that are executed and not answered."""

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Execute a call.

        :param scope: ASGI scope.
        :param receive: ASGI receive function.
        :param send: ASGI send function.
        """

        async def hold_back(_message: object) -> None:
            await anyio.sleep_forever()

        is_held = self.holds_back in scope.get('path', '')
        await self.server(scope, receive, hold_back if is_held else send)


@attrs.define(eq=False)
class CoordinatingVm:
    """Coordinator with the real election, state machine and calls.

    It may run in a thread of its own, and be frozen there.
    """

    name: str
    """Name of the VM."""
    store: Address
    """Address of its server of the store."""
    targets: list[Target]
    """Targets that its copy of the store lists."""
    frozen: threading.Event = attrs.field(factory=threading.Event)
    """Set to freeze it once."""
    resigning: threading.Event = attrs.field(factory=threading.Event)
    """Set to let it resign."""
    stopped: threading.Event = attrs.field(factory=threading.Event)
    """Set to stop it."""
    term: CoordinatorTerm | None = None
    """Its term."""

    def run_in_thread(self) -> None:
        """Run on an event loop of its own."""
        anyio.run(self.run)

    async def run(self) -> None:
        """Campaign, and serve the term until it ends."""
        clock = SystemClock()
        record = VmRecord(self.name, 'a', f'{self.name}:7000', 'i1')
        async with contextlib.AsyncExitStack() as stack:
            store = MetadataStore(self.store, clock)
            stack.push_async_callback(store.aclose)
            leadership = Leadership(record, store, clock)
            while self.term is None and not self.stopped.is_set():
                await anyio.sleep(STEP)
                with contextlib.suppress(PlatformError):
                    self.term = await leadership.campaign()
            if self.term is None:
                return
            shards = ShardCoordinator(
                GrantStateMachine('solde', self.term.epoch, HOLD),
                leadership,
                store,
                clock,
                StatementBook(),
                ReachTracker(),
            )
            stack.push_async_callback(shards.aclose)
            await shards.load()
            await self._serve_term(leadership, shards, self.term)

    async def _serve_term(
        self,
        leadership: Leadership,
        shards: ShardCoordinator,
        term: CoordinatorTerm,
    ) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(leadership.renew_until_lost, term)
            while leadership.term is term and not self.stopped.is_set():
                if self.frozen.is_set():
                    self.frozen.clear()
                    time.sleep(FREEZE)  # noqa: ASYNC251
                    await anyio.sleep(STEP)
                if self.resigning.is_set():
                    self.resigning.clear()
                    tasks.start_soon(leadership.resign)
                shards.on_targets(self.targets, self.targets)
                shards.tick(tasks)
                await anyio.sleep(STEP)
            tasks.cancel_scope.cancel()


async def wait_for(condition: Callable[[], object]) -> None:
    """Wait until a condition holds.

    :param condition: Tells whether it holds.
    """
    with anyio.fail_after(8):
        while not condition():
            await anyio.sleep(STEP / 4)


@attrs.define(eq=False)
class Trouble:
    """Two VMs, a target that holds all keys, and one that takes them over."""

    content: StoreContent
    """Content of the store."""
    store: HoldingStore
    """Server of the store that the first VM calls."""
    vm: CoordinatingVm
    """First VM, the coordinator."""

    async def end_term(self, how: str) -> None:
        """Let the term end without the knowledge of its coordinator.

        :param how: What happens to the coordinator.
        """
        calls = self.store.server.calls
        if how == 'resigning':
            self.store.holds_back = 'kv-lease-end'
            self.vm.resigning.set()
            await wait_for(lambda: not self.content.items.get(COORDINATOR))
            return
        self.store.server.delay = SLOW
        seen = len(calls)
        await wait_for(lambda: any('kv-keep' in one for one in calls[seen:]))
        if how == 'frozen':
            self.vm.frozen.set()
        await anyio.sleep(SLOW + STEP)
        self.content.revoke_lease(self.content.items[COORDINATOR].lease)


COORDINATOR = 'dogwoodmast/coordinator'
"""Key of the coordinator's record."""


@pytest.mark.parametrize('how', ['revoked', 'frozen', 'resigning'])
def test_process_that_started_after_a_term_is_granted_nothing_in_it(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Keys that another VM has moved are not granted by the VM before it."""
    monkeypatch.setattr(f'{ShardCoordinator.__module__}.SETTLING_TIME', 0.1)
    first, second, *stores = free_addresses(4)

    async def run() -> None:
        content = StoreContent()
        store = HoldingStore(StoreServer(content))
        old, new = (TargetProcess(one) for one in (first, second))
        restarted = TargetProcess(first)
        t1 = Target('t1', 'solde', first, 'a', 4, False, 1)
        t2 = Target('t2', 'solde', second, 'a', 4, False, 1)
        vms = [
            CoordinatingVm('v1', stores[0], [t1]),
            CoordinatingVm('v2', stores[1], [attrs.evolve(t1, leaving=True)]),
        ]
        vms[1].targets.append(t2)
        trouble = Trouble(content, store, vms[0])
        async with (
            serving((store, stores[0]), (StoreServer(content), stores[1])),
            new.running(),
            anyio.create_task_group() as tasks,
        ):
            async with old.running():
                tasks.start_soon(anyio.to_thread.run_sync, vms[0].run_in_thread)
                await wait_for(lambda: old.held)
                await trouble.end_term(how)
                tasks.start_soon(vms[1].run)
                await wait_for(lambda: new.held and not old.held)
            async with restarted.running():
                await anyio.sleep(2)
                for vm in vms:
                    vm.stopped.set()
        assert vms[1].term is not None
        assert new.held
        assert not restarted.accepted

    anyio.run(run)
