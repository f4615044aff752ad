"""Tests of the stage that chooses a target for a new flow."""

import random

import pytest

from poplarstep.configuration import catalogue as catalogues
from poplarstep.configuration import model
from poplarstep.core import address
from poplarstep.dissemination import message
from poplarstep.routing import opening
from poplarstep.routing import selectors
from poplarstep.routing import state as states

ADDRESS = address.Address('10.0.0.1', 5000)


def target(number, version):
    return model.Target(
        'dispatch/%d' % number, number, 1, 1, ADDRESS, 1, 1, 1, 10, False,
        False, version)


@pytest.mark.parametrize('remove_service', [False, True])
def test_removed_targets_are_forgotten(remove_service):
    """Guards against a selector that keeps the state of removed targets."""
    catalogue = catalogues.Catalogue()
    catalogue.apply([
        model.Change(1, model.Service('dispatch', 1, ADDRESS, 0, 1, (), 1))])
    state = states.make_balancer_state(
        catalogue, lambda now: True,
        lambda: selectors.make_selector('random', random.Random(1)), None,
        None)
    for number in range(1, 101):
        version = catalogue.version + 1
        catalogue.apply([
            model.Change(version, model.Removal('target', number - 1)),
            model.Change(version, target(number, version))])
        state.selector_for(1).sent(number, now=number)
        opening.SELECT.process(
            state, message.CatalogueChanged(version), now=number)
    assert list(state.selector_for(1).state_by_number) == [100]
    if remove_service:
        catalogue.apply([
            model.Change(version + 1, model.Removal('target', 100)),
            model.Change(version + 1, model.Removal('service', 1))])
        opening.SELECT.process(
            state, message.CatalogueChanged(version + 1), now=200)
        assert state.selector_by_service == {}
