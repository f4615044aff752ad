"""Tests of how a balancer finds the agent of an unknown flow."""

import pytest

from poplarstep.configuration import model
from poplarstep.core import address
from poplarstep.core import timer
from poplarstep.opaque_flows import balancer
from poplarstep.opaque_flows import candidates
from poplarstep.opaque_flows import lookups
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows.tests import fixtures

TICK = timer.Tick(balancer.TICK)
TARGETS = 100


def agent_address(number):
    """Return the address of a target's agent."""
    return address.Address('10.0.2.%d' % number, 7000)


def make_balancer(targets=TARGETS):
    """Return a balancer before a service with many targets."""
    catalogue = fixtures.make_catalogue()
    catalogue.apply([
        model.Change(2, fixtures.make_target(0).replace(
            name='many-%d' % number, number=10 + number,
            agent=agent_address(number)))
        for number in range(targets)])
    return fixtures.make_balancer(catalogue)


def send(state, now=0, data=500, **changes):
    """Process a packet of the caller; return the messages to agents."""
    return to_nodes(balancer.BALANCER.process(
        state, message.FromCaller(fixtures.segment(data=data, **changes)),
        now))


def answer(state, source, item, now=1):
    """Process an agent's answer; return the messages to agents."""
    return to_nodes(balancer.BALANCER.process(
        state, message.FromNode(source, item), now))


def to_nodes(effects):
    """Return the effects that are messages to agents."""
    return [item for item in effects if type(item) is message.ToNode]


def kinds(sent):
    """Return the types of messages."""
    return {type(item.message) for item in sent}


def accepted():
    """Return the answer of the agent that holds the flow."""
    return message.FlowAccepted(fixtures.FLOW, fixtures.IDLE_LOAD)


@pytest.mark.parametrize('data, kind', [
    (500, message.FlowQuery), (0, message.FlowLookup)])
def test_questions_are_few_and_small(data, kind):
    """Guards against a payload that is sent once for each agent."""
    sent = send(make_balancer(), data=data)
    assert len(sent) == candidates.LOOKUP_CANDIDATES
    assert kinds(sent) == {kind}


def test_waiting_packets_go_to_the_agent_that_holds_the_flow():
    """Guards against packets that are lost while their flow is looked up."""
    state = make_balancer()
    holder = send(state)[3].destination
    assert send(state, now=5) == []
    sent = answer(state, holder, accepted(), now=6)
    assert [item.destination for item in sent] == [holder, holder]
    assert kinds(sent) == {message.FlowPacket}
    assert [item.destination for item in send(state, now=7)] == [holder]


def test_uncertain_agents_get_the_packets_until_one_holds_the_flow():
    """Guards against flows that break when their agent restarts."""
    state = make_balancer()
    asked = [item.destination for item in send(state)]
    for agent in asked[:2]:
        sent = answer(state, agent, message.FlowUncertain(fixtures.FLOW))
        assert [item.destination for item in sent] == [agent]
        assert kinds(sent) == {message.FlowLookup}
    answer(state, asked[1], accepted())
    late = answer(state, asked[2], message.FlowUncertain(fixtures.FLOW))
    assert late == []


@pytest.mark.parametrize('now, agents', [
    pytest.param(0, 0, id='waits for the first lookup'),
    pytest.param(lookups.LOOKUP_TIMEOUT_MS - 1, 0, id='still waits'),
    pytest.param(200, TARGETS + 3, id='retransmission asks all'),
])
def test_unanswered_lookup_is_widened(now, agents):
    """Guards against a flow that was opened before a large change."""
    state = make_balancer()
    send(state)
    assert len(send(state, now=now)) == agents


@pytest.mark.parametrize('flows', [5, 50])
def test_wide_lookups_are_limited(flows):
    """Guards against lookups of ended flows that fill the balancer's link.

    After a power loss the callers retransmit the packets of all flows.
    """
    state = make_balancer()
    for now in (0, 200, 600, 1400):
        for number in range(flows):
            send(state, now=now, flow=fixtures.numbered_flow_key(number))
    narrow = 4 * flows * candidates.LOOKUP_CANDIDATES
    wide = lookups.MAXIMUM_WIDE_MESSAGES + int(
        1.4 * lookups.WIDE_MESSAGES_PER_S)
    assert state.counters.lookup_messages <= narrow + wide


def test_waiting_packets_are_bounded_and_dropped_when_outdated():
    """Guards against a balancer that keeps the packets of ended flows."""
    state = make_balancer()
    for _ in range(40):
        send(state)
    tracked = state.tracked_by_flow[fixtures.FLOW]
    assert len(tracked.waiting_packets) == lookups.MAXIMUM_WAITING_PACKETS
    balancer.BALANCER.process(state, TICK, 1000)
    assert not tracked.waiting_packets


DENIED = message.SurveyReply(0, (), (), (fixtures.FLOW,))


@pytest.mark.parametrize('has_flow, restarted, dead_flows, answers', [
    pytest.param(True, False, 'ignore', [accepted()], id='holds the flow'),
    pytest.param(False, False, 'ignore', [], id='does not hold it'),
    pytest.param(False, False, 'reset', [DENIED], id='denies it'),
    pytest.param(False, True, 'reset', [message.FlowUncertain(fixtures.FLOW)],
                 id='may hold it'),
])
def test_agent_answers_a_question(has_flow, restarted, dead_flows, answers):
    """Guards against a flow that is lost because its agent keeps silent."""
    state = fixtures.make_agent(
        sequence=9 if restarted else 1, dead_flows=dead_flows)
    if has_flow:
        fixtures.send_to_agent(state, fixtures.offer())
    sent = fixtures.send_to_agent(
        state, message.FlowQuery(fixtures.FLOW), now=5)
    expected = [
        item.replace(load=sent[0].message.load)
        if type(item) is message.FlowAccepted else item for item in answers]
    assert [item.message for item in sent] == expected
    assert fixtures.to_target(sent) == []
