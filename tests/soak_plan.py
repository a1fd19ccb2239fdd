"""Fault plans of a soak, as Hypothesis strategies so that they shrink."""

from __future__ import annotations

import enum
import os

import attrs
from hypothesis import strategies as st

from answer_fault import AnswerFault
from cut_path import Cut
from faulty_path import PathState
from metadata_store import StoreFault
from soak_entries import OddEntry

VM_COUNT = int(os.environ.get('DOGWOODMAST_SOAK_VMS', '3'))
"""Number of entry VMs; large runs by hand set the variable."""
SHARDED_TARGETS = 4
"""Number of targets that hold keys."""
UNSHARDED_TARGETS = 3
"""Number of targets that run any request of their service."""
MAX_START_TIME = 5.0
"""Latest start of a fault, in seconds."""
MAX_DURATION = 5.0
"""Longest duration of a fault, in seconds; the platform's outages usually last
no longer."""
MAX_COPY_AGE = 10
"""Greatest age of the copy that the store is restored from, in half seconds."""
MAX_FAULTS = 2 * VM_COUNT
"""Maximum number of faults in a plan."""


class VmFault(enum.Enum):
    """Fault of an entry VM's process."""

    KILL = 'kill'
    """It is killed, and started again after the duration."""
    STOP = 'stop'
    """It is stopped by SIGTERM, and started again once it has ended."""
    FREEZE = 'freeze'
    """It is suspended for the duration."""
    RELOAD = 'reload'
    """It is told by SIGHUP to reload its settings, also while it stops."""


class SoakTargetFault(enum.Enum):
    """Fault or lifecycle event of a target."""

    CRASH = 'crash'
    """It ends, its listing is removed later, and a new incarnation starts after
    the duration."""
    DRAIN = 'drain'
    """It is listed as draining, ends, and is replaced by a new incarnation."""
    LIMIT = 'limit'
    """It names a rate limit in its responses, and enforces none."""
    COLD = 'cold'
    """It is listed as cold for a while, and takes as many requests as ever."""
    VANISH = 'vanish'
    """Its listing is removed at once while it keeps running, as in a planned
    removal; later it is replaced by a new incarnation."""
    RESTART = 'restart'
    """It ends, and a new incarnation starts at once and lists itself."""
    RESTART_UNHEARD = 'restart unheard'
    """As ``RESTART``, but its listing stays the old one for the duration, as if
    it was cut off from the store."""
    RESTART_LAPSED = 'restart lapsed'
    """As ``RESTART_UNHEARD``, but the old listing expires meanwhile."""
    REPLACE = 'replace'
    """It ends, and a target of another name starts at once at its address."""


@attrs.frozen
class VmInjection:
    """Injection of a fault into one entry VM."""

    vm: int
    """Number of the VM."""
    fault: VmFault
    """Fault to inject."""


@attrs.frozen
class TargetInjection:
    """Injection of a fault into one target."""

    target: int
    """Number of the target."""
    fault: SoakTargetFault
    """Fault to inject."""


@attrs.frozen
class PathInjection:
    """Injection of a network fault between the VMs and one target."""

    target: int
    """Number of the target."""
    state: PathState
    """State of the path for the duration."""


@attrs.frozen
class AnswerInjection:
    """Injection of a fault into the responses of targets."""

    target: int | None
    """Number of the target, or ``None`` for all targets."""
    fault: AnswerFault
    """Fault for the duration."""


@attrs.frozen
class CutInjection:
    """Cut between one VM and all targets."""

    vm: int
    """Number of the VM."""
    cut: Cut
    """How its connections to targets are cut for the duration."""


@attrs.frozen
class StoreInjection:
    """Injection of a fault into the metadata store."""

    vm: int | None
    """Number of the VM whose server of the store fails, or ``None`` for all."""
    fault: StoreFault
    """Fault to inject."""


@attrs.frozen
class LeaseInjection:
    """Loss of the coordinator's lease.

    The store revokes it and refuses the calls of that VM for the duration.
    """


@attrs.frozen
class RestoreInjection:
    """Restore of the store from a copy, after it was away for a moment."""

    copy_age: float
    """Age of the copy when the store leaves, in seconds."""


@attrs.frozen
class OddEntryInjection:
    """Presence of another writer's entry among those of the targets."""

    entry: OddEntry
    """Entry that is there for the duration."""


@attrs.frozen
class ConfigurationChange:
    """Write of a new version of the configuration."""


Injection = (
    VmInjection
    | TargetInjection
    | PathInjection
    | AnswerInjection
    | CutInjection
    | StoreInjection
    | LeaseInjection
    | RestoreInjection
    | OddEntryInjection
    | ConfigurationChange
)


@attrs.frozen
class ScheduledFault:
    """Injection with its time."""

    start: float
    """Start of the fault, in seconds from the start of the plan."""
    duration: float
    """Duration of the fault, in seconds."""
    injection: Injection
    """What is injected."""


_vms = st.integers(0, VM_COUNT - 1)
_targets = st.integers(0, SHARDED_TARGETS + UNSHARDED_TARGETS - 1)
_injections = st.one_of(
    st.builds(VmInjection, _vms, st.sampled_from(VmFault)),
    st.builds(TargetInjection, _targets, st.sampled_from(SoakTargetFault)),
    st.builds(
        PathInjection,
        _targets,
        st.sampled_from(
            [one for one in PathState if one is not PathState.OPEN]
        ),
    ),
    st.builds(
        CutInjection,
        _vms,
        st.sampled_from([one for one in Cut if one is not Cut.NONE]),
    ),
    st.builds(
        StoreInjection,
        st.none() | _vms,
        st.sampled_from(
            [one for one in StoreFault if one is not StoreFault.NONE]
        ),
    ),
    st.builds(
        AnswerInjection,
        st.none() | _targets,
        st.sampled_from(
            [one for one in AnswerFault if one is not AnswerFault.NONE]
        ),
    ),
    st.builds(LeaseInjection),
    st.builds(
        RestoreInjection, st.integers(1, MAX_COPY_AGE).map(lambda age: age / 2)
    ),
    st.builds(OddEntryInjection, st.sampled_from(OddEntry)),
    st.builds(ConfigurationChange),
)


def _times(maximum: float) -> st.SearchStrategy[float]:
    """Draw times in tenths of a second, which shrink towards 0.1 s.

    :param maximum: Longest time, in seconds.
    :return: Strategy for times in seconds.
    """
    return st.integers(1, int(maximum * 10)).map(lambda tenths: tenths / 10)


plans = st.lists(
    st.builds(
        ScheduledFault,
        _times(MAX_START_TIME),
        _times(MAX_DURATION),
        _injections,
    ),
    min_size=1,
    max_size=MAX_FAULTS,
)
"""Strategy for plans, whose faults may overlap."""
