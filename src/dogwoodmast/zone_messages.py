"""Messages between the entry VMs of one zone."""

from __future__ import annotations

import attrs

from dogwoodmast._wire import wire_message
from dogwoodmast.zone_protocol import CoordinatorEpoch

_message = wire_message('ownership')


@_message
@attrs.frozen
class TargetLease:
    """A target that a member is to front."""

    target: str
    """Name of the target."""
    granted: bool
    """Whether its dispatch lease is granted."""


@_message
@attrs.frozen
class LeaseRound:
    """Regular message of a coordinator to one member."""

    term: int
    """Term of the sender's epoch."""
    rank: int
    """Rank of the sender's epoch."""
    member: int
    """Number of the sender."""
    receiver: int
    """Number of the member that it is meant for."""
    members_version: int
    """Version of the member list that the sender acts under."""
    number: int
    """Number of the round, counted per member."""
    renews: int
    """Number of the acknowledgement that the dispatch leases count from;
    zero if none is granted."""
    record_version: int
    """Version of the zone's record that the sender knows."""
    holders: int
    """Number of the sender's holder table."""
    floor: int
    """Version that all members have settled at."""
    fenced_floor: int
    """The same for partitions whose targets check fences."""
    sequence: int
    """Number of the member's set of targets; zero if it is left as it is."""
    full: bool
    """Whether the member is to report all that it holds."""
    targets: tuple[TargetLease, ...] = ()
    """Whole set of targets, unless the member has acknowledged it."""

    @property
    def epoch(self) -> CoordinatorEpoch:
        """Authority that the round is sent under."""
        return CoordinatorEpoch(self.term, self.rank, self.member)


@_message
@attrs.frozen
class RoundAck:
    """Acknowledgement of a round."""

    number: int
    """Number of the round."""
    record_version: int
    """Version of the zone's record that the member knows."""
    settled: int
    """Version that the member has settled at."""
    floor: int
    """Greatest floor that the member has heard."""
    fenced_floor: int
    """Greatest floor for targets that check fences."""
    sequence: int
    """Number of the set of targets that is in force."""
    lease_left: int
    """Time that the member's leases still stand for, in milliseconds."""
    leaving: bool
    """Whether the member wants to leave the zone."""
    held: tuple[str, ...] = ()
    """Targets whose leases stand, if a full report was asked for."""
    busy: tuple[str, ...] = ()
    """Targets outside of the set that have not been released yet."""

    def repeats(self, earlier: RoundAck) -> bool:
        """Tell whether it reports what an earlier one did.

        :param earlier: The earlier acknowledgement.
        :return: ``True`` if only its number and time differ.
        """
        same = attrs.evolve(
            earlier, number=self.number, lease_left=self.lease_left
        )
        return same == self


@_message
@attrs.frozen
class RoundRefusal:
    """Refusal of a round that is sent under too low an epoch."""

    number: int
    """Number of the round."""
    term: int
    """Term of the highest epoch seen."""
    rank: int
    """Rank of the highest epoch seen."""
    member: int
    """Member of the highest epoch seen."""
    record_version: int
    """Version of the zone's record that the member knows."""

    @property
    def epoch(self) -> CoordinatorEpoch:
        """Highest epoch that the member has seen."""
        return CoordinatorEpoch(self.term, self.rank, self.member)


@_message
@attrs.frozen
class TakeoverProbe:
    """Ask whether a member has lost its coordinator too."""

    member: int
    """Number of the sender."""
    members_version: int
    """Version of the member list that the sender knows."""
    receiver: int
    """Number of the member that it is meant for."""


@_message
@attrs.frozen
class ProbeAnswer:
    """Answer to a probe."""

    lost: bool
    """Whether the member would follow another coordinator."""
    term: int
    """Term of the highest epoch seen."""
    rank: int
    """Rank of the highest epoch seen."""
    member: int
    """Member of the highest epoch seen."""
    record_version: int
    """Version of the zone's record that the member knows."""

    @property
    def epoch(self) -> CoordinatorEpoch:
        """Highest epoch that the member has seen."""
        return CoordinatorEpoch(self.term, self.rank, self.member)


@_message
@attrs.frozen
class RoleOffer:
    """Offer of the coordinator's role by one that leaves."""

    term: int
    """Term of the sender's epoch."""
    rank: int
    """Rank of the sender's epoch."""
    member: int
    """Number of the sender."""
    receiver: int
    """Number of the member that it is meant for."""


@_message
@attrs.frozen
class WrongReceiver:
    """Answer to a message that was meant for another process."""

    vm: str
    """Name of the entry VM that answers."""
    incarnation: str
    """Identity of the run of its process."""


@_message
@attrs.frozen
class RoleTaken:
    """Answer to the offer of the coordinator's role."""

    taken: bool
    """Whether the receiver takes over."""


@_message
@attrs.frozen
class JoinRequest:
    """Ask to be listed as a member of the zone."""

    vm: str
    """Name of the entry VM."""
    incarnation: str
    """Identity of the run of its process."""
    address: str
    """Address of its links."""


@_message
@attrs.frozen
class JoinAnswer:
    """Answer to a request to join."""

    vm: str
    """Name of the entry VM that answers."""
    incarnation: str
    """Identity of the run of its process."""
    accepted: bool
    """Whether the request will be carried out."""
    coordinator: str
    """Address of the coordinator; empty if none is known."""


@_message
@attrs.frozen
class ReportLoad:
    """Report load and health to the coordinator."""

    report: bytes
    """Load report as a JSON document."""


@_message
@attrs.frozen
class ReportTaken:
    """Answer to a report."""

    taken: bool
    """Whether the receiver is the coordinator."""
