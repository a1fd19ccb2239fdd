"""Catalogue of the problems that are reported to callers.

They are sent as problem documents after RFC 9457.
"""

from __future__ import annotations

import enum
from http import HTTPStatus

import attrs

PROBLEM_URI_PREFIX = 'urn:dogwoodmast:problem:'
"""Beginning of every problem type's URI; its slug follows."""
PROBLEM_MEDIA_TYPE = 'application/problem+json'
"""Content-Type of problem documents."""


class Outcome(enum.StrEnum):
    """Whether a request that ended with a problem was run by a back end."""

    NOT_RUN = 'not_run'
    """The request was not run and can be sent again safely."""
    MAY_HAVE_RUN = 'may_have_run'
    """It is not known whether the request was run, wholly or in part."""
    RAN = 'ran'
    """The request was run, but its response is not available."""


class ProblemType(enum.Enum):
    """Type of a problem, with its URI's slug and its HTTP status."""

    UNKNOWN_SERVICE = ('unknown-service', HTTPStatus.NOT_FOUND)
    """No service with the name in the path is configured."""
    INVALID_KEY = ('invalid-key', HTTPStatus.BAD_REQUEST)
    """The key in the path is missing, a dot segment, too long, or not
    printable UTF-8."""
    INVALID_REQUEST_ID = ('invalid-request-id', HTTPStatus.BAD_REQUEST)
    """The Idempotency-Key is not a UUID of version 7."""
    REQUEST_ID_REQUIRED = (
        'request-id-required',
        HTTPStatus.PRECONDITION_REQUIRED,
    )
    """A non-idempotent request came without an Idempotency-Key."""
    REQUEST_ID_REUSED = (
        'request-id-reused',
        HTTPStatus.UNPROCESSABLE_ENTITY,
    )
    """The Idempotency-Key was used before with another request."""
    REQUEST_ID_EXPIRED = ('request-id-expired', HTTPStatus.CONFLICT)
    """The Idempotency-Key is too old to tell whether its request was run."""
    REQUEST_ID_FROM_FUTURE = (
        'request-id-from-future',
        HTTPStatus.BAD_REQUEST,
    )
    """The Idempotency-Key's timestamp is too far ahead of the VM's clock."""
    ALREADY_RUN = ('already-run', HTTPStatus.CONFLICT)
    """The request was run before, but its response is no longer stored."""
    INVALID_TIMEOUT = ('invalid-timeout', HTTPStatus.BAD_REQUEST)
    """The Request-Timeout is not a number of seconds within the limits."""
    METHOD_NOT_CONFIGURED = (
        'method-not-configured',
        HTTPStatus.METHOD_NOT_ALLOWED,
    )
    """The service has no kind of request for this method and path."""
    HEADER_TOO_LARGE = (
        'header-too-large',
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    )
    """The request headers are larger than the limit."""
    REQUEST_TIMEOUT = ('request-timeout', HTTPStatus.REQUEST_TIMEOUT)
    """The request did not arrive within its time limit."""
    BODY_TOO_LARGE = (
        'body-too-large',
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    )
    """The request body is larger than the limit."""
    OVERLOADED = ('overloaded', HTTPStatus.SERVICE_UNAVAILABLE)
    """The target that owns the key sheds load, or its queue is full or too
    long for the deadline."""
    TARGET_LIMITED = ('target-limited', HTTPStatus.SERVICE_UNAVAILABLE)
    """The targets that may run the request name rate limits, and these are
    used up for its priority."""
    TARGET_PAUSED = ('target-paused', HTTPStatus.SERVICE_UNAVAILABLE)
    """The targets that may run the request want none from this VM for now."""
    DEADLINE_TOO_SHORT = (
        'deadline-too-short',
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
    """The request is not expected to finish before its deadline."""
    DEADLINE_EXCEEDED = ('deadline-exceeded', HTTPStatus.GATEWAY_TIMEOUT)
    """The deadline passed while the request was being read or run."""
    NO_OWNER = ('no-owner', HTTPStatus.SERVICE_UNAVAILABLE)
    """The key has no owner at present, or its leaseholder is unreachable."""
    OWNER_UNREACHABLE = (
        'owner-unreachable',
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
    """The target that owns the key cannot be connected to."""
    EXCHANGE_BROKEN = ('exchange-broken', HTTPStatus.BAD_GATEWAY)
    """The connection to the back end failed after the request was sent."""
    ANSWER_TOO_LARGE = ('answer-too-large', HTTPStatus.BAD_GATEWAY)
    """The back end's response is larger than the limit."""
    QUARANTINED = ('quarantined', HTTPStatus.SERVICE_UNAVAILABLE)
    """The request is suspected of having crashed several back ends."""
    CALLER_LEFT = ('caller-left', HTTPStatus.BAD_REQUEST)
    """The caller closed its connection before its request was complete."""
    INTERNAL_ERROR = ('internal-error', HTTPStatus.INTERNAL_SERVER_ERROR)
    """An unexpected exception ended the request in the entry VM."""
    STARTING = ('starting', HTTPStatus.SERVICE_UNAVAILABLE)
    """The entry VM has no configuration yet."""
    CONFIGURATION_OUTDATED = (
        'configuration-outdated',
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
    """No route matches, but the entry VM's configuration may be outdated."""
    STOPPING = ('stopping', HTTPStatus.SERVICE_UNAVAILABLE)
    """The entry VM is shutting down."""

    def __init__(self, slug: str, status: HTTPStatus) -> None:
        """Set the slug and the HTTP status of a problem type.

        :param slug: Last part of the problem type's URI.
        :param status: HTTP status of the response.
        """
        self.slug = slug
        self.status = status


@attrs.frozen
class Problem:
    """Problem of one request, as it is reported to the caller."""

    type: ProblemType
    """What went wrong."""
    outcome: Outcome = Outcome.NOT_RUN
    """Whether the request was run by a back end."""
    detail: str = ''
    """Explanation for people, in English; empty if there is none."""
    retry_after: float | None = None
    """Time after which the request may be tried again, in seconds; ``None`` if
    no time is known."""
