"""Steps of the scenarios: a small vocabulary over whole systems."""

import pytest
import pytest_bdd
from pytest_bdd import parsers

from poplarstep.core import verdict
from scenarios import changes
from scenarios import system as systems
from scenarios import target as targets

SEED = 20261
# Caller to fabric, balancer and agent; only time on a wire may add.
WAY_HOPS = 3
REQUESTS = 'each flow sends {kind} request'
LOW_PRIORITY = 5
STEP_MS = 100
KINDS = {'a': False, 'an idempotent': True}

pytest_bdd.scenarios('.')


def given(text, **options):
    """Return the decorator of a step that prepares a system."""
    return pytest_bdd.given(parsers.parse(text), **options)


def when(text, **options):
    """Return the decorator of a step that changes a system."""
    return pytest_bdd.when(parsers.parse(text), **options)


def then(text):
    """Return the decorator of a step that checks a system."""
    return pytest_bdd.then(parsers.parse(text))


@pytest.fixture
def plan():
    """Return the properties of the targets that are started next."""
    return {}


@pytest.fixture
def flows():
    """Return the keys of the open flows."""
    return []


@given('a system with {count:d} balancers', target_fixture='system')
def make_system(count):
    return systems.make_system(SEED, balancers=count)


@given('a system with {count:d} balancers that open {rate:d} flows a second '
       'each', target_fixture='system')
def make_limited_system(count, rate):
    return systems.make_system(
        SEED, balancers=count, **{'opens-per-second': rate})


@given('targets with')
def targets_with(plan, datatable):
    for name, value in datatable:
        plan[name.replace(' ', '_')] = int(value)


@given('agents with')
def agents_with(system, datatable):
    for name, value in datatable:
        system.agent_settings[name.replace(' ', '-')] = int(value)


@given('a service {name} with {count:d} targets')
def service_with_targets(system, plan, name, count, priority=0):
    index = len(system.published.machine.catalogue.service_by_name)
    system.create_service(name, index, priority)
    for number in range(1, count + 1):
        system.start_target(
            '%s-%d' % (name, number), name, targets.Plan(**plan))
    system.run(2500)


@given('a low priority service {name} with {count:d} targets')
def low_priority_service(system, plan, name, count):
    service_with_targets(system, plan, name, count, LOW_PRIORITY)


@given('{count:d} open flows to {service}')
def open_flows(system, flows, count, service):
    opened = system.open_flows(service, count)
    system.run(1000)
    assert not system.failed
    flows.extend(opened)
    system.remember_homes(opened)


@given('a {name} network')
@when('the network becomes {name}')
def network_is(system, name):
    system.driver.faults = changes.NETWORKS.find(name).unwrap()


@when('{change} happens')
def change_happens(system, change):
    changes.CHANGES.find(change).unwrap()(system)


@when('{duration:d} ms pass')
def time_passes(system, duration):
    system.run(duration)


@when(REQUESTS)
def flows_ask(system, flows, kind):
    system.ask_all(flows, idempotent=KINDS[kind])


@when(REQUESTS + ' every {gap:d} ms for {duration:d} ms')
def flows_ask_often(system, flows, kind, gap, duration):
    for _ in range(duration // gap):
        system.ask_all(flows, idempotent=KINDS[kind])
        system.run(gap)


@when('{rate:d} flows a second to {service} and {others:d} to {other} are '
      'opened for {duration:d} ms', target_fixture='opened_by_service')
def flows_are_opened(system, rate, service, others, other, duration):
    opened = {service: [], other: []}
    for _ in range(duration // STEP_MS):
        # The flows of high priority come last, so that order can't help.
        for name, count in ((other, others), (service, rate)):
            opened[name] += system.open_flows(
                name, count * STEP_MS // 1000, deadline_ms=2000)
        system.run(STEP_MS)
    return opened


@when('the last {count:d} flows fall silent')
def flows_fall_silent(flows, count):
    del flows[-count:]


@when('{count:d} new flows to {service} send a request')
def new_flows_ask(system, count, service):
    opened = system.open_flows(service, count)
    system.run(1500)
    system.ask_all([key for key in opened if key in system.started])


@then('nothing is broken')
def nothing_is_broken(system):
    assert system.faults() == []


@then('each request is answered by the target of its flow')
def answered_at_home(system):
    strayed = [
        (item.payload, item.outcome, system.ran_at(item))
        for item in system.asked
        if item.verdict() is not verdict.Verdict.RAN
        or system.ran_at(item) != [system.home_by_flow[item.flow_key]]]
    assert strayed == []


@then('at least {count:d} requests are answered')
def some_answered(system, count):
    assert len(system.with_verdict(verdict.Verdict.RAN)) >= count


@then('every flow has been opened')
def all_opened(system):
    assert system.failed == {}
    assert system.started == set(system.service_by_flow)


@then('all requests are answered')
def all_answered(system):
    assert [
        item.outcome for item in system.asked
        if item.verdict() is not verdict.Verdict.RAN] == []


@then('no target received more than it bears')
def none_exceeded(system):
    assert {
        name: target.exceeded
        for name, target in system.target_by_name.items()
        if target.exceeded} == {}


@then('at least {count:d} requests are refused as not run')
def some_refused(system, count):
    assert len(system.with_verdict(verdict.Verdict.NOT_RUN)) >= count


@then('at least {count:d} requests may have run')
def some_unknown(system, count):
    assert len(system.with_verdict(verdict.Verdict.MAY_HAVE_RUN)) >= count


@then('{count:d} requests are cancelled at their target')
def cancelled_at_target(system, count):
    assert sum(
        len(target.cancelled)
        for target in system.target_by_name.values()) == count


@when('flows are counted', target_fixture='opened_before')
def count_flows(system):
    return system.first_agent().counters.opened


@then('the first target has no new flow')
def no_new_flow(system, opened_before):
    assert system.first_agent().counters.opened == opened_before


@then('the first target has no flows')
def no_flows(system):
    assert len(system.first_agent().flow_by_serial) == 0


@then('no target was given more time than the caller gave')
def no_late_deadline(system):
    way_ms = WAY_HOPS * system.driver.faults.maximum_ms
    assert max(
        target.latest_ms
        for target in system.target_by_name.values()) <= way_ms


@then('{count:d} flows were cut')
def flows_cut(system, count):
    assert system.first_agent().counters.flows_expired == count


@then('retries stay within their budgets')
def retries_within_budget(system):
    seconds = system.driver.now / 1000
    asked = len(system.asked)
    assert system.caller.retries <= asked / 10 + seconds
    for balancer in system.balancer_by_name.values():
        counters = balancer.counters
        assert counters.open_retried <= counters.opens / 10 + seconds


@then('a flow is opened in at most {count:d} attempts a balancer')
def open_attempts(system, count):
    for balancer in system.balancer_by_name.values():
        counters = balancer.counters
        assert balancer.next_attempt - 1 <= count * counters.opens


@then('the first target is {state}')
def first_target_is(system, state):
    first = next(iter(system.admission_by_name.values()))
    assert first.ramp.is_cold() is {'cold': True, 'warm': False}[state]


@then('at least {share:d}% of the flows to {service} were opened')
def many_opened(system, opened_by_service, share, service):
    assert opened_share(system, opened_by_service[service]) >= share


@then('at most {share:d}% of the flows to {service} were opened')
def few_opened(system, opened_by_service, share, service):
    assert opened_share(system, opened_by_service[service]) <= share


def opened_share(system, keys):
    return 100 * len(system.started.intersection(keys)) / len(keys)


@then('at least {share:d}% of the requests of the last {duration:d} ms are '
      'answered')
def recent_answered(system, share, duration):
    recent = [
        item for item in system.asked
        if item.asked_at > system.driver.now - duration]
    answered = [
        item for item in recent if item.verdict() is verdict.Verdict.RAN]
    assert 100 * len(answered) / len(recent) >= share
