"""Tests of how a balancer chooses the target of a new flow."""

import random

import pytest

from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import placement
from poplarstep.opaque_flows.tests import fixtures

CHOICES = 4000


def shares_by_number(service_us_by_number):
    """Return the share of the choices that each target gets."""
    chooser = placement.make_placement('two-choices', random.Random(1))
    candidates = [
        fixtures.make_target(0).replace(number=number, name='t-%d' % number)
        for number in service_us_by_number]
    for number, service_us in service_us_by_number.items():
        chooser.answered(number, message.Load(0, 1, service_us), 0)
    count_by_number = dict.fromkeys(service_us_by_number, 0)
    for _ in range(CHOICES):
        count_by_number[chooser.choose(candidates, (), 1000).number] += 1
    return {number: count / CHOICES
            for number, count in count_by_number.items()}


@pytest.mark.parametrize('failing, service_us', [(1, 1), (1, 1000), (2, 500)])
def test_fast_failing_targets_do_not_attract_flows(failing, service_us):
    """Guards against flows that go to the targets that fail them.

    The targets answer each request with an error after little work; two
    choices of the faster one give them up to four times their share.
    """
    targets = 8
    shares = shares_by_number({
        number: service_us if number < failing else 15_000
        for number in range(targets)})
    for number in range(failing):
        assert shares[number] <= 4 / targets


@pytest.mark.parametrize('factors', [
    (0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7),
    (0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2),
])
def test_faster_hosts_get_more_flows(factors):
    """Guards against a bound that hides the speed of healthy hosts."""
    shares = shares_by_number({
        number: int(15_000 * factor)
        for number, factor in enumerate(factors)})
    fast = min(factors)
    slow = max(factors)
    for number, factor in enumerate(factors):
        for other, other_factor in enumerate(factors):
            if factor == fast and other_factor == slow:
                assert shares[number] >= 1.5 * shares[other]
