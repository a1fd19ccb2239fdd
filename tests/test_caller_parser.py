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

MANY_REQUESTS = 700
"""Number of requests, more than half of the interpreter's recursion limit."""
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
        return self.send_pieces([b''.join(parts)], responses)

    def send_pieces(self, pieces: list[bytes], responses: int = 0) -> bytes:
        """Send pieces on a new connection one by one and read the responses.

        :param pieces: Pieces, each of which the server mostly reads by itself.
        :param responses: Number of responses to wait for, as above.
        :return: Bytes received.
        """
        self.paths.clear()
        self.bodies.clear()
        server_address = (self.address.host, self.address.port)
        with socket.create_connection(
            server_address, SOCKET_TIMEOUT
        ) as connection:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for piece in pieces:
                connection.sendall(piece)
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


H2C_OFFER = (
    b'Connection: Upgrade, HTTP2-Settings\r\n'
    b'Upgrade: h2c\r\n'
    b'HTTP2-Settings: AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA\r\n'
)
WEBSOCKET_OFFER = b'Connection: upgrade\r\nUpgrade: websocket\r\n'
FRAMED_BODIES = (
    (b'Content-Length: %d\r\n' % len(SMUGGLED_REQUEST), SMUGGLED_REQUEST),
    (
        b'Transfer-Encoding: chunked\r\n',
        b'%x\r\n%b\r\n0\r\n\r\n' % (len(SMUGGLED_REQUEST), SMUGGLED_REQUEST),
    ),
)
"""Headers that frame a body which is itself a request, and the body as sent."""


@pytest.mark.parametrize('offer', [H2C_OFFER, WEBSOCKET_OFFER])
@pytest.mark.parametrize(('framing', 'body'), FRAMED_BODIES)
@pytest.mark.parametrize('piece', [1, 7, CHUNK])
def test_body_behind_an_offer_of_another_protocol_runs_as_a_request(
    application: RecordingApplication,
    offer: bytes,
    framing: bytes,
    body: bytes,
    piece: int,
) -> None:
    """A server may ignore the offer, but not the body of the request.

    Guards against requests that lose their bodies, which then run themselves.
    """
    head = b''.join((REQUEST_LINE, HOST_LINE, framing, offer, b'\r\n'))
    sent = b''.join((head, body, b'GET /last HTTP/1.1\r\nHost: a\r\n\r\n'))
    pieces = [sent[at : at + piece] for at in range(0, len(sent), piece)]
    received = application.send_pieces(pieces, responses=2)
    assert application.paths == ['/outer', '/last']
    assert application.bodies == [SMUGGLED_REQUEST, b'']
    assert received.count(b'HTTP/1.1 200') == 2


@pytest.mark.parametrize('offer', [H2C_OFFER, WEBSOCKET_OFFER])
def test_requests_without_a_body_may_offer_another_protocol(
    application: RecordingApplication, offer: bytes
) -> None:
    """Each of several requests on a connection offers it."""
    request = b''.join((b'GET /outer HTTP/1.1\r\n', HOST_LINE, offer, b'\r\n'))
    received = application.send_bytes(request, request, request, responses=3)
    assert application.paths == ['/outer', '/outer', '/outer']
    assert received.count(b'HTTP/1.1 200') == 3


@pytest.mark.parametrize(
    'framing',
    [
        b'Content-Length: 2\r\nTransfer-Encoding: chunked\r\n',
        b'Transfer-Encoding: chunked\r\n',
    ],
)
def test_malformed_body_behind_an_offer_is_refused(
    application: RecordingApplication, framing: bytes
) -> None:
    """The framing is checked as without the offer."""
    head = b''.join((REQUEST_LINE, HOST_LINE, framing, H2C_OFFER, b'\r\n'))
    received = application.send_bytes(head, b'x', SMUGGLED_REQUEST)
    assert '/hidden' not in application.paths
    assert received.startswith(b'HTTP/1.1 400')


def test_refusal_behind_an_offer_drops_the_request_before_it(
    application: RecordingApplication,
) -> None:
    """A request that was read whole is answered before the refusal."""
    first = b'GET /first HTTP/1.1\r\nHost: a\r\n\r\n'
    framing = b'Transfer-Encoding: gzip\r\n'
    head = b''.join((REQUEST_LINE, HOST_LINE, framing, H2C_OFFER, b'\r\n'))
    received = application.send_bytes(first, head, b'x')
    assert application.paths == ['/first']
    assert received.startswith(b'HTTP/1.1 200')
    assert received.count(b'HTTP/1.1 400') == 1


def test_many_offers_in_one_read_break_the_connection(
    application: RecordingApplication,
) -> None:
    """Each is declined without a deeper call stack than the one before."""
    request = b''.join(
        (b'GET /outer HTTP/1.1\r\n', HOST_LINE, WEBSOCKET_OFFER, b'\r\n')
    )
    requests = request * MANY_REQUESTS
    received = application.send_bytes(requests, responses=MANY_REQUESTS)
    assert received.count(b'HTTP/1.1 200') == MANY_REQUESTS


def test_nothing_is_read_behind_a_request_for_a_tunnel(
    application: RecordingApplication,
) -> None:
    """What follows would be meant for the tunnel."""
    connect = b'CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n'
    application.send_bytes(connect, SMUGGLED_REQUEST)
    assert '/hidden' not in application.paths


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
