"""Control connection to one target: health polls and cancellations."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import anyio
import httpcore
import orjson

from dogwoodmast.backend import CONNECT_TIMEOUT, open_connection
from dogwoodmast.target_health import Poll

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dogwoodmast.address import Address

CONTROL_TIMEOUT = 0.25
"""Time allowed for a control request, in seconds."""
CANCEL_PATH = '/-/cancel'
"""Path of the endpoint that cancels an exchange."""
HEALTH_PATH = '/-/health'
"""Path of the endpoint that tells a target's health."""

_CONNECT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout)
_EXCHANGE_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class TargetControl:
    """Control requests to one target, one connection at a time."""

    def __init__(self, address: Address) -> None:
        """Create a control that has no connection.

        :param address: Address of the target.
        """
        self._address = address
        self._lock = anyio.Lock()

    async def poll(self) -> Poll:
        """Ask for the target's health.

        :return: What it says.
        """
        try:
            document = await self._call('GET', HEALTH_PATH)
        except _CONNECT_ERRORS:
            return Poll(connected=False)
        except _EXCHANGE_ERRORS:
            return Poll(connected=True)
        draining = document.get('draining')
        if isinstance(draining, bool):
            return Poll(connected=True, draining=draining)
        return Poll(connected=True)

    async def cancel(self, exchange: str) -> bool:
        """Cancel an exchange.

        :param exchange: Name of the exchange.
        :return: Whether the target confirmed that it runs no more.
        """
        body = orjson.dumps({'exchange': exchange})
        try:
            document = await self._call('POST', CANCEL_PATH, body)
        except _EXCHANGE_ERRORS:
            return False
        return document.get('ended') is True

    async def _call(
        self, method: str, path: str, body: bytes = b''
    ) -> Mapping[str, object]:
        timeout = {
            'connect': CONNECT_TIMEOUT,
            'read': CONTROL_TIMEOUT,
            'write': CONTROL_TIMEOUT,
        }
        async with self._lock:
            connection = open_connection(self._address)
            try:
                response = await connection.request(
                    method,
                    f'http://{self._address}{path}',
                    content=body,
                    extensions={'timeout': timeout},
                )
            finally:
                with anyio.CancelScope(shield=True):
                    await connection.aclose()
        if response.status != HTTPStatus.OK:
            return {}
        return _parse(response.content)


def _parse(content: bytes) -> Mapping[str, object]:
    try:
        document = orjson.loads(content)
    except orjson.JSONDecodeError:
        return {}
    return document if isinstance(document, dict) else {}
