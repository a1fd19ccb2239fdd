"""Refusal, load shedding and draining signals in a target's responses."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.backend import (
    DRAINING_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
)
from dogwoodmast.problem import Outcome

if TYPE_CHECKING:
    from dogwoodmast.request import Response

DEFAULT_SHED_PAUSE = 0
"""Pause for a target that sheds load without a Retry-After, in seconds."""
_RETRY_AFTER = 'retry-after'


@attrs.frozen
class TargetSignals:
    """Signals in one response."""

    not_run: bool = False
    """Whether the target refused the request without running it."""
    reason: str = ''
    """Reason for the refusal; empty if the target gives none."""
    shed: bool = False
    """Whether the target sheds load: it sent Retry-After, or refused the
    request without a reason or because all its slots are in use."""
    retry_after: float = DEFAULT_SHED_PAUSE
    """Pause requested by the target, in seconds."""
    draining: bool = False
    """Whether the target reports that it is draining."""


_NO_SIGNALS = TargetSignals()
_DRAINING = TargetSignals(draining=True)


def read_signals(response: Response) -> TargetSignals:
    """Read the signals in a response.

    Only the draining header counts in a response with a status other than
    503.

    :param response: Response from a target.
    :return: Signals in its status and headers.
    """
    draining = any(one.name == DRAINING_HEADER for one in response.headers)
    if response.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return _DRAINING if draining else _NO_SIGNALS
    texts = {one.name: one.value for one in response.headers}
    not_run = texts.get(OUTCOME_HEADER) == Outcome.NOT_RUN
    reason = texts.get(REASON_HEADER, '')
    has_retry_after = _RETRY_AFTER in texts
    return TargetSignals(
        not_run=not_run,
        reason=reason,
        shed=has_retry_after or (not_run and reason in {'', 'slots'}),
        retry_after=_parse_seconds(texts.get(_RETRY_AFTER, '')),
        draining=draining,
    )


def _parse_seconds(text: str) -> float:
    try:
        return max(int(text), 0)
    except ValueError:
        return DEFAULT_SHED_PAUSE
