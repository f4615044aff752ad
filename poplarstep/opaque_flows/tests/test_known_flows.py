"""Tests of the flows that a balancer tells a restarted agent."""

import math
import random

import pytest

from poplarstep.configuration import model
from poplarstep.core import effect
from poplarstep.core import timer
from poplarstep.dissemination import message as dissemination
from poplarstep.edge import wire
from poplarstep.opaque_flows import balancer
from poplarstep.opaque_flows import balancer_assembly
from poplarstep.opaque_flows import known_flows
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import offers
from poplarstep.opaque_flows.tests import fixtures

AGENT = fixtures.AGENTS[0]
NOW = 20_000


def make_balancer(known_flows='send', flows=(fixtures.FLOW,), agent=AGENT):
    """Return a balancer that has forwarded flows to an agent."""
    _, subscribed, state = balancer_assembly.make_balancer({
        'node': 'b', 'upstreams': (fixtures.BALANCER,),
        'without-control': 'serve', 'placement': 'two-choices',
        'locality': 'none', 'data-centre': 'maadi', 'dead-flows': 'ignore',
        'tied-offers': 0, 'lookup-rate': 62_500, 'avoid-failing': 'off',
        'known-flows': known_flows}, 1, random.Random(1), 0)
    subscribed.catalogue.restore(fixtures.make_catalogue().snapshot())
    change_catalogue(state, [], now=0)
    for flow in flows:
        offers.add_flow(state, flow, NOW).agent = agent
    return state


def change_catalogue(state, bodies, now=NOW):
    """Apply objects at the next version; return the effects."""
    version = state.catalogue.version + 1
    state.catalogue.apply([model.Change(version, body) for body in bodies])
    return list(balancer.BALANCER.process(
        state, dissemination.CatalogueChanged(version), now))


def restart_agent(state, **changes):
    """Announce a later incarnation of the agent of target 0."""
    return change_catalogue(state, [fixtures.make_target(
        0, **{'incarnation': 2, **changes})])


def run(state, until=NOW + 2000, start=NOW):
    """Process ticks every 20 ms; return the effects of each."""
    return [
        list(balancer.BALANCER.process(
            state, timer.Tick(balancer.TICK), now))
        for now in range(start, until, balancer.TICK_PERIOD_MS)]


def test_restarted_agent_holds_the_idle_flows_of_its_target():
    """Guards against open flows that no restarted agent knows.

    The flow is idle while its agent restarts. A balancer without memory then
    asked, and the packet went to the targets of other uncertain agents.
    """
    state = make_balancer()
    effects = restart_agent(state)
    restarted = fixtures.make_agent(sequence=9)
    for item in effects + sum(run(state), []):
        if type(item) is message.ToNode and item.destination == AGENT:
            fixtures.send_to_agent(restarted, item.message, now=2000)
    answers = fixtures.send_to_agent(
        restarted, message.FlowQuery(fixtures.FLOW), now=2500,
        source=fixtures.OTHER_BALANCER)
    assert fixtures.messages_of(answers, message.FlowAccepted)


def notices(ticks, destination=AGENT):
    """Return the flows in each message to an agent, and the time of each."""
    sent = []
    for number, effects in enumerate(ticks):
        for item in effects:
            if (type(item) is message.ToNode
                    and item.destination == destination):
                assert isinstance(item.message, message.KnownFlows)
                sent.append((number * balancer.TICK_PERIOD_MS, [
                    known.flow for known in item.message.flows]))
    return sent


@pytest.mark.parametrize('setting, number, changes, is_told', [
    pytest.param('send', 0, {'incarnation': 2}, True, id='restart'),
    pytest.param('off', 0, {'incarnation': 2}, False, id='off'),
    pytest.param('send', 0, {'revision': 2}, False,
                 id='same incarnation'),
    pytest.param('send', 0, {'incarnation': 0}, False,
                 id='earlier incarnation'),
    pytest.param('send', 0, {
        'incarnation': 2, 'agent': fixtures.OTHER_BALANCER}, False,
        id='other address'),
    pytest.param('send', 9, {'incarnation': 2, 'agent': AGENT}, False,
                 id='other target with the address'),
])
def test_only_a_restarted_agent_is_told(setting, number, changes, is_told):
    """Guards against flows that are claimed for another target."""
    state = make_balancer(setting)
    change_catalogue(state, [
        fixtures.make_target(0).replace(
            name='side-%d' % number, number=number, **changes)])
    ticks = run(state)
    told = [item for effects in ticks for item in effects
            if type(item) is message.ToNode]
    assert [item.destination for item in told] == [AGENT] * 2 * is_told
    assert state.counters.known_flows_sent == is_told


@pytest.mark.parametrize('is_snapshot', [False, True])
def test_restart_is_seen_after_a_removal(is_snapshot):
    """Guards against flows that are lost with a target's short absence."""
    state = make_balancer()
    target = fixtures.make_target(0, incarnation=2)
    change_catalogue(state, [model.Removal('target', 0)])
    if is_snapshot:
        snapshot = fixtures.make_catalogue().snapshot()
        state.catalogue.restore(model.Snapshot(
            9, snapshot.services, snapshot.data_centres,
            (target,) + snapshot.targets[1:], snapshot.routes,
            snapshot.policies))
        change_catalogue(state, [])
    else:
        change_catalogue(state, [target])
    assert len(notices(run(state))) == 2


@pytest.mark.parametrize('agent, idle_ms, is_sent', [
    (AGENT, 14_000, True),
    (AGENT, 15_000, False),
    (None, 0, False),
    (fixtures.AGENTS[1], 0, False),
])
def test_only_accepted_flows_that_may_be_open_are_sent(
        agent, idle_ms, is_sent):
    """Guards against claims of flows that were never accepted, or ended."""
    state = make_balancer(agent=agent)
    state.tracked_by_flow[fixtures.FLOW].last_used = NOW - idle_ms
    restart_agent(state)
    assert bool(notices(run(state))) is is_sent


@pytest.mark.parametrize('closing, is_sent', [(False, True), (True, False)])
def test_closed_flows_are_not_sent(closing, is_sent):
    """Guards against notices about flows of one request each, which ended."""
    state = make_balancer()
    list(balancer.BALANCER.process(state, message.FromCaller(
        fixtures.segment(closing=closing)), NOW))
    restart_agent(state)
    assert bool(notices(run(state))) is is_sent


def test_flow_that_moves_before_the_repetition_is_not_sent_again():
    """Guards against a claim of a flow that was found at another agent."""
    state = make_balancer()
    restart_agent(state)
    assert len(notices(run(state, NOW + 100))) == 1
    state.tracked_by_flow[fixtures.FLOW].agent = fixtures.AGENTS[1]
    assert not notices(run(state, start=NOW + 100))


def test_each_incarnation_is_told_twice():
    """Guards against a lost datagram, and an agent that restarts again."""
    state = make_balancer()
    restart_agent(state)
    ticks = run(state)
    assert [at for at, _ in notices(ticks)] == [
        0, known_flows.REPEAT_AFTER_MS]
    restart_agent(state, incarnation=3)
    ticks += run(state, NOW + 4000, NOW + 2000)
    assert len(notices(ticks)) == 4
    assert [dict(item.fields)['flows'] for effects in ticks
            for item in effects if type(item) is effect.LogEvent] == [1, 1]


def test_message_is_not_fragmented():
    """Guards against datagrams of which one lost part loses all flows."""
    longest = message.KnownFlow(fixtures.FLOW, 86_400_000)
    assert len(wire.make_flow_codec().encode(message.KnownFlows(
        (longest,) * known_flows.FLOWS_PER_MESSAGE))) <= 1200


class CountedTable(dict):
    r"""A flow table that counts the entries that are looked at."""

    __slots__ = ('count',)

    def get(self, key, default=None):
        """Count a look at an entry."""
        self.count += 1
        return super().get(key, default)


def test_work_per_tick_is_bounded():
    """Guards against pauses of the data path when an agent restarts.

    Load: 200,000 flows, of which the restarted agent holds 500.
    """
    flows = [number.to_bytes(12) for number in range(200_000)]
    state = make_balancer(flows=flows, agent=fixtures.AGENTS[1])
    held = flows[::400]
    for flow in held:
        state.tracked_by_flow[flow].agent = AGENT
    table = state.tracked_by_flow = CountedTable(state.tracked_by_flow)
    restart_agent(state)
    counts, sent = [], []
    for now in range(NOW, NOW + 4000, balancer.TICK_PERIOD_MS):
        table.count = 0
        effects = known_flows.tick(state, now)
        counts.append(table.count)
        for item in effects:
            if type(item) is message.ToNode:
                assert isinstance(item.message, message.KnownFlows)
                sent += [known.flow for known in item.message.flows]
        assert len(effects) <= 2
    assert sent == held * 2
    assert max(counts) <= (
        known_flows.FLOWS_PER_SLICE + known_flows.FLOWS_PER_MESSAGE)
    assert known_flows.due_at(state) == math.inf
