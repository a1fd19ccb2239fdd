"""HTTP client of the load tool."""

from __future__ import annotations

import time
from http import HTTPStatus
from typing import TYPE_CHECKING
from urllib.parse import quote

import anyio
import attrs
import httpcore
import orjson
import uuid6

from dogwoodmast.caller_request import REQUEST_ID_HEADER, TIMEOUT_HEADER
from dogwoodmast.http_stream import UntimedNetworkBackend
from dogwoodmast.load_tool.recorder import (
    ANSWERED,
    WRONG_ANSWER,
    CompletedRequest,
)
from dogwoodmast.problem import PROBLEM_URI_PREFIX

if TYPE_CHECKING:
    from dogwoodmast.load_tool.plan import LoadPlan
    from dogwoodmast.load_tool.schedule import PlannedRequest

MAX_IDLE_TIME = 2.0
"""Time after which an idle connection is replaced, in seconds."""
RESPONSE_GRACE_PERIOD = 1.0
"""Time added to the deadline of a request before its attempt is aborted, in
seconds, so that a late response is still measured."""
RESEND_DELAY = 0.05
"""Delay before a failed request is resent, in seconds."""
_ECHO_HEADER = b'echo'
"""Request header that stand-in back ends copy into the response body."""
TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    TimeoutError,
)
"""Errors of an exchange that ended without a complete response."""
INVALID_DOCUMENT_ERRORS = (orjson.JSONDecodeError, LookupError, TypeError)
"""Errors of reading a body that is not JSON or lacks the expected fields."""
_RESENT_OUTCOMES = ('may_have_run', 'not_run', 'failure')
"""Suffixes of the outcomes after which a request is resent: two outcomes of
problems, and the suffix of transport errors."""


@attrs.define(eq=False)
class _Connection:
    http: httpcore.AsyncHTTPConnection
    last_used: float

    def is_usable(self, now: float) -> bool:
        recently_used = now - self.last_used < MAX_IDLE_TIME
        return recently_used and self.http.is_available()

    async def exchange(self, request: httpcore.Request) -> tuple[int, bytes]:
        response = await self.http.handle_async_request(request)
        body = await response.aread()
        await response.aclose()
        return response.status, body


class Worker:
    """Client of one task: sends one request at a time.

    It keeps at most one open connection per base URL.
    """

    def __init__(self, plan: LoadPlan) -> None:
        """Create a worker without open connections.

        :param plan: Load plan of the run.
        """
        self._plan = plan
        self._connections: dict[str, _Connection] = {}

    async def run(
        self, planned: PlannedRequest, start_time: float
    ) -> CompletedRequest:
        """Send a request, and resend it after failures.

        It is resent at most as often as the plan allows.

        :param planned: Request from the schedule.
        :param start_time: Monotonic time at which the run started, in
            seconds.
        :return: Outcome and times of the request.
        """
        due = start_time + planned.due
        lag = time.monotonic() - due
        request_id = str(uuid6.uuid7()) if planned.kind.request_id else ''
        attempts = 0
        outcome = ''
        while attempts <= self._plan.resends:
            outcome = await self._send(planned, request_id, attempts)
            attempts += 1
            if not outcome.endswith(_RESENT_OUTCOMES):
                break
            if attempts <= self._plan.resends:
                await anyio.sleep(RESEND_DELAY)
        return CompletedRequest(
            planned=planned,
            outcome=outcome,
            latency=time.monotonic() - due,
            lag=lag,
            attempts=attempts,
        )

    async def aclose(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            await connection.http.aclose()
        self._connections.clear()

    async def _send(
        self, planned: PlannedRequest, request_id: str, attempt: int
    ) -> str:
        urls = self._plan.urls
        url = urls[(planned.number + attempt) % len(urls)]
        connection = await self._get_connection(url)
        request = self._make_request(url, planned, request_id)
        try:
            with anyio.fail_after(
                planned.kind.deadline + RESPONSE_GRACE_PERIOD
            ):
                status, body = await connection.exchange(request)
        except TRANSPORT_ERRORS as error:
            await self._discard_connection(url)
            return f'{type(error).__name__}/failure'
        except BaseException:
            await self._discard_connection(url)
            raise
        connection.last_used = time.monotonic()
        return self._response_outcome(planned, status, body)

    async def _get_connection(self, url: str) -> _Connection:
        now = time.monotonic()
        connection = self._connections.get(url)
        if connection is not None and connection.is_usable(now):
            return connection
        await self._discard_connection(url)
        origin = httpcore.URL(url).origin
        http = httpcore.AsyncHTTPConnection(
            origin, network_backend=UntimedNetworkBackend()
        )
        new_connection = _Connection(http, now)
        self._connections[url] = new_connection
        return new_connection

    async def _discard_connection(self, url: str) -> None:
        connection = self._connections.pop(url, None)
        if connection is not None:
            with anyio.CancelScope(shield=True):
                await connection.http.aclose()

    def _make_request(
        self, url: str, planned: PlannedRequest, request_id: str
    ) -> httpcore.Request:
        kind = planned.kind
        base_url = httpcore.URL(url)
        body = kind.body.encode()
        headers = [
            (b'host', b'%b:%d' % (base_url.host, base_url.port or 0)),
            (b'content-length', str(len(body)).encode()),
            (self._plan.customer_header.encode(), planned.customer.encode()),
            (TIMEOUT_HEADER.encode(), str(kind.deadline).encode()),
        ]
        if request_id:
            headers.append((REQUEST_ID_HEADER.encode(), request_id.encode()))
        if self._plan.check_answers:
            headers.append((_ECHO_HEADER, str(planned.number).encode()))
        return httpcore.Request(
            kind.method,
            _make_url(base_url, self._make_path(planned)),
            headers=headers,
            content=body,
        )

    def _make_path(self, planned: PlannedRequest) -> str:
        path = f'/{quote(planned.key, safe="")}/{planned.kind.path}'
        service = self._plan.service
        return f'/{service}{path}' if service else path

    def _response_outcome(
        self, planned: PlannedRequest, status: int, body: bytes
    ) -> str:
        if status // 100 != HTTPStatus.OK // 100:
            return _problem_outcome(status, body)
        if self._plan.check_answers and not _echoes_request(planned, body):
            return WRONG_ANSWER
        return ANSWERED


def _make_url(base_url: httpcore.URL, path: str) -> httpcore.URL:
    return httpcore.URL(
        scheme=base_url.scheme,
        host=base_url.host,
        port=base_url.port,
        target=path.encode('ascii'),
    )


def _problem_outcome(status: int, body: bytes) -> str:
    try:
        document = orjson.loads(body)
        slug = document['type'].removeprefix(PROBLEM_URI_PREFIX)
        return f'{slug}/{document["outcome"]}'
    except INVALID_DOCUMENT_ERRORS:
        return f'status-{status}'


def _echoes_request(planned: PlannedRequest, body: bytes) -> bool:
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError:
        return False
    echoed = (document.get('echo'), document.get('key'))
    return echoed == (str(planned.number), planned.key)
