"""Target on plain sockets that holds keys, with faults of single answers."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable

import attrs

from dogwoodmast.address import Address
from harness.holds import HoldLog

_HEAD = b'HTTP/1.1 %b\r\nContent-Length: %d\r\n%b\r\n'


@attrs.define(eq=False)
class Link:
    """Connection from an entry VM."""

    number: int
    """Number of the connection."""
    calls: int = 0
    """Grants that were read from it."""
    repeated: bytes = b''
    """Answer that is written once more when the next call is read."""


@attrs.frozen
class Grant:
    """Grant call."""

    first: int
    """First key."""
    last: int
    """Last key, inclusive."""
    fence: int
    """Fencing token."""
    hold: float
    """Time for which it lasts, in seconds."""
    arrived_at: float
    """Monotonic time of the arrival, in seconds."""


@attrs.frozen
class AnswerPlan:
    """What a target does with one grant."""

    repeats: bool = False
    """Whether its answer comes once more, where the next one is expected."""
    late: float = 0
    """Time after which it is carried out without an answer, in seconds; 0 to
    carry it out and answer at once."""


SOUND = AnswerPlan()


@attrs.define(eq=False)
class KeyedTarget:
    """Target that runs requests for the keys that it holds."""

    name: str
    """Name of the target."""
    address: Address
    """Address to listen on."""
    holds: HoldLog
    """Record of grants and releases, which targets share."""
    plan: Callable[[Link, Grant], AnswerPlan] = attrs.field(
        default=lambda _link, _grant: SOUND
    )
    """Decides what is done with a grant."""
    is_keyed: bool = True
    """Whether it runs only requests for keys that it holds."""
    grants: int = 0
    """Number of grants that arrived."""
    ran: list[str] = attrs.field(factory=list)
    """Attempt IDs of the requests that ran."""
    _highest: dict[int, int] = attrs.field(factory=dict)
    _held: dict[int, float] = attrs.field(factory=dict)
    _links: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    _late: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._serve, self.address.host, self.address.port
        )

    def stop(self) -> None:
        """End as a process does: nothing listens, and connections close."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()
        for task in self._late:
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._links += 1
        link = Link(self._links)
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                fields = _fields(head)
                length = int(fields.get('content-length', '0'))
                body = await reader.readexactly(length)
                repeated, link.repeated = link.repeated, b''
                writer.write(repeated)
                path = head.split(b' ', 2)[1]
                writer.write(self._answer(link, path, fields, body))
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    def _answer(
        self, link: Link, path: bytes, fields: dict[str, str], body: bytes
    ) -> bytes:
        match path:
            case b'/api/grant':
                return self._on_grant(link, json.loads(body))
            case b'/api/release':
                return self._on_release(json.loads(body))
            case _:
                return self._on_request(fields)

    def _on_grant(self, link: Link, call: dict[str, float]) -> bytes:
        grant = Grant(
            int(call['from']),
            int(call['target']),
            int(call['fence']),
            call['hold_s'],
            time.monotonic(),
        )
        self.grants += 1
        plan = self.plan(link, grant)
        link.calls += 1
        if plan.late:
            task = asyncio.create_task(self._apply_late(grant, plan.late))
            self._late.add(task)
            return b''
        status = b'200 OK' if self._apply(grant) else b'409 Conflict'
        answer = _HEAD % (status, 0, b'')
        if plan.repeats:
            link.repeated = answer
        return answer

    async def _apply_late(self, grant: Grant, seconds: float) -> None:
        await asyncio.sleep(seconds)
        self._apply(grant)

    def _apply(self, grant: Grant) -> bool:
        keys = range(grant.first, grant.last + 1)
        if any(self._highest.get(key, 0) > grant.fence for key in keys):
            return False
        until = grant.arrived_at + grant.hold
        for key in keys:
            self._highest[key] = grant.fence
            self._held[key] = until
        call = {
            'from': grant.first,
            'target': grant.last,
            'fence': grant.fence,
            'hold_s': max(0, until - time.monotonic()),
        }
        self.holds.on_grant(self.name, call)
        return True

    def _on_release(self, call: dict[str, float]) -> bytes:
        for key in range(int(call['from']), int(call['target']) + 1):
            self._held.pop(key, None)
        self.holds.on_release(self.name, call)
        return _HEAD % (b'200 OK', 0, b'Handover: h1\r\n')

    def _on_request(self, fields: dict[str, str]) -> bytes:
        attempt = fields['request-attempt-id']
        key = int(fields.get('shard-key', '-1'))
        named = b'Request-Attempt-Id: %b\r\n' % attempt.encode()
        if self.is_keyed and time.monotonic() >= self._held.get(key, 0):
            status = b'421 Misdirected Request'
            return _HEAD % (status, 0, named + b'Not-Executed: 1\r\n')
        self.ran.append(attempt)
        return _HEAD % (b'200 OK', 2, named + b'Response-Seal: s\r\n') + b'ok'


def _fields(head: bytes) -> dict[str, str]:
    fields = {}
    for line in head.decode('latin-1').strip().split('\r\n')[1:]:
        name, _, field = line.partition(':')
        fields[name.strip().lower()] = field.strip()
    return fields
