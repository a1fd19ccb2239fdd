"""Requests that follow another one on their connection when it is closed."""

from __future__ import annotations

import asyncio
import fcntl
import sys
import termios
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio
import attrs
import pytest

from direct_fleet import free_address
from dogwoodmast._asgi import send_response
from dogwoodmast.http_server import HttpServer, make_http_server
from dogwoodmast.standins._http import read_body

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dogwoodmast._asgi import Receive, Scope, Send

pytestmark = pytest.mark.anyio

WORK_TIME = 0.3
"""Time that the application takes for a request, in seconds."""
READ_TIME = 0.1
"""Time after which bytes that were sent have been read, in seconds."""
LAST = b'Connection: close\r\n'
"""Header line with which a caller ends its connection."""
END_BOUND = 5.0
"""Time within which the server closes a connection, in seconds."""


@pytest.fixture(params=[False, True], ids=['asyncio', 'uvloop'])
def anyio_backend(
    request: pytest.FixtureRequest,
) -> tuple[str, dict[str, bool]]:
    """Select each event loop that the server runs in."""
    return 'asyncio', {'use_uvloop': request.param}


@attrs.define(eq=False)
class StoppingApplication:
    """ASGI application of a VM that may be stopping."""

    draining: bool = True
    served: list[str] = attrs.field(factory=list)
    """Paths of the requests that were answered."""
    began: anyio.Event = attrs.field(factory=anyio.Event)

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer a request with its path and body after ``WORK_TIME``."""
        body = await read_body(receive)
        path = scope['path'].encode()
        self.began.set()
        headers = [(b'content-length', b'%d' % (len(path) + len(body)))]
        if self.draining:
            headers.append((b'connection', b'close'))
        if path == b'/begun':
            await send(
                {
                    'type': 'http.response.start',
                    'status': 200,
                    'headers': headers,
                }
            )
        await anyio.sleep(0 if path == b'/quick' else WORK_TIME)
        if path == b'/begun':
            await send({'type': 'http.response.body', 'body': path + body})
        else:
            if path == b'/fails':
                raise RuntimeError(path)
            await send_response(send, 200, headers, path + body)
        self.served.append(scope['path'])


@attrs.define(eq=False)
class Caller:
    """Connection to a server, and the application behind it."""

    application: StoppingApplication
    server: HttpServer
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def send(self, *requests: bytes) -> None:
        """Send bytes, and wait until the server has read them."""
        self.writer.write(b''.join(requests))
        await asyncio.sleep(READ_TIME)

    async def read_to_end(self) -> bytes:
        """Read until the server closes the connection."""
        with anyio.fail_after(END_BOUND):
            return await self.reader.read(-1)


def post(path: str, body: bytes = b'', more: bytes = b'') -> bytes:
    """Make a request with a length.

    :param path: Path.
    :param body: Body.
    :param more: Further header lines.
    :return: Bytes of the request.
    """
    lines = b'Host: a\r\nContent-Length: %d\r\n%b\r\n' % (len(body), more)
    return b'POST %b HTTP/1.1\r\n%b%b' % (path.encode(), lines, body)


def closing_heads(received: bytes) -> list[bool]:
    """Tell which responses close the connection, in order.

    :param received: All bytes of the responses.
    :return: Whether each response has ``connection: close``.
    """
    heads = received.split(b'HTTP/1.1 200 OK\r\n')[1:]
    return [b'connection: close\r\n' in one for one in heads]


@asynccontextmanager
async def caller(
    *, draining: bool, idle_timeout: int = 5
) -> AsyncIterator[Caller]:
    """Connect to a server until the block ends.

    :param draining: Whether the application closes with its responses.
    :param idle_timeout: Time until an idle connection is closed, in seconds.
    :return: The connection.
    """
    address = free_address()
    application = StoppingApplication(draining)
    server = make_http_server(application, address, idle_timeout)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.serve)
        while not server.started:
            await anyio.sleep(0.01)
        streams = await asyncio.open_connection(address.host, address.port)
        yield Caller(application, server, *streams)
        streams[1].close()
        server.request_shutdown()


async def test_closing_response_drops_requests_that_were_read_behind_it() -> (
    None
):
    """Only the response of the last one closes the connection."""
    async with caller(draining=True) as one:
        await one.send(post('/a'))
        await one.send(post('/b', b'body'), post('/c'))
        received = await one.read_to_end()
    assert one.application.served == ['/a', '/b', '/c']
    assert closing_heads(received) == [False, False, True]
    assert received.count(b'/bbody') == 1


async def test_closing_response_drops_a_request_that_waits_in_the_socket() -> (
    None
):
    """Reading is paused behind the head of the second request."""
    async with caller(draining=True) as one:
        await one.send(post('/a'))
        whole = post('/b', b'x' * 20_000)
        await one.send(whole[:100])
        await one.send(whole[100:], post('/c'))
        received = await one.read_to_end()
    assert one.application.served == ['/a', '/b', '/c']
    assert closing_heads(received) == [False, False, True]


@pytest.mark.parametrize('path', ['/a', '/begun'])
async def test_shutdown_of_the_server_drops_requests_behind_the_running_one(
    path: str,
) -> None:
    """They are read before the shutdown, and after it."""
    async with caller(draining=False) as one:
        await one.send(post(path))
        one.server.request_shutdown()
        await one.send(post('/b'))
        received = await one.read_to_end()
    assert one.application.served == [path, '/b']
    assert closing_heads(received) == [False, True]


async def test_request_is_read_behind_a_response_that_ends_the_connection() -> (
    None
):
    """It would never be answered; unread, its caller may send it again."""
    async with caller(draining=True) as one:
        await one.send(post('/begun'))
        await one.send(post('/late'))
        connection = next(iter(one.server.server_state.connections))
        opened = connection.transport.get_extra_info('socket')
        waiting = fcntl.ioctl(opened.fileno(), termios.FIONREAD, bytes(4))
        assert int.from_bytes(waiting, sys.byteorder) == len(post('/late'))
        received = await one.reader.readuntil(b'/begun')
    assert closing_heads(received) == [True]


async def test_failure_of_the_application_drops_requests_behind_it() -> None:
    """It is answered, and so are they."""
    async with caller(draining=False) as one:
        await one.send(post('/fails'), post('/b', more=LAST))
        received = await one.read_to_end()
    assert received.startswith(b'HTTP/1.1 500')
    assert one.application.served == ['/b']


async def test_request_that_was_read_partly_holds_the_connection() -> None:
    """The last whole request's response ends it."""
    async with caller(draining=True) as one:
        await one.send(post('/a'), post('/b', b'body')[:-1])
        received = await one.read_to_end()
    assert one.application.served == ['/a']
    assert closing_heads(received) == [True]


async def test_broken_request_drops_or_overtakes_the_answers_before_it() -> (
    None
):
    """The refusal comes last, and a request that it breaks is not run."""
    broken = b'POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n'
    async with caller(draining=False) as one:
        await one.send(post('/a'), post('/b'), broken)
        received = await one.read_to_end()
    assert one.application.served == ['/a', '/b']
    assert received.index(b'/b') < received.index(b'HTTP/1.1 400')
    assert closing_heads(received)[:1] == [False]


async def test_answer_follows_on_one_that_ends_the_connection() -> None:
    """A caller that closes with a request is answered once, before its end."""
    async with caller(draining=False) as one:
        await one.send(
            post('/a'),
            post('/b', more=LAST),
            post('/c'),
        )
        received = await one.read_to_end()
    assert one.application.served == ['/a', '/b']
    assert closing_heads(received) == [False, True]


@pytest.mark.parametrize('ends_by', ['shutdown', 'idle'])
async def test_request_in_the_socket_is_lost_when_an_idle_connection_ends(
    ends_by: str,
) -> None:
    """It arrives before the loop that closes the connection reads again."""
    async with caller(draining=False, idle_timeout=1) as one:
        await one.send(post('/quick'))
        connection = next(iter(one.server.server_state.connections))
        one.writer.write(post('/late'))
        if ends_by == 'shutdown':
            connection.shutdown()
        else:
            connection.timeout_keep_alive_handler()  # type: ignore[union-attr]
        received = await one.read_to_end()
    assert one.application.served == ['/quick', '/late']
    assert received.endswith(b'/late')
