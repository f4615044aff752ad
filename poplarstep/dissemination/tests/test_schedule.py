"""Dissemination under random faults of the network, clocks and hosts."""

import functools
import unittest.mock

import pytest

from poplarstep.configuration import catalogue
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
