"""Properties of the state machine, each also run without its mechanism."""

import itertools
import unittest.mock

import hypothesis
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest
from returns import result

from poplarstep.configuration import catalogue
from poplarstep.configuration import command
from poplarstep.configuration import machine as machines
from poplarstep.configuration import model
from poplarstep.core import address
from poplarstep.edge import wire

SERVICES = strategies.sampled_from(('s1', 's2'))
ADDRESSES = strategies.integers(1, 3).map(
    lambda port: address.Address('10.0.0.1', port))
CENTRES = strategies.sampled_from(('d1', 'd2'))
TARGETS = strategies.sampled_from(('t1', 't2', 't3'))
SMALL = strategies.integers(0, 3)
ANNOUNCEMENTS = strategies.builds(
    model.Announcement, TARGETS, SERVICES, CENTRES, ADDRESSES,
    strategies.integers(1, 3), SMALL, strategies.just(1),
    strategies.just(9), strategies.just(False))
BODIES = strategies.one_of(
    strategies.builds(
        command.CreateService, SERVICES, ADDRESSES, SMALL, SMALL),
    strategies.builds(
        command.ChangeService, SERVICES,
        strategies.one_of(strategies.none(), ADDRESSES), SMALL,
        strategies.none()),
    strategies.builds(command.RemoveService, SERVICES),
    strategies.builds(
        command.SetDataCentre, CENTRES, strategies.booleans()),
    strategies.builds(command.DrainTarget, TARGETS, strategies.booleans()),
    strategies.lists(ANNOUNCEMENTS, min_size=1, max_size=3).map(
        lambda items: command.Announce(tuple(items))),
    strategies.builds(
        command.Expiry, TARGETS, strategies.integers(1, 3)).map(
            lambda item: command.ExpireTargets((item,))))
CLIENTS = strategies.sampled_from(('c1', 'c2', 'c3'))
CODEC = wire.make_command_codec()
NOT_INDEXES = ('changes', 'oldest_base')


def reload(snapshot):
    r"""Return a machine that continues from the encoded snapshot."""
    machine = machines.Machine()
    machines.restore_snapshot(
        machine, CODEC.decode(CODEC.encode(snapshot)).unwrap())
    return machine


def indexes(held):
    r"""Return the content of a catalogue and all its indexes."""
    return {
        name: getattr(held, name)
        for name in catalogue.Catalogue.__slots__
        if name not in NOT_INDEXES}


def facts(item):
    r"""Return the order of the facts of a target."""
    return item.incarnation, item.revision


class Replicas(stateful.RuleBasedStateMachine):
    r"""Two replicas and one subscriber see the same commands."""

    def __init__(self):
        super().__init__()
        self.first = machines.Machine()
        self.second = machines.Machine()
        self.subscriber = catalogue.Catalogue()
        self.sequences = itertools.count(1)
        self.sent = {}
        self.name_by_number = {}
        self.highest = {}
        self.version = 0

    def run(self, entry):
        r"""Apply a command on both replicas, which must agree."""
        outcome = machines.apply_command(self.first, entry)
        decoded = CODEC.decode(CODEC.encode(entry)).unwrap()
        assert decoded == entry, 'codec loses a command'
        assert machines.apply_command(self.second, decoded) == outcome, (
            'replicas disagree')
        return outcome

    @stateful.initialize()
    def create(self):
        r"""Both services exist; the third address is free."""
        for port in (1, 2):
            self.command('c1', command.CreateService(
                's%d' % port, address.Address('10.0.0.1', port), 0, 0), 0)

    @stateful.rule(client=CLIENTS, body=BODIES, behind=SMALL.map(
        lambda number: number // 3))
    def command(self, client, body, behind):
        r"""A new command has the version that it made or was refused at."""
        entry = command.Command(
            client, next(self.sequences),
            max(0, self.first.catalogue.version - behind), body)
        before = self.first.catalogue.version
        outcome = self.run(entry)
        assert outcome.version == self.first.catalogue.version
        if outcome.status == command.REFUSED:
            assert outcome.version == before, 'a refused command ran'
        self.sent[client, entry.sequence] = entry, outcome

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(data=strategies.data())
    def resend(self, data):
        r"""A resend changes nothing and gets the first outcome."""
        key = data.draw(strategies.sampled_from(sorted(self.sent)))
        entry, outcome = self.sent[key]
        before = machines.take_snapshot(self.first).catalogue
        again = self.run(entry)
        assert machines.take_snapshot(self.first).catalogue == before, (
            'a resend ran twice')
        later = [item for item in self.sent if item[0] == key[0]
                 and item[1] > key[1]]
        if len(later) < machines.OUTCOMES_PER_SESSION:
            assert again == outcome, 'a resend got another outcome'

    @stateful.rule(centre=CENTRES, states=strategies.tuples(
        strategies.booleans(), strategies.booleans()))
    def race(self, centre, states):
        r"""Of two commands on one base the first wins, the second sees it."""
        base = self.first.catalogue.version
        first, second = [self.run(command.Command(
            client, next(self.sequences), base,
            command.SetDataCentre(centre, out)))
            for client, out in zip(('r1', 'r2'), states)]
        assert first.status == command.APPLIED
        assert second.status == command.REFUSED, 'a race has two winners'
        winner = self.first.catalogue.data_centre_by_name[centre]
        assert repr(winner) in second.reason, 'the winner is not shown'

    @stateful.rule(name=SERVICES, place=ADDRESSES)
    def move(self, name, place):
        r"""Services take over each other's former addresses."""
        self.command('c1', command.ChangeService(
            name, place, None, None), 0)

    @stateful.rule(item=ANNOUNCEMENTS)
    def announce(self, item):
        r"""Targets announce themselves far more often than all else."""
        self.run(command.Command('', 0, 0, command.Announce((item,))))

    @stateful.precondition(
        lambda self: len(self.first.catalogue.target_by_name) > 1)
    @stateful.rule()
    def expire(self):
        r"""The newest target goes; its number must not return."""
        held = self.first.catalogue.target_by_number
        newest = held[max(held)]
        self.run(command.Command('', 0, 0, command.ExpireTargets((
            command.Expiry(newest.name, newest.incarnation),))))
        assert newest.number not in held

    @stateful.rule()
    def snapshot(self):
        r"""The second replica continues from a snapshot of the first."""
        self.second = reload(machines.take_snapshot(self.first))

    @stateful.rule(late=strategies.booleans())
    def subscribe(self, late):
        r"""A subscriber follows by changes, or by a snapshot if late."""
        held = self.first.catalogue
        if late:
            self.subscriber.restore(held.snapshot())
            return
        changes = held.changes_since(self.subscriber.version)
        if changes is not None:
            self.subscriber.apply(changes)
            self.subscriber.apply(changes)

    @stateful.invariant()
    def replicas_are_equal(self):
        r"""Replicas agree on everything, the sessions included."""
        assert machines.take_snapshot(self.first) == (
            machines.take_snapshot(self.second)), 'replicas differ'

    @stateful.invariant()
    def catalogues_are_equal(self):
        r"""Changes and snapshots lead to the same indexes."""
        fresh = catalogue.Catalogue()
        fresh.restore(self.first.catalogue.snapshot())
        assert indexes(fresh) == indexes(self.first.catalogue), (
            'a snapshot differs from the changes')
        if self.subscriber.version == self.first.catalogue.version:
            assert indexes(self.subscriber) == indexes(fresh), (
                'a subscriber differs')

    @stateful.invariant()
    def versions_grow(self):
        r"""The version of the configuration never goes back."""
        assert self.first.catalogue.version >= self.version
        self.version = self.first.catalogue.version

    @stateful.invariant()
    def numbers_are_not_reused(self):
        r"""A number means one object for ever."""
        held = self.first.catalogue
        for kind in ('service', 'data_centre', 'target'):
            for number, item in getattr(
                    held, kind + '_by_number').items():
                identity = item.name
                if kind == 'target':
                    identity = item.name, item.service, item.data_centre
                known = self.name_by_number.setdefault(
                    (kind, number), identity)
                assert known == identity, 'a number was used again'

    @stateful.invariant()
    def taken_over_addresses_have_one_service(self):
        r"""An address with an owner leads to no former owner."""
        held = self.first.catalogue
        for service in held.service_by_number.values():
            for former in service.former_addresses:
                assert former not in held.service_by_address, (
                    'an address leads to its former owner')
                assert held.former_by_address[former] is service

    @stateful.invariant()
    def facts_of_targets_grow(self):
        r"""Announcements never bring older facts back."""
        for number, target in (
                self.first.catalogue.target_by_number.items()):
            assert facts(target) >= self.highest.get(
                number, facts(target)), 'older facts came back'
            self.highest[number] = facts(target)

    @stateful.invariant()
    def sessions_are_bounded(self):
        r"""A client holds a bounded number of outcomes."""
        for session in self.first.session_by_client.values():
            assert len(session.outcome_by_sequence) <= 4, (
                'outcomes are not bounded')


LIMITS = settings(
    max_examples=60, stateful_step_count=30, derandomize=True,
    deadline=None, database=None)
# A run that must fail need not be shrunk to the smallest example.
UNSHRUNK = settings(
    LIMITS, max_examples=400, phases=(hypothesis.Phase.generate,),
    report_multiple_bugs=False, print_blob=False)
PASSING_BASE = unittest.mock.Mock(
    side_effect=lambda entry, known, kind: result.Success(known))


def lose_sessions(machine):
    r"""Take a snapshot that lacks the outcomes of commands."""
    return TAKE_SNAPSHOT(machine).replace(sessions=())


def lose_numbers(machine, snapshot):
    r"""Restore the numbers from the objects that are still there."""
    RESTORE_SNAPSHOT(machine, snapshot)
    machine.next_target = 1 + max(
        machine.catalogue.target_by_number, default=0)


def announce_always(machine, announcement, service, centre):
    r"""Take in an announcement whatever the target's facts are."""
    with unittest.mock.patch.object(machines, '_order', Always):
        return ANNOUNCED(machine, announcement, service, centre)


class Always:
    r"""Order in which everything is newer than everything else."""

    def __init__(self, item):
        self.item = item

    def __le__(self, other):
        return False


def put_service_without_drop(held, service):
    r"""Index a service and keep what its former state had indexed."""
    held.service_by_number[service.number] = service
    held.service_by_name[service.name] = service
    held.service_by_address[service.address] = service
    return {service.number}


TAKE_SNAPSHOT = machines.take_snapshot
RESTORE_SNAPSHOT = machines.restore_snapshot
ANNOUNCED = machines._announced
# What is switched off, and the check that must notice it.
MECHANISMS = (
    (machines, '_session', lambda machine, client: command.Session(
        client, 0, {}), 'a resend'),
    (machines, 'take_snapshot', lose_sessions, 'replicas'),
    (machines, 'restore_snapshot', lose_numbers, 'replicas'),
    (machines, '_check_base', PASSING_BASE, 'two winners'),
    (machines, '_without_former', lambda machine, place, number: [],
     'former owner'),
    (machines, '_announced', announce_always, 'older facts'),
    (machines, '_remember', lambda session, sequence, outcome:
     session.outcome_by_sequence.__setitem__(sequence, outcome),
     'not bounded'),
    (machines, '_stamped', lambda body, version: body, 'two winners'),
)


def explore(limits):
    r"""Run the stateful test with a short memory of outcomes."""
    with unittest.mock.patch.object(machines, 'OUTCOMES_PER_SESSION', 4):
        stateful.run_state_machine_as_test(Replicas, settings=limits)


def test_replicas():
    r"""Guards against replicas, resends, races and numbers going wrong."""
    explore(LIMITS)


@pytest.mark.parametrize('module, name, replacement, noticed', MECHANISMS)
def test_check_notices_missing_mechanism(
        module, name, replacement, noticed):
    r"""Guards against checks that would pass without the mechanism."""
    with unittest.mock.patch.object(module, name, replacement):
        with pytest.raises(AssertionError, match=noticed):
            explore(UNSHRUNK)


def test_index_check_notices_stale_index():
    r"""Guards against an index that only a snapshot would clean."""
    with unittest.mock.patch.dict(
            catalogue.APPLIERS.entry_by_name,
            {model.Service: put_service_without_drop}):
        with pytest.raises((AssertionError, KeyError)):
            explore(UNSHRUNK)


def test_sessions_are_bounded():
    r"""Guards against clients that fill the memory of control hosts."""
    machine = machines.Machine()
    with unittest.mock.patch.object(machines, 'MAXIMUM_SESSIONS', 8):
        for number in range(50):
            machines.apply_command(machine, command.Command(
                'client-%d' % number, 1, 0,
                command.SetDataCentre('d%d' % number, False)))
    assert list(machine.session_by_client) == [
        'client-%d' % number for number in range(42, 50)]


CREATE = command.CreateService('s', address.Address('10.0.0.1', 1), 0, 0)
LOST_RACES = (
    # first command, second command, text that names the winner
    (CREATE, CREATE, 'exists since version 1'),
    (command.ChangeService('s', None, 1, None),
     command.ChangeService('s', None, 2, None), 'priority=1'),
    (command.RemoveService('s'), command.ChangeService('s', None, 2, None),
     'removed at version 2'),
    (command.RemoveService('s'), command.RemoveService('s'),
     'removed at version 2'),
    (CREATE.replace(name='a', address=address.Address('10.0.0.2', 1)),
     CREATE.replace(name='b', address=address.Address('10.0.0.2', 1)),
     "belongs to service a: Service(name='a'"),
)


@pytest.mark.parametrize('winner, loser, shown', LOST_RACES)
def test_lost_race_names_the_winner(winner, loser, shown):
    r"""Guards against a refusal that hides what has won."""
    machine = machines.Machine()
    if winner is not CREATE:
        machines.apply_command(machine, command.Command('o', 1, 0, CREATE))
    base = machine.catalogue.version
    won = machines.apply_command(
        machine, command.Command('a', 1, base, winner))
    lost = machines.apply_command(
        machine, command.Command('b', 1, base, loser))
    assert won.status == command.APPLIED
    assert lost.status == command.REFUSED and shown in lost.reason
    assert machines.apply_command(
        reload(machines.take_snapshot(machine)),
        command.Command('c', 1, base, loser)) == lost


OLDER = (
    # version of the held catalogue, version that arrives
    (5, 4), (5, 5),
)


@pytest.mark.parametrize('held, arriving', OLDER)
def test_older_configuration_is_ignored(held, arriving):
    r"""Guards against a node that goes back to an older version."""
    node = catalogue.Catalogue()
    centre = model.DataCentre('d', 1, True, held)
    assert node.apply([model.Change(held, centre)])
    old = centre.replace(out=False)
    assert not node.apply([model.Change(arriving, old)])
    assert not node.restore(model.Snapshot(arriving, (), (old,), ()))
    assert node.version == held and node.data_centre_out(1)


TARGET = model.Announcement(
    't', 's', 'd', address.Address('10.0.0.3', 1), 1, 1, 1, 1, False)
EXPIRE = command.ExpireTargets((command.Expiry('t', 1),))
RETURNS = (
    # commands while the target is away, whether it returns drained
    ((), True),
    ((command.DrainTarget('t', False),), False),
)


@pytest.mark.parametrize('meanwhile, drained', RETURNS)
def test_drain_outlasts_an_absence(meanwhile, drained):
    r"""Guards against a drain that ends because the target was silent."""
    machine = machines.Machine()
    bodies = (CREATE, command.Announce((TARGET,)), command.DrainTarget(
        't', True), EXPIRE) + meanwhile
    for number, body in enumerate(bodies):
        outcome = machines.apply_command(machine, command.Command(
            'o', number, machine.catalogue.version, body))
        assert outcome.status == command.APPLIED
    machine = reload(machines.take_snapshot(machine))
    machines.apply_command(machine, command.Command('', 0, 0, command.Announce(
        (TARGET.replace(incarnation=2),))))
    returned = machine.catalogue.target_by_name['t']
    assert returned.drained == drained
    assert not machine.drained_names
