"""Settings of an entry VM that dispatches requests directly to targets."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.address import Address
from dogwoodmast.direct.zones.zone_prices import ZonePrices
from dogwoodmast.input_rules import AddressText, Name, Number
from dogwoodmast.settings import (
    LogSettings,
    VmSettings,
    parse_toml_settings,
    read_log_settings,
    read_settings_text,
    read_vm_settings,
)

if TYPE_CHECKING:
    import pathlib

    from dogwoodmast.table_reader import TableReader

_MAX_BOUND = 1_000_000
"""Largest value accepted for a limit, in the unit of the limit."""
_NON_NEGATIVE = Number(0, _MAX_BOUND, '', includes_minimum=True)


@attrs.frozen
class Bounds:
    """Limits set by the platform contract, which the VM must keep."""

    drain_time: float = 2.0
    """Time within which the last request is sent to a target that is leaving,
    in seconds."""
    apply_time: float = 2.0
    """Time within which a configuration has to be in force, in seconds."""
    stop_time: float = 6.0
    """Time from ``SIGTERM`` until the process is killed, in seconds."""
    retry_ratio: float = 0.2
    """Allowed retries per request, over all VMs."""
    retry_window: float = 10.0
    """Sliding window over which retries are counted, in seconds."""
    retry_slack: float = 50.0
    """Retries per window that all VMs together may make regardless of the
    number of requests."""
    longest_hold: float = 10.0
    """Longest time for which keys may be granted to a target, in seconds."""
    evacuation_time: float = math.inf
    """Time within which the last request is sent to the targets of a zone that
    is evacuated, in seconds."""
    warmup_overrun: float = 1.0
    """Requests to a target that warms up in one second, as a multiple of what
    it tolerates."""
    warmup_slack: float = 0
    """Further requests to such a target in one second, from all VMs."""

    @property
    def copy_bound(self) -> float:
        """Time within which a change in the store has to be known, in
        seconds."""
        return min(self.apply_time, self.drain_time, self.evacuation_time)


@attrs.frozen
class DirectListenSettings:
    """Addresses that the process listens on."""

    callers: Address
    """Address for callers' requests (HTTP)."""
    readiness: Address
    """Address for the load balancer's readiness checks (HTTP)."""
    links: Address
    """Address for links from other entry VMs."""
    metrics: Address
    """Address for Prometheus scrapes (HTTP)."""
    relay: Address | None = None
    """Address for requests that other entry VMs relay (HTTP), or ``None`` to
    run none."""


@attrs.frozen
class DirectSettings:
    """Settings of an entry VM's process."""

    vm: VmSettings
    """Name and availability zone of the entry VM."""
    listen: DirectListenSettings
    """Addresses that the process listens on."""
    store: Address
    """Address of the platform's metadata store."""
    bounds: Bounds
    """Limits set by the platform contract."""
    log: LogSettings
    """Settings of the log."""
    capacity: float = 0
    """Bandwidth times processor share of the VM, 0 if not known; VMs with a
    greater one are preferred for work on behalf of others."""
    zones: ZonePrices = ZonePrices()
    """Price of traffic between availability zones."""
    memory: float = 0
    """Memory of the VM in megabytes, 0 if not known."""
    descriptors: float = 0
    """Descriptors that the process may have, 0 if not known."""
    regions: Mapping[str, str] = attrs.field(factory=dict)
    """Region of each availability zone; empty if not known."""


def load_direct_settings(path: pathlib.Path) -> DirectSettings:
    """Read and validate a settings file.

    :param path: Path of the TOML file.
    :return: Validated settings.
    :raises InvalidInput: With all mistakes found in the file.
    """
    text = read_settings_text(path)
    return parse_toml_settings(text, str(path), read_direct_settings)


def read_direct_settings(root: TableReader) -> DirectSettings:
    """Read the settings from a parsed TOML document.

    :param root: Reader of the document's root table.
    :return: Settings; the reader collects the mistakes it finds.
    """
    return DirectSettings(
        vm=read_vm_settings(root),
        listen=_read_listen(root),
        store=_read_store(root),
        bounds=_read_bounds(root),
        log=read_log_settings(root),
        zones=_read_zones(root),
        **_read_capacity(root),
        regions=_read_regions(root),
    )


def _read_listen(root: TableReader) -> DirectListenSettings:
    reader = root.read_table('listen', 'callers, readiness, links and metrics')
    settings = DirectListenSettings(
        callers=reader.read('callers', AddressText()),
        readiness=reader.read('readiness', AddressText()),
        links=reader.read('links', AddressText()),
        metrics=reader.read('metrics', AddressText()),
        relay=reader.read('relay', AddressText(), None),
    )
    reader.finish()
    return settings


def _read_store(root: TableReader) -> Address:
    reader = root.read_table('store', 'address')
    address: Address = reader.read('address', AddressText())
    reader.finish()
    return address


def _read_capacity(root: TableReader) -> dict[str, float]:
    if not root.has('capacity'):
        root.allow('capacity')
        return {}
    reader = root.read_table('capacity', 'bandwidth and processor of the VM')
    factors = [
        reader.read(name, _NON_NEGATIVE, 1)
        for name in ('link_mbps', 'cpu_share', 'cores')
    ]
    memory = reader.read('memory_mb', _NON_NEGATIVE, 0)
    descriptors = reader.read('descriptors', _NON_NEGATIVE, 0)
    reader.finish()
    return {
        'capacity': float(math.prod(factors)),
        'memory': memory,
        'descriptors': descriptors,
    }


def _read_zones(root: TableReader) -> ZonePrices:
    if not root.has('zones'):
        root.allow('zones')
        return ZonePrices()
    reader = root.read_table('zones', 'price of traffic between zones')
    prices = ZonePrices(
        **{
            field.name: reader.read(field.name, _NON_NEGATIVE, field.default)
            for field in attrs.fields(ZonePrices)
        }
    )
    reader.finish()
    return prices


def _read_regions(root: TableReader) -> dict[str, str]:
    if not root.has('regions'):
        root.allow('regions')
        return {}
    reader = root.read_table('regions', 'zones with their regions')
    regions = {zone: reader.read(zone, Name()) for zone in reader.keys}
    reader.finish()
    return regions


def _read_bounds(root: TableReader) -> Bounds:
    if not root.has('bounds'):
        root.allow('bounds')
        return Bounds()
    reader = root.read_table('bounds', 'limits set by the platform contract')
    defaults = Bounds()
    bounds = Bounds(
        **{
            field.name: reader.read(
                field.name, _NON_NEGATIVE, getattr(defaults, field.name)
            )
            for field in attrs.fields(Bounds)
        }
    )
    reader.finish()
    return bounds
