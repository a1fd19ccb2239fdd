"""Fair queue that divides a target's capacity between customers."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

import attrs

_Item = TypeVar('_Item')


@attrs.define(eq=False)
class _CustomerQueue(Generic[_Item]):
    """Waiting items of one customer, with their costs."""

    virtual_time: float
    items: deque[tuple[_Item, float]] = attrs.field(factory=deque)


@attrs.define(eq=False)
class FairQueue(Generic[_Item]):
    """Fair queue based on virtual time.

    Each customer's virtual time advances by the cost of every item that is
    taken, and the customer with the lowest one is served next. A customer
    that had no items waiting starts at the virtual time of the customer
    served last, so that idle time earns no credit.
    """

    _queues: dict[str, _CustomerQueue[_Item]] = attrs.field(factory=dict)
    _virtual_time: float = 0
    _size: int = 0

    def __len__(self) -> int:
        """Count the waiting items.

        :return: Number of items of all customers.
        """
        return self._size

    def push(self, customer: str, item: _Item, cost: float) -> None:
        """Append an item to its customer's queue.

        :param customer: Name of the customer.
        :param item: Item to append.
        :param cost: Expected service time of the item, in seconds.
        """
        queue = self._queues.get(customer)
        if queue is None:
            queue = _CustomerQueue(self._virtual_time)
            self._queues[customer] = queue
        queue.items.append((item, cost))
        self._size += 1

    def pop(self) -> _Item | None:
        """Remove the next item.

        :return: Item of the customer with the lowest virtual time;
            ``None`` if the queue is empty.
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
        """Remove an item from any position.

        :param customer: Name of the item's customer.
        :param item: Item to remove.
        :return: Whether the item was in the queue.
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
        """Evict the newest item of the customer with the most items.

        :param customer: Name of the customer that is to get the place.
        :return: Evicted item; ``None`` if no customer has at least two
            items more than this one.
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
        """Count the waiting items of a customer.

        :param customer: Name of the customer.
        :return: Number of items.
        """
        queue = self._queues.get(customer)
        return 0 if queue is None else len(queue.items)

    def count_ahead(self, customer: str) -> int:
        """Estimate how many items would be served before a new one.

        :param customer: Name of the new item's customer.
        :return: Number of items, assuming that all cost the same.
        """
        own = self.count_for(customer)
        return sum(
            min(len(queue.items), own + (name != customer))
            for name, queue in self._queues.items()
        )

    def drain(self) -> list[_Item]:
        """Remove all items.

        :return: Removed items, by customer.
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
