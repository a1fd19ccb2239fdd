"""ASGI and server functions shared by the stand-ins."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import uvicorn

from dogwoodmast._asgi import Receive, Scope, Send, send_json

if TYPE_CHECKING:
    from dogwoodmast.address import Address

__all__ = ['Receive', 'Scope', 'Send', 'read_body', 'send_json', 'serve_app']


async def read_body(receive: Receive) -> bytes:
    """Read a complete request body.

    :param receive: ASGI receive callable.
    :return: Request body.
    """
    chunks = []
    has_more = True
    while has_more:
        message = await receive()
        chunks.append(message.get('body', b''))
        has_more = message.get('more_body', False)
    return b''.join(chunks)


async def serve_app(app: Any, address: Address) -> None:
    """Serve an ASGI application until the process receives SIGINT or SIGTERM.

    :param app: ASGI application.
    :param address: Address to listen on.
    """
    config = uvicorn.Config(
        app,
        host=address.host,
        port=address.port,
        log_level='warning',
        lifespan='off',
        timeout_graceful_shutdown=1,
    )
    await uvicorn.Server(config).serve()
