"""Why a connection is ended."""

from __future__ import annotations

import enum


class EndReason(enum.Enum):
    """Reason why a connection was ended, or a request on it refused."""

    HEADER_BYTES = 'header_bytes'
    """Headers or trailers are larger than the limit."""
