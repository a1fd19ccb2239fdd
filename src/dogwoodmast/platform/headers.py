"""Headers that callers, entry VMs and targets exchange on the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from dogwoodmast._asgi import RawHeaders

_ATTEMPT_ID = b'request-attempt-id'
_TIME_LEFT = b'request-deadline-ms'
_SHARD_KEY = b'shard-key'
_EXPECTED_TARGET = b'expected-instance'
_NOT_RUN = b'not-executed'
_SEAL = b'response-seal'
_HANDOVER = b'handover'

REPLACED_HEADERS = frozenset((_TIME_LEFT, _EXPECTED_TARGET))
"""Headers of a caller that an entry VM replaces by its own."""
LAST_KEY = 65_535
"""Greatest shard key; the smallest is 0."""

_MILLISECONDS = 1000.0


@attrs.frozen
class RequestFields:
    """What a caller's headers say."""

    attempt_id: bytes | None
    """Identity of this attempt, given back by the target."""
    caller_timeout: float | None
    """Time that the caller will wait, in seconds."""
    shard_key: int | None
    """Key that decides which target may run the request."""


@attrs.frozen
class ResponseFields:
    """What a target's headers say."""

    attempt_id: bytes | None
    """Identity of the attempt that is answered."""
    not_run: bool
    """Whether the target says that it did not run the request."""
    sealed: bool
    """Whether the target made the answer, and not something before it."""
    handover: str
    """State token of released keys, empty if there is none."""


def parse_request_headers(headers: RawHeaders) -> RequestFields:
    """Read a caller's headers.

    :param headers: Names in lower case, with values.
    :return: What they say; what cannot be read counts as missing.
    """
    found = dict(headers)
    caller_timeout = _number(found.get(_TIME_LEFT))
    key = _number(found.get(_SHARD_KEY))
    return RequestFields(
        attempt_id=found.get(_ATTEMPT_ID),
        caller_timeout=None
        if caller_timeout is None
        else caller_timeout / _MILLISECONDS,
        shard_key=key if key is not None and key <= LAST_KEY else None,
    )


def parse_response_headers(headers: RawHeaders) -> ResponseFields:
    """Read a target's headers.

    :param headers: Names in lower case, with values.
    :return: What they say.
    """
    found = dict(headers)
    return ResponseFields(
        attempt_id=found.get(_ATTEMPT_ID),
        not_run=_NOT_RUN in found,
        sealed=_SEAL in found,
        handover=found.get(_HANDOVER, b'').decode('latin-1'),
    )


def remaining_time_header(seconds: float) -> tuple[bytes, bytes]:
    """Write the time that a target may take.

    :param seconds: Time left, in seconds.
    :return: Header.
    """
    return _TIME_LEFT, str(max(1, int(seconds * _MILLISECONDS))).encode()


def expected_target_header(name: str) -> tuple[bytes, bytes]:
    """Write the only target that may run a request.

    :param name: Name of the target.
    :return: Header.
    """
    return _EXPECTED_TARGET, name.encode()


def _number(text: bytes | None) -> int | None:
    if text is None or not text.isdigit():
        return None
    return int(text)
