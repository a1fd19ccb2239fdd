"""Coordinator epochs, quorum size and timing constants of the zone protocol.

The coordinator of a zone sends a lease round to every member every
:data:`ROUND_INTERVAL`, and earlier when leases change.  An acknowledgement
counts towards the coordinator's quorum for :data:`ACK_LEASE`, and a round
that refers to an acknowledgement renews the member's dispatch leases for
:data:`DISPATCH_LEASE`.
"""

from __future__ import annotations

import functools

import attrs
import xxhash

ROUND_INTERVAL = 0.2
"""Longest interval between two lease rounds of a coordinator, in seconds."""
ACK_LEASE = 0.5
"""Time for which an acknowledgement counts towards the coordinator's quorum,
in seconds, from when the acknowledged round was sent."""
DISPATCH_LEASE = 1.6
"""Duration of a dispatch lease, in seconds, from when the member sent the
acknowledgement that the renewing round refers to.  It outlasts a takeover, so
that live members keep their leases: a takeover begins after
:data:`LOSS_TIMEOUT` without a round, and as long as the lost coordinator may
hold leases too, a member's lease is granted again at once only if it lasts
for :data:`ACK_LEASE` beyond the first quorum of the new epoch.  1 s is too
short for both."""
LOSS_TIMEOUT = 0.5
"""Time without a message after which a process is considered lost, in
seconds."""
CLOCK_DRIFT = 0.01
"""Upper bound of the relative rate error of a monotonic clock, as a
fraction."""


@attrs.frozen(order=True)
class CoordinatorEpoch:
    """Epoch of a zone's coordinator, ordered by term, rank and member.

    Members reject lease rounds of an epoch lower than the highest one that
    they have acknowledged.
    """

    term: int
    """Term of the zone's record."""
    rank: int
    """Zero for the member that wrote the term to the platform.  A member
    that takes over without writing a new term uses one more than the highest
    rank that it has seen in the term."""
    member: int
    """Number of the coordinating member, see :func:`member_number`."""


@functools.cache
def member_number(incarnation: str) -> int:
    """Hash an incarnation to the number that identifies it in messages.

    :param incarnation: Incarnation of the member's process.
    :return: Positive number of 63 bits.
    """
    digest: int = xxhash.xxh3_64_intdigest(incarnation.encode())
    return digest >> 1


def max_local_duration(duration: float) -> float:
    """Convert another process's duration to an upper bound in local time.

    Both clocks may deviate by :data:`CLOCK_DRIFT`.

    :param duration: Duration by the other process's clock, in seconds.
    :return: Longest duration by the local clock, in seconds.
    """
    return duration * (1 + CLOCK_DRIFT) / (1 - CLOCK_DRIFT)


def min_local_duration(duration: float) -> float:
    """Convert another process's duration to a lower bound in local time.

    Both clocks may deviate by :data:`CLOCK_DRIFT`.

    :param duration: Duration by the other process's clock, in seconds.
    :return: Shortest duration by the local clock, in seconds.
    """
    return duration * (1 - CLOCK_DRIFT) / (1 + CLOCK_DRIFT)


def quorum_size(voters: int) -> int:
    """Return the size of a majority quorum.

    :param voters: Number of voters.
    :return: Smallest number of voters that is more than half of them.
    """
    return voters // 2 + 1
