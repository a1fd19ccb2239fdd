"""Connections of the load tool and the exchanges on them."""

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
from dogwoodmast.load_tool.recorder import ANSWERED, WRONG_ANSWER, Finished
from dogwoodmast.problem import PROBLEM_URI_PREFIX

if TYPE_CHECKING:
    from dogwoodmast.load_tool.plan import LoadPlan
    from dogwoodmast.load_tool.schedule import PlannedRequest

IDLE_LIMIT = 2.0
"""Idle time after which a connection is not used again, in seconds."""
ANSWER_GRACE = 1.0
"""Time beyond the deadline that an answer is waited for, in seconds."""
RESEND_PAUSE = 0.05
"""Time before a failed request is sent again, in seconds."""
_ECHO_HEADER = b'echo'
FAILURES = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    TimeoutError,
)
NOT_A_DOCUMENT = (orjson.JSONDecodeError, LookupError, TypeError)
_RESENT = ('may_have_run', 'not_run', 'failure')


@attrs.define(eq=False)
class _Connection:
    http: httpcore.AsyncHTTPConnection
    last_used: float

    def usable(self, now: float) -> bool:
        fresh = now - self.last_used < IDLE_LIMIT
        return fresh and self.http.is_available()

    async def exchange(self, request: httpcore.Request) -> tuple[int, bytes]:
        response = await self.http.handle_async_request(request)
        body = await response.aread()
        await response.aclose()
        return response.status, body


class Lane:
    """One task's connections, with one request under way at a time."""

    def __init__(self, plan: LoadPlan) -> None:
        """Create a lane without open connections.

        :param plan: Plan of the run.
        """
        self._plan = plan
        self._connections: dict[str, _Connection] = {}

    async def run(self, planned: PlannedRequest, started: float) -> Finished:
        """Send a request until it has a final outcome.

        :param planned: The request.
        :param started: Monotonic time of the run's start, in seconds.
        :return: What became of it.
        """
        due = started + planned.due
        lag = time.monotonic() - due
        request_id = str(uuid6.uuid7()) if planned.kind.request_id else ''
        attempts = 0
        outcome = ''
        while attempts <= self._plan.resends:
            outcome = await self._attempt(planned, request_id, attempts)
            attempts += 1
            if not outcome.endswith(_RESENT):
                break
            if attempts <= self._plan.resends:
                await anyio.sleep(RESEND_PAUSE)
        return Finished(
            planned=planned,
            outcome=outcome,
            latency=time.monotonic() - due,
            lag=lag,
            attempts=attempts,
        )

    async def aclose(self) -> None:
        """Close every connection."""
        for connection in self._connections.values():
            await connection.http.aclose()
        self._connections.clear()

    async def _attempt(
        self, planned: PlannedRequest, request_id: str, attempt: int
    ) -> str:
        urls = self._plan.urls
        url = urls[(planned.number + attempt) % len(urls)]
        connection = await self._connection(url)
        request = self._request(url, planned, request_id)
        try:
            with anyio.fail_after(planned.kind.deadline + ANSWER_GRACE):
                status, body = await connection.exchange(request)
        except FAILURES as error:
            await self._drop(url)
            return f'{type(error).__name__}/failure'
        except BaseException:
            await self._drop(url)
            raise
        connection.last_used = time.monotonic()
        return self._outcome(planned, status, body)

    async def _connection(self, url: str) -> _Connection:
        now = time.monotonic()
        connection = self._connections.get(url)
        if connection is not None and connection.usable(now):
            return connection
        await self._drop(url)
        origin = httpcore.URL(url).origin
        http = httpcore.AsyncHTTPConnection(
            origin, network_backend=UntimedNetworkBackend()
        )
        fresh = _Connection(http, now)
        self._connections[url] = fresh
        return fresh

    async def _drop(self, url: str) -> None:
        connection = self._connections.pop(url, None)
        if connection is not None:
            with anyio.CancelScope(shield=True):
                await connection.http.aclose()

    def _request(
        self, url: str, planned: PlannedRequest, request_id: str
    ) -> httpcore.Request:
        kind = planned.kind
        base = httpcore.URL(url)
        body = kind.body.encode()
        headers = [
            (b'host', b'%b:%d' % (base.host, base.port or 0)),
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
            _join_url(base, self._path(planned)),
            headers=headers,
            content=body,
        )

    def _path(self, planned: PlannedRequest) -> str:
        path = f'/{quote(planned.key, safe="")}/{planned.kind.path}'
        service = self._plan.service
        return f'/{service}{path}' if service else path

    def _outcome(
        self, planned: PlannedRequest, status: int, body: bytes
    ) -> str:
        if status // 100 != HTTPStatus.OK // 100:
            return _problem_outcome(status, body)
        if self._plan.check_answers and not _echoes(planned, body):
            return WRONG_ANSWER
        return ANSWERED


def _join_url(base: httpcore.URL, path: str) -> httpcore.URL:
    return httpcore.URL(
        scheme=base.scheme,
        host=base.host,
        port=base.port,
        target=path.encode('ascii'),
    )


def _problem_outcome(status: int, body: bytes) -> str:
    try:
        document = orjson.loads(body)
        slug = document['type'].removeprefix(PROBLEM_URI_PREFIX)
        return f'{slug}/{document["outcome"]}'
    except NOT_A_DOCUMENT:
        return f'status-{status}'


def _echoes(planned: PlannedRequest, body: bytes) -> bool:
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError:
        return False
    found = (document.get('echo'), document.get('key'))
    return found == (str(planned.number), planned.key)
