"""Services that the zone's agent and related components use."""

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
    """Collaborators of the zone's agent at one entry VM."""

    me: Member
    """Process of this entry VM."""
    zone: str
    """Name of the availability zone of this entry VM."""
    clock: Clock
    """Source of monotonic and wall-clock time."""
    exchange: DocumentExchange
    """Exchange of replicated documents with peers."""
    builder: ViewBuilder
    """Parser of the replicated documents."""
    links: LinkPool
    """Pool of links to other entry VMs."""
    platform: Platform
    """Client of the platform's key-value service."""
    reader: PlatformReader
    """Reader that copies platform keys into the replicated documents; it runs
    while this entry VM has the coordinator role."""
    vm_list: VmList
    """Client of the platform's VM list."""
    member: ZoneMember
    """Member state of this entry VM in the zone protocol."""
    workload: Workload
    """Requests and targets of this entry VM's data path."""
    planner: Planner
    """Placement policy that assigns partitions to targets."""

    @property
    def now(self) -> float:
        """Monotonic time in seconds."""
        return self.clock.monotonic()
