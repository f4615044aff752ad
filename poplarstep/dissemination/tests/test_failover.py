"""Tests of a subscriber whose upstreams fall silent."""

import pytest

from poplarstep.configuration import catalogue as catalogues
from poplarstep.configuration import model
from poplarstep.core import address
from poplarstep.core import effect
from poplarstep.core import timer
from poplarstep.dissemination import message
from poplarstep.dissemination import simulation
from poplarstep.dissemination import subscriber
from poplarstep.dissemination.tests import schedule

INCARNATION = 5000
TICK = timer.Tick(subscriber.TICK)
# Time after the acknowledgement of a change at which nodes decide by it.
CONFIGURATION_BOUND_MS = 3000
# Time in which a change is committed and sent to the control hosts.
COMMIT_BOUND_MS = 500
MEMBERS = tuple(
    address.Address('10.0.0.%d' % number, 7000) for number in range(1, 6))
OBSERVERS = tuple(
    address.Address('10.0.1.%d' % number, 7000) for number in range(1, 6))


class Upstreams:
    r"""Control hosts that answer each poll at once, but for silent ones."""

    __slots__ = ('members', 'silent', 'version')

    def __init__(self, members):
        self.members = members
        self.silent = ()
        self.version = 1

    def answer(self, state, polls, now):
        r"""Let the subscriber process the answers; hold polls without news."""
        for item in polls:
            if not isinstance(item, effect.SendControl):
                continue
            poll = item.message
            assert isinstance(poll, message.Poll)
            if item.destination in self.silent or (
                    poll.version == self.version):
                continue
            changes = (model.Change(self.version, model.DataCentre(
                'maadi', 1, True, self.version)),)
            subscriber.received(state, effect.Received(
                item.destination, message.Update(
                    poll.sequence, self.version, changes, None, 2500,
                    None, self.members)), now)


def run_until_version(state, upstreams, version, now):
    """Tick until the subscriber has a version; return the time, in ms."""
    while state.catalogue.version < version:
        upstreams.answer(state, subscriber.tick(state, TICK, now), now)
        now += subscriber.TICK_PERIOD_MS
    return now


@pytest.mark.parametrize('name', ['agent-%d' % number for number in range(24)])
@pytest.mark.parametrize('members, observers, silent', [
    pytest.param(
        MEMBERS[:3], OBSERVERS[:3], OBSERVERS, id='three observers'),
    pytest.param(MEMBERS, OBSERVERS, OBSERVERS, id='five observers'),
    pytest.param(
        MEMBERS[:3], OBSERVERS[:3], OBSERVERS + MEMBERS[1:2],
        id='observers and a member'),
    pytest.param(
        MEMBERS, OBSERVERS[:3], OBSERVERS + MEMBERS[2:4],
        id='observers and two members'),
])
def test_a_change_is_in_force_though_many_upstreams_freeze(
        members, observers, silent, name):
    """Guards against nodes that decide by an older configuration for long."""
    state = subscriber.make_subscriber(
        name, 'balancer', INCARNATION, catalogues.Catalogue(), observers)
    upstreams = Upstreams(members)
    now = run_until_version(state, upstreams, 1, 0)
    # The poll that is outstanding goes to an observer that freezes now.
    assert set(state.upstream.destinations(now)) <= set(observers)
    upstreams.version = 2
    upstreams.silent = silent
    in_force_at = run_until_version(state, upstreams, 2, now)
    assert in_force_at - now <= CONFIGURATION_BOUND_MS


def test_one_upstream_is_polled_after_an_answer():
    """Guards against polls that multiply for good after a timeout."""
    state = subscriber.make_subscriber(
        'agent-1', 'agent', INCARNATION, catalogues.Catalogue(),
        OBSERVERS[:3])
    upstreams = Upstreams(MEMBERS[:3])
    now = run_until_version(state, upstreams, 1, 0)
    upstreams.version = 2
    upstreams.silent = OBSERVERS
    run_until_version(state, upstreams, 2, now)
    polled, = state.upstream.destinations(now)
    assert polled in MEMBERS


def add_observers(world):
    """Add three observers, each of which has the other two as seeds."""
    addresses = [simulation.address_of(5, index) for index in range(3)]
    return [
        simulation.add_observer(
            world.cluster, 'observer-%d' % index, own,
            tuple(item for item in addresses if item != own))
        for index, own in enumerate(addresses)]


def cut_off(world, nodes, duration_ms):
    """Cut nodes off the control hosts for a time."""
    world.network.faults.cuts = {
        pair for node in nodes for host in world.cluster.hosts
        for pair in ((node.name, host.name), (host.name, node.name))}
    world.network.run(duration_ms)
    world.network.faults.cuts = set()


@pytest.mark.parametrize('cut_ms', [1500, 6000, 12_000])
@pytest.mark.parametrize('seed', range(4))
def test_observers_do_not_poll_each_other_for_long(seed, cut_ms):
    """Guards against changes that are late long after a fault."""
    world = schedule.World(seed)
    observers = add_observers(world)
    world.network.run(3000)
    cut_off(world, observers, cut_ms)
    world.network.run(schedule.CONVERGENCE_MS)
    for number in range(20):
        world.set_data_centre(out=number % 2 == 0)
        world.network.run(COMMIT_BOUND_MS)
        version = max(world.cluster.committed_at)
        assert [item.catalogue.version for item in observers] == [version] * 3
