"""Messages that carry a request to its leaseholder and its result back."""

from __future__ import annotations

import attrs

from dogwoodmast._wire import wire_message
from dogwoodmast.errors import MalformedFrame
from dogwoodmast.problem import Outcome, Problem, ProblemType
from dogwoodmast.request import Header, Request, Response, Result

_NO_RETRY_AFTER = -1.0

wire_message('requests')(Header)


@wire_message('requests')
@attrs.frozen
class ForwardRequest:
    """Ask a peer to have a request run by the key's owner."""

    service_name: str
    """Name of the service."""
    key: str
    """Key that the request is about."""
    method: str
    """HTTP method."""
    path: str
    """Path below the key."""
    query: str
    """Query string."""
    headers: tuple[Header, ...]
    """End-to-end headers."""
    body: bytes
    """Whole body."""
    customer: str
    """Customer that the request is counted for."""
    request_id: str
    """Idempotency-Key, or an empty text."""
    time_left: float
    """Time until the caller's deadline, in seconds."""
    hops: int
    """Links that the request has passed, this one included."""

    @classmethod
    def from_request(
        cls, request: Request, now: float, hops: int
    ) -> ForwardRequest:
        """Wrap a request for a peer.

        :param request: The request.
        :param now: Monotonic time in seconds.
        :param hops: Links passed, the next one included.
        :return: The message.
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
        """Unwrap the request.

        :param now: Monotonic time of its arrival in seconds.
        :return: The request, with its deadline on the local clock.
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
    """Return a back end's answer."""

    status: int
    """HTTP status."""
    headers: tuple[Header, ...]
    """End-to-end headers."""
    body: bytes
    """Whole body."""


@wire_message('requests')
@attrs.frozen
class ForwardProblem:
    """Return a problem."""

    type_name: str
    """Name in the problem catalogue."""
    outcome: str
    """What is known about the request's effect."""
    detail: str
    """Explanation for a human reader."""
    retry_after: float
    """Seconds to wait, or a negative number for none."""


def pack_result(outcome: Result) -> ForwardAnswer | ForwardProblem:
    """Wrap a result for the way back.

    :param outcome: Answer or problem.
    :return: The message.
    """
    match outcome:
        case Response(status, headers, body):
            return ForwardAnswer(status, headers, body)
        case Problem():
            retry_after = outcome.retry_after
            if retry_after is None:
                retry_after = _NO_RETRY_AFTER
            return ForwardProblem(
                outcome.type.name, outcome.outcome, outcome.detail, retry_after
            )


def unpack_result(message: ForwardAnswer | ForwardProblem) -> Result:
    """Unwrap a result.

    :param message: Message of a peer.
    :return: Answer or problem.
    :raises MalformedFrame: If the problem is not in the catalogue.
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
        raise MalformedFrame('unknown problem') from None
    retry_after = message.retry_after
    return Problem(
        problem_type,
        outcome,
        message.detail,
        None if retry_after < 0 else retry_after,
    )
