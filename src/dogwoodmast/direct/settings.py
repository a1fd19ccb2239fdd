"""Settings of an entry VM that dispatches straight to targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast.address import Address
from dogwoodmast.input_rules import AddressText, Number
from dogwoodmast.settings import (
    LogSettings,
    VmSettings,
    check_settings,
    read_log,
    read_settings_text,
    read_vm,
)

if TYPE_CHECKING:
    import pathlib

    from dogwoodmast.table_reader import TableReader

_LARGEST_BOUND = 1_000_000
_POSITIVE = Number(0, _LARGEST_BOUND, '', closed=True)


@attrs.frozen
class Bounds:
    """Bounds of the contract that the VM keeps to."""

    drain_time: float = 2.0
    """Time in which a leaving target gets its last request, in seconds."""
    stop_time: float = 6.0
    """Time from the signal to stop until the process is killed, in seconds."""
    retry_ratio: float = 0.2
    """Further attempts for each request, over all VMs."""
    retry_window: float = 10.0
    """Window over which further attempts are counted, in seconds."""
    retry_slack: float = 50.0
    """Further attempts in a window that are allowed in any case."""
    longest_hold: float = 10.0
    """Longest time for which a target may be granted keys, in seconds."""


@attrs.frozen
class DirectListenSettings:
    """Where the process listens."""

    callers: Address
    """Requests of callers."""
    readiness: Address
    """Questions of the balancer."""
    links: Address
    """Links from other entry VMs."""
    metrics: Address
    """Metrics."""


@attrs.frozen
class DirectSettings:
    """Settings of the process."""

    vm: VmSettings
    """Entry VM that the process runs."""
    listen: DirectListenSettings
    """Where it listens."""
    store: Address
    """Address of the store."""
    bounds: Bounds
    """Bounds of the contract."""
    log: LogSettings
    """Log."""


def load_direct_settings(path: pathlib.Path) -> DirectSettings:
    """Read and check a settings file.

    :param path: Path of the file.
    :return: The settings.
    :raises InvalidInput: With every mistake that is found.
    """
    text = read_settings_text(path)
    return check_settings(text, str(path), read_direct_settings)


def read_direct_settings(root: TableReader) -> DirectSettings:
    """Read all tables of a settings file.

    :param root: Whole file.
    :return: The settings.
    """
    return DirectSettings(
        vm=read_vm(root),
        listen=_read_listen(root),
        store=_read_store(root),
        bounds=_read_bounds(root),
        log=read_log(root),
    )


def _read_listen(root: TableReader) -> DirectListenSettings:
    reader = root.read_table('listen', 'callers, readiness, links and metrics')
    settings = DirectListenSettings(
        callers=reader.read('callers', AddressText()),
        readiness=reader.read('readiness', AddressText()),
        links=reader.read('links', AddressText()),
        metrics=reader.read('metrics', AddressText()),
    )
    reader.finish()
    return settings


def _read_store(root: TableReader) -> Address:
    reader = root.read_table('store', 'address')
    address: Address = reader.read('address', AddressText())
    reader.finish()
    return address


def _read_bounds(root: TableReader) -> Bounds:
    if not root.has('bounds'):
        root.allow('bounds')
        return Bounds()
    reader = root.read_table('bounds', 'bounds of the contract')
    usual = Bounds()
    bounds = Bounds(
        **{
            field.name: reader.read(
                field.name, _POSITIVE, getattr(usual, field.name)
            )
            for field in attrs.fields(Bounds)
        }
    )
    reader.finish()
    return bounds
