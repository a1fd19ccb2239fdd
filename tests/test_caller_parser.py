"""What callers may send, and that nothing is read out of it wrongly."""

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
PATIENCE = 10
"""Time allowed for an answer or the end of a connection, in seconds."""
HIDDEN = b'GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n'
"""Request that must only ever be read as a body."""
START = b'POST /outer HTTP/1.1\r\n'
HOST_LINE = b'Host: a\r\n'


@attrs.define
class Recorder:
    """Application that notes what it is asked."""

    address: Address
    portal: BlockingPortal
    paths: list[str] = attrs.field(factory=list)
    bodies: list[bytes] = attrs.field(factory=list)

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Note one request."""
        self.paths.append(scope['path'])
        body = await read_body(receive)
        self.bodies.append(body)
        await send_response(send, 200, [(b'content-length', b'2')], b'ok')

    def ask(self, *sent: bytes, answers: int = 0) -> bytes:
        """Send bytes on a fresh connection and read what comes back.

        Without a number of answers to wait for, the bytes are all that the
        caller will send.
        """
        self.paths.clear()
        self.bodies.clear()
        at = (self.address.host, self.address.port)
        with socket.create_connection(at, PATIENCE) as connection:
            connection.sendall(b''.join(sent))
            if not answers:
                connection.shutdown(socket.SHUT_WR)
            received = _read(connection, answers)
        self.portal.call(anyio.sleep, 0)
        return received


def _read(connection: socket.socket, answers: int) -> bytes:
    received = b''
    with suppress(ConnectionResetError):
        for chunk in iter(partial(connection.recv, CHUNK), b''):
            received += chunk
            if answers and received.count(b'HTTP/1.1') >= answers:
                break
    return received


@pytest.fixture(scope='module')
def recorder() -> Iterator[Recorder]:
    """Serve the application in a thread."""
    with start_blocking_portal() as portal:
        noted = Recorder(free_address(), portal)
        server = make_http_server(noted, noted.address)
        future = portal.start_task_soon(server.serve)
        while not server.started:
            portal.call(anyio.sleep, 0.01)
        yield noted
        portal.call(server.request_shutdown)
        future.result()


lengths = st.sampled_from(
    [b'Content-Length: %d', b'content-length:%d', b'CONTENT-LENGTH: 0%d']
)
transfers = st.sampled_from(
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


@given(lengths, transfers, st.booleans())
def test_length_beside_chunks_hides_nothing(
    recorder: Recorder, length: bytes, transfer: bytes, length_first: bool
) -> None:
    """Whichever counts, the bytes after it are not another request."""
    end = b'0\r\n\r\n'
    lines = [length % (len(end) + len(HIDDEN)), transfer]
    if not length_first:
        lines.reverse()
    head = b'\r\n'.join(lines)
    recorder.ask(START, HOST_LINE, head, b'\r\n\r\n', end, HIDDEN)
    assert '/hidden' not in recorder.paths


@given(st.integers(0, 60), st.integers(0, 60), lengths, lengths)
@example(0, len(HIDDEN), b'Content-Length: %d', b'Content-Length: %d')
def test_two_lengths_hide_nothing(
    recorder: Recorder, first: int, other: int, one: bytes, two: bytes
) -> None:
    """Unequal lengths are refused, and none of the body is served."""
    head = b'\r\n'.join((one % first, two % other))
    answer = recorder.ask(START, HOST_LINE, head, b'\r\n\r\n', HIDDEN)
    if first != other:
        assert not recorder.paths
        assert not answer or answer.startswith(b'HTTP/1.1 400')


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
def test_broken_length_is_refused(recorder: Recorder, line: bytes) -> None:
    """A length that readers may take differently ends the connection."""
    size = len(HIDDEN)
    field = line.replace(b'%d', b'%d' % size).replace(b'%x', b'%x' % size)
    answer = recorder.ask(START, HOST_LINE, field, b'\r\n\r\n', HIDDEN)
    assert not recorder.paths
    assert not answer or answer.startswith(b'HTTP/1.1 400')


@given(st.binary(max_size=200), st.lists(st.integers(0, 200), max_size=3))
def test_any_bytes_leave_the_server_at_work(
    recorder: Recorder, noise: bytes, cuts: list[int]
) -> None:
    """Noise, alone or inside a request, harms no other connection."""
    request = b'%b%bContent-Length: 2\r\n\r\nab' % (START, HOST_LINE)
    for cut in cuts:
        request = b''.join((request[:cut], noise, request[cut:]))
    recorder.ask(noise, request)
    answer = recorder.ask(HIDDEN, answers=1)
    assert answer.startswith(b'HTTP/1.1 200')
    assert recorder.paths == ['/hidden']


@given(st.binary(max_size=300))
def test_body_of_any_bytes_arrives_whole(
    recorder: Recorder, body: bytes
) -> None:
    """What follows it on the connection is another request."""
    head = b'Content-Length: %d\r\n\r\n' % len(body)
    recorder.ask(START, HOST_LINE, head, body, HIDDEN, answers=2)
    assert recorder.paths == ['/outer', '/hidden']
    assert recorder.bodies == [body, b'']
