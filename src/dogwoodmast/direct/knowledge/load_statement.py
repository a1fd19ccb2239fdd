"""What a target's response says about its load.

Answers the load of uneven targets: how many requests run and wait there, and
how long work takes, differs between targets of one service and within a second.
"""

from __future__ import annotations

import attrs

USUAL_PACE = 1.0
"""Duration of work at a target whose machine is as busy as usual, as a multiple
of the usual one."""


@attrs.frozen
class NoLoad:
    """The response says nothing about load."""


@attrs.frozen
class LoadFigures:
    """The target tells its load."""

    running: int
    """Number of requests that run."""
    waiting: int
    """Number of requests that wait."""
    slots: int
    """Number of requests that can run at a time."""
    pace: float = USUAL_PACE
    """Duration of work now, as a multiple of the usual one."""


@attrs.frozen
class UnreadableLoad:
    """The target tells its load in figures that cannot be true, or be read."""


LoadStatement = NoLoad | LoadFigures | UnreadableLoad
"""What one response says about the load of its target."""
