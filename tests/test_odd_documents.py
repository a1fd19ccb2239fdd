"""Documents of other writers: valid JSON, and not valid for what follows."""

from __future__ import annotations

import base64
import json
from typing import Any

import anyio
import pytest

from direct_fleet import OK, DirectFleet, direct_fleet, make_configuration
from dogwoodmast.address import Address, InvalidAddress
from dogwoodmast.direct.catalog import RouteTable, Target
from dogwoodmast.direct.directory import Directory
from dogwoodmast.key_value import Change, ChangePage
from dogwoodmast.platform.documents import (
    MAX_BORN,
    MAX_SLOTS,
    decode_catalog_item,
)
from platform_target import PlatformTarget

TAKEOVER_TIME = 8.0
"""Time within which a target's keys have moved to another one, in seconds."""
HUGE = 18_446_744_073_709_551_615
"""Greatest whole number that the JSON parser keeps."""
DEEP = '<deep>'
"""Stands for nested lists, as deep as the JSON parser takes them, which no
description can follow to their end."""
LONG_REASON = 400
"""Length of a log line's reason that is too long, in characters."""


def make_entry(**changes: Any) -> bytes:
    """Encode the listing of a target.

    :param changes: Fields that replace valid ones; those of ``None`` are left
        out.
    :return: Document as a target writes it.
    """
    document = {
        'service': 'solde',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'slots': 4,
        'state': 'ready',
        'born': 1,
        **changes,
    }
    return encode(document)


def encode(document: dict[str, Any], levels: int = 1000) -> bytes:
    """Encode a document with nested lists, which ``json`` cannot.

    :param document: Document in which ``DEEP`` stands for nested lists.
    :param levels: Depth of the lists.
    :return: JSON text.
    """
    nested = b'[' * levels + b']' * levels
    return json.dumps(document).encode().replace(b'"<deep>"', nested)


@pytest.mark.parametrize(
    'content',
    [
        make_entry(born=HUGE),
        make_entry(born=MAX_BORN + 1),
        make_entry(born=-1),
        make_entry(slots=HUGE),
        make_entry(slots=MAX_SLOTS + 1),
        make_entry(slots=10**18),
        make_entry(address='10.0.0.1:65536'),
        make_entry(address=f'10.0.0.1:{9:05000}'),
        make_entry(address='[fe80::1%\r\nx: y]:80'),
        make_entry(service='a\r\nx: y'),
        make_entry(zone=DEEP),
        make_entry(state=DEEP),
        make_entry(slots=DEEP),
        encode({'else': DEEP}, 2000),
        make_entry(born='?').replace(b'"?"', b'1e400'),
        make_entry(service='\ud800'),
    ],
)
def test_entry_out_of_range_names_no_target(content: bytes) -> None:
    """What cannot be stored, sent or placed later is no target."""
    assert decode_catalog_item('servers/odd', content) is None


@pytest.mark.parametrize('name', ['a\r\nx: y', 'a\0', '', ' a', 'é\ud800'])
def test_name_that_no_header_can_carry_names_no_target(name: str) -> None:
    """The name is sent in a header of each request."""
    assert decode_catalog_item(f'servers/{name}', make_entry()) is None


@pytest.mark.parametrize(
    'content',
    [
        make_entry(slots=MAX_SLOTS, born=MAX_BORN),
        make_entry(version=DEEP, sequence=HUGE, warmup_left_s='x'),
        make_entry(warmup_left_s=DEEP),
        make_entry(else_=DEEP),
    ],
)
def test_target_is_not_rejected_for_fields_that_are_not_needed(
    content: bytes,
) -> None:
    """Only what is used later is checked."""
    assert isinstance(decode_catalog_item('servers/t', content), Target)


def make_route_changes() -> list[dict[str, Any]]:
    """Make changes of a route that each make the configuration invalid.

    :return: Fields that replace valid ones.
    """
    return [
        {'name': 5},
        {'name': DEEP},
        {'name': 'a\r\nb'},
        {'allowed_regions': DEEP},
        {'timeout_s': DEEP},
        {'timeout_s': 1e300},
        {'priority': HUGE},
        {'priority': True},
        {'max_attempts': HUGE},
        {'prefix': DEEP},
        {'type': DEEP},
        {'service': DEEP},
        {'split': DEEP},
        {'split': [{'service': 'solde', 'weight': 1e300}]},
    ]


@pytest.mark.parametrize('change', make_route_changes())
def test_configuration_out_of_range_is_refused(change: dict[str, Any]) -> None:
    """A value that a message, a header or a timer cannot carry is refused."""
    document = make_configuration()
    before = decode_catalog_item('op/config', encode(document))
    document['routes'][0].update(change)
    after = decode_catalog_item('op/config', encode(document))
    assert isinstance(before, RouteTable)
    assert after is None


@pytest.mark.parametrize('version', ['1' * 17, 'f' * 16, '1_0', DEEP, 3])
def test_version_out_of_range_is_refused(version: Any) -> None:
    """The version is compared and shown as a number."""
    document = encode({**make_configuration(), 'version': version})
    assert decode_catalog_item('op/config', document) is None


@pytest.mark.parametrize(
    'text', ['1.2.3.4:+80', '1.2.3.4:8_0', '1.2.3.4:８０', '1.2.3.4: 80']
)
def test_port_of_an_address_has_plain_digits(text: str) -> None:
    """Whatever else ``int`` takes is not an address."""
    with pytest.raises(InvalidAddress):
        Address.parse(text)


def test_reason_of_an_odd_document_is_logged_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An entry that is read again, unchanged, adds no line."""
    lines: list[dict[str, Any]] = []
    for module in ('platform.documents', 'direct.directory'):
        monkeypatch.setattr(
            f'dogwoodmast.{module}.log_event',
            lambda _event, **details: lines.append(details),
        )
    copy = Directory(decode_catalog_item)
    content = make_entry(slots=HUGE, zone='z' * 5000)
    for revision in range(1, 4):
        change = Change('servers/odd', content, revision)
        copy.on_changes(ChangePage(revision, (change,)), revision)
    assert len(lines) == 1
    assert len(lines[0]['reason']) < LONG_REASON


def put_entry(fleet: DirectFleet, content: bytes) -> None:
    """Write the odd entry to the store.

    :param fleet: Running fleet.
    :param content: Value of the entry.
    """
    text = base64.b64encode(content).decode()
    fleet.content.write([{'key': 'servers/odd', 'value': text, 'lease': 0}], [])


async def serve_all(fleet: DirectFleet) -> set[int]:
    """Send a request for keys of all shards through each VM.

    :param fleet: Running fleet.
    :return: Statuses of the responses.
    """
    statuses = set()
    for vm, _ in enumerate(fleet.callers):
        for key in range(0, 65_536, 4096):
            response = await fleet.send_request('/balance/x', key=key, vm=vm)
            statuses.add(response.status)
    return statuses


async def wait_until_served(fleet: DirectFleet) -> None:
    """Wait until the keys of all shards are served by each VM.

    :param fleet: Running fleet.
    :raises TimeoutError: If that takes longer than ``TAKEOVER_TIME``.
    """
    with anyio.fail_after(TAKEOVER_TIME):
        while await serve_all(fleet) != {OK}:
            await anyio.sleep(0.1)


async def wait_until_unused(fleet: DirectFleet, target: PlatformTarget) -> None:
    """Wait until the keys of all shards are served without a target.

    Until the VMs have read that its listing was removed, it serves its keys.

    :param fleet: Running fleet.
    :param target: Target whose listing was removed.
    :raises TimeoutError: If that takes longer than ``TAKEOVER_TIME``.
    """
    count = -1
    with anyio.fail_after(TAKEOVER_TIME):
        while count != len(target.runs):
            count = len(target.runs)
            if await serve_all(fleet) != {OK}:
                count = -1
                await anyio.sleep(0.1)


@pytest.mark.anyio
@pytest.mark.parametrize(
    'changes',
    [{'born': HUGE}, {'slots': HUGE}, {'zone': DEEP}, {'address': '1.2.3.4:0'}],
)
async def test_odd_entry_ends_no_process_and_stops_no_following(
    changes: dict[str, Any],
) -> None:
    """The coordinator ended, and each of its successors, for such an entry."""
    targets = [PlatformTarget(name, sharded=True) for name in ('t1', 't2')]
    async with direct_fleet(*targets, vms=2) as fleet:
        put_entry(fleet, make_entry(**changes))
        await fleet.wait_until_ready()
        put_entry(fleet, make_entry(**changes, sequence=2))
        await wait_until_served(fleet)
        assert targets[1].runs
        fleet.unlist_target('t2')
        await wait_until_unused(fleet, targets[1])
        count = len(targets[1].runs)
        assert await serve_all(fleet) == {OK}
        assert len(targets[1].runs) == count
