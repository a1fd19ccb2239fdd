"""Platform headers of requests by callers and responses by targets."""

from __future__ import annotations

import re
from http import HTTPStatus
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.direct.knowledge.load_statement import (
    LoadFigures,
    LoadStatement,
    NoLoad,
    UnreadableLoad,
)
from dogwoodmast.direct.target_statement import (
    LimitStatement,
    NoPause,
    PauseRequest,
    PauseStatement,
    RateLimit,
    TargetStatement,
    Unlimited,
    UnreadableLimit,
    UnreadablePause,
)

if TYPE_CHECKING:
    from dogwoodmast._asgi import RawHeaders

_ATTEMPT_ID = b'request-attempt-id'
_REMAINING_TIME = b'request-deadline-ms'
_SHARD_KEY = b'shard-key'
_EXPECTED_TARGET = b'expected-instance'
_NOT_RUN = b'not-executed'
_SEAL = b'response-seal'
_HANDOVER = b'handover'
_RATE_LIMIT = b'server-limit'
_LEAVING = b'server-leaving'
_RETRY_AFTER = b'retry-after'
_WARMUP = b'warmup-ms'
_LOAD = b'instance-load'

REPLACED_HEADERS = frozenset((_REMAINING_TIME, _EXPECTED_TARGET))
"""Headers of the caller's request that the entry VM replaces with its own."""
MAX_SHARD_KEY = 65_535
"""Greatest shard key; the smallest is 0."""

_MS_PER_SECOND = 1000.0
_USUAL_PACE_FIGURE = 100.0
_MAX_PACE = 1000.0
"""Greatest multiple of the usual duration of work that is believed."""
_WHOLE_NUMBER = re.compile(rb'\d{1,15}')
"""Whole number that is not negative and, as a time in milliseconds, not absurd;
integers of thousands of digits cannot be converted."""
_DECIMAL = re.compile(rb'\d{1,9}(\.\d{0,9})?|\.\d{1,9}')
"""Decimal number that is not negative and not too long to be a rate or a
number of seconds."""
_LOAD_FIGURES = re.compile(
    rb'\s*(\d{1,6})\s*,\s*(\d{1,6})\s*,\s*(\d{1,6})\s*'
    rb'(?:,\s*(\d{1,6}(?:\.\d{0,9})?)\s*)?'
)
"""Requests that run and wait, slots, and at times the pace, all of them too
short to be absurd."""


@attrs.frozen
class RequestFields:
    """Platform fields of a caller's request headers."""

    attempt_id: bytes | None
    """Identifier of this attempt, which the target echoes in its response."""
    caller_timeout: float | None
    """Time that the caller waits for the response, in seconds."""
    shard_key: int | None
    """Key whose holder alone may run the request, for a sharded service."""


@attrs.frozen
class ResponseFields:
    """Platform fields of a target's response headers."""

    attempt_id: bytes | None
    """Identifier of the attempt that the response belongs to."""
    not_run: bool
    """Whether the target states that it did not run the request."""
    sealed: bool
    """Whether the response has the target's seal, so that it comes from the
    target and not from an intermediary."""
    handover: str
    """State token of released keys, empty if there is none."""
    statement: TargetStatement
    """What the response says about the requests that the target takes."""


def parse_request_headers(headers: RawHeaders) -> RequestFields:
    """Parse the platform headers of a caller's request.

    :param headers: Header names in lower case, with values.
    :return: Fields of the request; one with an invalid value is ``None``.
    """
    by_name = dict(headers)
    timeout_ms = _parse_number(by_name.get(_REMAINING_TIME))
    key = _parse_number(by_name.get(_SHARD_KEY))
    return RequestFields(
        attempt_id=by_name.get(_ATTEMPT_ID),
        caller_timeout=None
        if timeout_ms is None
        else timeout_ms / _MS_PER_SECOND,
        shard_key=key if key is not None and key <= MAX_SHARD_KEY else None,
    )


def parse_response_headers(status: int, headers: RawHeaders) -> ResponseFields:
    """Parse the platform headers of a target's response.

    :param status: HTTP status; only 503 asks for a pause.
    :param headers: Header names in lower case, with values.
    :return: Fields of the response.
    """
    by_name = dict(headers)
    return ResponseFields(
        attempt_id=_join(headers, _ATTEMPT_ID),
        not_run=_NOT_RUN in by_name,
        sealed=bool(by_name.get(_SEAL)),
        handover=by_name.get(_HANDOVER, b'').decode('latin-1'),
        statement=TargetStatement(
            limit=_parse_limit(by_name.get(_RATE_LIMIT)),
            pause=_parse_pause(status, by_name.get(_RETRY_AFTER)),
            is_leaving=by_name.get(_LEAVING, b'').strip() == b'1',
            warmup=_parse_warmup(by_name.get(_WARMUP)),
            load=_parse_load(by_name.get(_LOAD)),
        ),
    )


def remaining_time_header(seconds: float) -> tuple[bytes, bytes]:
    """Build the header with the time that a target has for a request.

    :param seconds: Remaining time, in seconds.
    :return: Name and value of the header, at least 1 ms.
    """
    return _REMAINING_TIME, str(max(1, int(seconds * _MS_PER_SECOND))).encode()


def expected_target_header(name: str) -> tuple[bytes, bytes]:
    """Build the header that names the only target that may run a request.

    :param name: Name of the target.
    :return: Name and value of the header.
    """
    return _EXPECTED_TARGET, name.encode()


def _join(headers: RawHeaders, wanted: bytes) -> bytes | None:
    """Join the values of a header, so that two of them equal neither."""
    found = [field for name, field in headers if name == wanted]
    return b', '.join(found) if found else None


def _parse_number(text: bytes | None) -> int | None:
    if text is None or not _WHOLE_NUMBER.fullmatch(text):
        return None
    return int(text)


def _parse_limit(text: bytes | None) -> LimitStatement:
    if text is None:
        return Unlimited()
    if not _DECIMAL.fullmatch(text):
        return UnreadableLimit()
    return RateLimit(float(text))


def _parse_warmup(text: bytes | None) -> float | None:
    if text is None or not _DECIMAL.fullmatch(text.strip()):
        return None
    return float(text) / _MS_PER_SECOND


def _parse_load(text: bytes | None) -> LoadStatement:
    if text is None:
        return NoLoad()
    found = _LOAD_FIGURES.fullmatch(text)
    if found is None:
        return UnreadableLoad()
    running, waiting, slots = (int(one) for one in found.groups()[:3])
    pace = float(found[4] or _USUAL_PACE_FIGURE) / _USUAL_PACE_FIGURE
    if not slots or not 0 < pace <= _MAX_PACE:
        return UnreadableLoad()
    return LoadFigures(running, waiting, slots, pace)


def _parse_pause(status: int, text: bytes | None) -> PauseStatement:
    if status != HTTPStatus.SERVICE_UNAVAILABLE or text is None:
        return NoPause()
    if not _DECIMAL.fullmatch(text.strip()):
        return UnreadablePause()
    return PauseRequest(float(text))
