"""Dispatch of the messages that peers send on links to their handlers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import attrs

from dogwoodmast.errors import MalformedFrame

if TYPE_CHECKING:
    from dogwoodmast.link import Link

Handler = Callable[['Link', Any], Awaitable[object | None]]
"""Handler of one message class; its result is the reply, ``None`` for none."""


@attrs.define
class MessageHandlers:
    """Registry of one handler per message class.

    It is passed to links as the handler of all their messages.
    """

    _handlers: dict[type, Handler] = attrs.field(factory=dict)

    def register(self, message_class: type, handler: Handler) -> None:
        """Set the handler of a message class, replacing an earlier one.

        :param message_class: Class registered by ``wire_message``.
        :param handler: Called with the link and each message.
        """
        self._handlers[message_class] = handler

    async def __call__(self, link: Link, message: object) -> object | None:
        """Call the handler of a message's class.

        :param link: Link that the message arrived on.
        :param message: Decoded message.
        :return: Reply to send, or ``None`` for no reply.
        :raises MalformedFrame: If its class has no handler.
        """
        handler = self._handlers.get(type(message))
        if handler is None:
            raise MalformedFrame(
                f'no handler for message {type(message).__name__}'
            )
        return await handler(link, message)
