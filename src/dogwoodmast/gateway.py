"""HTTP interface for callers: an ASGI application."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast._asgi import RawHeaders, send_response
from dogwoodmast.caller_request import RequestRefused, read_body, read_head
from dogwoodmast.events import Event, log_event
from dogwoodmast.metrics import Metric
from dogwoodmast.operator_api import PATH_PREFIX
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
"""Time after which a caller of a starting VM may come back, in seconds."""

_WITHOUT_BODY = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class Gateway:
    """ASGI application that callers reach."""

    def __init__(
        self,
        router: Router,
        operator_api: OperatorApi,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Create the application.

        :param router: Router that runs requests.
        :param operator_api: Application for operators' paths.
        :param clock: Source of time.
        :param metrics: Sender of metrics.
        """
        self._router = router
        self._operator_api = operator_api
        self._clock = clock
        self._metrics = metrics

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one HTTP request.

        :param scope: ASGI scope.
        :param receive: ASGI receive callable.
        :param send: ASGI send callable.
        """
        if scope['path'].startswith(PATH_PREFIX):
            await self._operator_api.serve(scope['path'], send)
            return
        arrived = self._clock.monotonic()
        self._metrics.count(Metric.REQUESTS)
        try:
            outcome = await self._serve(scope, receive, arrived)
        except Exception as error:  # the process must outlive any request
            log_event(Event.REQUEST_FAILED, reason=repr(error))
            outcome = Problem(ProblemType.INTERNAL_ERROR, Outcome.MAY_HAVE_RUN)
        if outcome is not None:
            self._metrics.timing(
                Metric.LATENCY, self._clock.monotonic() - arrived
            )
            await self._send_result(send, outcome)

    async def _serve(
        self, scope: Scope, receive: Receive, arrived: float
    ) -> Result | None:
        try:
            request = await self._read_request(scope, receive, arrived)
        except RequestRefused as refusal:
            return refusal.problem
        return await self._run(request, receive)

    async def _read_request(
        self, scope: Scope, receive: Receive, arrived: float
    ) -> Request:
        view = self._router.view
        if view is None:
            raise RequestRefused(
                Problem(ProblemType.STARTING, retry_after=STARTING_RETRY_AFTER)
            )
        head = read_head(scope, view.configuration, arrived).request
        time_left = head.deadline - self._clock.monotonic()
        with anyio.move_on_after(time_left):
            body = await read_body(receive)
            return attrs.evolve(head, body=body) if body else head
        raise RequestRefused(
            Problem(
                ProblemType.DEADLINE_EXCEEDED,
                detail='the body was not whole by the deadline',
            )
        )

    async def _run(self, request: Request, receive: Receive) -> Result | None:
        """Run a request until it ends or its caller leaves.

        :param request: The request.
        :param receive: ASGI receive callable.
        :return: The result, or ``None`` if the caller left.
        """
        outcome: Result | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_watch_caller, receive, tasks.cancel_scope)
            outcome = await self._router.run(request)
            tasks.cancel_scope.cancel()
        return outcome

    async def _send_result(self, send: Send, outcome: Result) -> None:
        if isinstance(outcome, Problem):
            self._metrics.count(Metric.PROBLEMS)
            answer = problem_response(outcome)
        else:
            answer = outcome
        await send_response(
            send, answer.status, self._raw_headers(answer), answer.body
        )

    def _raw_headers(self, answer: Response) -> RawHeaders:
        headers = [
            (header.name.encode('latin-1'), header.value.encode('latin-1'))
            for header in answer.headers
        ]
        if answer.status not in _WITHOUT_BODY:
            length = str(len(answer.body)).encode()
            headers.append((b'content-length', length))
        if self._operator_api.leaving:
            headers.append((b'connection', b'close'))
        return headers


async def _watch_caller(receive: Receive, scope: anyio.CancelScope) -> None:
    message = await receive()
    if message['type'] == 'http.disconnect':
        scope.cancel()
