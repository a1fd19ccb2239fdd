"""Reading and checking of callers' HTTP requests."""

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
MAX_HEADER_BYTES = 16_384
MAX_KEY_CHARACTERS = 512
MAX_TIMEOUT = 300.0
"""Longest time that a caller may ask for, in seconds."""
REQUEST_ID_HEADER = 'idempotency-key'
REQUEST_ID_VERSION = 7
TIMEOUT_HEADER = 'request-timeout'

_PER_CONNECTION = frozenset(
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
_UNUSABLE_KEYS = frozenset(('', '.', '..'))
_NOT_FORWARDED = _PER_CONNECTION | {REQUEST_ID_HEADER, TIMEOUT_HEADER}


@attrs.define
class RequestRefused(DogwoodmastError):
    """A request is not acceptable; its caller is told the problem."""

    problem: Problem
    """What the caller is told."""

    @property
    def message(self) -> str:
        """Describe the failure in one sentence."""
        return f'{self.problem.type.slug}: {self.problem.detail}'


@attrs.frozen
class CallerRequest:
    """A caller's request whose headers have been read."""

    service: Service
    """Service that is asked."""
    kind: RequestKind
    """Kind of the request."""
    request: Request
    """The request without its body."""


@attrs.frozen
class _Path:
    service: str
    key: str
    rest: str


def read_head(
    scope: Scope, configuration: Configuration, arrived: float
) -> CallerRequest:
    """Read and check all but the body.

    :param scope: ASGI scope.
    :param configuration: Configuration in force.
    :param arrived: Monotonic time of the arrival in seconds.
    :return: The request without its body.
    :raises RequestRefused: If it is not acceptable.
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
        deadline=arrived + _parse_timeout(values.get(TIMEOUT_HEADER), kind),
        query=scope['query_string'].decode('latin-1'),
        headers=_end_to_end(headers),
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
    if key in _UNUSABLE_KEYS:
        raise _refusal(
            ProblemType.INVALID_KEY, 'the path has no key, or a dot as key'
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
            f'the limit is {MAX_HEADER_BYTES} bytes',
        )
    return tuple(
        Header(name.decode('latin-1'), content.decode('latin-1'))
        for name, content in scope['headers']
    )


def _end_to_end(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    return tuple(
        header for header in headers if header.name not in _NOT_FORWARDED
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
            f'expected seconds, at most {MAX_TIMEOUT}',
        )
    return min(timeout, kind.deadline)


def _parse_request_id(text: str | None, kind: RequestKind) -> str:
    if text is None:
        if kind.idempotent:
            return ''
        raise _refusal(
            ProblemType.REQUEST_ID_REQUIRED,
            f'kind {kind.name} needs an Idempotency-Key',
        )
    try:
        parsed = uuid.UUID(text.strip('"'))
    except ValueError:
        parsed = uuid.UUID(int=0)
    if parsed.version != REQUEST_ID_VERSION:
        raise _refusal(
            ProblemType.INVALID_REQUEST_ID, 'expected a UUID of version 7'
        )
    return str(parsed)


async def read_body(receive: Receive) -> bytes:
    """Read a caller's body whole.

    :param receive: ASGI receive callable.
    :return: The body.
    :raises RequestRefused: If it is too large or the caller leaves.
    """
    parts = []
    size = 0
    more = True
    while more:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise _refusal(
                ProblemType.CALLER_LEFT,
                'the caller left before the body was whole',
            )
        chunk = message.get('body', b'')
        size += len(chunk)
        if size > MAX_BODY_BYTES:
            raise _refusal(
                ProblemType.BODY_TOO_LARGE,
                f'the limit is {MAX_BODY_BYTES} bytes',
            )
        parts.append(chunk)
        more = message.get('more_body', False)
    return b''.join(parts)
