"""Tells whether a response belongs to a request, and whether it is whole.

It answers the load of targets that repeat earlier responses on a kept
connection, or that stop in the middle of one.  Free of I/O.
"""

from __future__ import annotations

import enum
from http import HTTPStatus
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodmast.direct.target_connection import ResponseHead
    from dogwoodmast.platform.headers import ResponseFields

RETRYABLE_PATIENCE = 0.5
"""Fraction of the time left for which the response to a request that may run
again is waited for after one to another request; another attempt has the
rest."""
REPORT_MARGIN = 0.02
"""Time before the deadline at which other requests are given up then, in
seconds, so that the caller is told why."""

_SUCCESS_CLASS = 2
_PROMISES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
"""Statuses that tell callers that the request has not run."""


class Origin(enum.Enum):
    """Which request a response belongs to."""

    OWN = 'own'
    """The request that was sent last."""
    OTHER = 'other'
    """An earlier one, or one that is not known."""
    SPOILED = 'spoiled'
    """The request that was sent last, as there was no other, but it does not
    say so."""


def is_refusal(status: int, fields: ResponseFields) -> bool:
    """Tell whether a response states that its request has not run.

    :param status: HTTP status.
    :param fields: Fields of the response.
    :return: Whether it does.
    """
    return fields.not_run or status == HTTPStatus.MISDIRECTED_REQUEST


def find_origin(
    status: int, fields: ResponseFields, attempt_id: bytes, *, is_first: bool
) -> Origin:
    """Tell which request a response belongs to.

    :param status: HTTP status.
    :param fields: Fields of the response.
    :param attempt_id: Attempt ID of the request; empty if it has none.
    :param is_first: Whether it is the first response on a connection that
        carried no other request.
    :return: Where it belongs.
    """
    if fields.attempt_id:
        is_own = fields.attempt_id == attempt_id
        return Origin.OWN if is_own else Origin.OTHER
    if not is_first:
        return Origin.OTHER
    is_own = not attempt_id or is_refusal(status, fields)
    return Origin.OWN if is_own else Origin.SPOILED


def find_flaw(
    head: ResponseHead, fields: ResponseFields, body: bytes | None
) -> str | None:
    """Tell why a response that is no refusal must not reach the caller.

    :param head: Status and headers of the response.
    :param fields: Fields of the response.
    :param body: Complete body, or ``None`` if it is too large to be buffered.
    :return: Reason, or ``None`` if the response may be forwarded.
    """
    if head.status // 100 == _SUCCESS_CLASS and not fields.sealed:
        return 'success without the seal of the target'
    if head.status in _PROMISES:
        return f'status {head.status} without the statement of the target'
    is_blank = body is not None and not body.strip(b'\r\n')
    if is_blank and not head.has_length:
        return 'response may have ended in its head'
    return None
