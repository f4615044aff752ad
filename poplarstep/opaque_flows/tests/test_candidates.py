"""Tests of the candidate targets of a flow."""

import hypothesis
from hypothesis import strategies
import pytest

from poplarstep.configuration import model
from poplarstep.opaque_flows import candidates
from poplarstep.opaque_flows.tests import fixtures

FLOWS = [fixtures.numbered_flow_key(number) for number in range(400)]


def make_index(count):
    """Return the index of a catalogue whose service 1 has many targets."""
    catalogue = fixtures.make_catalogue()
    put_targets(catalogue, 2, range(10, 10 + count))
    return candidates.CandidateIndex(catalogue)


def put_targets(catalogue, version, numbers, **changes):
    """Add targets to service 1, or change them."""
    catalogue.apply([
        model.Change(version, fixtures.make_target(0).replace(
            name='side-%d' % number, number=number, **changes))
        for number in numbers])


def numbers_of(targets):
    """Return the numbers of targets."""
    return {item.number for item in targets}


@pytest.mark.parametrize('count', [20, 100, 1000])
def test_questions_do_not_grow_with_the_service(count):
    """Guards against a message to every agent of a large service."""
    index = make_index(count)
    for flow in FLOWS[:20]:
        assert len(index.lookup(fixtures.SERVICE, flow)) == (
            candidates.LOOKUP_CANDIDATES)


@pytest.mark.parametrize('count', [0, 10, 13])
def test_all_targets_of_a_small_service_are_candidates(count):
    """Guards against a small service that uses a part of its targets."""
    index = make_index(count)
    for flow in FLOWS[:20]:
        assert len(index.lookup(fixtures.SERVICE, flow)) == 3 + count
        assert len(index.offered(fixtures.SERVICE, flow, 0)) == 3 + count


@pytest.mark.parametrize('change, minimum_found', [
    # (numbers, changes of the targets), share of the flows that are found
    pytest.param((range(500, 510), {}), 0.99, id='a tenth more targets'),
    pytest.param((range(500, 550), {}), 0.80, id='half as many more'),
    pytest.param((range(10, 40), {'leaving': True}), 1.0, id='some leave'),
    pytest.param((range(10, 40), {'drained': True}), 1.0, id='some drain'),
    pytest.param((range(10, 30), None), 1.0, id='others are removed'),
])
def test_former_candidates_are_asked_after_a_change(change, minimum_found):
    """Guards against open flows that no balancer finds after a change."""
    index = make_index(100)
    offered = {
        flow: numbers_of(index.offered(fixtures.SERVICE, flow, 0))
        for flow in FLOWS}
    numbers, changes = change
    if changes is None:
        index.catalogue.apply([
            model.Change(3, model.Removal('target', number))
            for number in numbers])
    else:
        put_targets(index.catalogue, 3, numbers, **changes)
    held = found = 0
    for flow in FLOWS:
        asked = numbers_of(index.lookup(fixtures.SERVICE, flow))
        remaining = offered[flow] & set(index.catalogue.target_by_number)
        held += len(remaining)
        found += len(remaining & asked)
    assert found >= minimum_found * held


@pytest.mark.parametrize('state', [{'leaving': True}, {'drained': True}])
def test_only_selectable_targets_get_offers(state):
    """Guards against new flows at a target that leaves."""
    index = make_index(100)
    put_targets(index.catalogue, 3, range(10, 60), **state)
    for flow in FLOWS:
        offered = index.offered(fixtures.SERVICE, flow, 0)
        assert len(offered) == candidates.OFFERED_CANDIDATES
        assert not numbers_of(offered) & set(range(10, 60))


def test_a_further_round_adds_candidates():
    """Guards against a flow that waits for the same few full targets."""
    index = make_index(100)
    rounds = [
        numbers_of(index.offered(fixtures.SERVICE, FLOWS[0], number))
        for number in range(3)]
    assert rounds[0] < rounds[1] < rounds[2]


def test_flows_are_spread_over_all_targets():
    """Guards against targets that get far more flows than others."""
    index = make_index(97)
    chosen = dict.fromkeys(index.catalogue.target_by_number, 0)
    for number in range(4000):
        for target in index.offered(
                fixtures.SERVICE, fixtures.numbered_flow_key(number), 0):
            chosen[target.number] += 1
    del chosen[3]
    mean = sum(chosen.values()) / len(chosen)
    assert max(chosen.values()) <= 1.6 * mean
    assert min(chosen.values()) >= 0.5 * mean


@hypothesis.given(
    strategies.lists(strategies.sets(strategies.integers(1, 40)), max_size=6))
def test_ring_depends_on_its_members_only(steps):
    """Guards against balancers that disagree because of their histories."""
    changed, fresh = candidates.Ring(), candidates.Ring()
    for members in steps:
        changed.update(members)
    fresh.update(steps[-1] if steps else set())
    assert list(changed.walk(b'flow')) == list(fresh.walk(b'flow'))
    assert changed.hashes == sorted(changed.hashes)
