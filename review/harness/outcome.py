"""Exit codes of cases, and how a case is run."""

from __future__ import annotations

import logging
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable

import anyio

HELD = 0
"""The rule held."""
BROKEN = 1
"""The rule was broken."""
NOT_RUN = 2
"""The case could not run."""
TIME_LIMIT = 110.0
"""Time after which a case is given up, in seconds."""

Play = Callable[[bool], Awaitable[int]]
"""Plays a case, with or without its trouble, and returns the exit code."""


def main(play: Play) -> None:
    """Run a case and end the process with its exit code.

    The first argument is ``0`` to leave the trouble out.

    :param play: Plays the case.
    """
    logging.getLogger('uvicorn.error').disabled = True
    is_troubled = sys.argv[1:] != ['0']
    # The processes that a case has started end with it.
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    try:
        code = anyio.run(_play_in_time, play, is_troubled, backend='asyncio')
    except BaseException:  # whatever fails here says nothing of the rule
        traceback.print_exc()
        code = NOT_RUN
    sys.exit(code)


async def _play_in_time(play: Play, is_troubled: bool) -> int:
    with anyio.fail_after(TIME_LIMIT):
        return await play(is_troubled)
