"""HTTP client for back-end servers.

Each :class:`BackendConnection` owns at most one connection, which carries one
exchange at a time. A connection is discarded when its exchange fails.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Protocol
from urllib.parse import quote

import anyio
import attrs
import httpcore

from dogwoodmast.errors import ConnectFailed, ExchangeAborted
from dogwoodmast.http_stream import UntimedNetworkBackend
from dogwoodmast.request import Header, Request, Response

if TYPE_CHECKING:
    from dogwoodmast.address import Address
    from dogwoodmast.configuration import Target

PARTITION_HEADER = 'dogwoodmast-partition'
"""Request header with the name of the key's partition."""
FENCE_HEADER = 'dogwoodmast-fence'
"""Request header with the partition's fence, by which the back-end server
rejects requests that were sent under an earlier assignment."""
DEADLINE_HEADER = 'dogwoodmast-deadline'
"""Request header with the deadline, in seconds since the Unix epoch."""
OUTCOME_HEADER = 'dogwoodmast-outcome'
"""Response header of a back-end server that did not run the request."""
REASON_HEADER = 'dogwoodmast-reason'
"""Response header with the reason why a request did not run."""
DRAINING_HEADER = 'dogwoodmast-draining'
"""Response header of a back-end server that is draining."""
EXCHANGE_HEADER = 'dogwoodmast-exchange'
"""Request header with the name of the exchange, used to cancel it."""
IDEMPOTENCY_HEADER = 'idempotency-key'
"""Request header with the request id, if the request has one."""

CONNECT_TIMEOUT = 0.25
"""Time-out for opening a connection, in seconds."""
TCP_USER_TIMEOUT = 250
"""Time for which the kernel retransmits unacknowledged data before it closes
the connection, in milliseconds. Shorter than the margin between the end of a
dispatch lease and the start of the next one, so that no request is delivered
after another entry VM has acquired the lease."""

_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)

_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'content-length',
        b'date',
        b'keep-alive',
        b'server',
        b'transfer-encoding',
    )
)
_CONNECT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout)
_EXCHANGE_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


@attrs.frozen
class Grant:
    """Assignment of one partition to a target, identified by its fence."""

    partition: str
    """Name of the partition: service and number, separated by a slash."""
    fence: int
    """Fencing token of the assignment; later assignments have higher ones."""

    @property
    def number(self) -> int:
        """Number of the partition within its service, from its name."""
        return int(self.partition.rpartition('/')[2])


@attrs.frozen
class Exchange:
    """One attempt to run a request on a target."""

    request: Request
    """Request to send."""
    grant: Grant
    """Partition and fence under which it is sent."""
    wall_deadline: float
    """Deadline sent to the target, in seconds since the Unix epoch."""
    name: str
    """Name by which it can be cancelled, unique among all entry VMs."""


class Backend(Protocol):
    """Client of one target that runs one exchange at a time."""

    async def run(
        self, exchange: Exchange, *, new_connection: bool = False
    ) -> Response:
        """Send a request and read its whole response.

        :param exchange: Request with its grant, deadline and name.
        :param new_connection: Whether to open a new connection instead of
            reusing the open one.
        :return: Response from the target.
        :raises ConnectFailed: If no connection could be opened, so that
            the request did not run.
        :raises ExchangeAborted: If the connection broke and the request
            may have run.
        """

    async def aclose(self) -> None:
        """Close the connection, if one is open."""


class BackendConnection:
    """HTTP client of one target, with at most one open connection."""

    def __init__(self, target: Target) -> None:
        """Create a client that connects at its first exchange.

        :param target: Target to connect to.
        """
        self._target = target
        self._connection: httpcore.AsyncHTTPConnection | None = None

    async def run(
        self, exchange: Exchange, *, new_connection: bool = False
    ) -> Response:
        """Send a request and read its whole response.

        :param exchange: Request with its grant, deadline and name.
        :param new_connection: Whether to open a new connection instead of
            reusing the open one.
        :return: Response from the target.
        :raises ConnectFailed: If no connection could be opened, so that
            the request did not run.
        :raises ExchangeAborted: If the connection broke and the request
            may have run.
        """
        connection = await self._usable_connection(new_connection)
        try:
            response = await connection.handle_async_request(
                _http_request(self._target.address, exchange)
            )
            body = await response.aread()
            await response.aclose()
        except _CONNECT_ERRORS:
            await self.aclose()
            raise ConnectFailed(self._target.name) from None
        except _EXCHANGE_ERRORS as error:
            await self.aclose()
            raise ExchangeAborted(
                self._target.name, type(error).__name__
            ) from None
        except BaseException:
            await self.aclose()
            raise
        return Response(response.status, _headers(response), body)

    async def _usable_connection(
        self, new_connection: bool
    ) -> httpcore.AsyncHTTPConnection:
        connection = self._connection
        if (
            connection is not None
            and not new_connection
            and _is_usable(connection)
        ):
            return connection
        await self.aclose()
        connection = open_connection(
            self._target.address, UntimedNetworkBackend()
        )
        self._connection = connection
        return connection

    async def aclose(self) -> None:
        """Close the connection, if one is open."""
        connection = self._connection
        self._connection = None
        if connection is not None:
            with anyio.CancelScope(shield=True):
                await connection.aclose()


def open_connection(
    address: Address,
    network_backend: httpcore.AsyncNetworkBackend | None = None,
) -> httpcore.AsyncHTTPConnection:
    """Create an HTTP connection that opens at its first request.

    :param address: Address of the target.
    :param network_backend: Network backend that opens the stream;
        ``httpcore``'s default if omitted.
    :return: Connection that is not open yet.
    """
    origin = httpcore.Origin(b'http', address.host.encode(), address.port)
    return httpcore.AsyncHTTPConnection(
        origin,
        socket_options=_SOCKET_OPTIONS,
        network_backend=network_backend,
    )


def _is_usable(connection: httpcore.AsyncHTTPConnection) -> bool:
    return connection.is_available() and not connection.has_expired()


def _http_request(address: Address, exchange: Exchange) -> httpcore.Request:
    request = exchange.request
    headers = [
        (header.name.encode('latin-1'), header.value.encode('latin-1'))
        for header in request.headers
    ]
    headers.extend(
        (
            (b'host', str(address).encode()),
            (b'content-length', str(len(request.body)).encode()),
            (PARTITION_HEADER.encode(), exchange.grant.partition.encode()),
            (FENCE_HEADER.encode(), str(exchange.grant.fence).encode()),
            (
                DEADLINE_HEADER.encode(),
                f'{exchange.wall_deadline:.3f}'.encode(),
            ),
            (EXCHANGE_HEADER.encode(), exchange.name.encode()),
        )
    )
    if request.request_id:
        headers.append(
            (
                IDEMPOTENCY_HEADER.encode(),
                request.request_id.encode(),
            )
        )
    path = f'/{quote(request.key, safe="")}{request.path}'
    if request.query:
        path = f'{path}?{request.query}'
    return httpcore.Request(
        request.method,
        httpcore.URL(
            scheme=b'http',
            host=address.host.encode(),
            port=address.port,
            target=path.encode('latin-1'),
        ),
        headers=headers,
        content=request.body,
        extensions={'timeout': {'connect': CONNECT_TIMEOUT}},
    )


def _headers(response: httpcore.Response) -> tuple[Header, ...]:
    return tuple(
        Header(name.decode('latin-1').lower(), value.decode('latin-1'))
        for name, value in response.headers
        if name.lower() not in _HOP_BY_HOP
    )
