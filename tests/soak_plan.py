"""Troubles of a soak, drawn by hypothesis so that plans shrink."""

from __future__ import annotations

import enum

import attrs
from hypothesis import strategies as st

from faulty_path import PathState
from metadata_store import StoreFault

VMS = 3
HOLDERS = 4
"""Targets that hold keys."""
FREE_TARGETS = 3
"""Targets that run any request of their service."""
LAST_START = 5.0
"""Latest beginning of a trouble, in seconds."""
LONGEST = 5.0
"""Longest trouble, in seconds; the platform's usual time."""
MOST_TROUBLES = 6


class VmTrouble(enum.Enum):
    """What happens to an entry VM's process."""

    KILL = 'kill'
    """It is killed, and started again after the time."""
    STOP = 'stop'
    """It is told to stop, and started again once it has ended."""
    FREEZE = 'freeze'
    """It stands still for the time."""
    RELOAD = 'reload'
    """It is told that its settings changed."""


class TargetTrouble(enum.Enum):
    """What happens to a target."""

    CRASH = 'crash'
    """It ends, its entry later; it comes back as a new life."""
    DRAIN = 'drain'
    """It says that it is leaving, and comes back as a new life."""
    VANISH = 'vanish'
    """Its entry is gone at once though it works on, as after a plan."""


@attrs.frozen
class OnVm:
    """Trouble of one entry VM."""

    vm: int
    what: VmTrouble


@attrs.frozen
class OnTarget:
    """Trouble of one target."""

    target: int
    what: TargetTrouble


@attrs.frozen
class OnPath:
    """Trouble on the way to one target."""

    target: int
    state: PathState


@attrs.frozen
class OnStore:
    """Trouble of the store, for one entry VM or for all."""

    vm: int | None
    fault: StoreFault


@attrs.frozen
class OnConfiguration:
    """A new configuration."""


Trouble = OnVm | OnTarget | OnPath | OnStore | OnConfiguration


@attrs.frozen
class Step:
    """A trouble with its time."""

    at: float
    """Time of its beginning, in seconds."""
    lasting: float
    """Time until it ends, in seconds."""
    trouble: Trouble


_vms = st.integers(0, VMS - 1)
_targets = st.integers(0, HOLDERS + FREE_TARGETS - 1)
_troubles = st.one_of(
    st.builds(OnVm, _vms, st.sampled_from(VmTrouble)),
    st.builds(OnTarget, _targets, st.sampled_from(TargetTrouble)),
    st.builds(
        OnPath,
        _targets,
        st.sampled_from(
            [one for one in PathState if one is not PathState.OPEN]
        ),
    ),
    st.builds(
        OnStore,
        st.none() | _vms,
        st.sampled_from(
            [one for one in StoreFault if one is not StoreFault.NONE]
        ),
    ),
    st.builds(OnConfiguration),
)


def _tenths(most: float) -> st.SearchStrategy[float]:
    """Draw times that shrink to whole steps."""
    return st.integers(1, int(most * 10)).map(lambda tenths: tenths / 10)


plans = st.lists(
    st.builds(Step, _tenths(LAST_START), _tenths(LONGEST), _troubles),
    min_size=1,
    max_size=MOST_TROUBLES,
)
"""Plans of overlapping troubles."""
