"""Dissemination in scenarios of one fault each."""

import pytest

from poplarstep.dissemination import message
from poplarstep.dissemination import simulation
from poplarstep.dissemination import subscriber
from poplarstep.dissemination.tests import schedule


def update(sequence, version, lease_ms=2500):
    r"""Return an update without changes."""
    return message.Update(sequence, version, (), None, lease_ms, None)


def cut_upstreams(world, node):
    r"""Partition a node from the control hosts, in both directions."""
    for host in world.cluster.hosts:
        world.network.faults.cuts.update(
            {(node.name, host.name), (host.name, node.name)})


def late_answer_to_former_incarnation(world):
    r"""A restarted agent gets an answer to its former incarnation."""
    agent = world.agents[0]
    world.network.faults.cuts.update(
        (item.name, agent.name) for item in world.relays)
    world.network.run(3000)
    world.network.stop(agent)
    world.agents[0] = fresh = world.add_agent(0, incarnation=10**9)
    world.network.run(700)
    # The late answer belongs to the poll of the former incarnation that has
    # the same index as the latest poll of the present incarnation. Sequences
    # that count from 1 would be equal.
    polls = world.network.sent_by_poll
    former, present = [
        sorted(sequence for node, sequence in polls if node is item)
        for item in (agent, fresh)]
    world.network._deliver(
        world.relays[2].address, fresh.address,
        update(former[len(present) - 1], 1))
    assert not subscriber.lease_holds(
        fresh.subscribed, world.network.now + fresh.offset)


def old_update(world):
    r"""An update for an older poll is ignored by the lease and the poll."""
    agent = world.agents[0]
    state = agent.subscribed
    before = state.lease_until, state.sequence
    world.network._deliver(
        world.relays[2].address, agent.address,
        update(state.sequence - 1, 99))
    assert (state.lease_until, state.sequence) == before
    assert agent.catalogue.version == 1


def upstream_is_behind(world):
    r"""An agent switches from a relay that lacks a change to another."""
    agent = world.agents[0]
    state = agent.subscribed
    world.set_data_centre()
    world.network.run(500)
    switches = state.upstream.switches
    world.network._deliver(
        state.upstream.destinations(0)[0], agent.address,
        update(state.sequence, 1))
    assert state.upstream.switches == switches + 1
    world.network.run(schedule.CONVERGENCE_MS)


def unreachable_seeds(world):
    r"""All control hosts are unreachable for 20 s and then return."""
    relay = world.relays[0]
    cut_upstreams(world, relay)
    world.network.run(20_000)
    assert not subscriber.lease_holds(
        relay.subscribed, world.network.now + relay.offset)
    world.set_data_centre()
    world.network.faults.cuts.clear()
    world.network.run(schedule.CONVERGENCE_MS)


def silent_upstream(world):
    r"""A control host receives polls and never answers."""
    relay = world.relays[0]
    leader = world.cluster.leader
    world.network.faults.cuts.add((leader.name, relay.name))
    cut_from = world.network.now
    world.network.run(2000)
    assert relay.subscribed.upstream.switches, 'the silent upstream is kept'
    assert world.network.now - cut_from <= 2000
    world.network.faults.cuts.clear()
    world.network.run(schedule.CONVERGENCE_MS)


def cut_from_control_only(world):
    r"""A relay without control hosts gets changes from another relay."""
    relay = world.add_relay(9, (
        world.cluster.hosts[0].address, world.relays[0].address))
    world.network.run(1500)
    cut_upstreams(world, relay)
    world.network.run(3000)
    world.set_data_centre()
    world.network.run(schedule.CONVERGENCE_MS)
    assert relay.catalogue.version == 2


def leader_lost(world):
    r"""No balancer's lease lapses during an election."""
    lapsed = []
    world.cluster.lose_leader()
    for _ in range(10):
        world.network.run(simulation.LEADER_LEASE_MS // 10)
        lapsed.extend(lapsed_relays(world))
    world.cluster.elect(world.cluster.hosts[1])
    world.set_data_centre()
    world.network.faults.cuts.clear()
    for _ in range(40):
        world.network.run(100)
        lapsed.extend(lapsed_relays(world))
    assert not lapsed, 'a lease lapsed during an election'


def lapsed_relays(world):
    r"""Return the relays whose lease does not hold now."""
    return [item.name for item in world.relays if not subscriber.lease_holds(
        item.subscribed, world.network.now + item.offset)]


def paused_relay(world):
    r"""A relay paused during a change has no lease until it has the change."""
    relay = world.relays[0]
    relay.paused_until = world.network.now + 10_000
    world.network.run(1000)
    world.set_data_centre()
    world.network.run(8999)
    assert not subscriber.lease_holds(
        relay.subscribed, world.network.now + relay.offset)
    world.network.run(schedule.CONVERGENCE_MS)


def hundreds_of_changes(world):
    r"""A node that missed hundreds of changes gets a snapshot instead."""
    world.network.stop(world.agents[0])
    for _ in range(300):
        world.set_data_centre()
    fresh = world.agents[0] = world.add_agent(0, 10**9)
    world.network.run(schedule.CONVERGENCE_MS)
    assert not fresh.catalogue.changes, 'changes were sent, not a snapshot'
    world.set_data_centre()
    world.network.run(500)
    assert len(fresh.catalogue.changes) == 1, 'a snapshot was sent'


SCENARIOS = (
    late_answer_to_former_incarnation, old_update, upstream_is_behind,
    unreachable_seeds, silent_upstream, cut_from_control_only, leader_lost,
    paused_relay, hundreds_of_changes,
)


@pytest.mark.parametrize(
    'scenario', SCENARIOS, ids=lambda item: item.__name__)
def test_scenario(scenario):
    r"""Guards against the failure that the scenario's docstring states."""
    world = schedule.World(seed=1)
    world.network.run(3000)
    assert world.settled()
    scenario(world)
    world.heal()
    world.network.run(schedule.CONVERGENCE_MS)
    assert world.settled(), 'a node lacks the change after 4 s'


def test_polls_without_a_leader_back_off():
    r"""Guards against nodes that poll in a loop while there is no leader."""
    world = schedule.World(seed=1)
    world.network.run(3000)
    world.cluster.lose_leader()
    world.network.run(6000)
    node = world.relays[0]
    before = node.subscribed.sequence
    world.network.run(10_000)
    # Each poll is answered at once and followed by a backoff of 800 to
    # 1,600 ms.
    assert node.subscribed.sequence - before <= 14
    world.cluster.elect(world.cluster.hosts[1])
    world.heal()
    world.network.run(schedule.CONVERGENCE_MS)
    assert world.settled(), 'a node backs off for longer than 4 s'
