"""Uvicorn HTTP server that runs inside of an entry VM's event loop."""

from __future__ import annotations

import logging
from contextlib import contextmanager
from typing import TYPE_CHECKING

import anyio
from uvicorn.server import Server

from dogwoodmast.caller_connection import CallerConnection
from dogwoodmast.edge.bounded_connection import EdgeConfig, ServerEdge
from dogwoodmast.edge.connection_table import make_connection_table

if TYPE_CHECKING:
    import socket
    from collections.abc import Awaitable, Callable, Iterator

    from uvicorn.config import Config

    from dogwoodmast._asgi import Receive, Scope, Send
    from dogwoodmast.address import Address

    Application = Callable[[Scope, Receive, Send], Awaitable[None]]

IDLE_TIMEOUT = 5
"""Time after which an idle keep-alive connection is closed, in seconds."""
SHUTDOWN_TIMEOUT = 30
"""Time that requests in flight have to end at shutdown, in seconds."""


class HttpServer(Server):
    """Uvicorn server that is shut down by a call and handles no signals.

    The entry VM handles signals itself, since it has to leave its zone before
    its server stops.
    """

    def __init__(self, config: Config) -> None:
        """Create a server that is not started yet.

        :param config: Configuration of uvicorn.
        """
        super().__init__(config)
        self._shutdown_requested = anyio.Event()
        self._closed = anyio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Listen at the address.

        Uvicorn's own method ends the process if it cannot, with an exit code
        that has another meaning here.

        :param sockets: Listening sockets, by default one for the address.
        :raises OSError: If it cannot listen there; the text names the address.
        """
        try:
            await super().startup(sockets)
        except SystemExit as end:
            if isinstance(end.__context__, OSError):
                raise end.__context__ from None
            raise

    async def main_loop(self) -> None:
        """Wait for :meth:`request_shutdown`.

        Replaces uvicorn's loop, which wakes up ten times a second.
        """
        await self._shutdown_requested.wait()

    def request_shutdown(self) -> None:
        """Close idle connections, and stop when requests in flight have ended.

        Returns at once.
        """
        self.should_exit = True
        self._shutdown_requested.set()

    async def await_closed(self) -> None:
        """Wait until all responses have been sent and connections closed.

        An application has ended before the last bytes of its response have
        left the buffer of the connection.
        """
        await self._closed.wait()

    async def serve(self, sockets: list[socket.socket] | None = None) -> None:
        """Serve until a shutdown is requested and all connections are closed.

        :param sockets: Listening sockets, by default one for the address.
        """
        await super().serve(sockets)
        self._closed.set()

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers, unlike uvicorn's own method."""
        yield


def isolate_uvicorn_logger() -> None:
    """Keep log lines of uvicorn out of the structured log."""
    logging.getLogger('uvicorn').addHandler(logging.NullHandler())
    logging.getLogger('uvicorn').propagate = False


def make_http_server(
    application: Application,
    address: Address,
    idle_timeout: int = IDLE_TIMEOUT,
    edge: ServerEdge | None = None,
) -> HttpServer:
    """Create a server for an ASGI application.

    :param application: ASGI application to serve.
    :param address: Address to listen on.
    :param idle_timeout: Time after which an idle keep-alive connection is
        closed, in seconds.
    :param edge: Bounds of the connections, by default those of a process that
        has no other server.
    :return: Server that is not started yet.
    """
    edge = edge or ServerEdge(make_connection_table())
    config = EdgeConfig(
        application,
        host=address.host,
        port=address.port,
        http=CallerConnection,
        lifespan='off',
        access_log=False,
        log_config=None,
        server_header=False,
        date_header=False,
        ws='none',
        proxy_headers=False,
        timeout_keep_alive=idle_timeout,
        timeout_graceful_shutdown=SHUTDOWN_TIMEOUT,
        backlog=edge.table.accept_limit,
    )
    config.edge = edge
    return HttpServer(config)
