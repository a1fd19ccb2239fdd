"""Events and actions of a target's dispatcher.

Events are passed to the dispatcher, which returns actions for its caller to
perform.
"""

from __future__ import annotations

import enum

import attrs

from dogwoodmast.backend import Grant
from dogwoodmast.configuration import RequestKind
from dogwoodmast.problem import Outcome
from dogwoodmast.request import Request, Response, Result


@attrs.frozen
class Submission:
    """Request submitted to the dispatcher by one caller."""

    ticket: int
    """Number by which the reply is matched to this submission."""
    request: Request
    """Request to run."""
    kind: RequestKind
    """Configured kind, which tells whether the request is idempotent."""
    grant: Grant
    """Partition and fence to run it under."""


@attrs.frozen
class Moved:
    """Result: the request must be routed again, to the current owner."""

    outcome: Outcome = Outcome.NOT_RUN
    """What is known about the request's effect. Anything but ``NOT_RUN``
    occurs only for idempotent requests, which are safe to send again."""


@attrs.frozen
class StartExchange:
    """Action: send a request on a slot's connection."""

    submission: Submission
    """Request to send."""
    slot: int
    """Number of the slot."""
    deadline: float
    """Monotonic time after which the target may discard the request, in
    seconds."""
    new_connection: bool = False
    """Whether to open a new connection instead of reusing the slot's."""


@attrs.frozen
class AbortExchange:
    """Action: close a slot's connection and cancel its exchange."""

    slot: int
    """Number of the slot that runs the exchange."""


@attrs.frozen
class CancelExchange:
    """Action: ask the target to cancel an exchange without callers.

    The connection stays open, and a response is still recorded.
    """

    slot: int
    """Number of the slot that runs the exchange."""


@attrs.frozen
class ProbeTarget:
    """Action: poll the target's health at once, on a new connection."""


@attrs.frozen
class Reply:
    """Action: return the final result of a submission to its caller."""

    ticket: int
    """Number of the submission."""
    outcome: Result | Moved
    """Response, problem, or that the request must be rerouted."""


Action = StartExchange | AbortExchange | CancelExchange | ProbeTarget | Reply


class FailureCause(enum.Enum):
    """Cause of a failed exchange."""

    CONNECT = 'connect'
    """No connection could be opened, so the request was not sent."""
    CLOSED = 'closed'
    """The connection broke before the response was complete."""
    ABORTED = 'aborted'
    """The dispatcher requested the abort."""


@attrs.frozen
class ExchangeCompleted:
    """Event: the target's response to an exchange is complete."""

    slot: int
    """Number of the slot that ran the exchange."""
    response: Response
    """Response with its whole body."""


@attrs.frozen
class ExchangeFailed:
    """Event: an exchange ended without a complete response."""

    slot: int
    """Number of the slot that ran the exchange."""
    cause: FailureCause
    """Cause of the failure."""
    reason: str
    """Explanation for callers, used as the detail of a problem."""
    ended: bool = False
    """Whether the target confirmed that the request is not running any
    more."""

    @property
    def outcome(self) -> Outcome:
        """What is known about the request's effect."""
        if self.cause is FailureCause.CONNECT:
            return Outcome.NOT_RUN
        return Outcome.MAY_HAVE_RUN
