"""Messages of the zone protocol between the entry VMs of one zone.

The class and field names are those of ``idl/ownership.thrift``.  A floor in
a message is a low watermark, see :mod:`dogwoodmast.low_watermark`.
"""

from __future__ import annotations

import attrs

from dogwoodmast._wire import wire_message
from dogwoodmast.zone_protocol import CoordinatorEpoch

_message = wire_message('ownership')


@_message
@attrs.frozen
class TargetLease:
    """Target planned for a member, with the state of its lease."""

    target: str
    """Name of the target."""
    granted: bool
    """Whether the member is granted the dispatch lease of the target."""


@_message
@attrs.frozen
class LeaseRound:
    """Periodic message of a coordinator to one member.

    It renews the member's leases and distributes the low watermarks.
    """

    term: int
    """Term of the sender's epoch."""
    rank: int
    """Rank of the sender's epoch."""
    member: int
    """Member number of the sender."""
    receiver: int
    """Member number of the receiver."""
    members_version: int
    """Version of the sender's member list."""
    number: int
    """Number of the round, counted per receiver and epoch."""
    renews: int
    """Number of the acknowledgement from whose sending the dispatch leases
    are counted; zero if they are not renewed."""
    record_version: int
    """Version of the zone's record known to the sender."""
    holders: int
    """Number of the sender's holder table; zero if it has none yet."""
    floor: int
    """Low watermark for all targets: the record version at which all members
    have settled."""
    fenced_floor: int
    """Low watermark for targets that check fences, as a record version."""
    sequence: int
    """Sequence number of the receiver's set of targets; zero leaves its
    targets and leases unchanged."""
    full: bool
    """Whether the receiver is to report the targets that it holds."""
    targets: tuple[TargetLease, ...] = ()
    """Complete set of targets; empty if the receiver has acknowledged
    it."""

    @property
    def epoch(self) -> CoordinatorEpoch:
        """Epoch of the coordinator that sent the round."""
        return CoordinatorEpoch(self.term, self.rank, self.member)


@_message
@attrs.frozen
class RoundAck:
    """Acknowledgement of a lease round by a member."""

    number: int
    """Number of the answered round."""
    record_version: int
    """Version of the zone's record known to the member."""
    settled: int
    """Record version at which the member has settled: none of its requests
    runs, may still run or awaits handover under an assignment that this
    version or an earlier one replaced."""
    floor: int
    """Highest low watermark for all targets that the member has received."""
    fenced_floor: int
    """Highest low watermark for targets that check fences that the member
    has received."""
    sequence: int
    """Sequence number of the set of targets that the member applies."""
    lease_left: int
    """Remaining time of the member's leases, in milliseconds, rounded
    down."""
    leaving: bool
    """Whether the member asks to leave the zone."""
    held: tuple[str, ...] = ()
    """Targets whose leases are valid; empty unless the round asked for a full
    report."""
    busy: tuple[str, ...] = ()
    """Targets no longer in the set that the member has not released yet."""

    def has_same_state(self, earlier: RoundAck) -> bool:
        """Tell whether an earlier acknowledgement reported the same state.

        :param earlier: Earlier acknowledgement of the same member.
        :return: ``True`` if they differ at most in round number and
            remaining lease time.
        """
        same = attrs.evolve(
            earlier, number=self.number, lease_left=self.lease_left
        )
        return same == self


@_message
@attrs.frozen
class RoundRefusal:
    """Refusal of a lease round whose epoch is too low or whose member list is
    older than the member's."""

    number: int
    """Number of the answered round."""
    term: int
    """Term of the highest epoch that the member has acknowledged."""
    rank: int
    """Rank of the highest epoch that the member has acknowledged."""
    member: int
    """Coordinator's member number of that epoch."""
    record_version: int
    """Version of the zone's record known to the member."""

    @property
    def epoch(self) -> CoordinatorEpoch:
        """Highest epoch that the member has acknowledged."""
        return CoordinatorEpoch(self.term, self.rank, self.member)


@_message
@attrs.frozen
class TakeoverProbe:
    """Question of a takeover candidate whether a member has lost its
    coordinator too."""

    member: int
    """Member number of the sender."""
    members_version: int
    """Version of the sender's member list."""
    receiver: int
    """Member number of the receiver."""


@_message
@attrs.frozen
class ProbeAnswer:
    """Vote of a member on a takeover."""

    lost: bool
    """Whether the member has lost its coordinator and votes for the
    takeover."""
    term: int
    """Term of the highest epoch that the member has acknowledged."""
    rank: int
    """Rank of the highest epoch that the member has acknowledged."""
    member: int
    """Coordinator's member number of that epoch."""
    record_version: int
    """Version of the zone's record known to the member."""

    @property
    def epoch(self) -> CoordinatorEpoch:
        """Highest epoch that the member has acknowledged."""
        return CoordinatorEpoch(self.term, self.rank, self.member)


@_message
@attrs.frozen
class RoleOffer:
    """Offer of the coordinator role by a coordinator that is leaving."""

    term: int
    """Term of the sender's epoch."""
    rank: int
    """Rank of the sender's epoch."""
    member: int
    """Member number of the sender."""
    receiver: int
    """Member number of the receiver."""


@_message
@attrs.frozen
class WrongReceiver:
    """Answer to a message addressed to another process.

    It tells the sender the incarnation that runs at the address.
    """

    vm: str
    """Name of the answering entry VM."""
    incarnation: str
    """Incarnation of the process on that entry VM."""


@_message
@attrs.frozen
class RoleTaken:
    """Answer to an offer of the coordinator role."""

    taken: bool
    """Whether the receiver of the offer accepts the role."""


@_message
@attrs.frozen
class JoinRequest:
    """Request of a process to be added to the zone's member list."""

    vm: str
    """Name of the requesting entry VM."""
    incarnation: str
    """Incarnation of the process on that entry VM."""
    address: str
    """Link address of that entry VM."""


@_message
@attrs.frozen
class JoinAnswer:
    """Answer to a join request."""

    vm: str
    """Name of the answering entry VM."""
    incarnation: str
    """Incarnation of the process on that entry VM."""
    accepted: bool
    """Whether the answering entry VM is the coordinator, which adds
    members."""
    coordinator: str
    """Link address of the coordinator; empty if it is not known."""


@_message
@attrs.frozen
class ReportLoad:
    """Report of load and target health to the coordinator."""

    report: bytes
    """Load report as a JSON document."""


@_message
@attrs.frozen
class ReportTaken:
    """Answer to a load report."""

    taken: bool
    """Whether the receiver of the report is the coordinator."""
