"""In-memory network and VM list for tests of agents in one process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

import attrs
from anyio.lowlevel import checkpoint

from dogwoodmast._wire import decode, encode
from dogwoodmast.address import Address
from dogwoodmast.errors import LinkUnavailable
from dogwoodmast.message_handlers import MessageHandlers
from dogwoodmast.vm_list import VmListing

if TYPE_CHECKING:
    from dogwoodmast.link import Link


@attrs.define(eq=False)
class MemoryNetwork:
    """Network that passes messages to the handlers of entry VMs."""

    handlers: dict[Address, MessageHandlers] = attrs.field(factory=dict)
    """Message handlers of the running entry VMs by address."""
    cut_off: set[Address] = attrs.field(factory=set)
    """Addresses that cannot send or receive messages."""
    messages: dict[str, list[int]] = attrs.field(factory=dict)
    """Sizes of the messages and answers passed, in bytes, by class name."""

    async def call(
        self, source: Address, receiver: Address, message: object
    ) -> Any:
        """Send a message and return the answer.

        Both are encoded and decoded as they are on a real link.

        :param source: Address of the sender.
        :param receiver: Address of the receiver.
        :param message: Message to send.
        :return: Answer of the receiver's handler.
        :raises LinkUnavailable: If no process uses the receiver's address, if
            either address is cut off, or if the handler gives no answer.
        """
        await checkpoint()
        if receiver not in self.handlers or self.cut_off & {source, receiver}:
            raise LinkUnavailable(str(receiver))
        handlers = self.handlers[receiver]
        answer = await handlers(
            cast('Link', None), self._encode_and_decode(message)
        )
        if answer is None or self.cut_off & {source, receiver}:
            raise LinkUnavailable(str(receiver))
        return self._encode_and_decode(answer)

    def _encode_and_decode(self, message: object) -> object:
        kind = type(message).__name__
        payload = encode(message)
        self.messages.setdefault(kind, []).append(len(payload))
        return decode(kind, payload)


@attrs.frozen(eq=False)
class MemoryLinks:
    """Outgoing links of one entry VM."""

    network: MemoryNetwork
    source: Address
    """Address of the entry VM itself."""

    async def call(self, address: Address, message: object) -> Any:
        """Send a message to a peer and return the answer.

        :raises LinkUnavailable: If the peer cannot be reached or does not
            answer.
        """
        return await self.network.call(self.source, address, message)


@attrs.define(eq=False)
class MemoryVmList:
    """VM list that tests set directly."""

    listing: VmListing = VmListing(())

    async def fetch(self) -> VmListing:
        """Return the present list."""
        return self.listing
