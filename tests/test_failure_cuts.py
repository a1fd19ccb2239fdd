"""Failure runs with network partitions and black-holed connections."""

from __future__ import annotations

import itertools
import time
from functools import partial
from typing import TYPE_CHECKING

import attrs
import pytest

from failure_run import (
    MAX_UNAVAILABLE,
    Observation,
    assert_invariants,
    assert_last_reads_answered,
    assert_recovered,
    observe,
)
from fleet import ZONES, Fleet
from history import measure_unavailability

if TYPE_CHECKING:
    from history import Call

ZONE = 'pikine'
CUT_TIME = 4.0
"""Duration of a cut, in seconds; longer than any lease."""
PLATFORM = 'platform'
"""Name of the platform in cuts."""
VM_LIST = 'vm-list'
"""Name of the VM list in cuts."""
ZONE_FROM_OTHERS = tuple(
    (ZONE, other_side) for other_side in ZONES if other_side != ZONE
)
ZONE_FROM_PLATFORM = ((ZONE, PLATFORM), (ZONE, VM_LIST))


MAX_AFTER_HEALING = 1.0
"""Maximum time without an answer for a key after a cut has healed, in
seconds."""

Pairs = tuple[tuple[str, str], ...]


@attrs.define(eq=False)
class NetworkCut:
    """Failure that cuts the network and heals it after a fixed time."""

    _fleet: Fleet
    _pairs: Pairs
    _began: float = 0
    _healed: float = 0

    def __call__(self) -> None:
        """Cut the network between the pairs, wait, and heal it."""
        self._began = time.monotonic()
        self._fleet.network.cut(*self._pairs)
        time.sleep(CUT_TIME)
        self._fleet.network.heal()
        self._healed = time.monotonic()

    def assert_recovered(self, observation: Observation) -> None:
        """Assert that calls not affected by the cut were served in time."""
        assert_invariants(self._fleet, observation)
        assert_last_reads_answered(observation)
        unaffected = [
            call
            for call in observation.calls
            if not self._crosses(call, observation)
        ]
        longest = measure_unavailability(unaffected).longest
        assert longest <= MAX_UNAVAILABLE, observation.outcomes
        after_healing = [
            call for call in observation.calls if call.began >= self._healed
        ]
        longest = measure_unavailability(after_healing).longest
        assert longest <= MAX_AFTER_HEALING, observation.outcomes

    def _crosses(self, call: Call, observation: Observation) -> bool:
        """Check whether the cut separated a call's entry VM from its target.

        Counts every target that ran the key at any time in the run.
        """
        if call.ended <= self._began or call.began >= self._healed:
            return False
        targets_by_key = observation.targets_by_key().get(call.key, set())
        both_directions = itertools.chain(
            self._pairs,
            ((other_side, one_side) for one_side, other_side in self._pairs),
        )
        return any(
            call.entry.startswith(one_side)
            and f'-{other_side}-' in ' '.join(targets_by_key)
            for one_side, other_side in both_directions
        )


def assert_zones_served_themselves(observation: Observation) -> None:
    """Assert that each zone continued to serve its own keys."""
    for zone in ZONES:
        unavailability = measure_unavailability(
            observation.calls_within_zone(zone)
        )
        assert unavailability.longest <= MAX_UNAVAILABLE, zone


@pytest.mark.parametrize(
    'pairs',
    [
        pytest.param(
            (('pikine', 'plateau'),), id='two zones', marks=pytest.mark.long
        ),
        pytest.param(
            ZONE_FROM_PLATFORM, id='from the platform', marks=pytest.mark.long
        ),
        pytest.param(
            ZONE_FROM_OTHERS, id='from the other zones', marks=pytest.mark.long
        ),
        pytest.param((*ZONE_FROM_PLATFORM, *ZONE_FROM_OTHERS), id='from both'),
    ],
)
def test_zone_partition(relayed_fleet: Fleet, pairs: Pairs) -> None:
    """A partitioned zone continues to serve the keys that it owns.

    Guards against a zone that stops renewing leases without other zones or
    the platform, and against two owners of a key after the partition.
    """
    cut = NetworkCut(relayed_fleet, pairs)
    observation = observe(relayed_fleet, cut, 2)
    cut.assert_recovered(observation)
    assert_zones_served_themselves(observation)


def test_isolated_entry_vm(relayed_fleet: Fleet) -> None:
    """An isolated entry VM is replaced and rejoins after the partition.

    Guards against an entry VM that still sends requests to its targets after
    its lease has passed to another one.
    """
    all_others = (*ZONES, PLATFORM, VM_LIST)
    pairs = tuple(('pikine-0', other_side) for other_side in all_others)
    cut = NetworkCut(relayed_fleet, pairs)
    cut.assert_recovered(observe(relayed_fleet, cut, 2))


@pytest.mark.long
def test_black_holed_links(relayed_fleet: Fleet) -> None:
    """Black-holed links are detected and replaced.

    A link that loses all traffic without being closed would otherwise make
    every request forwarded over it time out.
    """
    blackhole = partial(relayed_fleet.network.blackhole, ZONE)
    observation = observe(relayed_fleet, blackhole, 5)
    assert_recovered(relayed_fleet, observation)


def test_partitioned_zone_receives_new_versions(relayed_fleet: Fleet) -> None:
    """A zone without the platform receives new versions from its peers.

    Otherwise it would route by an outdated configuration until the platform
    is reachable again.
    """
    relayed_fleet.network.cut(*ZONE_FROM_PLATFORM)
    relayed_fleet.apply_next()
    relayed_fleet.await_version(2)
    relayed_fleet.network.heal()
    assert_invariants(relayed_fleet, observe(relayed_fleet, lambda: None, 1))
