"""Keys that no target may run requests for at present, as one VM knows.

It answers the load of requests for keys whose holder was lost, for example with
its availability zone: a move takes a fraction of a second, but the hold of a
target that does not answer lasts for seconds, in which waiting only makes the
refusal late.  Free of I/O.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodmast.direct.messages import ShardAssignment

KEY_MOVE_TIMEOUT = 0.6
"""Longest time for which a request waits while its key moves to another
target, in seconds; a move lasts until the running work on the key ends."""


@attrs.define(eq=False)
class ClosedKeys:
    """Since when the shards of each service are closed."""

    _since: dict[str, dict[int, float]] = attrs.field(factory=dict)

    def update(
        self, service: str, assignments: Iterable[ShardAssignment], now: float
    ) -> None:
        """Apply the shard table of a service.

        :param service: Name of the service.
        :param assignments: All assignments of its table.
        :param now: Monotonic time, in seconds.
        """
        before = self._since.get(service, {})
        self._since[service] = {
            one.first: before.get(one.first, now)
            for one in assignments
            if not one.open
        }

    def seconds_closed(
        self, service: str, assignment: ShardAssignment | None, now: float
    ) -> float:
        """Tell for how long a shard has been closed.

        :param service: Name of the service.
        :param assignment: Assignment of the shard, or ``None`` if it is not
            known.
        :param now: Monotonic time, in seconds.
        :return: Time in seconds; 0 if it is open, or not known.
        """
        if assignment is None:
            return 0
        since = self._since.get(service, {}).get(assignment.first, now)
        return now - since


def longest_key_wait(seconds_closed: float, time_left: float) -> float:
    """Compute for how long a request may wait for an open holder of its key.

    :param seconds_closed: Time for which its shard has been closed, in seconds.
    :param time_left: Time to the request's deadline, in seconds.
    :return: Time in seconds; 0 once the closure lasts longer than a move.
    """
    return max(0, min(KEY_MOVE_TIMEOUT - seconds_closed, time_left / 2))
