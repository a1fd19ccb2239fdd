"""HTTP server of one entry VM."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import anyio
import uvicorn

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

    from dogwoodmast._asgi import Receive, Scope, Send
    from dogwoodmast.address import Address

    Application = Callable[[Scope, Receive, Send], Awaitable[None]]

IDLE_TIME = 5
"""Time for which an idle connection is kept, in seconds."""
SHUTDOWN_TIMEOUT = 30
"""Time allowed for requests in flight at a stop, in seconds."""


class HttpServer(uvicorn.Server):
    """Uvicorn server that leaves signals to the daemon."""

    def __init__(self, config: uvicorn.Config) -> None:
        """Create a server that is not yet started.

        :param config: Its configuration.
        """
        super().__init__(config)
        self._ended = anyio.Event()

    async def main_loop(self) -> None:
        """Wait until the daemon ends the server, without a regular tick."""
        await self._ended.wait()

    def request_shutdown(self) -> None:
        """Close idle connections and end once requests have ended."""
        self.should_exit = True
        self._ended.set()

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signal handlers as they are."""
        yield


def make_http_server(
    application: Application,
    address: Address,
    idle_time: int = IDLE_TIME,
) -> HttpServer:
    """Create a server.

    :param application: Application to serve.
    :param address: Address to listen on.
    :param idle_time: Time for which an idle connection is kept, in seconds.
    :return: The server, not yet started.
    """
    config = uvicorn.Config(
        application,
        host=address.host,
        port=address.port,
        http='httptools',
        lifespan='off',
        access_log=False,
        log_config=None,
        server_header=False,
        date_header=False,
        ws='none',
        timeout_keep_alive=idle_time,
        timeout_graceful_shutdown=SHUTDOWN_TIMEOUT,
    )
    return HttpServer(config)
