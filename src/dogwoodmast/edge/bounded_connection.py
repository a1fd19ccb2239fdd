"""Connection of a client, bounded in what it sends."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
from uvicorn.config import Config

from dogwoodmast.edge.connection_limits import ConnectionLimits
from dogwoodmast.edge.message_meter import MessageMeter, Stage
from dogwoodmast.plain_connection import PlainConnection

if TYPE_CHECKING:
    from dogwoodmast.edge.connection_phase import EndReason


@attrs.define(eq=False)
class ServerEdge:
    """What all connections of one server have in common."""

    limits: ConnectionLimits = attrs.field(factory=ConnectionLimits)
    """Limits on each connection."""


class EdgeConfig(Config):
    """Configuration of a server whose connections are bounded."""

    edge: ServerEdge


class BoundedConnection(PlainConnection):
    """Connection that refuses what exceeds its limits."""

    def __init__(self, *configuration: Any, **options: Any) -> None:
        """Create the protocol of a connection that is not made yet.

        :param configuration: Arguments of uvicorn's protocol.
        :param options: Keyword arguments of uvicorn's protocol.
        """
        super().__init__(*configuration, **options)
        assert isinstance(self.config, EdgeConfig)
        self._edge = self.config.edge
        self._meter = MessageMeter()

    def data_received(self, chunk: bytes) -> None:
        """Parse requests, and refuse them if they exceed a limit.

        :param chunk: Bytes that were read.
        """
        meter = self._meter
        meter.unreported += len(chunk)
        super().data_received(chunk)
        if not meter.unreported or not self._takes_more():
            return
        if meter.stage is Stage.HEAD:
            meter.on_headers(self.headers)
        excess = meter.excess(self._edge.limits)
        if excess is not None:
            self.refuse(excess)

    def on_message_begin(self) -> None:
        """Begin a request."""
        super().on_message_begin()
        if not self._is_head_repeated:
            self._meter.on_begin()

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
            self._meter.on_head_end()
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Add to the body of a request.

        :param body: Part of the body.
        """
        self._meter.on_body()
        super().on_body(body)

    def on_request_end(self) -> None:
        """End a request that has been read whole."""
        self._meter.on_end()

    def end(self, _reason: EndReason) -> None:
        """End the connection.

        :param _reason: Why it is ended.
        """
        self.transport.close()

    def refuse(self, reason: EndReason) -> None:
        """Refuse the request that is being read, and end the connection.

        :param reason: Why it is refused.
        """
        self.end(reason)

    def _takes_more(self) -> bool:
        """Tell whether requests are still parsed."""
        return not self.transport.is_closing()
