"""ASGI types and the small pieces that all HTTP endpoints share."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, MutableMapping
from http import HTTPStatus
from typing import Any

import orjson

Scope = MutableMapping[str, Any]
"""What an ASGI server tells of a request."""
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
"""Callable that gives the request's next event."""
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
"""Callable that takes the answer's next event."""
RawHeaders = list[tuple[bytes, bytes]]
"""Headers of an answer."""


async def send_response(
    send: Send, status: int, headers: RawHeaders, body: bytes
) -> None:
    """Send an answer whole.

    :param send: ASGI send callable.
    :param status: HTTP status.
    :param headers: Headers.
    :param body: Body.
    """
    await send(
        {
            'type': 'http.response.start',
            'status': int(status),
            'headers': headers,
        }
    )
    await send({'type': 'http.response.body', 'body': body})


async def send_json(
    send: Send, document: object, status: int = HTTPStatus.OK
) -> None:
    """Send a JSON document.

    :param send: ASGI send callable.
    :param document: Document to send.
    :param status: HTTP status.
    """
    body = orjson.dumps(document)
    headers = [
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
    ]
    await send_response(send, status, headers, body)
