"""HTTP endpoint for requests that other entry VMs relay."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast.direct.gateway import (
    UNAVAILABLE_RETRY_DELAY,
    DirectGateway,
    RequestRejected,
)
from dogwoodmast.direct.reach import ReachTracker
from dogwoodmast.direct.relay_protocol import (
    RelayedRequest,
    parse_relayed_request,
    problem_headers,
    stopping_headers,
    target_headers,
)
from dogwoodmast.problem import Problem, ProblemType

if TYPE_CHECKING:
    from dogwoodmast._asgi import RawHeaders, Scope
    from dogwoodmast.direct.call import Call, Delivered, Rejected, Response
    from dogwoodmast.direct.catalog import Route
    from dogwoodmast.direct.trace import Trace

ORIGIN_PERIOD = 2.0
"""Time after its last relayed request for which a VM counts as one that sends
targets no requests itself, in seconds."""


@attrs.define(eq=False)
class RelayGateway(DirectGateway):
    """ASGI application that runs requests of other VMs' callers."""

    reach: ReachTracker = attrs.field(factory=ReachTracker)
    """Which targets this VM reaches."""
    refuses_new: bool = False
    """Whether new requests are refused as not run, since the VM ends soon."""
    _relayed_at: dict[str, float] = attrs.field(factory=dict)

    @property
    def origins(self) -> int:
        """Number of VMs that relay their requests through this one now."""
        since = self._clock.monotonic() - ORIGIN_PERIOD
        return sum(at >= since for at in self._relayed_at.values())

    def _relayed_request(self, scope: Scope) -> RelayedRequest | None:
        if self.refuses_new:
            raise RequestRejected(
                Problem(
                    ProblemType.STOPPING, retry_after=UNAVAILABLE_RETRY_DELAY
                )
            )
        relayed = parse_relayed_request(scope['headers'])
        if relayed is None:
            raise RequestRejected(Problem(ProblemType.UNKNOWN_SERVICE))
        self._relayed_at[relayed.origin] = self._clock.monotonic()
        return relayed

    def _choose_service(
        self, route: Route, relayed: RelayedRequest | None
    ) -> str:
        """Take the service that the other VM has chosen, if it is known."""
        known = {one.service for one in route.weighted_services}
        if relayed is not None and relayed.service in known:
            return relayed.service
        return super()._choose_service(route, relayed)

    def _problem_headers(
        self, problem: Problem, service: str, attempt_id: bytes
    ) -> RawHeaders:
        is_cut = self.reach.is_cut_off(service)
        return problem_headers(problem, is_cut=is_cut, attempt_id=attempt_id)

    def _response_headers(self, response: Response) -> RawHeaders:
        if response.target is None:
            return []
        return target_headers(response.target)

    def _closing_headers(self) -> RawHeaders:
        headers = super()._closing_headers()
        return [*headers, *stopping_headers()] if headers else headers

    def _record_end(
        self, call: Call, trace: Trace, result: Rejected | Delivered | None
    ) -> None:
        """Log the request; the VM that took it counts it in its metrics."""
        trace.on_end(result)
        seconds = self._clock.monotonic() - call.arrived_at
        self._log.write(trace, call, seconds)
