"""Invariants of the router that a soak checks after its plan."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from dogwoodmast.problem import PROBLEM_MEDIA_TYPE
from history import (
    Call,
    CallOutcome,
    Run,
    Violation,
    check_history,
    check_versions,
)
from soak_callers import REQUEST_TIMEOUT
from soak_plan import (
    VM_COUNT,
    AnswerInjection,
    CutInjection,
    LeaseInjection,
    PathInjection,
    RestoreInjection,
    ScheduledFault,
    StoreInjection,
    TargetInjection,
    VmFault,
    VmInjection,
)
from soak_target import LIMIT, WARMUP_RATE

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from soak_callers import SoakCallers
    from soak_environment import SoakEnvironment
    from soak_target import Observations, SoakTarget

STORE_FAULTS = StoreInjection | LeaseInjection | RestoreInjection
"""Faults of the store."""
APPLY_TIME = 2.0
"""Time after a write of the configuration within which it is in force, in
seconds; the platform's bound."""
WARMUP_OVERRUN = 1.5
"""Factor of what a cold target tolerates, by the settings of the VMs."""
WARMUP_SLACK = 8.0
"""Further requests in one second, by the settings of the VMs."""
COPY_BOUND = 2.0
"""Time within which all VMs know a new listing, in seconds."""
LIMIT_WINDOW = 4.0
"""Length of the windows in which limits are checked, in seconds."""
CONTACT_TIME = 3.0
"""Time after the start of a limit or a cut from which on it is checked, in
seconds; the platform's bound."""
KNOWN_TIME = 1.0
"""Time within which all VMs know of a limit, in seconds: a response, and half a
second that the platform allows."""
RESPONSE_MARGIN = 1.5
"""Time after its deadline by which a request must be answered, in seconds: half
a second that the contract allows, and one second for a busy machine."""
PROMISES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
"""Statuses that say that a request has not run and never will."""
RAN_STATUSES = frozenset((HTTPStatus.OK, HTTPStatus.INTERNAL_SERVER_ERROR))
"""Statuses of targets for requests that ran."""


def check_run(
    plan: Sequence[ScheduledFault],
    began: float,
    environment: SoakEnvironment,
    callers: SoakCallers,
) -> list[Violation]:
    """Check all invariants after a plan.

    :param plan: Faults that were injected.
    :param began: Monotonic time at which the plan began, in seconds.
    :param environment: Environment in which it ran.
    :param callers: Callers that sent requests meanwhile.
    :return: Violations that were found.
    """
    calls, observations = callers.calls, environment.observations
    return [
        *observations.violations,
        *check_history(calls, observations.runs),
        *check_versions(callers.observed_versions),
        *check_answers(calls),
        *check_promises(calls, observations.runs),
        *check_configuration_times(
            plan, began, environment.written, callers.version_calls
        ),
        *check_response_times(plan, calls),
        *check_graceful_stops(plan, calls, observations),
        *check_drains(plan, observations),
        *check_limits(plan, environment.limits),
        *check_warmups(plan, environment.cold),
        *check_cut_vms(plan, began, calls),
    ]


def check_answers(calls: Sequence[Call]) -> list[Violation]:
    """Check that responses of targets are whole, sealed and the call's own.

    :param calls: Calls that have ended.
    :return: One violation for each other response.
    """
    return [
        Violation('own sealed answer', repr(call))
        for call in calls
        if call.reply is not None and not _is_own_answer(call)
    ]


def check_promises(
    calls: Sequence[Call], runs: Sequence[Run]
) -> list[Violation]:
    """Check that no non-idempotent request ran despite a promise.

    :param calls: Calls that have ended.
    :param runs: Executions of requests.
    :return: One violation for each broken promise.
    """
    ran = {run.request_id for run in runs}
    return [
        Violation('promises are kept', repr(call))
        for call in calls
        if call.method == 'POST'
        and call.reply is not None
        and call.reply.status in PROMISES
        and call.request_id in ran
    ]


def check_configuration_times(
    plan: Sequence[ScheduledFault],
    began: float,
    written: Mapping[int, float],
    version_calls: Sequence[tuple[int, Call]],
) -> list[Violation]:
    """Check that written configurations are in force in time.

    VMs that the plan kills, stops or freezes are exempt, as are all during
    faults of the store and ``CONTACT_TIME`` after them.

    :param plan: Faults that were injected.
    :param began: Monotonic time at which the plan began, in seconds.
    :param written: Monotonic time in seconds of the write of each version.
    :param version_calls: Versions, and calls on routes that only they have.
    :return: One violation for each call that got 404 too late.
    """
    disrupted = {
        f'vm{one.injection.vm}'
        for one in plan
        if isinstance(one.injection, VmInjection)
        and one.injection.fault is not VmFault.RELOAD
    }
    outages = [
        (began + one.start, began + one.start + one.duration + CONTACT_TIME)
        for one in plan
        if isinstance(one.injection, STORE_FAULTS)
    ]
    found = []
    for version, call in version_calls:
        since = written[version] + APPLY_TIME
        until = written.get(version + 1, float('inf'))
        is_bound = since < call.began and call.ended < until
        is_bound &= call.entry not in disrupted
        is_bound &= not any(
            start <= call.began <= end for start, end in outages
        )
        status = HTTPStatus.OK if call.reply is None else call.reply.status
        if is_bound and status == HTTPStatus.NOT_FOUND:
            found.append(Violation('in force in time', f'{version}: {call}'))
    return found


def check_response_times(
    plan: Sequence[ScheduledFault], calls: Sequence[Call]
) -> list[Violation]:
    """Check that VMs answer requests by their deadlines.

    VMs that the plan freezes are exempt.

    :param plan: Faults that were injected.
    :param calls: Calls that have ended.
    :return: One violation for each late response.
    """
    frozen = _vms_with(plan, {VmFault.FREEZE})
    return [
        Violation('answered in time', repr(call))
        for call in calls
        if call.entry not in frozen
        and call.ended - call.began > REQUEST_TIMEOUT + RESPONSE_MARGIN
    ]


def check_graceful_stops(
    plan: Sequence[ScheduledFault],
    calls: Sequence[Call],
    observations: Observations,
) -> list[Violation]:
    """Check that stops and reloads cut off no running request.

    A call without a response counts as cut off if the request ran.  If the plan
    has no fault of targets or their paths, so does an error of the VM in place
    of the target's response.  VMs that the plan kills or freezes are exempt.

    :param plan: Faults that were injected.
    :param calls: Calls that have ended.
    :param observations: Observations of the targets.
    :return: One violation for each request that was cut off.
    """
    disrupted = _vms_with(plan, {VmFault.KILL, VmFault.FREEZE})
    ran = {run.request_id for run in observations.runs}
    cuts = {CallOutcome.LOST}
    if not any(
        isinstance(
            one.injection,
            TargetInjection | PathInjection | CutInjection | AnswerInjection,
        )
        for one in plan
    ):
        cuts.add(CallOutcome.MAY_HAVE_RUN)
    return [
        Violation('no request cut off', repr(call))
        for call in calls
        if call.outcome in cuts
        and call.entry not in disrupted
        and call.request_id in ran
    ]


def check_drains(
    plan: Sequence[ScheduledFault], observations: Observations
) -> list[Violation]:
    """Check that drained targets received no requests.

    Plans with faults of the store, paths or VMs are exempt, since a VM may then
    learn of the draining late.

    :param plan: Faults that were injected.
    :param observations: Observations of the targets.
    :return: One violation for each late request.
    """
    disrupting = STORE_FAULTS | PathInjection | VmInjection
    if any(isinstance(scheduled.injection, disrupting) for scheduled in plan):
        return []
    return list(observations.late_requests)


def check_limits(
    plan: Sequence[ScheduledFault],
    limits: Sequence[tuple[SoakTarget, float, float]],
) -> list[Violation]:
    """Check that VMs together keep the limits that targets name.

    Plans that kill, stop or freeze VMs are exempt, since the platform does not
    count what these send.

    :param plan: Faults that were injected.
    :param limits: Targets, and the times between which they named a limit.
    :return: One violation for each window with too many requests.
    """
    if _vms_with(plan, {VmFault.KILL, VmFault.STOP, VmFault.FREEZE}):
        return []
    found = []
    for target, since, until in limits:
        at = since + CONTACT_TIME - LIMIT_WINDOW
        while at + LIMIT_WINDOW <= until:
            # Requests that were sent before the VMs knew are not counted.
            start = max(at, since + KNOWN_TIME)
            end = at + LIMIT_WINDOW
            requests = sum(start <= one < end for one in target.arrivals)
            if requests > 1.5 * LIMIT * LIMIT_WINDOW + 5:
                detail = f'{target.name}: {requests} requests in a window'
                found.append(Violation('limit is kept', detail))
            at += 0.1
    return found


def check_warmups(
    plan: Sequence[ScheduledFault],
    cold: Sequence[tuple[SoakTarget, float, float]],
) -> list[Violation]:
    """Check that VMs together keep to what cold targets tolerate.

    Plans with faults of the store, with VMs that are frozen and with faults of
    paths to targets are exempt: a VM may not know that a target is cold, and
    requests may arrive together that were not sent together.

    :param plan: Faults that were injected.
    :param cold: Targets, and the times between which they were cold.
    :return: One violation for each target with too many requests in a second.
    """
    exempt = STORE_FAULTS | PathInjection | CutInjection
    if _vms_with(plan, {VmFault.FREEZE}) or any(
        isinstance(scheduled.injection, exempt) for scheduled in plan
    ):
        return []
    allowed = WARMUP_RATE * WARMUP_OVERRUN + WARMUP_SLACK
    found = []
    for target, since, until in cold:
        counted = [
            one for one in target.counted if since + COPY_BOUND <= one < until
        ]
        most = max(
            (sum(at <= one <= at + 1 for one in counted) for at in counted),
            default=0,
        )
        if most > allowed:
            detail = f'{target.name}: {most} requests in a second'
            found.append(Violation('warm-up is kept', detail))
    return found


def check_cut_vms(
    plan: Sequence[ScheduledFault], began: float, calls: Sequence[Call]
) -> list[Violation]:
    """Check that VMs that are cut off from targets serve their callers.

    They have to be served two thirds as often as others, from ``CONTACT_TIME``
    after the cut began.  Plans with other faults of VMs or the store, and those
    that cut off all VMs, are exempt.

    :param plan: Faults that were injected.
    :param began: Monotonic time at which the plan began, in seconds.
    :param calls: Calls that have ended.
    :return: One violation for each cut whose callers were not served.
    """
    cuts = [
        (one, f'vm{one.injection.vm}')
        for one in plan
        if isinstance(one.injection, CutInjection)
    ]
    cut_vms = {vm for _, vm in cuts}
    if len(cut_vms) >= VM_COUNT or any(
        isinstance(one.injection, VmInjection | STORE_FAULTS) for one in plan
    ):
        return []
    found = []
    for cut, vm in cuts:
        start = began + cut.start + CONTACT_TIME
        end = began + cut.start + cut.duration
        during = [one for one in calls if start <= one.began < end]
        own = [one for one in during if one.entry == vm]
        others = [one for one in during if one.entry not in cut_vms]
        failed = sum(one.outcome is not CallOutcome.ANSWERED for one in own)
        is_worse = _served_share(own) < _served_share(others) * 2 / 3
        if is_worse and failed > 10 + len(during) / 50:
            detail = f'{failed} of {len(own)} failed: {cut}'
            found.append(Violation('cut VMs serve', detail))
    return found


def _is_own_answer(call: Call) -> bool:
    reply = call.reply
    assert reply is not None
    if reply.headers.get('content-type') == PROBLEM_MEDIA_TYPE:
        return reply.status >= HTTPStatus.BAD_REQUEST
    is_sealed = 'response-seal' in reply.headers
    if is_sealed != (reply.status in RAN_STATUSES):
        return False
    try:
        return reply.document.get('echo') == call.request_id
    except ValueError:
        return False


def _served_share(calls: Sequence[Call]) -> float:
    served = sum(one.outcome is CallOutcome.ANSWERED for one in calls)
    return served / max(len(calls), 1)


def _vms_with(plan: Sequence[ScheduledFault], kinds: set[VmFault]) -> set[str]:
    return {
        f'vm{scheduled.injection.vm}'
        for scheduled in plan
        if isinstance(scheduled.injection, VmInjection)
        and scheduled.injection.fault in kinds
    }
