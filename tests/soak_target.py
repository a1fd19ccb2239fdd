"""Stand-in of a target whose runs and holds a soak checks."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import anyio
import attrs
import orjson

from dogwoodmast._asgi import send_response
from dogwoodmast.standins._http import read_body
from history import Run, Violation

if TYPE_CHECKING:
    from dogwoodmast._asgi import Receive, Scope, Send

KEYS = tuple(range(1_000, 65_536, 5_000))
"""Keys that callers use."""
SLOTS = 4
"""Requests that a target runs at a time; as many more wait."""
WORK = 0.05
"""Time that a request takes, in seconds; long enough that some are always
running."""
DRAIN_TIME = 2.0
"""Time after which a leaving target must get nothing new, in seconds."""


@attrs.define(eq=False)
class Ledger:
    """What all targets of a soak saw."""

    runs: list[Run] = attrs.field(factory=list)
    violations: list[Violation] = attrs.field(factory=list)
    late: list[Violation] = attrs.field(factory=list)
    """Requests that reached a target after it had left; whether they break
    a promise depends on the troubles."""
    targets: list[SoakTarget] = attrs.field(factory=list)

    def check_holds(self, holder: SoakTarget) -> None:
        """Find keys that two living targets hold."""
        for other in self.targets:
            shared = other.held_keys() & holder.held_keys()
            if other is not holder and shared:
                detail = f'{other.name} and {holder.name} hold {shared}'
                self.violations.append(Violation('one holder', detail))


@attrs.define(eq=False)
class SoakTarget:
    """ASGI application of all lives of one target."""

    name: str
    sharded: bool
    ledger: Ledger
    born: int = 1
    alive: bool = True
    left_at: float = float('inf')
    _holds: dict[int, tuple[int, float]] = attrs.field(factory=dict)
    _seen: dict[int, int] = attrs.field(factory=dict)
    _running: set[anyio.CancelScope] = attrs.field(factory=set)
    _limit: anyio.CapacityLimiter = attrs.field(
        factory=lambda: anyio.CapacityLimiter(SLOTS)
    )

    def held_keys(self) -> set[int]:
        """Find the keys that it would run requests for."""
        now = time.monotonic()
        held = {key for key, (_, until) in self._holds.items() if now < until}
        return held if self.alive else set()

    def end(self) -> None:
        """End its life with all that it runs."""
        self.alive = False
        self._holds.clear()
        self._seen.clear()
        for scope in self._running:
            scope.cancel()

    def begin(self) -> None:
        """Begin the next life."""
        self.born += 1
        self.alive = True
        self.left_at = float('inf')

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answer one call."""
        if scope['type'] != 'http':
            return
        headers = {
            name.decode(): found.decode() for name, found in scope['headers']
        }
        body = await read_body(receive)
        if not self.alive:
            raise ConnectionAbortedError
        is_foreign = headers.get('expected-instance', self.name) != self.name
        if is_foreign:
            await _say(send, headers, 421)
        elif scope['path'] == '/api/grant':
            await self._grant(orjson.loads(body), send)
        elif scope['path'] == '/api/release':
            await self._release(orjson.loads(body), send)
        else:
            await self._serve(scope['method'], headers, send)

    async def _grant(self, order: dict[str, int], send: Send) -> None:
        keys = _keys_of(order)
        fence = order['fence']
        if any(self._seen.get(key, 0) > fence for key in keys):
            await send_response(send, 409, [(b'content-length', b'0')], b'')
            return
        until = time.monotonic() + order['hold_s']
        self._seen |= dict.fromkeys(keys, fence)
        self._holds |= dict.fromkeys(keys, (fence, until))
        self.ledger.check_holds(self)
        await send_response(send, 200, [(b'content-length', b'0')], b'')

    async def _release(self, order: dict[str, int], send: Send) -> None:
        for key in _keys_of(order):
            self._holds.pop(key, None)
        while self._running:
            await anyio.sleep(0.005)
        headers = [(b'handover', b'h1'), (b'content-length', b'0')]
        await send_response(send, 200, headers, b'')

    async def _serve(
        self, method: str, headers: dict[str, str], send: Send
    ) -> None:
        key = int(headers['shard-key']) if self.sharded else None
        if len(self._running) >= 2 * SLOTS:
            await _say(send, headers, 503)
        elif key is not None and key not in self.held_keys():
            await _say(send, headers, 421)
        else:
            await self._run(method, headers, key, send)

    async def _run(
        self, method: str, headers: dict[str, str], key: int | None, send: Send
    ) -> None:
        scope = anyio.CancelScope()
        self._running.add(scope)
        try:
            with scope:
                async with self._limit:
                    is_held = await self._work(method, headers, key)
        finally:
            self._running.discard(scope)
        if scope.cancelled_caught or not self.alive:
            raise ConnectionAbortedError
        if not is_held:
            await _say(send, headers, 421)
            return
        if key is not None and key not in self.held_keys():
            await _say(send, headers, 500)
            return
        await _say(send, headers, 200, ran=True)

    async def _work(
        self, method: str, headers: dict[str, str], key: int | None
    ) -> bool:
        """Run a request, unless its key was released while it waited."""
        if key is not None and key not in self.held_keys():
            return False
        attempt = headers['request-attempt-id']
        began = time.monotonic()
        if began > self.left_at + DRAIN_TIME:
            detail = f'{attempt} {began - self.left_at:.2f} s after leaving'
            self.ledger.late.append(Violation('drained', detail))
        fence, _ = self._holds.get(key or -1, (0, 0))
        # Without keys, targets may run requests side by side.
        run_key = f'{self.name} {attempt}' if key is None else str(key)
        try:
            await anyio.sleep(WORK)
        finally:
            self.ledger.runs.append(
                Run(
                    target=self.name,
                    key=run_key,
                    method=method,
                    request_id=attempt,
                    partition='',
                    fence=fence,
                    began=began,
                    ended=time.monotonic(),
                )
            )
        return True


def _keys_of(order: dict[str, int]) -> list[int]:
    return [key for key in KEYS if order['from'] <= key <= order['target']]


async def _say(
    send: Send, asked: dict[str, str], status: int, *, ran: bool = False
) -> None:
    attempt = asked['request-attempt-id']
    body = orjson.dumps(
        {
            'echo': attempt,
            'key': asked.get('shard-key', ''),
            'request_id': attempt,
        }
    )
    headers = [
        (b'request-attempt-id', attempt.encode()),
        (b'content-length', str(len(body)).encode()),
    ]
    if ran or status == 500:
        headers.append((b'response-seal', b'sealed'))
    else:
        headers.append((b'not-executed', b'1'))
    await send_response(send, status, headers, body)
