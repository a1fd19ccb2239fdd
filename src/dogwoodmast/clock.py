"""Clock interface with system, boot-time and manual implementations."""

from __future__ import annotations

import time
from typing import Protocol

import attrs


class Clock(Protocol):
    """Source of monotonic and wall-clock time."""

    def monotonic(self) -> float:
        """Return the time of a clock that never goes backwards, in seconds."""

    def wall(self) -> float:
        """Return the wall-clock time in seconds since the Unix epoch."""


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return the time of a clock that never goes backwards.

        :return: Monotonic time in seconds.
        """
        return time.monotonic()

    def wall(self) -> float:
        """Return the wall-clock time.

        :return: Seconds since the Unix epoch.
        """
        return time.time()


class BootClock(SystemClock):
    """System clock whose monotonic time includes suspended time.

    Leases keep expiring while a machine is suspended, but the kernel's
    monotonic clock stops during suspension.
    """

    def monotonic(self) -> float:
        """Return the time since boot, including time spent suspended.

        :return: Monotonic time in seconds.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define
class ManualClock:
    """Clock that advances only by calls of :meth:`advance`."""

    _monotonic: float = 0
    _wall: float = 1_800_000_000

    def monotonic(self) -> float:
        """Return the current monotonic time of the manual clock.

        :return: Monotonic time in seconds.
        """
        return self._monotonic

    def wall(self) -> float:
        """Return the current wall-clock time of the manual clock.

        :return: Seconds since the Unix epoch.
        """
        return self._wall

    def advance(self, seconds: float) -> None:
        """Advance the monotonic and the wall-clock time.

        :param seconds: Time to add, in seconds.
        """
        self._monotonic += seconds
        self._wall += seconds
