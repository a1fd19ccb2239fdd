"""Connection that speaks HTTP/1.1 whatever a caller offers.

A caller may offer another protocol with a request, which a server may ignore.
The parser leaves the body of such a request to that protocol; here it is read
in HTTP/1.1 like any other.
"""

from __future__ import annotations

from typing import Any

import httptools
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

_FRAMING_HEADERS = frozenset((b'content-length', b'transfer-encoding'))
"""Headers that tell where the body of a request ends."""
Buffer = bytes | memoryview
"""Bytes, or a view of them."""
_MALFORMED = 'Invalid HTTP request received.'


class PlainConnection(HttpToolsProtocol):
    """Connection that declines all offers of other protocols."""

    @property
    def has_unsent(self) -> bool:
        """Whether the client has yet to take bytes of a response."""
        return bool(self.transport.get_write_buffer_size())

    def __init__(self, *configuration: Any, **options: Any) -> None:
        """Create the protocol of a connection that is not made yet.

        :param configuration: Arguments of uvicorn's protocol.
        :param options: Keyword arguments of uvicorn's protocol.
        """
        super().__init__(*configuration, **options)
        # Whether the parser reads again a head that it has reported.
        self._is_head_repeated = False

    def data_received(self, chunk: bytes) -> None:
        """Parse requests.

        :param chunk: Bytes that were read.
        """
        self._unset_keepalive_if_required()
        self.parse_requests(chunk)

    def parse_requests(self, piece: Buffer) -> None:
        """Parse a piece of what was read, and refuse it if it is malformed.

        :param piece: Bytes, or a view of them.
        """
        try:
            while piece:
                piece = self._parse(piece)
        except httptools.HttpParserError:
            self.logger.warning(_MALFORMED)
            self.send_400_response(_MALFORMED)

    def on_message_begin(self) -> None:
        """Begin a request."""
        if not self._is_head_repeated:
            super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Add to the URL of a request.

        :param url: Part of the URL.
        """
        if not self._is_head_repeated:
            super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header of a request.

        :param name: Name.
        :param value: Value.
        """
        if not self._is_head_repeated:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Start to serve a request."""
        if not self._is_head_repeated:
            super().on_headers_complete()

    def on_message_complete(self) -> None:
        """End the body of a request, unless it is yet to be read."""
        if not self._is_offer():
            super().on_message_complete()
            self.on_request_end()

    def on_request_end(self) -> None:
        """Do nothing; called when a request has been read whole."""

    def _should_upgrade(self) -> bool:
        """Tell that no other protocol is spoken."""
        return False

    def _is_offer(self) -> bool:
        """Tell whether the parser leaves a body to a protocol on offer."""
        return (
            self.parser.should_upgrade() and self.scope['method'] != 'CONNECT'
        )

    def _parse(self, chunk: Buffer) -> Buffer:
        """Parse requests up to an offer of another protocol, and decline it.

        :param chunk: Bytes that were read.
        :return: Bytes behind the head with the offer that are to be parsed.
        """
        try:
            self.parser.feed_data(chunk)
        except httptools.HttpParserUpgrade as offer:
            return self._decline(chunk[offer.args[0] :])
        return b''

    def _decline(self, rest: Buffer) -> Buffer:
        """Read on in HTTP/1.1 behind a head that offers another protocol.

        :param rest: Bytes behind the head.
        :return: Bytes that are to be parsed.
        """
        if not self._is_offer():
            # No tunnel is opened, and what follows is meant for it.
            self.cycle.keep_alive = False
            return b''
        framing = [
            b'%b: %b\r\n' % header
            for header in self.headers
            if header[0] in _FRAMING_HEADERS
        ]
        self.parser = httptools.HttpRequestParser(self)
        self.parser.set_dangerous_leniencies(lenient_data_after_close=True)
        self._is_head_repeated = True
        self.parser.feed_data(b'POST / HTTP/1.1\r\n%b\r\n' % b''.join(framing))
        self._is_head_repeated = False
        return rest
