"""One attempt of a caller, and what becomes of it."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable

import attrs

from dogwoodmast._asgi import RawHeaders
from dogwoodmast.direct.catalog import Route
from dogwoodmast.problem import Problem


@attrs.frozen
class Call:
    """One attempt of a caller."""

    attempt_id: bytes
    """Identity of the attempt."""
    route: Route
    """Route that it takes."""
    service: str
    """Service that it goes to."""
    shard_key: int | None
    """Key that decides which target runs it, or ``None``."""
    method: bytes
    """HTTP method."""
    path: bytes
    """Path with query."""
    headers: RawHeaders
    """Headers to pass on."""
    body: bytes
    """Body."""
    arrived: float
    """Steady time at which it arrived, in seconds."""
    deadline: float
    """Steady time by which the caller needs an answer, in seconds."""
    fingerprint: bytes = b''
    """Hash of what is asked for; the same when it comes again."""


@attrs.frozen
class Reply:
    """A target's answer."""

    status: int
    """HTTP status."""
    headers: RawHeaders
    """Headers to pass on."""
    body: bytes
    """Body, or its beginning."""
    rest: AsyncIterator[bytes] | None
    """Rest of the body, or ``None`` if it is whole."""


Deliver = Callable[[Reply], Awaitable[None]]
"""Callable that passes a target's answer on to the caller."""


@attrs.frozen
class Refused:
    """The target certainly did not run the request."""

    reason: str
    """Why."""
    was_sent: bool
    """Whether the request arrived at the target."""


@attrs.frozen
class Broken:
    """The target may have run the request, and its answer is not to be had."""

    reason: str
    """Why."""
    has_crashed: bool = False
    """Whether the target's process has ended."""


@attrs.frozen
class Failed:
    """The target answered with a failure of its own."""

    reply: Reply
    """Its answer."""


@attrs.frozen
class Delivered:
    """The caller has the target's answer."""

    status: int
    """HTTP status."""
    size: int = 0
    """Size of the answer, or of the part of it that was gathered, in bytes."""


Attempt = Refused | Broken | Failed | Delivered


@attrs.frozen
class Rejected:
    """A request is given up without an answer of a target."""

    problem: Problem
    """What the caller is told."""


class AnswerCut(Exception):
    """An answer broke off after its beginning had been passed on."""
