"""The floor: version of a zone's record that all members have settled at."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from dogwoodmast.peer_group import PeerGroup
    from dogwoodmast.zone_messages import RoundAck


@attrs.define
class Floors:
    """Greatest floors known to a coordinator; they never fall."""

    all: int = 0
    """Floor for every partition."""
    fenced: int = 0
    """Floor for partitions whose targets check fences."""

    def on_ack(self, ack: RoundAck) -> None:
        """Take in what a member has heard.

        :param ack: Its acknowledgement.
        """
        self.all = max(self.all, ack.floor)
        self.fenced = max(self.fenced, ack.fenced_floor)

    def update(
        self, peers: PeerGroup, now: float, longest_request: float
    ) -> bool:
        """Raise the floors to what the members have settled at.

        :param peers: The members.
        :param now: Current time.
        :param longest_request: Longest that a request may run, in seconds.
        :return: Whether a floor rose.
        """
        before = self.all, self.fenced
        self.all = max(self.all, peers.settled(now, longest_request))
        self.fenced = max(self.fenced, peers.settled(now, 0))
        return before != (self.all, self.fenced)
