r"""Fixtures of the tests of opaque flows: states and messages."""

import random

from poplarstep.configuration import catalogue as catalogues
from poplarstep.configuration import model
from poplarstep.core import address
from poplarstep.opaque_flows import agent
from poplarstep.opaque_flows import agent_state
from poplarstep.opaque_flows import balancer_state
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import placement
from poplarstep.opaque_flows import presence
from poplarstep.opaque_flows import segment as segments
from poplarstep.opaque_flows import target

CALLER = address.Address('100.64.0.7', 40001)
SERVICE_ADDRESS = address.Address('198.18.0.1', 8443)
UNROUTED_ADDRESS = address.Address('198.18.0.1', 9000)
FLOW = segments.flow_key(CALLER, SERVICE_ADDRESS)
AGENTS = tuple(
    address.Address('10.0.0.%d' % number, 7000) for number in range(4))
BALANCER = address.Address('10.0.1.1', 7100)
OTHER_BALANCER = address.Address('10.0.1.2', 7100)
# Service 1 has the targets 0 to 2, service 2 the target 3.
SERVICE, OTHER_SERVICE = 1, 2
# An incarnation is the Unix time of a start in nanoseconds: the agent starts
# at 9 s, and targets at 5 s unless a test says otherwise.
AGENT_INCARNATION = 9_000_000_000
# A cold target may start COLD_FLOWS_PER_S * COLD_FACTOR + COLD_SLACK flows per
# second.
COLD_FLOWS_PER_S = 2.0
COLD_FACTOR = 1.5
COLD_SLACK = 5.0
IDLE_LOAD = message.Load(0, 1, 20_000)


def make_catalogue():
    r"""Return a catalogue with two services, four targets and a route."""
    catalogue = catalogues.Catalogue()
    bodies = [
        model.Service(
            'dispatch', SERVICE, None, 0, 1000, (), 1, COLD_FLOWS_PER_S),
        model.Service(
            'certs', OTHER_SERVICE, None, 0, 1000, (), 1, COLD_FLOWS_PER_S),
        model.DataCentre('maadi', 1, False, 1),
        make_route(SERVICE),
        model.Policy(7, 15_000, 1),
    ] + [make_target(number) for number in range(4)]
    catalogue.apply([model.Change(1, body) for body in bodies])
    return catalogue


def make_route(service, number=1, route_address=SERVICE_ADDRESS):
    r"""Return a route with one service."""
    return model.Route(
        'r-%d' % number, number, route_address, False, 1, 2000, 150,
        (model.Share(service, 1),), 1)


def make_target(number, **changes):
    r"""Return a target of the catalogue."""
    service = OTHER_SERVICE if number == 3 else SERVICE
    return model.Target(
        'side-%d' % number, number, service, 1, AGENTS[number], 1, 1, 1, 1,
        False, False, 1).replace(**changes)


def make_balancer(catalogue=None, seed=1, survey_state=None):
    r"""Return the state of a balancer with a confirmed configuration."""
    generator = random.Random(seed)
    return balancer_state.make_flow_balancer(
        catalogue or make_catalogue(), lambda now: True,
        placement.make_placement('two-choices', generator), generator,
        survey_state)


def make_agent(
        catalogue=None, slots=1, request_queue='off', load_reports='off',
        dead_flows='reset', **fields):
    r"""Return the state of the agent of target 0.

    It has received a heartbeat at time 0, unless ``has_heartbeat`` is false.
    """
    state = agent_state.make_flow_agent({
        'node': 'side-0', 'data-centre': 'maadi',
        'agent-address': AGENTS[0], 'target-fresh': 1900,
        'flow-limit': 60_000, 'cold-factor': COLD_FACTOR,
        'cold-slack': COLD_SLACK, 'dead-flows': dead_flows,
        'request-queue': request_queue,
        'load-reports': load_reports,
    }, catalogue or make_catalogue(), AGENT_INCARNATION, now=0)
    if fields.pop('has_heartbeat', True):
        presence.PRESENCE.process(state, heartbeat(slots=slots, **fields), 0)
    return state


def heartbeat(**changes):
    r"""Return a heartbeat of the target of service 1."""
    return target.Heartbeat(
        0, 'i-1', 'dispatch', 5000, 1, 1, False, 0).replace(**changes)


def segment(flow=FLOW, opening=False, data=0, closing=False, returned=False,
            sequence=segments.NO_SEQUENCE_NUMBER, repeated=False):
    r"""Return a packet of a flow."""
    return segments.Segment(
        flow, opening, closing, False, returned, data, b'packet', repeated,
        sequence=sequence)


def offer(flow=FLOW, service=SERVICE, priority=1, may_queue=False,
          wait_limit_ms=1400):
    r"""Return an offer of a flow."""
    return message.Offer(
        flow, service, priority, wait_limit_ms, may_queue, b'opening')


def numbered_flow_key(number):
    r"""Return the key of a flow with its own caller's port."""
    return segments.flow_key(CALLER.replace(port=1 + number), SERVICE_ADDRESS)


def send_to_agent(state, item, now=0, source=BALANCER):
    r"""Process a balancer's message at an agent; return the effects."""
    return list(agent.AGENT.process(
        state, message.FromNode(source, item), now))


def messages_of(effects, kind):
    r"""Return the messages of a type that are sent to other nodes."""
    return [
        item.message for item in effects
        if type(item) is message.ToNode and type(item.message) is kind]


def to_target(effects):
    r"""Return the datagrams that are sent to the target."""
    return [
        item.datagram for item in effects
        if type(item) is message.ToTarget]
