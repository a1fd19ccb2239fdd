"""Messages between entry VMs, and records that they keep in the store."""

from __future__ import annotations

import attrs

from dogwoodmast._wire import wire_message

_IDL = 'direct'


@wire_message(_IDL)
@attrs.frozen
class VmRecord:
    """An entry VM that is up."""

    name: str
    """Name."""
    zone: str
    """Availability zone."""
    links: str
    """Address for links from other entry VMs."""
    incarnation: str
    """Identity of the process's life."""


@wire_message(_IDL)
@attrs.frozen
class DirectoryItem:
    """One key of the store as an entry VM knows it."""

    key: str
    """Key."""
    revision: int
    """Store revision of its last change that matters."""
    removed: bool
    """Whether the key has no value any more."""
    content: bytes
    """Value; the last one, if it was removed."""
    doubtful_for: float
    """Time for which a removal may yet be taken back, in seconds."""


@wire_message(_IDL)
@attrs.frozen
class DirectoryPull:
    """Question for the keys that have changed."""

    after: int
    """Store revision that the asking VM has."""


@wire_message(_IDL)
@attrs.frozen
class DirectoryPage:
    """Keys that have changed."""

    revision: int
    """Store revision that the page leads up to."""
    age: float
    """Time since the store confirmed that revision, in seconds."""
    items: tuple[DirectoryItem, ...]
    """Changed keys."""


@wire_message(_IDL)
@attrs.frozen
class ShardAssignment:
    """Range of keys and the target that holds it."""

    first: int
    """First key."""
    last: int
    """Last key."""
    target: str
    """Name of the target."""
    born: int
    """Start of the target's life that was granted the keys."""
    fence: int
    """Fencing token of the grant."""
    open: bool
    """Whether requests may be sent; false while the keys move."""


@wire_message(_IDL)
@attrs.frozen
class ShardRecord:
    """All assignments of a service, as the store keeps them."""

    service_name: str
    """Name of the service."""
    epoch: int
    """Reign of the coordinator that wrote it; later ones are greater."""
    number: int
    """Number of the version within the reign."""
    assignments: tuple[ShardAssignment, ...]
    """Assignments in the order of their keys."""


@wire_message(_IDL)
@attrs.frozen
class ShardUpdate:
    """Assignments that a coordinator tells an entry VM of."""

    service_name: str
    """Name of the service."""
    epoch: int
    """Reign of the coordinator."""
    base: int
    """Number of the version that it builds on; 0 for a whole table."""
    number: int
    """Number of the version that it leads to."""
    assignments: tuple[ShardAssignment, ...]
    """Changed or all assignments."""


@wire_message(_IDL)
@attrs.frozen
class ShardVersion:
    """Version of a table that an entry VM has."""

    service_name: str
    """Name of the service."""
    epoch: int
    """Reign of the coordinator."""
    number: int
    """Number of the version within the reign."""


@wire_message(_IDL)
@attrs.frozen
class KeyCount:
    """Requests for one key."""

    key: int
    """Shard key."""
    requests: float
    """Requests since the last report."""


@wire_message(_IDL)
@attrs.frozen
class TargetPace:
    """How fast a target answers when it is not crowded."""

    target: str
    """Name of the target."""
    seconds: float
    """Usual time of its answers, in seconds."""


@wire_message(_IDL)
@attrs.frozen
class LoadReport:
    """What an entry VM has been asked for, and the table that it has."""

    vm: str
    """Name of the entry VM."""
    service_name: str
    """Name of the service."""
    epoch: int
    """Reign of its table; 0 for none."""
    number: int
    """Number of its table."""
    keys: tuple[KeyCount, ...]
    """Requests by key since the last report."""
    paces: tuple[TargetPace, ...]
    """Usual times of the service's targets."""
