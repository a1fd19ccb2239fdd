"""End-to-end tests with separate processes in three zones."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from dogwoodmast.configuration import RequestKind
from fleet import make_configuration, new_request_id, wait_until

if TYPE_CHECKING:
    from fleet import Fleet


def test_requests_from_every_entry_vm(fleet: Fleet) -> None:
    """Every entry VM gets every key answered by its owner.

    Guards against wrong forwarding between zones: responses of another key,
    or payments for one key that are run by several back ends, which shows in
    the value that they count up.
    """
    for payments, entry in enumerate(fleet.plan.entries, start=1):
        for number in range(8):
            reply = fleet.request(
                entry.name, 'GET', f'/balance/m{number}/washes'
            )
            assert reply.document['key'] == f'm{number}'
        request_id = new_request_id()
        reply = fleet.pay(entry.name, 'member', request_id)
        assert reply.status == 200, reply.document
        assert reply.document['request_id'] == request_id
        assert reply.document['value'] == payments


def test_second_version_takes_effect(fleet: Fleet) -> None:
    """A second configuration version takes effect in every zone.

    Guards against entry VMs that keep routing by the first version.
    """
    first = make_configuration(fleet.plan)
    service = first.services[0]
    kind = RequestKind('refund', ('DELETE',), True, 2.0)
    second = attrs.evolve(
        first,
        services=(attrs.evolve(service, kinds=(*service.kinds, kind)),),
    )
    entry = fleet.plan.entries[0].name
    assert fleet.request(entry, 'DELETE', '/balance/m/x').status == 405
    fleet.apply(second, base=1)
    for entry_vm in fleet.plan.entries:
        wait_until(
            lambda name=entry_vm.name: (
                fleet.request(name, 'DELETE', '/balance/m/x').status == 200
            )
        )


def test_bad_requests_get_typed_problems(fleet: Fleet) -> None:
    """Invalid requests get a problem of the right type and affect no others.

    Guards against a wrong status or type, and against an outcome other than
    ``not_run`` for requests that were never sent to a back end.
    """
    entry = fleet.plan.entries[0].name
    expected_problems = {
        ('GET', '/nowhere/k/x'): (404, 'unknown-service'),
        ('GET', '/balance'): (400, 'invalid-key'),
        ('GET', '/balance/%ff/x'): (400, 'invalid-key'),
        ('PATCH', '/balance/k/x'): (405, 'method-not-configured'),
        ('POST', '/balance/k/x'): (428, 'request-id-required'),
    }
    for (method, path), (status, slug) in expected_problems.items():
        reply = fleet.request(entry, method, path)
        assert reply.status == status
        assert str(reply.document['type']).endswith(slug)
        assert reply.document['outcome'] == 'not_run'
    assert fleet.request(entry, 'GET', '/balance/k/x').status == 200
