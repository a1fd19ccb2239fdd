"""Encoders of the calls that grant keys to targets and release them."""

from __future__ import annotations

import orjson

_GRANT_PATH = b'/api/grant'
_RELEASE_PATH = b'/api/release'


def encode_grant(
    first: int, last: int, fence: int, hold: float, handover: str
) -> tuple[bytes, bytes]:
    """Encode a call that grants keys or renews a grant.

    :param first: First key of the range.
    :param last: Last key of the range, inclusive.
    :param fence: Fencing token of the grant.
    :param hold: Time for which the keys are granted, in seconds.
    :param handover: State token of the previous holder, empty for none.
    :return: Path and JSON body of the HTTP request.
    """
    document: dict[str, object] = {
        'from': first,
        # The platform calls the last key of the range 'target'.
        'target': last,
        'fence': fence,
        'hold_s': hold,
    }
    if handover:
        document['handover'] = handover
    return _GRANT_PATH, orjson.dumps(document)


def encode_release(first: int, last: int, fence: int) -> tuple[bytes, bytes]:
    """Encode a call that asks a target to release keys.

    :param first: First key of the range.
    :param last: Last key of the range, inclusive.
    :param fence: Fencing token of the latest grant.
    :return: Path and JSON body of the HTTP request.
    """
    document = {'from': first, 'target': last, 'fence': fence}
    return _RELEASE_PATH, orjson.dumps(document)
