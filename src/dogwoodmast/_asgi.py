"""ASGI types and helpers that all HTTP endpoints share."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, MutableMapping
from http import HTTPStatus
from typing import Any

import orjson

Scope = MutableMapping[str, Any]
"""ASGI connection scope: method, path, headers and so on."""
Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
"""Callable that waits for the next event of a request, such as a part of its
body."""
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
"""Callable that sends the next event of a response."""
RawHeaders = list[tuple[bytes, bytes]]
"""Names and values of response headers."""


async def send_response(
    send: Send,
    status: int,
    headers: RawHeaders,
    body: bytes,
    has_more: bool = False,
) -> None:
    """Send a complete response.

    :param send: ASGI send callable of the request.
    :param status: HTTP status code.
    :param headers: Response headers, sent as given.
    :param body: Response body.
    :param has_more: Whether the end of the body is sent later.
    """
    await send(
        {
            'type': 'http.response.start',
            'status': int(status),
            'headers': headers,
        }
    )
    await send(
        {'type': 'http.response.body', 'body': body, 'more_body': has_more}
    )


async def send_json(
    send: Send, document: object, status: int = HTTPStatus.OK
) -> None:
    """Send a complete response with a JSON body.

    :param send: ASGI send callable of the request.
    :param document: Object that is serialised as JSON.
    :param status: HTTP status code.
    """
    body = orjson.dumps(document)
    headers = [
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
    ]
    await send_response(send, status, headers, body)
