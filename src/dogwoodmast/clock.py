"""Clocks: the contract, the system's clock and one set by hand."""

from __future__ import annotations

import time
from typing import Protocol

import attrs


class Clock(Protocol):
    """Source of time."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back.

        :return: Monotonic time in seconds.
        """
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch.

        :return: Wall time in seconds.
        """
        return time.time()


class BootClock(SystemClock):
    """Clock that also counts the time for which the machine stood still.

    Leases go on while a machine is suspended, and the kernel's monotonic
    clock does not.
    """

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back or stands still.

        :return: Time since the machine started, in seconds.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define
class ManualClock:
    """Clock that moves only when told to."""

    _monotonic: float = 0
    _wall: float = 1_800_000_000

    def monotonic(self) -> float:
        """Return the monotonic time that was set.

        :return: Monotonic time in seconds.
        """
        return self._monotonic

    def wall(self) -> float:
        """Return the wall time that was set.

        :return: Wall time in seconds.
        """
        return self._wall

    def advance(self, seconds: float) -> None:
        """Move both clocks forward.

        :param seconds: Time to add, in seconds.
        """
        self._monotonic += seconds
        self._wall += seconds
