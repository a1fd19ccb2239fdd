"""Signals to a process, from its start until its last instruction."""

from __future__ import annotations

import asyncio
import math
import signal
from collections.abc import AsyncIterator
from contextlib import contextmanager
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from types import FrameType

RELOAD_SIGNAL = signal.SIGHUP
"""Signal that the settings have changed."""
WATCHED_SIGNALS = (signal.SIGTERM, signal.SIGINT, RELOAD_SIGNAL)
"""Signals that stop the process or reload its settings."""

SignalStream = AsyncIterator[signal.Signals]
"""Signals in the order of their arrival."""


@contextmanager
def receive_signals(
    *numbers: signal.Signals,
) -> Iterator[SignalStream]:
    """Receive signals instead of being ended by them, until the block ends.

    The event loop is given no handlers: it would remove them at its end, and a
    signal that comes before the end of the process would then end it with an
    error.  See :func:`ignore_signals`.

    :param numbers: Signals to receive.
    :return: Signals in the order of their arrival.
    """
    loop = asyncio.get_running_loop()
    sender, receiver = anyio.create_memory_object_stream[signal.Signals](
        math.inf
    )

    def on_signal(number: int, _frame: FrameType | None) -> None:
        received = signal.Signals(number)
        loop.call_soon_threadsafe(sender.send_nowait, received)

    for number in numbers:
        signal.signal(number, on_signal)
    with sender, receiver:
        try:
            yield receiver
        finally:
            _restore_default_handlers(numbers)


def ignore_signals(*numbers: signal.Signals) -> None:
    """Ignore signals until the process has ended.

    :param numbers: Signals to ignore.
    """
    for number in numbers:
        signal.signal(number, signal.SIG_IGN)


def _restore_default_handlers(numbers: Iterable[signal.Signals]) -> None:
    """Undo the handling of signals, unless they are ignored by now."""
    for number in numbers:
        is_interrupt = number is signal.SIGINT
        if signal.getsignal(number) is not signal.SIG_IGN:
            signal.signal(
                number,
                signal.default_int_handler if is_interrupt else signal.SIG_DFL,
            )
