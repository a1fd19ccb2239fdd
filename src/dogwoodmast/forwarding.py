"""Messages that forward a request to a leaseholder and return its result."""

from __future__ import annotations

import attrs

from dogwoodmast._wire import wire_message
from dogwoodmast.errors import MalformedFrame
from dogwoodmast.problem import Outcome, Problem, ProblemType
from dogwoodmast.request import Header, Request, Response, Result

_NO_RETRY_AFTER = -1.0
"""Stands for ``None`` on the wire, where the field is not optional."""

wire_message('requests')(Header)


@wire_message('requests')
@attrs.frozen
class ForwardRequest:
    """Forward a request to the leaseholder of the target that owns its key."""

    service_name: str
    """Name of the service that is to run the request."""
    key: str
    """Key that decides which target runs the request."""
    method: str
    """HTTP method in upper case."""
    path: str
    """Part of the URL path after the key, beginning with a slash."""
    query: str
    """Query string without the question mark."""
    headers: tuple[Header, ...]
    """End-to-end headers, which are passed on to the back end."""
    body: bytes
    """Request body."""
    customer: str
    """Customer whose fair share of a target the request uses; may be empty."""
    request_id: str
    """Idempotency-Key of the caller; empty if there is none."""
    time_left: float
    """Time until the deadline, in seconds; clocks of VMs are not compared."""
    hops: int
    """Times that the request was forwarded, including this one."""

    @classmethod
    def from_request(
        cls, request: Request, now: float, hops: int
    ) -> ForwardRequest:
        """Make the message that forwards a request.

        :param request: Request to forward.
        :param now: Monotonic time, in seconds, from which the remaining
            time counts.
        :param hops: Times that it was forwarded, including this one.
        :return: Message for the leaseholder.
        """
        return cls(
            service_name=request.service,
            key=request.key,
            method=request.method,
            path=request.path,
            query=request.query,
            headers=request.headers,
            body=request.body,
            customer=request.customer,
            request_id=request.request_id,
            time_left=request.deadline - now,
            hops=hops,
        )

    def to_request(self, now: float) -> Request:
        """Convert the message to the request that it forwards.

        :param now: Monotonic time of the message's arrival, in seconds.
        :return: Request with a deadline by the local clock.
        """
        return Request(
            service=self.service_name,
            key=self.key,
            method=self.method,
            path=self.path,
            query=self.query,
            headers=self.headers,
            body=self.body,
            customer=self.customer,
            request_id=self.request_id,
            deadline=now + self.time_left,
        )


@wire_message('requests')
@attrs.frozen
class ForwardAnswer:
    """Response of a back end to a forwarded request."""

    status: int
    """HTTP status code."""
    headers: tuple[Header, ...]
    """End-to-end headers, which are passed on to the caller."""
    body: bytes
    """Response body."""


@wire_message('requests')
@attrs.frozen
class ForwardProblem:
    """Problem that ended a forwarded request."""

    type_name: str
    """Name of the member of ProblemType."""
    outcome: str
    """Value of Outcome: whether the request was run by a back end."""
    detail: str
    """Explanation for people; may be empty."""
    retry_after: float
    """Time after which the request may be tried again, in seconds; negative if
    no time is known."""


def pack_result(result: Result) -> ForwardAnswer | ForwardProblem:
    """Convert a result to its message.

    :param result: Response or problem.
    :return: Message that carries it to the peer.
    """
    match result:
        case Response(status, headers, body):
            return ForwardAnswer(status, headers, body)
        case Problem():
            retry_after = result.retry_after
            if retry_after is None:
                retry_after = _NO_RETRY_AFTER
            return ForwardProblem(
                result.type.name, result.outcome, result.detail, retry_after
            )


def unpack_result(message: ForwardAnswer | ForwardProblem) -> Result:
    """Convert a message to the result that it carries.

    :param message: Message of a peer.
    :return: Response or problem.
    :raises MalformedFrame: If the type or the outcome of the problem is
        unknown.
    """
    match message:
        case ForwardAnswer(status, headers, body):
            return Response(status, headers, body)
        case ForwardProblem():
            return _unpack_problem(message)


def _unpack_problem(message: ForwardProblem) -> Problem:
    try:
        problem_type = ProblemType[message.type_name]
        outcome = Outcome(message.outcome)
    except (KeyError, ValueError):
        raise MalformedFrame('unknown problem type or outcome') from None
    retry_after = message.retry_after
    return Problem(
        problem_type,
        outcome,
        message.detail,
        None if retry_after < 0 else retry_after,
    )
