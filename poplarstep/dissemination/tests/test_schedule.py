"""Dissemination under faults of the network, clocks and hosts."""

import functools
import unittest.mock

import pytest

from poplarstep.configuration import catalogue
from poplarstep.configuration import model as objects
from poplarstep.core import effect
from poplarstep.core import timer
from poplarstep.dissemination import message
from poplarstep.dissemination import publisher
from poplarstep.dissemination import simulation
from poplarstep.dissemination import subscriber
from poplarstep.dissemination.tests import schedule

SEEDS = range(12)
STEPS = 12
STEP_MS = 1500


def disturb(world, generator):
    r"""Draw random faults and commit random changes for one step."""
    network = world.network
    network.faults = simulation.Faults(
        generator.choice((0, 0, 0.1, 0.3)), generator.choice((0, 0.2)),
        generator.choice(((1, 3), (1, 120))), generator.choice((0, 0.1)),
        4000)
    nodes = world.nodes() + world.cluster.hosts
    for _ in range(generator.randrange(3)):
        network.faults.cuts.add((
            generator.choice(nodes).name, generator.choice(nodes).name))
    if generator.random() < 0.5:
        generator.choice(nodes).paused_until = (
            network.now + generator.randrange(4000))
    if generator.random() < 0.3:
        change_leader(world)
    world.cluster.replication_ms = generator.choice((5, 5, 5000))
    for _ in range(generator.choice((1, 1, 2, 300))):
        world.set_data_centre(out=generator.random() < 0.5)
    if generator.random() < 0.3:
        restart(world, generator.randrange(3))


def change_leader(world):
    r"""Isolate the leader; elect another host when its lease has expired."""
    cluster = world.cluster
    successor = next(
        host for host in cluster.hosts if host is not cluster.leader)
    cluster.lose_leader()
    world.network.run(simulation.LEADER_LEASE_MS)
    cluster.elect(successor)


def restart(world, index):
    r"""Restart an agent, which loses its configuration."""
    world.network.stop(world.agents[index])
    world.agents[index] = world.add_agent(
        index, world.network.now + 2)


def run_random_faults(seed):
    r"""Run random faults and changes; all nodes converge after them."""
    world = schedule.World(seed)
    world.network.run(2000)
    for _ in range(STEPS):
        disturb(world, world.network.random)
        world.network.run(STEP_MS)
    world.heal()
    world.network.run(schedule.CONVERGENCE_MS)
    assert world.settled(), 'a node lacks the change after 4 s'


@pytest.mark.parametrize('seed', SEEDS)
def test_schedule(seed):
    r"""Guards against old versions, long leases and missed changes."""
    run_random_faults(seed)


def count_from_arrival(state, source, update, now):
    r"""Start the lease when the answer arrives."""
    state.sent_at = now
    return PROCESS_LEASE(state, source, update, now)


def keep_lease_for_ever(cluster, host):
    r"""Hold the lease without contact to a majority."""
    return host is cluster.leader or host.name == 'control-0'


def restore_any(node_catalogue, snapshot):
    r"""Restore any snapshot, also an older one."""
    node_catalogue.version = min(
        node_catalogue.version, snapshot.version - 1)
    return RESTORE(node_catalogue, snapshot)


def apply_pending_lease_early(state):
    r"""Use a lease although the catalogue lacks its version."""
    state.lease_until = max(state.lease_until, state.pending_until)


def ignore_sequence(state, event, now):
    r"""Accept any update as the answer to the latest poll."""
    if isinstance(event.message, message.Update):
        event = event.replace(
            message=event.message.replace(sequence=state.sequence))
    return RECEIVED(state, event, now)


PROCESS_LEASE = subscriber._process_lease
RESTORE = catalogue.Catalogue.restore
RECEIVED = subscriber.received
patch = unittest.mock.patch
HANDLERS = subscriber.SUBSCRIBER.handler_by_type
RECEIVED_TYPE = next(
    key for key, value in HANDLERS.items() if value is RECEIVED)
MECHANISMS = {
    # mechanism: (patch that switches it off, text of the check that must fail)
    'lease counts from the sending of the poll': (functools.partial(
        patch.object, subscriber, '_process_lease', count_from_arrival),
        'lease outlasts'),
    'a relay grants only the rest of its lease': (functools.partial(
        patch.object, simulation, 'relay_lease',
        lambda node, now: publisher.LEASE_MS), 'lease holds without'),
    'the leader confirms under its lease': (functools.partial(
        patch.object, simulation.Cluster, 'holds_lease', keep_lease_for_ever),
        'lease holds without'),
    'an older snapshot is ignored': (functools.partial(
        patch.multiple, catalogue.Catalogue, restore=restore_any,
        changes_since=lambda self, version: None), 'version went back'),
    'a lease of a control host is pending until it has the version': (
        functools.partial(
            patch.object,
            subscriber,
            '_apply_pending_lease',
            apply_pending_lease_early),
        'lease holds without'),
    'an update must match its poll': (functools.partial(
        patch.dict, HANDLERS, {RECEIVED_TYPE: ignore_sequence}),
        'lease outlasts'),
}


@pytest.mark.parametrize('name', MECHANISMS)
def test_check_notices_missing_mechanism(name):
    r"""Guards against checks that pass without the mechanism."""
    switch_off, noticed = MECHANISMS[name]
    with switch_off(), pytest.raises(AssertionError, match=noticed):
        for seed in range(30):
            run_random_faults(seed)


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


ANNOUNCED = (
    # incarnation in the configuration, of the announcement, finally announced
    (None, 5, 5),
    (4, 5, 5),
    (7, 5, 8),
)


@pytest.mark.parametrize('configured, own, final', ANNOUNCED)
def test_announcement_reaches_the_configuration(configured, own, final):
    r"""Guards against ignoring an agent for ever.

    The agent's clock may have been set back, or its target may have been
    removed.
    """
    state = subscriber.make_subscriber(
        'agent-0', 'agent', own, catalogue.Catalogue(),
        (simulation.address_of(2, 0),))
    state.next_poll_at = 0
    first_target = functools.partial(target, 1)
    if configured is not None:
        state.catalogue.apply([objects.Change(1, first_target(configured))])
    announcement = objects.Announcement(
        'agent-0', 'certs', 'giza', simulation.address_of(4, 0), own, 1, 1, 9,
        False)
    sent = subscriber.announced(
        state, message.Announced(announcement), 0)[0].message
    messages = subscriber._check_own_target(state)
    if final != own:
        assert messages == [
            effect.Requeue(
                message.LaterIncarnation(configured))]
        announcement = announcement.replace(incarnation=final)
        sent = subscriber.announced(
            state, message.Announced(announcement), 1)[0].message
    assert sent.announcements == (announcement,)
    state.catalogue.apply([objects.Change(2, target(2, final))])
    assert subscriber._check_own_target(state) == []
    assert subscriber._poll(state, 2)[0].message.announcements == ()
    state.catalogue.apply([objects.Change(3, objects.Removal('target', 1))])
    assert subscriber._poll(state, 3)[0].message.announcements == (
        announcement,), 'a removed target is not announced again'
    state.catalogue.apply([objects.Change(4, target(4, final + 1))])
    assert subscriber._check_own_target(state) == [], (
        'a replaced process raises its incarnation past its successor')


def target(version, incarnation):
    r"""Return the agent's target as an object of the configuration."""
    return objects.Target(
        'agent-0', 1, 1, 1, simulation.address_of(4, 0), incarnation, 1, 1,
        9, False, False, version)


SPREADS = (
    # what all nodes do simultaneously, ms over which their polls are spread
    ('start', subscriber.FIRST_POLL_JITTER_MS),
    ('fail over', subscriber.FAILOVER_JITTER_MS),
    ('fail over without a configuration', subscriber.STARTING_JITTER_MS),
)


@pytest.mark.parametrize('event, width', SPREADS)
def test_nodes_that_act_together_spread_their_polls(event, width):
    r"""Guards against simultaneous polls of all nodes after a mass restart."""
    due = []
    for number in range(200):
        state = subscriber.make_subscriber(
            'agent-%d' % number, 'agent', 1, catalogue.Catalogue(),
            (simulation.address_of(2, 0), simulation.address_of(2, 1)))
        state.poll_outstanding = event.startswith('fail over')
        if event == 'fail over':
            state.catalogue.advance(1)
        subscriber.tick(state, timer.Tick(subscriber.TICK), 10_000)
        due.append(state.next_poll_at - 10_000)
    assert 0 <= min(due) and max(due) < width
    tenth = width // 10
    assert max(sum(start <= item < start + tenth for item in due)
               for start in range(0, width, tenth)) <= 40


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
