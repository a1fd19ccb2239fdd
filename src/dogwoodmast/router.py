"""Routing of requests to the target that owns their key.

A request is run through the local target proxy if this entry VM holds the
target's lease, and forwarded to the leaseholder otherwise.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.clock import Clock
from dogwoodmast.configuration import RequestKind, Service
from dogwoodmast.dispatch_messages import Moved
from dogwoodmast.errors import LinkError, LinkUnavailable
from dogwoodmast.forwarding import (
    ForwardAnswer,
    ForwardProblem,
    ForwardRequest,
    pack_result,
    unpack_result,
)
from dogwoodmast.link_pool import LinkPool
from dogwoodmast.metrics import Metric, Metrics
from dogwoodmast.problem import Outcome, Problem, ProblemType
from dogwoodmast.proxy_set import ProxySet
from dogwoodmast.request import Request
from dogwoodmast.routing import RoutingError, RoutingView

if TYPE_CHECKING:
    from dogwoodmast.link import Link
    from dogwoodmast.message_handlers import MessageHandlers
    from dogwoodmast.request import Result
    from dogwoodmast.routing import Route

MAX_HOPS = 3
"""Times that a request may be forwarded from one entry VM to another."""
REROUTE_TIMEOUT = 1.0
"""Time for which routing a request is retried, in seconds.  Bounded by the
request's deadline as well."""
REROUTE_INTERVAL = 0.05
"""Longest wait for a new routing view before the next attempt, in seconds."""
LOCAL_ROUTE_TIMEOUT = 0.4
"""Longest time that a forwarded request waits on an entry VM that does not
appear to be the leaseholder, in seconds."""
RETRY_AFTER = 1.0
"""Value of Retry-After when the request could not be routed, in seconds."""
RETURN_MARGIN = 0.005
"""Time by which a forwarded deadline is shortened, in seconds, so that the
peer's result arrives before the caller's deadline."""


@attrs.frozen
class _RoutingFailure:
    """Failed attempt to reach the owner of the key; may be retried."""

    problem: Problem


@attrs.frozen
class _RoutedRequest:
    """A request with what is needed to route it.

    ``hops`` counts the times that it was forwarded.  Routing is not retried
    after the monotonic time ``retry_until``, in seconds.
    """

    service: Service
    kind: RequestKind
    request: Request
    hops: int
    retry_until: float

    @property
    def may_have_run_before(self) -> bool:
        """Whether it may have run before without this VM knowing.

        A caller may have sent it to another entry VM with the same
        Idempotency-Key, and only the owner's ledger would know.
        """
        return bool(self.request.request_id) and not self.kind.idempotent


@attrs.define(eq=False)
class Router:
    """Runs requests on the targets that own their keys."""

    _vm: str
    _clock: Clock
    _links: LinkPool
    _proxies: ProxySet
    _metrics: Metrics

    @property
    def view(self) -> RoutingView | None:
        """Routing view in use, or ``None`` until the first one is known."""
        return self._proxies.view

    def register(self, handlers: MessageHandlers) -> None:
        """Register the handler of requests that peers forward.

        :param handlers: Handlers of the messages that peers send.
        """
        handlers.register(ForwardRequest, self.on_forwarded)

    async def run(self, request: Request, hops: int = 0) -> Result:
        """Run a request on the target that owns its key.

        :param request: Request to run.
        :param hops: Times that it has been forwarded.
        :return: The target's response, or a problem.
        """
        # The caller may have sent a request with an id before, through another
        # entry VM, so failing here does not show that it has not run.
        has_id = bool(request.request_id)
        view = self.view
        if view is None:
            starting = Problem(ProblemType.STARTING, retry_after=RETRY_AFTER)
            return _correct_outcome(starting, has_id)
        service = view.configuration.service(request.service)
        if service is None:
            unknown = Problem(
                ProblemType.UNKNOWN_SERVICE, detail=request.service
            )
            return _correct_outcome(unknown, has_id)
        kind = service.find_kind(request.method, request.path)
        if kind is None:
            unknown = Problem(
                ProblemType.METHOD_NOT_CONFIGURED, detail=request.method
            )
            return _correct_outcome(unknown, has_id)
        timeout_at = self._clock.monotonic() + REROUTE_TIMEOUT
        retry_until = min(request.deadline, timeout_at)
        return await self._route_with_retries(
            _RoutedRequest(service, kind, request, hops, retry_until)
        )

    async def on_forwarded(
        self, _link: Link, message: ForwardRequest
    ) -> ForwardAnswer | ForwardProblem:
        """Run a request that a peer forwarded.

        :param message: The request and the number of hops so far.
        :return: Its response or problem.
        """
        request = message.to_request(self._clock.monotonic())
        return pack_result(await self.run(request, message.hops))

    async def _route_with_retries(self, routed: _RoutedRequest) -> Result:
        may_have_run = False
        if routed.hops:
            await self._await_local_route(routed)
        while True:
            view = self.view
            assert view is not None
            result = await self._attempt(routed, view)
            if not isinstance(result, _RoutingFailure):
                return _correct_outcome(result, may_have_run)
            problem = result.problem
            may_have_run = (
                may_have_run or problem.outcome is not Outcome.NOT_RUN
            )
            if self._clock.monotonic() >= routed.retry_until:
                return _correct_outcome(
                    problem, may_have_run or routed.may_have_run_before
                )
            await self._proxies.wait_for_change(view, REROUTE_INTERVAL)

    async def _await_local_route(self, routed: _RoutedRequest) -> None:
        """Wait until this VM appears to be the leaseholder, within a bound.

        If it does not, this VM or the peer that forwarded the request has
        an outdated view.  Forwarded again at once, the request could bounce
        between the two until its hops are used up.
        """
        wait_until = self._clock.monotonic() + LOCAL_ROUTE_TIMEOUT
        view = self.view
        assert view is not None
        while not self._is_local(routed, view):
            if self._clock.monotonic() >= wait_until:
                return
            await self._proxies.wait_for_change(view, REROUTE_INTERVAL)
            view = self.view
            assert view is not None

    def _is_local(self, routed: _RoutedRequest, view: RoutingView) -> bool:
        try:
            route = view.resolve(routed.service, routed.request.key)
        except RoutingError:
            return False
        return route.holder.vm == self._vm

    async def _attempt(
        self, routed: _RoutedRequest, view: RoutingView
    ) -> Result | _RoutingFailure:
        try:
            route = view.resolve(routed.service, routed.request.key)
        except RoutingError as error:
            return _routing_failure(error.message)
        if route.holder.vm == self._vm:
            return await self._run_locally(routed, route)
        if routed.hops >= MAX_HOPS:
            return _routing_failure(
                'the request reached the limit of forwards between entry VMs'
            )
        return await self._forward(routed.request, route, routed.hops)

    async def _run_locally(
        self, routed: _RoutedRequest, route: Route
    ) -> Result | _RoutingFailure:
        proxy = self._proxies.find(route.target)
        if proxy is None:
            return _routing_failure(
                f'no proxy for target {route.target} has been started yet'
            )
        result = await proxy.submit(routed.request, routed.kind, route.grant)
        if isinstance(result, Moved):
            return _routing_failure(
                "the target's lease or the key's assignment has changed",
                result.outcome,
            )
        return result

    async def _forward(
        self, request: Request, route: Route, hops: int
    ) -> Result | _RoutingFailure:
        self._metrics.count(Metric.FORWARDED)
        now = self._clock.monotonic()
        message = ForwardRequest.from_request(
            request, now + RETURN_MARGIN, hops + 1
        )
        try:
            with anyio.fail_after(request.deadline - now):
                reply = await self._links.call(route.holder.address, message)
            assert isinstance(reply, (ForwardAnswer, ForwardProblem))
            return unpack_result(reply)
        except LinkUnavailable as error:
            return _routing_failure(error.message)
        except LinkError as error:
            return _routing_failure(error.message, Outcome.MAY_HAVE_RUN)
        except TimeoutError:
            return Problem(ProblemType.DEADLINE_EXCEEDED, Outcome.MAY_HAVE_RUN)


def _routing_failure(
    detail: str, outcome: Outcome = Outcome.NOT_RUN
) -> _RoutingFailure:
    return _RoutingFailure(
        Problem(ProblemType.NO_OWNER, outcome, detail, retry_after=RETRY_AFTER)
    )


def _correct_outcome(result: Result, may_have_run: bool) -> Result:
    """Replace the outcome NOT_RUN of a problem by MAY_HAVE_RUN.

    :param result: Response or problem.
    :param may_have_run: Whether an earlier attempt may have run.
    :return: The result, with the outcome corrected if necessary.
    """
    if (
        may_have_run
        and isinstance(result, Problem)
        and result.outcome is Outcome.NOT_RUN
    ):
        return attrs.evolve(result, outcome=Outcome.MAY_HAVE_RUN)
    return result
