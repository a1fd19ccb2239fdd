"""Callers of a soak, which record what they get."""

from __future__ import annotations

import itertools
import random
import time
import uuid
from collections.abc import Mapping

import anyio
import attrs
import httpcore

from dogwoodmast.address import Address
from dogwoodmast.problem import PROBLEM_MEDIA_TYPE
from fleet import Reply
from history import Call, CallOutcome, ObservedVersion
from soak_target import KEYS

HOST = 'shop.example'
PATIENCE = 1.5
"""Time that a caller allows for an answer, in seconds."""
GIVE_UP = 4.0
"""Time after which a caller stops waiting for any answer, in seconds."""
PAUSE = 0.03
"""Time between two requests of one caller, in seconds."""
LOOK_PAUSE = 0.3
"""Time between two looks at a VM's configuration, in seconds."""
KINDS = (('GET', 'balance'), ('POST', 'payment'), ('GET', 'receipt'))


@attrs.define(eq=False)
class SoakCallers:
    """Callers that keep connections open and never rest."""

    vms: Mapping[str, Address]
    newest: int = 1
    """Newest version of the configuration."""
    calls: list[Call] = attrs.field(factory=list)
    observed_versions: list[ObservedVersion] = attrs.field(factory=list)

    async def call_on(self, place: int) -> None:
        """Call one VM after another until cancelled."""
        chance = random.Random(place)
        names = list(self.vms)
        turns = itertools.cycle(names[place:] + names[:place])
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                method, kind = chance.choice(KINDS)
                key = chance.choice(KEYS) if kind == 'balance' else None
                call = await self.call(pool, next(turns), method, kind, key)
                self.calls.append(call)
                await anyio.sleep(PAUSE)

    async def look_on(self, vm: str) -> None:
        """Look which configuration a VM uses until cancelled."""
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                await anyio.sleep(LOOK_PAUSE)
                await self._look(pool, vm)

    async def _look(self, pool: httpcore.AsyncConnectionPool, vm: str) -> None:
        for version in range(self.newest, 0, -1):
            call = await self.call(pool, vm, 'GET', f'v{version}', None)
            if call.outcome is CallOutcome.ANSWERED:
                self.observed_versions.append(
                    ObservedVersion(vm, version, call.began)
                )
                return

    async def is_served(self, vm: str) -> bool:
        """Tell whether a VM gets every kind and key answered."""
        async with httpcore.AsyncConnectionPool() as pool:
            asked: list[tuple[str, str, int | None]] = [
                ('POST', 'payment', None),
                ('GET', 'receipt', None),
                *(('GET', 'balance', key) for key in KEYS),
            ]
            for method, kind, key in asked:
                call = await self.call(pool, vm, method, kind, key)
                if call.outcome is not CallOutcome.ANSWERED:
                    return False
        return True

    async def call(
        self,
        pool: httpcore.AsyncConnectionPool,
        vm: str,
        method: str,
        kind: str,
        key: int | None,
    ) -> Call:
        """Send one request."""
        attempt = uuid.uuid4().hex
        headers: dict[bytes | str, bytes | str] = {
            'Host': HOST,
            'Request-Attempt-Id': attempt,
            'Request-Deadline-Ms': str(int(PATIENCE * 1000)),
        }
        if key is not None:
            headers['Shard-Key'] = str(key)
        began = time.monotonic()
        reply, accepted = None, True
        try:
            with anyio.fail_after(GIVE_UP):
                response = await pool.request(
                    method, f'http://{self.vms[vm]}/{kind}/x', headers=headers
                )
            reply = _reply(response)
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            accepted = False
        except (httpcore.NetworkError, httpcore.ProtocolError, TimeoutError):
            # The call is recorded as lost.
            reply = None
        return Call(
            entry=vm,
            key='' if key is None else str(key),
            method=method,
            request_id=attempt,
            echo=attempt,
            began=began,
            ended=time.monotonic(),
            outcome=_classify_reply(reply),
            reply=reply,
            accepted=accepted,
        )


def _reply(response: httpcore.Response) -> Reply:
    headers = {
        name.decode().lower(): found.decode()
        for name, found in response.headers
    }
    return Reply(response.status, headers, response.content)


def _classify_reply(reply: Reply | None) -> CallOutcome:
    if reply is None:
        return CallOutcome.LOST
    if reply.headers.get('content-type') != PROBLEM_MEDIA_TYPE:
        is_answered = reply.status == 200
        return CallOutcome.ANSWERED if is_answered else CallOutcome.MAY_HAVE_RUN
    outcome = reply.document.get('outcome')
    return (
        CallOutcome.NOT_RUN
        if outcome == 'not_run'
        else CallOutcome.MAY_HAVE_RUN
    )
