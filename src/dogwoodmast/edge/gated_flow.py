"""Flow control of a connection that parses what it has read bit by bit."""

from __future__ import annotations

from typing import Any, Protocol

from uvicorn.protocols.http.flow_control import FlowControl

from dogwoodmast.edge.hang_up import has_hung_up


class ReadGate(Protocol):
    """Connection that tells how far it takes what is read."""

    def parse_pending(self) -> None:
        """Parse what has been read, as far as the connection takes it."""

    def may_read(self) -> bool:
        """Tell whether the connection takes more.

        :return: Whether all that was read is parsed, and few requests wait.
        """


class GatedFlow(FlowControl):
    """Flow control that reads as long as the connection takes more.

    Only while bytes are read does the end of the connection show.
    """

    def __init__(self, transport: Any, gate: ReadGate) -> None:
        """Create the flow control of a connection.

        :param transport: Transport of the connection.
        :param gate: Connection.
        """
        super().__init__(transport)
        self._gate = gate

    def pause_reading(self) -> None:
        """Read no more, unless the connection takes more."""
        if not self._gate.may_read():
            super().pause_reading()

    def resume_reading(self) -> None:
        """Parse what has been read, and read on if the connection takes it."""
        if not self.read_paused:
            return
        self._gate.parse_pending()
        if self._gate.may_read():
            super().resume_reading()

    def has_hung_up(self) -> bool:
        """Tell whether the other side has left while no bytes are read.

        :return: Whether it has; the end does not show by itself then.
        """
        return self.read_paused and has_hung_up(self._transport)
