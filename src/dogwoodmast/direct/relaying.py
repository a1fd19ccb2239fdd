"""Parts of an entry VM that relay requests, and run those of other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from dogwoodmast.direct.relay_dispatcher import RelayDispatcher
from dogwoodmast.direct.relay_gateway import RelayGateway
from dogwoodmast.direct.relay_peers import RelayPeers
from dogwoodmast.direct.target_prober import TargetProber
from dogwoodmast.direct.zones.homes import Homes
from dogwoodmast.http_server import HttpServer, make_http_server

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from dogwoodmast.clock import Clock
    from dogwoodmast.direct.directory import Directory
    from dogwoodmast.direct.gateway import DirectGateway
    from dogwoodmast.direct.settings import DirectSettings
    from dogwoodmast.direct.target_set import TargetSet
    from dogwoodmast.edge.bounded_connection import ServerEdge

IDLE_TIMEOUT = 15
"""Time after which an idle connection of another VM is closed, in seconds."""


class Relaying:
    """Ways to targets through other VMs, and the own VM as such a way."""

    def __init__(
        self,
        settings: DirectSettings,
        directory: Directory,
        targets: TargetSet,
        clock: Clock,
    ) -> None:
        """Create the parts; :meth:`start` starts them.

        :param settings: Settings of the process.
        :param directory: Local copy of the store.
        :param targets: Targets of the local VM.
        :param clock: Monotonic clock that also advances while the machine is
            suspended.
        """
        self.homes = Homes(settings.regions)
        self._address = settings.listen.relay
        self._targets = targets
        self._peers = RelayPeers(
            settings.vm.name,
            settings.vm.zone,
            lambda: directory.vms().values(),
            clock,
        )
        self.dispatcher = RelayDispatcher(
            self._peers,
            targets.reach,
            targets.statements,
            clock,
            self.homes,
        )
        self._prober = TargetProber(targets, clock)
        self._gateway: RelayGateway | None = None
        self._server: HttpServer | None = None

    @property
    def origins(self) -> int:
        """Number of VMs that relay their requests through this one now."""
        return 0 if self._gateway is None else self._gateway.origins

    def start(
        self, gateway: DirectGateway, tasks: TaskGroup, edge: ServerEdge
    ) -> None:
        """Start to probe targets, and to run requests of other VMs.

        :param gateway: Endpoint for the own callers.
        :param tasks: Task group of the process.
        :param edge: Bounds of other VMs' connections.
        """
        tasks.start_soon(self._prober.run)
        if self._address is None:
            return
        self._gateway = RelayGateway(
            *gateway.parts, gateway.held_bytes, reach=self._targets.reach
        )
        self._server = make_http_server(
            self._gateway, self._address, IDLE_TIMEOUT, edge
        )
        tasks.start_soon(self._server.serve)

    async def leave(self, accept_time: float) -> None:
        """Tell other VMs in all responses that this one stops.

        Their requests are run for a while, since no other VM may reach the
        target, and then refused as not run.

        :param accept_time: Time for which they are run, in seconds.
        """
        if self._gateway is not None:
            self._gateway.draining = True
            await anyio.sleep(accept_time)
            self._gateway.refuses_new = True

    async def stop(self) -> None:
        """Accept no more requests, and wait for those in flight."""
        if self._server is None or self._gateway is None:
            return
        self._gateway.draining = True
        self._gateway.refuses_new = True
        self._server.request_shutdown()
        await self._gateway.await_idle()
        await self._server.await_closed()

    async def aclose(self) -> None:
        """Close all idle connections to other VMs."""
        with anyio.CancelScope(shield=True):
            await self._peers.aclose()
