"""What a zone's agent works with."""

from __future__ import annotations

import attrs

from dogwoodmast.clock import Clock
from dogwoodmast.document_exchange import DocumentExchange
from dogwoodmast.key_value import Platform
from dogwoodmast.link_pool import LinkPool
from dogwoodmast.ownership import Member
from dogwoodmast.placement import Planner
from dogwoodmast.platform_reader import PlatformReader
from dogwoodmast.view_builder import ViewBuilder
from dogwoodmast.vm_list import VmList
from dogwoodmast.workload import Workload
from dogwoodmast.zone_member import ZoneMember


@attrs.frozen(eq=False)
class ZoneServices:
    """Surroundings of one entry VM's agent."""

    me: Member
    """The own process."""
    zone: str
    """Availability zone of the entry VM."""
    clock: Clock
    """Clock."""
    exchange: DocumentExchange
    """Documents that are known and shared with peers."""
    builder: ViewBuilder
    """Reader of the documents."""
    links: LinkPool
    """Links to peers."""
    platform: Platform
    """The platform's key-value service."""
    reader: PlatformReader
    """Reader that follows the platform while the role is held."""
    vm_list: VmList
    """The platform's VM list."""
    member: ZoneMember
    """The own part as a member of the zone."""
    workload: Workload
    """The own requests."""
    planner: Planner
    """Placement policy."""

    @property
    def now(self) -> float:
        """Monotonic time in seconds."""
        return self.clock.monotonic()
