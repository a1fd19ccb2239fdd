"""The store comes back from a copy that does not know the latest moves.

Two targets hold all keys; a third one is added and gets some of them.  Then
the store is away for a second and comes back from a copy that was three seconds
old.  Without the trouble it is away as long and loses nothing.
"""

from __future__ import annotations

import asyncio
import pathlib
import random

from harness.deployment import Deployment, deployment
from harness.holds import GrantSeen, Shared
from harness.outcome import BROKEN, HELD, NOT_RUN, main

COPY_AGE = 3.0
"""Age of the copy when the store leaves, in seconds."""
AWAY_TIME = 1.0
"""Time for which the store is away, in seconds."""
WATCH_TIME = 12.0
"""Time after its return for which grants are recorded, in seconds."""
RATE = 80.0
"""Requests a second."""
RECORD = pathlib.Path(__file__).parent / 'record.txt'


async def play(is_troubled: bool) -> int:
    """Play the case.

    :param is_troubled: Whether the store loses what is younger than the copy.
    :return: Exit code.
    """
    async with deployment() as fleet:
        for name in ('server-a', 'server-b'):
            await fleet.add_target(fleet.make_target(name, sharded=True))
        fleet.tasks.create_task(fleet.send_steadily(RATE, random.Random(1)))
        if not await fleet.wait_for(lambda: _covers(fleet), 25):
            return NOT_RUN
        await asyncio.sleep(6)
        await fleet.add_target(fleet.make_target('server-c', sharded=True))
        if not await fleet.wait_for(lambda: _has_keys(fleet, 'server-c'), 20):
            return NOT_RUN
        await asyncio.sleep(1)
        fleet.store.leave()
        fleet.note('store away')
        await asyncio.sleep(AWAY_TIME)
        copy = fleet.store.come_back(COPY_AGE if is_troubled else 0)
        lost = 'nothing lost' if not is_troubled else 'from an older copy'
        fleet.note(f'store back, {lost}, at revision {copy.revision}')
        await asyncio.sleep(WATCH_TIME)
        shared = fleet.holds.shared()
        _write_record(fleet, shared)
        broken = bool(shared) or bool(fleet.holds.low_fences())
        return BROKEN if broken else HELD


def _covers(fleet: Deployment) -> bool:
    """Tell whether each key was granted, and requests are served."""
    granted = [one for one in fleet.holds.seen if isinstance(one, GrantSeen)]
    keys = {key for one in granted for key in (one.first, one.last)}
    served = sum(one.status == 200 for one in fleet.callers.sent)
    return {0, 65_535} <= keys and served > RATE


def _has_keys(fleet: Deployment, name: str) -> bool:
    return any(
        isinstance(one, GrantSeen) and one.target == name
        for one in fleet.holds.seen
    )


def _write_record(fleet: Deployment, shared: list[Shared]) -> None:
    start = fleet.notes[0][0]
    lines = [f'{at - start:8.3f} {text}' for at, text in fleet.notes]
    for one in fleet.holds.seen:
        keys = f'{one.first}-{one.last}'
        what = (
            f'took {keys} fence {one.fence} for {one.hold} s'
            if isinstance(one, GrantSeen)
            else f'released {keys}'
        )
        lines.append(f'{one.at - start:8.3f} {one.target} {what}')
    lines.extend(
        f'{one.at - start:8.3f} {one.target} ran {one.attempt} key {one.key}'
        for one in fleet.began
    )
    lines.extend(
        f'{one.sent_at - start:8.3f} caller sent {one.attempt} {one.line}: '
        f'{one.status} after {one.ended_at - one.sent_at:.3f} s'
        for one in fleet.callers.sent
    )
    lines.sort()
    for found in shared:
        runs = [
            one
            for one in fleet.began
            if found.begin <= one.at <= found.end
            and found.first <= one.key <= found.last
        ]
        names = {one.target for one in runs}
        lines.append(
            f'keys {found.first}-{found.last} held by {found.targets} from '
            f'{found.begin - start:.3f} to {found.end - start:.3f}, '
            f'{found.seconds:.3f} s; in that time {len(runs)} requests began '
            f'at {sorted(names)}'
        )
    low = fleet.holds.low_fences()
    lines.append(f'{len(shared)} ranges held by two targets over 0.5 s')
    lines.append(f'{len(low)} grants with a token that is not the highest')
    RECORD.write_text('\n'.join(lines) + '\n')


if __name__ == '__main__':
    main(play)
