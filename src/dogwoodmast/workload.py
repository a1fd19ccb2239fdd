"""Interface of the data path that the zone protocol uses."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from dogwoodmast.load_report import LoadReport
    from dogwoodmast.routing import RoutingView


class Workload(Protocol):
    """Requests and targets of one entry VM, as seen by the zone protocol."""

    @property
    def settled_version(self) -> int:
        """Version of the own zone's record at which this VM has settled.

        None of its requests runs, may still run or awaits handover under an
        assignment that this version or an earlier one replaced.
        """

    async def on_view(self, view: RoutingView) -> None:
        """Apply a new routing view.

        :param view: Routing view built from the latest documents.
        """

    def on_rights_changed(self) -> None:
        """Re-examine waiting requests after a change of dispatch rights."""

    def has_released(self, target: str) -> bool:
        """Tell whether another entry VM may be granted a target's lease.

        :param target: Name of a target whose planned holder is another entry
            VM.
        :return: ``True`` once none of its requests runs here and its ledgers
            have been handed over or their handover was given up.
        """

    def load_report(self, now: float) -> LoadReport:
        """Report the load and health of the targets held here.

        :param now: Monotonic time in seconds.
        :return: Load averaged over recent time, and current target health.
        """
