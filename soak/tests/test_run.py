"""A short seeded run of the soak."""

import json
import random
import types

import pytest

from poplarstep.opaque_flows import admission
from poplarstep.programs import operator_interface
from poplarstep.programs import settings
from soak import faults
from soak import operators
from soak import run
from soak import system as systems

# Without timed checks, which fail on an overloaded CI machine.
SEED, DURATION_S, FAULT_COUNT = 7, 5.0, 4
PROCESSES = (
    ('control-0', systems.CONTROL), ('control-1', systems.CONTROL),
    ('balancer-0', systems.BALANCER), ('agent-0', systems.AGENT),
    ('target-0', systems.TARGET))


def make_system():
    """Return a stub of the system that lists its processes."""
    return types.SimpleNamespace(process_by_name={
        name: types.SimpleNamespace(name=name, kind=kind)
        for name, kind in PROCESSES})


@pytest.mark.parametrize('seed', range(20))
def test_drawn_faults(seed):
    """Guards against faults that a deployment doesn't have to survive."""
    schedule = faults.draw(random.Random(seed), make_system(), 12, 30.0)
    assert schedule == faults.draw(
        random.Random(seed), make_system(), 12, 30.0)
    assert sum(item.kind == 'lost-disk' for item in schedule) <= 1
    spans = {}
    for item in schedule:
        for begin, end in spans.get(item.process_name, ()):
            assert (item.start_s >= end
                    or item.start_s + item.duration_s <= begin)
        spans.setdefault(item.process_name, []).append(
            (item.start_s, item.start_s + item.duration_s))
        kind = dict(PROCESSES)[item.process_name]
        assert kind in faults.KINDS_BY_FAULT[item.kind]


@pytest.mark.parametrize('revision', [1, 2])
def test_agents_enforce_the_limit_that_the_check_expects(revision):
    """Guards against a check of cold targets that no agent is asked to meet.

    A service whose configuration names no rate has no limit.
    """
    system = types.SimpleNamespace(
        route_address=lambda service: '127.0.0.1:%d' % (
            5000 + systems.SERVICES.index(service)))
    body = operators.configuration(system, revision, random.Random(1))
    wanted = operator_interface.parse_configuration(
        json.dumps(body).encode()).unwrap()
    state = types.SimpleNamespace(
        cold_factor=1, cold_slack=systems.COLD_SLACK)
    for service in wanted.services:
        assert service.cold_per_second > 0
        assert admission.cold_limit(state, service) == systems.COLD_LIMIT


@pytest.mark.parametrize('role', ['flow-balancer', 'flow-agent'])
def test_profiles_name_settings_of_nodes(role):
    """Guards against a profile whose settings no node gets.

    ``known-flows`` comes with part B of docs/open_flow_recovery.md.
    """
    for flags in run.PROFILES.values():
        assert set(flags) - {'known-flows'} <= set(settings.SETTING_BY_NAME)
    assert any(
        role in settings.SETTING_BY_NAME[name].roles
        for name in set(run.PROFILES['open-flows']) - {'known-flows'})


@pytest.mark.timeout(300)
def test_short_run_passes_all_checks(tmp_path):
    """Guards against violations of the guarantees under faults."""
    outcome = run.run_seed(
        SEED, tmp_path, DURATION_S, FAULT_COUNT, include_timed=False)
    assert len(outcome.faults) == FAULT_COUNT
    assert outcome.answered_count > 0
    assert outcome.violations == {}
