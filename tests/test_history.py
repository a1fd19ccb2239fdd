"""Checks of histories, applied to histories with a known result.

Guards against checks that overlook a violation or report one that is none.
"""

from __future__ import annotations

import json
from typing import Any

import attrs
import pytest

from dogwoodmast.problem import PROBLEM_MEDIA_TYPE
from fleet import Reply
from history import (
    Call,
    CallOutcome,
    ObservedVersion,
    Run,
    check_history,
    check_versions,
    measure_unavailability,
)

BODY = json.dumps({'echo': 'e', 'key': 'k', 'request_id': 'id'}).encode()
LENGTH = str(len(BODY))
RESPONSE = Reply(200, {'content-length': LENGTH}, BODY)
PROBLEM = Reply(503, {'content-type': PROBLEM_MEDIA_TYPE}, b'{}')
CALL = Call('a', 'k', 'POST', 'id', 'e', 1, 2, CallOutcome.ANSWERED, RESPONSE)
REFUSED = attrs.evolve(CALL, outcome=CallOutcome.NOT_RUN, reply=PROBLEM)
LOST = attrs.evolve(CALL, outcome=CallOutcome.LOST, reply=None)
RESENT = attrs.evolve(CALL, echo='f', began=3, ended=4)
RUN = Run('t', 'k', 'POST', 'id', 'p', 3, 1.2, 1.8)


def of_other_request(run: Run, **changes: Any) -> Run:
    """Copy a run for another request, with changes."""
    return attrs.evolve(run, request_id='other', **changes)


def with_response(**changes: str) -> Call:
    """Make an answered call with changed fields in its response."""
    body = json.dumps({**json.loads(BODY), **changes}).encode()
    return attrs.evolve(CALL, reply=Reply(200, {}, body))


@pytest.mark.parametrize(
    ('calls', 'runs'),
    [
        pytest.param([CALL], [RUN], id='answered'),
        pytest.param([REFUSED], [], id='refused'),
        pytest.param([LOST], [RUN], id='answer lost'),
        pytest.param([LOST, RESENT], [RUN], id='resent, answer kept'),
        pytest.param(
            [REFUSED, attrs.evolve(CALL, began=3, ended=4)],
            [attrs.evolve(RUN, began=3.1, ended=3.2)],
            id='refused, then run',
        ),
        pytest.param(
            [CALL],
            [
                RUN,
                of_other_request(
                    RUN, target='u', fence=4, began=1.9, ended=2.5
                ),
            ],
            id='moved',
        ),
        pytest.param(
            [CALL],
            [RUN, of_other_request(RUN, key='l', target='u', fence=1)],
            id='another key elsewhere',
        ),
    ],
)
def test_valid_histories(calls: list[Call], runs: list[Run]) -> None:
    """A history without a violation passes all checks."""
    assert check_history(calls, runs) == []


@pytest.mark.parametrize(
    ('calls', 'runs', 'invariant'),
    [
        pytest.param(
            [with_response(echo='x')], [RUN], 'own complete answer', id='1'
        ),
        pytest.param(
            [with_response(key='x')], [RUN], 'own complete answer', id='2'
        ),
        pytest.param(
            [with_response(request_id='x')],
            [RUN],
            'own complete answer',
            id='3',
        ),
        pytest.param(
            [
                attrs.evolve(
                    CALL, reply=Reply(200, {'content-length': '999'}, BODY)
                )
            ],
            [RUN],
            'own complete answer',
            id='cut short',
        ),
        pytest.param(
            [
                attrs.evolve(LOST, method='GET'),
                attrs.evolve(RESENT, method='GET'),
            ],
            [RUN],
            'own complete answer',
            id='answer to another reading',
        ),
        pytest.param(
            [REFUSED, RESENT],
            [attrs.evolve(RUN, began=3.1, ended=3.2)],
            'own complete answer',
            id='echo of a refused sending',
        ),
        pytest.param(
            [attrs.evolve(RESENT, began=0, ended=0.5), LOST],
            [RUN],
            'own complete answer',
            id='echo of a later sending',
        ),
        pytest.param(
            [
                CALL,
                attrs.evolve(
                    RESENT, reply=Reply(200, {}, BODY.replace(b'{', b'{ '))
                ),
            ],
            [RUN],
            'own complete answer',
            id='two answers to one request',
        ),
        pytest.param([REFUSED], [RUN], 'not run means not run', id='ran'),
        pytest.param(
            [LOST, attrs.evolve(REFUSED, began=3, ended=4)],
            [RUN],
            'not run means not run',
            id='had run before',
        ),
        pytest.param(
            [CALL],
            [RUN, attrs.evolve(RUN, began=1.85, ended=1.9)],
            'at most once',
            id='twice on one target',
        ),
        pytest.param(
            [CALL],
            [RUN, attrs.evolve(RUN, target='u', fence=4, began=2, ended=3)],
            'at most once',
            id='twice on two targets',
        ),
        pytest.param([CALL], [], 'answered means run', id='never ran'),
        pytest.param(
            [CALL],
            [RUN, of_other_request(RUN, target='u', began=1.7, ended=1.75)],
            'one owner',
            id='two owners at once',
        ),
        pytest.param(
            [CALL],
            [
                RUN,
                attrs.evolve(RUN, request_id='third', began=1.3, ended=1.4),
                of_other_request(RUN, target='u', began=1.7, ended=1.9),
            ],
            'one owner',
            id='overlap with a longer run',
        ),
        pytest.param(
            [CALL],
            [
                RUN,
                of_other_request(
                    RUN, target='u', fence=2, began=1.9, ended=2.5
                ),
            ],
            'fences grow',
            id='an earlier fence later',
        ),
    ],
)
def test_invalid_histories(
    calls: list[Call], runs: list[Run], invariant: str
) -> None:
    """A violation is reported by the check of its invariant, and only by it."""
    violated = {violation.invariant for violation in check_history(calls, runs)}
    assert violated == {invariant}


def test_versions() -> None:
    """A version may lag on one entry VM, but must not decrease on any.

    Guards against a check that compares the versions of different entry VMs.
    """
    monotonic = [
        ObservedVersion('a', 1, 0),
        ObservedVersion('a', 2, 1),
        ObservedVersion('b', 1, 2),
    ]
    assert check_versions(monotonic) == []
    assert check_versions([*monotonic, ObservedVersion('a', 1, 3)])


def test_unavailable_time() -> None:
    """A wait lasts from the first outstanding call to the next answer.

    Guards against counting idle time as unavailability, and against missing
    the time of calls that are never answered.
    """
    quick = attrs.evolve(CALL, began=1, ended=1.1)
    idle = attrs.evolve(CALL, began=9, ended=9.25)
    assert measure_unavailability([quick, idle]).longest == pytest.approx(0.25)
    failed = attrs.evolve(LOST, began=3, ended=5)
    assert measure_unavailability(
        [quick, failed, idle]
    ).longest == pytest.approx(6.25)
    never = attrs.evolve(LOST, key='l', began=1, ended=4)
    assert measure_unavailability([quick, never]).longest == 3
    assert measure_unavailability([quick, idle, never]).mean == pytest.approx(
        1.625
    )
