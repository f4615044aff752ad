"""Tests of the preference for targets in the balancer's data centre."""

import itertools
import random

import pytest

from poplarstep.configuration import model
from poplarstep.core import address
from poplarstep.core import effect
from poplarstep.core import timer
from poplarstep.opaque_flows import balancer
from poplarstep.opaque_flows import balancer_assembly
from poplarstep.opaque_flows import balancer_state
from poplarstep.opaque_flows import candidates
from poplarstep.opaque_flows import crossings
from poplarstep.opaque_flows import local_candidates
from poplarstep.opaque_flows import locality
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import placement
from poplarstep.opaque_flows.tests import fixtures

CENTRES = ('maadi', 'giza', 'nasr-city')
TICK = timer.Tick(balancer.TICK)
FLOWS = [fixtures.numbered_flow_key(number) for number in range(200)]


def agent_of(number):
    """Return the address of a target's agent."""
    return address.Address('10.0.%d.%d' % divmod(number, 256), 7000)


def make_balancer(count, own='maadi', name='prefer'):
    """Return a balancer with targets in three data centres in rotation.

    The data centre of target n is n % 3 + 1; maadi is 1.
    """
    catalogue = fixtures.make_catalogue()
    catalogue.apply(
        [model.Change(2, model.Removal('target', number))
         for number in range(3)]
        + [model.Change(2, model.DataCentre(centre, 1 + position, False, 1))
           for position, centre in enumerate(CENTRES)]
        + [model.Change(2, fixtures.make_target(0).replace(
            name='t-%d' % number, number=number, data_centre=1 + number % 3,
            agent=agent_of(number)))
           for number in range(999, 999 + count)])
    generator = random.Random(1)
    return balancer_state.make_flow_balancer(
        catalogue, lambda now: True,
        placement.make_placement('capacity', generator), generator,
        locality=locality.make_locality(name, own))


def set_centre(state, version, **changes):
    """Change the data centre of the balancer."""
    centre = state.catalogue.data_centre_by_name['maadi']
    state.catalogue.apply([model.Change(version, centre.replace(**changes))])


def centres_of(state, effects):
    """Return the data centres to which packets are sent."""
    return [
        state.agents.target(item.destination).data_centre
        for item in effects if type(item) is message.ToNode]


def offered_centres(state, flow, answer, now=1):
    """Return the data centres of a flow's offers in one round.

    ``answer`` is a reason for a rejection, or None for an offer that times
    out. An offer that may be queued is accepted.
    """
    centres = []
    effects = list(balancer.BALANCER.process(state, message.FromCaller(
        fixtures.segment(flow, opening=True)), now))
    while centres_of(state, effects):
        centres += centres_of(state, effects)
        offer, = fixtures.messages_of(effects, message.Offer)
        if offer.may_queue:
            break
        if answer is None:
            now += balancer.OFFER_TIMEOUT_MS
            effects = list(balancer.BALANCER.process(state, TICK, now))
            continue
        source = next(
            item.destination for item in effects
            if type(item) is message.ToNode)
        effects = list(balancer.BALANCER.process(state, message.FromNode(
            source, message.FlowRejected(
                flow, answer, fixtures.IDLE_LOAD)), now))
    return centres


def report(state, utilization, now, centre=1):
    """Record a load of all targets of a data centre."""
    for target in state.catalogue.targets_by_service[1].values():
        if target.data_centre == centre:
            state.placement.reported(target.number, message.Load(
                1, 1, 20_000, int(1000 * utilization), 1), now)


@pytest.mark.parametrize('count', [6, 15, 90, 900])
@pytest.mark.parametrize('answer, local, others', [
    pytest.param(message.BUSY, 3, 1, id='busy'),
    pytest.param(message.COLD, 3, 1, id='cold'),
    pytest.param(None, 3, 1, id='unanswered')])
def test_local_targets_are_offered_a_flow_first(count, answer, local, others):
    """Guards against traffic between data centres without need."""
    for flow in FLOWS[:20]:
        state = make_balancer(count)
        centres = offered_centres(state, flow, answer)
        local_here = min(local, count // 3)
        assert centres[:local_here] == [1] * local_here
        assert all(centre != 1 for centre in centres[local_here:][:others])
        assert len(centres) > local_here


@pytest.mark.parametrize('change', ['out', 'none answers', 'removed'])
@pytest.mark.parametrize('count', [9, 90])
@pytest.mark.parametrize('flow', FLOWS[:5])
def test_flow_leaves_a_lost_data_centre_at_once(count, change, flow):
    """Guards against offers to local targets that are all lost."""
    state = make_balancer(count)
    assert 1 not in offered_centres(
        lose_first_centre(state, change), flow, message.BUSY)[:3]


def lose_first_centre(state, change):
    """Lose the balancer's data centre in one of three ways."""
    local = [
        number for number, target in state.catalogue.target_by_number.items()
        if target.data_centre == 1 and target.service == 1]
    if change == 'out':
        set_centre(state, 3, out=True)
    elif change == 'removed':
        state.catalogue.apply([
            model.Change(3, model.Removal('target', number))
            for number in local])
    else:
        for number in local:
            state.placement.timed_out(number, 0)
    return state


def test_returned_data_centre_is_preferred_again():
    """Guards against a data centre that stays unused after it was out."""
    state = make_balancer(90)
    set_centre(state, 3, out=True)
    assert 1 not in offered_centres(state, FLOWS[0], message.BUSY)
    set_centre(state, 4, out=False)
    assert offered_centres(state, FLOWS[1], message.BUSY)[:3] == [1] * 3


@pytest.mark.parametrize('utilizations, spilling', [
    ((0.5, 0.84), (False, False)), ((0.86,), (True,)),
    ((0.86, 0.71, 0.69), (True, True, False)),
    ((0.86, 0.69, 0.71, 0.86), (True, False, False, True)),
    ((0.9, None), (True, False)), ((None,), (False,))])
def test_spill_has_hysteresis(utilizations, spilling):
    """Guards against spilling late, for ever, or on and off in turn.

    None stands for reports that have stopped.
    """
    state = make_balancer(30)
    entries = []
    for step, utilization in enumerate(utilizations):
        now = 1000 + 5000 * step
        if utilization is not None:
            report(state, utilization, now)
        effects = balancer.BALANCER.process(state, message.FromCaller(
            fixtures.segment(FLOWS[step], opening=True)), now)
        entries += [item.event for item in effects
                    if type(item) is effect.LogEvent]
        assert bool(state.locality.spilling) == spilling[step]
    changes = [
        now for before, now in zip((False, *spilling), spilling)
        if before != now]
    assert entries == [
        'spill-started' if now else 'spill-stopped' for now in changes]
    assert state.counters.spill_starts == changes.count(True)
    assert state.counters.spill_stops == changes.count(False)


@pytest.mark.parametrize('local, others, minimum, maximum', [
    (0.95, 0.2, 0.7, 1.0), (0.8, 0.2, 0.0, 0.0), (0.95, 0.95, 0.2, 0.6)])
def test_spilling_flows_go_where_capacity_is_spare(
        local, others, minimum, maximum):
    """Guards against a spill that stays local, or goes to busy targets."""
    state = make_balancer(90)
    for centre, utilization in ((1, local), (2, others), (3, others)):
        report(state, utilization, 1000, centre)
    centres = []
    for flow in FLOWS:
        effects = balancer.BALANCER.process(state, message.FromCaller(
            fixtures.segment(flow, opening=True)), 1000)
        centres += centres_of(state, effects)
        state.placement.withdrawn(
            state.tracked_by_flow[flow].offered_to.number)
    left = sum(centre != 1 for centre in centres) / len(centres)
    assert minimum <= left <= maximum


def test_shares_of_the_services_are_kept():
    """Guards against a local service that takes another one's flows."""
    state = make_balancer(30)
    state.catalogue.apply([
        model.Change(3, fixtures.make_target(3).replace(data_centre=2)),
        model.Change(3, fixtures.make_route(1).replace(shares=(
            model.Share(1, 1), model.Share(2, 1))))])
    services = []
    for flow in FLOWS:
        effects = balancer.BALANCER.process(state, message.FromCaller(
            fixtures.segment(flow, opening=True)), 1)
        offer, = fixtures.messages_of(effects, message.Offer)
        services.append(offer.service)
    assert 70 <= services.count(1) <= 130


@pytest.mark.parametrize('count', [90, 300])
@pytest.mark.parametrize('round_number', [0, 1])
def test_candidates_are_bounded_and_local_first(count, round_number):
    """Guards against a cost that grows with the service."""
    index = make_balancer(count).candidates
    wanted = candidates.OFFERED_CANDIDATES * (1 + round_number)
    local = local_candidates.LOCAL_CANDIDATES * (1 + round_number)
    for flow in FLOWS[:40]:
        found = index.offered(1, flow, round_number)
        assert len({item.number for item in found}) == wanted
        assert [item.data_centre == 1 for item in found] == (
            [True] * local + [False] * (wanted - local))


def test_walk_is_bounded_when_few_targets_qualify():
    """Guards against a walk over a whole service that is leaving."""
    state = make_balancer(3000)
    state.catalogue.apply([
        model.Change(3, target.replace(leaving=True))
        for target in state.catalogue.targets_by_service[1].values()
        if target.number % 30])
    index = state.candidates
    index.offered(1, FLOWS[0], 0)
    for ring in (index.ring_by_service[1], index.local_ring_by_service[1]):
        ring.numbers = CountingList(ring.numbers)
    for flow in FLOWS[:20]:
        index.offered(1, flow, 0)
    for ring in (index.ring_by_service[1], index.local_ring_by_service[1]):
        assert ring.numbers.reads <= 20 * (
            1.2 * local_candidates.MAXIMUM_EXAMINED)


class CountingList(list):
    """List that counts how often an element is read."""

    reads = 0

    def __getitem__(self, position):
        self.reads += 1
        return super().__getitem__(position)


@pytest.mark.parametrize('count', [12, 90, 900])
def test_lookup_of_any_balancer_covers_the_candidates(count):
    """Guards against a flow that balancers elsewhere do not find."""
    indexes = [make_balancer(count, own).candidates for own in CENTRES]
    for index, other in itertools.permutations(indexes, 2):
        for flow in FLOWS[:30]:
            asked = {item.number for item in index.lookup(1, flow)}
            assert len(asked) <= candidates.LOOKUP_CANDIDATES
            assert asked >= {
                item.number for item in other.offered(1, flow, 0)[:5]}


def test_unknown_own_data_centre_has_no_preference():
    """Guards against a wrong name in the settings that stops service."""
    state = make_balancer(90, own='typo')
    plain = make_balancer(90, name='none')
    for flow in FLOWS[:20]:
        assert (
            state.candidates.offered(1, flow, 0)
            == plain.candidates.offered(1, flow, 0))
        assert offered_centres(state, flow, message.BUSY)


@pytest.mark.parametrize('item, counted', [
    (fixtures.offer(), True),
    (message.FlowPacket(fixtures.FLOW, True, False, b'opening'), True),
    (message.FlowLookup(message.FlowPacket(
        fixtures.FLOW, True, False, b'opening')), True),
    (message.FlowQuery(fixtures.FLOW), False)])
@pytest.mark.parametrize('number, centre', [
    (999, 'maadi'), (1000, 'giza'), (None, None)])
def test_packets_are_counted_by_destination(item, counted, number, centre):
    """Guards against costs between data centres that nobody sees."""
    state = make_balancer(9)
    destination = fixtures.BALANCER if number is None else agent_of(number)
    event = message.ToNode(destination, item)
    assert list(crossings.CROSSINGS.process(
        state.traffic, event, 0)) == [event]
    counted = counted and centre is not None
    assert state.traffic.rows() == [
        ('steering_packets_to', {'destination': centre}, 1),
        ('steering_bytes_to', {'destination': centre}, len(b'opening')),
    ] * counted
    crossed = counted and centre != 'maadi'
    assert state.counters.packets_to_others == crossed
    assert state.counters.bytes_to_others == crossed * len(b'opening')


@pytest.mark.parametrize('name, stages', [('none', 3), ('prefer', 4)])
def test_packets_are_counted_only_if_the_setting_is_on(name, stages):
    """Guards against a cost for balancers without the setting."""
    pipeline, _, state = balancer_assembly.make_balancer({
        'node': 'b', 'upstreams': (fixtures.BALANCER,),
        'without-control': 'serve', 'placement': 'two-choices',
        'locality': name, 'data-centre': 'maadi', 'dead-flows': 'ignore',
        'tied-offers': 0, 'lookup-rate': 80_000, 'avoid-failing': 'off',
    }, 1, random.Random(1), 0)
    assert len(pipeline.steps) == stages
    assert (state.traffic is None) == (name == 'none')
    assert state.surveys.query_budget.burst == 80_000


@pytest.mark.parametrize('steps', [
    ((45, 'none'),), ((48, 'prefer'),),
    ((48, 'prefer'), (39, 'prefer'), (33, 'none'), (45, 'none')),
    ((30, 'none'), (51, 'prefer'), (0, 'none'))])
def test_preference_needs_enough_local_slots(steps):
    """Guards against flows that swing between a few local targets and others.

    A step is the number of targets with one slot, of which a third are local,
    and how candidates are chosen.
    """
    state = make_balancer(0, name='auto')
    entries = []
    for step, (count, expected) in enumerate(steps):
        set_target_count(state, 3 + step, count)
        model_state = make_balancer(count, name=expected)
        for flow in FLOWS[:20]:
            assert {item.number for item in state.candidates.offered(
                1, flow, 0)} == {
                    item.number for item in model_state.candidates.offered(
                        1, flow, 0)}
        entries += [
            dict(item.fields)['locality']
            for item in state.locality.check_spill(state, 1, step)]
        assert state.locality.extra_offers(1) == (expected == 'prefer')
    names = ['none'] + [name for _, name in steps]
    assert entries == [
        now for before, now in zip(names, names[1:]) if before != now]


def set_target_count(state, version, count):
    """Add or remove targets of the service until there are ``count``."""
    present = set(state.catalogue.targets_by_service.get(1, {}))
    wanted = set(range(999, 999 + count))
    state.catalogue.apply(
        [model.Change(version, model.Removal('target', number))
         for number in present - wanted]
        + [model.Change(version, fixtures.make_target(0).replace(
            name='t-%d' % number, number=number, data_centre=1 + number % 3,
            agent=agent_of(number)))
           for number in wanted - present])


def test_service_that_loses_the_preference_stops_to_spill():
    """Guards against a spill that nothing ends."""
    state = make_balancer(48, name='auto')
    report(state, 0.9, 1000)
    state.locality.check_spill(state, 1, 1000)
    assert state.locality.spilling == {1}
    set_target_count(state, 3, 30)
    state.locality.check_spill(state, 1, 1001)
    assert not state.locality.spilling
