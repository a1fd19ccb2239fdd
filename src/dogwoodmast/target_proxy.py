"""Front of one target: its dispatcher, slots and connections."""

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
"""Longest time between two looks at the clock, in seconds."""
MIN_TICK_INTERVAL = 0.001
"""Shortest time between two looks at the clock, in seconds."""
HEALTH_INTERVAL = 2.0
"""Time between two polls of the health endpoint, in seconds."""
EXCHANGE_PREFIX_BYTES = 8
"""Random bytes in the names of exchanges."""


@attrs.define(eq=False)
class _PendingReply:
    done: anyio.Event = attrs.field(factory=anyio.Event)
    outcome: Result | Moved | None = None


class TargetProxy:
    """Front of one target in the entry VM that holds its lease."""

    def __init__(
        self,
        service: Service,
        target: Target,
        clock: Clock,
        rights: DispatchRights,
        meter: LoadMeter,
        quarantine: Quarantine,
    ) -> None:
        """Create the front of a target.

        :param service: Service of the target.
        :param target: The target.
        :param clock: Source of time.
        :param rights: What may be dispatched.
        :param meter: Meter of the requests that were run.
        :param quarantine: Requests that crash targets.
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
        """The target's dispatcher."""
        return self._dispatcher

    async def __aenter__(self) -> TargetProxy:
        """Start the slots.

        :return: The front.
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
        """Stop the slots.

        :param exc_info: Exception that ends the block, if any.
        """
        await self._stack.__aexit__(*exc_info)

    async def submit(
        self, request: Request, kind: RequestKind, grant: Grant
    ) -> Result | Moved:
        """Run a request on the target.

        :param request: The request.
        :param kind: Kind of the request.
        :param grant: Right to run it.
        :return: The target's answer, a problem, or that the request must
            be routed anew.
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
        """Take in which partitions are assigned to the target.

        :param grants: Their grants.
        """
        self._dispatcher.on_grants(grants, self._clock.monotonic())

    def on_rights_changed(self) -> None:
        """Look again at what waits, since a right may have changed."""
        now = self._clock.monotonic()
        self._perform(self._dispatcher.on_rights_changed(now))
        self._wake.set()

    async def drain(self) -> None:
        """Give back what waits, and finish what runs."""
        now = self._clock.monotonic()
        self._draining = True
        self._perform(self._dispatcher.drain(now))
        await self._idle.wait()

    def unsettled(self) -> frozenset[Grant]:
        """List the grants under which something runs or may still run.

        :return: Grants.
        """
        return self._dispatcher.unsettled(self._clock.monotonic())

    def health(self) -> TargetHealth:
        """Report the target's health.

        :return: What requests and polls show.
        """
        return self._dispatcher.state.health.report(self._clock.monotonic())

    def export_ledger(self, grant: Grant) -> LedgerExtract | None:
        """Close a partition's ledger to hand it over.

        :param grant: Grant that is not dispatched here any more.
        :return: The ledger; ``None`` if there is none, or while something
            runs or may run under the grant.
        """
        return self._dispatcher.export_ledger(grant, self._clock.monotonic())

    def import_ledger(self, extract: LedgerExtract, grant: Grant) -> None:
        """Take in a ledger that the last leaseholder handed over.

        :param extract: The ledger.
        :param grant: Grant under which the partition is to run here.
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
