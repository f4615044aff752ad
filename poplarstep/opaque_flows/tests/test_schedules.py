r"""Open flows during random restarts, kills and moved routes."""

import functools
import unittest.mock

import pytest

from poplarstep.opaque_flows import agent_flows
from poplarstep.opaque_flows import balancer
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows.tests import schedules

SEEDS = range(8)
# Seeds of longer runs that violated an invariant, with the cause.
FOUND = (
    # The flow's agent was down for 0.7 s, and its packets were sent to agents
    # that may hold it before that agent could answer.
    ('lost-datagrams', 124),
    ('lost-datagrams', 194),
)
CASES = [(name, seed) for name in schedules.SCHEDULE_BY_NAME
         for seed in SEEDS] + list(FOUND)
# A caller sends 5 to 15 requests in a schedule, depending on its pauses.
MINIMUM_ANSWERS_PER_CALLER = 3


@pytest.mark.parametrize(
    'name, seed', CASES, ids=['%s-%d' % case for case in CASES])
def test_schedule(name, seed):
    r"""Guards against packets of open flows at wrong targets, and resets."""
    world = schedules.run(name, seed)
    assert [text for text, _ in world.violations] == []
    assert world.counts['answers'] >= MINIMUM_ANSWERS_PER_CALLER * (
        schedules.SCHEDULE_BY_NAME[name].callers)


def change_datagram(segment):
    r"""Forward a packet with another payload."""
    packet = PACKET_FROM_CALLER(segment)
    return packet.replace(datagram=packet.datagram + b'x')


def deny_all(state, event, now):
    r"""Deny the flows of a survey whether the target holds them or not."""
    return [message.ToNode(event.source, message.SurveyReply(
        event.message.number, (), (),
        tuple(item.flow for item in event.message.flows)))]


def hold_all(state, event, now):
    r"""Claim a flow whether the target holds it or not."""
    return [message.ToNode(event.source, message.FlowAccepted(
        event.message.flow, message.Load(0, 1, 0)))]


PACKET_FROM_CALLER = balancer._packet_from_caller
HANDLERS = agent_flows.BALANCER_MESSAGES.handler_by_type
patch = unittest.mock.patch
MECHANISMS = {
    # mechanism: (schedule, patch that switches it off, text of the check)
    'packets are forwarded unchanged': (
        'moved-route', functools.partial(
            patch.object, balancer, '_packet_from_caller', change_datagram),
        'a packet was changed'),
    'an agent denies only flows that its target lacks': (
        'rolling-restarts', functools.partial(
            patch.dict, HANDLERS, {message.FlowSurvey: deny_all}),
        'reset an open flow'),
    'an agent claims only flows of its target': (
        'lost-datagrams', functools.partial(
            patch.dict, HANDLERS, {message.FlowQuery: hold_all}),
        'reached other targets'),
}


@pytest.mark.parametrize('name', MECHANISMS)
def test_check_notices_missing_mechanism(name):
    r"""Guards against checks that pass without the mechanism."""
    schedule, switch_off, noticed = MECHANISMS[name]
    with switch_off():
        world = schedules.run(schedule, seed=1)
    assert any(noticed in text for text, _ in world.violations)
