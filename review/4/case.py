"""The store comes back from a copy that does not know the coordinator's term.

The coordinator's VM is stopped and started again as planned, and another VM
takes the role.  Then the store is away for a second and comes back from a copy
of before.  Ten seconds later a target drains, as planned.  Without the trouble
the store is away as long and loses nothing.
"""

from __future__ import annotations

import asyncio
import base64
import pathlib
import random
import signal
import time

from harness.deployment import Deployment, deployment
from harness.holds import GrantSeen
from harness.keyed_target import KeyedTarget
from harness.outcome import BROKEN, HELD, NOT_RUN, main
from harness.processes import EntryVm, free_address

COPY_AGE = 5.0
"""Age of the copy when the store leaves, in seconds."""
AWAY_TIME = 1.0
"""Time for which the store is away, in seconds."""
SETTLED_TIME = 10.0
"""Time after the store's return after which a target drains, in seconds."""
LEAVING_TIME = 4.0
"""Time for which it serves on before it ends, in seconds."""
WATCH_TIME = 15.0
"""Time after that for which grants are recorded, in seconds."""
NAMES = tuple(f'server-{one}' for one in 'abcdef')
"""Names of the targets."""
RATE = 60.0
"""Requests a second."""
COORDINATOR = 'dogwoodmast/coordinator'
"""Key of the coordinator's record."""
RECORD = pathlib.Path(__file__).parent / 'record.txt'


async def play(is_troubled: bool) -> int:
    """Play the case.

    :param is_troubled: Whether the store loses what is younger than the copy.
    :return: Exit code.
    """
    async with deployment() as fleet:
        targets = [
            KeyedTarget(name, free_address(), fleet.holds) for name in NAMES
        ]
        for target in targets:
            await target.start()
            fleet.stack.callback(target.stop)
            fleet.tasks.create_task(
                fleet.beat(target.name, 'solde', target.address)
            )
        fleet.tasks.create_task(fleet.send_steadily(RATE, random.Random(1)))
        if not await fleet.wait_for(lambda: _served(fleet) > 5 * RATE, 30):
            return NOT_RUN
        if not await _change_coordinator(fleet):
            return NOT_RUN
        await asyncio.sleep(1)
        fleet.store.leave()
        fleet.note('store away')
        await asyncio.sleep(AWAY_TIME)
        copy = fleet.store.come_back(COPY_AGE if is_troubled else 0)
        lost = 'from an older copy' if is_troubled else 'nothing lost'
        fleet.note(f'store back, {lost}, at revision {copy.revision}')
        await asyncio.sleep(SETTLED_TIME)
        fleet.drain('server-a')
        fleet.note('server-a drains')
        await asyncio.sleep(LEAVING_TIME)
        targets[0].stop()
        fleet.remove('server-a')
        fleet.note('server-a ends')
        await asyncio.sleep(WATCH_TIME)
        _write_record(fleet)
        return BROKEN if fleet.holds.low_fences() else HELD


async def _change_coordinator(fleet: Deployment) -> bool:
    """Stop the coordinator's VM and start it again; tell if another leads."""
    before = fleet.content.items[COORDINATOR]
    vm = _vm_of(fleet, before.content)
    fleet.note(f'{vm.name} gets SIGTERM; its term is {before.revision}')
    vm.send(signal.SIGTERM)
    fleet.tasks.create_task(_restart(fleet, vm))

    def has_granted() -> bool:
        item = fleet.content.items.get(COORDINATOR)
        return item is not None and any(
            isinstance(one, GrantSeen)
            and item.revision > before.revision
            and one.fence > before.revision << 20
            and one.fence >> 20 == item.revision
            for one in fleet.holds.seen
        )

    if not await fleet.wait_for(has_granted, 10):
        return False
    after = fleet.content.items[COORDINATOR]
    name = _vm_of(fleet, after.content).name
    fleet.note(f'{name} coordinates; its term is {after.revision}')
    return True


async def _restart(fleet: Deployment, vm: EntryVm) -> None:
    assert vm.process is not None
    while vm.process.poll() is None:  # noqa: ASYNC110
        await asyncio.sleep(0.1)
    vm.start()
    fleet.note(f'{vm.name} started again')


def _vm_of(fleet: Deployment, content: str) -> EntryVm:
    record = base64.b64decode(content)
    return next(one for one in fleet.vms if str(one.links).encode() in record)


def _served(fleet: Deployment) -> int:
    return sum(one.status == 200 for one in fleet.callers.sent)


def _write_record(fleet: Deployment) -> None:
    start = fleet.notes[0][0]
    lines = [f'{at - start:8.3f} {text}' for at, text in fleet.notes]
    for one in fleet.holds.seen:
        keys = f'{one.first}-{one.last}'
        what = (
            f'took {keys} fence {one.fence} (term {one.fence >> 20})'
            if isinstance(one, GrantSeen)
            else f'released {keys}'
        )
        lines.append(f'{one.at - start:8.3f} {one.target} {what}')
    end = time.monotonic()
    begin = start - 5
    while begin < end:
        sent = [
            one.status
            for one in fleet.callers.sent
            if begin <= one.sent_at < begin + 5
        ]
        lines.append(
            f'{begin - start:8.3f} callers in 5 s: {len(sent)} requests, '
            f'{sent.count(200)} served, {sent.count(503)} refused'
        )
        begin += 5
    lines.sort(key=lambda line: float(line[:8]))
    low = fleet.holds.low_fences()
    lines.extend(
        f'{one.grant.target} took keys {one.grant.first}-{one.grant.last} with '
        f'fence {one.grant.fence} (term {one.grant.fence >> 20}), after '
        f'{one.earlier.target} had taken them with {one.earlier.fence} '
        f'(term {one.earlier.fence >> 20})'
        for one in low
    )
    lines.append(f'{len(low)} grants with a token that is not the highest')
    RECORD.write_text('\n'.join(lines) + '\n')


if __name__ == '__main__':
    main(play)
