"""Tests of a node that has no configuration yet."""

import pytest

from poplarstep.configuration import catalogue as catalogues
from poplarstep.configuration import model
from poplarstep.core import address
from poplarstep.core import effect
from poplarstep.core import timer
from poplarstep.dissemination import message
from poplarstep.dissemination import subscriber

RUN = 5000
SEEDS = tuple(
    address.Address('10.0.0.%d' % number, 7000) for number in (1, 2, 3))
TICK = timer.Tick(subscriber.TICK)
SERVICE = model.Change(3, model.Service('dispatch', 1, None, 0, 1000, (), 3))


def make_node():
    """Return a subscriber that has just started."""
    return subscriber.make_subscriber(
        'agent-1', 'agent', RUN, catalogues.Catalogue(), SEEDS)


def polls(state, until):
    """Return ``(time, destination, sequence)`` of polls nobody answers."""
    sent = []
    for now in range(0, until, subscriber.TICK_PERIOD_MS):
        sent.extend(
            (now, item.destination, item.message.sequence)
            for item in subscriber.tick(state, TICK, now)
            if isinstance(item, effect.SendControl))
    return sent


def update(sequence, changes=(SERVICE,)):
    """Return an update to version 3."""
    return effect.Received(SEEDS[0], message.Update(
        sequence, 3, changes, None, 2000, None))


def test_first_polls_are_given_up_soon():
    """Guards against nodes that wait a second for hosts that still start."""
    sent = polls(make_node(), 1500)
    assert {destination for _, destination, _ in sent[:3]} == set(SEEDS)
    assert sent[1][0] - sent[0][0] <= 250
    assert sent[2][0] - sent[0][0] <= 750


def test_patience_grows_to_the_usual_time():
    """Guards against a busy control host that is asked ever more often."""
    sent = polls(make_node(), 20_000)
    late = [item[0] for item in sent if item[0] > 10_000]
    assert min(later - earlier for earlier, later in zip(late, late[1:])) >= (
        subscriber.POLL_TIMEOUT_MS)


@pytest.mark.parametrize('sequence, changes, version', [
    pytest.param(RUN + 1, (SERVICE,), 3, id='answer to the first poll'),
    pytest.param(
        RUN, (), 0, id='a former run knew what the answer leaves out'),
    pytest.param(RUN + 9, (SERVICE,), 0, id='answer to no poll of this run'),
])
def test_late_answer_is_used_once_there_is_none(sequence, changes, version):
    """Guards against a node that drops the only configuration it gets."""
    state = make_node()
    sent = polls(state, 700)
    assert len(sent) > 1 and sent[0][2] == RUN + 1
    subscriber.received(state, update(sequence, changes), 710)
    assert state.catalogue.version == version
    assert bool(state.catalogue.service_by_name) == bool(version)
    assert not subscriber.lease_holds(state, 710)
