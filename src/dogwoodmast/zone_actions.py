"""Actions that a zone's machines ask their owner to carry out."""

from __future__ import annotations

import attrs

from dogwoodmast.address import Address
from dogwoodmast.document_store import DocumentVersion
from dogwoodmast.ownership import HolderTable, Member
from dogwoodmast.record_write_scheduler import WriteRecord
from dogwoodmast.takeover import SendProbe
from dogwoodmast.zone_coordinator import SendRound
from dogwoodmast.zone_messages import RoleOffer


@attrs.frozen
class PullFromPeer:
    """Action: ask a peer for newer documents."""

    address: Address | None
    """Address of the peer; ``None`` for any member."""


@attrs.frozen
class PublishHolders:
    """Action: tell everyone who fronts which target."""

    version: DocumentVersion
    """Version of the table."""
    table: HolderTable
    """The table."""


@attrs.frozen
class OfferRole:
    """Action: offer the coordinator's role to a member."""

    member: Member
    """The member."""
    message: RoleOffer
    """The offer."""


ZoneAction = (
    SendRound
    | SendProbe
    | WriteRecord
    | PullFromPeer
    | PublishHolders
    | OfferRole
)
