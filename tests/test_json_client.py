"""Client for calls to the store: connections that go silent."""

from __future__ import annotations

from contextlib import suppress

import anyio
import pytest

from direct_fleet import free_address
from dogwoodmast.clock import SystemClock
from dogwoodmast.direct.json_client import MAX_DOCUMENT_BYTES, JsonClient
from dogwoodmast.errors import PlatformAnswerLost
from dogwoodmast.platform.store import MetadataStore

pytestmark = pytest.mark.anyio

RESPONSE = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}'
OPEN_CALLS = 3
"""Number of calls made at once, and so of idle connections afterwards."""


async def test_large_body_on_a_thin_link_is_not_given_up() -> None:
    """The body takes longer than the time limit, but keeps arriving."""

    async def accept(stream: anyio.abc.SocketStream) -> None:
        await stream.receive()
        await stream.send(b'HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\n')
        for _ in range(6):
            await anyio.sleep(0.1)
            arriving.append(client.is_arriving)
            await stream.send(b'x')

    arriving: list[bool] = []
    address = free_address()
    client = JsonClient(address, SystemClock())
    listener = await anyio.create_tcp_listener(
        local_host=address.host, local_port=address.port
    )
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, accept)
        response = await client.call('GET', '/', timeout=0.3)
        await client.aclose()
        tasks.cancel_scope.cancel()
    assert (response.status, response.content) == (200, b'xxxxxx')
    # No other read of the store may begin meanwhile.
    assert len(arriving) == 6
    assert all(arriving)
    assert not client.is_arriving


async def test_response_that_stopped_arriving_keeps_no_other_read_back() -> (
    None
):
    """The store fell silent, or the packets were lost, in the body."""

    async def accept(stream: anyio.abc.SocketStream) -> None:
        await stream.receive()
        await stream.send(b'HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nx')
        await anyio.sleep_forever()

    async def call() -> None:
        with pytest.raises(PlatformAnswerLost):
            await client.call('GET', '/', timeout=1.5)

    address = free_address()
    client = JsonClient(address, SystemClock())
    listener = await anyio.create_tcp_listener(
        local_host=address.host, local_port=address.port
    )
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, accept)
        async with anyio.create_task_group() as callers:
            callers.start_soon(call)
            with anyio.fail_after(1):
                while not client.is_arriving:
                    await anyio.sleep(0.01)
            # A quarter of the shortest bound, as for any other step.
            with anyio.move_on_after(0.5):
                while client.is_arriving:
                    await anyio.sleep(0.01)
            was_arriving = client.is_arriving
        await client.aclose()
        tasks.cancel_scope.cancel()
    assert not was_arriving


@pytest.mark.parametrize('is_reset', [False, True])
async def test_one_call_is_lost_although_all_idle_connections_are_silent(
    is_reset: bool,
) -> None:
    """Something on the path has lost track of all open connections.

    Bytes that are not acknowledged reset a connection before the time limit.
    """
    silent_streams: set[anyio.abc.SocketStream] = set()
    streams: set[anyio.abc.SocketStream] = set()

    async def accept(stream: anyio.abc.SocketStream) -> None:
        streams.add(stream)
        with suppress(anyio.BrokenResourceError):
            async for request in stream:
                assert request.startswith(b'GET /')
                await anyio.sleep(0.05)
                if stream not in silent_streams:
                    await stream.send(RESPONSE)
                elif is_reset:
                    await stream.aclose()
                    return

    address = free_address()
    client = JsonClient(address, SystemClock())
    listener = await anyio.create_tcp_listener(
        local_host=address.host, local_port=address.port
    )
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, accept)
        async with anyio.create_task_group() as callers:
            for _ in range(OPEN_CALLS):
                callers.start_soon(client.call, 'GET', '/')
        assert len(streams) == OPEN_CALLS
        silent_streams.update(streams)
        with pytest.raises(PlatformAnswerLost):
            await client.call('GET', '/', timeout=0.2)
        response = await client.call('GET', '/', timeout=0.2)
        await client.aclose()
        tasks.cancel_scope.cancel()
    assert response.status == 200


async def test_repeated_response_counts_as_the_value_of_another_key() -> None:
    """The key is in the item, so that it tells which read it belongs to."""
    item = b'{"key": "op/a", "value": "YQ==", "revision": 1, "as_of": 1}'

    async def accept(stream: anyio.abc.SocketStream) -> None:
        with suppress(anyio.BrokenResourceError):
            async for _ in stream:
                head = b'HTTP/1.1 200 OK\r\ncontent-length: %d' % len(item)
                await stream.send(b'%b\r\n\r\n%b' % (head, item))

    address = free_address()
    store = MetadataStore(address, SystemClock())
    listener = await anyio.create_tcp_listener(
        local_host=address.host, local_port=address.port
    )
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, accept)
        assert (await store.read('op/a')).revision == 1
        with pytest.raises(PlatformAnswerLost):
            await store.read('op/b')
        await store.aclose()
        tasks.cancel_scope.cancel()


async def test_document_without_end_is_not_read_on() -> None:
    """Guards against a process that keeps all of it until the time is over."""

    async def accept(stream: anyio.abc.SocketStream) -> None:
        await stream.receive()
        await stream.send(b'HTTP/1.1 200 OK\r\n\r\n')
        with suppress(anyio.BrokenResourceError):
            while True:
                await stream.send(piece)
                sent.append(len(piece))

    piece = b'x' * 262_144
    sent: list[int] = []
    address = free_address()
    client = JsonClient(address, SystemClock())
    listener = await anyio.create_tcp_listener(
        local_host=address.host, local_port=address.port
    )
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, accept)
        with pytest.raises(PlatformAnswerLost):
            await client.call('GET', '/', timeout=60)
        await client.aclose()
        tasks.cancel_scope.cancel()
    assert sum(sent) <= 2 * MAX_DOCUMENT_BYTES
