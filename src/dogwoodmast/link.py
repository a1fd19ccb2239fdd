"""Links between entry VMs: multiplexed calls over one TCP connection.

Messages are encoded with thrift.  Each call carries a positive correlation
number, and its reply carries the negated number.  A reply whose call is no
longer waiting is dropped.  Messages outside of calls carry zero.
"""

from __future__ import annotations

import itertools
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import anyio
import attrs
from anyio.streams.buffered import BufferedByteReceiveStream

from dogwoodmast._wire import decode
from dogwoodmast.errors import LinkLost, LinkUnavailable, MalformedFrame
from dogwoodmast.events import Event, log_event
from dogwoodmast.frames import (
    LENGTH_BYTES,
    PROTOCOL_VERSION,
    CancelRequest,
    Frame,
    Hello,
    Ping,
    Pong,
    pack_frame,
    unpack_frame,
    unpack_length,
)
from dogwoodmast.link_traffic import LinkTraffic

if TYPE_CHECKING:
    from anyio.abc import ByteStream, TaskGroup

LIVENESS_CHECK_INTERVAL = 0.2
"""Time between two checks of a link's liveness, in seconds.  Also the time
without data from the peer after a call after which a ping is sent."""
LIVENESS_TIMEOUT = 0.6
"""Time without data from the peer, after a call was made, after which the
link is closed, in seconds."""
MAX_QUEUED_FRAMES = 8192
"""Capacity of a link's send queue, in frames."""

_CONNECTION_FAILURES = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    LinkLost,
    LinkUnavailable,
)

MessageHandler = Callable[['Link', object], Awaitable[object | None]]
"""Handler of a peer's message; its result is the reply, ``None`` for none."""


@attrs.define(eq=False)
class _PendingCall:
    done: anyio.Event = attrs.field(factory=anyio.Event)
    reply: object | None = None


class Link:
    """Bidirectional link to one peer.

    Handlers of the peer's messages run in a task group outside of the link,
    so that they are not cancelled when the link is lost; the peer may
    repeat its call on another link.  Pings are sent only after calls without
    any response, so an idle link causes no traffic.
    """

    def __init__(
        self,
        stream: ByteStream,
        peer: str,
        on_message: MessageHandler,
        handler_tasks: TaskGroup,
        traffic: LinkTraffic | None = None,
    ) -> None:
        """Create a link; :meth:`run` has to be started before it is used.

        :param stream: Connected stream; the link closes it.
        :param peer: Address of the peer, for log lines and errors.
        :param on_message: Handler of the messages that are not replies.
        :param handler_tasks: Task group that the handlers run in.
        :param traffic: Counters that the link shares with others.
        """
        self._stream = stream
        self._reader = BufferedByteReceiveStream(stream)
        self._peer = peer
        self._on_message = on_message
        self._handler_tasks = handler_tasks
        self._traffic = traffic or LinkTraffic()
        self._calls: dict[int, _PendingCall] = {}
        self._handler_scopes: dict[int, anyio.CancelScope] = {}
        self._call_numbers = itertools.count(1)
        self._closed = False
        # Also set after the caller has given up: a link must not stay in use
        # because every call on it is shorter than the liveness timeout.
        self._silent_since: float | None = None
        sender, receiver = anyio.create_memory_object_stream[bytes](
            MAX_QUEUED_FRAMES
        )
        self._send_queue = sender
        self._queued_frames = receiver
        self._hello: Hello | None = None

    @property
    def peer(self) -> str:
        """Address of the peer, for log lines and errors."""
        return self._peer

    @property
    def closed(self) -> bool:
        """Whether the link was closed, by either side or an error."""
        return self._closed

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
        if self._closed:
            raise LinkUnavailable(self._peer)
        try:
            frame = pack_frame(message, correlation)
            self._send_queue.send_nowait(frame)
        except anyio.WouldBlock:
            raise LinkUnavailable(self._peer) from None
        self._traffic.on_queued(type(message).__name__, len(frame))

    async def call(self, message: object) -> object:
        """Send a message and wait for the peer's reply.

        If the caller is cancelled, the peer is asked to cancel its handler.

        :param message: Registered wire message.
        :return: Reply of the peer.
        :raises LinkUnavailable: If the message was not sent.
        :raises LinkLost: If the link was closed before the reply arrived.
        """
        number = next(self._call_numbers)
        call = _PendingCall()
        self.send(message, number)
        if self._silent_since is None:
            self._silent_since = anyio.current_time()
        self._calls[number] = call
        try:
            await call.done.wait()
        except anyio.get_cancelled_exc_class():
            self._send_cancel(number)
            raise
        finally:
            self._calls.pop(number, None)
        if call.reply is None:
            raise LinkLost(self._peer)
        return call.reply

    async def run(self) -> None:
        """Read and write frames until the link is closed.

        Lost connections and malformed frames are logged, not raised.
        """
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write)
                tasks.start_soon(self._watch_liveness)
                await self._read()
        except* MalformedFrame as group:
            log_event(Event.LINK_MALFORMED, peer=self._peer, reason=repr(group))
        except* _CONNECTION_FAILURES as group:
            log_event(Event.LINK_LOST, peer=self._peer, reason=repr(group))
        finally:
            await self.aclose()

    async def aclose(self) -> None:
        """Close the connection; waiting calls raise LinkLost."""
        self._closed = True
        self._send_queue.close()
        self._drop_queued()
        for call in self._calls.values():
            call.done.set()
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)

    def _drop_queued(self) -> None:
        while self._queued_frames.statistics().current_buffer_used:
            dropped = self._queued_frames.receive_nowait()
            self._traffic.on_dequeued(len(dropped))

    def _send_cancel(self, number: int) -> None:
        with suppress(LinkUnavailable):
            self.send(CancelRequest(number))

    async def _write(self) -> None:
        """Send queued frames; those that wait together share one write."""
        async for first in self._queued_frames:
            waiting = self._queued_frames.statistics().current_buffer_used
            rest = [
                self._queued_frames.receive_nowait() for _ in range(waiting)
            ]
            content = b''.join((first, *rest))
            try:
                await self._stream.send(content)
            finally:
                self._traffic.on_dequeued(len(content))

    async def _watch_liveness(self) -> None:
        while True:
            await anyio.sleep(LIVENESS_CHECK_INTERVAL)
            if self._silent_since is not None:
                self._check_liveness(anyio.current_time() - self._silent_since)

    def _check_liveness(self, silence: float) -> None:
        if silence > LIVENESS_TIMEOUT:
            raise LinkLost(self._peer)
        if silence > LIVENESS_CHECK_INTERVAL:
            self.send(Ping(0))

    async def _read(self) -> None:
        while not self._closed:
            frame = await self._read_frame()
            self._note_life()
            self._traffic.on_received(frame.kind, len(frame.payload))
            message = decode(frame.kind, frame.payload)
            self._route(frame.correlation, message)

    async def _read_frame(self) -> Frame:
        prefix = await self._reader.receive_exactly(LENGTH_BYTES)
        remaining = unpack_length(prefix)
        chunks = []
        while remaining:
            chunk = await self._reader.receive(remaining)
            # A long frame on a thin link is a sign of life before its end.
            self._note_life()
            chunks.append(chunk)
            remaining -= len(chunk)
        return unpack_frame(b''.join(chunks))

    def _note_life(self) -> None:
        now = anyio.current_time()
        self._silent_since = now if self._calls else None

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
                self._handler_tasks.start_soon(
                    self._serve_message, number, message
                )

    def _on_hello(self, hello: Hello) -> None:
        if hello.protocol != PROTOCOL_VERSION:
            raise MalformedFrame(
                f'unsupported protocol version {hello.protocol}'
            )
        self._hello = hello

    def _on_reply(self, number: int, message: object) -> None:
        call = self._calls.get(number)
        if call is not None:
            call.reply = message
            call.done.set()

    def _on_cancel(self, number: int) -> None:
        scope = self._handler_scopes.get(number)
        if scope is not None:
            scope.cancel()

    async def _serve_message(self, number: int, message: object) -> None:
        with anyio.CancelScope() as scope:
            self._handler_scopes[number] = scope
            try:
                await self._run_handler(number, message)
            except MalformedFrame as error:
                log_event(
                    Event.LINK_MALFORMED, peer=self._peer, reason=error.message
                )
                await self.aclose()
            finally:
                self._handler_scopes.pop(number, None)

    async def _run_handler(self, number: int, message: object) -> None:
        reply = await self._on_message(self, message)
        if reply is not None:
            with suppress(LinkUnavailable):
                self.send(reply, -number)
