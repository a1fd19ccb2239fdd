"""Requests from a caller to a target and back, over real sockets."""

from __future__ import annotations

import anyio
import httpcore
import orjson
import pytest

from crashing_target import CrashingTarget, crashing
from direct_fleet import (
    KILLED_LEASE,
    DirectFleet,
    configuration,
    direct_fleet,
    free_address,
    is_ready,
    route,
)
from dogwoodmast.direct.directory_sync import SUSPECT_PERIOD
from dogwoodmast.direct.leadership import LEASE_TTL
from dogwoodmast.quarantine import MAX_CRASHES
from metadata_store import StoreFault
from platform_target import PlatformTarget, TargetFault

pytestmark = pytest.mark.anyio

SPREAD_TIME = 0.6
"""Time until all VMs know of a crash and the target is back, in seconds."""
RELIST_WINDOW = 2.0
"""Time after an outage of the store in which lapsed entries return, in
seconds; the platform's."""
SOON = 3.0
"""Time allowed for what must come soon, in seconds."""


def outcome(response: httpcore.Response) -> str:
    """Read the outcome that a problem tells."""
    return str(orjson.loads(response.content)['outcome'])


def retry_after(response: httpcore.Response) -> float:
    """Read when the caller is told to return."""
    headers = dict(response.headers)
    return float(headers[b'retry-after'])


async def test_request_reaches_the_holder_of_its_key() -> None:
    """The target gets the time left and its own name, and answers whole."""
    targets = [PlatformTarget(f's{number}', sharded=True) for number in (0, 1)]
    async with direct_fleet(*targets) as fleet:
        await fleet.await_ready()
        response = await fleet.ask(
            '/balance/a%20b?x=1', key=40_000, attempt='mine'
        )
        holder = next(one for one in targets if one.holds(40_000))
    assert response.status == 200
    assert response.content.startswith(holder.name.encode())
    assert dict(response.headers)[b'response-seal'] == b'sealed'
    assert dict(response.headers)[b'request-attempt-id'] == b'mine'
    assert holder.last['expected-instance'] == holder.name
    assert 0 < int(holder.last['request-deadline-ms']) <= 1500
    assert holder.last['path'] == '/balance/a%20b'


async def test_keys_are_dealt_to_all_targets() -> None:
    """Every key has just one holder."""
    targets = [PlatformTarget(f's{number}', sharded=True) for number in (0, 1)]
    async with direct_fleet(*targets) as fleet:
        await fleet.await_ready()
        await anyio.sleep(0.5)
        for key in range(0, 65_536, 512):
            assert sum(one.holds(key) for one in targets) == 1
        assert all(len(one.grants) > 20_000 for one in targets)


async def test_unknown_route_is_refused() -> None:
    """A path that no route takes is answered 404 at once."""
    async with direct_fleet(PlatformTarget('p')) as fleet:
        await fleet.await_ready()
        assert (await fleet.ask('/nothing/x')).status == 404


async def test_vm_without_configuration_is_not_ready() -> None:
    """Before it knows a configuration it answers 503, never 404."""
    async with direct_fleet(PlatformTarget('p'), document={}) as fleet:
        response = await fleet.ask('/payment/x', method='POST')
        assert response.status == 503
        assert outcome(response) == 'not_run'
        assert not await is_ready(fleet.readiness[0])


async def test_full_target_is_passed_over() -> None:
    """A request that a target refused runs once, on another."""
    full = PlatformTarget('full', fault=TargetFault.FULL)
    free = PlatformTarget('free')
    async with direct_fleet(full, free) as fleet:
        await fleet.await_ready()
        answers = [
            await fleet.ask('/payment/x', method='POST', body=b'1')
            for _ in range(20)
        ]
    assert {one.status for one in answers} == {200}
    assert not full.runs
    assert len(free.runs) == len(set(free.runs))


async def test_all_targets_full_is_not_run() -> None:
    """A request that nobody ran is told so, with a time to return."""
    async with direct_fleet(
        PlatformTarget('a', fault=TargetFault.FULL)
    ) as fleet:
        while not await is_ready(fleet.readiness[0]):
            await anyio.sleep(0.05)
        response = await fleet.ask('/payment/x', method='POST')
    assert response.status == 503
    assert outcome(response) == 'not_run'
    assert 0 < retry_after(response) * 2 <= 1


async def test_payment_whose_answer_is_lost_runs_once() -> None:
    """What may run once is never sent again, and not said to be not run."""
    targets = [PlatformTarget(name) for name in ('a', 'b')]
    async with direct_fleet(*targets) as fleet:
        await fleet.await_ready()
        for one in targets:
            one.fault = TargetFault.LOST
        response = await fleet.ask(
            '/payment/x', method='POST', attempt='once', body=b'1'
        )
    assert response.status == 502
    assert outcome(response) == 'may_have_run'
    runs = [*targets[0].runs, *targets[1].runs]
    assert runs.count('once') == 1


async def test_receipt_whose_answer_is_cut_comes_from_another() -> None:
    """An answer that breaks off is replaced by another target's."""
    cut = PlatformTarget('cut')
    whole = PlatformTarget('whole')
    async with direct_fleet(cut, whole) as fleet:
        await fleet.await_ready()
        cut.fault = TargetFault.CUT
        answers = [await fleet.ask('/receipt/x') for _ in range(8)]
    assert {one.status for one in answers} == {200}
    assert all(one.content.startswith(b'whole') for one in answers)


async def test_cut_answer_of_a_payment_is_not_passed_on() -> None:
    """No part of it looks like a whole answer."""
    target = PlatformTarget('cut')
    async with direct_fleet(target) as fleet:
        await fleet.await_ready()
        target.fault = TargetFault.CUT
        response = await fleet.ask('/payment/x', method='POST')
    assert response.status == 502


async def test_large_answer_that_is_cut_does_not_look_whole() -> None:
    """A caller notices that a streamed answer broke off."""
    target = PlatformTarget('large', size=4_000_000)
    async with direct_fleet(target) as fleet:
        await fleet.await_ready()
        assert len((await fleet.ask('/receipt/x')).content) == 4_000_000
        target.fault = TargetFault.CUT
        with pytest.raises(httpcore.RemoteProtocolError):
            await fleet.ask('/receipt/x')


async def test_answer_to_another_request_is_not_passed_on() -> None:
    """An answer with another attempt's identity is a failure."""
    target = PlatformTarget('foreign')
    async with direct_fleet(target) as fleet:
        await fleet.await_ready()
        target.fault = TargetFault.FOREIGN
        response = await fleet.ask('/payment/x', method='POST')
    assert response.status == 502
    assert b'foreign' not in response.content


async def test_failure_of_a_target_is_passed_on() -> None:
    """A target's own failure reaches the caller unchanged."""
    target = PlatformTarget('failing')
    async with direct_fleet(target) as fleet:
        await fleet.await_ready()
        target.fault = TargetFault.FAILING
        response = await fleet.ask('/payment/x', method='POST')
    assert response.status == 500
    assert dict(response.headers)[b'response-seal'] == b'sealed'


async def test_request_that_crashes_targets_is_held_back() -> None:
    """After two crashes no VM sends it on, and other requests go on."""
    targets = [CrashingTarget(free_address()) for _ in range(4)]
    async with crashing(*targets), direct_fleet(vms=2) as fleet:
        for number, target in enumerate(targets):
            fleet.addresses[f'p{number}'] = target.address
            fleet.targets[f'p{number}'] = PlatformTarget(f'p{number}')
            fleet.list_target(f'p{number}')
        await fleet.await_ready()
        for turn in range(6):
            response = await fleet.ask('/receipt/poison', vm=turn % 2)
            await anyio.sleep(SPREAD_TIME)
        assert response.status == 503
        assert outcome(response) == 'not_run'
        assert (await fleet.ask('/receipt/x')).status == 200
    assert sum(target.crashes for target in targets) == MAX_CRASHES


async def test_deadline_is_kept() -> None:
    """A request that takes too long is answered at its deadline."""
    target = PlatformTarget('slow')
    async with direct_fleet(target) as fleet:
        await fleet.await_ready()
        target.work = 5
        began = anyio.current_time()
        response = await fleet.ask('/payment/x', method='POST', patience=400)
        took = anyio.current_time() - began
    assert response.status == 504
    assert outcome(response) == 'may_have_run'
    assert 350 < took * 1000 < 900


async def test_work_of_a_caller_that_left_is_ended() -> None:
    """The target stops work soon after its caller has left."""
    target = PlatformTarget('slow')
    async with direct_fleet(target) as fleet:
        await fleet.await_ready()
        target.work = 5
        with anyio.move_on_after(0.3):
            await fleet.ask('/payment/x', method='POST')
        with anyio.fail_after(0.5):
            await await_idle(target)


async def await_idle(target: PlatformTarget) -> None:
    """Wait until a target runs nothing."""
    while target.running:
        await anyio.sleep(0.01)


async def test_leaving_target_gets_no_more_requests() -> None:
    """Its keys move, and within the bound nothing reaches it."""
    targets = [PlatformTarget(f's{number}', sharded=True) for number in (0, 1)]
    async with direct_fleet(*targets, vms=2) as fleet:
        await fleet.await_ready()
        fleet.list_target('s0', state='draining')
        await anyio.sleep(2)
        targets[0].runs.clear()
        for key in range(0, 65_536, 2048):
            response = await fleet.ask('/balance/x', key=key, vm=key % 2)
            assert response.status == 200, (key, response.content)
    assert not targets[0].runs


async def test_new_target_is_used() -> None:
    """A target that joins gets keys by their load."""
    targets = [PlatformTarget(f's{number}', sharded=True) for number in (0, 1)]
    async with direct_fleet(*targets) as fleet:
        fleet.unlist_target('s1')
        await fleet.await_ready()
        fleet.list_target('s1')
        with anyio.fail_after(2 * SOON):
            await ask_until_used(fleet, targets[1])


async def ask_until_used(fleet: DirectFleet, target: PlatformTarget) -> None:
    """Ask for many keys until a target has run a request."""
    key = 0
    while not target.runs:
        key = (key + 4099) % 65_536
        await fleet.ask('/balance/x', key=key)


@pytest.mark.parametrize(
    'fault', [StoreFault.SILENT, StoreFault.BUSY, StoreFault.LOST]
)
async def test_store_outage_does_not_end_service(fault: StoreFault) -> None:
    """Keys stay held for twice the coordinator's lease without a store."""
    target = PlatformTarget('s', sharded=True)
    async with direct_fleet(target, PlatformTarget('p')) as fleet:
        await fleet.await_ready()
        fleet.store.fault = fault
        end = anyio.current_time() + 2 * LEASE_TTL
        while anyio.current_time() < end:
            await anyio.sleep(0.2)
            assert (await fleet.ask('/balance/x', key=5)).status == 200
            assert (await fleet.ask('/payment/x')).status == 200
        fleet.store.fault = StoreFault.NONE


async def test_entries_that_lapse_in_an_outage_are_served_on() -> None:
    """They are back soon after the store's return, if the targets live."""
    targets = [PlatformTarget('s', sharded=True), PlatformTarget('p')]
    async with direct_fleet(*targets) as fleet:
        await fleet.await_ready()
        fleet.store.fault = StoreFault.BUSY
        await anyio.sleep(SUSPECT_PERIOD)
        for target in targets:
            fleet.unlist_target(target.name)
        fleet.store.fault = StoreFault.NONE
        await assert_served(fleet, RELIST_WINDOW - SPREAD_TIME)
        for target in targets:
            fleet.list_target(target.name)
        await assert_served(fleet, SOON)


async def assert_served(fleet: DirectFleet, lasting: float) -> None:
    """Check for a time that requests with and without a key are answered."""
    end = anyio.current_time() + lasting
    while anyio.current_time() < end:
        assert (await fleet.ask('/balance/x', key=5)).status == 200
        assert (await fleet.ask('/payment/x', method='POST')).status == 200
        await anyio.sleep(0.05)


async def test_coordinator_that_returns_goes_on_at_once() -> None:
    """Its next life does not wait until the lease of the last has ended."""
    target = PlatformTarget('s', sharded=True)
    async with direct_fleet(target, reign_left=True) as fleet:
        await fleet.await_ready()


async def test_coordinator_goes_on_as_soon_as_the_store_is_back() -> None:
    """An outage that outlasts its lease leaves its record in the way."""
    target = PlatformTarget('s', sharded=True)
    async with direct_fleet(target) as fleet:
        await fleet.await_ready()
        fleet.store.fault = StoreFault.BUSY
        fleet.content.pause_leases(KILLED_LEASE)
        await anyio.sleep(LEASE_TTL + 1)
        fleet.store.fault = StoreFault.NONE
        target.seen.clear()
        with anyio.fail_after(SUSPECT_PERIOD + SOON):
            while not target.seen:
                await anyio.sleep(0.05)


async def test_configuration_is_in_force_soon_and_never_older() -> None:
    """A new version counts within its bound, also after a lost history."""
    async with direct_fleet(PlatformTarget('p')) as fleet:
        await fleet.await_ready()
        routes = [route('added', 'idempotent', 'paiement')]
        document = configuration(2, routes=routes)
        fleet.content.put_document('op/config', document)
        fleet.content.forget()
        await anyio.sleep(1.5)
        assert (await fleet.ask('/added/x')).status == 200
        assert (await fleet.ask('/payment/x')).status == 404


async def test_entries_that_cannot_be_read_name_no_target() -> None:
    """Others keep serving beside them."""
    async with direct_fleet(PlatformTarget('p')) as fleet:
        await fleet.await_ready()
        fleet.content.put_bytes('servers/bad', b'\xff\x00')
        fleet.content.put_document('servers/odd', {'service': 'paiement'})
        fleet.list_target('p', slots='4')
        await anyio.sleep(1)
        fleet.list_target('p')
        await anyio.sleep(1)
        assert (await fleet.ask('/payment/x')).status == 200


HEAD = b'POST /payment/x HTTP/1.1\r\nHost: shop.example\r\n'
SMUGGLED = b'GET /payment/hidden HTTP/1.1\r\nHost: shop.example\r\n\r\n'


@pytest.mark.parametrize(
    'request_bytes',
    [
        b'%bContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef' % HEAD,
        b'%bContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'0\r\n\r\n%b' % (HEAD, SMUGGLED),
        b'%bTransfer-Encoding: chunked\r\n\r\nzz\r\n' % HEAD,
        b'%b\n' % HEAD.replace(b'\r\n', b'\n'),
        b'%bX-Folded: a\r\n b\r\n\r\n' % HEAD,
        b'%bContent-Length : 3\r\n\r\nabc' % HEAD,
        b'\x00\x01\x02\r\n\r\n',
    ],
)
async def test_broken_request_is_not_passed_on(request_bytes: bytes) -> None:
    """It gets 400 or a closed connection, and others go on."""
    target = PlatformTarget('p')
    async with direct_fleet(target) as fleet:
        await fleet.await_ready()
        target.runs.clear()
        address = fleet.callers[0]
        stream = await anyio.connect_tcp(address.host, address.port)
        async with stream:
            await stream.send(request_bytes)
            with anyio.move_on_after(1):
                answer = await stream.receive()
                assert answer.startswith(b'HTTP/1.1 400')
        assert not target.runs
        assert (await fleet.ask('/payment/x')).status == 200


async def test_body_beyond_the_limit_is_refused() -> None:
    """A body that is too large is answered 413 and not passed on."""
    target = PlatformTarget('p')
    async with direct_fleet(target) as fleet:
        await fleet.await_ready()
        target.runs.clear()
        response = await fleet.ask(
            '/payment/x', method='POST', body=b'x' * 100_001
        )
    assert response.status == 413
    assert not target.runs


async def test_headers_beyond_the_limit_are_refused() -> None:
    """Headers that are too large are answered 431 and not passed on."""
    target = PlatformTarget('p')
    async with direct_fleet(target) as fleet:
        await fleet.await_ready()
        target.runs.clear()
        response = await fleet.ask('/payment/x', attempt='x' * 17_000)
    assert response.status == 431
    assert not target.runs
