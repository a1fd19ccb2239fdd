"""Price of traffic between availability zones, set by operators."""

from __future__ import annotations

import attrs

_BYTES_PER_MEGABYTE = 1_000_000


@attrs.frozen
class ZonePrices:
    """Wait that a request has to save by leaving its zone."""

    least_saving: float = 0.05
    """Time that any request has to save, in seconds."""
    seconds_per_megabyte: float = 5.0
    """Further time that a request has to save for each megabyte of its body and
    response, in seconds."""

    def required_saving(self, size: float) -> float:
        """Compute the time that a request has to save.

        :param size: Size of its body and its response, in bytes.
        :return: Time in seconds.
        """
        megabytes = size / _BYTES_PER_MEGABYTE
        return self.least_saving + megabytes * self.seconds_per_megabyte
