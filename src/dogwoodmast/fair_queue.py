"""Queue that shares a target fairly between customers."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

import attrs

_Item = TypeVar('_Item')


@attrs.define(eq=False)
class _CustomerQueue(Generic[_Item]):
    """What waits for one customer."""

    virtual_time: float
    items: deque[tuple[_Item, float]] = attrs.field(factory=deque)


@attrs.define(eq=False)
class FairQueue(Generic[_Item]):
    """Queue that serves the customer next who was served least.

    Service is counted by cost. A customer who comes anew starts level
    with the one who is served, so that being away earns no credit.
    """

    _queues: dict[str, _CustomerQueue[_Item]] = attrs.field(factory=dict)
    _virtual_time: float = 0
    _size: int = 0

    def __len__(self) -> int:
        """Count what waits.

        :return: Number of items.
        """
        return self._size

    def push(self, customer: str, item: _Item, cost: float) -> None:
        """Add an item behind the others of its customer.

        :param customer: Customer.
        :param item: What waits.
        :param cost: Service that it is expected to take, in seconds.
        """
        queue = self._queues.get(customer)
        if queue is None:
            queue = _CustomerQueue(self._virtual_time)
            self._queues[customer] = queue
        queue.items.append((item, cost))
        self._size += 1

    def pop(self) -> _Item | None:
        """Take the next item.

        :return: The item, or ``None`` if nothing waits.
        """
        if not self._queues:
            return None
        customer = min(
            self._queues, key=lambda name: self._queues[name].virtual_time
        )
        queue = self._queues[customer]
        item, cost = queue.items.popleft()
        self._virtual_time = queue.virtual_time
        queue.virtual_time += cost
        self._after_removal(customer)
        return item

    def remove(self, customer: str, item: _Item) -> bool:
        """Take an item out of turn.

        :param customer: Customer.
        :param item: The item.
        :return: Whether it was waiting.
        """
        queue = self._queues.get(customer)
        if queue is None:
            return False
        for entry in queue.items:
            if entry[0] is item:
                queue.items.remove(entry)
                self._after_removal(customer)
                return True
        return False

    def evict_for(self, customer: str) -> _Item | None:
        """Take out the last item of the customer with the most of them.

        :param customer: Customer who needs room.
        :return: The item; ``None`` if nobody has more than the customer.
        """
        if not self._queues:
            return None
        longest = max(self._queues, key=self.count_for)
        if self.count_for(longest) <= self.count_for(customer) + 1:
            return None
        item, _ = self._queues[longest].items.pop()
        self._after_removal(longest)
        return item

    def count_for(self, customer: str) -> int:
        """Count what waits for a customer.

        :param customer: Customer.
        :return: Number of items.
        """
        queue = self._queues.get(customer)
        return 0 if queue is None else len(queue.items)

    def count_ahead(self, customer: str) -> int:
        """Count what would be served before a new item.

        :param customer: Customer of the new item.
        :return: Number of items, as if all cost the same.
        """
        own = self.count_for(customer)
        return sum(
            min(len(queue.items), own + (name != customer))
            for name, queue in self._queues.items()
        )

    def drain(self) -> list[_Item]:
        """Take out everything.

        :return: The items.
        """
        found = [
            entry[0] for queue in self._queues.values() for entry in queue.items
        ]
        self._queues.clear()
        self._size = 0
        return found

    def _after_removal(self, customer: str) -> None:
        self._size -= 1
        if not self._queues[customer].items:
            self._queues.pop(customer)
