"""Router of one entry VM: from a request to its owner and back."""

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
"""Links that a request may pass."""
REROUTE_TIMEOUT = 1.0
"""Time in which a request without a reachable owner is routed anew, in
seconds."""
REROUTE_PAUSE = 0.05
"""Longest pause between two tries to route a request, in seconds."""
SETTLE_LIMIT = 0.4
"""Longest time that a request sent to the wrong entry VM waits there for
its view to change, in seconds."""
RETRY_AFTER = 1.0
"""Time after which a caller without owner may come back, in seconds."""
FORWARD_MARGIN = 0.005
"""Time kept for an answer's way back, in seconds."""


@attrs.frozen
class _Unrouted:
    """A try that did not reach an owner; another one may."""

    problem: Problem


@attrs.frozen
class _Journey:
    """A request on its way."""

    service: Service
    kind: RequestKind
    request: Request
    hops: int
    give_up: float

    @property
    def may_be_resent(self) -> bool:
        """Whether an earlier sending may have run unseen by this VM."""
        return bool(self.request.request_id) and not self.kind.idempotent


@attrs.define(eq=False)
class Router:
    """Router of one entry VM."""

    _vm: str
    _clock: Clock
    _links: LinkPool
    _proxies: ProxySet
    _metrics: Metrics

    @property
    def view(self) -> RoutingView | None:
        """What is known for routing, or ``None`` before the start."""
        return self._proxies.view

    def register(self, handlers: MessageHandlers) -> None:
        """Register the handlers of peers' messages.

        :param handlers: Collection to add them to.
        """
        handlers.register(ForwardRequest, self.on_forwarded)

    async def run(self, request: Request, hops: int = 0) -> Result:
        """Have a request run by its key's owner.

        :param request: The request.
        :param hops: Links that it has passed.
        :return: The owner's answer or a problem.
        """
        has_id = bool(request.request_id)
        view = self.view
        if view is None:
            starting = Problem(ProblemType.STARTING, retry_after=RETRY_AFTER)
            return _with_certainty(starting, has_id)
        service = view.configuration.service(request.service)
        if service is None:
            unknown = Problem(
                ProblemType.UNKNOWN_SERVICE, detail=request.service
            )
            return _with_certainty(unknown, has_id)
        kind = service.find_kind(request.method, request.path)
        if kind is None:
            unknown = Problem(
                ProblemType.METHOD_NOT_CONFIGURED, detail=request.method
            )
            return _with_certainty(unknown, has_id)
        limit = self._clock.monotonic() + REROUTE_TIMEOUT
        give_up = min(request.deadline, limit)
        return await self._travel(
            _Journey(service, kind, request, hops, give_up)
        )

    async def on_forwarded(
        self, _link: Link, message: ForwardRequest
    ) -> ForwardAnswer | ForwardProblem:
        """Run a request that a peer forwarded.

        :param message: The request.
        :return: Its result.
        """
        request = message.to_request(self._clock.monotonic())
        return pack_result(await self.run(request, message.hops))

    async def _travel(self, journey: _Journey) -> Result:
        uncertain = False
        if journey.hops:
            await self._let_view_settle(journey)
        while True:
            view = self.view
            assert view is not None
            result = await self._try_once(journey, view)
            if not isinstance(result, _Unrouted):
                return _with_certainty(result, uncertain)
            problem = result.problem
            uncertain = uncertain or problem.outcome is not Outcome.NOT_RUN
            if self._clock.monotonic() >= journey.give_up:
                return _with_certainty(
                    problem, uncertain or journey.may_be_resent
                )
            await self._proxies.wait_for_change(view, REROUTE_PAUSE)

    async def _let_view_settle(self, journey: _Journey) -> None:
        """Wait a moment if a peer sent a request that belongs elsewhere.

        One of the two has an old view; sent on at once, the request could
        go back and forth until its hops are used up.
        """
        give_up = self._clock.monotonic() + SETTLE_LIMIT
        view = self.view
        assert view is not None
        while not self._is_here(journey, view):
            if self._clock.monotonic() >= give_up:
                return
            await self._proxies.wait_for_change(view, REROUTE_PAUSE)
            view = self.view
            assert view is not None

    def _is_here(self, journey: _Journey, view: RoutingView) -> bool:
        try:
            route = view.resolve(journey.service, journey.request.key)
        except RoutingError:
            return False
        return route.holder.vm == self._vm

    async def _try_once(
        self, journey: _Journey, view: RoutingView
    ) -> Result | _Unrouted:
        try:
            route = view.resolve(journey.service, journey.request.key)
        except RoutingError as error:
            return _unrouted(error.message)
        if route.holder.vm == self._vm:
            return await self._run_here(journey, route)
        if journey.hops >= MAX_HOPS:
            return _unrouted('the owner changed too often on the way')
        return await self._forward(journey.request, route, journey.hops)

    async def _run_here(
        self, journey: _Journey, route: Route
    ) -> Result | _Unrouted:
        proxy = self._proxies.find(route.target)
        if proxy is None:
            return _unrouted(f'target {route.target} is not fronted yet')
        result = await proxy.submit(journey.request, journey.kind, route.grant)
        if isinstance(result, Moved):
            return _unrouted('the owner has changed', result.outcome)
        return result

    async def _forward(
        self, request: Request, route: Route, hops: int
    ) -> Result | _Unrouted:
        self._metrics.count(Metric.FORWARDED)
        now = self._clock.monotonic()
        message = ForwardRequest.from_request(
            request, now + FORWARD_MARGIN, hops + 1
        )
        try:
            with anyio.fail_after(request.deadline - now):
                answer = await self._links.call(route.holder.address, message)
            assert isinstance(answer, (ForwardAnswer, ForwardProblem))
            return unpack_result(answer)
        except LinkUnavailable as error:
            return _unrouted(error.message)
        except LinkError as error:
            return _unrouted(error.message, Outcome.MAY_HAVE_RUN)
        except TimeoutError:
            return Problem(ProblemType.DEADLINE_EXCEEDED, Outcome.MAY_HAVE_RUN)


def _unrouted(detail: str, outcome: Outcome = Outcome.NOT_RUN) -> _Unrouted:
    return _Unrouted(
        Problem(ProblemType.NO_OWNER, outcome, detail, retry_after=RETRY_AFTER)
    )


def _with_certainty(result: Result, uncertain: bool) -> Result:
    """Correct a problem whose request may have run before."""
    if (
        uncertain
        and isinstance(result, Problem)
        and result.outcome is Outcome.NOT_RUN
    ):
        return attrs.evolve(result, outcome=Outcome.MAY_HAVE_RUN)
    return result
