"""The platform's names stay in the adapter, and decode to the right things."""

from __future__ import annotations

import json
import pathlib
import re
import tomllib

import pytest
from hypothesis import given
from hypothesis import strategies as st

import dogwoodmast
from dogwoodmast.direct.catalog import RouteTable, Target
from dogwoodmast.direct.settings import Bounds, read_direct_settings
from dogwoodmast.platform.documents import decode_catalog_item
from dogwoodmast.platform.headers import (
    parse_request_headers,
    parse_response_headers,
    remaining_time_header,
)
from dogwoodmast.settings import parse_toml_settings

ROOT = pathlib.Path(dogwoodmast.__file__).parent
NAMES = (
    'request-attempt-id',
    'request-deadline-ms',
    'shard-key',
    'expected-instance',
    'not-executed',
    'response-seal',
    '/api/grant',
    'kv-txn',
    'op/config',
    'hold_s',
    'max_conns',
    'objective_s',
    'timeout_s',
    'ttl_s_time',
    'as_of',
    'wait_ms',
)


@pytest.mark.parametrize('name', NAMES)
def test_name_stays_in_the_adapter(name: str) -> None:
    """No module outside ``platform/`` knows a name of the wire."""
    word = re.compile(rf'(?<![a-z_]){re.escape(name)}(?![a-z_])')
    users = [
        path.relative_to(ROOT).as_posix()
        for path in ROOT.rglob('*.py')
        if word.search(path.read_text().lower())
    ]
    assert users
    assert all(user.startswith('platform/') for user in users)


@given(st.binary(max_size=200))
def test_any_bytes_name_no_target(content: bytes) -> None:
    """What cannot be read is left out instead of failing the reader."""
    for key in ('servers/x', 'op/config', 'else'):
        found = decode_catalog_item(key, content)
        assert found is None or isinstance(found, (Target, RouteTable))


@given(
    st.dictionaries(
        st.sampled_from(('service', 'address', 'zone', 'slots', 'state')),
        st.none() | st.integers() | st.text(max_size=8) | st.booleans(),
    )
)
def test_odd_entries_name_no_target(document: dict[str, object]) -> None:
    """Fields that are missing or of another type name no target."""
    assert (
        decode_catalog_item('servers/x', json.dumps(document).encode()) is None
    )


def test_caller_headers_that_cannot_be_read_count_as_missing() -> None:
    """A wrong number is not a reason to fail a request."""
    fields = parse_request_headers(
        [(b'request-deadline-ms', b'-5'), (b'shard-key', b'70000')]
    )
    assert fields.caller_timeout is None
    assert fields.shard_key is None


def test_reply_is_read() -> None:
    """A refusal of the target is told from its answers."""
    refused = parse_response_headers([(b'not-executed', b'1')])
    assert refused.not_run
    assert not refused.sealed
    assert remaining_time_header(0.0001)[1] == b'1'


def test_settings_template_has_the_products_form() -> None:
    """Rendered with the platform's fields, it is a settings file."""
    template = ROOT.parent.parent / 'deploy' / 'settings.toml'
    text = template.read_text()
    for name, found in (
        ('{{node}}', 'front-1'),
        ('{{zone}}', 'a'),
        ('{{ip}}', '10.0.0.1'),
        ('{{listen.front}}', '10.0.0.1:1'),
        ('{{listen.ready}}', '10.0.0.1:2'),
        ('{{internal_port_range.0}}', '3'),
        ('{{platform.address}}', '10.0.0.2:5'),
        ('{{.}}', '7'),
    ):
        text = text.replace(name, found)
    lines = [line.partition('}}')[2] for line in text.splitlines()]
    bounds = [line.partition('{{')[0] for line in lines if line]
    plain = [line for line in text.splitlines() if '{{' not in line]
    settings = parse_toml_settings(
        '\n'.join(plain + bounds), 'x', read_direct_settings
    )
    assert tomllib.loads('\n'.join(plain))['vm']['name'] == 'front-1'
    assert settings.bounds == Bounds(7, 7, 7, 7, 7, 7)
