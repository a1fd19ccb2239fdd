"""Readiness endpoint for the load balancer's health checks."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import attrs

from dogwoodmast._asgi import send_json
from dogwoodmast.direct.directory import Directory
from dogwoodmast.direct.target_set import TargetSet

if TYPE_CHECKING:
    from dogwoodmast._asgi import Receive, Scope, Send


@attrs.define(eq=False)
class Readiness:
    """ASGI application that tells whether the VM accepts requests."""

    _directory: Directory
    _targets: TargetSet
    draining: bool = False
    """Whether the VM is stopping and must get no new connections."""

    @property
    def is_ready(self) -> bool:
        """Whether the VM is not stopping and has routes and targets.

        While zones are evacuated, a VM without targets stays ready, so that
        callers are told at once when to return.
        """
        return (
            not self.draining
            and self._directory.route_table is not None
            and (
                not self._targets.is_empty
                or bool(self._directory.evacuated.names)
            )
        )

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Respond with status 200 if the VM is ready, otherwise 503.

        :param scope: ASGI scope.
        :param receive: ASGI receive callable.
        :param send: ASGI send callable.
        """
        ready = self.is_ready
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        await send_json(send, {'ready': ready}, status)
