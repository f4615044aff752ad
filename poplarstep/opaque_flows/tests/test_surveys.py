"""Tests of surveys, which find out that a flow is open nowhere."""

import pytest

from poplarstep.core import timer
from poplarstep.opaque_flows import balancer
from poplarstep.opaque_flows import lookup_budget
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import pending_flows
from poplarstep.opaque_flows import surveys
from poplarstep.opaque_flows.tests import fixtures
from poplarstep.opaque_flows.tests import search_model

ACKNOWLEDGED = 7001
# Agents of the service of the route.
AGENTS = fixtures.AGENTS[:3]
SURVEY_AT = pending_flows.CANDIDATES_ANSWER_MS
LATER = SURVEY_AT + 500
# A third of 2.6 Mbit/s, in bytes/s.
SLOWEST_LINK_RATE = 108_333


def make_balancer(confirmed_since=10_000, catalogue=None, enabled=True):
    """Return a balancer whose configuration was current at a time, in ms."""
    return fixtures.make_balancer(
        catalogue, survey_state=pending_flows.make_surveys(
            enabled, lambda now: confirmed_since))


def send_data(state, now=0, flow=fixtures.FLOW):
    """Process a packet with data of an unknown flow."""
    segment = fixtures.segment(flow, data=500)
    segment.acknowledged = ACKNOWLEDGED
    return list(balancer.BALANCER.process(
        state, message.FromCaller(segment), now))


def run_tick(state, now):
    """Process a tick; return the effects."""
    return list(balancer.BALANCER.process(
        state, timer.Tick(balancer.TICK), now))


def answer(state, source, item, now=SURVEY_AT + 1):
    """Process an agent's message; return the effects."""
    return list(balancer.BALANCER.process(
        state, message.FromNode(source, item), now))


def reply(held=(), uncertain=(), denied=()):
    """Return an answer to the first survey."""
    return message.SurveyReply(1, held, uncertain, denied)


def resets(effects):
    """Return the resets among effects."""
    return [item for item in effects if type(item) is message.ResetFlow]


DENIED = reply(denied=(fixtures.FLOW,))
UNCERTAIN = reply(uncertain=(fixtures.FLOW,))
RETURNED = message.ReturnedPacket(fixtures.FLOW, True, False, b'packet')
BUSY_TARGET = message.FlowAccepted(fixtures.FLOW, fixtures.IDLE_LOAD)


@pytest.mark.parametrize('answers, confirmed_since, is_reset', [
    pytest.param([DENIED] * 3, 0, True, id='all agents deny the flow'),
    pytest.param([DENIED] * 2, 0, False, id='an agent is silent'),
    pytest.param([DENIED] * 3, -1, False, id='an older configuration'),
    pytest.param([DENIED, DENIED, UNCERTAIN], 0, False,
                 id='a target may hold the flow'),
    pytest.param([DENIED, DENIED, RETURNED], 0, True,
                 id='a target returns the packet'),
    pytest.param([DENIED, DENIED, reply(held=(fixtures.FLOW,))], 0, False,
                 id='a target holds the flow'),
    pytest.param([], 0, False, id='no agent answers'),
])
def test_flow_is_reset_only_if_it_is_open_nowhere(
        answers, confirmed_since, is_reset):
    """Guards against resets of open flows, and callers that time out."""
    state = make_balancer(confirmed_since)
    send_data(state)
    asked = fixtures.messages_of(
        run_tick(state, SURVEY_AT), message.FlowSurvey)
    assert len(asked) == len(AGENTS)
    effects = []
    for source, item in zip(AGENTS, answers):
        effects += answer(state, source, item)
    effects += run_tick(state, LATER)
    expected = [message.ResetFlow(fixtures.FLOW, ACKNOWLEDGED)]
    assert resets(effects) == (expected if is_reset else [])


def test_survey_waits_for_a_later_confirmation():
    """Guards against a reset by a configuration without the flow's target."""
    confirmed = [-1]
    state = fixtures.make_balancer(survey_state=pending_flows.make_surveys(
        True, lambda now: confirmed[0]))
    send_data(state)
    run_tick(state, SURVEY_AT)
    for source in AGENTS:
        answer(state, source, DENIED)
    assert not resets(run_tick(state, LATER))
    confirmed[0] = 0
    assert resets(run_tick(state, LATER + surveys.SURVEY_INTERVAL_MS))


def test_packets_go_to_the_agent_that_holds_the_flow():
    """Guards against a found flow whose packets are still dropped."""
    state = make_balancer()
    send_data(state)
    run_tick(state, SURVEY_AT)
    sent = answer(state, AGENTS[1], reply(held=(fixtures.FLOW,)))
    assert [item.destination for item in sent] == [AGENTS[1]]
    assert fixtures.messages_of(sent, message.FlowPacket)
    assert not state.surveys.pending_by_flow


@pytest.mark.parametrize('events, surveyed', [
    ([], True),
    ([BUSY_TARGET], False),
])
def test_flow_that_a_candidate_holds_is_not_surveyed(events, surveyed):
    """Guards against messages to all agents for each moved flow."""
    state = make_balancer()
    send_data(state)
    for item in events:
        answer(state, AGENTS[0], item, now=2)
    sent = fixtures.messages_of(
        run_tick(state, SURVEY_AT), message.FlowSurvey)
    assert bool(sent) is surveyed


def test_disabled_surveys_send_nothing():
    """Guards against messages that agents of an older build can't read."""
    state = make_balancer(enabled=False)
    send_data(state)
    assert not fixtures.messages_of(
        run_tick(state, SURVEY_AT), message.FlowSurvey)


@pytest.mark.parametrize('repeated_until, rounds', [
    pytest.param(0, 8, id='the caller sends once'),
    pytest.param(5000, surveys.MAXIMUM_ROUNDS, id='the caller repeats it'),
])
def test_unanswered_surveys_end(repeated_until, rounds):
    """Guards against a balancer that asks for a flow without end."""
    state = make_balancer()
    send_data(state)
    for now in range(SURVEY_AT, 20_000, 20):
        if now < repeated_until:
            send_data(state, now)
        run_tick(state, now)
    assert state.counters.survey_messages == rounds * len(AGENTS)
    assert not state.surveys.pending_by_flow
    assert not any(
        tracked.waiting_packets
        for tracked in state.tracked_by_flow.values())


@pytest.mark.parametrize('flows, targets', [(60, 65), (2000, 65), (3, 1000)])
def test_surveys_after_a_loss_of_all_hosts_are_bounded(flows, targets):
    """Guards against surveys that fill the links of the balancers.

    Load: all callers repeat the packets of their flows at the same time, and
    no agent answers.
    """
    search = search_model.Search(
        [search_model.Agent(up_at=10_000) for _ in range(targets)])
    for number in range(flows):
        search.call(fixtures.numbered_flow_key(number), 0)
    search.run(2000)
    assert search.state.counters.survey_messages
    assert search.excess_bytes(
        lookup_budget.DEFAULT_RATE, message.FlowQuery,
        message.FlowSurvey) == 0


def test_all_dead_flows_of_a_balancer_are_reset_within_a_second():
    """Guards against callers that wait until their timeout.

    Load: 70 flows at each balancer after a loss of all hosts, 65 targets, a
    third of a link of 2.6 Mbit/s.
    """
    search = search_model.Search(
        [search_model.Agent() for _ in range(65)], SLOWEST_LINK_RATE)
    flows = [fixtures.numbered_flow_key(number) for number in range(70)]
    for flow in flows:
        search.call(flow, 0)
    search.run(1000)
    assert set(search.resets) == set(flows)


@pytest.mark.parametrize('sequence, offered, passed, result', [
    pytest.param(1, True, False, 'held', id='it started the flow'),
    pytest.param(1, False, False, 'denied', id='it saw all flows'),
    pytest.param(9, False, False, 'uncertain', id='it was restarted'),
    pytest.param(9, False, True, 'uncertain', id='it passed a packet on'),
])
def test_agent_answers_a_survey(sequence, offered, passed, result):
    """Guards against a false denial, and a false claim of a flow."""
    state = fixtures.make_agent(sequence=sequence)
    if offered:
        fixtures.send_to_agent(state, fixtures.offer())
    if passed:
        fixtures.send_to_agent(state, message.FlowLookup(message.FlowPacket(
            fixtures.FLOW, True, False, b'data')))
    answer, = fixtures.messages_of(fixtures.send_to_agent(
        state, message.FlowSurvey(1, (message.SurveyedFlow(
            fixtures.FLOW, ACKNOWLEDGED),)), now=5), message.SurveyReply)
    assert answer == reply(**{result: (fixtures.FLOW,)})
