"""Properties of the state machine.

Each property is also checked with the mechanism behind it switched off; the
check must then fail.
"""

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
from poplarstep.configuration import planners
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
        command.ExpiredTarget, TARGETS, strategies.integers(1, 3)).map(
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


def indexes(subject):
    r"""Return the objects of a catalogue and all its indexes."""
    return {
        name: getattr(subject, name)
        for name in catalogue.Catalogue.__slots__
        if name not in NOT_INDEXES}


def recency(item):
    r"""Return the key that orders the announcements of a target."""
    return item.incarnation, item.revision


class Replicas(stateful.RuleBasedStateMachine):
    r"""Two replicas and one subscriber process the same commands."""

    def __init__(self):
        super().__init__()
        self.first = machines.Machine()
        self.second = machines.Machine()
        self.subscriber = catalogue.Catalogue()
        self.sequences = itertools.count(1)
        self.sent = {}
        self.name_by_number = {}
        self.recency_by_number = {}
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
        r"""Create two services at two of the three addresses."""
        for port in (1, 2):
            self.command('c1', command.CreateService(
                's%d' % port, address.Address('10.0.0.1', port), 0, 0), 0)

    @stateful.rule(client=CLIENTS, body=BODIES, behind=SMALL.map(
        lambda number: number // 3))
    def command(self, client, body, behind):
        r"""Run a new command; its outcome has the version after it."""
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
        r"""Resend a command; it changes nothing and gets the first outcome."""
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
        r"""Run two commands based on one version; the second is refused."""
        base = self.first.catalogue.version
        first, second = [self.run(command.Command(
            client, next(self.sequences), base,
            command.SetDataCentre(centre, out)))
            for client, out in zip(('r1', 'r2'), states)]
        assert first.status == command.APPLIED
        assert second.status == command.REFUSED, 'a race has two winners'
        winner = self.first.catalogue.data_centre_by_name[centre]
        assert repr(winner) in second.reason, 'the winner is not shown'

    @stateful.rule(name=SERVICES, new_address=ADDRESSES)
    def move(self, name, new_address):
        r"""Move a service; it may take a former address of the other."""
        self.command('c1', command.ChangeService(
            name, new_address, None, None), 0)

    @stateful.rule(item=ANNOUNCEMENTS)
    def announce(self, item):
        r"""Announce a target; a rule of its own makes this frequent."""
        self.run(command.Command('', 0, 0, command.Announce((item,))))

    @stateful.precondition(
        lambda self: len(self.first.catalogue.target_by_name) > 1)
    @stateful.rule()
    def expire(self):
        r"""Expire the newest target; its number must not be reused."""
        targets = self.first.catalogue.target_by_number
        newest = targets[max(targets)]
        self.run(command.Command('', 0, 0, command.ExpireTargets((
            command.ExpiredTarget(newest.name, newest.incarnation),))))
        assert newest.number not in targets

    @stateful.rule()
    def snapshot(self):
        r"""Let the second replica continue from a snapshot of the first."""
        self.second = reload(machines.take_snapshot(self.first))

    @stateful.rule(late=strategies.booleans())
    def subscribe(self, late):
        r"""Update the subscriber by changes, or by a snapshot if late."""
        published = self.first.catalogue
        if late:
            self.subscriber.restore(published.snapshot())
            return
        changes = published.changes_since(self.subscriber.version)
        if changes is not None:
            self.subscriber.apply(changes)
            self.subscriber.apply(changes)

    @stateful.invariant()
    def replicas_are_equal(self):
        r"""Replicas have equal state, the sessions included."""
        assert machines.take_snapshot(self.first) == (
            machines.take_snapshot(self.second)), 'replicas differ'

    @stateful.invariant()
    def catalogues_are_equal(self):
        r"""Changes and snapshots produce the same indexes."""
        fresh = catalogue.Catalogue()
        fresh.restore(self.first.catalogue.snapshot())
        assert indexes(fresh) == indexes(self.first.catalogue), (
            'a snapshot differs from the changes')
        if self.subscriber.version == self.first.catalogue.version:
            assert indexes(self.subscriber) == indexes(fresh), (
                'a subscriber differs')

    @stateful.invariant()
    def versions_grow(self):
        r"""The version of the configuration never decreases."""
        assert self.first.catalogue.version >= self.version
        self.version = self.first.catalogue.version

    @stateful.invariant()
    def numbers_are_not_reused(self):
        r"""A number refers to the same object for ever."""
        current = self.first.catalogue
        for kind in ('service', 'data_centre', 'target'):
            for number, item in getattr(
                    current, kind + '_by_number').items():
                identity = item.name
                if kind == 'target':
                    identity = item.name, item.service, item.data_centre
                known = self.name_by_number.setdefault(
                    (kind, number), identity)
                assert known == identity, 'a number was used again'

    @stateful.invariant()
    def taken_over_addresses_have_one_service(self):
        r"""An address in use isn't a former address of another service."""
        current = self.first.catalogue
        for service in current.service_by_number.values():
            for former in service.former_addresses:
                assert former not in current.service_by_address, (
                    'an address leads to its former owner')
                assert current.former_by_address[former] is service

    @stateful.invariant()
    def announcements_grow(self):
        r"""An older announcement never replaces a later one."""
        for number, target in (
                self.first.catalogue.target_by_number.items()):
            assert recency(target) >= self.recency_by_number.get(
                number, recency(target)), 'an older announcement won'
            self.recency_by_number[number] = recency(target)

    @stateful.invariant()
    def sessions_are_bounded(self):
        r"""The stored outcomes of a client are bounded."""
        for session in self.first.session_by_client.values():
            assert len(session.outcome_by_sequence) <= 4, (
                'outcomes are not bounded')


LIMITS = settings(
    max_examples=60, stateful_step_count=30, derandomize=True,
    deadline=None, database=None)
# For runs that must fail, whose smallest example isn't needed.
UNSHRUNK = settings(
    LIMITS, max_examples=400, phases=(hypothesis.Phase.generate,),
    report_multiple_bugs=False, print_blob=False)
PASSING_BASE = unittest.mock.Mock(
    side_effect=lambda entry, known, kind: result.Success(known))


def lose_sessions(machine):
    r"""Take a snapshot that lacks the outcomes of commands."""
    return TAKE_SNAPSHOT(machine).replace(sessions=())


def lose_numbers(machine, snapshot):
    r"""Restore the next number of targets from the existing targets."""
    RESTORE_SNAPSHOT(machine, snapshot)
    machine.next_target = 1 + max(
        machine.catalogue.target_by_number, default=0)


def announce_always(machine, announcement, service, centre):
    r"""Accept an announcement, also an older one."""
    with unittest.mock.patch.object(planners, '_recency', AlwaysNewer):
        return ANNOUNCED(machine, announcement, service, centre)


class AlwaysNewer:
    r"""Key that compares as newer than any other key."""

    def __init__(self, item):
        self.item = item

    def __le__(self, other):
        return False


def put_service_without_drop(subject, service):
    r"""Index a service but keep the index entries of its former state."""
    subject.service_by_number[service.number] = service
    subject.service_by_name[service.name] = service
    subject.service_by_address[service.address] = service
    return {service.number}


TAKE_SNAPSHOT = machines.take_snapshot
RESTORE_SNAPSHOT = machines.restore_snapshot
ANNOUNCED = planners._plan_announcement
MECHANISMS = (
    # module and function, replacement that switches the mechanism off, text
    # of the check that must fail
    (machines, '_use_session', lambda machine, client: command.Session(
        client, 0, {}), 'a resend'),
    (machines, 'take_snapshot', lose_sessions, 'replicas'),
    (machines, 'restore_snapshot', lose_numbers, 'replicas'),
    (planners, '_check_unchanged_since_base', PASSING_BASE, 'two winners'),
    (planners, '_release_former_address', lambda machine, address, number: [],
     'former owner'),
    (planners, '_plan_announcement', announce_always, 'older announcement'),
    (machines, '_store_outcome', lambda session, sequence, outcome:
     session.outcome_by_sequence.__setitem__(sequence, outcome),
     'not bounded'),
    (machines, '_with_version', lambda body, version: body, 'two winners'),
)


def explore(limits):
    r"""Run the stateful test with few stored outcomes per client."""
    with unittest.mock.patch.object(machines, 'OUTCOMES_PER_SESSION', 4):
        stateful.run_state_machine_as_test(Replicas, settings=limits)


def test_replicas():
    r"""Guards against violations of the invariants of ``Replicas``."""
    explore(LIMITS)


@pytest.mark.parametrize('module, name, replacement, noticed', MECHANISMS)
def test_check_notices_missing_mechanism(
        module, name, replacement, noticed):
    r"""Guards against checks that pass without the mechanism."""
    with unittest.mock.patch.object(module, name, replacement):
        with pytest.raises(AssertionError, match=noticed):
            explore(UNSHRUNK)


def test_index_check_notices_stale_index():
    r"""Guards against stale index entries that only a snapshot removes."""
    with unittest.mock.patch.dict(
            catalogue.APPLIERS.entry_by_name,
            {model.Service: put_service_without_drop}):
        with pytest.raises((AssertionError, KeyError)):
            explore(UNSHRUNK)


def test_sessions_are_bounded():
    r"""Guards against clients that exhaust the memory of control hosts."""
    machine = machines.Machine()
    with unittest.mock.patch.object(machines, 'MAXIMUM_SESSIONS', 8):
        for number in range(50):
            machines.apply_command(machine, command.Command(
                'client-%d' % number, 1, 0,
                command.SetDataCentre('d%d' % number, False)))
    assert list(machine.session_by_client) == [
        'client-%d' % number for number in range(42, 50)]
