"""Process of a target that crashes when it begins to run certain requests.

Started as ``python3 -m trial2.target NAME HOST:PORT RUNS SECONDS [sharded]``.
"""

from __future__ import annotations

import os
import pathlib
import signal
import sys
import time
from typing import TYPE_CHECKING

import anyio
import attrs

from dogwoodmast.address import Address
from dogwoodmast.http_server import make_http_server
from platform_target import PlatformTarget

if TYPE_CHECKING:
    from dogwoodmast._asgi import Receive

POISON_CALLER = 'member-13'
"""Value of ``Authorization`` of the caller whose requests crash targets."""
IDLE_TIMEOUT = 10


@attrs.define(eq=False)
class PoisonedTarget(PlatformTarget):
    """Target that ends at once when it begins to run a poisonous request."""

    log: pathlib.Path = attrs.field(kw_only=True)
    """File to which each request that is begun adds a line."""

    async def _simulate_work(self, receive: Receive) -> None:
        headers = self.last_headers
        is_poison = headers.get('authorization') == POISON_CALLER
        with self.log.open('a', encoding='utf-8') as output:
            output.write(
                f'{time.monotonic()} {self.name} '
                f'{headers["request-attempt-id"]} '
                f'{"crash" if is_poison else "run"}\n'
            )
        if is_poison:
            os.kill(os.getpid(), signal.SIGKILL)
        await super()._simulate_work(receive)


def main(
    name: str, address: str, log: str, seconds: str, *options: str
) -> None:
    """Serve until the process ends.

    :param name: Name of the target.
    :param address: Address to listen on.
    :param log: File for the requests that it begins to run.
    :param seconds: Time that a request takes.
    :param options: ``sharded`` if it runs requests for its keys only.
    """
    target = PoisonedTarget(
        name,
        sharded='sharded' in options,
        work_time=float(seconds),
        log=pathlib.Path(log),
    )
    server = make_http_server(target, Address.parse(address), IDLE_TIMEOUT)
    anyio.run(server.serve)


if __name__ == '__main__':
    main(*sys.argv[1:])
