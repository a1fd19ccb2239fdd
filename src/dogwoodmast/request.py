"""Requests of callers and the results that they receive."""

from __future__ import annotations

import attrs

from dogwoodmast.problem import Problem


@attrs.frozen
class Header:
    """HTTP header field."""

    name: str
    """Name of the field in lower case."""
    value: str
    """Value of the field, decoded as latin-1."""


@attrs.frozen
class Request:
    """Request of a caller, with its complete body."""

    service: str
    """Name of the service that is to run the request."""
    key: str
    """Key that decides which target runs the request."""
    method: str
    """HTTP method in upper case."""
    path: str
    """Part of the URL path after the key, beginning with a slash."""
    deadline: float
    """Monotonic time by which the caller needs the response, in seconds."""
    query: str = ''
    """Query string without the question mark; empty if there is none."""
    headers: tuple[Header, ...] = ()
    """End-to-end headers, which are passed on to the back end."""
    body: bytes = b''
    """Request body."""
    customer: str = ''
    """Customer whose fair share of a target the request uses; empty if the
    caller named none."""
    request_id: str = ''
    """Idempotency-Key of the caller; empty if there is none."""


@attrs.frozen
class Response:
    """HTTP response of a back end, with its complete body."""

    status: int
    """HTTP status code."""
    headers: tuple[Header, ...] = ()
    """End-to-end headers, which are passed on to the caller."""
    body: bytes = b''
    """Response body."""


Result = Response | Problem
"""What a caller receives: a back end's response, or a problem."""
