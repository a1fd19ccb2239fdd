"""Servers of one entry VM, and the bounds of connections to them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast.edge.bounded_connection import ServerEdge
from dogwoodmast.edge.connection_limits import ConnectionLimits
from dogwoodmast.http_server import isolate_uvicorn_logger, make_http_server

if TYPE_CHECKING:
    from dogwoodmast.address import Address
    from dogwoodmast.direct.catalog import CallerLimits
    from dogwoodmast.http_server import Application, HttpServer

DEFAULT_KEEP_ALIVE = 15
"""Idle timeout of callers' connections until a configuration sets one, in
seconds."""
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
        )
        self.relay.limits = ConnectionLimits(
            header_bytes=limits.header_bytes + RELAYED_HEADER_BYTES,
        )


def make_vm_edges() -> VmEdges:
    """Make the edges of an entry VM before its first configuration.

    :return: The edges.
    """
    return VmEdges(ServerEdge(), ServerEdge(), ServerEdge())
