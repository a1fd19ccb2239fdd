"""Choice among the targets that may run a request.

The load that this answers: targets of one service differ in speed by a
factor of three, some turn slow or fail part of their requests, and bytes
between zones cost.  A request goes where it is expected to be answered
soonest, with a little chance so that the VMs do not all choose alike.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from dogwoodmast.direct.target_gate import TargetGate

FAR_FACTOR = 1.25
"""Weight of a target in another zone; what its bytes cost over the worth of
an answer, for the largest answers of the contract."""
SHUNNED_FACTOR = 8.0
"""Weight of a target that failed a moment ago."""
SPREAD = 0.3
"""Part by which chance changes a weight."""


def choose_gate(
    gates: Iterable[TargetGate], zone: str, now: float, chance: Random
) -> TargetGate | None:
    """Choose a target with room.

    :param gates: Targets that may run the request.
    :param zone: Availability zone of the own VM.
    :param now: Steady time in seconds.
    :param chance: Source of chance.
    :return: The target, or ``None`` if none has room.
    """
    best: TargetGate | None = None
    lowest = float('inf')
    for gate in gates:
        if not gate.has_room:
            continue
        weight = _weight(gate, zone, now) * (1 + SPREAD * chance.random())
        if weight < lowest:
            best, lowest = gate, weight
    return best


def _weight(gate: TargetGate, zone: str, now: float) -> float:
    weight = gate.pace * (1 + gate.in_flight / 2)
    if gate.target.zone != zone:
        weight *= FAR_FACTOR
    if gate.is_shunned(now):
        weight *= SHUNNED_FACTOR
    return weight
