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
DirectHandler = Callable[['Link', Any], 'object | LaterReply | None']
"""Handler that does not wait; its result is the reply, ``None`` for none, or
tells that the reply has to be waited for."""


@attrs.frozen
class LaterReply:
    """The reply to a message is not known at once."""

    handler: Handler
    """Handler that waits for it."""


@attrs.define
class MessageHandlers:
    """Registry of one handler per message class.

    It is passed to links as the handler of all their messages.
    """

    _handlers: dict[type, Handler] = attrs.field(factory=dict)
    _direct_handlers: dict[type, DirectHandler] = attrs.field(factory=dict)

    def register(self, message_class: type, handler: Handler) -> None:
        """Set the handler of a message class, replacing an earlier one.

        :param message_class: Class registered by ``wire_message``.
        :param handler: Called with the link and each message.
        """
        self._handlers[message_class] = handler

    def register_direct(
        self, message_class: type, handler: DirectHandler
    ) -> None:
        """Set a handler that does not wait, which links run without a task.

        :param message_class: Class registered by ``wire_message``.
        :param handler: Called with the link and each message.
        """
        self._direct_handlers[message_class] = handler

    def answer(self, link: Link, message: object) -> object | LaterReply | None:
        """Answer a message as far as that is possible without waiting.

        :param link: Link that the message arrived on.
        :param message: Decoded message.
        :return: Reply to send, ``None`` for no reply, or the handler that has
            to be waited for.
        :raises MalformedFrame: If its class has no handler.
        """
        direct_handler = self._direct_handlers.get(type(message))
        if direct_handler is not None:
            return direct_handler(link, message)
        handler = self._handlers.get(type(message))
        if handler is None:
            raise MalformedFrame(
                f'no handler for message {type(message).__name__}'
            )
        return LaterReply(handler)

    async def __call__(self, link: Link, message: object) -> object | None:
        """Handle a message.

        :param link: Link that the message arrived on.
        :param message: Decoded message.
        :return: Reply to send, or ``None`` for no reply.
        :raises MalformedFrame: If its class has no handler.
        """
        match self.answer(link, message):
            case LaterReply(handler):
                return await handler(link, message)
            case reply:
                return reply
