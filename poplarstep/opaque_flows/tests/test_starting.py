"""Tests of cold targets, of pauses and of starting balancers."""

import pytest

from poplarstep.core import timer
from poplarstep.dissemination import message as dissemination
from poplarstep.opaque_flows import agent
from poplarstep.opaque_flows import balancer
from poplarstep.opaque_flows import early_openings
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows.tests import fixtures

TICK = timer.Tick(agent.TICK)


@pytest.mark.parametrize('cold_per_second, started', [
    pytest.param(fixtures.COLD_FLOWS_PER_S, 8, id='limit of the operators'),
    pytest.param(0.0, 12, id='no limit set'),
])
def test_cold_target_has_the_limit_that_operators_set(
        cold_per_second, started):
    """Guards against flows beyond the limit, and a limit that nobody set."""
    state = fixtures.make_agent(slots=20, cold_ms=2000)
    service = state.catalogue.service_by_name['dispatch']
    state.catalogue.service_by_name['dispatch'] = service.replace(
        cold_per_second=cold_per_second)
    for number in range(12):
        fixtures.send_to_agent(state, fixtures.offer(
            fixtures.numbered_flow_key(number)), now=1)
    assert state.counters.taken == started


@pytest.mark.parametrize('paused_ms, dropped', [(300, False), (3000, True)])
def test_offers_that_waited_for_a_paused_agent_are_dropped(
        paused_ms, dropped):
    """Guards against a process that acts on what was allowed before a pause.

    The data centre may have been taken out meanwhile, and the flow may have
    started elsewhere.
    """
    state = fixtures.make_agent()
    agent.AGENT.process(state, TICK, 10)
    state.target.last_heartbeat_at = 10 + paused_ms
    sent = fixtures.send_to_agent(
        state, fixtures.offer(), now=10 + paused_ms)
    assert (fixtures.to_target(sent) == []) is dropped
    agent.AGENT.process(state, TICK, 11 + paused_ms)
    agent.AGENT.process(state, TICK, 31 + paused_ms)
    sent = fixtures.send_to_agent(
        state, fixtures.offer(), now=32 + paused_ms)
    assert fixtures.to_target(sent) == [b'opening']


def open_flow(state, now, number=0):
    """Process an opening packet at a balancer; return the offers."""
    return offers_of(balancer.BALANCER.process(
        state, message.FromCaller(fixtures.segment(
            flow=fixtures.numbered_flow_key(number), opening=True)), now))


def offers_of(effects):
    """Return the offers among effects."""
    return fixtures.messages_of(effects, message.Offer)


@pytest.mark.parametrize('waited_ms, offered', [
    (100, 1), (1300, 1), (early_openings.MAXIMUM_AGE_MS, 0)])
def test_opening_packets_wait_for_the_configuration(waited_ms, offered):
    """Guards against callers that must retransmit after a power loss."""
    state = fixtures.make_balancer()
    confirmed = []
    state.confirmed = lambda now: bool(confirmed)
    assert open_flow(state, 0) == []
    assert open_flow(state, waited_ms - 1) == []
    confirmed.append(True)
    sent = offers_of(balancer.BALANCER.process(
        state, dissemination.CatalogueChanged(1), waited_ms))
    assert len(sent) == offered
    for item in sent:
        # Half of the objective of 150 ms; callers wait for 1400 ms.
        assert item.wait_limit_ms == min(75, 1400 - waited_ms)


def test_kept_opening_packets_are_bounded():
    """Guards against a starting balancer that runs out of memory."""
    state = fixtures.make_balancer()
    state.confirmed = lambda now: False
    for number in range(early_openings.MAXIMUM_EARLY_OPENINGS + 10):
        open_flow(state, 0, number)
    assert len(state.early_opening_by_flow) == (
        early_openings.MAXIMUM_EARLY_OPENINGS)
