"""End of a connection from which no bytes are read."""

from __future__ import annotations

import select
from typing import Any

_HANG_UP = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def has_hung_up(transport: Any) -> bool:
    """Tell whether the other side has closed a connection.

    :param transport: Transport of the connection.
    :return: Whether it has, also if bytes from before have not been read.
    """
    if transport.is_closing():
        return False
    poller = select.poll()
    poller.register(transport.get_extra_info('socket').fileno(), _HANG_UP)
    return bool(poller.poll(0))
