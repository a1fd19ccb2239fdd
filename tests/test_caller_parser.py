"""Parsing of callers' requests by the HTTP server.

Guards against request smuggling: a proxy in front of the server and the
server must not disagree about where a request ends.
"""

from __future__ import annotations

import socket
from contextlib import suppress
from functools import partial
from typing import TYPE_CHECKING

import anyio
import attrs
import pytest
from anyio.from_thread import BlockingPortal, start_blocking_portal
from hypothesis import example, given
from hypothesis import strategies as st

from direct_fleet import free_address
from dogwoodmast._asgi import send_response
from dogwoodmast.address import Address
from dogwoodmast.http_server import make_http_server
from dogwoodmast.standins._http import read_body

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dogwoodmast._asgi import Receive, Scope, Send

CHUNK = 65_536
"""Maximum number of bytes per read from a socket."""
SOCKET_TIMEOUT = 10
"""Limit of each socket operation, in seconds."""
SMUGGLED_REQUEST = b'GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n'
"""Request that is placed where the server must read a body."""
REQUEST_LINE = b'POST /outer HTTP/1.1\r\n'
HOST_LINE = b'Host: a\r\n'


@attrs.define
class RecordingApplication:
    """ASGI application that records the paths and bodies of requests."""

    address: Address
    portal: BlockingPortal
    paths: list[str] = attrs.field(factory=list)
    bodies: list[bytes] = attrs.field(factory=list)

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Record one request and respond to it."""
        self.paths.append(scope['path'])
        body = await read_body(receive)
        self.bodies.append(body)
        await send_response(send, 200, [(b'content-length', b'2')], b'ok')

    def send_bytes(self, *parts: bytes, responses: int = 0) -> bytes:
        """Send bytes on a new connection and read the responses.

        :param parts: Bytes to send, in order.
        :param responses: Number of responses to wait for.  If it is 0, the
            sending side is closed and the server has to end the connection.
        :return: Bytes received.
        """
        self.paths.clear()
        self.bodies.clear()
        server_address = (self.address.host, self.address.port)
        with socket.create_connection(
            server_address, SOCKET_TIMEOUT
        ) as connection:
            connection.sendall(b''.join(parts))
            if not responses:
                connection.shutdown(socket.SHUT_WR)
            received = _read(connection, responses)
        self.portal.call(anyio.sleep, 0)
        return received


def _read(connection: socket.socket, responses: int) -> bytes:
    received = b''
    with suppress(ConnectionResetError):
        for chunk in iter(partial(connection.recv, CHUNK), b''):
            received += chunk
            if responses and received.count(b'HTTP/1.1') >= responses:
                break
    return received


@pytest.fixture(scope='module')
def application() -> Iterator[RecordingApplication]:
    """Serve a recording application in a thread."""
    with start_blocking_portal() as portal:
        application = RecordingApplication(free_address(), portal)
        server = make_http_server(application, application.address)
        future = portal.start_task_soon(server.serve)
        while not server.started:
            portal.call(anyio.sleep, 0.01)
        yield application
        portal.call(server.request_shutdown)
        future.result()


content_lengths = st.sampled_from(
    [b'Content-Length: %d', b'content-length:%d', b'CONTENT-LENGTH: 0%d']
)
transfer_encodings = st.sampled_from(
    [
        b'Transfer-Encoding: chunked',
        b'transfer-encoding:chunked',
        b'Transfer-Encoding: identity, chunked',
        b'Transfer-Encoding: chunked, chunked',
        b'Transfer-Encoding: xchunked',
        b'Transfer-Encoding: chunked, identity',
        b'Transfer-Encoding:\tchunked',
    ]
)


@given(content_lengths, transfer_encodings, st.booleans())
def test_content_length_with_transfer_encoding_smuggles_nothing(
    application: RecordingApplication,
    content_length: bytes,
    transfer_encoding: bytes,
    length_first: bool,
) -> None:
    """A body with both kinds of framing contains no other request.

    If the server used the chunks and a proxy the length, the bytes after the
    last chunk would reach the server as a request that the proxy never saw.
    """
    end = b'0\r\n\r\n'
    lines = [
        content_length % (len(end) + len(SMUGGLED_REQUEST)),
        transfer_encoding,
    ]
    if not length_first:
        lines.reverse()
    head = b'\r\n'.join(lines)
    application.send_bytes(
        REQUEST_LINE, HOST_LINE, head, b'\r\n\r\n', end, SMUGGLED_REQUEST
    )
    assert '/hidden' not in application.paths


@given(st.integers(0, 60), st.integers(0, 60), content_lengths, content_lengths)
@example(0, len(SMUGGLED_REQUEST), b'Content-Length: %d', b'Content-Length: %d')
def test_conflicting_content_lengths_are_refused(
    application: RecordingApplication,
    first_length: int,
    second_length: int,
    first_line: bytes,
    second_line: bytes,
) -> None:
    """Different lengths are refused, and no request is read from the body.

    If the server and a proxy each used another one, the end of the body
    could be taken for a request.
    """
    head = b'\r\n'.join(
        (first_line % first_length, second_line % second_length)
    )
    response = application.send_bytes(
        REQUEST_LINE, HOST_LINE, head, b'\r\n\r\n', SMUGGLED_REQUEST
    )
    if first_length != second_length:
        assert not application.paths
        assert not response or response.startswith(b'HTTP/1.1 400')


@given(
    st.sampled_from(
        [
            b'Content-Length : %d',
            b'Content-Length: +%d',
            b'Content-Length: -%d',
            b'Content-Length: 0x%x',
            b'Content-Length: %d,%d',
            b'Content-Length: %d 0',
            b'Content-Length: %d\r\n 1',
            b'Content\x00-Length: %d',
            b'X-Broken\r\nContent-Length: %d',
            b'X: a\rContent-Length: %d',
        ]
    )
)
def test_malformed_content_length_is_refused(
    application: RecordingApplication, line: bytes
) -> None:
    """An ambiguous length is refused, and no request is read from the body.

    Parsers differ in whether they ignore, repair or refuse such a header.
    """
    size = len(SMUGGLED_REQUEST)
    header = line.replace(b'%d', b'%d' % size).replace(b'%x', b'%x' % size)
    response = application.send_bytes(
        REQUEST_LINE, HOST_LINE, header, b'\r\n\r\n', SMUGGLED_REQUEST
    )
    assert not application.paths
    assert not response or response.startswith(b'HTTP/1.1 400')


@given(st.binary(max_size=200), st.lists(st.integers(0, 200), max_size=3))
def test_random_bytes_affect_no_other_connection(
    application: RecordingApplication, random_bytes: bytes, positions: list[int]
) -> None:
    """Random bytes, alone or inside a request, affect no other connection.

    A parser error must end only the connection that it occurs on.
    """
    request = b'%b%bContent-Length: 2\r\n\r\nab' % (REQUEST_LINE, HOST_LINE)
    for position in positions:
        request = b''.join(
            (request[:position], random_bytes, request[position:])
        )
    application.send_bytes(random_bytes, request)
    response = application.send_bytes(SMUGGLED_REQUEST, responses=1)
    assert response.startswith(b'HTTP/1.1 200')
    assert application.paths == ['/hidden']


@given(st.binary(max_size=300))
def test_body_of_any_bytes_arrives_complete(
    application: RecordingApplication, body: bytes
) -> None:
    """A body arrives unchanged, and the next request is read after it.

    Guards against a server that interprets bytes of a body, or that reads
    past its end.
    """
    head = b'Content-Length: %d\r\n\r\n' % len(body)
    application.send_bytes(
        REQUEST_LINE, HOST_LINE, head, body, SMUGGLED_REQUEST, responses=2
    )
    assert application.paths == ['/outer', '/hidden']
    assert application.bodies == [body, b'']
