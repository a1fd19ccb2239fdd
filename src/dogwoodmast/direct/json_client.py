"""HTTP client for JSON calls to the store, over pooled connections."""

from __future__ import annotations

from contextlib import AsyncExitStack, contextmanager
from typing import TYPE_CHECKING

import anyio
import attrs
import orjson

from dogwoodmast._asgi import RawHeaders
from dogwoodmast.direct.connection_pool import ConnectionPool
from dogwoodmast.direct.target_connection import OutgoingRequest
from dogwoodmast.errors import (
    ConnectFailed,
    ExchangeAborted,
    PlatformAnswerLost,
    PlatformUnavailable,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dogwoodmast.address import Address
    from dogwoodmast.clock import Clock

CALL_TIMEOUT = 1.5
"""Default timeout of a call, in seconds.  A slow store takes up to 0.4 s by the
platform contract, and a connection that no longer responds must be detected
before the coordinator's lease expires."""

LONGEST_CALL_TIME = 5.0
"""Time allowed for a whole call whose body keeps arriving, in seconds; a
megabyte takes the thinnest links of the platform contract two."""
MAX_DOCUMENT_BYTES = 16_777_216
"""Size of the largest document that is read, in bytes; a page of the platform
contract has about 1 MB."""
STALLED_BODY_TIME = 0.3
"""Time without a byte after which a response no longer counts as arriving, in
seconds; longer than the gaps between packets on a link that is full."""


@attrs.define(eq=False)
class _Arrival:
    """Response whose head has come, but not yet its end."""

    latest: float = attrs.field(factory=anyio.current_time)
    """Time of the event loop at which bytes came last, in seconds."""


@attrs.frozen
class JsonResponse:
    """Complete response to a call."""

    status: int
    """HTTP status."""
    headers: RawHeaders
    """Headers, with names in lower case."""
    content: bytes
    """Body."""


class JsonClient:
    """Client for JSON calls to the store."""

    def __init__(self, address: Address, clock: Clock) -> None:
        """Create a client, which opens connections on demand.

        :param address: Address of the store.
        :param clock: Monotonic clock that includes time in suspend.
        """
        self._address = address
        self._pool = ConnectionPool('store', address, clock)
        self._calls = 0
        self._arrivals: set[_Arrival] = set()

    @property
    def is_arriving(self) -> bool:
        """Whether bytes of a response have come lately, but not yet its end."""
        return any(
            anyio.current_time() - one.latest < STALLED_BODY_TIME
            for one in self._arrivals
        )

    @property
    def address(self) -> Address:
        """Address that calls are sent to."""
        return self._address

    @property
    def calls(self) -> int:
        """Number of calls started so far, including failed ones."""
        return self._calls

    async def call(
        self,
        method: str,
        path: str,
        document: object = None,
        timeout: float = CALL_TIMEOUT,
    ) -> JsonResponse:
        """Make one call.

        :param method: HTTP method.
        :param path: Path with query string.
        :param document: JSON document to send as the body, or ``None``.
        :param timeout: Time allowed for the head of the response, and again
            for each part of its body, in seconds.
        :return: The response.
        :raises PlatformUnavailable: If no connection could be opened, so that
            nothing was sent.
        :raises PlatformAnswerLost: If there was no complete response; the call
            may have taken effect.
        """
        self._calls += 1
        endpoint = str(self._address)
        try:
            with anyio.fail_after(timeout) as scope:
                return await self._exchange(
                    self._build_request(method, path, document), scope
                )
        except ConnectFailed:
            raise PlatformUnavailable(endpoint) from None
        except (ExchangeAborted, TimeoutError):
            # Whatever broke or silenced this connection may have done so to
            # the idle ones too, and each would cost a call.
            await self._pool.aclose()
            raise PlatformAnswerLost(endpoint) from None

    async def aclose(self) -> None:
        """Close every idle connection."""
        await self._pool.aclose()

    async def _exchange(
        self, request: OutgoingRequest, scope: anyio.CancelScope
    ) -> JsonResponse:
        connection = await self._pool.acquire()
        time_limit = scope.deadline - anyio.current_time()
        latest = anyio.current_time() + LONGEST_CALL_TIME
        content = bytearray()
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self._pool.release, connection)
            head = await connection.send_request(request)
            arrival = stack.enter_context(self._noting_arrival())
            async for chunk in connection.read_body():
                arrival.latest = anyio.current_time()
                scope.deadline = min(anyio.current_time() + time_limit, latest)
                content += chunk
                if len(content) > MAX_DOCUMENT_BYTES:
                    raise ExchangeAborted('store', 'document has no end')
        return JsonResponse(head.status, head.headers, bytes(content))

    @contextmanager
    def _noting_arrival(self) -> Iterator[_Arrival]:
        arrival = _Arrival()
        self._arrivals.add(arrival)
        try:
            yield arrival
        finally:
            self._arrivals.remove(arrival)

    def _build_request(
        self, method: str, path: str, document: object
    ) -> OutgoingRequest:
        headers = [(b'host', str(self._address).encode())]
        body = b''
        if document is not None:
            headers.append((b'content-type', b'application/json'))
            body = orjson.dumps(document)
        return OutgoingRequest(method.encode(), path.encode(), headers, body)
