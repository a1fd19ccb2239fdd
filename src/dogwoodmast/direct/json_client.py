"""JSON calls to one address over a few kept connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import orjson

from dogwoodmast.direct.connection_pool import ConnectionPool
from dogwoodmast.direct.target_connection import OutgoingRequest
from dogwoodmast.errors import (
    ConnectFailed,
    ExchangeAborted,
    PlatformAnswerLost,
    PlatformUnavailable,
)

if TYPE_CHECKING:
    from dogwoodmast.address import Address
    from dogwoodmast.clock import Clock

CALL_TIMEOUT = 1.5
"""Time allowed for an answer, in seconds; a slow store of the contract takes
up to 0.4 s, and a connection that fell silent has to be found out before the
coordinator's lease ends."""


class JsonClient:
    """Connections to the store."""

    def __init__(self, address: Address, clock: Clock) -> None:
        """Create the caller; connections open when needed.

        :param address: Address of the store.
        :param clock: Clock that counts suspended time.
        """
        self._address = address
        self._pool = ConnectionPool('store', address, clock)
        self._calls = 0

    @property
    def address(self) -> Address:
        """Address of the store."""
        return self._address

    @property
    def calls(self) -> int:
        """Calls made so far."""
        return self._calls

    async def call(
        self,
        method: str,
        path: str,
        document: object = None,
        timeout: float = CALL_TIMEOUT,
    ) -> tuple[int, bytes]:
        """Make one call.

        :param method: HTTP method.
        :param path: Path with query.
        :param document: JSON document to send, or ``None``.
        :param timeout: Time allowed for the answer, in seconds.
        :return: Status and body of the answer.
        :raises PlatformUnavailable: If nothing was sent.
        :raises PlatformAnswerLost: If the call may have taken effect.
        """
        self._calls += 1
        endpoint = str(self._address)
        try:
            with anyio.fail_after(timeout):
                return await self._exchange(method, path, document)
        except ConnectFailed:
            raise PlatformUnavailable(endpoint) from None
        except (ExchangeAborted, TimeoutError):
            raise PlatformAnswerLost(endpoint) from None

    async def aclose(self) -> None:
        """Close every idle connection."""
        await self._pool.aclose()

    async def _exchange(
        self, method: str, path: str, document: object
    ) -> tuple[int, bytes]:
        connection = await self._pool.acquire()
        try:
            head = await connection.send_request(
                self._outgoing(method, path, document)
            )
            pieces = [piece async for piece in connection.read_body()]
        finally:
            await self._pool.release(connection)
        return head.status, b''.join(pieces)

    def _outgoing(
        self, method: str, path: str, document: object
    ) -> OutgoingRequest:
        headers = [(b'host', str(self._address).encode())]
        body = b''
        if document is not None:
            headers.append((b'content-type', b'application/json'))
            body = orjson.dumps(document)
        return OutgoingRequest(method.encode(), path.encode(), headers, body)
