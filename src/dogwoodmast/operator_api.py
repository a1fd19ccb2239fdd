"""HTTP endpoints for operators and for the platform's load balancer."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import attrs

from dogwoodmast._asgi import Send, send_json

RESERVED_PATH_PREFIX = '/-/'
"""Prefix of the HTTP paths that are reserved for these endpoints; no service
can use it."""

StatusSource = Callable[[], object]
"""Callable that returns the current status as a JSON object."""


@attrs.define
class OperatorApi:
    """Serves the health check and the status report of one entry VM."""

    _status: StatusSource
    _leaving: bool = False

    @property
    def leaving(self) -> bool:
        """Whether the entry VM is shutting down and fails its health check."""
        return self._leaving

    def leave(self) -> None:
        """Fail health checks from now on, so that the load balancer stops
        sending callers to this entry VM."""
        self._leaving = True

    async def serve(self, path: str, send: Send) -> None:
        """Respond to one request; unknown paths get status 404.

        :param path: HTTP path that begins with the reserved prefix.
        :param send: ASGI send callable.
        """
        match path.removeprefix(RESERVED_PATH_PREFIX):
            case 'health' if self._leaving:
                leaving = {'state': 'leaving'}
                await send_json(send, leaving, HTTPStatus.SERVICE_UNAVAILABLE)
            case 'health':
                await send_json(send, {'state': 'serving'})
            case 'status':
                await send_json(send, self._status())
            case _:
                await send_json(send, {}, HTTPStatus.NOT_FOUND)
