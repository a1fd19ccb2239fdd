"""Numbers that tell callers and their requests apart, free of I/O.

It answers the load of callers that repeat refused requests at once: keepers of
room have to see which request is a repetition, at whatever VM it arrives.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast.direct.room.caller_fairness import UNKNOWN_CALLER
from dogwoodmast.request_id import hash_parts

if TYPE_CHECKING:
    from dogwoodmast._asgi import Scope
    from dogwoodmast.direct.call import Call

ONE_ADDRESS_PERIOD = 10.0
"""Time for which all requests have to come from one address until connections
are told apart in place of addresses, in seconds."""
NUMBER_BYTES = 4
"""Bytes of a number."""


@attrs.define(eq=False)
class CallerNames:
    """Hashes of callers and what they request.

    A caller is the address that it connects from.  Where all requests of this
    VM come from one address, such as a proxy's, it is the connection.
    """

    _host: str = ''
    _differed_at: float = float('-inf')

    def with_number(self, call: Call, scope: Scope) -> Call:
        """Add the number of its caller to a call.

        :param call: Request of the caller.
        :param scope: ASGI scope that it came with.
        :return: The call.
        """
        number = self.number(scope.get('client'), call)
        return attrs.evolve(call, caller=number)

    def number(self, client: tuple[str, int] | None, call: Call) -> int:
        """Compute the number of a caller and its request.

        :param client: Address and port of the connection, if known.
        :param call: Request of the caller.
        :return: The same number for each repetition; 0 if the caller is not
            known, or another VM relays its request.
        """
        if client is None or call.relayed is not None:
            return UNKNOWN_CALLER
        host, port = client
        if host != self._host:
            if self._host:
                self._differed_at = call.arrived_at
            self._host = host
        has_one = call.arrived_at >= self._differed_at + ONE_ADDRESS_PERIOD
        parts = (host, port if has_one else '', call.shard_key)
        digest = hash_parts(
            (str(part).encode() for part in parts), call.fingerprint
        )
        return int.from_bytes(digest[:NUMBER_BYTES], 'big')
