"""Bytes that the links of a process carry, by class of message."""

from __future__ import annotations

from collections import Counter

import attrs


@attrs.define
class LinkTraffic:
    """Counters that all links of a process share."""

    sent: Counter[str] = attrs.field(factory=Counter)
    """Bytes queued for sending so far, by class of message."""
    received: Counter[str] = attrs.field(factory=Counter)
    """Bytes received so far, by class of message."""
    backlog: int = 0
    """Bytes that are queued and that the network has not accepted yet."""

    def on_queued(self, kind: str, size: int) -> None:
        """Count a frame that was queued for sending.

        :param kind: Class name of the message.
        :param size: Size of the frame, in bytes.
        """
        self.sent[kind] += size
        self.backlog += size

    def on_dequeued(self, size: int) -> None:
        """Count frames that were sent, or dropped with their link.

        :param size: Size of the frames, in bytes.
        """
        self.backlog -= size

    def on_received(self, kind: str, size: int) -> None:
        """Count a frame that arrived.

        :param kind: Class name of the message.
        :param size: Size of the message, in bytes.
        """
        self.received[kind] += size
