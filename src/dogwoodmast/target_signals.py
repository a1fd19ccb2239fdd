"""What a target's answer says about the target itself."""

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
"""Pause when a target sheds load without a Retry-After, in seconds."""
_RETRY_AFTER = 'retry-after'


@attrs.frozen
class TargetSignals:
    """Signals in an answer."""

    not_run: bool = False
    """Whether the target refused the request without running it."""
    reason: str = ''
    """Why it refused."""
    shed: bool = False
    """Whether it sheds load."""
    retry_after: float = DEFAULT_SHED_PAUSE
    """Time for which it asks, in seconds."""
    draining: bool = False
    """Whether it says that it is leaving."""


_NO_SIGNALS = TargetSignals()
_DRAINING = TargetSignals(draining=True)


def read_signals(response: Response) -> TargetSignals:
    """Read the signals in an answer.

    :param response: Answer of a target.
    :return: Its signals.
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
