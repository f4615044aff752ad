"""Tests of a subscriber that has no configuration yet."""

import pytest

from poplarstep.configuration import catalogue as catalogues
from poplarstep.configuration import model
from poplarstep.core import address
from poplarstep.core import effect
from poplarstep.core import timer
from poplarstep.dissemination import message
from poplarstep.dissemination import subscriber

INCARNATION = 5000
SEEDS = tuple(
    address.Address('10.0.0.%d' % number, 7000) for number in (1, 2, 3))
TICK = timer.Tick(subscriber.TICK)
SERVICE = model.Change(3, model.Service('dispatch', 1, None, 0, 1000, (), 3))


def make_node():
    """Return a subscriber that has just started."""
    return subscriber.make_subscriber(
        'agent-1', 'agent', INCARNATION, catalogues.Catalogue(), SEEDS)


def polls(state, until):
    """Return ``(time, destination, sequence)`` of unanswered polls."""
    sent = []
    for now in range(0, until, subscriber.TICK_PERIOD_MS):
        for item in subscriber.tick(state, TICK, now):
            if isinstance(item, effect.SendControl):
                assert isinstance(item.message, message.Poll)
                sent.append((now, item.destination, item.message.sequence))
    return sent


def update(sequence, changes=(SERVICE,)):
    """Return an update to version 3."""
    return effect.Received(SEEDS[0], message.Update(
        sequence, 3, changes, None, 2000, None))


def test_first_polls_have_a_short_timeout():
    """Guards against waiting a second for an upstream that is starting."""
    sent = polls(make_node(), 1500)
    assert {destination for _, destination, _ in sent[:3]} == set(SEEDS)
    assert sent[1][0] - sent[0][0] <= 250
    assert sent[2][0] - sent[0][0] <= 750


def test_timeout_grows_to_the_usual_time():
    """Guards against overloading a slow control host with polls."""
    sent = polls(make_node(), 20_000)
    late = [item[0] for item in sent if item[0] > 10_000]
    assert min(later - earlier for earlier, later in zip(late, late[1:])) >= (
        subscriber.POLL_TIMEOUT_MS)


@pytest.mark.parametrize('sequence, changes, version', [
    pytest.param(
        INCARNATION + 1, (SERVICE,), 3, id='answer to the first poll'),
    pytest.param(
        INCARNATION, (), 0, id='answer to an earlier incarnation'),
    pytest.param(
        INCARNATION + 9, (SERVICE,), 0, id='answer to a poll not yet sent'),
])
def test_late_answer_is_used_without_configuration(
        sequence, changes, version):
    """Guards against ignoring the first configuration because it is late."""
    state = make_node()
    sent = polls(state, 700)
    assert len(sent) > 1 and sent[0][2] == INCARNATION + 1
    subscriber.received(state, update(sequence, changes), 710)
    assert state.catalogue.version == version
    assert bool(state.catalogue.service_by_name) == bool(version)
    assert not subscriber.lease_holds(state, 710)
