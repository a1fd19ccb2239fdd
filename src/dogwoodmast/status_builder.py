"""Builder of the status report of an entry VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodmast._documents import converter
from dogwoodmast.operator_order import ORDER_PREFIX
from dogwoodmast.platform_reader import RECORDS_PREFIX, TOMBSTONE
from dogwoodmast.status import (
    LeaseStatus,
    OrderStatus,
    PlatformStatus,
    StatusReport,
    ZoneStatus,
)

if TYPE_CHECKING:
    from dogwoodmast.ownership import HolderTable, ZoneRecord
    from dogwoodmast.proxy_set import ProxySet
    from dogwoodmast.routing import RoutingView
    from dogwoodmast.zone_services import ZoneServices


class StatusBuilder:
    """Builds the status report from the current state of an entry VM."""

    def __init__(self, services: ZoneServices, proxies: ProxySet) -> None:
        """Create a builder.

        :param services: Zone state, document store and lease member of the
            entry VM.
        :param proxies: Proxies of the targets that the entry VM dispatches
            to.
        """
        self._services = services
        self._proxies = proxies

    def document(self) -> object:
        """Build the status report as a JSON object.

        :return: Document that :class:`StatusReport` can be parsed from.
        """
        return converter.unstructure(self.report())

    def report(self) -> StatusReport:
        """Build the status report.

        :return: Report of the current state; without zones until a
            configuration has been received.
        """
        services = self._services
        view = services.builder.build()
        return StatusReport(
            vm=services.me.vm,
            zone=services.zone,
            incarnation=services.me.incarnation,
            configuration_version=(
                0 if view is None else view.configuration.version
            ),
            zones=() if view is None else self._zones(view),
            leases=self._leases(),
            platform=PlatformStatus(
                not services.reader.is_failing,
                services.reader.status_changed_at,
            ),
        )

    def _zones(self, view: RoutingView) -> tuple[ZoneStatus, ...]:
        tables = self._services.builder.holder_tables()
        return tuple(
            self._zone(record, tables.get(zone))
            for zone, record in sorted(view.zones.items())
        )

    def _zone(
        self, record: ZoneRecord, table: HolderTable | None
    ) -> ZoneStatus:
        own = record.zone == self._services.zone
        holders = {} if table is None else table.holders
        return ZoneStatus(
            zone=record.zone,
            record_version=record.version,
            term=record.term,
            coordinator=None if table is None else table.coordinator.vm,
            members=tuple(member.vm for member in record.members),
            floor=self._services.member.floor if own else 0,
            holders={target: member.vm for target, member in holders.items()},
            partitions=_count_partitions(record),
            orders=self._orders() if own else (),
            lost=record.lost,
        )

    def _orders(self) -> tuple[OrderStatus, ...]:
        prefix = ORDER_PREFIX.removeprefix(RECORDS_PREFIX)
        documents = self._services.exchange.store.with_prefix(prefix)
        return tuple(
            OrderStatus(
                document.name.removeprefix(prefix).replace('/', ' ', 1),
                converter.loads(document.content, dict)['change_id'],
            )
            for document in documents
            if document.content != TOMBSTONE
        )

    def _leases(self) -> tuple[LeaseStatus, ...]:
        now = self._services.clock.monotonic()
        member = self._services.member
        return tuple(
            LeaseStatus(
                target=target,
                seconds_left=max(member.lease_expiry(target) - now, 0),
                waiting=len(proxy.dispatcher.state.waiting),
                in_flight=proxy.dispatcher.state.slots.busy,
            )
            for target, proxy in sorted(self._proxies.all().items())
        )


def _count_partitions(record: ZoneRecord) -> dict[str, int]:
    counts: dict[str, int] = {}
    for table in record.tables.values():
        for assignment in table.assignments.values():
            counts[assignment.target] = counts.get(assignment.target, 0) + 1
    return counts
