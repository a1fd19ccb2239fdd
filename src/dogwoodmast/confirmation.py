"""Confirmation by zones that they have received an operator's change.

A zone that is partitioned from the platform does not receive a change until
it is connected again.  Operators must know which zones still act on the
previous state, so the status reports of entry VMs are polled after a change.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.status_client import StatusResponses, fetch_statuses

if TYPE_CHECKING:
    from dogwoodmast.status import StatusReport

POLL_INTERVAL = 0.5
"""Time between two polls of the entry VMs, in seconds."""


@attrs.frozen
class VersionInForce:
    """A configuration version or a later one is in force in the zone."""

    version: int
    """Lowest configuration version that confirms the change."""


@attrs.frozen
class OrderReceived:
    """Entry VMs of the zone have received an order."""

    change_id: str
    """Id of the change that created the order."""


@attrs.frozen
class OrderRemoved:
    """Entry VMs of the zone have received the withdrawal of an order."""

    change_id: str
    """Id of the change that created the order."""


ExpectedState = VersionInForce | OrderReceived | OrderRemoved
"""State of a zone that confirms a change."""


@attrs.frozen
class ZoneConfirmation:
    """Confirmation state of one zone."""

    zone: str
    """Name of the zone."""
    confirmed: bool
    """Whether at least one entry VM of the zone responded, and all that did
    have received the change."""
    detail: str
    """Reason for the state, as text."""

    def __str__(self) -> str:
        """Return the state as text for operators.

        :return: One line.
        """
        state = 'confirmed' if self.confirmed else 'NOT CONFIRMED'
        return f'zone {self.zone}: {state}: {self.detail}'


async def await_confirmations(
    entries: tuple[str, ...],
    zones: tuple[str, ...],
    expected: ExpectedState,
    timeout: float,
) -> tuple[ZoneConfirmation, ...]:
    """Poll entry VMs until every zone has confirmed or the time-out expires.

    The entry VMs are polled at least once.

    :param entries: Base URLs of entry VMs.
    :param zones: Names of the zones that the change concerns.
    :param expected: State that confirms the change.
    :param timeout: Maximum time to wait, in seconds.
    :return: Latest state of each zone.
    """
    give_up_at = anyio.current_time() + timeout
    while True:
        responses = await fetch_statuses(entries)
        states = evaluate_zones(responses, zones, expected)
        timed_out = anyio.current_time() + POLL_INTERVAL > give_up_at
        if timed_out or all(zone.confirmed for zone in states):
            return states
        await anyio.sleep(POLL_INTERVAL)


def evaluate_zones(
    responses: StatusResponses, zones: tuple[str, ...], expected: ExpectedState
) -> tuple[ZoneConfirmation, ...]:
    """Evaluate each zone by the reports of its own entry VMs.

    The zone of an entry VM that did not respond is unknown, so its URL is
    mentioned for every zone without a report.

    :param responses: Status reports and the URLs that returned none.
    :param zones: Names of the zones that the change concerns.
    :param expected: State that confirms the change.
    :return: State of each zone.
    """
    return tuple(
        _evaluate_zone(
            zone,
            StatusResponses(
                tuple(one for one in responses.reports if one.zone == zone),
                responses.silent,
            ),
            expected,
        )
        for zone in zones
    )


def _evaluate_zone(
    zone: str, responses: StatusResponses, expected: ExpectedState
) -> ZoneConfirmation:
    reports = responses.reports
    if not reports:
        return ZoneConfirmation(
            zone,
            confirmed=False,
            detail=_describe_no_response(responses.silent),
        )
    pending = [one for one in reports if not _confirms(one, expected)]
    if pending:
        return ZoneConfirmation(
            zone, confirmed=False, detail=_describe_pending(pending[0])
        )
    names = ', '.join(one.vm for one in reports)
    return ZoneConfirmation(zone, confirmed=True, detail=f'by {names}')


def _confirms(report: StatusReport, expected: ExpectedState) -> bool:
    match expected:
        case VersionInForce(version):
            return report.configuration_version >= version
        case OrderReceived(change_id):
            return change_id in _received_orders(report)
        case OrderRemoved(change_id):
            return change_id not in _received_orders(report)


def _received_orders(report: StatusReport) -> tuple[str, ...]:
    own = report.own_zone
    return () if own is None else tuple(one.change_id for one in own.orders)


def _describe_no_response(silent: tuple[str, ...]) -> str:
    detail = (
        'none of its entry VMs responded; if the zone is partitioned from '
        'the platform, it has not received this change'
    )
    if silent:
        return f'{detail} (no response from {", ".join(silent)})'
    return detail


def _describe_pending(report: StatusReport) -> str:
    access = 'can reach' if report.platform.reachable else 'cannot reach'
    return f'{report.vm} has not received the change and {access} the platform'
