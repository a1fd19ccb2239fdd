"""Limits on what one client's connection may send, and how long it may take."""

from __future__ import annotations

import attrs


@attrs.frozen
class ConnectionLimits:
    """Limits on one connection."""

    header_bytes: int = 65_536
    """Largest total size of the headers, or of the trailers, of a request, in
    bytes; four bytes count for each besides its name and value."""
    requests_ahead: int = 16
    """Number of requests that are parsed while another one is served."""
    bytes_ahead: int = 65_536
    """Bytes of the bodies of these requests from which on no more are
    parsed."""
