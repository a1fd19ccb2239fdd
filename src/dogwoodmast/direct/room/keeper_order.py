"""Order of the entry VMs as keepers of the room of targets.

The keeper of a service's targets in an availability zone follows from the list
of entry VMs, so that none is elected.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodmast.request_id import hash_parts

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodmast.direct.messages import VmRecord

KEEPERS = 2
"""Number of VMs that may be asked for room: the keeper and its stand-in."""
STRONG_FRACTION = 0.5
"""Fraction of the greatest capacity in the zone from which on a VM is preferred
as a keeper; each request to the targets costs the keeper three messages."""

Group = tuple[str, str]
"""Name of a service, and availability zone of its targets."""


def rank_keepers(group: Group, vms: Iterable[VmRecord]) -> list[str]:
    """Order the VMs by how they are preferred as the keeper of a group.

    VMs of a build that does not keep room are left out: they would close the
    link on which they are asked.  VMs of the targets' zone come first, so that
    the keeper lives and is cut off with the targets, and among them those with
    much capacity.

    :param group: Service and zone.
    :param vms: Registered entry VMs.
    :return: Names of the VMs; all VMs with the same list get the same order.
    """
    service, zone = group
    listed = [vm for vm in vms if vm.keeps_room]
    local = [vm for vm in listed if vm.zone == zone] or listed
    greatest = max((vm.capacity for vm in local), default=0)
    named = (service.encode(), zone.encode())

    def preference(vm: VmRecord) -> tuple[bool, bytes]:
        is_weak = vm.capacity < greatest * STRONG_FRACTION
        return is_weak, hash_parts((*named, vm.name.encode()), b'')

    return [vm.name for vm in sorted(local, key=preference)]
