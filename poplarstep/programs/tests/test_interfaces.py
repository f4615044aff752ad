"""Tests of the HTTP bodies of targets and operators of opaque flows."""

import json

import pytest
from returns import result

from poplarstep.configuration import command
from poplarstep.core import address
from poplarstep.programs import operator_interface
from poplarstep.programs import target_interface

HEARTBEAT = {
    'target': 'i-1', 'service': 'dispatch', 'started_at': 5000,
    'sequence': 4, 'slots': 2}
ROUTE = {
    'name': 'r-1', 'address': '198.18.0.1:443', 'idempotent': False,
    'timeout_ms': 600, 'shares': [{'service': 'dispatch'}]}
CONFIGURATION = {
    'revision': 7, 'services': [{'name': 'dispatch'}], 'routes': [ROUTE]}
REFUSED_HEARTBEATS = (
    {'service': 5}, {'service': ''}, {'target': None}, {'slots': 0},
    {'sequence': -1}, {'started_at': 1.5}, {'leaving': 'no'},
    {'cold': 3},
)
REFUSED_CONFIGURATIONS = (
    # Changes, text in the reason.
    ({'revision': 'x'}, 'revision'),
    ({'services': []}, 'unknown service dispatch'),
    ({'routes': [ROUTE, ROUTE]}, 'two routes have the name r-1'),
    ({'routes': [ROUTE, {**ROUTE, 'name': 'r-2'}]},
     'two routes have the address'),
    ({'routes': [{**ROUTE, 'timeout_ms': 0}]}, 'no time limit'),
    ({'routes': [{**ROUTE, 'address': 'nowhere'}]}, 'route r-1'),
    ({'routes': [{**ROUTE, 'shares': []}]}, 'no service takes flows'),
    ({'limits': {}}, 'limits'),
)


def test_heartbeat_fields():
    """Guards against heartbeat fields in the wrong order."""
    body = {**HEARTBEAT, 'leaving': True, 'cold_ms': 900}
    heartbeat = target_interface.parse_heartbeat(
        json.dumps(body).encode()).unwrap()
    assert (heartbeat.identity, heartbeat.service, heartbeat.slots) == (
        'i-1', 'dispatch', 2)
    assert (heartbeat.started_at, heartbeat.sequence) == (5000, 4)
    assert (heartbeat.leaving, heartbeat.cold_ms) == (True, 900)


@pytest.mark.parametrize('changes', REFUSED_HEARTBEATS)
def test_wrong_heartbeat_is_refused(changes):
    """Guards against a target whose state comes from an invalid heartbeat."""
    body = {key: value for key, value in {**HEARTBEAT, **changes}.items()
            if value is not None}
    assert isinstance(target_interface.parse_heartbeat(
        json.dumps(body).encode()), result.Failure)


@pytest.mark.parametrize('body', [b'', b'{', b'[]', b'\xff\xfe'])
@pytest.mark.parametrize('parse', [
    target_interface.parse_heartbeat,
    operator_interface.parse_configuration])
def test_unreadable_body_is_refused(parse, body):
    """Guards against a body that raises an exception in its handler."""
    assert isinstance(parse(body), result.Failure)


def test_configuration_fields():
    """Guards against route fields in the wrong order."""
    body = json.dumps(CONFIGURATION).encode()
    wanted = operator_interface.parse_configuration(body).unwrap()
    assert wanted.revision == 7
    assert wanted.services == (command.WantedService('dispatch', 0.0),)
    assert wanted.routes == (command.WantedRoute(
        'r-1', address.Address('198.18.0.1', 443), False, 0, 600, 0,
        (command.ServiceShare('dispatch', 1),)),)


@pytest.mark.parametrize('changes, reason', REFUSED_CONFIGURATIONS)
def test_invalid_configuration_is_refused_with_the_reason(changes, reason):
    """Guards against a configuration that is applied only in part."""
    parsed = operator_interface.parse_configuration(
        json.dumps({**CONFIGURATION, **changes}).encode())
    assert reason in parsed.failure()
