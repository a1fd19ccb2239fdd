"""Pauses of periodic tasks that end together.

Tasks with the same interval, or multiples of it, wake the process up once and
not once for each of them.
"""

from __future__ import annotations

import anyio


async def sleep_until_tick(interval: float) -> None:
    """Wait until the event loop's time is a multiple of an interval.

    A pause is at least half an interval, since timers may end a little early.

    :param interval: Mean time between two ticks, in seconds.
    """
    pause = interval - anyio.current_time() % interval
    if pause < interval / 2:
        pause += interval
    await anyio.sleep(pause)
