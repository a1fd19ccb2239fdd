"""Report to the operator which zones have confirmed a change."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.commands._common import entry_urls
from dogwoodmast.confirmation import (
    ExpectedState,
    ZoneConfirmation,
    await_confirmations,
)
from dogwoodmast.exit_code import ExitCode

if TYPE_CHECKING:
    import argparse


@attrs.frozen
class Confirmations:
    """Confirmation states of the zones that a change concerns."""

    zones: tuple[ZoneConfirmation, ...]
    """One state per zone; empty if no entry VM was queried."""

    @property
    def exit_code(self) -> ExitCode:
        """``OK`` if every listed zone has confirmed, else ``UNCONFIRMED``."""
        if all(zone.confirmed for zone in self.zones):
            return ExitCode.OK
        return ExitCode.UNCONFIRMED

    def describe(self) -> str:
        """Describe the states for the operator.

        :return: One line per zone, or a hint if no entry VM was queried.
        """
        if not self.zones:
            return (
                'confirmation not checked; specify entry VMs with --entry '
                'to see which zones have received the change'
            )
        return '\n'.join(str(zone) for zone in self.zones)


def confirm(
    arguments: argparse.Namespace,
    zones: tuple[str, ...],
    expected: ExpectedState,
) -> Confirmations:
    """Wait until zones confirm a change or the time-out expires.

    :param arguments: Parsed arguments with the entry VMs to query and the
        time-out in seconds.
    :param zones: Names of the zones that the change concerns.
    :param expected: State that the zones have after the change.
    :return: Latest state of each zone; empty without entry VMs.
    """
    entries = entry_urls(arguments)
    if not entries:
        return Confirmations(())
    return Confirmations(
        anyio.run(await_confirmations, entries, zones, expected, arguments.wait)
    )
