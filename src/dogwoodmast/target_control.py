"""Client of a target's control endpoints: health and cancellation."""

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
"""Time-out for each read and write of a control request, in seconds."""
CANCEL_PATH = '/-/cancel'
"""Path of the endpoint that cancels an exchange."""
HEALTH_PATH = '/-/health'
"""Path of the endpoint that reports a target's health."""

_CONNECT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout)
_EXCHANGE_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class TargetControl:
    """Sends control requests to one target, one at a time.

    Each request uses a new connection, so that a poll also shows whether the
    target accepts connections. Only one is open at a time.
    """

    def __init__(self, address: Address) -> None:
        """Create a client without a connection.

        :param address: Address of the target.
        """
        self._address = address
        self._lock = anyio.Lock()

    async def poll(self) -> Poll:
        """Poll the target's health endpoint.

        :return: Whether the target accepted a connection, and whether it
            is draining if it said so.
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
        """Ask the target to cancel an exchange.

        :param exchange: Name of the exchange.
        :return: Whether the target confirmed that the request of the
            exchange is not running any more.
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
