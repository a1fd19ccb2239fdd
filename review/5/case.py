"""A configuration that the operator writes soon after a drill of the store.

The store is away for a second and comes back from a copy that was five seconds
old.  One second later the operator moves a route to another service.  Without
the trouble the store is away as long and loses nothing.
"""

from __future__ import annotations

import asyncio
import pathlib
import time
from typing import Any

from harness.deployment import Deployment, deployment, make_configuration
from harness.keyed_target import KeyedTarget
from harness.outcome import BROKEN, HELD, NOT_RUN, main
from harness.processes import free_address

COPY_AGE = 5.0
"""Age of the copy when the store leaves, in seconds."""
AWAY_TIME = 1.0
"""Time for which the store is away, in seconds."""
CHANGE_DELAY = 1.0
"""Time from the store's return to the change, in seconds."""
CONFIG_APPLY = 2.0
"""Bound ``config_apply_s``, in seconds."""
OUTER = 5.0
"""Bound ``outer_s``, by which an unstable core stretches it, in seconds."""
CONTACT = 3.0
"""Bound ``contact_s``: the core is stable that long after its disruption."""
CHECK_TIME = 25.0
"""Time for which requests are judged, in seconds."""
PAUSE = 0.05
"""Pause between two requests, in seconds."""
OLD, NEW = 'paiement', 'guichet'
"""Service of the route before the change and after it."""
RECORD = pathlib.Path(__file__).parent / 'record.txt'


async def play(is_troubled: bool) -> int:
    """Play the case.

    :param is_troubled: Whether the store loses what is younger than the copy.
    :return: Exit code.
    """
    async with deployment() as fleet:
        fleet.content.put_document('op/config', _configuration(2, OLD))
        targets = []
        for service in (OLD, NEW):
            for number in range(4):
                target = KeyedTarget(
                    f'{service}-{number}', free_address(), fleet.holds
                )
                target.is_keyed = False
                await target.start()
                fleet.stack.callback(target.stop)
                fleet.tasks.create_task(
                    fleet.beat(target.name, service, target.address)
                )
                targets.append(target)
        if not await _send_until_served(fleet):
            return NOT_RUN
        await asyncio.sleep(COPY_AGE + 2)
        fleet.store.leave()
        fleet.note('store away')
        await asyncio.sleep(AWAY_TIME)
        copy = fleet.store.come_back(COPY_AGE if is_troubled else 0)
        lost = 'from an older copy' if is_troubled else 'nothing lost'
        fleet.note(f'store back, {lost}, at revision {copy.revision}')
        await asyncio.sleep(CHANGE_DELAY)
        revision = fleet.content.put_document(
            'op/config', _configuration(5, NEW)
        )
        acknowledged_at = time.monotonic()
        fleet.note(f'version 5 acknowledged, at revision {revision}')
        until = acknowledged_at + CONTACT + CONFIG_APPLY + OUTER + CHECK_TIME
        while time.monotonic() < until:
            for vm in fleet.vms:
                await _pay(fleet, vm.callers)
            await asyncio.sleep(PAUSE)
        return _judge(fleet, targets, acknowledged_at)


def _configuration(version: int, service: str) -> dict[str, Any]:
    document = make_configuration(version)
    document['services'].append({'name': NEW, 'max_conns': 130})
    for route in document['routes']:
        if route['name'] == 'payment':
            route['service'] = service
    return document


async def _pay(fleet: Deployment, address: Any) -> int:
    sent = await fleet.callers.send(
        address, '/payment/1', method='POST', body=b'{"amount":5000}'
    )
    return sent.status


async def _send_until_served(fleet: Deployment) -> bool:
    for vm in fleet.vms:
        for _ in range(100):
            if await _pay(fleet, vm.callers) == 200:
                break
            await asyncio.sleep(0.1)
        else:
            return False
    return True


def _judge(
    fleet: Deployment, targets: list[KeyedTarget], acknowledged_at: float
) -> int:
    service_of = {
        attempt: target.name.partition('-')[0]
        for target in targets
        for attempt in target.ran
    }
    judged_from = acknowledged_at + CONTACT + CONFIG_APPLY + OUTER
    start = fleet.notes[0][0]
    lines = [f'{at - start:8.3f} {text}' for at, text in fleet.notes]
    stale = 0
    for one in fleet.callers.sent:
        service = service_of.get(one.attempt, 'nowhere')
        is_judged = one.sent_at > judged_from
        is_stale = is_judged and service == OLD
        stale += is_stale
        verdict = ', AS ONLY AN OLDER VERSION ALLOWS' if is_stale else ''
        lines.append(
            f'{one.sent_at - start:8.3f} caller sent {one.attempt}: '
            f'{one.status}, ran at {service}{verdict}'
        )
    lines.sort(key=lambda line: float(line[:8]))
    judged = sum(one.sent_at > judged_from for one in fleet.callers.sent)
    lines.append(
        f'{judged} requests sent later than '
        f'{CONTACT + CONFIG_APPLY + OUTER} s after the acknowledgement, '
        f'{stale} of them run by the old service'
    )
    RECORD.write_text('\n'.join(lines) + '\n')
    return BROKEN if stale else HELD


if __name__ == '__main__':
    main(play)
