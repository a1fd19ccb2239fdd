"""Messages between entry VMs and the keepers of targets' room."""

from __future__ import annotations

import enum

import attrs

from dogwoodmast._wire import NOT_NEGATIVE, Range, wire_message
from dogwoodmast.direct.knowledge.load_statement import (
    LoadFigures,
    LoadStatement,
    NoLoad,
)

_IDL = 'room'
_FIGURES: Range = (0, 1e9)
"""Numbers of requests that are not absurd."""


class Verdict(enum.IntEnum):
    """Answer of a keeper; the numbers are sent and must not change."""

    UNKNOWN = 0
    """The VM does not keep this room."""
    GRANTED = 1
    """The request may be sent to the named target."""
    REFUSED = 2
    """There is no room in time."""
    ELSEWHERE = 3
    """The named zone has more room."""
    AGAIN = 4
    """The target has left; another one may hold the key by now."""


class ReturnReason(enum.IntEnum):
    """Why room is given back; the numbers are sent and must not change."""

    UNUSED = 0
    """The request was not sent, or its caller left."""
    SERVED = 1
    """The target responded."""
    REFUSED = 2
    """The target stated that it did not run the request."""
    FAILED = 3
    """The target responded with a server error."""
    NO_RESPONSE = 4
    """The target could not be connected to, or broke off."""
    OVERDUE = 5
    """The target did not respond before the caller's deadline."""

    @classmethod
    def read(cls, number: int) -> ReturnReason:
        """Return the reason of a number that another VM has sent.

        :param number: Number of a reason.
        :return: The reason; ``UNUSED``, which says nothing of the target, for
            one that this build does not know.
        """
        try:
            return cls(number)
        except ValueError:
            return cls.UNUSED


@wire_message(
    _IDL,
    born=NOT_NEGATIVE,
    rank=NOT_NEGATIVE,
    response_size=NOT_NEGATIVE,
    body_size=NOT_NEGATIVE,
)
@attrs.frozen
class RoomAsk:
    """Request of an entry VM to send one caller's request to a target."""

    vm: str
    """Incarnation of the entry VM."""
    number: int
    """Number of the ask, unique within the incarnation."""
    service_name: str
    """Name of the service."""
    zone: str
    """Availability zone whose targets the room is asked of."""
    target: str = ''
    """Name of the target that holds the request's key; empty if any target of
    the service may run it."""
    born: int = 0
    """Start time of that target's incarnation, in Unix milliseconds."""
    rank: int = 0
    """Priority of the route; 0 is the highest."""
    time_left: float = 0
    """Time until the caller's deadline, in seconds."""
    objective: float = 0
    """Latency objective of the route, in seconds."""
    avoided: tuple[str, ...] = ()
    """Names of targets that must not be granted."""
    connected: tuple[str, ...] = ()
    """Names of targets to which the VM has an idle connection."""
    may_wait: bool = True
    """Whether the keeper may let the request wait for room."""
    may_leave: bool = False
    """Whether the request may be sent to another zone."""
    response_size: float = 0
    """Expected size of the response, in bytes."""
    body_size: int = 0
    """Size of the request's body, in bytes."""
    earlier_zone: str = ''
    """Zone that was asked of before without success; empty in a first ask."""
    caller: int = 0
    """Hash of the caller and what it requests; 0 if it is not known."""
    route: str = ''
    """Name of the route; requests of one route take similar work."""


@wire_message(_IDL, born=NOT_NEGATIVE)
@attrs.frozen
class RoomReply:
    """Answer of a keeper to a :class:`RoomAsk`."""

    verdict: int
    """Value of :class:`Verdict`."""
    target: str = ''
    """Name of the granted target."""
    born: int = 0
    """Start time of that target's incarnation, in Unix milliseconds."""
    wait: float = 0
    """Time after which the caller of a refused request may return, in
    seconds."""
    zone: str = ''
    """Zone to ask instead."""
    reason: str = ''
    """Why that zone should be asked."""


@wire_message(
    _IDL, running=_FIGURES, waiting=_FIGURES, slots=_FIGURES, pace=_FIGURES
)
@attrs.frozen
class RoomReturn:
    """Notice that granted room is free again; it has no reply."""

    vm: str
    """Incarnation of the entry VM."""
    number: int
    """Number of the ask."""
    service_name: str
    """Name of the service."""
    zone: str
    """Availability zone of the room."""
    target: str = ''
    """Name of the granted target; empty if no answer has arrived."""
    result: int = 0
    """Value of :class:`ReturnReason`."""
    seconds: float = 0
    """Time from the send to the response, in seconds."""
    route: str = ''
    """Name of the route."""
    running: int = 0
    """Requests that ran at the target by its own figures."""
    waiting: int = 0
    """Requests that waited there."""
    slots: int = 0
    """Requests that can run there at a time; 0 if it told no figures."""
    pace: float = 1
    """Duration of work there, as a multiple of the usual one."""
    age: float = 0
    """Age of the target's figures, in seconds."""

    @property
    def load(self) -> LoadStatement:
        """Load that the target told."""
        if self.slots <= 0 or self.pace <= 0:
            return NoLoad()
        return LoadFigures(self.running, self.waiting, self.slots, self.pace)
