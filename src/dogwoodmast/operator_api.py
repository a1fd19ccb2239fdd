"""HTTP interface for operators and for the platform's balancer."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import attrs

from dogwoodmast._asgi import Send, send_json

RESERVED_PATH_PREFIX = '/-/'
"""Beginning of the paths that no service can have."""

StatusSource = Callable[[], object]
"""Callable that gives the status as a JSON object."""


@attrs.define
class OperatorApi:
    """Answers questions about one entry VM."""

    _status: StatusSource
    _leaving: bool = False

    @property
    def leaving(self) -> bool:
        """Whether the entry VM is about to stop."""
        return self._leaving

    def leave(self) -> None:
        """Have the balancer send no more callers."""
        self._leaving = True

    async def serve(self, path: str, send: Send) -> None:
        """Serve one request.

        :param path: Path of the request.
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
