"""Ledger of the request ids of one partition.

It makes sure that a request that must not be repeated runs at most once.
An id carries its creation time, so that a ledger can refuse every id that
it may have forgotten or never have known.
"""

from __future__ import annotations

import heapq

import attrs

from dogwoodmast.problem import Outcome, Problem, ProblemType
from dogwoodmast.request import Response, Result
from dogwoodmast.request_id import creation_time

FUTURE_TOLERANCE = 0.5
"""Time by which a caller's clock may run ahead, in seconds."""
VM_CLOCK_SKEW = 0.25
"""Time by which the clocks of two entry VMs may differ, in seconds."""
CLOCK_MARGIN = FUTURE_TOLERANCE + VM_CLOCK_SKEW
"""Time after the ledger's start before which unknown ids are refused,
in seconds: an id that ran elsewhere may look this much younger."""
RETENTION_PERIOD = 600.0
"""Time for which ids are remembered, in seconds."""
MAX_ENTRIES = 2048
"""Ids that a ledger remembers at most."""
MAX_RESPONSE_BYTES = 262_144
"""Bytes of answers that a ledger remembers at most."""
_ID_TIME_RESOLUTION = 0.001


@attrs.frozen
class LedgerEntry:
    """A request whose result is known."""

    request_id: str
    """Its Idempotency-Key."""
    fingerprint: bytes
    """Hash of the request."""
    result: Result
    """What a caller who sends it again is told."""


def _response_size(result: Result) -> int:
    match result:
        case Response(_, headers, body):
            texts = sum(len(one.name) + len(one.value) for one in headers)
            return len(body) + texts
        case Problem():
            return 0


def id_reused_problem() -> Problem:
    """Make the problem of an id that came with another request.

    :return: The problem.
    """
    return Problem(
        ProblemType.REQUEST_ID_REUSED,
        detail='this Idempotency-Key belongs to another request',
    )


def _future_id_problem(request_id: str, wall_time: float) -> Problem | None:
    if creation_time(request_id) <= wall_time + FUTURE_TOLERANCE:
        return None
    return Problem(
        ProblemType.REQUEST_ID_FROM_FUTURE,
        detail=f'the time of the server is {wall_time:.3f} s since 1970',
    )


@attrs.define
class Ledger:
    """Request ids of one partition and their results."""

    since: float
    """Wall time from which on every id is known, in seconds."""
    _entries: dict[str, LedgerEntry] = attrs.field(factory=dict)
    _by_creation: list[tuple[float, str]] = attrs.field(factory=list)
    _response_sizes: dict[str, int] = attrs.field(factory=dict)
    _response_bytes: int = 0

    @property
    def entries(self) -> tuple[LedgerEntry, ...]:
        """All entries."""
        return tuple(self._entries.values())

    def check(
        self, request_id: str, fingerprint: bytes, wall_time: float
    ) -> Result | None:
        """Decide about a request that is not running.

        :param request_id: Its Idempotency-Key.
        :param fingerprint: Hash of the request.
        :param wall_time: Seconds since the Unix epoch.
        :return: Its remembered result or a problem; ``None`` if it surely
            has not run and may run.
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
                'this Idempotency-Key is older than what is remembered',
            )
        return _future_id_problem(request_id, wall_time)

    def never_ran(self, request_id: str) -> bool:
        """Tell whether a request surely has not run, here or before.

        :param request_id: Its Idempotency-Key.
        :return: ``False`` if it ran or that is not known.
        """
        if request_id in self._entries:
            return False
        return creation_time(request_id) >= self.since + CLOCK_MARGIN

    def remember(self, entry: LedgerEntry) -> None:
        """Keep the result of a request that ran or may have run.

        :param entry: The request and its result.
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
        """Forget the ids that are older than the window.

        :param wall_time: Seconds since the Unix epoch.
        """
        oldest = wall_time - RETENTION_PERIOD
        self.since = max(self.since, oldest - CLOCK_MARGIN)
        while self._by_creation and self._by_creation[0][0] < oldest:
            self._evict_oldest()

    def merge(self, entries: tuple[LedgerEntry, ...]) -> None:
        """Take in entries of an earlier owner.

        :param entries: Its entries; known ones are left as they are.
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
        forgotten = created + _ID_TIME_RESOLUTION - CLOCK_MARGIN
        self.since = max(self.since, forgotten)

    def _drop_oldest_response(self) -> None:
        request_id = next(iter(self._response_sizes))
        self._response_bytes -= self._response_sizes.pop(request_id)
        problem = Problem(
            ProblemType.ALREADY_RUN,
            Outcome.RAN,
            'the request ran, but its answer is no longer kept',
        )
        entry = self._entries[request_id]
        self._entries[request_id] = attrs.evolve(entry, result=problem)
