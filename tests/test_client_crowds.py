"""Entry VM, as a process of its own, beside clients outside the limits."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import pytest

from client_crowd import Crowd, Flood, Trickle
from direct_fleet import HOST
from small_vm import SmallVm, small_vm

if TYPE_CHECKING:
    import pathlib
    from collections.abc import AsyncIterator

pytestmark = pytest.mark.anyio

FLOODING_CLIENTS = 20
FLOOD_TIME = 3.0
"""Time for which clients send as fast as they can, in seconds."""
SLOW_CLIENTS = 40
WAITING_CLIENTS = 300
"""More clients than the process has descriptors."""
SLOW_TIME = 20.0
"""Longest time for which slow clients wait for their end, in seconds; ten
times the longest limit of the configuration."""
WAITING_TIME = 4.0
"""Time for which more clients than descriptors are there, in seconds."""
HEAD = f'Host: {HOST}\r\nRequest-Attempt-Id: a\r\n'.encode()
GET = b'GET /receipt/x HTTP/1.1\r\n%b' % HEAD
POST = b'POST /receipt/x HTTP/1.1\r\n%b' % HEAD
CHUNKED = b'%bTransfer-Encoding: chunked\r\n\r\n' % POST
BARE = b'GET / HTTP/1.1\r\n\r\n'
LONG = b'y' * 1000
FLOODS = (
    pytest.param(Flood(b'x-a: %b\r\n' % LONG, GET), id='header lines'),
    pytest.param(Flood(b'a:\r\n', GET), id='empty headers'),
    pytest.param(Flood(LONG, b'%bx-a: ' % GET), id='one header'),
    pytest.param(Flood(LONG, b'GET /'), id='url'),
    pytest.param(Flood(LONG), id='no request line'),
    pytest.param(
        Flood(b'x-a: %b\r\n' % LONG, b'%b0\r\n' % CHUNKED), id='trailers'
    ),
    pytest.param(Flood(b'a:\r\n', b'%b0\r\n' % CHUNKED), id='empty trailers'),
    pytest.param(Flood(LONG, b'%b0\r\nx-a: ' % CHUNKED), id='one trailer'),
    pytest.param(Flood(b'1;%b=b\r\nx\r\n' % LONG, CHUNKED), id='extensions'),
    pytest.param(Flood(LONG, b'%b1;a=' % CHUNKED), id='one extension'),
    pytest.param(Flood(b'1\r\nx\r\n', CHUNKED), id='small chunks'),
    pytest.param(
        Flood(LONG, b'%bContent-Length: 9999999999\r\n\r\n' % POST), id='body'
    ),
    pytest.param(Flood(b'\r\n'), id='empty lines'),
    pytest.param(
        Flood(b'\r\n', b'%b\r\n' % GET), id='empty lines behind a request'
    ),
    pytest.param(Flood(BARE), id='bare requests'),
    pytest.param(
        Flood(BARE, read_interval=0.01), id='bare requests, read slowly'
    ),
    pytest.param(Flood(BARE, is_abandoned=True), id='bare requests, left'),
    pytest.param(Flood(b'%b\r\n' % GET), id='requests'),
    pytest.param(
        Flood(b'%b\r\n' % GET, is_abandoned=True), id='requests, left'
    ),
    pytest.param(
        Flood(b'%bContent-Length: 1000\r\n\r\n%b' % (POST, LONG)), id='posts'
    ),
    pytest.param(
        Flood(
            b'%bConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n'
            b'HTTP2-Settings: AAMAAABk\r\n\r\n' % GET
        ),
        id='offers',
    ),
    pytest.param(
        Flood(b'GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n'),
        id='http/1.0',
    ),
)
"""What clients send without end."""
TRICKLES = (
    pytest.param(Trickle(), id='nothing'),
    pytest.param(Trickle(start=b'GET /receipt/x HT'), id='half a line'),
    pytest.param(Trickle(start=GET), id='half a head'),
    pytest.param(Trickle(b'a:\r\n', GET), id='headers'),
    pytest.param(Trickle(b'\r\n'), id='empty lines'),
    pytest.param(
        Trickle(b'\r\n', b'%b\r\n' % GET), id='empty lines behind a request'
    ),
    pytest.param(
        Trickle(b'x', b'%bContent-Length: 9999\r\n\r\n' % POST), id='body'
    ),
    pytest.param(
        Trickle(start=b'%bContent-Length: 9999\r\n\r\n' % POST),
        id='half a body',
    ),
    pytest.param(Trickle(b'a:\r\n', b'%b0\r\n' % CHUNKED), id='trailers'),
    pytest.param(
        Trickle(b'x', b'POST / HTTP/1.1\r\nContent-Length: 9999\r\n\r\n'),
        id='body behind its answer',
    ),
)
"""What clients send slowly without end."""


@pytest.fixture
async def vm(tmp_path: pathlib.Path) -> AsyncIterator[SmallVm]:
    """Run a small entry VM."""
    async with small_vm(tmp_path) as running:
        yield running


@pytest.mark.parametrize('flood', FLOODS)
async def test_bytes_without_end_take_all_memory(
    vm: SmallVm, flood: Flood
) -> None:
    """Clients send as fast as they can, and most of them read nothing."""
    crowd = Crowd(vm.callers, flood, FLOODING_CLIENTS, FLOOD_TIME)
    vm.check(await vm.bear(crowd))


@pytest.mark.parametrize(
    'flood',
    [
        pytest.param(Flood(BARE), id='bare requests'),
        pytest.param(Flood(b'a:\r\n', GET), id='empty headers'),
        pytest.param(Flood(LONG, b'\x00\xff\xff\xff'), id='long frame'),
    ],
)
@pytest.mark.parametrize('name', ['readiness', 'metrics', 'relay', 'links'])
async def test_bytes_without_end_at_another_address_take_all_memory(
    vm: SmallVm, name: str, flood: Flood
) -> None:
    """They come from inside of the deployment, by a fault."""
    crowd = Crowd(vm.others[name], flood, FLOODING_CLIENTS, FLOOD_TIME)
    vm.check(await vm.bear(crowd))


@pytest.mark.parametrize('trickle', TRICKLES)
async def test_unfinished_request_is_never_ended(
    vm: SmallVm, trickle: Trickle
) -> None:
    """Each client goes on until its connection is closed."""
    crowd = Crowd(vm.callers, trickle, SLOW_CLIENTS, SLOW_TIME)
    await anyio.to_thread.run_sync(crowd.run)
    assert crowd.ended == SLOW_CLIENTS
    assert await vm.send() == 200


@pytest.mark.parametrize('trickle', TRICKLES)
async def test_more_clients_than_descriptors_keep_others_out(
    vm: SmallVm, trickle: Trickle
) -> None:
    """Descriptors are needed for targets, the store and other VMs too."""
    crowd = Crowd(vm.callers, trickle, WAITING_CLIENTS, WAITING_TIME)
    vm.check(await vm.bear(crowd))


async def test_more_links_than_descriptors_keep_others_out(
    vm: SmallVm,
) -> None:
    """Other VMs open them, by a fault, and say nothing."""
    crowd = Crowd(vm.others['links'], Trickle(), WAITING_CLIENTS, WAITING_TIME)
    vm.check(await vm.bear(crowd))
