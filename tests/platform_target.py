"""Stand-in of a target on the platform, with its misbehaviour."""

from __future__ import annotations

import enum
import time
from typing import TYPE_CHECKING, Any

import anyio
import attrs
import orjson

from dogwoodmast._asgi import send_response
from dogwoodmast.standins._http import read_body

if TYPE_CHECKING:
    from dogwoodmast._asgi import Receive, Scope, Send


class TargetFault(enum.Enum):
    """How a target misbehaves."""

    NONE = 'none'
    FULL = 'full'
    CUT = 'cut'
    """Answers break off in the middle."""
    LOST = 'lost'
    """Requests run and their connections close without an answer."""
    FAILING = 'failing'
    FOREIGN = 'foreign'
    """Answers belong to another request."""


@attrs.define(eq=False)
class PlatformTarget:
    """ASGI application of one life of a target."""

    name: str
    sharded: bool = False
    work: float = 0
    size: int = 200
    fault: TargetFault = TargetFault.NONE
    runs: list[str] = attrs.field(factory=list)
    grants: dict[int, tuple[int, float]] = attrs.field(factory=dict)
    seen: dict[int, int] = attrs.field(factory=dict)
    running: int = 0
    most_running: int = 0
    last: dict[str, str] = attrs.field(factory=dict)

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
        is_foreign = headers.get('expected-instance', self.name) != self.name
        if is_foreign:
            await self._say(send, headers, 421, refused=True)
        elif scope['path'] == '/api/grant':
            await self._grant(orjson.loads(body), send)
        elif scope['path'] == '/api/release':
            await self._release(orjson.loads(body), send)
        else:
            await self._run(scope, headers, receive, send)

    def holds(self, key: int) -> bool:
        """Tell whether it may run requests for a key."""
        _, until = self.grants.get(key, (0, 0))
        return time.monotonic() < until

    async def _grant(self, order: dict[str, Any], send: Send) -> None:
        keys = range(order['from'], order['target'] + 1)
        fence = order['fence']
        if any(self.seen.get(key, 0) > fence for key in keys):
            await send_response(send, 409, [], b'')
            return
        until = time.monotonic() + order['hold_s']
        for key in keys:
            self.seen[key] = fence
            self.grants[key] = (fence, until)
        await send_response(send, 200, [(b'content-length', b'0')], b'')

    async def _release(self, order: dict[str, Any], send: Send) -> None:
        for key in range(order['from'], order['target'] + 1):
            self.grants.pop(key, None)
        while self.running:
            await anyio.sleep(0.005)
        headers = [(b'handover', b'h1'), (b'content-length', b'0')]
        await send_response(send, 200, headers, b'')

    async def _run(
        self,
        scope: Scope,
        headers: dict[str, str],
        receive: Receive,
        send: Send,
    ) -> None:
        key = headers.get('shard-key')
        if self.fault is TargetFault.FULL:
            await self._say(send, headers, 503, refused=True)
            return
        if self.sharded and (key is None or not self.holds(int(key))):
            await self._say(send, headers, 421, refused=True)
            return
        self.last = {**headers, 'path': scope['raw_path'].decode()}
        self.runs.append(headers['request-attempt-id'])
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            await self._work(receive)
        finally:
            self.running -= 1
        if self.fault is TargetFault.LOST:
            raise ConnectionAbortedError
        status = 500 if self.fault is TargetFault.FAILING else 200
        await self._say(send, headers, status)

    async def _work(self, receive: Receive) -> None:
        async with anyio.create_task_group() as tasks:

            async def watch() -> None:
                await receive()
                tasks.cancel_scope.cancel()

            tasks.start_soon(watch)
            await anyio.sleep(self.work)
            tasks.cancel_scope.cancel()

    async def _say(
        self,
        send: Send,
        asked: dict[str, str],
        status: int,
        *,
        refused: bool = False,
    ) -> None:
        attempt = asked['request-attempt-id']
        if self.fault is TargetFault.FOREIGN:
            attempt = 'another'
        body = self.name.encode().ljust(self.size, b'.')
        headers = [
            (b'request-attempt-id', attempt.encode()),
            (b'content-length', str(len(body)).encode()),
        ]
        if refused:
            headers.append((b'not-executed', b'1'))
        else:
            headers.append((b'response-seal', b'sealed'))
        if self.fault is TargetFault.CUT:
            await send(
                {
                    'type': 'http.response.start',
                    'status': status,
                    'headers': headers,
                }
            )
            half = body[: len(body) // 2]
            await send(
                {'type': 'http.response.body', 'body': half, 'more_body': True}
            )
            raise ConnectionAbortedError
        await send_response(send, status, headers, body)
