"""Calls by which keys are granted to targets and taken back."""

from __future__ import annotations

import orjson

_GRANT_PATH = b'/api/grant'
_RELEASE_PATH = b'/api/release'


def grant_call(
    first: int, last: int, fence: int, hold: float, handover: str
) -> tuple[bytes, bytes]:
    """Write the order to grant or renew keys.

    :param first: First key.
    :param last: Last key.
    :param fence: Fencing token.
    :param hold: Time for which the keys are granted, in seconds.
    :param handover: State token of the last holder, empty for none.
    :return: Path and body.
    """
    document: dict[str, object] = {
        'from': first,
        # The platform's name for the last key; it names no target.
        'target': last,
        'fence': fence,
        'hold_s': hold,
    }
    if handover:
        document['handover'] = handover
    return _GRANT_PATH, orjson.dumps(document)


def release_call(first: int, last: int, fence: int) -> tuple[bytes, bytes]:
    """Write the order to take keys back.

    :param first: First key.
    :param last: Last key.
    :param fence: Fencing token.
    :return: Path and body.
    """
    document = {'from': first, 'target': last, 'fence': fence}
    return _RELEASE_PATH, orjson.dumps(document)
