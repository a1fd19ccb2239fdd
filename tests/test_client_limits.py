"""What clients within the limits, and at them, get from a bounded server."""

from __future__ import annotations

import asyncio
import os
import socket
from contextlib import (
    AsyncExitStack,
    ExitStack,
    asynccontextmanager,
    suppress,
)
from typing import TYPE_CHECKING

import anyio
import attrs
import pytest

from direct_fleet import free_address
from dogwoodmast._asgi import send_response
from dogwoodmast.caller_connection import CallerConnection
from dogwoodmast.edge.bounded_connection import STEP_BYTES, ServerEdge
from dogwoodmast.edge.connection_limits import ConnectionLimits
from dogwoodmast.edge.connection_phase import EndReason
from dogwoodmast.edge.connection_table import ConnectionTable
from dogwoodmast.http_server import make_http_server

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dogwoodmast._asgi import Receive, Scope, Send

pytestmark = pytest.mark.anyio

LIMITS = ConnectionLimits(
    header_bytes=2000, body_bytes=5000, header_time=1, idle_time=2
)
LINE_OVERHEAD = 4
"""Bytes that count for a header besides its name and value."""
CONNECTIONS = 8
HELD_BYTES = 1_000_000
SETTLING_TIME = 0.2
"""Time after which bytes that were sent have been read, in seconds."""
END_BOUND = 10.0
"""Time within which the server ends a connection, in seconds; several times
the longest limit."""
UNREAD_BYTES = 20_000_000
"""Size of a response that exceeds the buffers of sockets."""

PAGE_BYTES = 50_000
"""Size of a response below the mark at which a sender has to wait."""
SOCKET_BYTES = 4096
"""Size of the buffers of a socket that takes little."""


@pytest.fixture(params=[False, True], ids=['asyncio', 'uvloop'])
def anyio_backend(
    request: pytest.FixtureRequest,
) -> tuple[str, dict[str, bool]]:
    """Select each event loop that the server runs in."""
    return 'asyncio', {'use_uvloop': request.param}


@attrs.define(eq=False)
class EchoApplication:
    """ASGI application that answers with path, headers and body."""

    began: list[str] = attrs.field(factory=list)
    """Paths of the requests that it began to serve."""
    left: list[str] = attrs.field(factory=list)
    """Paths of the requests whose client left."""
    answers_early: bool = False
    """Whether requests are answered before they have been read."""
    released: anyio.Event = attrs.field(factory=anyio.Event)
    """Set when requests for ``/wait`` may end."""

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer a request once it is whole."""
        path = scope['path']
        self.began.append(path)
        body = bytearray()
        has_more = not (self.answers_early or path == '/early')
        while has_more:
            message = await receive()
            if message['type'] == 'http.disconnect':
                self.left.append(path)
                return
            body += message['body']
            has_more = message['more_body']
        if path.startswith('/wait') and await self._has_left(receive):
            self.left.append(path)
            return
        names = b','.join(name for name, _ in scope['headers'])
        text = b'%b %d %b;' % (path.encode(), len(body), names)
        if path == '/large':
            text = bytes(UNREAD_BYTES)
        elif path == '/page':
            text = bytes(PAGE_BYTES)
        headers = [(b'content-length', b'%d' % len(text))]
        await send_response(send, 200, headers, text)

    async def _has_left(self, receive: Receive) -> bool:
        watcher = asyncio.ensure_future(receive())
        release = asyncio.ensure_future(self.released.wait())
        done, pending = await asyncio.wait(
            {watcher, release}, return_when=asyncio.FIRST_COMPLETED
        )
        for task in pending:
            task.cancel()
        return watcher in done


@attrs.define(eq=False)
class BoundedServer:
    """Server, what bounds its connections, and the clients that it has."""

    application: EchoApplication
    table: ConnectionTable
    edge: ServerEdge
    address: tuple[str, int]
    _clients: AsyncExitStack

    async def connect(self) -> Client:
        """Open a connection that is closed at the end."""
        client = Client(*await asyncio.open_connection(*self.address))
        self._clients.callback(client.writer.close)
        return client


@attrs.define(eq=False)
class Client:
    """Connection to the server."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def send_bytewise(self, content: bytes) -> None:
        """Send each byte in a packet of its own."""
        raw = self.writer.get_extra_info('socket')
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for byte in content:
            self.writer.write(bytes((byte,)))
            await asyncio.sleep(0)

    async def read_to_end(self) -> bytes:
        """Read until the server closes the connection."""
        with anyio.fail_after(END_BOUND):
            with suppress(ConnectionError):
                return await self.reader.read(-1)
        return b''

    async def read_until(self, text: bytes) -> bytes:
        """Read up to a text."""
        with anyio.fail_after(END_BOUND):
            return await self.reader.readuntil(text)


@asynccontextmanager
async def bounded_server() -> AsyncIterator[BoundedServer]:
    """Run a server until the block ends."""
    address = free_address()
    application = EchoApplication()
    table = ConnectionTable(CONNECTIONS, HELD_BYTES)
    edge = ServerEdge(table, LIMITS)
    server = make_http_server(application, address, 2, edge)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        while not server.started:
            await anyio.sleep(0.01)
        async with AsyncExitStack() as clients:
            at = (address.host, address.port)
            yield BoundedServer(application, table, edge, at, clients)
        application.released.set()
        server.request_shutdown()


@pytest.fixture
async def server() -> AsyncIterator[BoundedServer]:
    """Run a server."""
    async with bounded_server() as running:
        yield running


def get(path: str, *lines: bytes) -> bytes:
    """Make a request without a body."""
    head = b''.join(b'%b\r\n' % line for line in (b'Host: a', *lines))
    return b'GET %b HTTP/1.1\r\n%b\r\n' % (path.encode(), head)


def padded(size: int) -> bytes:
    """Make a header that makes all headers of a request as large."""
    used = len(b'hosta') + len(b'x') + len(b'connectionclose')
    overhead = 3 * LINE_OVERHEAD
    return b'X: %b' % (b'y' * (size - used - overhead))


def narrow_buffers(table: ConnectionTable) -> None:
    """Let the sockets of all open connections take little at a time."""
    for one in table._open:
        assert isinstance(one, CallerConnection)
        number = one.transport.get_extra_info('socket').fileno()
        with socket.socket(fileno=os.dup(number)) as same:
            same.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BYTES)


LAST = b'Connection: close'
CHUNKED = b'POST /chunked HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n'


async def test_head_at_the_limit_is_refused(server: BoundedServer) -> None:
    """It arrives in one byte a read."""
    client = await server.connect()
    head = get('/', padded(LIMITS.header_bytes), LAST)
    await client.send_bytewise(head)
    assert b'/ 0 host,x,connection;' in await client.read_to_end()


async def test_head_beyond_the_limit_is_served(server: BoundedServer) -> None:
    """Its last line does not arrive, so that it is never whole."""
    client = await server.connect()
    head = get('/', padded(2 * LIMITS.header_bytes), LAST)
    client.writer.write(head[:-2])
    received = await client.read_to_end()
    assert received.startswith(b'HTTP/1.1 431 ')
    assert b'"not_run"' in received
    assert not server.application.began
    assert server.table.ended[EndReason.HEADER_BYTES] == 1


async def test_late_head_is_refused_without_a_promise(
    server: BoundedServer,
) -> None:
    """Half of a head arrives."""
    client = await server.connect()
    client.writer.write(get('/')[:-2])
    received = await client.read_to_end()
    assert received.startswith(b'HTTP/1.1 408 ')
    assert b'"not_run"' in received
    assert server.table.ended[EndReason.HEADER_TIME] == 1


async def test_response_to_a_request_before_a_refused_head_is_lost(
    server: BoundedServer,
) -> None:
    """The first request is still served when the head behind it is refused."""
    client = await server.connect()
    large = get('/', padded(2 * LIMITS.header_bytes), LAST)[:-2]
    client.writer.write(get('/wait') + get('/next') + large)
    await asyncio.sleep(SETTLING_TIME)
    server.application.released.set()
    received = await client.read_to_end()
    statuses = [part[:3] for part in received.split(b'HTTP/1.1 ')[1:]]
    assert statuses == [b'200', b'200', b'431']
    assert server.application.began == ['/wait', '/next']


@pytest.mark.parametrize('count', [3, 200])
async def test_responses_to_requests_ahead_are_out_of_order(
    server: BoundedServer, count: int
) -> None:
    """All are sent at once, many more than are parsed ahead."""
    client = await server.connect()
    paths = [f'/{index}' for index in range(count)]
    requests = [get(path) for path in paths]
    client.writer.write(b''.join(requests) + get('/last', LAST))
    received = await client.read_to_end()
    bodies = [part.split(b' ')[0] for part in received.split(b'\r\n\r\n')[1:]]
    assert bodies == [path.encode() for path in (*paths, '/last')]


async def test_two_requests_run_at_once_behind_a_quick_response(
    server: BoundedServer,
) -> None:
    """What follows the first one exceeds a step of parsing."""
    client = await server.connect()
    long = '/wait?%s' % ('x' * (STEP_BYTES + 1000))
    client.writer.write(get('/early') + get(long) + get('/next', LAST))
    await asyncio.sleep(SETTLING_TIME)
    assert server.application.began == ['/early', '/wait']
    server.application.released.set()
    received = await client.read_to_end()
    bodies = [part.split(b' ')[0] for part in received.split(b'\r\n\r\n')[1:]]
    assert bodies == [b'/early', b'/wait', b'/next']


async def test_connection_is_idle_while_a_request_runs(
    server: BoundedServer,
) -> None:
    """The request is parsed after the response before it, and runs long."""
    client = await server.connect()
    long = '/wait?%s' % ('x' * (STEP_BYTES + 1000))
    client.writer.write(get('/early') + get(long, LAST))
    await asyncio.sleep(LIMITS.idle_time * 2)
    server.application.released.set()
    assert b'/wait 0 ' in await client.read_to_end()


async def test_awaited_body_ends_a_request_before_it(
    server: BoundedServer,
) -> None:
    """The client sends the body once it is told to continue."""
    client = await server.connect()
    lines = (b'Host: a', b'Content-Length: 3', b'Expect: 100-continue', LAST)
    head = b'POST /body HTTP/1.1\r\n%b\r\n\r\n' % b'\r\n'.join(lines)
    client.writer.write(get('/wait') + head)
    await asyncio.sleep(LIMITS.idle_time * 2)
    server.application.released.set()
    assert b'/wait 0 ' in await client.read_until(b' 100 Continue\r\n\r\n')
    client.writer.write(b'xyz')
    assert b'/body 3 ' in await client.read_to_end()


async def test_bodies_ahead_are_mixed_up(server: BoundedServer) -> None:
    """Bodies hold what looks like heads, and end within a read."""
    client = await server.connect()
    sizes = [(index * 997) % 5001 for index in range(30)]
    content = get('/body') * 200
    for size in sizes:
        length = b'Content-Length: %d' % size
        head = b'POST /size HTTP/1.1\r\nHost: a\r\n%b\r\n\r\n' % length
        client.writer.write(head + content[:size])
    client.writer.write(get('/last', LAST))
    received = await client.read_to_end()
    texts = received.split(b'\r\n\r\n/')[1:]
    served = [int(text.split(b' ')[1]) for text in texts]
    assert served == [*sizes, 0]


@pytest.mark.parametrize('count', [5, 100])
async def test_requests_of_a_client_that_left_are_run(
    server: BoundedServer, count: int
) -> None:
    """Some wait behind one that is served, and some may not be parsed yet."""
    client = await server.connect()
    ahead = [get('/quick') for _ in range(count)]
    client.writer.write(b''.join((get('/wait/1'), *ahead)))
    await asyncio.sleep(SETTLING_TIME)
    client.writer.transport.abort()
    with anyio.fail_after(END_BOUND):
        while not server.application.left:
            await asyncio.sleep(SETTLING_TIME)
    server.application.released.set()
    await asyncio.sleep(SETTLING_TIME)
    assert server.application.began == ['/wait/1']
    assert not server.table.open_count
    assert not server.table.held


async def test_slow_upload_is_ended(server: BoundedServer) -> None:
    """It goes on for longer than each of the limits on times."""
    client = await server.connect()
    length = b'Content-Length: 30'
    client.writer.write(
        b'POST /slow HTTP/1.1\r\nHost: a\r\n%b\r\n%b\r\n\r\n' % (length, LAST)
    )
    for _ in range(30):
        await asyncio.sleep(LIMITS.idle_time / 20)
        client.writer.write(b'x')
    assert b'/slow 30 ' in await client.read_to_end()


async def test_trailers_become_headers(server: BoundedServer) -> None:
    """They arrive behind the body, when the headers may have been used."""
    client = await server.connect()
    trailers = b'0\r\nShard-Key: 5\r\n\r\n'
    client.writer.write(b'%b\r\n1\r\nx\r\n%b' % (CHUNKED, trailers))
    received = await client.read_until(b';')
    assert received.endswith(b'/chunked 1 host,transfer-encoding;')
    client.writer.write(get('/next', LAST))
    assert b'/next 0 host,connection;' in await client.read_to_end()


async def test_trailers_beyond_the_limit_are_served(
    server: BoundedServer,
) -> None:
    """The request is not whole, so that it is not run."""
    client = await server.connect()
    client.writer.write(b'%b\r\n0\r\n%b' % (CHUNKED, b'a:\r\n' * 1000))
    received = await client.read_to_end()
    assert received.startswith(b'HTTP/1.1 431 ')
    assert server.application.left == ['/chunked']


async def test_empty_line_before_a_request_is_refused(
    server: BoundedServer,
) -> None:
    """Some clients send one behind a body."""
    client = await server.connect()
    client.writer.write(b'\r\n%b\r\n\r\n%b' % (get('/1'), get('/2', LAST)))
    received = await client.read_to_end()
    assert received.count(b'HTTP/1.1 200 OK') == 2


async def test_idle_connection_is_closed_early(server: BoundedServer) -> None:
    """Clients use a connection again within most of its idle time."""
    client = await server.connect()
    for _ in range(2):
        client.writer.write(get('/'))
        await client.read_until(b';')
        await asyncio.sleep(LIMITS.idle_time * 0.8)
    client.writer.write(get('/last', LAST))
    assert b'/last' in await client.read_to_end()


async def test_unread_response_is_kept_for_good(server: BoundedServer) -> None:
    """The client reads a part of it, and then nothing."""
    client = await server.connect()
    client.writer.write(get('/large'))
    await client.read_until(b'\r\n\r\n')
    with anyio.fail_after(END_BOUND):
        while server.table.open_count:
            await asyncio.sleep(SETTLING_TIME)
    reasons = {EndReason.STALLED, EndReason.MEMORY}
    assert reasons & set(server.table.ended)


async def test_small_unread_responses_are_not_counted(
    server: BoundedServer,
) -> None:
    """None of them makes its sender wait."""
    server.table.byte_limit = 2 * PAGE_BYTES
    with ExitStack() as opened:
        for _ in range(CONNECTIONS - 1):
            client = opened.enter_context(socket.socket())
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BYTES)
            client.connect(server.address)
            await asyncio.sleep(SETTLING_TIME)
            narrow_buffers(server.table)
            client.sendall(get('/page'))
        with anyio.fail_after(END_BOUND):
            while not server.table.ended:
                await asyncio.sleep(SETTLING_TIME)
    assert server.table.ended[EndReason.MEMORY]


async def test_new_connection_is_refused_while_others_wait(
    server: BoundedServer,
) -> None:
    """The one that has waited longest is closed, and none that is served."""
    served = await server.connect()
    served.writer.write(get('/wait/1', LAST))
    await asyncio.sleep(SETTLING_TIME)
    clients = [await server.connect() for _ in range(CONNECTIONS)]
    await asyncio.sleep(SETTLING_TIME)
    assert server.table.open_count <= CONNECTIONS
    clients[-1].writer.write(get('/new', LAST))
    assert b'/new' in await clients[-1].read_to_end()
    assert not await clients[0].read_to_end()
    server.application.released.set()
    assert b'/wait/1' in await served.read_to_end()


async def test_steady_upload_behind_its_response_is_cut(
    server: BoundedServer,
) -> None:
    """It goes on for longer than each of the limits on times."""
    client = await server.connect()
    length = b'Content-Length: 30'
    client.writer.write(b'POST /early HTTP/1.1\r\n%b\r\n\r\n' % length)
    for _ in range(30):
        await asyncio.sleep(LIMITS.idle_time / 20)
        client.writer.write(b'x')
    assert b'/early 0 ' in await client.read_until(b';')
    client.writer.write(get('/next', LAST))
    assert b'/next 0 ' in await client.read_to_end()


async def test_body_behind_its_response_is_read_without_end(
    server: BoundedServer,
) -> None:
    """It comes in small chunks, each of which is reported."""
    server.application.answers_early = True
    client = await server.connect()
    client.writer.write(b'%b\r\n' % CHUNKED)
    await client.read_until(b';')
    with suppress(ConnectionError):
        for _ in range(100):
            client.writer.write(b'1\r\nx\r\n' * 1000)
            await client.writer.drain()
            await asyncio.sleep(0)
    assert not await client.read_to_end()
    assert server.table.ended[EndReason.DISCARDED_BYTES] == 1
