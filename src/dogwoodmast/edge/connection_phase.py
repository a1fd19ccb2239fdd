"""What a connection waits for, and how long it may."""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from dogwoodmast.edge.connection_limits import ConnectionLimits


class EndReason(enum.Enum):
    """Reason why a connection was ended, or a request on it refused."""

    HEADER_BYTES = 'header_bytes'
    """Headers or trailers are larger than the limit."""
    DISCARDED_BYTES = 'discarded_bytes'
    """Too much of a body arrives behind its response."""
    HEADER_TIME = 'header_time'
    """A head, or the rest of a request behind its response, is late."""
    IDLE_TIME = 'idle_time'
    """The connection is idle."""
    STALLED = 'stalled'
    """A body does not arrive, or responses are not read."""
    MEMORY = 'memory'
    """All connections together hold too many bytes, and this one most."""
    CONNECTIONS = 'connections'
    """Too many connections are open, and this one has waited longest."""


@attrs.frozen
class Opened:
    """Nothing has arrived on a new connection."""

    since: float
    """Monotonic time of the opening, in seconds."""


@attrs.frozen
class ReadingHead:
    """A head, or empty lines before it, has begun."""

    since: float
    """Monotonic time of the first byte, in seconds."""


@attrs.frozen
class ReadingBody:
    """The body of the request that is served is incomplete."""

    since: float
    """Monotonic time of the latest bytes, or of the end of the response before
    it, in seconds."""


@attrs.frozen
class Discarding:
    """A request is incomplete, and its response is complete."""

    since: float
    """Monotonic time of the end of the response, in seconds."""


@attrs.frozen
class Serving:
    """Requests are served, and the client reads their responses."""


@attrs.frozen
class Unread:
    """The client does not read the responses."""

    since: float
    """Monotonic time at which bytes were last read, in seconds."""


@attrs.frozen
class Idle:
    """No request has begun since the end of another one."""

    since: float
    """Monotonic time of the end of its response, in seconds."""


Phase = (
    Opened | ReadingHead | ReadingBody | Discarding | Serving | Unread | Idle
)


@attrs.frozen
class TimeLimit:
    """Time limit of a phase."""

    ends_at: float
    """Monotonic time, in seconds."""
    reason: EndReason
    """Why the connection is ended then."""


def time_limit(phase: Phase, limits: ConnectionLimits) -> TimeLimit:
    """Return until when a phase may last.

    :param phase: Phase of a connection.
    :param limits: Limits on the connection.
    :return: Time limit; infinite if others bound the phase.
    """
    match phase:
        case Opened(since) | ReadingHead(since) | Discarding(since):
            ends_at = since + limits.header_time
            return TimeLimit(ends_at, EndReason.HEADER_TIME)
        case ReadingBody(since) | Unread(since):
            return TimeLimit(since + limits.idle_time, EndReason.STALLED)
        case Idle(since):
            return TimeLimit(since + limits.idle_time, EndReason.IDLE_TIME)
        case Serving():
            return TimeLimit(math.inf, EndReason.STALLED)
