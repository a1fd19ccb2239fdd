"""Messages between entry VMs, and records that entry VMs store."""

from __future__ import annotations

import attrs

from dogwoodmast._wire import NOT_NEGATIVE, Range, wire_message

_IDL = 'direct'
_KEYS: Range = (0, 65_535)
"""Keys of a service."""
_PERIODS: Range = (0, 1e9)
"""Times and ages that are not absurd, in seconds."""
_COUNTS: Range = (0, 1e9)
"""Numbers of requests that are not absurd."""


@wire_message(_IDL)
@attrs.frozen
class VmRecord:
    """Registration of an entry VM, or of the coordinator, in the store."""

    name: str
    """Name of the entry VM."""
    zone: str
    """Availability zone of the entry VM."""
    links: str
    """Address, as HOST:PORT, at which it accepts links of other entry VMs."""
    incarnation: str
    """Identifier of the process; it differs after every start."""
    capacity: float = 0
    """Bandwidth times processor share; only its order matters."""
    relay: str = ''
    """Address, as HOST:PORT, at which it runs requests that other entry VMs
    relay; empty if it runs none."""
    keeps_room: bool = False
    """Whether its build may be asked for the room of targets."""

    @property
    def preference(self) -> tuple[float, str]:
        """Sort key by which VMs are preferred for work on behalf of others.

        Reading the store for a zone and coordinating cost bandwidth, so VMs
        with more of it come first.
        """
        return (-self.capacity, self.name)


@wire_message(_IDL, revision=NOT_NEGATIVE, doubtful_for=_PERIODS)
@attrs.frozen
class DirectoryItem:
    """One key of the store, as the sender's copy has it."""

    key: str
    """Key in the store."""
    revision: int
    """Store revision of the last change of the decoded value, or of the
    removal."""
    removed: bool
    """Whether the key has been removed from the store."""
    content: bytes
    """Encoded value; the last one before the removal if it was removed."""
    doubtful_for: float
    """Time in seconds for which a removed key still counts as present,
    because it may have expired only due to an outage of the store."""
    is_compressed: bool = False
    """Whether the content is compressed."""


@wire_message(
    _IDL, first=_KEYS, last=_KEYS, born=NOT_NEGATIVE, fence=NOT_NEGATIVE
)
@attrs.frozen
class ShardAssignment:
    """Shard, which is a range of keys, with the target that holds it."""

    first: int
    """First key of the shard."""
    last: int
    """Last key of the shard, inclusive."""
    target: str
    """Name of the target; empty if the shard was never assigned."""
    born: int
    """Start time of the target incarnation that the keys are assigned to, in
    Unix milliseconds."""
    fence: int
    """Fencing token of the latest grant or assignment."""
    open: bool
    """Whether requests may be sent to the target; false while the shard is
    being moved or before its first grant is acknowledged."""


@wire_message(_IDL, epoch=NOT_NEGATIVE, number=NOT_NEGATIVE, hold=NOT_NEGATIVE)
@attrs.frozen
class ShardRecord:
    """Shard assignments of a service, as the coordinator stores them."""

    service_name: str
    """Name of the service."""
    epoch: int
    """Epoch of the coordinator that wrote it; later terms have greater
    epochs."""
    number: int
    """Version of the table within the epoch at the time of the write."""
    assignments: tuple[ShardAssignment, ...]
    """Assignments of all shards, ordered by key."""
    hold: float = 0
    """Longest hold of any grant that may last when the record is read, in
    seconds; 0 in records of builds that store none."""


@wire_message(_IDL, epoch=NOT_NEGATIVE, base=NOT_NEGATIVE, number=NOT_NEGATIVE)
@attrs.frozen
class ShardUpdate:
    """Full or incremental update of an entry VM's shard table."""

    service_name: str
    """Name of the service."""
    epoch: int
    """Epoch of the coordinator that sends the update."""
    base: int
    """Table version that the update applies to; 0 for a full table."""
    number: int
    """Table version after the update."""
    assignments: tuple[ShardAssignment, ...]
    """Changed assignments, or all of them for a full table."""


@wire_message(_IDL, epoch=NOT_NEGATIVE, number=NOT_NEGATIVE)
@attrs.frozen
class ShardVersion:
    """Version of an entry VM's shard table, sent as an acknowledgement."""

    service_name: str
    """Name of the service."""
    epoch: int
    """Epoch of the coordinator that the table came from; 0 for none."""
    number: int
    """Table version within the epoch."""


@wire_message(_IDL)
@attrs.frozen
class ShardImage:
    """Complete shard table of a service, sent instead of an update."""

    content: bytes
    """Compressed :class:`ShardRecord`."""


@wire_message(_IDL, after=NOT_NEGATIVE)
@attrs.frozen
class DirectoryPull:
    """Request of an entry VM for the keys that its copy lacks."""

    after: int
    """Store revision of the requesting VM's copy."""
    tables: tuple[ShardVersion, ...] = ()
    """Versions of the shard tables of the requesting VM."""


@wire_message(_IDL, revision=NOT_NEGATIVE, age=_PERIODS)
@attrs.frozen
class DirectoryPage:
    """Response to a pull: the keys that changed after a revision."""

    revision: int
    """Store revision that the page brings a copy up to."""
    age: float
    """Time since the store confirmed that revision, in seconds."""
    items: tuple[DirectoryItem, ...]
    """Keys that changed or were removed."""
    is_relayed: bool = False
    """Whether the sender pulls from another VM itself."""
    is_complete: bool = False
    """Whether keys that are not among the items have been removed."""
    has_gap: bool = False
    """Whether the sender may have missed keys that came and went since the
    revision of the requesting VM's copy."""
    updates: tuple[ShardUpdate, ...] = ()
    """Incremental updates of the requesting VM's shard tables."""
    images: tuple[ShardImage, ...] = ()
    """Shard tables for which there is no incremental update."""


@wire_message(_IDL, key=_KEYS, requests=_COUNTS)
@attrs.frozen
class KeyCount:
    """Number of requests for one key."""

    key: int
    """Shard key."""
    requests: float
    """Requests that the entry VM counted since its previous report."""


@wire_message(_IDL, seconds=_PERIODS)
@attrs.frozen
class TargetPace:
    """Baseline latency of a target: the latency when it is not overloaded."""

    target: str
    """Name of the target."""
    seconds: float
    """Baseline latency, in seconds."""


@wire_message(_IDL, born=NOT_NEGATIVE)
@attrs.frozen
class LeavingTarget:
    """Target that has said that it leaves."""

    target: str
    """Name of the target."""
    born: int
    """Start time of the target's incarnation, in Unix milliseconds."""


@wire_message(_IDL, epoch=NOT_NEGATIVE, number=NOT_NEGATIVE)
@attrs.frozen
class LoadReport:
    """Load that an entry VM reports to the coordinator.

    The version of the VM's shard table lets the coordinator reply with the
    changes that the VM lacks.
    """

    vm: str
    """Name of the reporting entry VM."""
    service_name: str
    """Name of the service."""
    epoch: int
    """Epoch of the VM's shard table; 0 for none."""
    number: int
    """Version of the VM's shard table within the epoch."""
    keys: tuple[KeyCount, ...]
    """Requests by key since the previous report."""
    paces: tuple[TargetPace, ...]
    """Baseline latencies of the service's targets."""
    reads_store: bool = False
    """Whether the VM reads changes from the store, not from another VM."""
    leaving: tuple[LeavingTarget, ...] = ()
    """Targets of the service that have said that they leave."""


@wire_message(
    _IDL,
    born=NOT_NEGATIVE,
    priority=NOT_NEGATIVE,
    rate=NOT_NEGATIVE,
    warmup_rate=NOT_NEGATIVE,
)
@attrs.frozen
class RateRequest:
    """Request for a permit to send one request to a target with a rate limit.

    It tells what the requesting VM knows of the limit.
    """

    target: str
    """Name of the target."""
    born: int
    """Start time of the target's incarnation, in Unix milliseconds."""
    priority: int
    """Priority of the request; 0 is the highest."""
    rate: float
    """Rate that the target named, in requests per second; infinite for no
    limit."""
    oldest_age: float
    """Greatest possible age of the statement, in seconds."""
    newest_age: float
    """Smallest possible age of the statement, in seconds."""
    is_report: bool = False
    """Whether no permit is asked for, and the message only tells of the limit:
    a VM tells the keeper, and the keeper all VMs."""
    warmup_rate: float = 0
    """Rate that the target tolerates while it warms up, in requests per
    second; 0 if the requesting VM does not know it to be cold."""


@wire_message(_IDL, rate=NOT_NEGATIVE)
@attrs.frozen
class RateReply:
    """Answer to a :class:`RateRequest`, with what the keeper knows."""

    is_permitted: bool
    """Whether the request may be sent."""
    rate: float
    """Rate that the target named, in requests per second; infinite for no
    limit."""
    oldest_age: float
    """Greatest possible age of the statement, in seconds."""
    newest_age: float
    """Smallest possible age of the statement, in seconds."""
    wait: float = 0
    """Time after which the caller of a refused request may return, in seconds;
    0 if the keeper knows none."""
    pause: float = 0
    """Time for which the VM should not ask again for requests of this
    priority, in seconds; 0 if the keeper knows none."""
