"""Tests of a subscriber whose upstreams fall silent."""

import pytest

from poplarstep.configuration import catalogue as catalogues
from poplarstep.configuration import model
from poplarstep.core import address
from poplarstep.core import effect
from poplarstep.core import timer
from poplarstep.dissemination import message
from poplarstep.dissemination import subscriber

INCARNATION = 5000
TICK = timer.Tick(subscriber.TICK)
# Time after the acknowledgement of a change at which nodes decide by it.
CONFIGURATION_BOUND_MS = 3000
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
