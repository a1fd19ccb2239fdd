"""Links to peers: a pool of those that this process opens, and a listener
for those that peers open.
"""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any

import anyio

from dogwoodmast.errors import LinkUnavailable
from dogwoodmast.link import Link, MessageHandler
from dogwoodmast.link_traffic import LinkTraffic

if TYPE_CHECKING:
    from anyio.abc import TaskGroup, TaskStatus

    from dogwoodmast.address import Address
    from dogwoodmast.frames import Hello

CONNECT_TIMEOUT = 0.5
"""Time limit for connecting to a peer, in seconds."""
RECONNECT_DELAY = 0.1
"""Time after a failed connection attempt in which calls to the peer fail at
once, in seconds."""
MAX_PENDING_CONNECTIONS = 4096
"""Connections of peers that the kernel holds until they are accepted."""


class LinkPool:
    """One link per peer, opened when first needed and reopened when lost."""

    def __init__(
        self,
        hello: Hello,
        on_message: MessageHandler,
        traffic: LinkTraffic | None = None,
    ) -> None:
        """Create a pool without links.

        :param hello: Hello message, sent first on every link that is opened.
        :param on_message: Handler of the messages that are not replies.
        :param traffic: Counters that the links share with others.
        """
        self._hello = hello
        self._on_message = on_message
        self._traffic = traffic or LinkTraffic()
        self._links: dict[Address, Link] = {}
        self._locks: dict[Address, anyio.Lock] = {}
        self._unavailable_until: dict[Address, float] = {}
        self._stack = AsyncExitStack()
        self._tasks: TaskGroup | None = None

    async def __aenter__(self) -> LinkPool:
        """Create the task group that the links run in.

        :return: The pool.
        """
        self._tasks = await self._stack.enter_async_context(
            anyio.create_task_group()
        )
        return self

    async def __aexit__(self, *exc_info: Any) -> None:
        """Close all links and cancel the handlers of their messages.

        :param exc_info: Exception that ends the block, if any.
        """
        for link in self._links.values():
            await link.aclose()
        if self._tasks is not None:
            self._tasks.cancel_scope.cancel()
        await self._stack.__aexit__(*exc_info)

    async def link_to(self, address: Address) -> Link:
        """Return the link to a peer, opening it if necessary.

        :param address: Address on which the peer accepts links.
        :return: Open link.
        :raises LinkUnavailable: If the peer cannot be connected to, or
            could not less than ``RECONNECT_DELAY`` ago.
        """
        lock = self._locks.setdefault(address, anyio.Lock())
        async with lock:
            link = self._links.get(address)
            if link is None or link.closed:
                link = await self._open(address)
                self._links[address] = link
        return link

    async def call(self, address: Address, message: object) -> object:
        """Send a message to a peer and wait for its reply.

        :param address: Address on which the peer accepts links.
        :param message: Registered wire message.
        :return: Reply of the peer.
        :raises LinkUnavailable: If the message was not sent.
        :raises LinkLost: If the link was closed before the reply arrived.
        """
        link = await self.link_to(address)
        return await link.call(message)

    def send(self, address: Address, message: object) -> None:
        """Send a message without a reply, if a link to the peer is open.

        :param address: Address on which the peer accepts links.
        :param message: Registered wire message.
        :raises LinkUnavailable: If no link is open, or its queue is full.
        """
        link = self._links.get(address)
        if link is None:
            raise LinkUnavailable(str(address))
        link.send(message)

    async def _open(self, address: Address) -> Link:
        assert self._tasks is not None
        if anyio.current_time() < self._unavailable_until.get(address, 0):
            raise LinkUnavailable(str(address))
        loop = asyncio.get_running_loop()
        link = Link(self._on_message, self._tasks, self._traffic, str(address))
        try:
            with anyio.fail_after(CONNECT_TIMEOUT):
                await loop.create_connection(
                    lambda: link.channel, address.host, address.port
                )
        except (OSError, TimeoutError):
            retry_at = anyio.current_time() + RECONNECT_DELAY
            self._unavailable_until[address] = retry_at
            raise LinkUnavailable(str(address)) from None
        link.send(self._hello)
        return link


async def serve_links(
    address: Address,
    on_message: MessageHandler,
    traffic: LinkTraffic | None = None,
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Accept links from peers until cancelled.

    :param address: Address to listen on.
    :param on_message: Handler of the messages that are not replies.
    :param traffic: Counters that the links share with others.
    :param task_status: Signalled once the socket is listening.
    """
    loop = asyncio.get_running_loop()
    async with AsyncExitStack() as stack:
        tasks = await stack.enter_async_context(anyio.create_task_group())
        server = await loop.create_server(
            lambda: Link(on_message, tasks, traffic).channel,
            address.host,
            address.port,
            backlog=MAX_PENDING_CONNECTIONS,
        )
        stack.callback(server.close)
        task_status.started()
        await anyio.sleep_forever()
