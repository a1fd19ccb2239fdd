"""Headers of requests that one entry VM relays through another.

A VM that cannot reach a request's targets sends it to another VM, by HTTP and
with these headers besides the caller's.  The other VM runs it like a request of
its own callers, but never relays it again.
"""

from __future__ import annotations

import re
import types
from http import HTTPStatus
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.problem import Outcome, Problem, ProblemType

if TYPE_CHECKING:
    from dogwoodmast._asgi import RawHeaders
    from dogwoodmast.direct.catalog import TargetKey

_ORIGIN = b'dogwoodmast-relay-origin'
_SERVICE = b'dogwoodmast-relay-service'
_ATTEMPTS = b'dogwoodmast-relay-attempts'
_AVOID = b'dogwoodmast-relay-avoid'
_TARGET = b'dogwoodmast-relay-target'
_PROBLEM = b'dogwoodmast-relay-problem'
_OUTCOME = b'dogwoodmast-relay-outcome'
_CUT = b'dogwoodmast-relay-cut'
_ATTEMPT = b'dogwoodmast-relay-attempt'
_STOPPING = b'dogwoodmast-relay-stopping'

RELAY_HEADERS = frozenset((_ORIGIN, _SERVICE, _ATTEMPTS, _AVOID))
"""Headers that only a relayed request has; those of callers are dropped."""
RELAY_RESPONSE_HEADERS = frozenset(
    (_TARGET, _PROBLEM, _OUTCOME, _CUT, _ATTEMPT, _STOPPING)
)
"""Headers that only another VM adds to a response; those of targets are
dropped."""
MAX_AVOIDED = 32
"""Number of targets to avoid that one relayed request names."""

_ATTEMPT_COUNT = re.compile(rb'\d{1,16}')
_TARGET_KEY = re.compile(rb'(\d{1,19}) (.+)', re.DOTALL)
_DECIMAL = re.compile(rb'\d{1,9}(\.\d{0,20})?')
"""Time in seconds that is not negative and not absurd."""
_PROBLEMS_BY_SLUG = types.MappingProxyType(
    {kind.slug: kind for kind in ProblemType}
)


@attrs.frozen
class RelayedRequest:
    """What the VM that took a request tells the one that it relays it to."""

    origin: str
    """Name of the VM that took the request."""
    service: str
    """Service that was chosen by the weights of the route's services."""
    attempts_left: int
    """Number of targets that the request may still be sent to."""
    avoid: frozenset[str] = frozenset()
    """Names of targets that have told the VM that took the request not to send
    any."""

    def headers(self) -> RawHeaders:
        """Encode it as headers."""
        avoided = ' '.join(sorted(filter(_is_token, self.avoid)))
        return [
            (_ORIGIN, self.origin.encode()),
            (_SERVICE, self.service.encode()),
            (_ATTEMPTS, b'%d' % self.attempts_left),
            (_AVOID, avoided.encode()),
        ]


def parse_relayed_request(headers: RawHeaders) -> RelayedRequest | None:
    """Parse the headers of a relayed request.

    :param headers: Header names in lower case, with values.
    :return: What they say, or ``None`` if one is missing or invalid.
    """
    by_name = dict(headers)
    attempts = by_name.get(_ATTEMPTS, b'')
    origin = _decode(by_name.get(_ORIGIN))
    service = _decode(by_name.get(_SERVICE))
    if origin is None or service is None:
        return None
    if not _ATTEMPT_COUNT.fullmatch(attempts):
        return None
    avoid = by_name.get(_AVOID, b'').decode('latin-1').split()
    return RelayedRequest(origin, service, int(attempts), frozenset(avoid))


def target_headers(target: TargetKey) -> RawHeaders:
    """Build the headers that tell which target has made a response.

    :param target: Target incarnation.
    :return: Headers of the response to a relayed request.
    """
    name, born = target
    return [(_TARGET, f'{born} {name}'.encode())]


def parse_target(headers: RawHeaders) -> TargetKey | None:
    """Parse which target has made the response to a relayed request.

    :param headers: Header names in lower case, with values.
    :return: Target incarnation, or ``None`` if no header tells it.
    """
    found = _TARGET_KEY.fullmatch(dict(headers).get(_TARGET, b''))
    name = _decode(found[2]) if found else None
    if found is None or name is None:
        return None
    return name, int(found[1])


def stopping_headers() -> RawHeaders:
    """Build the headers of all responses of a VM that is stopping."""
    return [(_STOPPING, b'1')]


def tells_stop(headers: RawHeaders) -> bool:
    """Tell whether the VM that made a response is stopping.

    :param headers: Header names in lower case, with values.
    :return: Whether the next request should go to another VM.
    """
    return _STOPPING in dict(headers)


@attrs.frozen
class RelayProblem:
    """Problem that the other VM ended a relayed request with."""

    problem: Problem
    """Problem as a caller would be told."""
    is_cut: bool
    """Whether that VM is cut off from the service too."""


def problem_headers(
    problem: Problem, *, is_cut: bool, attempt_id: bytes = b''
) -> RawHeaders:
    """Build the headers that tell a problem from a target's response.

    :param problem: Problem that ends a relayed request.
    :param attempt_id: Attempt ID of the request; empty if it has none.
    :param is_cut: Whether this VM is cut off from the service.
    :return: Headers of the response, besides ``retry-after``.
    """
    headers = [
        (_PROBLEM, problem.type.slug.encode()),
        (_OUTCOME, problem.outcome.encode()),
    ]
    if is_cut:
        headers.append((_CUT, b'1'))
    if attempt_id:
        headers.append((_ATTEMPT, attempt_id))
    return headers


def parse_attempt(headers: RawHeaders) -> bytes:
    """Parse which request a problem belongs to.

    :param headers: Header names in lower case, with values.
    :return: Attempt ID of the request, or empty if no header tells it.
    """
    return dict(headers).get(_ATTEMPT, b'')


def parse_problem(status: int, headers: RawHeaders) -> RelayProblem | None:
    """Parse the problem in the response to a relayed request.

    :param status: HTTP status.
    :param headers: Header names in lower case, with values.
    :return: Problem, or ``None`` if a target made the response.
    """
    by_name = dict(headers)
    if _PROBLEM not in by_name:
        return None
    slug = by_name[_PROBLEM].decode('latin-1')
    kind = _PROBLEMS_BY_SLUG.get(slug, ProblemType.EXCHANGE_BROKEN)
    is_not_run = by_name.get(_OUTCOME) == Outcome.NOT_RUN.encode()
    outcome = Outcome.NOT_RUN if is_not_run else Outcome.MAY_HAVE_RUN
    retry_after = None
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        retry_after = _parse_seconds(by_name.get(b'retry-after'))
    problem = Problem(kind, outcome, '', retry_after)
    return RelayProblem(problem, _CUT in by_name)


def _is_token(name: str) -> bool:
    """Tell whether a name can stand in a list that is divided by spaces."""
    return name.isascii() and name.isprintable() and ' ' not in name


def _decode(text: bytes | None) -> str | None:
    """Decode a name; ``None`` if there is none."""
    try:
        return None if text is None else text.decode()
    except UnicodeDecodeError:
        return None


def _parse_seconds(text: bytes | None) -> float | None:
    if text is None or not _DECIMAL.fullmatch(text):
        return None
    return float(text)
