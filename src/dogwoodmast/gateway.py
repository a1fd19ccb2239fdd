"""ASGI application that serves callers and the operators' paths."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast._asgi import RawHeaders, send_response
from dogwoodmast.caller_request import RequestRefused, read_body, read_head
from dogwoodmast.events import Event, log_event
from dogwoodmast.metrics import Metric
from dogwoodmast.operator_api import RESERVED_PATH_PREFIX
from dogwoodmast.problem import Outcome, Problem, ProblemType
from dogwoodmast.problem_response import problem_response

if TYPE_CHECKING:
    from dogwoodmast._asgi import Receive, Scope, Send
    from dogwoodmast.clock import Clock
    from dogwoodmast.metrics import Metrics
    from dogwoodmast.operator_api import OperatorApi
    from dogwoodmast.request import Request, Response, Result
    from dogwoodmast.router import Router

STARTING_RETRY_AFTER = 1.0
"""Value of Retry-After while the entry VM has no configuration, in seconds."""

_STATUSES_WITHOUT_LENGTH = frozenset(
    (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
)
"""Statuses whose responses have neither a body nor a Content-Length."""


class Gateway:
    """ASGI application of one entry VM.

    Parses callers' requests, passes them to the router and writes the
    results.  Paths that begin with ``/-/`` go to the operator interface.
    """

    def __init__(
        self,
        router: Router,
        operator_api: OperatorApi,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Create the application.

        :param router: Router that runs requests.
        :param operator_api: Interface for operators, which also knows whether
            the VM is leaving.
        :param clock: Clock for deadlines and latencies.
        :param metrics: Metrics of requests, problems and latency.
        """
        self._router = router
        self._operator_api = operator_api
        self._clock = clock
        self._metrics = metrics

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one HTTP request.

        :param scope: ASGI scope of the request.
        :param receive: ASGI receive callable.
        :param send: ASGI send callable.
        """
        if scope['path'].startswith(RESERVED_PATH_PREFIX):
            await self._operator_api.serve(scope['path'], send)
            return
        arrived_at = self._clock.monotonic()
        self._metrics.count(Metric.REQUESTS)
        try:
            result = await self._serve(scope, receive, arrived_at)
        except Exception as error:  # one request must not end the process
            log_event(Event.REQUEST_FAILED, reason=repr(error))
            result = Problem(ProblemType.INTERNAL_ERROR, Outcome.MAY_HAVE_RUN)
        if result is not None:
            self._metrics.timing(
                Metric.LATENCY, self._clock.monotonic() - arrived_at
            )
            await self._send_result(send, result)

    async def _serve(
        self, scope: Scope, receive: Receive, arrived_at: float
    ) -> Result | None:
        try:
            request = await self._read_request(scope, receive, arrived_at)
        except RequestRefused as refusal:
            return refusal.problem
        return await self._run(request, receive)

    async def _read_request(
        self, scope: Scope, receive: Receive, arrived_at: float
    ) -> Request:
        view = self._router.view
        if view is None:
            raise RequestRefused(
                Problem(ProblemType.STARTING, retry_after=STARTING_RETRY_AFTER)
            )
        head = read_head(scope, view.configuration, arrived_at).request
        time_left = head.deadline - self._clock.monotonic()
        with anyio.move_on_after(time_left):
            body = await read_body(receive)
            return attrs.evolve(head, body=body) if body else head
        raise RequestRefused(
            Problem(
                ProblemType.DEADLINE_EXCEEDED,
                detail='the body was not complete at the deadline',
            )
        )

    async def _run(self, request: Request, receive: Receive) -> Result | None:
        """Run a request, and cancel it if the caller disconnects.

        :param request: Request with its body.
        :param receive: ASGI receive callable; it reports the disconnect.
        :return: Result, or ``None`` if the caller disconnected.
        """
        result: Result | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
            result = await self._router.run(request)
            tasks.cancel_scope.cancel()
        return result

    async def _send_result(self, send: Send, result: Result) -> None:
        if isinstance(result, Problem):
            self._metrics.count(Metric.PROBLEMS)
            response = problem_response(result)
        else:
            response = result
        await send_response(
            send, response.status, self._raw_headers(response), response.body
        )

    def _raw_headers(self, response: Response) -> RawHeaders:
        headers = [
            (header.name.encode('latin-1'), header.value.encode('latin-1'))
            for header in response.headers
        ]
        if response.status not in _STATUSES_WITHOUT_LENGTH:
            length = str(len(response.body)).encode()
            headers.append((b'content-length', length))
        if self._operator_api.leaving:
            headers.append((b'connection', b'close'))
        return headers


async def _cancel_on_disconnect(
    receive: Receive, scope: anyio.CancelScope
) -> None:
    message = await receive()
    if message['type'] == 'http.disconnect':
        scope.cancel()
