"""Tests of which agent claims a flow, and which agents are asked for it."""

import pytest

from poplarstep.configuration import model
from poplarstep.core import timer
from poplarstep.opaque_flows import agent
from poplarstep.opaque_flows import agent_flows
from poplarstep.opaque_flows import candidates
from poplarstep.opaque_flows import claims
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import presence
from poplarstep.opaque_flows.tests import fixtures
from poplarstep.opaque_flows.tests import test_lookups

PACKET = message.FlowPacket(fixtures.FLOW, True, False, b'data')


@pytest.mark.parametrize('question', [
    message.FlowQuery(fixtures.FLOW), message.FlowLookup(PACKET)],
    ids=['query', 'lookup'])
def test_passing_a_packet_on_is_no_claim(question):
    """Guards against open flows whose packets go to a wrong target.

    A restarted agent passes the packets of unknown flows to its target. It
    then claimed these flows, before the target had returned the packet.
    """
    state = fixtures.make_agent(sequence=9)
    for now in (1, 2):
        fixtures.send_to_agent(state, message.FlowLookup(PACKET), now)
    effects = fixtures.send_to_agent(state, question, now=3)
    assert not fixtures.messages_of(effects, message.FlowAccepted)
    agent.AGENT.process(state, message.FromTarget(
        fixtures.segment(data=10)), 4)
    effects = fixtures.send_to_agent(state, question, now=5)
    assert fixtures.messages_of(effects, message.FlowAccepted)


def test_lookup_covers_the_candidates_of_each_service():
    """Guards against flows that are not found on a route of two services."""
    state = test_lookups.make_balancer(40)
    state.catalogue.apply([
        model.Change(3, fixtures.make_target(3).replace(
            name='other-%d' % number, number=200 + number,
            agent=test_lookups.agent_address(100 + number)))
        for number in range(40)])
    state.catalogue.apply([model.Change(4, fixtures.make_route(
        fixtures.SERVICE).replace(
            former_services=(fixtures.OTHER_SERVICE,)))])
    asked = test_lookups.send(state)
    assert len(asked) == 2 * candidates.LOOKUP_CANDIDATES


def claim(state, idle_ms=3000, now=0, flow=fixtures.FLOW):
    """Tell an agent a flow."""
    fixtures.send_to_agent(state, message.KnownFlows(
        (message.KnownFlow(flow, idle_ms),)), now)


def answer(state, now=10, flow=fixtures.FLOW):
    """Return which answer an agent gives to a survey of a flow."""
    reply, = fixtures.messages_of(fixtures.send_to_agent(
        state, message.FlowSurvey(1, (message.SurveyedFlow(flow),)), now),
        message.SurveyReply)
    return [name for name in ('held', 'uncertain', 'denied')
            if getattr(reply, name)][0]


def from_target(state, now, **fields):
    """Process a packet of the flow from the target."""
    return list(agent.AGENT.process(
        state, message.FromTarget(fixtures.segment(**fields)), now))


@pytest.mark.parametrize('fields, idle_ms, result', [
    pytest.param({}, 4000, 'held', id='idle flow'),
    pytest.param({}, 4001, 'uncertain', id='ended before the target start'),
    pytest.param({'started_at': 0}, 0, 'uncertain', id='start not reported'),
    pytest.param({}, -1, 'uncertain', id='malformed time'),
    pytest.param({'started_at': -20_000}, 15_000, 'uncertain',
                 id='idle timeout'),
    pytest.param({'sequence': 1}, 0, 'denied', id='agent saw all flows'),
    pytest.param({'service': 'certs'}, 0, 'denied', id='other service'),
    pytest.param({'has_heartbeat': False}, 0, 'uncertain', id='no target'),
])
def test_agent_claims_what_its_target_may_hold(fields, idle_ms, result):
    """Guards against claims of flows that have ended with their target."""
    state = fixtures.make_agent(**{'sequence': 9, **fields})
    claim(state, idle_ms)
    assert answer(state) == result
    assert state.counters.flows_claimed == (result == 'held')


def test_claim_is_no_proof():
    """Guards against slots and open flows that no target holds."""
    state = fixtures.make_agent(sequence=9)
    claim(state)
    for now, open_flows in ((1000, 0), (2000, 1)):
        fixtures.send_to_agent(state, PACKET, now)
        agent.AGENT.process(state, timer.Tick(agent.TICK), now)
        accepted, = fixtures.messages_of(fixtures.send_to_agent(
            state, message.FlowQuery(fixtures.FLOW), now),
            message.FlowAccepted)
        assert accepted.load.backlog == open_flows
        assert accepted.load.open_flows == open_flows
        from_target(state, now + 1, data=10)
    assert not state.flow_by_key[fixtures.FLOW].claimed


def test_claim_that_the_target_returns_is_denied():
    """Guards against a flow that is never reset.

    A balancer has recorded the wrong agent, or the target has restarted.
    """
    state = fixtures.make_agent(sequence=9)
    claim(state)
    fixtures.send_to_agent(state, PACKET, 10, fixtures.OTHER_BALANCER)
    returned, = from_target(state, 11, data=4, returned=True)
    assert returned == message.ToNode(
        fixtures.OTHER_BALANCER,
        message.ReturnedPacket(fixtures.FLOW, True, False, b'packet'))
    claim(state, now=500)
    assert answer(state, now=501) == 'denied'
    assert state.counters.claims_returned == 1


def test_reopened_flow_is_not_denied(monkeypatch):
    """Guards against the reset of an open flow that reuses a returned key."""
    state = fixtures.make_agent(sequence=9, slots=4)
    claim(state)
    fixtures.send_to_agent(state, PACKET)
    from_target(state, 1, data=4, returned=True)
    monkeypatch.setattr(agent_flows, 'MAXIMUM_FLOWS', 1)
    for flow in (fixtures.FLOW, fixtures.numbered_flow_key(1)):
        fixtures.send_to_agent(state, fixtures.offer(flow))
    assert answer(state) == 'uncertain'


def test_target_restart_ends_the_claims():
    """Guards against a repeated message that revives ended flows."""
    state = fixtures.make_agent(sequence=9)
    claim(state)
    presence.PRESENCE.process(state, fixtures.heartbeat(
        started_at=8500, sequence=9), 100)
    claim(state, idle_ms=3500, now=500)
    assert answer(state, now=501) == 'uncertain'


def test_offer_of_a_claimed_flow_passes_admission():
    """Guards against a new flow with a reused key that exceeds a limit."""
    state = fixtures.make_agent(sequence=9, leaving=True)
    claim(state)
    effects = fixtures.send_to_agent(state, fixtures.offer())
    assert fixtures.messages_of(effects, message.FlowRejected)
    assert not fixtures.to_target(effects)


def test_claims_are_bounded(monkeypatch):
    """Guards against an agent that is filled with claims.

    Load: balancers tell 5,000 flows.
    """
    state = fixtures.make_agent(sequence=9)
    for number in range(5000):
        claim(state, flow=fixtures.numbered_flow_key(number))
    assert len(state.flow_by_key) == claims.MAXIMUM_CLAIMS
    monkeypatch.setattr(agent_flows, 'MAXIMUM_FLOWS', 1)
    state = fixtures.make_agent(sequence=9)
    for number in range(2):
        claim(state, flow=fixtures.numbered_flow_key(number))
    assert answer(state, flow=fixtures.numbered_flow_key(0)) == 'held'
    assert state.counters.flows_claimed == 1


def test_claims_are_logged_once():
    """Guards against a line for each message of each balancer."""
    state = fixtures.make_agent(sequence=9)
    names = []
    for now in range(0, 20_000, 500):
        claim(state, now=now, flow=fixtures.numbered_flow_key(now))
        names += [item.event for item in agent.AGENT.process(
            state, timer.Tick(agent.TICK), now)]
    assert names.count('flows-claimed') == 1


@pytest.mark.parametrize('dead_flows, segment, known', [
    ('reset', fixtures.segment(data=500), True),
    ('reset', fixtures.segment(), False),
    ('reset', fixtures.segment(data=500, closing=True), False),
    ('ignore', fixtures.segment(data=500), False)],
    ids=['data', 'acknowledgement', 'close', 'ignored'])
def test_restarted_agent_learns_flows_from_its_targets_data(
        dead_flows, segment, known):
    """Guards against a search for a flow that the target is answering.

    After a kill of all processes a target sends its answer again until the
    caller has acknowledged it, and the agent forwards the copies.
    """
    state = fixtures.make_agent(sequence=9, dead_flows=dead_flows)
    effects = list(agent.AGENT.process(
        state, message.FromTarget(segment), 1))
    assert [type(item) for item in effects] == [message.ToCaller]
    effects = fixtures.send_to_agent(
        state, message.FlowQuery(fixtures.FLOW), now=2)
    assert bool(fixtures.messages_of(effects, message.FlowAccepted)) is known
    assert state.counters.flows_learned == known
    # A packet that no balancer sent to this run returns without a receiver.
    returned = fixtures.segment(data=5, returned=True)
    assert not agent.AGENT.process(state, message.FromTarget(returned), 3)
