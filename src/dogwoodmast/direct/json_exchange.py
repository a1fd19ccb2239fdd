"""JSON calls to one address over a few kept connections."""

from __future__ import annotations

import anyio
import attrs
import orjson

from dogwoodmast.address import Address
from dogwoodmast.direct.target_connection import Outgoing, TargetConnection
from dogwoodmast.errors import (
    ConnectFailed,
    ExchangeAborted,
    PlatformAnswerLost,
    PlatformUnavailable,
)

CALL_TIMEOUT = 1.5
"""Time allowed for an answer, in seconds; a slow store of the contract takes
up to 0.4 s, and a connection that fell silent has to be found out before the
coordinator's lease ends."""
IDLE_CONNECTIONS = 4
"""Idle connections that are kept."""


@attrs.define(eq=False)
class JsonExchange:
    """Connections to the store."""

    address: Address
    """Address of the store."""
    calls: int = 0
    """Calls made so far."""
    _idle: list[TargetConnection] = attrs.field(factory=list)

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
        self.calls += 1
        endpoint = str(self.address)
        try:
            with anyio.fail_after(timeout):
                return await self._exchange(method, path, document)
        except ConnectFailed:
            raise PlatformUnavailable(endpoint) from None
        except (ExchangeAborted, TimeoutError):
            raise PlatformAnswerLost(endpoint) from None

    async def aclose(self) -> None:
        """Close every idle connection."""
        while self._idle:
            await self._idle.pop().aclose()

    async def _exchange(
        self, method: str, path: str, document: object
    ) -> tuple[int, bytes]:
        connection = await self._connect()
        try:
            head = await connection.start(
                self._outgoing(method, path, document)
            )
            pieces = [piece async for piece in connection.read_body()]
        finally:
            await self._give_back(connection)
        return head.status, b''.join(pieces)

    async def _connect(self) -> TargetConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable:
                return connection
            await connection.aclose()
        return await TargetConnection.connect('store', self.address)

    async def _give_back(self, connection: TargetConnection) -> None:
        if connection.is_usable and len(self._idle) < IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            await connection.reset()

    def _outgoing(self, method: str, path: str, document: object) -> Outgoing:
        headers = [(b'host', str(self.address).encode())]
        body = b''
        if document is not None:
            headers.append((b'content-type', b'application/json'))
            body = orjson.dumps(document)
        return Outgoing(method.encode(), path.encode(), headers, body)
