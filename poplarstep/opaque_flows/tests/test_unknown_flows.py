"""Tests of the search for unknown flows against scripted agents."""

import statistics

import pytest

from poplarstep.opaque_flows import candidates
from poplarstep.opaque_flows import lookup_budget
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows.tests import fixtures
from poplarstep.opaque_flows.tests import search_model
from poplarstep.opaque_flows import uncertain_agents

FLOW = fixtures.FLOW
# Time in which a flow is found once the agents answer: two evaluations.
SOON_MS = 200
# A third of 5.8 Mbit/s, the middle of the balancers' links, in bytes/s.
LINK_RATE = 240_000


def make_agents(count, **changes):
    """Return agents that answer alike."""
    return [search_model.Agent(**changes) for _ in range(count)]


def make_flows(count):
    """Return the keys of several flows."""
    return [fixtures.numbered_flow_key(number) for number in range(count)]


def likely_agents(search, flow):
    """Return the agents of the first candidates of a flow."""
    return [
        search.agent_by_address[target.agent]
        for target in search.state.candidates.lookup(
            1, flow, candidates.OFFERED_CANDIDATES)]


@pytest.mark.parametrize('changes, first, last', [
    pytest.param({'knows': [FLOW]}, 0, 10, id='knows the flow'),
    pytest.param({'knows': [FLOW], 'lost': 1}, 0, SOON_MS,
                 id='a question is lost'),
    pytest.param({'knows': [FLOW], 'lost_answers': 1}, 0, SOON_MS,
                 id='an answer is lost'),
    pytest.param({'knows': [FLOW], 'up_at': 800}, 800, 1400,
                 id='silent for 0.8 s'),
    pytest.param({'holds': [FLOW], 'restarted': True}, 0, SOON_MS,
                 id='restarted'),
    pytest.param({'holds': [FLOW], 'restarted': True, 'up_at': 800}, 800,
                 1200, id='restarts'),
    pytest.param({'holds': [FLOW], 'restarted': True, 'up_at': 3500}, 3500,
                 4400, id='cut off for 3.5 s'),
])
def test_flow_is_found_before_other_targets_get_its_packets(
        changes, first, last):
    """Guards against open flows whose packets go to a wrong target.

    Load: 65 agents, of which all but the one that holds the flow have been
    restarted. A balancer that was restarted gets a packet of the flow.
    """
    holder, = make_agents(1, **changes)
    others = make_agents(64, restarted=True)
    search = search_model.Search([*others[:20], holder, *others[20:]])
    search.call(FLOW, 0)
    search.run(8000)
    found_at = holder.received[0][0]
    assert first <= found_at <= last
    wrong = [at for agent in others for at, _ in agent.received]
    knew = 'knows' in changes
    likely = likely_agents(search, FLOW)
    assert holder in likely
    is_silent = holder.up_at > uncertain_agents.SILENCE_LIMIT_MS
    assert len(wrong) == (
        0 if knew else len(others) if is_silent else len(likely) - 1)
    blocked_until = min(found_at, uncertain_agents.SILENCE_LIMIT_MS)
    assert all(at >= blocked_until for at in wrong)
    assert not search.resets


@pytest.mark.parametrize('silent, is_reset', [(0, True), (1, False)])
def test_silent_agent_holds_up_the_packet_and_prevents_the_reset(
        silent, is_reset):
    """Guards against the reset of a flow that a silent agent may hold.

    The packet still goes to the uncertain agents, after 2.5 s.
    """
    uncertain = make_agents(10, restarted=True)
    search = search_model.Search(
        make_agents(50) + uncertain + make_agents(silent, up_at=60_000))
    search.call(FLOW, 0)
    search.run(8000)
    assert bool(search.resets) is is_reset
    limit = uncertain_agents.SILENCE_LIMIT_MS * silent
    assert all(
        limit <= agent.received[0][0] <= limit + SOON_MS
        for agent in uncertain)


@pytest.mark.parametrize('unlikely', [0, 5])
def test_open_flows_are_found_soon_after_a_kill_of_all_processes(unlikely):
    """Guards against callers that time out beside targets that run on.

    Load: all balancers and agents were killed, so no agent knows a flow. 65
    targets hold 60 flows of one balancer, whose callers go on within 1 s; a
    few were opened at targets that are not among their first candidates.
    """
    agents = make_agents(65, restarted=True)
    search = search_model.Search(agents, LINK_RATE)
    flows = make_flows(60)
    for number, flow in enumerate(flows):
        likely = likely_agents(search, flow)
        holder = likely[number % len(likely)]
        if number < unlikely:
            holder = next(item for item in agents if item not in likely)
        holder.holds.add(flow)
        search.call(flow, 1000 * number // 60, data=250)
    search.run(8000)
    waits = []
    for number, flow in enumerate(flows):
        received = sorted(
            (at, flow in agent.holds) for agent in agents
            for at, packet in agent.received if packet.flow == flow)
        found_at = next(at for at, is_own in received if is_own)
        waits.append(found_at - 1000 * number // 60)
        wrong = [at for at, is_own in received if not is_own]
        assert all(found_at - at < 2000 for at in wrong)
    assert max(waits) <= 1000
    assert statistics.median(waits) <= 400
    assert not search.resets


def test_balancer_that_restarts_meanwhile_finds_the_flow():
    """Guards against a search that depends on what a balancer remembers."""
    holder, = make_agents(1, knows=[FLOW], lost=1)
    others = make_agents(64, restarted=True)
    search = search_model.Search(others + [holder])
    search.call(FLOW, 0)
    search.run(60)
    search.restart()
    search.run(1000, first=60)
    assert 200 <= holder.received[0][0] <= 200 + SOON_MS
    assert not any(agent.received for agent in others)


def test_uncertain_agent_gets_one_packet_in_a_second():
    """Guards against open flows that a wrong target gets many packets of.

    Load: no target answers or returns a packet, and the caller repeats it.
    """
    agents = make_agents(5, holds=[FLOW], restarted=True, learns=False)
    search = search_model.Search(agents)
    search.call(FLOW, 0, repeated_after=range(0, 9000, 100))
    search.run(9000)
    for agent in agents:
        times = [at for at, _ in agent.received]
        assert len(times) >= 6
        assert all(
            later - earlier >= uncertain_agents.PACKET_INTERVAL_MS
            for earlier, later in zip(times, times[1:]))


@pytest.mark.parametrize('repeated_after, is_sent', [
    ((0,), False), ((0, 200, 600, 1400), True), ((0, 200, 600), False)])
def test_packet_whose_copy_is_overdue_reaches_no_wrong_target(
        repeated_after, is_sent):
    """Guards against old packets of a caller that uses another balancer.

    Load: an agent restarts, so the packet for uncertain agents waits for
    1.6 s; the flow's own target has got it through another balancer by then.
    """
    uncertain = make_agents(10, restarted=True)
    search = search_model.Search(
        make_agents(20) + uncertain + make_agents(1, up_at=1600))
    search.call(FLOW, 0, repeated_after)
    search.run(2400)
    assert all(bool(agent.received) is is_sent for agent in uncertain)


@pytest.mark.parametrize('restarted', [False, True])
def test_packet_without_data_follows_the_same_steps(restarted):
    """Guards against the last packet of a closed flow that is answered.

    Its flow is open nowhere, but a caller that has closed it needs no reset.
    """
    agents = make_agents(20, restarted=restarted)
    search = search_model.Search(agents)
    search.call(FLOW, 0, data=0)
    search.run(SOON_MS)
    kinds = [type(item) for _, _, item, _ in search.sent]
    assert kinds[:16] == [message.FlowQuery] * 16
    assert kinds.count(message.FlowLookup) == len(agents) * restarted
    assert not search.resets and not search.state.surveys.pending_by_flow


def test_answers_from_before_an_opening_are_no_proof():
    """Guards against the reset of a flow whose caller reuses its port."""
    agents = make_agents(3)
    agents[0].up_at = 500
    search = search_model.Search(agents)
    search.call(FLOW, 0, repeated_after=[0])
    search.run(400)
    assert len(search.state.surveys.pending_by_flow[FLOW].denied_by) == 2
    search.open(FLOW, 400)
    agents[0].knows.add(FLOW)
    search.run(1500, first=400)
    search.call(FLOW, 1500, repeated_after=[0])
    search.run(3000, first=1500)
    assert not search.resets


def test_dead_flows_are_reset_soon_although_all_agents_are_uncertain():
    """Guards against callers that wait for seconds after a power loss.

    Load: 1,394 flows at 30 balancers before 88 targets, all of whose agents
    started after them. The callers' packets arrive within 4 s.
    """
    search = search_model.Search(make_agents(88, restarted=True), LINK_RATE)
    sent_at = {
        flow: 4000 * number // 46
        for number, flow in enumerate(make_flows(46))}
    for flow, at in sent_at.items():
        search.call(flow, at, data=60)
    search.run(8000)
    waits = [search.resets.get(flow, 8000) - at
             for flow, at in sent_at.items()]
    assert statistics.median(waits) <= 400


@pytest.mark.parametrize('data, lookup_rate', [
    (60, lookup_budget.DEFAULT_RATE), (60, LINK_RATE),
    pytest.param(1160, lookup_budget.DEFAULT_RATE,
                 id='the packets of one flow exceed the burst')])
def test_budgets_hold_and_no_flow_starves(data, lookup_rate):
    """Guards against searches that fill a link, or that hold up questions.

    Load: 300 unknown flows at a restarted balancer before 65 agents, all of
    which are uncertain. The last flow is held and known by its agent.
    """
    agents = make_agents(65, restarted=True)
    flows = make_flows(300)
    for known in (agents[9].knows, agents[9].holds):
        known.add(flows[-1])
    search = search_model.Search(agents, lookup_rate)
    for number, flow in enumerate(flows):
        search.call(flow, number // 10, range(0, 16_000, 1600), data)
    search.run(16_000)
    assert search.excess_bytes(
        lookup_rate, message.FlowQuery, message.FlowSurvey) == 0
    # A packet for all agents is sent at once, also if it exceeds the burst.
    flow_bytes = 65 * (data + 40 + lookup_budget.PACKET_HEADER_BYTES)
    assert search.excess_bytes(lookup_rate, message.FlowLookup) <= max(
        0, flow_bytes - lookup_rate)
    # The time that the budget takes to ask each agent for each flow.
    questions = lookup_budget.survey_bytes(65 * 8, 65 * 300)
    asked_at = 1000 * questions / lookup_rate + 1000
    assert [at for at, packet in agents[9].received
            if packet.flow == flows[-1]][0] <= asked_at
    # The flows are reset in the order of their arrival, as fast as the budget
    # of packets allows.
    expected = min(299, 14 * lookup_rate // flow_bytes)
    assert set(flows[:expected]) <= set(search.resets)


FLOWS = tuple(message.SurveyedFlow(FLOW, 2**32 - 1) for _ in range(40))
PACKET = message.FlowPacket(
    FLOW, True, True, b'd' * 1200, 2**32 - 1, 2**32 - 1)


@pytest.mark.parametrize('item, size', [
    (message.FlowQuery(FLOW, 2**32 - 1), lookup_budget.QUERY_BYTES),
    (message.FlowSurvey(2**20, FLOWS[:1]), lookup_budget.survey_bytes(1, 1)),
    (message.FlowSurvey(2**20, FLOWS), lookup_budget.survey_bytes(1, 40)),
    (message.FlowLookup(PACKET), lookup_budget.packet_bytes(PACKET, 1)),
])
def test_messages_are_no_larger_than_the_budgets_count(item, size):
    """Guards against a changed format that lets budgets be exceeded."""
    encoded = search_model.HEADER_BYTES + len(search_model.CODEC.encode(item))
    assert 0.9 * size <= encoded <= size
