"""Task of one slot, which owns a connection to the target."""

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
    """What the slots of one target share."""

    clock: Clock
    """Source of time."""
    control: TargetControl
    """Control connection of the target."""
    prefix: str
    """Beginning of the names of exchanges."""
    on_event: Callable[[ExchangeEvent], None]
    """Receiver of the ends of exchanges."""


class SlotTask:
    """One slot of a target."""

    def __init__(
        self, number: int, connection: Backend, context: SlotContext
    ) -> None:
        """Create a slot that is not yet started.

        :param number: Number of the slot.
        :param connection: Connection that the slot owns.
        :param context: What it shares with the others.
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
        """Name of the last exchange."""
        return self._name

    def start(self, action: StartExchange) -> None:
        """Have an exchange run.

        :param action: What to run.
        """
        ticket = action.submission.ticket
        self._name = f'{self._context.prefix}-{self._number}-{ticket}'
        self._scope = anyio.CancelScope()
        self._sender.send_nowait(action)

    def abort(self) -> None:
        """Close the connection and cancel what runs."""
        self._scope.cancel()

    async def run(self) -> None:
        """Run exchanges until cancelled."""
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
            'the exchange was given up',
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
