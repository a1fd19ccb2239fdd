"""Parsing and validation of callers' HTTP requests.

The path of a request is ``/SERVICE/KEY/REST``, of which the back end gets
``/KEY/REST``.
"""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING
from urllib.parse import unquote

import attrs

from dogwoodmast.configuration import (
    RequestKind,
    Service,
)
from dogwoodmast.errors import DogwoodmastError
from dogwoodmast.problem import Problem, ProblemType
from dogwoodmast.request import Header, Request

if TYPE_CHECKING:
    from dogwoodmast._asgi import Receive, Scope
    from dogwoodmast.configuration import (
        Configuration,
    )

MAX_BODY_BYTES = 1_048_576
"""Largest request body that is accepted."""
MAX_HEADER_BYTES = 16_384
"""Largest sum of the lengths of all header names and values."""
MAX_KEY_CHARACTERS = 512
"""Longest key that is accepted, after percent-decoding."""
MAX_TIMEOUT = 300.0
"""Largest Request-Timeout that is accepted, in seconds."""
REQUEST_ID_HEADER = 'idempotency-key'
"""Header with the id by which a repeated request is recognised."""
REQUEST_ID_VERSION = 7
"""Version of UUID that a request id must have; it carries a timestamp."""
TIMEOUT_HEADER = 'request-timeout'
"""Header with the time in which the caller needs the response, in seconds."""

_CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
"""Headers that concern only the connection to the caller or the encoding of
the message on it."""
_RESERVED_KEYS = frozenset(('', '.', '..'))
"""Path segments that are refused as keys: none, and the dot segments."""
_HEADERS_NOT_FORWARDED = _CONNECTION_HEADERS | {
    REQUEST_ID_HEADER,
    TIMEOUT_HEADER,
}
"""Headers that are not passed on as they are; the last two are carried by
fields of :class:`Request`."""


@attrs.define
class RequestRefused(DogwoodmastError):
    """A request of a caller is rejected before it is routed."""

    problem: Problem
    """Problem to report to the caller."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return f'{self.problem.type.slug}: {self.problem.detail}'


@attrs.frozen
class CallerRequest:
    """Request of a caller without its body, and what it matched."""

    service: Service
    """Service that the path names."""
    kind: RequestKind
    """Kind of request that method and path match."""
    request: Request
    """Request with an empty body."""


@attrs.frozen
class _Path:
    service: str
    key: str
    rest: str


def read_head(
    scope: Scope, configuration: Configuration, arrived_at: float
) -> CallerRequest:
    """Parse and validate the request line and the headers.

    :param scope: ASGI scope of the request.
    :param configuration: Configuration in force.
    :param arrived_at: Monotonic time of arrival, in seconds; the deadline
        counts from it.
    :return: Request with an empty body.
    :raises RequestRefused: If the request is not valid, or service, method
        or path are not configured.
    """
    path = _parse_path(scope)
    headers = _read_headers(scope)
    values = {header.name: header.value for header in headers}
    service = configuration.service(path.service)
    if service is None:
        raise _refusal(ProblemType.UNKNOWN_SERVICE, path.service)
    method = scope['method']
    kind = service.find_kind(method, path.rest)
    if kind is None:
        raise _refusal(ProblemType.METHOD_NOT_CONFIGURED, method)
    request = Request(
        service=path.service,
        key=path.key,
        method=method,
        path=path.rest,
        deadline=arrived_at + _parse_timeout(values.get(TIMEOUT_HEADER), kind),
        query=scope['query_string'].decode('latin-1'),
        headers=_end_to_end_headers(headers),
        customer=values.get(service.customer_header, ''),
        request_id=_parse_request_id(values.get(REQUEST_ID_HEADER), kind),
    )
    return CallerRequest(service, kind, request)


def _refusal(problem_type: ProblemType, detail: str) -> RequestRefused:
    return RequestRefused(Problem(problem_type, detail=detail))


def _parse_path(scope: Scope) -> _Path:
    raw: bytes = scope.get('raw_path') or scope['path'].encode()
    service, _, tail = raw.decode('latin-1')[1:].partition('/')
    key, _, rest = tail.partition('/')
    return _Path(unquote(service), _parse_key(key), f'/{rest}')


def _parse_key(text: str) -> str:
    try:
        key = unquote(text, errors='strict')
    except UnicodeDecodeError:
        raise _refusal(
            ProblemType.INVALID_KEY, 'the key is not UTF-8'
        ) from None
    if key in _RESERVED_KEYS:
        raise _refusal(
            ProblemType.INVALID_KEY,
            "the path has no key, or the key is '.' or '..'",
        )
    if len(key) > MAX_KEY_CHARACTERS or not key.isprintable():
        raise _refusal(
            ProblemType.INVALID_KEY,
            'the key is too long or has unprintable characters',
        )
    return key


def _read_headers(scope: Scope) -> tuple[Header, ...]:
    size = sum(len(name) + len(content) for name, content in scope['headers'])
    if size > MAX_HEADER_BYTES:
        raise _refusal(
            ProblemType.HEADER_TOO_LARGE,
            f'the headers are larger than {MAX_HEADER_BYTES} bytes',
        )
    return tuple(
        Header(name.decode('latin-1'), content.decode('latin-1'))
        for name, content in scope['headers']
    )


def _end_to_end_headers(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    return tuple(
        header
        for header in headers
        if header.name not in _HEADERS_NOT_FORWARDED
    )


def _parse_timeout(text: str | None, kind: RequestKind) -> float:
    if text is None:
        return kind.deadline
    try:
        timeout = float(text)
    except ValueError:
        timeout = 0
    if not 0 < timeout <= MAX_TIMEOUT:
        raise _refusal(
            ProblemType.INVALID_TIMEOUT,
            f'Request-Timeout must be positive and at most {MAX_TIMEOUT} s',
        )
    return min(timeout, kind.deadline)


def _parse_request_id(text: str | None, kind: RequestKind) -> str:
    if text is None:
        if kind.idempotent:
            return ''
        raise _refusal(
            ProblemType.REQUEST_ID_REQUIRED,
            f'requests of kind {kind.name} need an Idempotency-Key header',
        )
    try:
        parsed = uuid.UUID(text.strip('"'))
    except ValueError:
        parsed = uuid.UUID(int=0)
    if parsed.version != REQUEST_ID_VERSION:
        raise _refusal(
            ProblemType.INVALID_REQUEST_ID,
            'the Idempotency-Key is not a UUID of version 7',
        )
    return str(parsed)


async def read_body(receive: Receive) -> bytes:
    """Read the complete body of a request.

    :param receive: ASGI receive callable of the request.
    :return: Body, at most :data:`MAX_BODY_BYTES` long.
    :raises RequestRefused: If the body is too large, or the caller closes
        its connection first.
    """
    chunks = []
    size = 0
    has_more = True
    while has_more:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise _refusal(
                ProblemType.CALLER_LEFT,
                'the connection was closed before the body was complete',
            )
        chunk = message.get('body', b'')
        size += len(chunk)
        if size > MAX_BODY_BYTES:
            raise _refusal(
                ProblemType.BODY_TOO_LARGE,
                f'the body is larger than {MAX_BODY_BYTES} bytes',
            )
        chunks.append(chunk)
        has_more = message.get('more_body', False)
    return b''.join(chunks)
