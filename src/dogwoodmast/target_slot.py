"""Task that runs the exchanges of one slot on the slot's connection."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.backend import Backend, Exchange
from dogwoodmast.clock import Clock
from dogwoodmast.dispatch_messages import (
    ExchangeCompleted,
    ExchangeFailed,
    FailureCause,
    StartExchange,
)
from dogwoodmast.errors import ConnectFailed, ExchangeAborted
from dogwoodmast.target_control import TargetControl

if TYPE_CHECKING:
    from anyio.streams.memory import MemoryObjectSendStream


ExchangeEvent = ExchangeCompleted | ExchangeFailed


@attrs.frozen
class SlotContext:
    """Objects shared by the slots of one target."""

    clock: Clock
    """Source of monotonic and wall-clock time."""
    control: TargetControl
    """Client of the target's control endpoints."""
    prefix: str
    """Prefix of the names of exchanges, unique for the target's proxy."""
    on_event: Callable[[ExchangeEvent], None]
    """Callback for completed and failed exchanges."""


class SlotTask:
    """Task that runs one exchange at a time."""

    def __init__(
        self, number: int, connection: Backend, context: SlotContext
    ) -> None:
        """Create a slot whose task has not been started.

        :param number: Number of the slot.
        :param connection: HTTP client that only this slot uses.
        :param context: Objects shared with the target's other slots.
        """
        self._number = number
        self._connection = connection
        self._context = context
        self._scope = anyio.CancelScope()
        self._name = ''
        sender, receiver = anyio.create_memory_object_stream[StartExchange](
            math.inf
        )
        self._sender: MemoryObjectSendStream[StartExchange] = sender
        self._receiver = receiver

    @property
    def exchange_name(self) -> str:
        """Name of the exchange started last; empty before the first."""
        return self._name

    def start(self, action: StartExchange) -> None:
        """Pass an exchange to the slot's task.

        :param action: Request to send, with its deadline.
        """
        ticket = action.submission.ticket
        self._name = f'{self._context.prefix}-{self._number}-{ticket}'
        self._scope = anyio.CancelScope()
        self._sender.send_nowait(action)

    def abort(self) -> None:
        """Abort the exchange started last.

        The task closes the connection, asks the target to cancel the
        exchange and then reports the failure.
        """
        self._scope.cancel()

    async def run(self) -> None:
        """Run exchanges and report their ends, until cancelled."""
        try:
            async for action in self._receiver:
                event = await self._exchange(action)
                self._context.on_event(event)
        finally:
            self._receiver.close()
            await self._connection.aclose()

    async def _exchange(self, action: StartExchange) -> ExchangeEvent:
        exchange = self._make_exchange(action)
        with self._scope:
            return await self._attempt(exchange, action.new_connection)
        ended = await self._context.control.cancel(exchange.name)
        return ExchangeFailed(
            self._number,
            FailureCause.ABORTED,
            'the exchange was aborted',
            ended,
        )

    async def _attempt(
        self, exchange: Exchange, new_connection: bool
    ) -> ExchangeEvent:
        try:
            response = await self._connection.run(
                exchange, new_connection=new_connection
            )
        except ConnectFailed as error:
            return ExchangeFailed(
                self._number, FailureCause.CONNECT, error.message
            )
        except ExchangeAborted as error:
            return ExchangeFailed(
                self._number, FailureCause.CLOSED, error.message
            )
        return ExchangeCompleted(self._number, response)

    def _make_exchange(self, action: StartExchange) -> Exchange:
        clock = self._context.clock
        time_left = action.deadline - clock.monotonic()
        return Exchange(
            request=action.submission.request,
            grant=action.submission.grant,
            wall_deadline=clock.wall() + time_left,
            name=self._name,
        )
