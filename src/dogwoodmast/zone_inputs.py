"""Inputs of the zone's state machines, taken from documents and the VM list.

The module also publishes the holder table that the state machines produce.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast._documents import dump_document
from dogwoodmast.assignment_planner import AssignmentPlanner, PlanningInputs
from dogwoodmast.document_store import Document
from dogwoodmast.vm_list import VmListing, VmRole, VmState
from dogwoodmast.zone_coordinator import ZoneTargets
from dogwoodmast.zone_node import ZoneNode
from dogwoodmast.zone_orders import drained_names, lost_zones
from dogwoodmast.zone_services import ZoneServices

if TYPE_CHECKING:
    from dogwoodmast.configuration import Configuration, Service
    from dogwoodmast.zone_actions import PublishHolders


@attrs.define(eq=False)
class ZoneInputs:
    """Passes changed documents and VM lists to the zone's state machines."""

    _services: ZoneServices
    _node: ZoneNode
    _planner: AssignmentPlanner
    listing: VmListing | None = None
    """Latest VM list, or ``None`` if it was never read."""

    def on_listing(self, listing: VmListing) -> None:
        """Update the state machines from a newly read VM list.

        :param listing: Latest VM list.
        """
        self.listing = listing
        self._node.membership.on_listing(
            listing, self._node.record, self._services.now
        )
        self.on_documents()

    def on_documents(self) -> None:
        """Update the state machines from all replicated documents.

        Does nothing until a configuration has been received.
        """
        services = self._services
        view = services.builder.build()
        if view is None:
            return
        record = view.zones.get(services.zone)
        if record is not None:
            self._node.on_record(record, services.now)
        self._update_holders()
        store = services.exchange.store
        drained = drained_names(store)
        targets = zone_targets(view.configuration, services.zone)
        self._node.on_targets(targets, drained)
        self._planner.on_inputs(
            PlanningInputs(
                configuration=view.configuration,
                homes=view.homes,
                excluded=drained | leaving_targets(self.listing),
                lost=services.zone in lost_zones(store),
            )
        )

    def publish(self, action: PublishHolders) -> None:
        """Store a holder table as a document that is replicated to peers.

        :param action: Holder table and its version.
        """
        document = Document(
            f'holders/{action.table.zone}',
            action.version,
            dump_document(action.table),
        )
        self._services.exchange.merge((document,))

    def _update_holders(self) -> None:
        services = self._services
        name = f'holders/{services.zone}'
        document = services.exchange.store.find(name)
        table = services.builder.holder_tables().get(services.zone)
        if document is not None and table is not None:
            self._node.on_holders(document.version, table)


def zone_targets(configuration: Configuration, zone: str) -> ZoneTargets:
    """Collect the targets of a zone and the properties of all services.

    :param configuration: Configuration in force.
    :param zone: Name of the availability zone.
    :return: Input of the zone's coordinator.
    """
    return ZoneTargets(
        names=frozenset(
            target.name
            for service in configuration.services
            for target in service.targets
            if target.zone == zone
        ),
        longest_request=max(
            (longest_request(service) for service in configuration.services),
            default=0,
        ),
        fenced_services=frozenset(
            service.name
            for service in configuration.services
            if service.checks_fences
        ),
    )


def longest_request(service: Service) -> float:
    """Compute how long a request may run on a target without fence checks.

    :param service: Service of the request.
    :return: Greatest deadline of the service's request kinds, in seconds;
        zero if its targets check fences.
    """
    if service.checks_fences:
        return 0
    return max((kind.deadline for kind in service.kinds), default=0)


def leaving_targets(listing: VmListing | None) -> frozenset[str]:
    """Select the targets whose VMs the VM list shows as leaving.

    :param listing: Latest VM list, or ``None`` if it was never read.
    :return: Names of the targets.
    """
    vms = () if listing is None else listing.vms
    return frozenset(
        vm.name
        for vm in vms
        if vm.role is VmRole.BACKEND and vm.state is VmState.LEAVING
    )
