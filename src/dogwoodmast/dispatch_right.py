"""Contract by which the ownership side lets the data path dispatch."""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from dogwoodmast.backend import Grant


class Right(enum.Enum):
    """Whether a request may be dispatched now."""

    GRANTED = 'granted'
    """The lease stands and the assignment is in force."""
    PENDING = 'pending'
    """This entry VM is to front the target, but must not dispatch yet:
    its lease is not granted, or an earlier owner has not settled."""
    DENIED = 'denied'
    """The target is fronted elsewhere, or the assignment was replaced."""


class DispatchRights(Protocol):
    """What this entry VM may dispatch, asked right before each write."""

    def right(self, target: str, grant: Grant, now: float) -> Right:
        """Tell whether a request may be dispatched now.

        :param target: Target that would run it.
        :param grant: Partition and fence that it would run under.
        :param now: Monotonic time in seconds.
        :return: The right.
        """

    def lease_expiry(self, target: str) -> float:
        """Tell until when the lease of a target stands.

        :param target: The target.
        :return: Monotonic time in seconds; in the past if not held.
        """


class UnconditionalRights:
    """Rights that always stand, where one entry VM is alone."""

    def right(self, target: str, grant: Grant, now: float) -> Right:
        """Grant every request.

        :param target: Target that would run it.
        :param grant: Partition and fence that it would run under.
        :param now: Monotonic time in seconds.
        :return: The right.
        """
        return Right.GRANTED

    def lease_expiry(self, target: str) -> float:
        """Tell that the lease has no end.

        :param target: The target.
        :return: Infinity.
        """
        return math.inf
