"""Connection of a caller, which ends only behind requests that were read.

A caller may send requests behind one that still runs.  A request that was read
whole must be answered, so that only the last one's response closes the
connection, whether the application, the end of the server or a malformed
request behind it is the reason.
"""

from __future__ import annotations

import os
import types
from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from uvicorn.protocols.http.httptools_impl import STATUS_LINE

from dogwoodmast._asgi import send_response
from dogwoodmast.edge.bounded_connection import BoundedConnection
from dogwoodmast.edge.connection_phase import EndReason
from dogwoodmast.joined_writes import JoinedWrites
from dogwoodmast.problem import Problem, ProblemType
from dogwoodmast.problem_response import problem_response

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, MutableMapping

    from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

    from dogwoodmast._asgi import Receive, Scope, Send

_CLOSE = (b'connection', b'close')
_REFUSALS = types.MappingProxyType(
    {
        EndReason.HEADER_BYTES: ProblemType.HEADER_TOO_LARGE,
        EndReason.HEADER_TIME: ProblemType.REQUEST_TIMEOUT,
    }
)
"""Problem of a request that is refused while it is being read."""
READ_BYTES = 65_536
"""Bytes that are read at a time from a connection that is about to end."""
MAX_READS = 4
"""Number of reads from a connection that is about to end."""


class CallerConnection(BoundedConnection):
    """Connection of a caller, which sends head and body of a response in one
    write."""

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read, queued or run."""
        return self.cycle is None or self.cycle.response_complete

    def __init__(self, *configuration: Any, **options: Any) -> None:
        """Create the protocol of a connection that is not made yet.

        :param configuration: Arguments of uvicorn's protocol.
        :param options: Keyword arguments of uvicorn's protocol.
        """
        super().__init__(*configuration, **options)
        self._application: Any = self.app
        self.app = self._serve
        # Whether the server closes its connections.
        self._is_stopping = False
        # Whether a response has announced that it is the last one.
        self._is_ending = False
        # Sends an error after the responses to the requests before it.
        self._refusal: Callable[[], None] | None = None

    def connection_made(self, transport: Any) -> None:
        """Start to serve a connection.

        :param transport: Transport of the connection.
        """
        super().connection_made(JoinedWrites(transport))

    def data_received(self, chunk: bytes) -> None:
        """Parse requests, unless no more of them can be answered.

        :param chunk: Bytes that were read.
        """
        if self._takes_more():
            super().data_received(chunk)
        else:
            self.flow.pause_reading()

    def send_400_response(self, msg: str) -> None:
        """Refuse a malformed request, after the responses before it.

        :param msg: Error, as text for the caller.
        """
        self._refuse(partial(super().send_400_response, msg))

    def refuse(self, reason: EndReason) -> None:
        """Refuse the request that is being read, and end the connection.

        :param reason: Why it is refused.
        """
        refusal = _REFUSALS.get(reason)
        if refusal is None:
            self.end(reason)
        else:
            self._refuse(partial(self._send_last, Problem(refusal)))

    def on_response_complete(self) -> None:
        """Start the next request that was read, or end the connection."""
        super().on_response_complete()
        if self.is_served or self.transport.is_closing():
            return
        if self._refusal is not None:
            self._refusal()
        elif self._is_stopping:
            self.shutdown()

    def shutdown(self) -> None:
        """Close the connection behind the last request that was read."""
        self._is_stopping = True
        if self.is_idle:
            self._read_pending()
        if self.is_idle:
            self.transport.close()

    def timeout_keep_alive_handler(self) -> None:
        """Close an idle connection, unless a request has just arrived."""
        if not self._read_pending():
            super().timeout_keep_alive_handler()

    def _takes_more(self) -> bool:
        return (
            not self._is_ending
            and self._refusal is None
            and super()._takes_more()
        )

    def _refuse(self, send: Callable[[], None]) -> None:
        """Send a last response once those before it are complete.

        :param send: Sends it and closes the connection.
        """
        if self._refusal is None and self._must_answer_first():
            self._refusal = send
            self.flow.pause_reading()
        elif self._refusal is None and self._has_begun():
            # What is written here would be taken for a part of the response.
            self.transport.close()
        else:
            send()

    def _send_last(self, problem: Problem) -> None:
        """Send a problem, and close the connection.

        :param problem: Problem of the request that is being read.
        """
        response = problem_response(problem)
        headers = b''.join(
            f'{header.name}: {header.value}\r\n'.encode()
            for header in response.headers
        )
        length = f'content-length: {len(response.body)}\r\n'.encode()
        head = STATUS_LINE[response.status] + headers + length
        self.transport.write(
            b'%bconnection: close\r\n\r\n%b' % (head, response.body)
        )
        self.transport.close()

    def _must_answer_first(self) -> bool:
        """Tell whether requests wait for their responses; forget a broken
        one."""
        if self.pipeline and self.pipeline[0][0].more_body:
            self.pipeline.popleft()
            return True
        return not (self.is_idle or self.cycle.more_body)

    def _has_begun(self) -> bool:
        return not self.is_idle and self.cycle.response_started

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Run the application for one request.

        An error of it closes the connection as other responses do.
        """
        cycle: RequestResponseCycle = send.__self__  # type: ignore[attr-defined]
        send_next = partial(self._send, cycle)
        try:
            await self._application(scope, receive, send_next)
        except Exception:  # one request must not drop those behind it
            if cycle.response_started:
                raise
            self.logger.exception('Exception in ASGI application')
            status = HTTPStatus.INTERNAL_SERVER_ERROR
            headers = [(b'content-length', b'0'), _CLOSE]
            await send_response(send_next, status, headers, b'')

    def _send(
        self, cycle: RequestResponseCycle, message: MutableMapping[str, Any]
    ) -> Awaitable[None]:
        if message['type'] != 'http.response.start':
            return cycle.send(message)  # type: ignore[arg-type]
        if self.flow.write_paused:
            return self._send_later(cycle, message)
        return cycle.send(
            self._announce_end(cycle, message)  # type: ignore[arg-type]
        )

    async def _send_later(
        self, cycle: RequestResponseCycle, message: MutableMapping[str, Any]
    ) -> None:
        """Start a response once the one before it has left the buffer."""
        await self.flow.drain()
        await cycle.send(
            self._announce_end(cycle, message)  # type: ignore[arg-type]
        )

    def _announce_end(
        self, cycle: RequestResponseCycle, message: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Close with a response if it is the last one, and only then."""
        announced = message.get('headers', ())
        closes = _CLOSE in announced
        if not closes and not self._is_stopping:
            return message
        self._is_ending = not cycle.keep_alive or not self._is_followed(cycle)
        if self._is_ending:
            # What arrives from now on is left unread, as it is not answered.
            self.flow.pause_reading()
        if closes is self._is_ending:
            return message
        headers = [one for one in announced if one != _CLOSE]
        if not closes:
            headers.append(_CLOSE)
        return {**message, 'headers': headers}

    def _is_followed(self, cycle: RequestResponseCycle) -> bool:
        """Tell whether another request has arrived whole behind one."""
        if cycle.more_body:
            return False
        if not self._has_whole_request():
            self._read_pending()
        return self._has_whole_request()

    def _has_whole_request(self) -> bool:
        return any(not queued.more_body for queued, _app in self.pipeline)

    def _read_pending(self) -> bool:
        """Read what has arrived, before the event loop does.

        :return: Whether anything had arrived.
        """
        has_read = False
        for _ in range(MAX_READS):
            chunk = self._read_chunk()
            if not chunk:
                break
            has_read = True
            self.data_received(chunk)
        return has_read

    def _read_chunk(self) -> bytes:
        if self.transport.is_closing():
            return b''
        opened = self.transport.get_extra_info('socket')
        try:
            return os.read(opened.fileno(), READ_BYTES)
        except OSError:
            # Nothing has arrived, or the connection is broken, which the event
            # loop finds out itself.
            return b''
