"""Tests of HTTP bodies that another writer made: nested, huge or cut off."""

import io
import json

from hypothesis import given
from hypothesis import strategies
import pytest
from returns import result

from poplarstep.edge import web
from poplarstep.programs import agent
from poplarstep.programs import operator_interface
from poplarstep.programs import target_interface

ANNOUNCEMENT = {
    'service': 'lookups', 'address': '127.0.0.1:80', 'incarnation': 1,
    'slots': 1, 'connections': 1}
HEARTBEAT = {
    'target': 'i-1', 'service': 'dispatch', 'started_at': 5000,
    'sequence': 4, 'slots': 2}
CONFIGURATION = {
    'revision': 7, 'services': [{'name': 'dispatch'}], 'routes': []}
PARSERS = (
    # name, function that parses a body, valid body
    ('announcement', agent.parse_announcement, ANNOUNCEMENT),
    ('heartbeat', target_interface.parse_heartbeat, HEARTBEAT),
    ('configuration', operator_interface.parse_configuration, CONFIGURATION),
)
NESTED = (b'[' * 5000 + b']' * 5000, b'{"a":' * 5000 + b'1' + b'}' * 5000)
json_values = strategies.recursive(
    strategies.none() | strategies.booleans() | strategies.integers()
    | strategies.floats() | strategies.text(max_size=9),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(max_size=9), inner, max_size=3),
    max_leaves=9)


@pytest.mark.parametrize('nested', NESTED, ids=['arrays', 'objects'])
@pytest.mark.parametrize(
    'parse, valid', [row[1:] for row in PARSERS],
    ids=[row[0] for row in PARSERS])
def test_nested_body_is_refused(parse, valid, nested):
    """Guards against a RecursionError that no handler catches."""
    text = json.dumps(valid).encode()
    for body in (nested, text[:-1] + b', "shelf": ' + nested + b'}'):
        assert isinstance(parse(body), result.Failure)
    for key in valid:
        changed = text.replace(
            json.dumps(valid[key]).encode(), nested, 1)
        assert isinstance(parse(changed), result.Failure)


@pytest.mark.parametrize(
    'parse, valid', [row[1:] for row in PARSERS],
    ids=[row[0] for row in PARSERS])
@given(
    position=strategies.integers(0, 9), value=json_values,
    cut=strategies.integers(0, 200))
def test_no_body_raises_in_its_parser(parse, valid, position, value, cut):
    """Guards against a body that ends in an exception, not in an error."""
    key = sorted(valid)[position % len(valid)]
    body = json.dumps({**valid, key: value}).encode()
    for data in (body, body[:cut]):
        assert isinstance(parse(data), (result.Success, result.Failure))


@pytest.mark.parametrize('error', [
    ValueError, KeyError, TypeError, RecursionError])
def test_a_handler_that_raises_answers_with_an_error(error):
    """Guards against a connection that breaks off without a response."""
    routes = web.Routes()

    @routes.route('POST', '/odd')
    def handler(body):
        raise error('odd')
    statuses = []
    content = routes(
        {'REQUEST_METHOD': 'POST', 'PATH_INFO': '/odd',
         'wsgi.input': io.BytesIO(b'')},
        lambda status, headers: statuses.append(status))
    assert statuses == ['400 Bad Request']
    assert b'odd' in content[0]


@pytest.mark.parametrize('changes, reason', [
    ({}, None),
    ({'started_at': 2**53}, 'is in the future'),
    ({'sequence': 2**53}, 'higher than the ms since the start'),
    ({'started_at': 2**53, 'sequence': 2**53}, 'is in the future'),
])
def test_an_odd_heartbeat_does_not_outdate_the_target(changes, reason):
    """Guards against an agent that follows its target no more.

    A start time or a sequence number far above those of the target made all
    later heartbeats of the target look outdated.
    """
    parsed = target_interface.parse_heartbeat(
        json.dumps({**HEARTBEAT, **changes}).encode())
    checked = parsed.bind(target_interface.check_heartbeat)
    if reason is None:
        assert checked.unwrap().sequence == HEARTBEAT['sequence']
    else:
        assert reason in checked.failure()


@pytest.mark.parametrize('code, refused', [
    (200, 0), (400, 1), (404, 1), (413, 1), (503, 0)])
def test_refused_requests_are_counted(code, refused):
    """Guards against odd bodies that no metric shows."""
    routes = web.Routes()

    @routes.route('POST', '/odd')
    def handler(body):
        return web.json_reply({}, code)
    routes(
        {'REQUEST_METHOD': 'POST', 'PATH_INFO': '/odd',
         'wsgi.input': io.BytesIO(b'')}, lambda status, headers: None)
    assert routes.counters.requests == 1
    assert routes.counters.refused == refused
