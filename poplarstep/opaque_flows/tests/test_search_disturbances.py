"""Tests of the search for a flow that something disturbs meanwhile."""

import pytest

from poplarstep.configuration import model
from poplarstep.core import timer
from poplarstep.opaque_flows import agent as agents
from poplarstep.opaque_flows import balancer
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import offers
from poplarstep.opaque_flows import pending_flows
from poplarstep.opaque_flows import surveys
from poplarstep.opaque_flows.tests import fixtures
from poplarstep.opaque_flows.tests import search_model
from poplarstep.opaque_flows import uncertain_agents

FLOW = fixtures.FLOW
# Agents of the service of the route.
AGENTS = fixtures.AGENTS[:3]
ACKNOWLEDGED = 7001
ACCEPTED = message.FlowAccepted(FLOW, fixtures.IDLE_LOAD)
UNCERTAIN = message.FlowUncertain(FLOW)
DENIED = message.SurveyReply(0, (), (), (FLOW,))


def make_balancer(enabled=True, targets=()):
    """Return a balancer, before further targets of the service."""
    catalogue = fixtures.make_catalogue()
    catalogue.apply([model.Change(2, body) for body in targets])
    return fixtures.make_balancer(
        catalogue, survey_state=pending_flows.make_surveys(
            enabled, lambda now: now))


def send(state, now, data=500, sequence=100, acknowledged=ACKNOWLEDGED):
    """Process a caller's packet; return the messages to agents."""
    segment = fixtures.segment(data=data, sequence=sequence)
    segment.datagram = b'packet %d' % sequence
    segment.acknowledged = acknowledged
    return to_nodes(balancer.BALANCER.process(
        state, message.FromCaller(segment), now))


def answer(state, source, item, now):
    """Process an agent's message; return the messages to agents."""
    return to_nodes(balancer.BALANCER.process(
        state, message.FromNode(source, item), now))


def run(state, until, first=0):
    """Process ticks every 20 ms; return ``(time, message to an agent)``."""
    return [
        (now, item)
        for now in range(first, until, balancer.TICK_PERIOD_MS)
        for item in to_nodes(balancer.BALANCER.process(
            state, timer.Tick(balancer.TICK), now))]


def to_nodes(effects):
    """Return the effects that are messages to agents."""
    return [item for item in effects if type(item) is message.ToNode]


def returned(sequence=100):
    """Return a packet with data that a target has returned."""
    return message.ReturnedPacket(
        FLOW, True, False, b'packet %d' % sequence, ACKNOWLEDGED, sequence)


def lookups_in(sent):
    """Return ``(time, agent)`` of the packets to uncertain agents."""
    return [(now, item.destination) for now, item in sent
            if type(item.message) is message.FlowLookup]


def test_returns_of_uncertain_agents_are_not_sent_to_the_holder():
    """Guards against copies of a packet, one for each uncertain agent.

    The holder's target answers the packet before the other targets return it.
    """
    state = make_balancer()
    send(state, 0)
    for agent in AGENTS:
        answer(state, agent, UNCERTAIN, 2)
    passed = lookups_in(run(state, 100))
    assert [agent for _, agent in passed] == list(AGENTS)
    assert len(answer(state, AGENTS[0], ACCEPTED, 101)) == 1
    for agent in AGENTS[1:]:
        assert answer(state, agent, returned(), 102) == []


@pytest.mark.parametrize('enabled', [True, False])
def test_all_packets_that_a_wrong_target_returns_reach_the_holder(enabled):
    """Guards against a lost packet of a flow whose agent was wrong.

    Several packets are on their way to the wrong target.
    """
    state = make_balancer(enabled)
    offers.add_flow(state, FLOW, 0).agent = AGENTS[1]
    for sequence in (100, 200, 300):
        assert len(send(state, 0, sequence=sequence)) == 1
    for sequence in (100, 200, 300):
        answer(state, AGENTS[1], returned(sequence), 2)
    sent = answer(state, AGENTS[0], ACCEPTED, 4)
    assert [item.message.sequence for item in sent] == (
        [100, 200, 300] if enabled else [])


def test_two_targets_with_one_agent_get_each_message_once():
    """Guards against doubled packets while a target changes its name."""
    renamed = fixtures.make_target(0).replace(name='renamed', number=9)
    state = make_balancer(targets=[renamed])
    sent = [(0, item) for item in send(state, 0)]
    for agent in AGENTS:
        answer(state, agent, UNCERTAIN, 2)
    sent += run(state, 100)
    for now in {now for now, _ in sent}:
        messages = [(item.destination, type(item.message))
                    for at, item in sent if at == now]
        assert len(messages) == len(set(messages))


def test_silent_agent_blocks_for_its_limit_when_data_follows():
    """Guards against a silent agent that holds up the packet twice as long.

    A packet without data starts the search, and one with data restarts it. Its
    caller repeats it, since otherwise it would be overdue.
    """
    state = make_balancer()
    send(state, 0, data=0)
    for now in (2, 2002):
        for agent in AGENTS[1:]:
            answer(state, agent, UNCERTAIN, now)
        if now == 2:
            sent = run(state, 2000)
            send(state, 2000)
    sent += run(state, 2200, first=2000)
    send(state, 2200)
    sent += run(state, 4000, first=2200)
    first_at = min(now for now, _ in lookups_in(sent))
    assert first_at <= uncertain_agents.SILENCE_LIMIT_MS + 100


@pytest.mark.parametrize('acknowledged, is_reset', [
    pytest.param(ACKNOWLEDGED, True, id='same packet'),
    pytest.param(ACKNOWLEDGED + 1400, True, id='later packet'),
    pytest.param(ACKNOWLEDGED - 1400, True, id='earlier packet'),
    pytest.param(ACKNOWLEDGED + 2**31, False, id='new flow'),
])
def test_denials_of_an_earlier_flow_with_the_same_key_are_no_proof(
        acknowledged, is_reset):
    """Guards against the reset of an open flow that reuses its caller's port.

    The caller opens the new flow through another balancer while the last agent
    restarts; its data comes to this balancer.
    """
    state = make_balancer()
    send(state, 0)
    for agent in AGENTS[1:]:
        answer(state, agent, DENIED, 2)
    run(state, 1000)
    send(state, 1000, acknowledged=acknowledged)
    answer(state, AGENTS[0], DENIED, 1002)
    run(state, 1200, first=1000)
    assert state.counters.dead_flows_reset == is_reset


@pytest.mark.parametrize('resumed_at', [
    pytest.param(3000, id='longer than an agent may be silent'),
    pytest.param(9000, id='longer than a packet waits'),
])
def test_answers_are_read_after_a_pause_before_packets_are_sent(resumed_at):
    """Guards against packets that are lost, or sent to wrong targets.

    The process is frozen. The answer of the agent that holds the flow is still
    in the socket.
    """
    state = make_balancer()
    run(state, 20)
    send(state, 20)
    for agent in AGENTS[1:]:
        answer(state, agent, UNCERTAIN, 22)
    run(state, 100, first=40)
    assert not lookups_in(run(state, resumed_at + 1, first=resumed_at))
    assert len(answer(state, AGENTS[0], ACCEPTED, resumed_at + 1)) == 1
    assert not lookups_in(run(state, resumed_at + 200, resumed_at + 20))


def test_packets_without_data_do_not_prevent_the_reset():
    """Guards against a dead flow whose searches are used up by such packets.

    Each of them is denied at once and ends its search.
    """
    search = search_model.Search([search_model.Agent() for _ in range(65)])
    search.call(FLOW, 0, range(0, 3000, 200), data=0)
    search.call(FLOW, 3100)
    search.run(3500)
    assert search.resets


@pytest.mark.parametrize('question', [
    message.FlowQuery(FLOW, 2**31),
    message.FlowSurvey(1, (message.SurveyedFlow(FLOW, 2**31),))],
    ids=['query', 'survey'])
def test_agent_denies_a_flow_that_the_caller_opened_elsewhere(question):
    """Guards against packets to a target that drops them without a return."""
    state = fixtures.make_agent(sequence=9)
    fixtures.send_to_agent(state, fixtures.offer())
    agents.AGENT.process(state, message.FromTarget(
        fixtures.segment(opening=True, sequence=1000)), 1)
    reply, = fixtures.messages_of(
        fixtures.send_to_agent(state, question, now=5), message.SurveyReply)
    assert reply.denied == (FLOW,)


@pytest.mark.parametrize('flows, targets, restarted, confirmed', [
    pytest.param(46, 88, True, True, id='turnos'),
    pytest.param(500, 100, True, True, id='all agents are uncertain'),
    pytest.param(500, 100, False, False, id='no configuration is confirmed'),
])
def test_work_of_a_search_is_bounded_and_reaches_all_flows(
        flows, targets, restarted, confirmed, monkeypatch):
    """Guards against pauses of the data path, and against flows left out.

    Load: many unknown flows at once, of which the last one is held.
    """
    counts, counted = {}, pending_flows.undecided_agents

    def undecided_agents(state, flow, pending):
        agents = counted(state, flow, pending)
        counts[-1] = counts.get(-1, 0) + len(agents)
        return agents

    agents = [search_model.Agent(restarted=restarted)
              for _ in range(targets)]
    search = search_model.Search(agents, 100_000_000)
    if not confirmed:
        search.state.surveys.confirmed_since = lambda now: -1
    keys = [fixtures.numbered_flow_key(number) for number in range(flows)]
    agents[50].knows.add(keys[-1])
    for flow in keys:
        search.call(flow, 0)
    monkeypatch.setattr(pending_flows, 'undecided_agents', undecided_agents)
    for now in range(0, 4000, balancer.TICK_PERIOD_MS):
        counts[-1] = 0
        search.run(now + balancer.TICK_PERIOD_MS, first=now)
        counts[now] = counts[-1]
    found_at = agents[50].received[0][0]
    assert found_at <= 1500
    del counts[-1]
    # Each evaluation may be followed by a survey and packets.
    assert max(counts.values()) <= 3 * (
        surveys.MAXIMUM_EVALUATED_AGENTS + targets)
    assert len(search.resets) == (flows - 1) * confirmed
