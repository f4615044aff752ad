"""Tests of one subscriber: its announcements and the times of its polls."""

import functools

import pytest

from poplarstep.configuration import catalogue
from poplarstep.configuration import model as objects
from poplarstep.core import effect
from poplarstep.core import timer
from poplarstep.dissemination import message
from poplarstep.dissemination import simulation
from poplarstep.dissemination import subscriber

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
