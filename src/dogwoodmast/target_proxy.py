"""Proxy of one target: runs its dispatcher, slots and connections."""

from __future__ import annotations

import itertools
import math
import secrets
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any

import anyio
import attrs

from dogwoodmast.backend import BackendConnection
from dogwoodmast.dispatch_messages import (
    AbortExchange,
    Action,
    CancelExchange,
    ExchangeCompleted,
    ExchangeFailed,
    Moved,
    ProbeTarget,
    Reply,
    StartExchange,
    Submission,
)
from dogwoodmast.dispatcher import Dispatcher
from dogwoodmast.request import Result
from dogwoodmast.target_control import TargetControl
from dogwoodmast.target_slot import ExchangeEvent, SlotContext, SlotTask

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from dogwoodmast.backend import Grant
    from dogwoodmast.clock import Clock
    from dogwoodmast.configuration import RequestKind, Service, Target
    from dogwoodmast.dispatch_right import DispatchRights
    from dogwoodmast.ledger_extract import LedgerExtract
    from dogwoodmast.load_meter import LoadMeter
    from dogwoodmast.load_report import TargetHealth
    from dogwoodmast.quarantine import Quarantine
    from dogwoodmast.request import Request

MAX_TICK_INTERVAL = 0.1
"""Maximum time between two ticks of the dispatcher, in seconds."""
MIN_TICK_INTERVAL = 0.001
"""Minimum time between two ticks of the dispatcher's timer, in seconds; a
wake-up may come sooner."""
HEALTH_INTERVAL = 2.0
"""Maximum wait between two polls of the health endpoint, in seconds; a
connection that breaks during an exchange causes one at once."""
EXCHANGE_PREFIX_BYTES = 8
"""Length of the random prefix of exchange names, in bytes; it makes the names
unique among all entry VMs."""


@attrs.define(eq=False)
class _PendingReply:
    done: anyio.Event = attrs.field(factory=anyio.Event)
    outcome: Result | Moved | None = None


class TargetProxy:
    """Performs the actions of a target's dispatcher and feeds it events.

    Runs in the entry VM that holds the target's dispatch lease.
    """

    def __init__(
        self,
        service: Service,
        target: Target,
        clock: Clock,
        rights: DispatchRights,
        meter: LoadMeter,
        quarantine: Quarantine,
    ) -> None:
        """Create a proxy that has not been started.

        :param service: Service that the target belongs to.
        :param target: Target that the requests are sent to.
        :param clock: Source of monotonic and wall-clock time.
        :param rights: Source of leases and of the right to dispatch.
        :param meter: Load meter that counts executed requests.
        :param quarantine: Requests suspected of crashing targets.
        """
        self._clock = clock
        self._dispatcher = Dispatcher(
            service,
            target,
            rights,
            clock.wall() - clock.monotonic(),
            meter,
            quarantine,
        )
        self._control = TargetControl(target.address)
        context = SlotContext(
            clock,
            self._control,
            secrets.token_hex(EXCHANGE_PREFIX_BYTES),
            self._on_exchange_event,
        )
        self._slots = [
            SlotTask(number, BackendConnection(target), context)
            for number in range(target.slots)
        ]
        self._pending: dict[int, _PendingReply] = {}
        self._tickets = itertools.count(1)
        self._wake = anyio.Event()
        self._wake_at = math.inf
        self._probe = anyio.Event()
        self._draining = False
        self._idle = anyio.Event()
        self._tasks: TaskGroup | None = None
        self._stack = AsyncExitStack()

    @property
    def dispatcher(self) -> Dispatcher:
        """Dispatcher of the target, for reading its state."""
        return self._dispatcher

    async def __aenter__(self) -> TargetProxy:
        """Start the tasks of the slots, the timer and the health polls.

        :return: This proxy.
        """
        tasks = await self._stack.enter_async_context(anyio.create_task_group())
        self._stack.callback(tasks.cancel_scope.cancel)
        self._tasks = tasks
        for slot in self._slots:
            tasks.start_soon(slot.run)
        tasks.start_soon(self._run_timer)
        tasks.start_soon(self._poll_health)
        return self

    async def __aexit__(self, *exc_info: Any) -> None:
        """Cancel all tasks of the proxy.

        :param exc_info: Exception that ends the block, if any.
        """
        await self._stack.__aexit__(*exc_info)

    async def submit(
        self, request: Request, kind: RequestKind, grant: Grant
    ) -> Result | Moved:
        """Queue a request for the target and wait for its result.

        :param request: Request to run.
        :param kind: Configured kind of the request.
        :param grant: Partition and fence to run it under.
        :return: Response from the target, a problem, or that the request
            must be rerouted.
        """
        ticket = next(self._tickets)
        pending = _PendingReply()
        self._pending[ticket] = pending
        submission = Submission(ticket, request, kind, grant)
        now = self._clock.monotonic()
        self._perform(self._dispatcher.on_submission(submission, now))
        if request.deadline < self._wake_at:
            self._wake.set()
        try:
            await pending.done.wait()
        except anyio.get_cancelled_exc_class():
            now = self._clock.monotonic()
            self._perform(self._dispatcher.on_cancelled(ticket, now))
            raise
        finally:
            self._pending.pop(ticket, None)
        assert pending.outcome is not None
        return pending.outcome

    def on_grants(self, grants: frozenset[Grant]) -> None:
        """Replace the set of partitions assigned to the target.

        :param grants: Grants of all assigned partitions.
        """
        self._dispatcher.on_grants(grants, self._clock.monotonic())

    def on_rights_changed(self) -> None:
        """Re-evaluate all waiting requests after a change of rights."""
        now = self._clock.monotonic()
        self._perform(self._dispatcher.on_rights_changed(now))
        self._wake.set()

    async def drain(self) -> None:
        """Stop admitting, return waiting requests and let others finish.

        Returns when no slot is busy. Waiting requests are returned to the
        router for rerouting.
        """
        now = self._clock.monotonic()
        self._draining = True
        self._perform(self._dispatcher.drain(now))
        await self._idle.wait()

    def unsettled(self) -> frozenset[Grant]:
        """List grants with requests that run or may still run.

        :return: Grants that must not be handed over yet.
        """
        return self._dispatcher.unsettled(self._clock.monotonic())

    def health(self) -> TargetHealth:
        """Report the target's health as seen by requests and polls.

        :return: Time without contact, and whether the target is draining.
        """
        return self._dispatcher.state.health.report(self._clock.monotonic())

    def export_ledger(self, grant: Grant) -> LedgerExtract | None:
        """Close a partition's ledger and export it for handover.

        :param grant: Grant that is no longer dispatched by this entry VM.
        :return: Contents of the ledger; ``None`` if none is open, or while
            a request runs or may still run under the grant.
        """
        return self._dispatcher.export_ledger(grant, self._clock.monotonic())

    def import_ledger(self, extract: LedgerExtract, grant: Grant) -> None:
        """Import a ledger from the previous leaseholder.

        :param extract: Contents of the ledger.
        :param grant: Grant under which this entry VM dispatches the
            partition.
        :raises MalformedFrame: If an entry of the ledger is not valid.
        """
        now = self._clock.monotonic()
        self._dispatcher.import_ledger(extract, grant, now)

    def _on_exchange_event(self, event: ExchangeEvent) -> None:
        now = self._clock.monotonic()
        match event:
            case ExchangeCompleted():
                self._perform(self._dispatcher.on_response(event, now))
            case ExchangeFailed():
                self._perform(self._dispatcher.on_failed(event, now))
                self._wake.set()

    async def _run_timer(self) -> None:
        while True:
            now = self._clock.monotonic()
            actions = self._dispatcher.on_tick(now, self._clock.wall())
            self._perform(actions)
            wake_at = self._dispatcher.next_wake(now)
            self._wake_at = min(wake_at, now + MAX_TICK_INTERVAL)
            pause = max(self._wake_at - now, MIN_TICK_INTERVAL)
            with anyio.move_on_after(pause):
                await self._wake.wait()
            if self._wake.is_set():
                self._wake = anyio.Event()

    async def _poll_health(self) -> None:
        while True:
            with anyio.move_on_after(HEALTH_INTERVAL):
                await self._probe.wait()
            self._probe = anyio.Event()
            poll = await self._control.poll()
            now = self._clock.monotonic()
            self._perform(self._dispatcher.on_polled(poll, now))

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Reply():
                    self._on_reply(action)
                case StartExchange():
                    self._slots[action.slot].start(action)
                case AbortExchange():
                    self._slots[action.slot].abort()
                case CancelExchange():
                    self._cancel(self._slots[action.slot].exchange_name)
                case ProbeTarget():
                    self._probe.set()
        if self._draining and not self._dispatcher.state.slots.busy:
            self._idle.set()

    def _cancel(self, exchange: str) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(self._control.cancel, exchange)

    def _on_reply(self, reply: Reply) -> None:
        pending = self._pending.get(reply.ticket)
        if pending is not None:
            pending.outcome = reply.outcome
            pending.done.set()
