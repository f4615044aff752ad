"""Tests of whole configurations that replace one another."""

import pytest

from poplarstep.configuration import command
from poplarstep.configuration import machine as machines
from poplarstep.configuration import model
from poplarstep.configuration import replacement
from poplarstep.core import address

PLACES = tuple(
    address.Address('198.18.0.%d' % number, 80) for number in range(4))
SERVICES = tuple(
    command.WantedService(name, 0.0) for name in ('dispatch', 'certs'))


def route(number, service='dispatch', **changes):
    """Return a route of the operator."""
    return command.WantedRoute(
        'r-%d' % number, PLACES[number], False, 1, 500, 100,
        (command.ServiceShare(service, 1),)).replace(**changes)


def wanted(revision, routes=(route(0), route(1)), services=SERVICES):
    """Return a whole configuration."""
    return command.ReplaceConfiguration(
        revision, services, tuple(routes), 15_000,
        b'document %d' % revision)


def apply(machine, body):
    """Apply a command that needs no identity."""
    return machines.apply_command(
        machine, command.Command('', 0, command.ANY_VERSION, body))


@pytest.mark.parametrize('revisions, held, version', [
    pytest.param((3,), 3, 1, id='first'),
    pytest.param((3, 3), 3, 1, id='resend'),
    pytest.param((3, 5, 4), 5, 2, id='older one arrives late'),
    pytest.param((3, 5, 4, 9), 9, 3, id='uneven steps'),
])
def test_highest_revision_is_in_force(revisions, held, version):
    """Guards against a configuration that goes back."""
    machine = machines.Machine()
    for revision in revisions:
        assert apply(machine, wanted(revision)).status == command.APPLIED
    assert machine.catalogue.policy.revision == held
    assert machine.document == b'document %d' % held
    assert machine.catalogue.version == version


def test_other_content_under_the_same_revision_changes_nothing():
    """Guards against content that nobody can tell apart by its number."""
    machine = machines.Machine()
    apply(machine, wanted(3))
    apply(machine, wanted(3, routes=[route(2)]))
    assert sorted(machine.catalogue.route_by_name) == ['r-0', 'r-1']


@pytest.mark.parametrize('body, words', [
    (wanted(1, [route(0, 'nowhere')]), 'unknown service'),
    (wanted(1, [route(0), route(0).replace(name='r-9')]), 'the address'),
    (wanted(1, [route(0), route(1).replace(name='r-0')]), 'the name'),
    (wanted(1, [route(0, timeout_ms=0)]), 'time limit'),
    (wanted(1, [route(0, shares=())]), 'no service'),
    (wanted(1, [route(0, shares=(
        command.ServiceShare('certs', 0),))]), 'no service'),
    (wanted(1, services=SERVICES + SERVICES), 'same name'),
])
def test_invalid_configuration_is_refused_whole(body, words):
    """Guards against an invalid configuration in force, even in part."""
    machine = machines.Machine()
    outcome = apply(machine, body)
    assert outcome.status == command.REFUSED
    assert words in outcome.reason
    assert machine.catalogue.version == 0 and machine.document == b''


def test_only_differences_are_sent_to_nodes():
    """Guards against whole configurations on their way to every node."""
    machine = machines.Machine()
    apply(machine, wanted(3))
    apply(machine, wanted(4, [route(0), route(1, timeout_ms=900)]))
    bodies = [change.body for change in machine.catalogue.changes
              if change.version == 2]
    assert {type(body) for body in bodies} == {model.Route, model.Policy}
    assert len(bodies) == 2


def test_routes_may_exchange_their_addresses():
    """Guards against a route that is lost when another takes its place."""
    machine = machines.Machine()
    apply(machine, wanted(3))
    apply(machine, wanted(4, [
        route(0, address=PLACES[1]), route(1, address=PLACES[0])]))
    found = machine.catalogue.route_by_address
    assert {place: found[place].name for place in PLACES[:2]} == {
        PLACES[0]: 'r-1', PLACES[1]: 'r-0'}


def test_removed_route_and_service_are_gone():
    """Guards against flows by a route that operators dropped."""
    machine = machines.Machine()
    apply(machine, wanted(3))
    apply(machine, wanted(4, [route(1)], SERVICES[:1]))
    assert list(machine.catalogue.route_by_name) == ['r-1']
    assert list(machine.catalogue.service_by_name) == ['dispatch']


def test_snapshot_keeps_the_document():
    """Guards against a configuration that a restart forgets."""
    machine = machines.Machine()
    apply(machine, wanted(3))
    other = machines.Machine()
    machines.restore_snapshot(other, machines.take_snapshot(machine))
    assert other.document == machine.document
    assert other.catalogue.route_by_name == machine.catalogue.route_by_name
    assert other.next_route == machine.next_route


def test_find_fault_accepts_weighted_services():
    """Guards against refusing a route with several services."""
    shares = (command.ServiceShare('dispatch', 90),
              command.ServiceShare('certs', 10))
    assert replacement.find_fault(wanted(1, [route(0, shares=shares)])) == ''
