"""Request of a caller, and the possible outcomes of sending it to a target."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable

import attrs

from dogwoodmast._asgi import RawHeaders
from dogwoodmast.direct.catalog import Route, TargetKey
from dogwoodmast.direct.held.byte_account import HeldBytes
from dogwoodmast.direct.relay_protocol import RelayedRequest
from dogwoodmast.direct.target_connection import TargetConnection
from dogwoodmast.problem import Problem


@attrs.frozen
class Call:
    """Request of a caller, as it is sent to a target."""

    attempt_id: bytes
    """ID that the caller gave this attempt; empty if there is none.  Targets
    echo it in their responses."""
    route: Route
    """Route that matches host and path."""
    service: str
    """Service chosen by the weights of the route's services."""
    shard_key: int | None
    """Key whose holder must run the request, or ``None`` if any target of the
    service may."""
    method: bytes
    """HTTP method."""
    path: bytes
    """Path with query string."""
    headers: RawHeaders
    """Headers to forward."""
    body: bytes
    """Complete request body."""
    arrived_at: float
    """Monotonic time at which the request arrived, in seconds."""
    deadline: float
    """Monotonic time by which the caller needs a response, or by which it must
    be there since the VM stops, in seconds."""
    fingerprint: bytes = b''
    """Hash of host, method, path and body; equal when the request is
    repeated, so that requests that crash targets can be quarantined."""
    held: HeldBytes | None = None
    """Account of the bytes of its bodies, or ``None`` if they are not
    counted."""
    relayed: RelayedRequest | None = None
    """What the VM that took the request tells, if that is another one."""
    until: float | None = None
    """Monotonic time by which the caller needs a response, in seconds, if
    ``deadline`` is earlier since the VM stops; ``None`` otherwise."""
    caller: int = 0
    """Hash of the caller and what it requests, or 0 if it is not known."""
    carriers: list[TargetConnection] = attrs.field(factory=list)
    """Connections that have carried it; a repeated response to it on one of
    them would pass for that to another attempt."""

    @property
    def caller_deadline(self) -> float:
        """Monotonic time by which the caller needs a response, in seconds."""
        return self.deadline if self.until is None else self.until

    @property
    def avoided(self) -> frozenset[str]:
        """Names of targets that the request must not be sent to."""
        return frozenset() if self.relayed is None else self.relayed.avoid

    @property
    def max_attempts(self) -> int:
        """Number of targets that the request may be sent to here."""
        if self.relayed is None:
            return max(self.route.max_attempts, 1)
        return self.relayed.attempts_left


@attrs.frozen
class Response:
    """Response of a target."""

    status: int
    """HTTP status."""
    headers: RawHeaders
    """Headers to forward to the caller."""
    body: bytes
    """Buffered part of the body."""
    rest: AsyncIterator[bytes] | None
    """Remaining chunks of the body, or ``None`` if ``body`` is complete."""
    target: TargetKey | None = None
    """Target that made it, or ``None`` if another VM does not tell."""


Deliver = Callable[[Response], Awaitable[None]]
"""Callable that forwards a target's response to the caller."""


@attrs.frozen
class Refused:
    """The target certainly did not run the request."""

    reason: str
    """Reason for the request log."""
    was_sent: bool
    """Whether the target received the request and refused it; false if there
    was no connection to it."""
    is_misdirected: bool = False
    """Whether another target has to run the request."""


@attrs.frozen
class Withheld:
    """The VM did not send the request, since the target must not get it."""

    reason: str
    """Reason for the request log."""


@attrs.frozen
class Broken:
    """The target may have run the request, but its response was lost."""

    reason: str
    """Reason for the request log."""
    has_crashed: bool = False
    """Whether the target's port refused connections right afterwards, which
    means that its process has ended."""


@attrs.frozen
class Failed:
    """The target responded with a server error (status 5xx)."""

    response: Response
    """Response, which has not been forwarded to the caller."""


@attrs.frozen
class Delivered:
    """The target's response was forwarded to the caller."""

    status: int
    """HTTP status."""
    size: int = 0
    """Size of the body, or of its buffered part if it is larger, in bytes."""


AttemptOutcome = Refused | Withheld | Broken | Failed | Delivered


@attrs.frozen
class Rejected:
    """The router ends the request with a problem response of its own."""

    problem: Problem
    """Problem that is sent to the caller."""


class ResponseTruncated(Exception):
    """A response broke off after its start was forwarded to the caller."""
