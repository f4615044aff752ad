"""Tests of decoders and pipelines under malformed and hostile input."""

import inspect
import random
import types
import typing

from hypothesis import given
from hypothesis import strategies
import pytest
from returns import result

from poplarstep.configuration import model
from poplarstep.core import address
from poplarstep.core import effect
from poplarstep.core import record
from poplarstep.core import timer
from poplarstep.edge import clock
from poplarstep.edge import codec
from poplarstep.edge import datagrams
from poplarstep.edge import proxy_header
from poplarstep.edge import task as tasks
from poplarstep.flow import packet
from poplarstep.flow import token
from poplarstep.programs import agent
from poplarstep.programs import balancer
from poplarstep.requests import assembly as agent_assembly
from poplarstep.requests import message
from poplarstep.routing import assembly as balancer_assembly

SEALER = token.Sealer([b'key of these tests'])
PACKETS = codec.make_data_path_codec(SEALER)
SOURCE = ('127.0.0.9', 9)
CALLER = address.Address('127.0.0.8', 8)
SERVICE = address.Address('127.0.0.7', 7)
AGENT = address.Address('127.0.0.6', 6)
SETTINGS = {
    'node': 'lookups/0', 'data-centre': 'gs-a', 'agent-address': AGENT,
    'upstreams': (AGENT,), 'without-control': 'serve', 'selector': 'random',
    'opens-per-second': 10**6, 'flow-idle': 1000, 'answer-bytes': 65536,
    'queue-length': 16}

integers = strategies.integers(-2**63, 2**64 - 1) | strategies.integers(0, 3)
tokens = strategies.builds(
    token.Token, strategies.integers(0, 2), strategies.integers(0, 2),
    strategies.integers(0, 2), strategies.just(AGENT),
    strategies.integers(0, 3), strategies.integers(0, 3))
VALUES_BY_TYPE = {
    int: integers, bool: strategies.booleans(),
    str: strategies.text(max_size=20), float: strategies.floats(),
    bytes: strategies.binary(max_size=40), token.Token: tokens,
    address.Address: strategies.builds(
        address.Address, strategies.ip_addresses(v=4).map(str),
        strategies.integers(0, 65535)),
}


def values(hint):
    r"""Return a strategy for the values of a field with a type hint."""
    if hint in VALUES_BY_TYPE:
        return VALUES_BY_TYPE[hint]
    if typing.get_origin(hint) in (typing.Union, types.UnionType):
        return strategies.one_of([
            values(item) for item in typing.get_args(hint)])
    hints = typing.get_type_hints(hint.__init__)
    return strategies.builds(hint, *[
        values(hints[name]) for name in inspect.signature(hint).parameters])


# All messages that the codec can encode. Every socket gets all of them, since
# a caller, or a host with the cluster key, may send any of them to it.
messages = strategies.one_of([values(item) for item in (
    packet.Open, packet.Request, packet.Cancel, packet.Close, packet.Opened,
    packet.Answer, packet.Refused, packet.Forwarded, packet.OpenOutcome)])


@strategies.composite
def damaged_messages(draw):
    r"""Return an encoded message, changed and then truncated or extended."""
    data = bytearray(PACKETS.encode(draw(messages)))
    for _ in range(draw(strategies.integers(0, 3))):
        position = draw(strategies.integers(0, len(data) - 1))
        data[position] = draw(strategies.integers(0, 255))
    length = draw(strategies.integers(0, len(data)))
    return bytes(data[:length]) if draw(strategies.booleans()) else (
        bytes(data) + draw(strategies.binary(max_size=9)))


bodies = strategies.binary(max_size=80) | damaged_messages() | messages.map(
    PACKETS.encode)


class CheckedSocket:
    r"""Socket stub that checks each datagram and its destination."""

    __slots__ = ()

    def send(self, destination, data):
        assert 0 <= destination.port <= 65535
        assert len(data) <= datagrams.MAXIMUM_DATAGRAM_BYTES
        assert address.to_bytes(destination)


# Stub of the control links and of the target client.
STUB = types.SimpleNamespace(
    send=lambda item: None, call=None, cancel=None)


def add_configuration(catalogue, incarnation):
    catalogue.apply([
        model.Change(1, model.DataCentre('gs-a', 1, False, 1)),
        model.Change(2, model.Service(
            'lookups', 1, SERVICE, 0, 1000, (), 2)),
        model.Change(3, model.Target(
            'lookups/0', 1, 1, 1, AGENT, incarnation, 1, 1, 10, False, False,
            3)),
    ])


def add_proxy_header(body):
    return proxy_header.encode(CALLER, SERVICE, body)


def balancer_task():
    pipeline, _, state = balancer_assembly.make_pipeline(
        SETTINGS, 3, random.Random(1), clock.now_ms())
    add_configuration(state.catalogue, 3)
    return tasks.Task('b', pipeline, timer.TimerQueue(), (
        balancer.make_performers(
            PACKETS, CheckedSocket(), CheckedSocket(), STUB, state)))


def agent_task():
    pipeline, state, _ = agent_assembly.make_pipeline(SETTINGS, 3)
    add_configuration(state.catalogue, 3)
    performers = agent.make_performers(PACKETS, CheckedSocket(), STUB, STUB)
    performers.update({
        message.TargetState: lambda item: (),
        message.CancelCall: lambda item: (),
        message.CallTarget: lambda item: [
            message.TargetAnswered(item.key, b'answer', 1.0)],
    })
    task = tasks.Task('a', pipeline, timer.TimerQueue(), performers)
    task.process(message.TargetState('lookups', AGENT, 1, 1, 10, 1, False))
    return task


# Name, decoder, function that wraps a body, and the task that gets messages.
SOCKETS = (
    ('front', balancer.make_front_decoder, add_proxy_header, balancer_task),
    ('back', balancer.make_back_decoder, bytes, balancer_task),
    ('agent', agent.make_decoder, bytes, agent_task),
)


@pytest.mark.parametrize(
    'make_decoder, wrap, make_task', [row[1:] for row in SOCKETS],
    ids=[row[0] for row in SOCKETS])
@given(batch=strategies.lists(bodies, min_size=1, max_size=20))
def test_no_datagram_ends_a_reader_or_a_task(
        make_decoder, wrap, make_task, batch):
    # An exception in a decoder would end the socket reader, an exception in a
    # stage the process.
    decode = make_decoder(PACKETS)
    task = make_task()
    for body in batch:
        for data in (body, wrap(body)):
            decoded = decode(SOURCE, data)
            if type(decoded) is not result.Failure:
                assert isinstance(decoded, record.Record)
                task.process(decoded)


REFUSED_BODIES = (
    b'', b'\x01', b'\x02' + PACKETS.encode(packet.Open(1))[1:],
    b'\x01\x92\xa7Unknown\x01', b'\x01\x91\xa4Open',
    b'\x01\x92\xa4Open\xa11', b'\x01' + b'\x91' * 5000,
    PACKETS.encode(packet.Open(1)) + b'\x00',
    PACKETS.encode(packet.Request(
        1, token.Token(1, 1, 1, AGENT, 3, 1), 1, False, 1, 1, b'x' * 1201)),
)


@pytest.mark.parametrize('body', REFUSED_BODIES)
def test_front_refuses_what_is_not_of_this_protocol(body):
    """Guards against invalid datagrams that reach the pipeline."""
    decoded = balancer.make_front_decoder(PACKETS)(
        SOURCE, add_proxy_header(body))
    assert type(decoded) is result.Failure


ANNOUNCEMENT = {
    'service': 'lookups', 'address': '127.0.0.1:80', 'incarnation': 1,
    'slots': 1, 'connections': 1}
INVALID_FIELDS = (
    {'slots': 0}, {'slots': 2**70}, {'connections': '2'}, {'address': 'a:1'},
    {'service': 'x' * 101}, {'service': ''}, {'cold_limit': -1},
    {'unknown': 1}, {'incarnation': 1.5}, {'leaving': None},
)


@pytest.mark.parametrize('lease_holds', [True, False])
def test_no_packet_is_sent_after_a_pause_that_outlasts_the_lease(lease_holds):
    # A process may be paused between the decision and the send. A data centre
    # that is taken out receives no more packets after 3 s.
    sent = []
    state = types.SimpleNamespace(
        confirmed=lambda now: lease_holds,
        counters=types.SimpleNamespace(paused=0))
    performers = balancer.make_performers(
        PACKETS, None, types.SimpleNamespace(
            send=lambda *arguments: sent.append(arguments)), STUB, state)
    performers[effect.SendPacket](
        effect.SendPacket(AGENT, packet.Open(1)))
    assert (len(sent), state.counters.paused) == (
        (1, 0) if lease_holds else (0, 1))


@pytest.mark.parametrize('change', INVALID_FIELDS)
def test_announcement_with_a_wrong_field_is_refused(change):
    # An accepted announcement is replicated to every node.
    body = codec.msgspec.json.encode({**ANNOUNCEMENT, **change})
    outcome = agent.parse_announcement(body)
    assert outcome.failure().startswith(('announcement: ', 'address '))


@given(body=strategies.binary(max_size=60))
def test_no_announcement_raises(body):
    """Guards against an announcement that raises in the HTTP handler."""
    assert isinstance(agent.parse_announcement(body), result.Failure)
