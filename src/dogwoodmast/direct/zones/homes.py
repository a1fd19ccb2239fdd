"""Regions that the requests of a route may not leave.

When the targets of a route's regions are full, the load stays there and is
refused there: the operator's word goes before free room elsewhere.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from dogwoodmast.direct.catalog import Route
    from dogwoodmast.direct.target_set import Candidates


@attrs.define(eq=False)
class Homes:
    """Tells which zones the requests of a route may be sent to."""

    regions: Mapping[str, str] = attrs.field(factory=dict)
    """Region of each availability zone; a reload of the settings may replace
    it."""

    def allows(self, route: Route, zone: str) -> bool:
        """Tell whether requests may be sent to a zone, with their bodies.

        :param route: Route of the requests.
        :param zone: Zone of a target or of another entry VM.
        :return: Whether the route allows the zone's region, or any; false if
            the region is not known and the route does not allow any.
        """
        return not route.regions or self.regions.get(zone) in route.regions

    def select(self, candidates: Candidates, route: Route) -> Candidates:
        """Select the targets to which a route's requests may be sent.

        :param candidates: Targets to choose from.
        :param route: Route of the request.
        :return: These targets, with the same queue.
        """
        if not route.regions:
            return candidates
        return attrs.evolve(
            candidates,
            limiters=tuple(
                limiter
                for limiter in candidates.limiters
                if self.allows(route, limiter.target.zone)
            ),
        )
