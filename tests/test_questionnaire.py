"""Configurations from questionnaires, and the messages for mistakes."""

from __future__ import annotations

import pathlib
import re

import attrs
import pytest

from dogwoodmast.commands.questionnaire import read_template
from dogwoodmast.configuration import Configuration, RequestKind, Service
from dogwoodmast.input_errors import InvalidInput, Mistake
from dogwoodmast.questionnaire import (
    Questionnaire,
    check_configuration,
    load_questionnaire,
    parse_questionnaire,
)

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
VALID = """\
[[zones]]
name = "north"

[[zones]]
name = "south"

[[services]]
name = "accounts"
partitions = 64
slots = 6
connections = 130
targets = [
    { name = "a1", zone = "north", address = "10.1.1.1:80" },
    { name = "a2", zone = "south", address = "10.1.2.1:80" },
]

[[services.kinds]]
name = "read"
methods = ["GET"]
idempotent = true
deadline = 2.0
attempts = 3

[[services.kinds]]
name = "write"
methods = ["POST", "PUT"]
idempotent = false
deadline = 5.0
path = "/w"
"""
"""Questionnaire without mistakes, to which the cases are applied."""
SERVICE = 'services[accounts]'
"""Key path of the service in messages."""
READ = f'{SERVICE}.kinds[read]'
WRITE = f'{SERVICE}.kinds[write]'
A1 = f'{SERVICE}.targets[a1]'
A2 = f'{SERVICE}.targets[a2]'


@attrs.frozen
class Case:
    """Replacement that makes the valid questionnaire invalid."""

    name: str
    """Name of the test case."""
    old: str
    """Text of the valid questionnaire to replace."""
    new: str
    """Replacement text."""
    message: str
    """Expected message."""


CASES = (
    Case(
        'not TOML',
        'slots = 6',
        'slots = = 6',
        'line 10: $: not valid TOML: Invalid value (at line 10, column 9)',
    ),
    Case(
        'key twice',
        'slots = 6',
        'slots = 6\nslots = 7',
        'line 11: $: not valid TOML: Cannot overwrite a value '
        '(at line 11, column 10)',
    ),
    Case(
        'unknown key',
        'attempts = 3',
        'atempts = 3',
        f"line 22: {READ}.atempts: unknown key 'atempts'; "
        "did you mean 'attempts'?",
    ),
    Case(
        'unknown key at the root',
        '[[zones]]\nname = "north"',
        'version = 3\n[[zones]]\nname = "north"',
        "line 1: version: unknown key 'version'; "
        'known keys are services, zones',
    ),
    Case(
        'missing key',
        'partitions = 64\n',
        '',
        f"line 7: {SERVICE}: 'partitions' is missing; expected a power of "
        'two from 1 to 65536; add a line partitions = ...',
    ),
    Case(
        'missing idempotent',
        'idempotent = false\n',
        '',
        f"line 24: {WRITE}: 'idempotent' is missing; expected true or "
        'false; add a line idempotent = ...',
    ),
    Case(
        'wrong type for a number',
        'partitions = 64',
        'partitions = "64"',
        f'line 9: {SERVICE}.partitions: found text; expected a power of two '
        'from 1 to 65536',
    ),
    Case(
        'boolean for a number',
        'slots = 6',
        'slots = true',
        f'line 10: {SERVICE}.slots: found a boolean; expected an integer '
        'from 1 to 10000',
    ),
    Case(
        'number for a name',
        'name = "accounts"',
        'name = 7',
        'line 8: services[1].name: found an integer; expected a name of '
        'letters, digits, ".", "_" and "-", at most 64 characters',
    ),
    Case(
        'name with a slash',
        'name = "accounts"',
        'name = "a/b"',
        "line 8: services[a/b].name: 'a/b' is not valid; expected a name "
        'of letters, digits, ".", "_" and "-", at most 64 characters',
    ),
    Case(
        'not a power of two',
        'partitions = 64',
        'partitions = 100',
        f'line 9: {SERVICE}.partitions: 100 is not a power of two; '
        'the nearest ones are 64 and 128',
    ),
    Case(
        'fewer partitions than targets',
        'partitions = 64',
        'partitions = 1',
        f'line 9: {SERVICE}.partitions: 1 partitions cannot be spread over '
        '2 targets; at least 8 partitions per target are recommended: 16',
    ),
    Case(
        'unknown zone',
        'zone = "south"',
        'zone = "sooth"',
        f"line 14: {A2}.zone: 'sooth' is unknown; expected one of 'north', "
        "'south'; did you mean 'south'?",
    ),
    Case(
        'address without port',
        '"10.1.1.1:80"',
        '"10.1.1.1"',
        f"line 13: {A1}.address: '10.1.1.1' is not valid; expected an "
        'address such as "10.1.1.11:8080"',
    ),
    Case(
        'address by host name',
        '"10.1.1.1:80"',
        '"server:80"',
        f"line 13: {A1}.address: 'server:80' is not valid; expected an "
        'address such as "10.1.1.11:8080"',
    ),
    Case(
        'address twice',
        '"10.1.2.1:80"',
        '"10.1.1.1:80"',
        f"line 14: {A2}.address: address '10.1.1.1:80' is used twice; "
        f'it is first used at line 13: {A1}.address',
    ),
    Case(
        'target twice',
        'name = "a2"',
        'name = "a1"',
        f"line 14: {A1}.name: target 'a1' is used twice; it is first used "
        f'at line 13: {A1}.name',
    ),
    Case(
        'zone twice',
        'name = "south"',
        'name = "south"\n\n[[zones]]\nname = "north"',
        "line 8: zones[north].name: zone 'north' is used twice; it is first "
        'used at line 2: zones[north].name',
    ),
    Case(
        'kind twice',
        'name = "write"',
        'name = "read"',
        f"line 25: {READ}.name: kind 'read' is used twice; it is first used "
        f'at line 18: {READ}.name',
    ),
    Case(
        'zero slots',
        'slots = 6',
        'slots = 0',
        f'line 10: {SERVICE}.slots: 0 is out of range; expected an integer '
        'from 1 to 10000',
    ),
    Case(
        'more slots than connections',
        'address = "10.1.1.1:80"',
        'address = "10.1.1.1:80", slots = 200',
        f'line 13: {A1}: 200 slots need at least as many connections, but '
        'the target accepts 130; lower slots or raise connections',
    ),
    Case(
        'non-idempotent with attempts',
        'path = "/w"',
        'path = "/w"\nattempts = 2',
        f"line 30: {WRITE}.attempts: kind 'write' is not idempotent and "
        'cannot have 2 attempts; expected 1; remove attempts, or set '
        'idempotent = true if repeating is safe',
    ),
    Case(
        'kind that never matches',
        'methods = ["POST", "PUT"]',
        'methods = ["GET"]',
        f"line 24: {WRITE}: kind 'write' never matches, since 'read' "
        'matches all its requests first; put the kind with the longer path '
        'first',
    ),
    Case(
        'unknown method',
        '"PUT"',
        '"PUTT"',
        f"line 26: {WRITE}.methods[2]: 'PUTT' is unknown; expected one of "
        "'DELETE', 'GET', 'HEAD', 'OPTIONS', 'PATCH', 'POST', 'PUT'; did "
        "you mean 'PUT'?",
    ),
    Case(
        'method twice',
        '"PUT"',
        '"POST"',
        f"line 26: {WRITE}.methods[2]: method 'POST' is used twice; it is "
        f'first used at line 26: {WRITE}.methods[1]',
    ),
    Case(
        'no method',
        '["GET"]',
        '[]',
        f'line 19: {READ}.methods: the list is empty; expected at least one '
        'HTTP method',
    ),
    Case(
        'text for a list',
        '["GET"]',
        '"GET"',
        f'line 19: {READ}.methods: found text; expected a list whose '
        'entries are each text',
    ),
    Case(
        'deadline of zero',
        'deadline = 2.0',
        'deadline = 0',
        f'line 21: {READ}.deadline: 0 is out of range; expected a number '
        'greater than 0 and at most 300 seconds',
    ),
    Case(
        'deadline that is not a number',
        'deadline = 2.0',
        'deadline = nan',
        f'line 21: {READ}.deadline: nan is out of range; expected a number '
        'greater than 0 and at most 300 seconds',
    ),
    Case(
        'path without a slash',
        'path = "/w"',
        'path = "w"',
        f"line 29: {WRITE}.path: 'w' is not valid; expected the beginning "
        'of a path, such as "/" or "/receipts"',
    ),
    Case(
        'unknown preference',
        'slots = 6',
        'slots = 6\nprefer = "availabilty"',
        f"line 11: {SERVICE}.prefer: 'availabilty' is unknown; expected one "
        "of 'availability', 'stability'; did you mean 'availability'?",
    ),
    Case(
        'header in upper case',
        'slots = 6',
        'slots = 6\ncustomer_header = "Customer"',
        f"line 11: {SERVICE}.customer_header: 'Customer' is not valid; "
        'expected the name of an HTTP header in lower case',
    ),
    Case(
        'retry budget above one',
        'slots = 6',
        'slots = 6\nretry_budget = 10',
        f'line 11: {SERVICE}.retry_budget: 10 is out of range; expected a '
        'number of at least 0 and at most 1 retries per request',
    ),
    Case(
        'target that is not a table',
        '{ name = "a2", zone = "south", address = "10.1.2.1:80" }',
        '"a2"',
        f'line 14: {SERVICE}.targets[2]: found text; expected a table (target)',
    ),
)


def parse(text: str) -> Questionnaire:
    """Parse the text of a questionnaire.

    :raises InvalidInput: If the text has mistakes.
    """
    return parse_questionnaire(text, 'q.toml')


def mistakes_in(text: str) -> tuple[Mistake, ...]:
    """Return the mistakes of an invalid questionnaire.

    :raises AssertionError: If the text is valid.
    """
    try:
        parse(text)
    except InvalidInput as invalid:
        return invalid.mistakes
    raise AssertionError('no mistake was reported')


@pytest.mark.parametrize('case', CASES, ids=lambda case: case.name)
def test_mistake_is_reported(case: Case) -> None:
    """Each mistake gives one message with its line and key path.

    Guards against mistakes that are accepted, and against messages that do
    not name the place or follow from another mistake.
    """
    assert VALID.count(case.old) >= 1
    found = mistakes_in(VALID.replace(case.old, case.new, 1))
    assert [str(one) for one in found] == [case.message]


def test_all_mistakes_are_reported_at_once() -> None:
    """Mistakes in several places are reported together, in line order.

    Guards against a check that stops at the first mistake.  Mistakes that
    hide others, such as invalid TOML, are not combined with them.
    """
    text = VALID
    excluded = (
        'key twice',
        'not TOML',
        'unknown key at the root',
        'kind twice',
    )
    cases = [case for case in CASES if case.name not in excluded]
    applied = []
    for case in cases:
        if case.old in text and '\n' not in case.new + case.old:
            text = text.replace(case.old, case.new, 1)
            applied.append(case)
    found = mistakes_in(text)
    lines = [one.place.line for one in found]
    assert len(applied) > 10
    assert len(found) >= len(applied) - 4
    assert lines == sorted(lines)


@pytest.mark.parametrize(
    ('old', 'new', 'caution'),
    [
        (
            'idempotent = true',
            'idempotent = false',
            'declares GET as non-idempotent; HTTP clients and caches may '
            'repeat it',
        ),
        (
            'zone = "south"',
            'zone = "north"',
            "service 'accounts' has no target in south",
        ),
        (
            'slots = 6',
            'slots = 6\nretry_budget = 0',
            'retry_budget of 0 allows no retry',
        ),
        (
            'slots = 6',
            'slots = 6\non_zone_loss = "move"',
            "'move' is not implemented in this release; "
            "it is treated as 'hold'",
        ),
        (
            'slots = 6',
            'slots = 6\nfrozen_requests = "refuse"',
            "'refuse' is not implemented in this release; "
            "it is treated as 'wait'",
        ),
    ],
)
def test_cautions_are_not_mistakes(old: str, new: str, caution: str) -> None:
    """A value that may not be intended gives a caution but is accepted.

    Guards against cautions that are missing or that refuse the
    questionnaire.
    """
    text = VALID.replace(old, new, 1)
    if 'idempotent = false' in new:
        text = text.replace('attempts = 3\n', '')
    questionnaire = parse(text)
    assert any(caution in str(one) for one in questionnaire.cautions)


@pytest.mark.parametrize(
    ('name', 'zones', 'targets', 'slots', 'connections'),
    [
        (
            'dakar',
            ('plateau', 'pikine', 'almadies'),
            {'balance': 20, 'payment': 10, 'statement': 6, 'queue': 6},
            6,
            130,
        ),
        (
            'kenya',
            ('central-1', 'central-2', 'central-3', 'central-4'),
            {'search': 16, 'filing': 8, 'copies': 8, 'history': 8},
            4,
            50,
        ),
    ],
)
def test_examples_have_the_stated_sizes(
    name: str,
    zones: tuple[str, ...],
    targets: dict[str, int],
    slots: int,
    connections: int,
) -> None:
    """The examples give the zones, targets and slots of both deployments.

    Guards against examples that are invalid, give cautions or differ in size
    from the deployments that they describe.
    """
    questionnaire = load_questionnaire(EXAMPLES / f'{name}.toml')
    configuration = questionnaire.configuration
    assert not questionnaire.cautions
    assert tuple(zone.name for zone in configuration.zones) == zones
    assert targets == {
        service.name: len(service.targets) for service in configuration.services
    }
    for service in configuration.services:
        for target in service.targets:
            assert (target.slots, target.connections) == (slots, connections)


def test_template_is_valid_and_complete() -> None:
    """The template is valid and contains every key of a questionnaire.

    Guards against a new key that the template does not mention.
    """
    template = read_template()
    assert not parse(template).cautions
    documented = set(re.findall(r'^(?:# )?(\w+) = ', template, re.MULTILINE))
    documented_inline = set(re.findall(r'[{,] (\w+) = ', template))
    fields = {
        field.name
        for cls in (Service, RequestKind)
        for field in attrs.fields(cls)
    }
    tables = {'kinds'}
    assert fields - tables <= documented
    assert {
        'name',
        'zone',
        'address',
        'slots',
        'connections',
    } <= documented_inline


def test_configuration_document_passes_same_checks() -> None:
    """A configuration document is checked like a questionnaire.

    Guards against an edited configuration document that puts invalid values
    in force.
    """
    configuration = parse(VALID).configuration
    check_configuration(configuration, 'c.json')
    invalid = _with_partitions(configuration, 63)
    with pytest.raises(InvalidInput) as caught:
        check_configuration(invalid, 'c.json')
    assert [str(one) for one in caught.value.mistakes] == [
        f'{SERVICE}.partitions: 63 is not a power of two; '
        'the nearest ones are 32 and 64'
    ]


def _with_partitions(
    configuration: Configuration, partitions: int
) -> Configuration:
    services = tuple(
        attrs.evolve(service, partitions=partitions)
        for service in configuration.services
    )
    return attrs.evolve(configuration, services=services)
