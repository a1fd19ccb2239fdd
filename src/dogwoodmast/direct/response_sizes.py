"""Sizes of the responses of each route, as moving averages."""

from __future__ import annotations

import attrs

SIZE_SMOOTHING = 0.1
"""Weight of a new sample in the moving average of a route's response size."""


@attrs.define(eq=False)
class ResponseSizes:
    """Moving averages of response sizes by route."""

    _sizes: dict[str, float] = attrs.field(factory=dict)

    def expected(self, route: str) -> float:
        """Return the expected size of a response.

        :param route: Name of the route.
        :return: Size in bytes; 0 before the first response.
        """
        return self._sizes.get(route, 0)

    def add(self, route: str, size: int) -> None:
        """Add a sample.

        :param route: Name of the route.
        :param size: Size of a response, in bytes.
        """
        known = self._sizes.get(route, size)
        self._sizes[route] = known + (size - known) * SIZE_SMOOTHING
