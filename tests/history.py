"""Recording callers and checks of the histories of concurrent runs.

All times are on the machine's monotonic clock, which processes share.
"""

from __future__ import annotations

import enum
import itertools
import operator
import threading
import time
import uuid
from collections import defaultdict
from collections.abc import Sequence
from contextlib import ExitStack
from http import HTTPStatus
from http.client import HTTPException
from typing import TYPE_CHECKING

import attrs

from dogwoodmast.address import Address
from dogwoodmast.problem import PROBLEM_MEDIA_TYPE
from fleet import Reply, new_request_id, send

if TYPE_CHECKING:
    from collections.abc import Iterable


CALL_PAUSE = 0.03
"""Time between two calls of one caller, in seconds."""
CALL_TIMEOUT = 2.0
"""Time that a caller allows for an answer, in seconds."""
TIMEOUT_MARGIN = 0.5
"""Time that a caller waits beyond its deadline, in seconds."""
MAX_SENDINGS = 8
"""Times that a caller sends one request, resends included."""


class CallOutcome(enum.StrEnum):
    """What a caller knows about a call when it ends."""

    ANSWERED = 'answered'
    """The back end's answer came."""
    NOT_RUN = 'not_run'
    """It was told that the request did not run."""
    MAY_HAVE_RUN = 'may_have_run'
    """It was told that nobody knows."""
    RAN = 'ran'
    """It was told that the request ran earlier."""
    LOST = 'lost'
    """No answer came."""


@attrs.frozen
class Call:
    """One sending of a request by a caller."""

    entry: str
    """Entry VM that it was sent to."""
    key: str
    """Key of the request."""
    method: str
    """HTTP method."""
    request_id: str
    """Idempotency-Key; the same for all sendings of a request."""
    echo: str
    """Text that only this sending carries."""
    began: float
    """Time of the sending, in seconds."""
    ended: float
    """Time of the answer or of giving up, in seconds."""
    outcome: CallOutcome
    """What the caller knows at the end."""
    reply: Reply | None = None
    """Answer, or ``None``."""
    accepted: bool = True
    """Whether the entry VM accepted the connection."""

    @property
    def problem(self) -> str:
        """Problem type in short, or what else came."""
        if self.reply is None:
            return 'no answer'
        if self.reply.headers.get('content-type') != PROBLEM_MEDIA_TYPE:
            return str(self.reply.status)
        return str(self.reply.document.get('type')).rpartition(':')[2]


@attrs.frozen
class Run:
    """One execution by a back end."""

    target: str
    """Name of the target."""
    key: str
    """Key of the request."""
    method: str
    """HTTP method."""
    request_id: str
    """Idempotency-Key of the request."""
    partition: str
    """Partition that the router named."""
    fence: int
    """Fence that the router named."""
    began: float
    """Time of the start, in seconds."""
    ended: float
    """Time of the end, in seconds."""


@attrs.frozen
class ObservedVersion:
    """Version of the configuration that an entry VM was seen to use."""

    entry: str
    """Entry VM."""
    version: int
    """Version of the configuration."""
    at: float
    """Time of the sighting, in seconds."""


@attrs.frozen
class Violation:
    """A promise that a history breaks."""

    invariant: str
    """Name of the check."""
    detail: str
    """What broke it."""


@attrs.frozen
class Unavailable:
    """Time for which callers of a key were not served."""

    longest: float
    """Longest time between a demand and the next answer, in seconds."""
    mean: float
    """Mean over the keys of each key's longest, in seconds."""


def check_own_answers(calls: Iterable[Call]) -> list[Violation]:
    """Each answer is whole and answers the call that it came for.

    A resent request is answered by its only run, so its answer may carry
    the echo of another sending of it, and all its answers the same one.
    """
    found: list[Violation] = []
    for sendings in _by_request(calls).values():
        found.extend(
            Violation('own complete answer', repr(call))
            for call in sendings
            if call.reply is not None
            and not _is_own(call, call.reply, _echoes(call, sendings))
        )
        found.extend(_differing_answers(sendings))
    return found


def check_not_run(
    calls: Iterable[Call], runs: Iterable[Run]
) -> list[Violation]:
    """What was refused as not run had not run."""
    first_end: dict[str, float] = {}
    for run in runs:
        known = first_end.get(run.request_id, run.ended)
        first_end[run.request_id] = min(known, run.ended)
    found = []
    for sendings in _by_request(calls).values():
        ran_at = first_end.get(sendings[0].request_id)
        if ran_at is not None:
            found.extend(_false_refusals(sendings, ran_at))
    return found


def check_at_most_once(runs: Iterable[Run]) -> list[Violation]:
    """No non-idempotent request ran twice, over all back ends."""
    by_id = defaultdict(list)
    for run in runs:
        if run.method == 'POST':
            by_id[run.request_id].append(run)
    return [
        Violation('at most once', repr(same))
        for same in by_id.values()
        if len(same) > 1
    ]


def check_nothing_lost(
    calls: Iterable[Call], runs: Iterable[Run]
) -> list[Violation]:
    """What was answered has run."""
    ran = frozenset(run.request_id for run in runs)
    return [
        Violation('answered means run', repr(call))
        for call in calls
        if call.outcome is CallOutcome.ANSWERED and call.request_id not in ran
    ]


def check_one_owner(runs: Iterable[Run]) -> list[Violation]:
    """No two targets ran a key at once, and fences never went back."""
    by_key = defaultdict(list)
    for run in runs:
        by_key[run.key].append(run)
    found = []
    for same in by_key.values():
        same.sort(key=operator.attrgetter('began'))
        found.extend(_overlaps(same))
        found.extend(_fences_back(same))
    return found


def check_versions(
    observed_versions: Iterable[ObservedVersion],
) -> list[Violation]:
    """No entry VM went back to an earlier configuration."""
    newest: dict[str, ObservedVersion] = {}
    found = []
    for sighting in sorted(observed_versions, key=lambda one: one.at):
        known = newest.setdefault(sighting.entry, sighting)
        if sighting.version < known.version:
            found.append(Violation('never reverts', f'{known} {sighting}'))
        else:
            newest[sighting.entry] = sighting
    return found


def check_history(
    calls: Sequence[Call], runs: Sequence[Run]
) -> list[Violation]:
    """Apply every check of safety."""
    return [
        *check_own_answers(calls),
        *check_not_run(calls, runs),
        *check_at_most_once(runs),
        *check_nothing_lost(calls, runs),
        *check_one_owner(runs),
    ]


def unavailable_time(calls: Iterable[Call]) -> Unavailable:
    """Measure how long callers of each key waited for an answer.

    The wait begins with the first demand that is open after an answer and
    ends with the next answer, whoever gets it.
    """
    by_key = defaultdict(list)
    for call in calls:
        by_key[call.key].append(call)
    longest = [max(_waits(same), default=0) for same in by_key.values()]
    return Unavailable(max(longest), sum(longest) / len(longest))


def unserved(calls: Iterable[Call]) -> list[Call]:
    """Select the calls that got no answer of a back end."""
    return [call for call in calls if call.outcome is not CallOutcome.ANSWERED]


def _echoes(call: Call, sendings: list[Call]) -> frozenset[str]:
    """List the echoes that a call's answer may carry."""
    if call.method != 'POST':
        return frozenset((call.echo,))
    return frozenset(
        sending.echo
        for sending in sendings
        if sending.began <= call.began
        and sending.outcome is not CallOutcome.NOT_RUN
    )


def _differing_answers(sendings: list[Call]) -> list[Violation]:
    bodies = {
        call.reply.body
        for call in sendings
        if call.reply is not None and call.outcome is CallOutcome.ANSWERED
    }
    if len(bodies) > 1:
        return [Violation('own complete answer', repr(sendings))]
    return []


def _is_own(call: Call, reply: Reply, echoes: frozenset[str]) -> bool:
    length = reply.headers.get('content-length')
    if length is not None and int(length) != len(reply.body):
        return False
    if call.outcome is not CallOutcome.ANSWERED:
        return True
    document = reply.document
    return (
        document.get('echo') in echoes
        and document.get('key') == call.key
        and document.get('request_id') == call.request_id
    )


def _by_request(calls: Iterable[Call]) -> dict[str, list[Call]]:
    by_id = defaultdict(list)
    for call in calls:
        by_id[call.request_id].append(call)
    return by_id


def _false_refusals(sendings: list[Call], ran_at: float) -> list[Violation]:
    refused = [call for call in sendings if call.outcome is CallOutcome.NOT_RUN]
    if len(refused) == len(sendings):
        return [Violation('not run means not run', repr(sendings))]
    return [
        Violation('not run means not run', f'ran until {ran_at}: {call}')
        for call in refused
        if ran_at < call.began
    ]


def _overlaps(runs: list[Run]) -> list[Violation]:
    found: list[Violation] = []
    latest: dict[str, Run] = {}
    for run in runs:
        found.extend(
            Violation('one owner', f'{other} {run}')
            for target, other in latest.items()
            if target != run.target and run.began < other.ended
        )
        known = latest.get(run.target)
        if known is None or known.ended < run.ended:
            latest[run.target] = run
    return found


def _fences_back(runs: list[Run]) -> list[Violation]:
    return [
        Violation('fences grow', f'{earlier} {later}')
        for earlier, later in itertools.pairwise(runs)
        if later.fence < earlier.fence
    ]


def _waits(calls: list[Call]) -> list[float]:
    calls = sorted(calls, key=lambda call: call.began)
    end = max(call.ended for call in calls)
    answered = sorted(
        call.ended for call in calls if call.outcome is CallOutcome.ANSWERED
    )
    waits = []
    for earlier, later in itertools.pairwise([calls[0].began, *answered, end]):
        demands = [call.began for call in calls if call.ended > earlier]
        start = max(earlier, min(demands, default=later))
        waits.append(max(later - start, 0))
    return waits


@attrs.define(eq=False)
class Callers:
    """Threads that call a fleet and record what they get.

    One caller a key reads it, and one caller a key pays for it if told to.
    Each call goes to the next entry VM.
    """

    _entries: dict[str, Address]
    _keys: Sequence[str]
    _pays: bool = True
    _pause: float = CALL_PAUSE
    _calls: list[Call] = attrs.field(factory=list)
    _stop: threading.Event = attrs.field(factory=threading.Event)
    _stack: ExitStack = attrs.field(factory=ExitStack)

    @property
    def calls(self) -> list[Call]:
        """Calls that have ended, in that order."""
        return list(self._calls)

    def __enter__(self) -> Callers:
        """Start the callers."""
        for place, key in enumerate(self._keys):
            self._start(key, 'GET', place)
            if self._pays:
                self._start(key, 'POST', place)
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop the callers once their requests have ended."""
        self._stop.set()
        self._stack.close()

    def _start(self, key: str, method: str, place: int) -> None:
        thread = threading.Thread(
            target=self._call_on, args=(key, method, place), daemon=True
        )
        thread.start()
        self._stack.callback(thread.join)

    def _call_on(self, key: str, method: str, place: int) -> None:
        names = list(self._entries)
        turns = itertools.cycle(names[place:] + names[:place])
        while not self._stop.wait(self._pause):
            self._send_until_known(key, method, turns)

    def _send_until_known(
        self, key: str, method: str, turns: itertools.cycle[str]
    ) -> None:
        request_id = new_request_id()
        sendings = MAX_SENDINGS if method == 'POST' else 1
        for _ in range(sendings):
            call = self._send(next(turns), key, method, request_id)
            self._calls.append(call)
            if call.outcome in {CallOutcome.ANSWERED, CallOutcome.RAN}:
                return
            if self._stop.wait(self._pause):
                return

    def _send(self, entry: str, key: str, method: str, request_id: str) -> Call:
        echo = str(uuid.uuid4())
        headers = {
            'idempotency-key': request_id,
            'echo': echo,
            'request-timeout': str(CALL_TIMEOUT),
        }
        body = b'1' if method == 'POST' else b''
        began = time.monotonic()
        reply = None
        accepted = True
        try:
            reply = send(
                self._entries[entry],
                method,
                f'/balance/{key}/record',
                body,
                headers,
                CALL_TIMEOUT + TIMEOUT_MARGIN,
            )
        except ConnectionRefusedError:
            accepted = False
        except (OSError, HTTPException):
            accepted = True
        return Call(
            entry=entry,
            key=key,
            method=method,
            request_id=request_id,
            echo=echo,
            began=began,
            ended=time.monotonic(),
            outcome=_classify_reply(reply),
            reply=reply,
            accepted=accepted,
        )


def _classify_reply(reply: Reply | None) -> CallOutcome:
    if reply is None:
        return CallOutcome.LOST
    if reply.headers.get('content-type') == PROBLEM_MEDIA_TYPE:
        return CallOutcome(str(reply.document['outcome']))
    if reply.status == HTTPStatus.OK:
        return CallOutcome.ANSWERED
    return CallOutcome.MAY_HAVE_RUN
