"""Assignment of a zone's targets to the entry VMs that hold their leases.

The entry VM that holds a target's lease dispatches all requests to that
target.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from dogwoodmast.partition import rendezvous_score

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


def plan_holders(
    targets: Iterable[str],
    current: Mapping[str, int],
    members: Iterable[int],
) -> dict[str, int]:
    """Assign a holder to each target, evenly and with few changes.

    The numbers of targets per member differ by at most one.  A target keeps
    its holder while that member is eligible, unless it has to move to even
    out these numbers.

    :param targets: Names of the targets.
    :param current: Number of the current holder per target.
    :param members: Numbers of the members that may hold leases.
    :return: Number of the planned holder per target; empty without eligible
        members.
    """
    eligible = sorted(members)
    if not eligible:
        return {}
    target_counts = Counter(dict.fromkeys(eligible, 0))
    plan: dict[str, int] = {}
    names = sorted(targets)
    for target in names:
        holder = current.get(target)
        if holder is not None and holder in target_counts:
            plan[target] = holder
            target_counts[holder] += 1
    for target in names:
        if target not in plan:
            plan[target] = _member_with_fewest_targets(target_counts, target)
            target_counts[plan[target]] += 1
    _even_out_counts(plan, target_counts)
    return plan


def _member_with_fewest_targets(
    target_counts: Mapping[int, int], target: str
) -> int:
    return min(
        target_counts,
        key=lambda member: (
            target_counts[member],
            rendezvous_score(member, target),
        ),
    )


def _even_out_counts(plan: dict[str, int], target_counts: Counter[int]) -> None:
    """Move targets until the counts of all members differ by at most one."""
    while max(target_counts.values()) - min(target_counts.values()) > 1:
        busiest = max(
            target_counts, key=lambda member: (target_counts[member], member)
        )
        target = min(
            (name for name, member in plan.items() if member == busiest),
            key=lambda name: rendezvous_score('move', name),
        )
        plan[target] = _member_with_fewest_targets(target_counts, target)
        target_counts[busiest] -= 1
        target_counts[plan[target]] += 1
