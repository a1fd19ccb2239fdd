"""Answer to the balancer's question whether this VM takes callers."""

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
    """ASGI application that tells whether the VM can serve."""

    _directory: Directory
    _gates: TargetSet
    leaving: bool = False
    """Whether the VM is about to stop."""

    @property
    def is_ready(self) -> bool:
        """Whether configuration and targets are known."""
        return (
            not self.leaving
            and self._directory.route_table is not None
            and not self._gates.is_empty
        )

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one question.

        :param scope: ASGI scope.
        :param receive: ASGI receive callable.
        :param send: ASGI send callable.
        """
        ready = self.is_ready
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        await send_json(send, {'ready': ready}, status)
