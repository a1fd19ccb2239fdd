"""Connection that carries frames between two entry VMs.

It is implemented as an asyncio protocol rather than on streams, whose tasks
and cancel scopes take more CPU time than a message itself.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any, Protocol

from dogwoodmast.errors import LinkLost, LinkUnavailable, MalformedFrame
from dogwoodmast.frames import (
    LENGTH_BYTES,
    Frame,
    unpack_frame,
    unpack_length,
)

if TYPE_CHECKING:
    from dogwoodmast.link_traffic import LinkTraffic

MAX_QUEUED_FRAMES = 8192
"""Capacity of a channel's send queue, in frames."""


class FrameReceiver(Protocol):
    """User of a channel."""

    def on_connected(self) -> None:
        """Start to use the channel."""

    def on_data(self) -> None:
        """Note that bytes have arrived, which may be part of a frame."""

    def on_frame(self, frame: Frame) -> None:
        """Handle a frame.

        :param frame: Frame whose payload is still encoded.
        :raises MalformedFrame: If the channel has to be closed.
        """

    def on_closed(self) -> None:
        """Note that the channel is closed; called at least once."""


class FrameChannel(asyncio.Protocol):
    """Channel of one connection, with a queue of frames to be sent."""

    def __init__(
        self, receiver: FrameReceiver, traffic: LinkTraffic, peer: str = ''
    ) -> None:
        """Create a channel that is not yet connected.

        :param receiver: User of the channel.
        :param traffic: Counters that the channel shares with others.
        :param peer: Address of the peer, for log lines and errors; by default
            that of the connection.
        """
        self._receiver = receiver
        self._traffic = traffic
        self._peer = peer
        self._loop = asyncio.get_running_loop()
        self._ended: asyncio.Future[None] = self._loop.create_future()
        self._transport: Any = None
        self._closed = False
        self._received = bytearray()
        self._needed = LENGTH_BYTES
        self._queued_frames: deque[bytes] = deque()
        self._unaccepted_size = 0
        self._is_paused = False

    @property
    def peer(self) -> str:
        """Address of the peer, for log lines and errors."""
        return self._peer

    @property
    def closed(self) -> bool:
        """Whether the channel was closed, by either side or an error."""
        return self._closed

    def send(self, kind: str, frame: bytes) -> None:
        """Append a frame to the send queue without waiting.

        :param kind: Class name of the message.
        :param frame: Encoded frame with its length.
        :raises LinkUnavailable: If the channel is closed or its queue is full;
            the frame is not sent.
        """
        if self._closed or len(self._queued_frames) >= MAX_QUEUED_FRAMES:
            raise LinkUnavailable(self._peer)
        if not self._queued_frames and not self._is_paused:
            # Frames that are sent in the same step share one write.
            self._loop.call_soon(self._flush)
        self._queued_frames.append(frame)
        self._traffic.on_queued(kind, len(frame))

    async def wait_ended(self) -> None:
        """Wait until the channel has ended.

        :raises LinkLost: If the connection was closed.
        :raises LinkUnavailable: If the send queue is full.
        :raises MalformedFrame: If the peer has sent something else than a
            frame, or the receiver has rejected a frame.
        :raises OSError: If the connection failed.
        """
        await self._ended

    def end(self, cause: Exception) -> None:
        """Close the channel for a cause that :meth:`wait_ended` raises.

        :param cause: Why the channel is closed, if it is not closed yet.
        """
        if not self._ended.done():
            self._ended.set_exception(cause)
        self.close()

    def close(self) -> None:
        """Close the connection at once and drop the frames in the queue."""
        self._closed = True
        self._on_accepted()
        while self._queued_frames:
            self._traffic.on_dequeued(len(self._queued_frames.popleft()))
        if self._transport is not None:
            self._transport.abort()
        self._receiver.on_closed()

    def connection_made(self, transport: Any) -> None:
        """Start to use a connection.

        :param transport: Transport of the new connection.
        """
        # The send queue holds what the socket does not accept.
        transport.set_write_buffer_limits(0)
        self._transport = transport
        self._peer = self._peer or str(transport.get_extra_info('peername'))
        self._receiver.on_connected()

    def data_received(self, data: bytes) -> None:
        """Pass complete frames to the receiver.

        :param data: Received bytes.
        """
        self._receiver.on_data()
        self._received.extend(data)
        if len(self._received) < self._needed:
            return
        try:
            self._read_frames()
        except (MalformedFrame, LinkUnavailable) as error:
            self.end(error)

    def eof_received(self) -> bool:
        """Handle the end of the data that the peer sends.

        :return: False, which closes the connection.
        """
        return False

    def pause_writing(self) -> None:
        """Hold frames back while the socket accepts no more bytes."""
        self._is_paused = True

    def resume_writing(self) -> None:
        """Send the frames that were held back."""
        self._is_paused = False
        self._on_accepted()
        self._flush()

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the channel.

        :param exc: Cause, or ``None`` if the connection was closed regularly.
        """
        self.end(exc or LinkLost(self._peer))

    def _flush(self) -> None:
        """Write the queued frames unless the socket accepts no more bytes."""
        if self._closed or self._is_paused or not self._queued_frames:
            return
        content = b''.join(self._queued_frames)
        self._queued_frames.clear()
        self._unaccepted_size += len(content)
        self._transport.write(content)
        # The transport has paused writing if the socket did not accept all.
        if not self._is_paused:
            self._on_accepted()

    def _on_accepted(self) -> None:
        """Count the bytes that the socket has accepted, or that are lost."""
        self._traffic.on_dequeued(self._unaccepted_size)
        self._unaccepted_size = 0

    def _read_frames(self) -> None:
        received = bytes(self._received)
        start = 0
        self._needed = LENGTH_BYTES
        while len(received) - start >= LENGTH_BYTES and not self._closed:
            body = start + LENGTH_BYTES
            end = body + unpack_length(received[start:body])
            if len(received) < end:
                self._needed = end - start
                break
            self._receiver.on_frame(unpack_frame(received[body:end]))
            start = end
        self._received = bytearray(received[start:])
