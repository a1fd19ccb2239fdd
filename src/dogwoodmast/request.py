"""A caller's request, its answer, and the messages that carry them."""

from __future__ import annotations

import attrs

from dogwoodmast.problem import Problem


@attrs.frozen
class Header:
    """One HTTP header."""

    name: str
    """Name in lower case."""
    value: str
    """Value as latin-1 text."""


@attrs.frozen
class Request:
    """A caller's request, read whole."""

    service: str
    """Name of the service."""
    key: str
    """Key that the request is about."""
    method: str
    """HTTP method in upper case."""
    path: str
    """Path below the key, beginning with a slash."""
    deadline: float
    """Monotonic time by which the caller needs the answer, in seconds."""
    query: str = ''
    """Query string without the question mark."""
    headers: tuple[Header, ...] = ()
    """End-to-end headers."""
    body: bytes = b''
    """Whole body."""
    customer: str = ''
    """Customer that the request is counted for."""
    request_id: str = ''
    """Idempotency-Key of the caller, or an empty text."""


@attrs.frozen
class Response:
    """A back end's answer, read whole."""

    status: int
    """HTTP status."""
    headers: tuple[Header, ...] = ()
    """End-to-end headers."""
    body: bytes = b''
    """Whole body."""


Result = Response | Problem
