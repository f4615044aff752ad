"""Tests of flows whose route has moved to another service."""

import pytest

from poplarstep.configuration import model
from poplarstep.opaque_flows import balancer
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows.tests import fixtures

PACKET = message.FlowPacket(fixtures.FLOW, True, False, b'data')


def move_route(catalogue, service, former):
    """Give the route to a service; ``former`` are its former services."""
    catalogue.apply([model.Change(
        2, fixtures.make_route(service).replace(former_services=former))])
    return catalogue


@pytest.mark.parametrize('service, former, asked', [
    (fixtures.SERVICE, (), (0, 1, 2)),
    (fixtures.OTHER_SERVICE, (fixtures.SERVICE,), (0, 1, 2, 3)),
    (fixtures.SERVICE, (fixtures.OTHER_SERVICE,), (0, 1, 2, 3)),
    (fixtures.OTHER_SERVICE, (), (3,)),
])
def test_an_unknown_flow_is_looked_for_in_former_services(
        service, former, asked):
    """Guards against open flows that are lost when a balancer restarts."""
    state = fixtures.make_balancer(move_route(
        fixtures.make_catalogue(), service, former))
    effects = balancer.BALANCER.process(state, message.FromCaller(
        fixtures.segment(data=10)), 0)
    assert {item.destination for item in effects} == {
        fixtures.AGENTS[number] for number in asked}


@pytest.mark.parametrize('question', [
    message.FlowLookup(PACKET), message.FlowQuery(fixtures.FLOW)],
    ids=['lookup', 'query'])
@pytest.mark.parametrize('service, former, may_hold', [
    (fixtures.SERVICE, (), True),
    (fixtures.OTHER_SERVICE, (fixtures.SERVICE,), True),
    (fixtures.SERVICE, (fixtures.OTHER_SERVICE,), True),
    (fixtures.OTHER_SERVICE, (), False),
])
def test_a_restarted_agent_passes_no_flow_of_a_route_it_never_had(
        question, service, former, may_hold):
    """Guards against packets at targets that can't hold their flow.

    A restarted agent does not know which flows its target holds.
    """
    state = fixtures.make_agent(
        move_route(fixtures.make_catalogue(), service, former),
        sequence=3)
    effects = fixtures.send_to_agent(state, question, now=100)
    asks_target = fixtures.to_target(effects) or fixtures.messages_of(
        effects, message.FlowUncertain)
    assert bool(asks_target) is may_hold
    if not may_hold:
        assert fixtures.messages_of(effects, message.SurveyReply) == [
            message.SurveyReply(0, (), (), (fixtures.FLOW,))] * (
                type(question) is message.FlowQuery)


def test_a_restarted_agent_without_a_configuration_passes_flows():
    """Guards against flows that break while an agent starts."""
    catalogue = fixtures.catalogues.Catalogue()
    state = fixtures.make_agent(catalogue, sequence=3)
    effects = fixtures.send_to_agent(
        state, message.FlowLookup(PACKET), now=100)
    assert fixtures.to_target(effects) == [b'data']
