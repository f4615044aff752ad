"""Tests of what an agent hands to its target, and what it returns."""

import pytest

from poplarstep.configuration import model
from poplarstep.core import timer
from poplarstep.dissemination import message as dissemination
from poplarstep.steering import admission
from poplarstep.steering import agent
from poplarstep.steering import message
from poplarstep.steering import presence
from poplarstep.steering import target
from poplarstep.steering.tests import worlds

TICK = timer.Tick(agent.TICK)


def beat(state, now, **changes):
    """Feed a heartbeat; return the effects."""
    return presence.PRESENCE.process(state, worlds.heartbeat(**changes), now)


@pytest.mark.parametrize('heard, beats, now, service, reason', [
    pytest.param(True, [], 0, worlds.SERVICE, '', id='ready target'),
    pytest.param(
        False, [], 0, worlds.SERVICE, message.ABSENT,
        id='a target that was never heard may be one of another service'),
    pytest.param(
        True, [], 1901, worlds.SERVICE, message.ABSENT,
        id='the address of a silent target may be used again'),
    pytest.param(
        True, [], 0, worlds.OTHER_SERVICE, message.WRONG_SERVICE,
        id='a flow for another service'),
    pytest.param(
        True, [{'sequence': 2, 'leaving': True}], 0, worlds.SERVICE,
        message.LEAVING, id='a target that leaves'),
    pytest.param(
        True, [{'sequence': 2, 'leaving': True}, {'sequence': 1}], 0,
        worlds.SERVICE, message.LEAVING,
        id='a late heartbeat does not bring a leaving target back'),
    pytest.param(
        True, [{'started_at': 6000, 'service': 'certs'},
               {'started_at': 5000, 'sequence': 9}], 0, worlds.SERVICE,
        message.WRONG_SERVICE,
        id='a late heartbeat of a former start changes no service'),
    pytest.param(
        True, [{'sequence': 2, 'leaving': True},
               {'started_at': 6000, 'sequence': 1}], 0, worlds.SERVICE, '',
        id='a new start under the same name counts its heartbeats anew'),
])
def test_obstacle(heard, beats, now, service, reason):
    """Guards against flows at the wrong, leaving or absent target."""
    state = worlds.make_agent(heard=heard)
    for changes in beats:
        beat(state, 0, **changes)
    assert admission.obstacle(state, service, now) == reason
    effects = worlds.ask_agent(state, worlds.offer(service=service), now)
    assert bool(worlds.to_target(effects)) == (not reason)
    assert [item.reason for item in worlds.answer(
        effects, message.NotTaken)] == ([reason] if reason else [])


def test_departed_target_gets_no_flow():
    """Guards against flows at a target that has said it ends."""
    state = worlds.make_agent()
    presence.PRESENCE.process(state, target.Departure(0, 'i-1'), 0)
    assert admission.obstacle(state, worlds.SERVICE, 0) == message.ABSENT


def test_acknowledgement_follows_the_announcement():
    """Guards against a heartbeat acknowledged before it is in force."""
    state = worlds.make_agent()
    effects = beat(state, 10, key=4, sequence=2, leaving=True)
    assert type(effects[-1]) is target.HeartbeatReply
    assert any(
        type(item) is dissemination.Announced and item.announcement.leaving
        for item in effects)


def set_centre(state, out, now):
    """Apply a change of the agent's data centre."""
    version = state.catalogue.version + 1
    state.catalogue.apply([model.Change(
        version, model.DataCentre('maadi', 1, out, version))])
    agent.HOLD.process(
        state, dissemination.CatalogueChanged(version), now)


def test_data_centre_out_and_back():
    """Guards against flows into a data centre that is out.

    After the return the target may have become cold without a heartbeat.
    """
    state = worlds.make_agent()
    set_centre(state, True, 100)
    assert admission.obstacle(
        state, worlds.SERVICE, 100) == message.DATA_CENTRE_OUT
    set_centre(state, False, 200)
    assert admission.is_cold(state, 200)
    beat(state, 300, sequence=2)
    assert not admission.is_cold(state, 300)


@pytest.mark.parametrize('interval_ms', [0, 10, 90, 130])
def test_cold_target_gets_what_it_bears(interval_ms):
    """Guards against more cold starts in any second than allowed."""
    state = worlds.make_agent(slots=100, cold_ms=60_000)
    limit = 2.0 * 1.5 + 5
    started_at = []
    for number in range(60):
        now = admission.COLD_WINDOW_MS + 1 + number * interval_ms
        beat(state, now, cold_ms=60_000, slots=100, sequence=2 + number)
        effects = worlds.ask_agent(
            state, worlds.offer(worlds.flow_number(number)), now)
        if worlds.to_target(effects):
            started_at.append(now)
    assert started_at
    for first in started_at:
        assert sum(
            first <= now <= first + 1000 for now in started_at) <= limit


@pytest.mark.parametrize('may_wait, offers, handed, queued', [
    (False, 1, 1, 0),
    (False, 3, 1, 0),
    (True, 3, 1, 2),
])
def test_slots_bound_the_flows_at_a_target(
        may_wait, offers, handed, queued):
    """Guards against a target that is given more than its slots."""
    state = worlds.make_agent()
    effects = []
    for number in range(offers):
        effects += worlds.ask_agent(state, worlds.offer(
            worlds.flow_number(number), may_wait=may_wait))
    assert len(worlds.to_target(effects)) == handed
    assert state.waiting == queued
    refused = worlds.answer(effects, message.NotTaken)
    assert {item.reason for item in refused} <= {message.BUSY}
    assert len(refused) == offers - handed - queued


def test_queue_is_served_by_priority():
    """Guards against a booking that waits behind what can wait."""
    state = worlds.make_agent()
    for number, priority in enumerate((2, 2, 1, 0)):
        worlds.ask_agent(state, worlds.offer(
            worlds.flow_number(number), priority=priority, may_wait=True))
    order = []
    for number in (0, 3, 2):
        effects = agent.HOLD.process(state, message.FromTarget(
            worlds.segment(worlds.flow_number(number), data=9)), 30)
        order += worlds.answer(effects, message.Held)
    started = [item.flow for item in order]
    assert started == [worlds.flow_number(number) for number in (3, 2, 1)]
    # The first flow started at once; each other one waited for 30 ms.
    waits = {row[0]: row[2] for row in state.queue_ms.rows('queue_ms')}
    assert (waits['queue_ms_sum'], waits['queue_ms_count']) == (90, 3)


def test_full_wait_is_refused_at_once():
    """Guards against a caller that waits for what can't come in time."""
    state = worlds.make_agent()
    state.occupancy.service_us = 500_000
    effects = worlds.ask_agent(state, worlds.offer(
        worlds.flow_number(0), may_wait=True))
    assert worlds.to_target(effects)
    refused = worlds.ask_agent(state, worlds.offer(
        worlds.flow_number(1), may_wait=True, patience_ms=400))
    assert worlds.answer(refused, message.NotTaken)[0].reason == (
        message.OVERLOADED)


@pytest.mark.parametrize('known, sequence, now, handed, held', [
    pytest.param(True, 1, 90_000, True, True, id='holder'),
    pytest.param(
        False, 9, 1000, True, False,
        id='a restarted agent can not know what its target holds'),
    pytest.param(
        False, 1, 1000, False, False,
        id='an agent that heard its target from the start does know'),
    pytest.param(False, 9, 90_000, False, False, id='not the holder'),
])
def test_find(known, sequence, now, handed, held):
    """Guards against packets of a moved flow that reach no target.

    And against packets of a lost flow that reach the targets of all agents
    that have started of late.
    """
    state = worlds.make_agent(sequence=sequence)
    if known:
        worlds.ask_agent(state, worlds.offer())
    carry = message.Carry(worlds.FLOW, True, False, b'data')
    effects = worlds.ask_agent(
        state, message.Find(carry), now, worlds.OTHER_BALANCER)
    assert bool(worlds.to_target(effects)) is handed
    assert bool(worlds.answer(effects, message.Held)) is held


def test_flow_found_by_asking_is_reported():
    """Guards against asking all agents for every packet of a flow."""
    state = worlds.make_agent(sequence=9)
    worlds.ask_agent(state, message.Find(
        message.Carry(worlds.FLOW, True, False, b'data')), 10)
    effects = agent.HOLD.process(
        state, message.FromTarget(worlds.segment(data=5)), 20)
    assert worlds.answer(effects, message.Held)


@pytest.mark.parametrize('opening, kind', [
    pytest.param(True, message.NotTaken, id='full target'),
    pytest.param(False, message.Stray, id='flow of another target'),
])
def test_returned_packet_goes_back_to_the_balancer(opening, kind):
    """Guards against packets that end at a target that can't take them."""
    state = worlds.make_agent()
    worlds.ask_agent(state, worlds.offer())
    effects = agent.HOLD.process(state, message.FromTarget(
        worlds.segment(opening=opening, returned=True)), 5)
    assert [type(item.message) for item in effects] == [kind]
    assert state.occupancy.count() == 0


def test_abandoned_flow_frees_its_place():
    """Guards against a target that stays idle for callers that left."""
    state = worlds.make_agent()
    handed = []
    for number in range(3):
        handed += worlds.to_target(worlds.ask_agent(state, worlds.offer(
            worlds.flow_number(number), may_wait=True, patience_ms=9000)))
        handed += worlds.to_target(agent.HOLD.process(state, TICK, 20))
    assert len(handed) == 1 + agent.AHEAD and state.waiting == 1
    effects = agent.HOLD.process(state, TICK, 150)
    assert worlds.to_target(effects) == [b'opening']


def test_silent_target_is_announced_as_leaving():
    """Guards against balancers that go on offering to a silent target."""
    state = worlds.make_agent()
    quiet = presence.PRESENCE.process(state, TICK, 1000)
    assert quiet == [TICK]
    effects = presence.PRESENCE.process(state, TICK, 2000)
    announced = [item for item in effects
                 if type(item) is dissemination.Announced]
    assert [item.announcement.leaving for item in announced] == [True]


def test_packets_that_are_only_tried_take_no_place():
    """Guards against a target that looks busy after a power loss.

    Callers repeat packets of flows that ended with the power; a target that
    has not started yet returns none of them.
    """
    state = worlds.make_agent(sequence=9)
    for number in range(20):
        worlds.ask_agent(state, message.Find(message.Carry(
            worlds.flow_number(number), True, False, b'data')), 10)
    assert state.occupancy.count() == 0
    assert worlds.to_target(worlds.ask_agent(state, worlds.offer(), 10))


@pytest.mark.parametrize('sequence, started_at, reason', [
    pytest.param(1, 5000, '', id='its first heartbeat came to this run'),
    pytest.param(2, 8700, '', id='it started with this run'),
    pytest.param(2, 5000, message.COLD, id='a former run may have served it'),
])
def test_restarted_agent_and_a_cold_target(sequence, started_at, reason):
    """Guards against two runs of an agent that each use the whole limit.

    Also against a second without service after a power loss of all hosts.
    """
    state = worlds.make_agent(
        slots=100, cold_ms=60_000, sequence=sequence,
        started_at=started_at)
    assert admission.obstacle(state, worlds.SERVICE, 500) == reason


def answered_flow(sequence):
    """Return an agent whose target has answered an opening packet."""
    state = worlds.make_agent()
    worlds.ask_agent(state, worlds.offer())
    agent.HOLD.process(state, message.FromTarget(
        worlds.segment(opening=True, sequence=sequence)), 5)
    return state


@pytest.mark.parametrize('sequence, acknowledged, own', [
    pytest.param(1000, 1001, True, id='the caller took this answer'),
    pytest.param(
        2**32 - 5, 300_000, True, id='the numbers of a long answer wrap'),
    pytest.param(1000, 3_000_000_000, False, id='another target answered'),
    pytest.param(1000, -1, True, id='the packet acknowledges nothing'),
    pytest.param(-1, 77, True, id='the format has no numbers'),
])
@pytest.mark.parametrize('asked', ['carry', 'find'])
def test_packets_for_the_target_that_answered_first(
        sequence, acknowledged, own, asked):
    """Guards against a target that swallows the packets of another one.

    After a late offer two targets answer the opening packet. The one whose
    answer came second drops what the caller sends, without returning it.
    """
    state = answered_flow(sequence)
    carry = message.Carry(worlds.FLOW, True, False, b'data', acknowledged)
    effects = worlds.ask_agent(
        state, message.Find(carry) if asked == 'find' else carry, 9)
    assert bool(worlds.to_target(effects)) == own
    strays = worlds.answer(effects, message.Stray)
    assert len(strays) == (not own and asked == 'carry')
    if own:
        return
    assert state.occupancy.count() == 0
    # From now on the other agent alone answers for the flow.
    assert worlds.ask_agent(state, message.Find(carry), 20) == []


def test_closed_flow_is_known_while_its_caller_may_repeat_packets():
    """Guards against a flow that is lost while its caller still sends.

    Callers repeat packets up to 1.6 s apart, and a balancer that restarts
    has the flow looked for.
    """
    state = answered_flow(1000)
    agent.HOLD.process(state, message.FromTarget(
        worlds.segment(data=40, closing=True)), 10)
    agent.HOLD.process(state, TICK, 9000)
    effects = worlds.ask_agent(state, message.Find(
        message.Carry(worlds.FLOW, True, False, b'data', 1001)), 9000)
    assert worlds.to_target(effects) and worlds.answer(effects, message.Held)
    agent.HOLD.process(state, TICK, 60_000)
    assert not state.flow_by_key
