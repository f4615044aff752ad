"""Tests of when an agent that leaves may stop."""

import pytest

from poplarstep.opaque_flows import agent
from poplarstep.opaque_flows import agent_state
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import presence
from poplarstep.opaque_flows.tests import fixtures


def from_target(state, now, **changes):
    """Process a packet of the target."""
    agent.AGENT.process(
        state, message.FromTarget(fixtures.segment(**changes)), now)


def start_flow(state, now):
    """Start a flow and let the target answer the opening packet."""
    fixtures.send_to_agent(state, fixtures.offer(), now)
    from_target(state, now, opening=True)


def start_request(state, now):
    """Start a flow with a running request."""
    start_flow(state, now)
    fixtures.send_to_agent(state, message.FlowPacket(
        fixtures.FLOW, True, False, b'request'), now)


def answer_request(state, now):
    """Start a flow whose request is answered; the flow stays open."""
    start_request(state, now)
    from_target(state, now, data=100)


def close_flow(state, now):
    """Start a flow that the target closes after its answer."""
    answer_request(state, now)
    from_target(state, now, closing=True)


@pytest.mark.parametrize('prepare, waited_ms, may_stop', [
    pytest.param(lambda state, now: None, 0, True, id='no flow'),
    pytest.param(start_flow, 0, False, id='flow without its request yet'),
    pytest.param(start_request, 0, False, id='running request'),
    pytest.param(start_request, 1500, False, id='long request'),
    pytest.param(answer_request, 0, False, id='answer in transfer'),
    pytest.param(answer_request, 1000, True, id='idle open flow'),
    pytest.param(close_flow, 0, True, id='closed flow'),
])
def test_an_agent_stops_when_it_cuts_no_request(prepare, waited_ms, may_stop):
    """Guards against a cut request, and a drain that waits for idle callers.

    A target gets no new flow during the drain, and an idle flow outlives it.
    """
    state = fixtures.make_agent()
    prepare(state, 100)
    assert not agent_state.may_stop(state, 100)
    presence.PRESENCE.process(state, presence.Leave(), 100)
    assert agent_state.may_stop(state, 100 + waited_ms) is may_stop
