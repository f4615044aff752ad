"""Steps of the scenarios in the feature files of this folder."""

import pytest
import pytest_bdd
from pytest_bdd import parsers

from poplarstep.core import verdict
from scenarios import changes
from scenarios import system as systems
from scenarios import target as targets

SEED = 20261
# Caller to fabric, to balancer, to agent. A deadline may be extended by the
# network delay of these hops only.
PATH_HOPS = 3
REQUEST_STEP = 'each flow sends {kind} request'
LOW_PRIORITY = 5
STEP_MS = 100
IDEMPOTENT_BY_KIND = {'a': False, 'an idempotent': True}

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
    index = len(system.control.machine.catalogue.service_by_name)
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
    assert not system.failure_by_flow
    flows.extend(opened)
    system.record_targets(opened)


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


@when(REQUEST_STEP)
def flows_send_requests(system, flows, kind):
    system.send_requests(flows, idempotent=IDEMPOTENT_BY_KIND[kind])


@when(REQUEST_STEP + ' every {period:d} ms for {duration:d} ms')
def flows_send_requests_periodically(system, flows, kind, period, duration):
    for _ in range(duration // period):
        system.send_requests(flows, idempotent=IDEMPOTENT_BY_KIND[kind])
        system.run(period)


@when('{rate:d} flows a second to {service} and {other_rate:d} to {other} are '
      'opened for {duration:d} ms', target_fixture='opened_by_service')
def flows_are_opened(system, rate, service, other_rate, other, duration):
    opened = {service: [], other: []}
    for _ in range(duration // STEP_MS):
        # Flows of high priority open last, so that the order is no advantage.
        for name, count in ((other, other_rate), (service, rate)):
            opened[name] += system.open_flows(
                name, count * STEP_MS // 1000, deadline_ms=2000)
        system.run(STEP_MS)
    return opened


@when('the last {count:d} flows send no more requests')
def last_flows_send_no_more(flows, count):
    del flows[-count:]


@when('{count:d} new flows to {service} send a request')
def new_flows_send_requests(system, count, service):
    opened = system.open_flows(service, count)
    system.run(1500)
    system.send_requests([key for key in opened if key in system.opened_flows])


@then('all guarantees hold')
def all_guarantees_hold(system):
    assert system.violations() == []


@then('each request is answered by the target of its flow')
def answered_by_own_target(system):
    misrouted = [
        (item.payload, item.outcome, system.ran_at(item))
        for item in system.requests
        if item.verdict() is not verdict.Verdict.RAN
        or system.ran_at(item) != [system.target_name_by_flow[item.flow_key]]]
    assert misrouted == []


@then('at least {count:d} requests are answered')
def some_answered(system, count):
    assert len(system.requests_with_verdict(verdict.Verdict.RAN)) >= count


@then('every flow has been opened')
def all_opened(system):
    assert system.failure_by_flow == {}
    assert system.opened_flows == set(system.service_by_flow)


@then('all requests are answered')
def all_answered(system):
    assert [
        item.outcome for item in system.requests
        if item.verdict() is not verdict.Verdict.RAN] == []


@then('no target received more requests than it can run')
def no_target_overloaded(system):
    assert {
        name: target.overloads
        for name, target in system.target_by_name.items()
        if target.overloads} == {}


@then('at least {count:d} requests are refused as not run')
def some_refused(system, count):
    assert len(system.requests_with_verdict(verdict.Verdict.NOT_RUN)) >= count


@then('at least {count:d} requests may have run')
def some_may_have_run(system, count):
    assert len(system.requests_with_verdict(
        verdict.Verdict.MAY_HAVE_RUN)) >= count


@then('{count:d} requests are cancelled at their target')
def cancelled_at_target(system, count):
    assert sum(
        len(target.cancelled)
        for target in system.target_by_name.values()) == count


@when('the flows of the first target are counted',
      target_fixture='opened_before')
def count_flows(system):
    return system.first_agent().counters.opened


@then('the first target has no new flow')
def no_new_flow(system, opened_before):
    assert system.first_agent().counters.opened == opened_before


@then('the first target has no flows')
def no_flows(system):
    assert len(system.first_agent().flow_by_serial) == 0


@then('no target got a later deadline than the caller set')
def no_deadline_extended(system):
    path_delay_ms = PATH_HOPS * system.driver.faults.maximum_ms
    assert max(
        target.largest_deadline_excess_ms
        for target in system.target_by_name.values()) <= path_delay_ms


@then('{count:d} flows have expired')
def flows_have_expired(system, count):
    assert system.first_agent().counters.flows_expired == count


@then('retries stay within their budgets')
def retries_within_budget(system):
    seconds = system.driver.now / 1000
    requests = len(system.requests)
    assert system.caller.retries <= requests / 10 + seconds
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
def enough_opened(system, opened_by_service, share, service):
    assert opened_share(system, opened_by_service[service]) >= share


@then('at most {share:d}% of the flows to {service} were opened')
def rest_shed(system, opened_by_service, share, service):
    assert opened_share(system, opened_by_service[service]) <= share


def opened_share(system, keys):
    return 100 * len(system.opened_flows.intersection(keys)) / len(keys)


@then('at least {share:d}% of the requests of the last {duration:d} ms are '
      'answered')
def recent_answered(system, share, duration):
    recent = [
        item for item in system.requests
        if item.sent_at > system.driver.now - duration]
    answered = [
        item for item in recent if item.verdict() is verdict.Verdict.RAN]
    assert 100 * len(answered) / len(recent) >= share
