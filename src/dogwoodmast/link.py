"""Links between entry VMs: multiplexed calls over one TCP connection.

Messages are encoded with thrift.  Each call carries a positive correlation
number, and its reply carries the negated number.  A reply whose call is no
longer waiting is dropped.  Messages outside of calls carry zero.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import anyio

from dogwoodmast._wire import decode
from dogwoodmast.errors import (
    LinkError,
    LinkLost,
    LinkUnavailable,
    MalformedFrame,
)
from dogwoodmast.events import Event, log_event
from dogwoodmast.frame_channel import FrameChannel
from dogwoodmast.frames import (
    PROTOCOL_VERSION,
    CancelRequest,
    Hello,
    Ping,
    Pong,
    pack_frame,
)
from dogwoodmast.link_traffic import LinkTraffic
from dogwoodmast.message_handlers import LaterReply, MessageHandlers

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from dogwoodmast.frames import Frame

LIVENESS_CHECK_INTERVAL = 0.2
"""Time between two checks of a link's liveness while calls wait for replies, in
seconds.  Also the time without data from the peer after a call after which a
ping is sent."""
LIVENESS_TIMEOUT = 0.6
"""Time without data from the peer, after a call was made, after which the
link is closed, in seconds."""

MAX_REASON_LENGTH = 200
"""Greatest length of the reason that is logged for a defect, in characters."""

MessageHandler = Callable[['Link', object], Awaitable[object | None]]
"""Handler of a peer's message; its result is the reply, ``None`` for none."""


class Link:
    """Bidirectional link to one peer.

    Handlers of the peer's messages run in a task group outside of the link,
    so that they are not cancelled when the link is lost; the peer may
    repeat its call on another link.  Pings are sent only after calls without
    any response, so an idle link causes no traffic.
    """

    def __init__(
        self,
        on_message: MessageHandler,
        tasks: TaskGroup,
        traffic: LinkTraffic | None = None,
        peer: str = '',
    ) -> None:
        """Create a link that is not yet connected.

        :param on_message: Handler of the messages that are not replies.
        :param tasks: Task group that the handlers run in, and a task that
            closes the link when it is cancelled.
        :param traffic: Counters that the link shares with others.
        :param peer: Address of the peer, for log lines and errors; by default
            that of the connection.
        """
        self._on_message = on_message
        self._tasks = tasks
        self._traffic = traffic or LinkTraffic()
        self._channel = FrameChannel(self, self._traffic, peer)
        self._loop = asyncio.get_running_loop()
        self._calls: dict[int, asyncio.Future[Any]] = {}
        self._handler_scopes: dict[int, anyio.CancelScope] = {}
        self._call_numbers = itertools.count(1)
        # Also set after the caller has given up: a link must not stay in use
        # because every call on it is shorter than the liveness timeout.
        self._silent_since: float | None = None
        self._liveness_check: asyncio.TimerHandle | None = None
        self._hello: Hello | None = None

    @property
    def channel(self) -> FrameChannel:
        """Connection of the link, to be connected by its creator."""
        return self._channel

    @property
    def peer(self) -> str:
        """Address of the peer, for log lines and errors."""
        return self._channel.peer

    @property
    def closed(self) -> bool:
        """Whether the link was closed, by either side or an error."""
        return self._channel.closed

    @property
    def hello(self) -> Hello | None:
        """Hello message of the peer that opened the link.

        ``None`` until it arrives, and on the side that opened the link.
        """
        return self._hello

    def send(self, message: object, correlation: int = 0) -> None:
        """Append a message to the send queue without waiting.

        :param message: Registered wire message.
        :param correlation: Number of the call, negated in its reply; zero
            for messages outside of calls.
        :raises LinkUnavailable: If the link is closed or its queue is full;
            the message is not sent.
        """
        if self.closed:
            raise LinkUnavailable(self.peer)
        frame = pack_frame(message, correlation)
        self._channel.send(type(message).__name__, frame)

    async def call(self, message: object) -> object:
        """Send a message and wait for the peer's reply.

        If the caller is cancelled, the peer is asked to cancel its handler.

        :param message: Registered wire message.
        :return: Reply of the peer.
        :raises LinkUnavailable: If the message was not sent.
        :raises LinkLost: If the link was closed before the reply arrived.
        """
        number = next(self._call_numbers)
        self.send(message, number)
        self._await_life()
        call = self._loop.create_future()
        self._calls[number] = call
        try:
            reply: object = await call
        except anyio.get_cancelled_exc_class():
            with suppress(LinkUnavailable):
                self.send(CancelRequest(number))
            raise
        finally:
            self._calls.pop(number, None)
        if reply is None:
            raise LinkLost(self.peer)
        return reply

    async def aclose(self) -> None:
        """Close the connection; waiting calls raise LinkLost."""
        self._channel.close()

    def on_connected(self) -> None:
        """Start to use the connection."""
        self._tasks.start_soon(self._run)

    def on_data(self) -> None:
        """Note a sign of life of the peer.

        A long frame on a thin link is one before its end.
        """
        self._silent_since = self._loop.time() if self._calls else None

    def on_frame(self, frame: Frame) -> None:
        """Handle a frame.

        :param frame: Frame whose payload is still encoded.
        """
        self._traffic.on_received(frame.kind, len(frame.payload))
        message = decode(frame.kind, frame.payload)
        try:
            self._route(frame.correlation, message)
        except LinkError:
            raise
        except Exception as error:
            raise _make_defect(message, error) from error

    def on_closed(self) -> None:
        """End the calls that wait for a reply."""
        for call in self._calls.values():
            if not call.done():
                call.set_result(None)
        if self._liveness_check is not None:
            self._liveness_check.cancel()

    async def _run(self) -> None:
        """Wait until the link has ended, and close it.

        Lost connections and malformed frames are logged, not raised.
        """
        try:
            await self._channel.wait_ended()
        except MalformedFrame as error:
            log_event(Event.LINK_MALFORMED, peer=self.peer, reason=repr(error))
        except (OSError, LinkLost, LinkUnavailable) as error:
            log_event(Event.LINK_LOST, peer=self.peer, reason=repr(error))
        finally:
            self._channel.close()

    def _await_life(self) -> None:
        """Check the link's liveness until the peer has sent something."""
        if self._silent_since is None:
            self._silent_since = self._loop.time()
        if self._liveness_check is None:
            self._liveness_check = self._loop.call_later(
                LIVENESS_CHECK_INTERVAL, self._check_liveness
            )

    def _check_liveness(self) -> None:
        self._liveness_check = None
        if self._silent_since is None:
            return
        silence = self._loop.time() - self._silent_since
        if silence > LIVENESS_TIMEOUT:
            self._channel.end(LinkLost(self.peer))
            return
        if silence > LIVENESS_CHECK_INTERVAL:
            try:
                self.send(Ping(0))
            except LinkUnavailable as error:
                self._channel.end(error)
                return
        self._await_life()

    def _route(self, number: int, message: Any) -> None:
        match message:
            case Ping():
                self.send(Pong(message.nonce))
            case Pong():
                return
            case Hello():
                self._on_hello(message)
            case CancelRequest(cancelled):
                self._on_cancel(cancelled)
            case _ if number < 0:  # reply to a call of this side
                self._on_reply(-number, message)
            case _:
                self._serve(number, message)

    def _serve(self, number: int, message: object) -> None:
        """Reply to a message at once if its handler does not wait."""
        reply: object | None = LaterReply(self._on_message)
        if isinstance(self._on_message, MessageHandlers):
            reply = self._on_message.answer(self, message)
        match reply:
            case LaterReply(handler):
                self._tasks.start_soon(
                    self._serve_later, number, message, handler
                )
            case _:
                self._reply(number, reply)

    def _on_hello(self, hello: Hello) -> None:
        if hello.protocol != PROTOCOL_VERSION:
            raise MalformedFrame(
                f'unsupported protocol version {hello.protocol}'
            )
        self._hello = hello

    def _on_reply(self, number: int, message: object) -> None:
        call = self._calls.get(number)
        if call is not None and not call.done():
            call.set_result(message)

    def _on_cancel(self, number: int) -> None:
        scope = self._handler_scopes.get(number)
        if scope is not None:
            scope.cancel()

    async def _serve_later(
        self, number: int, message: object, handler: MessageHandler
    ) -> None:
        with anyio.CancelScope() as scope:
            self._handler_scopes[number] = scope
            try:
                self._reply(number, await _run_handler(handler, self, message))
            except MalformedFrame as error:
                log_event(
                    Event.LINK_MALFORMED, peer=self.peer, reason=error.message
                )
                await self.aclose()
            finally:
                self._handler_scopes.pop(number, None)

    def _reply(self, number: int, reply: object | None) -> None:
        if reply is not None:
            with suppress(LinkUnavailable):
                self.send(reply, -number)


async def _run_handler(
    handler: MessageHandler, link: Link, message: object
) -> object | None:
    """Run a handler; whatever it raises is a defect of the message."""
    try:
        return await handler(link, message)
    except LinkError:
        raise
    except Exception as error:
        raise _make_defect(message, error) from error


def _make_defect(message: object, error: Exception) -> MalformedFrame:
    return MalformedFrame(
        f'{type(message).__name__}: cannot be handled: {error!r}'[
            :MAX_REASON_LENGTH
        ]
    )
