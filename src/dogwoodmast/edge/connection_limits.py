"""Limits on what one client's connection may send, and how long it may take."""

from __future__ import annotations

import attrs


@attrs.frozen
class ConnectionLimits:
    """Limits on one connection."""

    header_bytes: int = 65_536
    """Largest total size of the headers, or of the trailers, of a request, in
    bytes; four bytes count for each besides its name and value."""
    body_bytes: int = 1_048_576
    """Number of bytes of a body that are read on once its response is sent, in
    bytes."""
    header_time: float = 5
    """Time limit for the head of a request, counted from its first byte or
    from the opening of the connection, in seconds."""
    idle_time: float = 15
    """Time in seconds after which a connection is closed that is idle, whose
    body does not arrive, or whose responses are not read."""
    requests_ahead: int = 16
    """Number of requests that are parsed while another one is served."""
    bytes_ahead: int = 65_536
    """Bytes of the bodies of these requests from which on no more are
    parsed."""
