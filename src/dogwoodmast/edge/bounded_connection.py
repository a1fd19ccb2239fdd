"""Connection of a client, bounded in what it sends, keeps and waits for.

Bytes are passed to the parser in small pieces, so that one read makes only a
few requests; the rest of it waits, and reading is paused, until these are
served.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

import attrs
from uvicorn.config import Config
from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT

from dogwoodmast.edge.connection_limits import ConnectionLimits
from dogwoodmast.edge.connection_phase import (
    EndReason,
    Unread,
    time_limit,
)
from dogwoodmast.edge.connection_table import (
    UNCOUNTED_BYTES,
    ConnectionTable,
)
from dogwoodmast.edge.connection_times import ConnectionTimes
from dogwoodmast.edge.gated_flow import GatedFlow
from dogwoodmast.edge.message_meter import (
    HEAD_PIECE_BYTES,
    MessageMeter,
    Stage,
)
from dogwoodmast.plain_connection import Buffer, PlainConnection

if TYPE_CHECKING:
    from collections.abc import Iterable

    from uvicorn.protocols.http.httptools_impl import RequestResponseCycle


STEP_BYTES = 16_384
"""Bytes that one connection parses in a step of the event loop."""
_DROPPING_REASONS = frozenset(
    (EndReason.MEMORY, EndReason.STALLED, EndReason.CONNECTIONS)
)
"""Reasons for which bytes that a client has not read are dropped."""


@attrs.define(eq=False)
class ServerEdge:
    """What all connections of one server have in common."""

    table: ConnectionTable
    """Open connections of the process."""
    limits: ConnectionLimits = attrs.field(factory=ConnectionLimits)
    """Limits on each connection."""


class EdgeConfig(Config):
    """Configuration of a server whose connections are bounded."""

    edge: ServerEdge


class BoundedConnection(PlainConnection):
    """Connection that ends or refuses what exceeds its limits."""

    @property
    def is_served(self) -> bool:
        """Whether a request is served, or waits for that."""
        running = self._running
        return bool(self.pipeline) or not (
            running is None or running.response_complete
        )

    def __init__(self, *configuration: Any, **options: Any) -> None:
        """Create the protocol of a connection that is not made yet.

        :param configuration: Arguments of uvicorn's protocol.
        :param options: Keyword arguments of uvicorn's protocol.
        """
        super().__init__(*configuration, **options)
        assert isinstance(self.config, EdgeConfig)
        self._edge = self.config.edge
        self._meter = MessageMeter()
        self._pending = memoryview(b'')
        # Request that is served, or was served last.
        self._running: RequestResponseCycle | None = None
        # Memory of each request that is parsed and whose response is not sent.
        self._request_memory: deque[int] = deque()
        self._times = ConnectionTimes(self.loop.time())
        # Whether a response has ended and no other request is chosen yet.
        self._is_between_requests = False
        # Whether the client had yet to take bytes at the latest check.
        self._had_unsent = False
        # Whether the table counts what the connection holds.
        self._is_counted = False

    def connection_made(self, transport: Any) -> None:
        """Start to serve a connection.

        :param transport: Transport of the connection.
        """
        super().connection_made(transport)
        self.flow: GatedFlow = GatedFlow(transport, self)
        self._edge.table.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """End what the connection has begun, and drop what it has queued.

        :param exc: Error that ended the connection, if any.
        """
        self._edge.table.remove(self)
        self.pipeline.clear()
        self._pending = memoryview(b'')
        running = self._running
        if running is not None and not running.response_complete:
            running.disconnected = True
            running.message_event.set()
        super().connection_lost(exc)

    def data_received(self, chunk: bytes) -> None:
        """Parse requests, as far as the connection takes them.

        :param chunk: Bytes that were read.
        """
        self._times.read_at = self.loop.time()
        self._unset_keepalive_if_required()
        if self._pending or self.pipeline or len(chunk) > HEAD_PIECE_BYTES:
            self._pending = memoryview(b''.join((self._pending, chunk)))
            self.parse_pending()
            self.flow.pause_reading()
        else:
            self._parse_piece(chunk)
        self._update_memory()

    def on_message_begin(self) -> None:
        """Begin a request."""
        super().on_message_begin()
        if not self._is_head_repeated:
            self._meter.on_begin()
            self._times.on_head_bytes()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header of a request; trailers are dropped.

        :param name: Name.
        :param value: Value.
        """
        if self._meter.stage is Stage.HEAD:
            super().on_header(name, value)
        elif not self._is_head_repeated:
            self._meter.on_field(name, value)

    def on_headers_complete(self) -> None:
        """Start to serve a request, or queue it."""
        if not self._is_head_repeated:
            self._request_memory.append(
                self._meter.request_memory(len(self.headers))
            )
            self._meter.on_head_end()
            self._times.head_since = None
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Add to the body of a request.

        :param body: Part of the body.
        """
        self._meter.on_body(len(body))
        super().on_body(body)

    def on_request_end(self) -> None:
        """End a request that has been read whole."""
        self._meter.on_end()

    def on_response_complete(self) -> None:
        """Start the next request that was read."""
        if self._request_memory:
            self._request_memory.popleft()
        self._times.on_response(self.loop.time())
        if self._takes_more() and self.flow.has_hung_up():
            self.transport.abort()
        # A request that is parsed here would start beside the one that waits.
        self._is_between_requests = True
        super().on_response_complete()
        self._is_between_requests = False
        self.flow.resume_reading()
        if not self.is_served:
            self._edge.table.on_waiting(self)
        self._update_memory()

    def resume_writing(self) -> None:
        """Go on to send, since the client has read what was sent."""
        super().resume_writing()
        self._update_memory()

    def check_time(self, now: float) -> None:
        """End the connection if it has exceeded a time limit.

        :param now: Monotonic time of the event loop, in seconds.
        """
        if self._takes_more() and self.flow.has_hung_up():
            self.transport.abort()
            return
        self._had_unsent = self.has_unsent
        self._update_memory()
        times = self._times
        times.check_unread(
            now,
            self.transport.written,  # type: ignore[attr-defined]
            self.transport.get_write_buffer_size(),
        )
        stage = self._meter.stage
        phase = times.phase(
            stage,
            is_served=self.is_served,
            is_paused=self.flow.read_paused or _is_whole(self._running),
        )
        limit = time_limit(phase, self._edge.limits)
        is_unread = isinstance(phase, Unread)
        if now < limit.ends_at or self.transport.is_closing() > is_unread:
            return
        if limit.reason is EndReason.IDLE_TIME:
            self.timeout_keep_alive_handler()
            return
        self._edge.table.count(limit.reason)
        if stage is Stage.HEAD and not is_unread:
            self.refuse(limit.reason)
        else:
            self.end(limit.reason)

    def end(self, reason: EndReason) -> None:
        """End the connection.

        :param reason: Why it is ended.
        """
        self._pending = memoryview(b'')
        if reason in _DROPPING_REASONS:
            self.transport.abort()
        else:
            self.transport.close()

    def parse_pending(self) -> None:
        """Parse what has been read, as far as the connection takes it.

        The rest is parsed in later steps of the event loop if it is long.
        """
        until = len(self._pending) - STEP_BYTES
        while self._pending and self._takes_more() and not self._is_full():
            if len(self._pending) <= until:
                self.loop.call_soon(self.flow.resume_reading)
                return
            size = self._meter.piece_size(len(self._pending), self.headers)
            piece = self._pending[:size]
            self._pending = self._pending[size:]
            self._parse_piece(piece)
        if not self._takes_more():
            self._pending = memoryview(b'')

    def may_read(self) -> bool:
        """Tell whether the connection takes more.

        :return: Whether all that was read is parsed, and few requests wait.
        """
        has_room = not self._pending and not self._is_full()
        return has_room and self._takes_more()

    def refuse(self, reason: EndReason) -> None:
        """Refuse the request that is being read, and end the connection.

        :param reason: Why it is refused.
        """
        self.end(reason)

    def _takes_more(self) -> bool:
        """Tell whether requests are still parsed."""
        return not self.transport.is_closing()

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        # It may have been parsed after the timer was set.
        self._unset_keepalive_if_required()
        self._running = cycle
        self._edge.table.on_served(self)
        super()._start_asgi_task(cycle, app)

    def _parse_piece(self, piece: Buffer) -> None:
        """Parse a few bytes, and refuse them if they exceed a limit.

        :param piece: Bytes that hold the heads of few requests.
        """
        meter = self._meter
        if meter.stage is Stage.BODY:
            meter.on_body_bytes(len(piece), is_discarded=not self.is_served)
        else:
            meter.unreported += len(piece)
            self._times.on_head_bytes()
        self.parse_requests(piece)
        has_open_part = meter.unreported or meter.discarded
        if not has_open_part or not self._takes_more():
            return
        if meter.stage is Stage.HEAD:
            meter.on_headers(self.headers)
        excess = meter.excess(self._edge.limits)
        if excess is not None:
            self._edge.table.count(excess)
            self.refuse(excess)

    def _is_full(self) -> bool:
        """Tell whether as much has been parsed as may wait."""
        if self._is_between_requests:
            return True
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            return False
        if len(cycle.body) > HIGH_WATER_LIMIT:
            return True
        limits = self._edge.limits
        return (
            len(self.pipeline) >= limits.requests_ahead
            or _queued_bytes(self.pipeline) > limits.bytes_ahead
        )

    def _update_memory(self) -> None:
        """Record what the connection holds.

        Bodies of the request that is served and of its response are counted
        where they are served.
        """
        held = sum(self._request_memory)
        if self._pending or self._meter.unreported:
            held += len(self._pending) + self._meter.memory
        if self.pipeline:
            held += _queued_bytes(self.pipeline)
        is_unread = self.flow.write_paused or self._had_unsent
        if is_unread and not self.is_served:
            held += self.transport.get_write_buffer_size()
        if held > UNCOUNTED_BYTES or self._is_counted:
            self._is_counted = held > UNCOUNTED_BYTES
            self._edge.table.hold(self, held)


def _queued_bytes(pipeline: Iterable[tuple[RequestResponseCycle, Any]]) -> int:
    return sum(len(queued.body) for queued, _app in pipeline)


def _is_whole(request: RequestResponseCycle | None) -> bool:
    """Tell whether a request was read whole; one behind it may not be."""
    return request is None or not request.more_body
