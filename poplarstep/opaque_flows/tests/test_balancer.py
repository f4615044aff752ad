"""Tests of where a balancer sends the packets of opaque flows."""

import pytest

from poplarstep.configuration import model
from poplarstep.core import timer
from poplarstep.opaque_flows import balancer
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows.tests import fixtures

TICK = timer.Tick(balancer.TICK)


def send_packet(state, now=0, **changes):
    """Process a caller's packet; return the effects."""
    return list(balancer.BALANCER.process(
        state, message.FromCaller(fixtures.segment(**changes)), now))


def send_answer(state, source, item, now=1):
    """Process an agent's answer; return the effects."""
    return list(balancer.BALANCER.process(
        state, message.FromNode(source, item), now))


def destinations(effects):
    """Return the addresses to which messages are sent."""
    return [item.destination for item in effects
            if type(item) is message.ToNode]


def flow_rejected(reason):
    """Return an agent's rejection of the flow."""
    return message.FlowRejected(fixtures.FLOW, reason, fixtures.IDLE_LOAD)


def reset_flows(effects):
    """Return the flows that are reset."""
    return [item.flow for item in effects
            if type(item) is message.ResetFlow]


def test_new_flow_is_offered_to_a_target_of_its_service():
    """Guards against a flow at a target of another service."""
    for seed in range(20):
        state = fixtures.make_balancer(seed=seed)
        agent, = destinations(send_packet(state, opening=True))
        assert agent in fixtures.AGENTS[:3]


@pytest.mark.parametrize('reason', [
    message.BUSY, message.COLD, message.LEAVING, message.ABSENT,
    message.WRONG_SERVICE, message.RETURNED, message.MAY_HAVE_STARTED])
def test_rejected_flow_is_offered_to_another_target(reason):
    """Guards against a flow that is lost at a target that can't accept it."""
    state = fixtures.make_balancer()
    first, = destinations(send_packet(state, opening=True))
    second, = destinations(send_answer(state, first, flow_rejected(reason)))
    assert second != first


def test_flow_may_queue_after_all_targets_were_busy():
    """Guards against a reset while a queue is not full."""
    state = fixtures.make_balancer()
    effects = send_packet(state, opening=True)
    may_queue = []
    for _ in range(4):
        agent, = destinations(effects)
        may_queue.append(effects[0].message.may_queue)
        effects = send_answer(state, agent, flow_rejected(message.BUSY))
    assert may_queue == [False, False, False, True]


def reject_by_all(state, effects, reason, now):
    """Let all targets reject a flow; return the last effects."""
    for _ in range(3):
        agent, = destinations(effects)
        effects = send_answer(state, agent, flow_rejected(reason), now)
    return effects


def test_flow_that_no_target_can_accept_is_reset_at_once():
    """Guards against a caller that waits for a timeout without need."""
    state = fixtures.make_balancer()
    effects = reject_by_all(
        state, send_packet(state, opening=True), message.DATA_CENTRE_OUT, 1)
    assert reset_flows(effects) == [fixtures.FLOW]


@pytest.mark.parametrize('reason', [
    message.COLD, message.LEAVING, message.ABSENT, message.WRONG_SERVICE])
def test_flow_is_offered_again_after_a_transient_reason(reason):
    """Guards against a reset while the targets of a service restart."""
    state = fixtures.make_balancer()
    last_effects = reject_by_all(
        state, send_packet(state, opening=True), reason, 1)
    assert last_effects == []
    assert send_packet(state, opening=True, now=20) == []
    now = 80
    copies = [200, 600]
    effects = list(balancer.BALANCER.process(state, TICK, now))
    while not reset_flows(effects):
        effects = reject_by_all(state, effects, reason, now)
        if not effects:
            now += 60
            if copies and now >= copies[0]:
                del copies[0]
                assert send_packet(
                    state, opening=True, repeated=True, now=now) == []
            effects = list(balancer.BALANCER.process(state, TICK, now))
        assert now < 2000
    assert reset_flows(effects) == [fixtures.FLOW]
    assert now >= 1200


def test_unanswered_offer_times_out_before_a_retransmission():
    """Guards against waiting for a host that is down or unreachable."""
    state = fixtures.make_balancer()
    first, = destinations(send_packet(state, opening=True))
    assert destinations(balancer.BALANCER.process(state, TICK, 20)) == []
    second, = destinations(balancer.BALANCER.process(state, TICK, 60))
    assert second != first


def test_later_packets_go_to_the_agent_that_holds_the_flow():
    """Guards against an open flow that is moved to another target."""
    state = fixtures.make_balancer()
    agent, = destinations(send_packet(state, opening=True))
    send_answer(
        state, agent, message.FlowAccepted(fixtures.FLOW, fixtures.IDLE_LOAD))
    for _ in range(5):
        assert destinations(send_packet(state, data=10)) == [agent]


def test_packet_of_an_unknown_flow_is_sent_to_all_agents_of_its_route():
    """Guards against flows that break when the network moves them."""
    state = fixtures.make_balancer()
    effects = send_packet(state, data=10)
    assert destinations(effects) == list(fixtures.AGENTS[:3])
    assert {type(item.message) for item in effects} == {message.FlowLookup}
    send_answer(state, fixtures.AGENTS[1], message.FlowAccepted(
        fixtures.FLOW, fixtures.IDLE_LOAD))
    assert destinations(send_packet(state, data=10)) == [fixtures.AGENTS[1]]


def test_packet_that_a_target_returned_is_sent_to_all_agents():
    """Guards against a flow that stays at a target that does not hold it."""
    state = fixtures.make_balancer()
    agent, = destinations(send_packet(state, opening=True))
    send_answer(
        state, agent, message.FlowAccepted(fixtures.FLOW, fixtures.IDLE_LOAD))
    effects = send_answer(state, agent, message.ReturnedPacket(
        fixtures.FLOW, True, False, b'data'))
    assert destinations(effects) == list(fixtures.AGENTS[:3])


def test_lookups_of_a_flow_are_limited():
    """Guards against endless lookups of a flow that has ended."""
    state = fixtures.make_balancer()
    sent = [len(send_packet(state, data=10)) for _ in range(40)]
    assert sent[0] == 3 and sent[-1] == 0


@pytest.mark.parametrize('change, service_address, reset', [
    pytest.param(None, fixtures.UNROUTED_ADDRESS, True, id='no route'),
    pytest.param(
        model.Removal('route', 1), fixtures.SERVICE_ADDRESS, True,
        id='removed route'),
    pytest.param(None, fixtures.SERVICE_ADDRESS, False, id='route'),
])
def test_flow_without_a_route_is_reset(change, service_address, reset):
    """Guards against flows that start on a removed route."""
    state = fixtures.make_balancer()
    if change is not None:
        state.catalogue.apply([model.Change(2, change)])
    flow = fixtures.segments.flow_key(fixtures.CALLER, service_address)
    effects = send_packet(state, flow=flow, opening=True)
    assert bool(reset_flows(effects)) is reset


def test_no_reset_without_a_confirmed_configuration():
    """Guards against resets by a node that may not know the routes."""
    state = fixtures.make_balancer()
    state.confirmed = lambda now: False
    assert send_packet(state, opening=True) == []
    assert send_packet(state, data=1) == []


def test_retransmitted_opening_packet_causes_no_second_offer():
    """Guards against one flow at two targets."""
    state = fixtures.make_balancer()
    agent, = destinations(send_packet(state, opening=True))
    assert send_packet(state, opening=True, now=10) == []
    send_answer(
        state, agent, message.FlowAccepted(fixtures.FLOW, fixtures.IDLE_LOAD))
    assert destinations(send_packet(state, opening=True, now=200)) == [agent]


def test_idle_flows_are_removed():
    """Guards against a flow table that grows without bound."""
    state = fixtures.make_balancer()
    send_packet(state, data=1)
    balancer.BALANCER.process(state, TICK, 20_000)
    assert state.tracked_by_flow == {}


def test_opening_packets_that_waited_for_a_paused_balancer_are_dropped():
    """Guards against flows whose callers have given up."""
    state = fixtures.make_balancer()
    balancer.BALANCER.process(state, TICK, 0)
    late = [send_packet(
        state, now=7000, opening=True, flow=fixtures.numbered_flow_key(1))]
    balancer.BALANCER.process(state, TICK, 7000)
    late.append(send_packet(
        state, now=7001, opening=True, flow=fixtures.numbered_flow_key(2)))
    balancer.BALANCER.process(state, TICK, 7020)
    fresh = send_packet(
        state, now=7021, opening=True, flow=fixtures.numbered_flow_key(3))
    assert late == [[], []] and len(fresh) == 1


@pytest.mark.parametrize('repeated, unanswered, reset', [
    pytest.param(False, False, True, id='not open'),
    pytest.param(True, False, False, id='an earlier copy may have opened it'),
    pytest.param(
        False, True, False, id='an offer that timed out may have opened it'),
])
def test_flow_that_may_be_open_is_not_reset(repeated, unanswered, reset):
    """Guards against a reset of an open flow by a balancer."""
    state = fixtures.make_balancer()
    effects = list(balancer.BALANCER.process(state, message.FromCaller(
        fixtures.segments.Segment(
            fixtures.FLOW, True, False, False, False, 0, b'packet',
            repeated)), 0))
    if unanswered:
        effects = list(balancer.BALANCER.process(state, TICK, 60))
    for _ in range(3):
        agents = destinations(effects)
        if agents:
            effects = send_answer(state, agents[0], flow_rejected(
                message.DATA_CENTRE_OUT), 61)
    assert fixtures.FLOW not in state.tracked_by_flow
    assert bool(reset_flows(effects)) is reset


@pytest.mark.parametrize('all_rejected', [False, True])
def test_late_answer_of_an_earlier_offer_ends_the_offers(all_rejected):
    """Guards against further offers of a flow that a target holds.

    After all targets have rejected a flow, the balancer waits before it
    offers the flow again.
    """
    state = fixtures.make_balancer()
    first, = destinations(send_packet(state, opening=True))
    effects = list(balancer.BALANCER.process(state, TICK, 60))
    second, = destinations(effects)
    if all_rejected:
        effects = send_answer(state, second, flow_rejected(message.ABSENT), 61)
        third, = destinations(effects)
        assert send_answer(
            state, third, flow_rejected(message.ABSENT), 62) == []
    send_answer(
        state, first,
        message.FlowAccepted(fixtures.FLOW, fixtures.IDLE_LOAD), 63)
    late = send_answer(state, second, flow_rejected(message.BUSY), 64)
    later = list(balancer.BALANCER.process(state, TICK, 200))
    assert late == [] and later == []
    assert destinations(send_packet(state, data=5, now=201)) == [first]


def test_histogram_holds_the_time_until_a_flow_is_accepted():
    """Guards against a histogram that counts later answers."""
    state = fixtures.make_balancer()
    agent, = destinations(send_packet(state, now=100, opening=True))
    accepted = message.FlowAccepted(fixtures.FLOW, fixtures.IDLE_LOAD)
    send_answer(state, agent, accepted, 130)
    send_answer(state, agent, accepted, 900)
    rows = {row[0]: row[2] for row in state.opening_ms.rows('opening_ms')}
    assert (rows['opening_ms_sum'], rows['opening_ms_count']) == (30, 1)


def test_second_target_that_accepted_a_flow_gets_no_packets():
    """Guards against packets at the target whose answer came second."""
    state = fixtures.make_balancer()
    first, = destinations(send_packet(state, opening=True))
    second, = destinations(balancer.BALANCER.process(
        state, TICK, balancer.OFFER_TIMEOUT_MS))
    accepted = message.FlowAccepted(fixtures.FLOW, fixtures.IDLE_LOAD)
    send_answer(state, first, accepted, 70)
    send_answer(state, second, accepted, 72)
    assert destinations(send_packet(state, now=80, data=5)) == [first]
