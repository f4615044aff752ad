"""A short seeded run of the soak."""

import random
import types

import pytest

from soak import faults
from soak import run
from soak import system as systems

# Checks with bounds of time are for runs by hand: CI may be busy.
SEED, SECONDS, FAULTS = 7, 5.0, 4
NAMES = (
    ('control-0', systems.CONTROL), ('control-1', systems.CONTROL),
    ('balancer-0', systems.BALANCER), ('agent-0', systems.AGENT),
    ('target-0', systems.TARGET))


def make_system():
    """Return the processes that faults are drawn for."""
    return types.SimpleNamespace(process_by_name={
        name: types.SimpleNamespace(name=name, kind=kind)
        for name, kind in NAMES})


@pytest.mark.parametrize('seed', range(20))
def test_drawn_faults(seed):
    """Guards against faults beyond what a deployment has to bear."""
    drawn = faults.draw(random.Random(seed), make_system(), 12, 30.0)
    assert drawn == faults.draw(
        random.Random(seed), make_system(), 12, 30.0)
    assert sum(item.kind == 'lost-disk' for item in drawn) <= 1
    spans = {}
    for item in drawn:
        for begin, end in spans.get(item.name, ()):
            assert item.at_s >= end or item.at_s + item.for_s <= begin
        spans.setdefault(item.name, []).append(
            (item.at_s, item.at_s + item.for_s))
        kind = dict(NAMES)[item.name]
        assert kind in faults.KINDS_BY_FAULT[item.kind]


@pytest.mark.timeout(300)
def test_short_run_keeps_the_promises(tmp_path):
    """Guards against broken promises of the real programs under faults."""
    outcome = run.play(
        SEED, tmp_path, SECONDS, FAULTS, timed=False)
    assert len(outcome.faults) == FAULTS
    assert outcome.answered > 0
    assert outcome.found == {}
