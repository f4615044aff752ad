"""Tests of the changes that a publisher sends to agents and balancers."""

import pytest

from poplarstep.configuration import catalogue as catalogues
from poplarstep.configuration import model
from poplarstep.core import address
from poplarstep.core import effect
from poplarstep.dissemination import message
from poplarstep.dissemination import publisher
from poplarstep.dissemination import reporting

SOURCE = address.Address('10.0.0.1', 7000)


def make_catalogue(targets):
    catalogue = catalogues.Catalogue()
    catalogue.apply([
        model.Change(1, model.Service(
            'dispatch', 1, SOURCE, 0, 1000, (), 1)),
        model.Change(2, model.DataCentre('maadi', 1, False, 2))])
    for number in range(1, targets + 1):
        catalogue.apply([model.Change(number + 2, model.Target(
            'dispatch/%d' % number, number, 1, 1, SOURCE, 1, 1, 1, 10,
            False, False, number + 2))])
    return catalogue


def answer(catalogue, node, role, version):
    state = publisher.make_publisher(
        catalogue, reporting.Reports(), lambda now: 1000, lambda: None)
    poll = message.Poll(node, role, 1, 1, version, False, (), ())
    sent, = publisher.PUBLISHER.process(
        state, effect.Received(SOURCE, poll), 0)
    return sent.message


@pytest.mark.parametrize('known', [0, 2, 5, 30], ids='since {}'.format)
@pytest.mark.parametrize('role, names', [
    ('agent', {'dispatch/7'}),
    ('balancer', {'dispatch/%d' % number for number in range(1, 41)}),
])
def test_agent_receives_only_its_own_target(role, names, known):
    """Guards against agents whose memory and traffic grow with the targets.

    Also guards against an agent that never reaches the latest version.
    """
    catalogue = make_catalogue(40)
    subscriber = catalogues.Catalogue()
    subscriber.apply([
        change for change in catalogue.changes if change.version <= known])
    update = answer(catalogue, 'dispatch/7', role, known)
    if update.snapshot is not None:
        subscriber.restore(update.snapshot)
    subscriber.apply(update.changes)
    subscriber.advance(update.version)
    sent = {item.body.name for item in update.changes
            if isinstance(item.body, model.Target)}
    if update.snapshot is not None:
        sent |= {item.name for item in update.snapshot.targets}
    newer = {'dispatch/%d' % number for number in range(1, 41)
             if number + 2 > known}
    assert sent == names & newer
    assert subscriber.version == catalogue.version
    assert 'dispatch/7' in subscriber.target_by_name
    assert subscriber.service_by_name.keys() == {'dispatch'}
