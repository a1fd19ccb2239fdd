"""Event loop whose time advances only when every task waits."""

from __future__ import annotations

import asyncio
import selectors
import types
from typing import TYPE_CHECKING, Any, TypeVar

import anyio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping


_Result = TypeVar('_Result')


class _AdvancingSelector(selectors.SelectSelector):
    """Selector that advances a simulated time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now: float = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready, or else let the time-out pass at once."""
        ready = super().select(0)
        if not ready:
            assert timeout is not None, 'every task waits forever'
            self.now += max(timeout, 0)
        return ready


class SimulatedTimeLoop(asyncio.SelectorEventLoop):
    """Event loop that runs on simulated time."""

    def __init__(self) -> None:
        """Create a loop whose time starts at zero."""
        self._advancing_selector = _AdvancingSelector()
        super().__init__(self._advancing_selector)

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self._advancing_selector.now

    def hold_up(self, seconds: float) -> None:
        """Let time pass while no task runs, as in a stopped process.

        :param seconds: Time that passes, in seconds.
        """
        self._advancing_selector.now += seconds


class SimulatedClock:
    """Clock that follows the simulated time of the running event loop."""

    def monotonic(self) -> float:
        """Return the simulated time in seconds."""
        return anyio.current_time()

    def wall(self) -> float:
        """Return the simulated time in seconds."""
        return anyio.current_time()


_BACKEND_OPTIONS: Mapping[str, Any] = types.MappingProxyType(
    {'loop_factory': SimulatedTimeLoop}
)


def hold_up(seconds: float) -> None:
    """Hold up the running simulated event loop.

    :param seconds: Time that passes while no task runs, in seconds.
    """
    loop = asyncio.get_running_loop()
    assert isinstance(loop, SimulatedTimeLoop)
    loop.hold_up(seconds)


def run_simulated(scenario: Callable[[], Awaitable[_Result]]) -> _Result:
    """Run a coroutine function on simulated time.

    :param scenario: Coroutine function without arguments.
    :return: Its result.
    """
    return anyio.run(scenario, backend_options=dict(_BACKEND_OPTIONS))
