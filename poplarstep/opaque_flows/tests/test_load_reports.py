"""Tests of the load that agents measure and report to balancers."""

import pytest

from poplarstep.configuration import model
from poplarstep.core import address
from poplarstep.core import timer
from poplarstep.opaque_flows import agent
from poplarstep.opaque_flows import balancer
from poplarstep.opaque_flows import demand
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows.tests import fixtures

PACKET = message.FlowPacket(fixtures.FLOW, False, False, b'packet')
REQUEST = PACKET.replace(has_data=True)
OLD = message.Load(1, 2, 20_000, 500, 40)


def run_request(state, start, end):
    """Open the flow if need be, and let its request run for a time."""
    if fixtures.FLOW not in state.flow_by_key:
        fixtures.send_to_agent(state, fixtures.offer(), start)
    fixtures.send_to_agent(state, REQUEST, start)
    list(agent.AGENT.process(
        state, message.FromTarget(fixtures.segment(data=100)), end))


def reports(state, now, item=PACKET, source=fixtures.BALANCER):
    """Return the reports that a message of a balancer causes."""
    return fixtures.messages_of(
        fixtures.send_to_agent(state, item, now, source), message.LoadReport)


@pytest.mark.parametrize('slots, busy_ms, idle_ms, expected', [
    (1, 0, 1000, 0), (1, 5000, 0, 993), (2, 5000, 0, 497),
    (1, 5000, 1000, 365), (1, 5000, 10_000, 0)])
def test_utilisation_is_the_recent_share_of_busy_slots(
        slots, busy_ms, idle_ms, expected):
    """Guards against a utilisation of the moment, or of all the past."""
    state = fixtures.make_agent(slots=slots)
    if busy_ms:
        run_request(state, 0, busy_ms)
    now = busy_ms + idle_ms
    effects = fixtures.send_to_agent(
        state, message.FlowQuery(fixtures.FLOW), now)
    if not fixtures.messages_of(effects, message.FlowAccepted):
        effects = fixtures.send_to_agent(state, fixtures.offer(), now)
    answer, = fixtures.messages_of(effects, message.FlowAccepted)
    assert answer.load.utilization_permille == pytest.approx(expected, abs=5)


@pytest.mark.parametrize('new, changed', [
    (OLD, False), (OLD.replace(backlog=9), False),
    (OLD.replace(utilization_permille=620), False),
    (OLD.replace(utilization_permille=626), True),
    (OLD.replace(utilization_permille=370), True),
    (OLD.replace(open_flows=45), False), (OLD.replace(open_flows=46), True),
    (OLD.replace(open_flows=0), True), (OLD.replace(service_us=15_000), True),
])
def test_changes_by_more_than_an_eighth_are_reported(new, changed):
    """Guards against a report for each request, and against silence."""
    assert demand.has_changed(OLD, new) == changed


@pytest.mark.parametrize('setting, item, now, expected', [
    ('off', PACKET, 2500, 0), ('on', PACKET, 2500, 1),
    pytest.param('on', PACKET, 900, 0, id='at most once per second'),
    pytest.param('on', PACKET, 1100, 1, id='the load has changed'),
    pytest.param(
        'on', message.FlowQuery(fixtures.FLOW), 2500, 0, id='no packet'),
    pytest.param(
        'on', fixtures.offer(), 2500, 0, id='the answer holds the load'),
])
def test_balancer_is_told_after_its_packet(setting, item, now, expected):
    """Guards against reports that nobody needs, or that are never sent."""
    state = fixtures.make_agent(load_reports=setting)
    run_request(state, 0, 900)
    assert len(reports(state, now, item)) == expected


def test_unchanged_load_is_repeated_before_it_fades():
    """Guards against a busy target that is taken for an average one."""
    state = fixtures.make_agent(load_reports='on')
    fixtures.send_to_agent(state, fixtures.offer(), 0)
    reports(state, 100)
    times = [
        now for now in range(3000, 12_000, 100) if reports(state, now)]
    assert [later - now for now, later in zip(times, times[1:])] == (
        [demand.REPEAT_INTERVAL_MS] * (len(times) - 1))


def test_reports_to_many_balancers_are_limited():
    """Guards against control traffic that grows with the balancers."""
    state = fixtures.make_agent(load_reports='on')
    fixtures.send_to_agent(state, fixtures.offer(), 0)
    sent = 0
    for number in range(2000):
        source = address.Address('10.8.%d.%d' % divmod(number, 256), 1)
        sent += len(reports(state, 1000 + 5 * number, source=source))
    # A second has 10 KB of control traffic per node, half of which is for the
    # configuration; 36,000 agents report to 3,100 balancers in 57 bytes each.
    sent -= demand.MAXIMUM_REPORT_BURST
    assert sent / 10 * 36_000 / 3_100 * 57 <= 5_000
    assert len(state.demand.told_by_balancer) <= demand.MAXIMUM_BALANCERS


def test_new_instance_starts_without_load():
    """Guards against a restarted target that looks as busy as before."""
    state = fixtures.make_agent(load_reports='on')
    run_request(state, 0, 5000)
    agent.AGENT.process(state, timer.Tick(agent.TICK), 5000)
    fixtures.presence.PRESENCE.process(
        state, fixtures.heartbeat(started_at=6000), 5000)
    effects = fixtures.send_to_agent(state, fixtures.offer(), 5001)
    answer, = fixtures.messages_of(effects, message.FlowAccepted)
    assert answer.load == message.Load(1, 1, 5_000_000, 0, 1)


@pytest.mark.parametrize('source, known', [
    (fixtures.AGENTS[1], True), (fixtures.BALANCER, False)])
def test_balancer_records_the_report_of_a_target(source, known):
    """Guards against reports of unknown agents, and against lost ones."""
    state = fixtures.make_balancer()
    effects = balancer.BALANCER.process(state, message.FromNode(
        source, message.LoadReport(OLD)), 10)
    assert list(effects) == []
    assert state.counters.load_reports == known
    estimates = state.placement.estimate_by_number
    assert [item.open_flows for item in estimates.values()] == [40] * known


def test_address_of_a_replaced_target_stands_for_the_later_one():
    """Guards against reports that count for a target that is gone."""
    state = fixtures.make_balancer()
    assert state.agents.target(fixtures.AGENTS[1]).number == 1
    state.catalogue.apply([
        model.Change(2, model.Removal('target', 1)),
        model.Change(2, fixtures.make_target(1).replace(
            name='later', number=9))])
    assert state.agents.target(fixtures.AGENTS[1]).number == 9
