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
    r"""Return a strategy for what a message field may hold."""
    if hint in VALUES_BY_TYPE:
        return VALUES_BY_TYPE[hint]
    if typing.get_origin(hint) in (typing.Union, types.UnionType):
        return strategies.one_of([
            values(item) for item in typing.get_args(hint)])
    hints = typing.get_type_hints(hint.__init__)
    return strategies.builds(hint, *[
        values(hints[name]) for name in inspect.signature(hint).parameters])


# Anything that the codec can express, also on a socket where it does not
# belong; a caller or a host with the cluster key may send all of it.
messages = strategies.one_of([values(item) for item in (
    packet.Open, packet.Request, packet.Cancel, packet.Close, packet.Opened,
    packet.Answer, packet.Refused, packet.Forwarded, packet.OpenOutcome)])


@strategies.composite
def damaged(draw):
    r"""Return an encoded message that was cut, extended or changed."""
    data = bytearray(PACKETS.encode(draw(messages)))
    for _ in range(draw(strategies.integers(0, 3))):
        position = draw(strategies.integers(0, len(data) - 1))
        data[position] = draw(strategies.integers(0, 255))
    cut = draw(strategies.integers(0, len(data)))
    return bytes(data[:cut]) if draw(strategies.booleans()) else (
        bytes(data) + draw(strategies.binary(max_size=9)))


bodies = strategies.binary(max_size=80) | damaged() | messages.map(
    PACKETS.encode)


class Wire:
    r"""Socket that checks what it is asked to send."""

    __slots__ = ()

    def send(self, destination, data):
        assert 0 <= destination.port <= 65535
        assert len(data) <= datagrams.MAXIMUM_DATAGRAM_BYTES
        assert address.to_bytes(destination)


NOWHERE = types.SimpleNamespace(
    send=lambda item: None, call=None, cancel=None)


def fill(catalogue, incarnation):
    catalogue.apply([
        model.Change(1, model.DataCentre('gs-a', 1, False, 1)),
        model.Change(2, model.Service(
            'lookups', 1, SERVICE, 0, 1000, (), 2)),
        model.Change(3, model.Target(
            'lookups/0', 1, 1, 1, AGENT, incarnation, 1, 1, 10, False, False,
            3)),
    ])


def frame(body):
    return proxy_header.encode(CALLER, SERVICE, body)


def balancer_task():
    pipeline, _, state = balancer_assembly.make_pipeline(
        SETTINGS, 3, random.Random(1), clock.now_ms())
    fill(state.catalogue, 3)
    return tasks.Task('b', pipeline, timer.TimerQueue(), (
        balancer.make_performers(PACKETS, Wire(), Wire(), NOWHERE, state)))


def agent_task():
    pipeline, state, _ = agent_assembly.make_pipeline(SETTINGS, 3)
    fill(state.catalogue, 3)
    performers = agent.make_performers(PACKETS, Wire(), NOWHERE, NOWHERE)
    performers.update({
        message.TargetState: lambda item: (),
        message.CancelCall: lambda item: (),
        message.CallTarget: lambda item: [
            message.TargetAnswered(item.key, b'answer', 1.0)],
    })
    task = tasks.Task('a', pipeline, timer.TimerQueue(), performers)
    task.process(message.TargetState('lookups', AGENT, 1, 1, 10, 1, False))
    return task


# Socket: its decoder, how a body is framed, and the task behind it.
SOCKETS = (
    ('front', balancer.make_front_decoder, frame, balancer_task),
    ('back', balancer.make_back_decoder, bytes, balancer_task),
    ('agent', agent.make_decoder, bytes, agent_task),
)


@pytest.mark.parametrize(
    'make_decoder, framed, make_task', [row[1:] for row in SOCKETS],
    ids=[row[0] for row in SOCKETS])
@given(batch=strategies.lists(bodies, min_size=1, max_size=20))
def test_no_datagram_ends_a_reader_or_a_task(
        make_decoder, framed, make_task, batch):
    # An exception out of a decoder ends the reader, one out of a stage the
    # process.
    decode = make_decoder(PACKETS)
    task = make_task()
    for body in batch:
        for data in (body, framed(body)):
            decoded = decode(SOURCE, data)
            if type(decoded) is not result.Failure:
                assert isinstance(decoded, record.Record)
                task.process(decoded)


REFUSED = (
    b'', b'\x01', b'\x02' + PACKETS.encode(packet.Open(1))[1:],
    b'\x01\x92\xa7Unknown\x01', b'\x01\x91\xa4Open',
    b'\x01\x92\xa4Open\xa11', b'\x01' + b'\x91' * 5000,
    PACKETS.encode(packet.Open(1)) + b'\x00',
    PACKETS.encode(packet.Request(
        1, token.Token(1, 1, 1, AGENT, 3, 1), 1, False, 1, 1, b'x' * 1201)),
)


@pytest.mark.parametrize('body', REFUSED)
def test_front_refuses_what_is_not_of_this_protocol(body):
    """Guards against foreign datagrams that reach the pipeline."""
    decoded = balancer.make_front_decoder(PACKETS)(SOURCE, frame(body))
    assert type(decoded) is result.Failure


ANNOUNCEMENT = {
    'service': 'lookups', 'address': '127.0.0.1:80', 'incarnation': 1,
    'slots': 1, 'connections': 1}
BAD_FIELDS = (
    {'slots': 0}, {'slots': 2**70}, {'connections': '2'}, {'address': 'a:1'},
    {'service': 'x' * 101}, {'service': ''}, {'cold_limit': -1},
    {'unknown': 1}, {'incarnation': 1.5}, {'leaving': None},
)


@pytest.mark.parametrize('holds', [True, False])
def test_no_packet_is_sent_after_a_pause_that_outlasts_the_lease(holds):
    # A process may be stopped between the decision and the send (R4).
    sent = []
    state = types.SimpleNamespace(
        confirmed=lambda now: holds,
        counters=types.SimpleNamespace(paused=0))
    performers = balancer.make_performers(
        PACKETS, None, types.SimpleNamespace(
            send=lambda *arguments: sent.append(arguments)), NOWHERE, state)
    performers[effect.SendPacket](
        effect.SendPacket(AGENT, packet.Open(1)))
    assert (len(sent), state.counters.paused) == (
        (1, 0) if holds else (0, 1))


@pytest.mark.parametrize('change', BAD_FIELDS)
def test_announcement_with_a_wrong_field_is_refused(change):
    # What an agent accepts is replicated to every node.
    body = codec.msgspec.json.encode({**ANNOUNCEMENT, **change})
    outcome = agent.parse_announcement(body)
    assert outcome.failure().startswith(('announcement: ', 'address '))


@given(body=strategies.binary(max_size=60))
def test_no_announcement_raises(body):
    """Guards against an announcement that raises in the HTTP handler."""
    assert isinstance(agent.parse_announcement(body), result.Failure)
