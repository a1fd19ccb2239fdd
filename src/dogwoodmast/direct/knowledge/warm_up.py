"""Permits for requests to a target that warms up, free of I/O.

Answers the load of a target that has just started: it tolerates few requests a
second from all entry VMs together, and crashes well above that.  Its keeper and
a stand-in divide what one second may have, so that their sum stays within it
whatever each of them does.
"""

from __future__ import annotations

import attrs

WINDOW = 1.0
"""Time span in which the requests of all entry VMs are counted, in seconds."""
KEEPER_SHARE = 0.7
"""Share of a window's requests that the keeper permits."""
STAND_IN_SHARE = 0.15
"""Share that another VM permits; while the keeper changes, two of them may."""
STAND_IN_FRACTION = 0.2
"""Rate of a stand-in, as a fraction of the tolerated rate."""
MAX_BURST = 3.5
"""Largest number of requests that are permitted at once."""
BURST_SHARE = 1 / 3
"""Share of what one VM permits that it may permit at once."""


@attrs.frozen
class WarmupTolerance:
    """By how much the requests of one second may exceed the tolerated rate."""

    overrun: float = 1.0
    """Factor of the tolerated rate."""
    slack: float = 0
    """Further requests in one second, regardless of the rate."""

    def window_requests(self, rate: float) -> float:
        """Compute how many requests one window may have.

        :param rate: Requests per second that a cold target tolerates.
        :return: Requests from all entry VMs together.
        """
        return rate * WINDOW * self.overrun + self.slack


@attrs.frozen
class PermitRate:
    """Rate at which one VM permits requests to a target."""

    rate: float
    """Permits per second."""
    burst: float
    """Permits at once; below 1, none are given."""

    def lower(self, other: PermitRate) -> PermitRate:
        """Combine two bounds that hold at once.

        :param other: Other bound.
        :return: What both of them allow.
        """
        return PermitRate(
            min(self.rate, other.rate), min(self.burst, other.burst)
        )


NO_PERMITS = PermitRate(0, 0)
"""Rate of a VM that may not permit a single request."""


def warmup_permits(
    rate: float, tolerance: WarmupTolerance, lifetime: float, *, is_keeper: bool
) -> PermitRate:
    """Compute the permits that a VM gives for a cold target.

    Requests that are sent within one window were permitted within the window
    or the lifetime of a permit before it.  If a stand-in's share is less than
    a request, the keeper alone gives permits.

    :param rate: Requests per second that the target tolerates.
    :param tolerance: By how much one second may exceed the rate.
    :param lifetime: Longest time from a permit to the send, in seconds.
    :param is_keeper: Whether the VM is the keeper, and not a stand-in.
    :return: Rate and burst of the VM's permits.
    """
    requests = tolerance.window_requests(rate)
    has_stand_in = requests * STAND_IN_SHARE >= 1
    if is_keeper:
        part = requests * KEEPER_SHARE if has_stand_in else requests
        wanted = rate
    else:
        part = requests * STAND_IN_SHARE if has_stand_in else 0
        wanted = rate * STAND_IN_FRACTION
    if part < 1:
        return NO_PERMITS
    burst = min(MAX_BURST, max(1, part * BURST_SHARE))
    return PermitRate(min(wanted, (part - burst) / (WINDOW + lifetime)), burst)
