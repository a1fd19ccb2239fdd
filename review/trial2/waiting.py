"""Waiting for what processes do."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

INTERVAL = 0.05
"""Time between two looks, in seconds."""


async def wait_for(
    condition: Callable[[], Awaitable[bool]], seconds: float
) -> bool:
    """Wait until a condition holds.

    :param condition: Tells whether it holds.
    :param seconds: Longest time to wait, in seconds.
    :return: Whether it holds.
    """
    for _ in range(math.ceil(seconds / INTERVAL)):
        if await condition():
            return True
        await asyncio.sleep(INTERVAL)
    return await condition()
