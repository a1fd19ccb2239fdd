"""Authorities over a zone and the time limits that they act within."""

from __future__ import annotations

import functools

import attrs
import xxhash

ROUND_INTERVAL = 0.2
"""Time between two rounds of a coordinator, in seconds."""
ACK_LEASE = 0.5
"""Time that an acknowledgement counts for, in seconds."""
DISPATCH_LEASE = 1.6
"""Time that a dispatch lease stands for, in seconds."""
LOSS_TIMEOUT = 0.5
"""Silence after which a process is taken for lost, in seconds."""
CLOCK_DRIFT = 0.01
"""Bound of the relative error of a monotonic clock's rate."""


@attrs.frozen(order=True)
class CoordinatorEpoch:
    """Right to coordinate a zone; the greater one prevails."""

    term: int
    """Term of the zone's record."""
    rank: int
    """Zero for the writer of the term, more for each one standing in."""
    member: int
    """Number of the member."""


@functools.cache
def member_number(incarnation: str) -> int:
    """Compute the number that stands for a member in messages.

    :param incarnation: Identity of the run of its process.
    :return: Positive number of 63 bits.
    """
    digest: int = xxhash.xxh3_64_intdigest(incarnation.encode())
    return digest >> 1


def max_local_duration(duration: float) -> float:
    """Bound a duration that another process measures.

    :param duration: Seconds by the other process's clock.
    :return: Seconds by the own clock that surely cover it.
    """
    return duration * (1 + CLOCK_DRIFT) / (1 - CLOCK_DRIFT)


def min_local_duration(duration: float) -> float:
    """Bound a duration that another process measures from below.

    :param duration: Seconds by the other process's clock.
    :return: Seconds by the own clock that it surely covers.
    """
    return duration * (1 - CLOCK_DRIFT) / (1 + CLOCK_DRIFT)


def quorum_size(voters: int) -> int:
    """Count the members of a majority.

    :param voters: Number of voters.
    :return: Least number that is more than half.
    """
    return voters // 2 + 1
