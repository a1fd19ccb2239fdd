"""Low watermarks of the record versions at which a zone's members settled.

A member has settled at a version of the zone's record once none of its
requests runs, may still run or awaits handover under an assignment that this
version or an earlier one replaced.  The low watermark is the greatest version
at which all members are known to have settled: requests may be dispatched
under assignments with a fence up to it.  Messages and status reports call a
low watermark a floor.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from dogwoodmast.peer_group import PeerGroup
    from dogwoodmast.zone_messages import RoundAck


@attrs.define
class LowWatermarks:
    """Highest low watermarks known to a coordinator; they never decrease."""

    unfenced: int = 0
    """Low watermark for all targets, as a record version.  A silent member
    counts until the longest request that it may still run has ended."""
    fenced: int = 0
    """Low watermark for targets that check fences, as a record version.
    These reject requests of replaced assignments, so a silent member counts
    only until its leases have expired."""

    def on_ack(self, ack: RoundAck) -> None:
        """Raise the low watermarks to those that a member reports.

        The member may have received them from an earlier coordinator.

        :param ack: Acknowledgement of the member.
        """
        self.unfenced = max(self.unfenced, ack.floor)
        self.fenced = max(self.fenced, ack.fenced_floor)

    def update(
        self, peers: PeerGroup, now: float, longest_request: float
    ) -> bool:
        """Raise the low watermarks to what all members have settled at.

        :param peers: Members of the zone.
        :param now: Monotonic time in seconds.
        :param longest_request: Longest time that a request may run on a
            target that does not check fences, in seconds.
        :return: ``True`` if a low watermark increased.
        """
        before = self.unfenced, self.fenced
        self.unfenced = max(self.unfenced, peers.settled(now, longest_request))
        self.fenced = max(self.fenced, peers.settled(now, 0))
        return before != (self.unfenced, self.fenced)
