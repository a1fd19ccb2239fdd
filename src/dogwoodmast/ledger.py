"""Ledger of request ids for one partition, used for deduplication.

It ensures that a non-idempotent request runs at most once. A request id is
a UUID of version 7, which contains its creation time. The ledger can thus
refuse every id that is old enough to have been evicted, or to have been
dispatched before the ledger was opened.
"""

from __future__ import annotations

import heapq

import attrs

from dogwoodmast.problem import Outcome, Problem, ProblemType
from dogwoodmast.request import Response, Result
from dogwoodmast.request_id import creation_time

FUTURE_TOLERANCE = 0.5
"""Maximum accepted lead of a caller's clock over the entry VM's clock, in
seconds."""
VM_CLOCK_SKEW = 0.25
"""Assumed maximum clock difference between two entry VMs, in seconds."""
CLOCK_MARGIN = FUTURE_TOLERANCE + VM_CLOCK_SKEW
"""Time after the ledger's start up to which unknown ids are refused, in
seconds: an id dispatched elsewhere before the start may carry a creation
time that is later by this much."""
RETENTION_PERIOD = 600.0
"""Age, by the time in the id, at which an entry is evicted, in seconds."""
MAX_ENTRIES = 2048
"""Maximum number of request ids in one ledger."""
MAX_RESPONSE_BYTES = 262_144
"""Maximum total size of the responses in one ledger, in bytes."""
_ID_TIME_RESOLUTION = 0.001
"""Resolution of the creation time in a request id, in seconds."""


@attrs.frozen
class LedgerEntry:
    """Result of a request that ran or may have run."""

    request_id: str
    """Value of the request's Idempotency-Key header."""
    fingerprint: bytes
    """Hash of the request, which detects reuse of the id for another one."""
    result: Result
    """Result returned to callers that repeat the request."""


def _response_size(result: Result) -> int:
    match result:
        case Response(_, headers, body):
            texts = sum(len(one.name) + len(one.value) for one in headers)
            return len(body) + texts
        case Problem():
            return 0


def id_reused_problem() -> Problem:
    """Create the problem for an id that was used for another request.

    :return: Problem of type ``REQUEST_ID_REUSED``.
    """
    return Problem(
        ProblemType.REQUEST_ID_REUSED,
        detail='this Idempotency-Key was already used for another request',
    )


def _future_id_problem(request_id: str, wall_time: float) -> Problem | None:
    if creation_time(request_id) <= wall_time + FUTURE_TOLERANCE:
        return None
    return Problem(
        ProblemType.REQUEST_ID_FROM_FUTURE,
        detail=(
            'the time in this Idempotency-Key is ahead of the server clock, '
            f'which shows {wall_time:.3f} s since 1970'
        ),
    )


@attrs.define
class Ledger:
    """Remembered request ids of one partition with their results."""

    since: float
    """Wall-clock time since which the ledger is complete, in seconds since
    the Unix epoch."""
    _entries: dict[str, LedgerEntry] = attrs.field(factory=dict)
    _by_creation: list[tuple[float, str]] = attrs.field(factory=list)
    _response_sizes: dict[str, int] = attrs.field(factory=dict)
    _response_bytes: int = 0

    @property
    def entries(self) -> tuple[LedgerEntry, ...]:
        """Entries in the order in which their ids were first recorded."""
        return tuple(self._entries.values())

    def check(
        self, request_id: str, fingerprint: bytes, wall_time: float
    ) -> Result | None:
        """Check whether a request that is not running may be started.

        :param request_id: Value of its Idempotency-Key header.
        :param fingerprint: Hash of the request.
        :param wall_time: Wall-clock time in seconds since the Unix epoch.
        :return: Remembered result, or a problem with the id; ``None`` if
            the request is known not to have run and may be started.
        """
        self.evict_expired(wall_time)
        entry = self._entries.get(request_id)
        if entry is not None:
            if entry.fingerprint == fingerprint:
                return entry.result
            return id_reused_problem()
        if not self.never_ran(request_id):
            return Problem(
                ProblemType.REQUEST_ID_EXPIRED,
                Outcome.MAY_HAVE_RUN,
                'this Idempotency-Key is too old for the server to know '
                'whether the request ran',
            )
        return _future_id_problem(request_id, wall_time)

    def never_ran(self, request_id: str) -> bool:
        """Check whether a request is known not to have run on any entry VM.

        :param request_id: Value of its Idempotency-Key header.
        :return: ``False`` if it ran, may have run or is too old to tell.
        """
        if request_id in self._entries:
            return False
        return creation_time(request_id) >= self.since + CLOCK_MARGIN

    def remember(self, entry: LedgerEntry) -> None:
        """Record the result of a request that ran or may have run.

        Evicts entries and responses that exceed the limits. An evicted
        response is replaced by a problem that says that the request ran.

        :param entry: Request id, hash of the request and result.
        """
        known = self._entries.get(entry.request_id)
        if known is None:
            age = (creation_time(entry.request_id), entry.request_id)
            heapq.heappush(self._by_creation, age)
        self._entries[entry.request_id] = entry
        self._count_response(entry)
        while len(self._entries) > MAX_ENTRIES:
            self._evict_oldest()
        while self._response_bytes > MAX_RESPONSE_BYTES:
            self._drop_oldest_response()

    def evict_expired(self, wall_time: float) -> None:
        """Evict the ids that are older than the retention period.

        :param wall_time: Wall-clock time in seconds since the Unix epoch.
        """
        oldest = wall_time - RETENTION_PERIOD
        self.since = max(self.since, oldest - CLOCK_MARGIN)
        while self._by_creation and self._by_creation[0][0] < oldest:
            self._evict_oldest()

    def merge(self, entries: tuple[LedgerEntry, ...]) -> None:
        """Add the entries of a previous leaseholder's ledger.

        :param entries: Entries to add; ids already present keep theirs.
        """
        for entry in entries:
            if entry.request_id not in self._entries:
                self.remember(entry)

    def _count_response(self, entry: LedgerEntry) -> None:
        self._response_bytes -= self._response_sizes.pop(entry.request_id, 0)
        size = _response_size(entry.result)
        if size:
            self._response_sizes[entry.request_id] = size
            self._response_bytes += size

    def _evict_oldest(self) -> None:
        created, request_id = heapq.heappop(self._by_creation)
        self._entries.pop(request_id)
        self._response_bytes -= self._response_sizes.pop(request_id, 0)
        # From now on, never_ran() is false for ids created up to this one.
        forgotten = created + _ID_TIME_RESOLUTION - CLOCK_MARGIN
        self.since = max(self.since, forgotten)

    def _drop_oldest_response(self) -> None:
        request_id = next(iter(self._response_sizes))
        self._response_bytes -= self._response_sizes.pop(request_id)
        problem = Problem(
            ProblemType.ALREADY_RUN,
            Outcome.RAN,
            'the request ran, but its response is no longer stored',
        )
        entry = self._entries[request_id]
        self._entries[request_id] = attrs.evolve(entry, result=problem)
