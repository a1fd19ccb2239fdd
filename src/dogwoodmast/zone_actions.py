"""Actions that the zone's state machines return for the agent to carry out."""

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
    """Action: pull newer documents from a peer."""

    address: Address | None
    """Link address of the peer; ``None`` to try all other members of the zone
    until one answers."""


@attrs.frozen
class PublishHolders:
    """Action: publish the zone's holder table as a replicated document."""

    version: DocumentVersion
    """Version of the document: epoch of the coordinator and number of the
    table within the epoch."""
    table: HolderTable
    """Holder table to publish."""


@attrs.frozen
class OfferRole:
    """Action: offer the coordinator role of a leaving VM to a member."""

    member: Member
    """Member that is to take the role."""
    message: RoleOffer
    """Offer with the epoch of the current coordinator."""


ZoneAction = (
    SendRound
    | SendProbe
    | WriteRecord
    | PullFromPeer
    | PublishHolders
    | OfferRole
)
"""Any action of the zone's state machines."""
