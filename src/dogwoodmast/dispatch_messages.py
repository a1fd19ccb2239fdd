"""Messages between a target's dispatcher and the tasks around it."""

from __future__ import annotations

import enum

import attrs

from dogwoodmast.backend import Grant
from dogwoodmast.configuration import RequestKind
from dogwoodmast.problem import Outcome
from dogwoodmast.request import Request, Response, Result


@attrs.frozen
class Submission:
    """A request handed to the dispatcher."""

    ticket: int
    """Number that identifies the submission."""
    request: Request
    """The request."""
    kind: RequestKind
    """Kind of the request."""
    grant: Grant
    """Right to run it on the target."""


@attrs.frozen
class Moved:
    """Result: the request must be routed anew."""

    outcome: Outcome = Outcome.NOT_RUN
    """What is known about its effect; only an idempotent request that
    moves may have run."""


@attrs.frozen
class StartExchange:
    """Action: run a request on a slot."""

    submission: Submission
    """What to run."""
    slot: int
    """Slot to run it on."""
    deadline: float
    """Monotonic time at which the target may drop it, in seconds."""
    new_connection: bool = False
    """Whether to open a new connection for it."""


@attrs.frozen
class AbortExchange:
    """Action: close the connection of a slot and cancel its exchange."""

    slot: int
    """Slot of the exchange."""


@attrs.frozen
class CancelExchange:
    """Action: tell the target that nobody waits; its answer still counts."""

    slot: int
    """Slot of the exchange."""


@attrs.frozen
class ProbeTarget:
    """Action: find out on a fresh connection whether the target lives."""


@attrs.frozen
class Reply:
    """Action: give a submission its final result."""

    ticket: int
    """Number of the submission."""
    outcome: Result | Moved
    """Answer, problem, or that it must be routed anew."""


Action = StartExchange | AbortExchange | CancelExchange | ProbeTarget | Reply


class FailureCause(enum.Enum):
    """How an exchange failed."""

    CONNECT = 'connect'
    """No connection was made."""
    CLOSED = 'closed'
    """The target's side closed the connection."""
    ABORTED = 'aborted'
    """The dispatcher had it aborted."""


@attrs.frozen
class ExchangeCompleted:
    """Event: the target answered."""

    slot: int
    """Slot of the exchange."""
    response: Response
    """Whole answer."""


@attrs.frozen
class ExchangeFailed:
    """Event: an exchange failed."""

    slot: int
    """Slot of the exchange."""
    cause: FailureCause
    """How it failed."""
    reason: str
    """Explanation for a human reader."""
    ended: bool = False
    """Whether the target confirmed that it runs no more."""

    @property
    def outcome(self) -> Outcome:
        """What is known about the request's effect."""
        if self.cause is FailureCause.CONNECT:
            return Outcome.NOT_RUN
        return Outcome.MAY_HAVE_RUN
