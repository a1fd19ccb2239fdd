"""Exchanges with back-end servers over HTTP.

Each connection belongs to one :class:`BackendConnection` and carries one
exchange at a time.  A connection whose exchange broke is never used again.
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
"""Header that names the partition of the key."""
FENCE_HEADER = 'dogwoodmast-fence'
"""Header that carries the fence of the partition."""
DEADLINE_HEADER = 'dogwoodmast-deadline'
"""Header that carries the deadline, in seconds since the Unix epoch."""
OUTCOME_HEADER = 'dogwoodmast-outcome'
"""Header by which a back end says that a request did not run."""
REASON_HEADER = 'dogwoodmast-reason'
"""Header by which a back end says why a request did not run."""
DRAINING_HEADER = 'dogwoodmast-draining'
"""Header by which a back end says that it is leaving."""
EXCHANGE_HEADER = 'dogwoodmast-exchange'
"""Header that names one attempt, so that it can be cancelled."""
IDEMPOTENCY_HEADER = 'idempotency-key'

CONNECT_TIMEOUT = 0.25
"""Time allowed to open a connection, in seconds."""
TCP_USER_TIMEOUT = 250
"""Time for which the kernel goes on sending bytes that the target does not
acknowledge, in milliseconds; shorter than the margin between the end of a
dispatch lease and the start of the next one."""

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
    """Right to run requests of one partition on a target."""

    partition: str
    """Name of the partition, unique within the configuration."""
    fence: int
    """Fence of the partition's assignment."""

    @property
    def number(self) -> int:
        """Number of the partition within its service."""
        return int(self.partition.rpartition('/')[2])


@attrs.frozen
class Exchange:
    """One attempt at a request."""

    request: Request
    """The request."""
    grant: Grant
    """Right that the attempt is made under."""
    wall_deadline: float
    """Deadline in seconds since the Unix epoch."""
    name: str
    """Name of the attempt, unique among all entry VMs."""


class Backend(Protocol):
    """Connection to one target that runs an exchange at a time."""

    async def run(
        self, exchange: Exchange, *, new_connection: bool = False
    ) -> Response:
        """Run one exchange.

        :param exchange: What to send.
        :param new_connection: Whether to open a new connection for it.
        :return: The target's whole answer.
        :raises ConnectFailed: If it surely did not run.
        :raises ExchangeAborted: If it may have run.
        """

    async def aclose(self) -> None:
        """Close the connection."""


class BackendConnection:
    """HTTP connection to one target."""

    def __init__(self, target: Target) -> None:
        """Create a connection that opens when first used.

        :param target: Target to connect to.
        """
        self._target = target
        self._connection: httpcore.AsyncHTTPConnection | None = None

    async def run(
        self, exchange: Exchange, *, new_connection: bool = False
    ) -> Response:
        """Run one exchange.

        :param exchange: What to send.
        :param new_connection: Whether to open a new connection for it.
        :return: The target's whole answer.
        :raises ConnectFailed: If it surely did not run.
        :raises ExchangeAborted: If it may have run.
        """
        connection = await self._ready_connection(new_connection)
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

    async def _ready_connection(
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
        """Close the connection."""
        connection = self._connection
        self._connection = None
        if connection is not None:
            with anyio.CancelScope(shield=True):
                await connection.aclose()


def open_connection(
    address: Address,
    network_backend: httpcore.AsyncNetworkBackend | None = None,
) -> httpcore.AsyncHTTPConnection:
    """Make a connection that opens when first used.

    :param address: Address of the target.
    :param network_backend: Opener of the stream; the library's if left out.
    :return: The connection.
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
