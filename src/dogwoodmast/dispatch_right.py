"""Interface through which the data path asks whether it may dispatch.

The ownership code, which keeps leases and assignments, implements it.
"""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from dogwoodmast.backend import Grant


class Right(enum.Enum):
    """Right to dispatch requests under one grant."""

    GRANTED = 'granted'
    """The target's dispatch lease is held and the assignment is current."""
    PENDING = 'pending'
    """This entry VM is to hold the target's lease, but must not dispatch yet:
    the lease or the record with the assignment has not arrived, or requests
    of an earlier owner of the partition may still run."""
    DENIED = 'denied'
    """Another entry VM is to hold the target's lease, or the assignment was
    replaced; the request must be rerouted."""


class DispatchRights(Protocol):
    """Source of dispatch rights and lease expiries.

    The right is checked immediately before each request is sent.
    """

    def right(self, target: str, grant: Grant, now: float) -> Right:
        """Check whether a request may be dispatched now.

        :param target: Name of the target that would run it.
        :param grant: Partition and fence that it would run under.
        :param now: Monotonic time in seconds.
        :return: Right under this grant.
        """

    def lease_expiry(self, target: str) -> float:
        """Return when the dispatch lease of a target expires.

        :param target: Name of the target.
        :return: Monotonic time in seconds; in the past if the lease is not
            held.
        """


class UnconditionalRights:
    """Rights that are always granted, for a single entry VM without leases."""

    def right(self, target: str, grant: Grant, now: float) -> Right:
        """Allow every request.

        :param target: Name of the target that would run it.
        :param grant: Partition and fence that it would run under.
        :param now: Monotonic time in seconds.
        :return: ``Right.GRANTED``.
        """
        return Right.GRANTED

    def lease_expiry(self, target: str) -> float:
        """Return an expiry that is never reached.

        :param target: Name of the target.
        :return: Infinity.
        """
        return math.inf
