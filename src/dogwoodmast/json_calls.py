"""JSON calls to a key-value service over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import httpcore
import orjson

from dogwoodmast.errors import PlatformAnswerLost, PlatformUnavailable

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager

CONNECT_TIMEOUT = 0.5
"""Time allowed to open a connection, in seconds."""
CALL_TIMEOUT = 2.0
"""Time allowed for an answer, in seconds."""
MAX_CONNECTIONS = 8
"""Connections that one process keeps to the service."""
JSON_HEADERS = ((b'content-type', b'application/json'),)

UNSENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)
"""Failures before anything was sent."""
LOST_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
"""Failures after which a call may have taken effect."""


class JsonCalls:
    """Connections to one key-value service."""

    def __init__(self, endpoint: str) -> None:
        """Create the caller; connections open when needed.

        :param endpoint: Base URL, such as ``http://127.0.0.1:2379``.
        """
        self._endpoint = endpoint.rstrip('/')
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS
        )
        self._calls = 0

    @property
    def endpoint(self) -> str:
        """Base URL of the service."""
        return self._endpoint

    @property
    def calls(self) -> int:
        """Calls made so far, each stream counted as one."""
        return self._calls

    async def aclose(self) -> None:
        """Close every connection."""
        await self._pool.aclose()

    async def call(
        self,
        method: str,
        path: str,
        document: object = None,
        timeout: float = CALL_TIMEOUT,
    ) -> tuple[int, bytes]:
        """Make one call.

        :param method: HTTP method.
        :param path: Path with query.
        :param document: JSON document to send, or ``None``.
        :param timeout: Time allowed for the answer, in seconds.
        :return: Status and body of the answer.
        :raises PlatformUnavailable: If nothing was sent.
        :raises PlatformAnswerLost: If the call may have taken effect.
        """
        self._calls += 1
        try:
            response = await self._pool.request(
                method,
                f'{self._endpoint}{path}',
                headers=JSON_HEADERS,
                content=None if document is None else orjson.dumps(document),
                extensions=_timeouts(timeout),
            )
        except UNSENT_ERRORS:
            raise PlatformUnavailable(self._endpoint) from None
        except LOST_ERRORS:
            raise PlatformAnswerLost(self._endpoint) from None
        return response.status, response.content

    def open_stream(
        self, path: str, document: object
    ) -> AbstractAsyncContextManager[httpcore.Response]:
        """Open an answer that has no end.

        :param path: Path.
        :param document: JSON document to send.
        :return: Context manager of the answer.
        """
        self._calls += 1
        return self._pool.stream(
            'POST',
            f'{self._endpoint}{path}',
            headers=JSON_HEADERS,
            content=orjson.dumps(document),
            extensions={'timeout': {'connect': CONNECT_TIMEOUT}},
        )


def _timeouts(seconds: float) -> dict[str, Any]:
    return {
        'timeout': {
            'connect': CONNECT_TIMEOUT,
            'read': seconds,
            'write': seconds,
            'pool': seconds,
        }
    }
