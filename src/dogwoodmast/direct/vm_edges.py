"""Servers of one entry VM, and the bounds of connections to them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast.edge.bounded_connection import ServerEdge
from dogwoodmast.edge.connection_limits import ConnectionLimits
from dogwoodmast.edge.connection_phase import EndReason
from dogwoodmast.edge.connection_table import (
    ConnectionTable,
    make_connection_table,
)
from dogwoodmast.http_server import isolate_uvicorn_logger, make_http_server

if TYPE_CHECKING:
    from dogwoodmast.address import Address
    from dogwoodmast.direct.catalog import CallerLimits
    from dogwoodmast.direct.metrics import Metrics
    from dogwoodmast.http_server import Application, HttpServer

DEFAULT_KEEP_ALIVE = 15
"""Idle timeout of callers' connections until a configuration sets one, in
seconds."""
CALLERS_SHARE = 0.5
"""Fraction of the descriptors that callers' connections may take; the rest is
for targets, the store, other entry VMs and files."""
OTHERS_SHARE = 0.125
"""Fraction of the descriptors that connections to the other servers may
take."""
RELAYED_HEADER_BYTES = 16_384
"""Size of the headers that an entry VM adds to a request that it relays, in
bytes."""


@attrs.define(eq=False)
class VmEdges:
    """Edges of the servers of one entry VM."""

    callers: ServerEdge
    """Edge of the server for callers."""
    relay: ServerEdge
    """Edge of the server for requests that other entry VMs relay."""
    status: ServerEdge
    """Edge of the servers for readiness checks and metrics."""

    def serve_callers(
        self, application: Application, address: Address
    ) -> HttpServer:
        """Make the server for callers.

        :param application: ASGI application to serve.
        :param address: Address to listen on.
        :return: Server that is not started yet.
        """
        isolate_uvicorn_logger()
        return make_http_server(
            application, address, DEFAULT_KEEP_ALIVE, self.callers
        )

    def serve_status(
        self, application: Application, address: Address
    ) -> HttpServer:
        """Make a server for readiness checks or metrics.

        :param application: ASGI application to serve.
        :param address: Address to listen on.
        :return: Server that is not started yet.
        """
        return make_http_server(application, address, edge=self.status)

    def apply(self, limits: CallerLimits) -> None:
        """Put the limits of a configuration in force.

        :param limits: Limits on callers.
        """
        self.callers.limits = ConnectionLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_time=limits.header_time,
            idle_time=limits.idle_time,
        )
        self.relay.limits = ConnectionLimits(
            header_bytes=limits.header_bytes + RELAYED_HEADER_BYTES,
            body_bytes=limits.body_bytes,
        )

    def add_gauges(self, metrics: Metrics) -> None:
        """Export the number of connections, and why they were ended.

        :param metrics: Registry of the process.
        """
        table = self.callers.table
        metrics.add_gauge(
            'connections', 'Open connections of callers.', lambda: _size(table)
        )
        metrics.add_gauge(
            'connection_bytes',
            "Bytes that callers' connections hold besides served bodies.",
            lambda: table.held,
        )
        for reason in EndReason:
            _add_reason(metrics, table, reason)


def _size(table: ConnectionTable) -> int:
    return table.open_count


def _add_reason(
    metrics: Metrics, table: ConnectionTable, reason: EndReason
) -> None:
    metrics.add_gauge(
        f'connections_ended_{reason.value}',
        f'Connections of callers ended so far ({reason.value}).',
        lambda: table.ended[reason],
    )


def make_vm_edges(memory: float, descriptors: float) -> VmEdges:
    """Make the edges of an entry VM before its first configuration.

    :param memory: Memory of the VM in megabytes; 0 if it is not known.
    :param descriptors: Descriptors that its process may have; 0 if not known.
    :return: The edges.
    """
    others = make_connection_table(OTHERS_SHARE, memory, descriptors)
    return VmEdges(
        callers=ServerEdge(
            make_connection_table(CALLERS_SHARE, memory, descriptors)
        ),
        relay=ServerEdge(others),
        status=ServerEdge(others),
    )
