"""Tests of a replica's reactions to single messages."""

import random

import pytest

from poplarstep.consensus import log
from poplarstep.consensus import message
from poplarstep.consensus import peer
from poplarstep.consensus import replica
from poplarstep.consensus import state as states
from poplarstep.core import address
from poplarstep.core import effect
from poplarstep.edge import codec

NAMES = ('control-0', 'control-1', 'control-2')
IDENTITIES = tuple(message.HostIdentity(name, 'disk') for name in NAMES)
SEEDS = tuple(
    states.Seed(name, address.Address('127.0.0.1', 4000 + number))
    for number, name in enumerate(NAMES))
MEMBERS = tuple(
    message.Member(identity, seed.address, True)
    for identity, seed in zip(IDENTITIES, SEEDS))


def entry(index, term, payload=b''):
    return message.LogEntry(index, term, message.COMMAND, payload)


def make_follower(terms=(1, 1, 2), term=2, members=MEMBERS):
    r"""Return a follower whose log has entries of the given terms."""
    return replica.make_replica(
        IDENTITIES[0], SEEDS[0].address, SEEDS, True, random.Random(1), 0,
        term, None, message.Snapshot('group', 0, 0, members, b''),
        tuple(entry(index, item) for index, item in enumerate(terms, 1)))


def receive(state, peer_message, now):
    return replica.REPLICA.process(
        state, effect.Received(SEEDS[1].address, peer_message), now)


def messages_sent(effects, item_type):
    return [
        item.message for item in effects
        if type(item) is effect.SendControl
        and type(item.message) is item_type]


def of_type(effects, item_type):
    return [item for item in effects if type(item) is item_type]


def elect(state, now=2000):
    replica.REPLICA.process(state, replica.TICK, now)
    for pre_vote in (True, False):
        effects = receive(state, peer.VoteReply(
            IDENTITIES[1], 'group', state.term + pre_vote, pre_vote, True),
            now)
    for item in of_type(effects, message.Stored):
        effects += replica.REPLICA.process(state, item, now)
    return effects


def acknowledge(state, sender, match, sent_at, now, term=None):
    return receive(state, peer.AppendReply(
        IDENTITIES[sender], 'group', term or state.term, True, match, 0, 0,
        sent_at), now)


@pytest.mark.parametrize('now, term, last, group, pre_vote, granted', [
    (800, 3, (3, 2), 'group', False, True),
    (800, 3, (3, 2), 'group', True, True),
    (699, 3, (3, 2), 'group', False, False),
    (800, 3, (2, 2), 'group', False, False),
    (800, 3, (9, 1), 'group', False, False),
    (800, 1, (3, 2), 'group', False, False),
    (800, 2, (3, 2), 'group', True, False),
    (800, 3, (3, 2), 'other', False, None),
])
def test_vote(now, term, last, group, pre_vote, granted):
    """Guards against votes too early or for stale logs, terms or groups."""
    state = make_follower()
    effects = receive(state, peer.RequestVote(
        IDENTITIES[1], group, term, pre_vote, *last), now)
    replies = messages_sent(effects, peer.VoteReply)
    assert [reply.granted for reply in replies] == (
        [] if granted is None else [granted])
    saved = of_type(effects, message.SaveVote)
    if granted and not pre_vote:
        assert effects[0] == message.SaveVote(term, IDENTITIES[1])
    elif pre_vote or now < 700:
        assert not saved and state.term == 2


@pytest.mark.parametrize('sender, counts', [
    (IDENTITIES[1], True),
    (message.HostIdentity('control-1', 'new-disk'), False),
])
def test_only_known_disk_counts(sender, counts):
    """Guards against counting the vote of a host that lost its disk."""
    state = make_follower()
    replica.REPLICA.process(state, replica.TICK, 2000)
    receive(state, peer.VoteReply(sender, 'group', 3, True, True), 2000)
    assert (state.role == states.CANDIDATE) is counts


@pytest.mark.parametrize('previous, previous_term, new, reply, terms', [
    (3, 2, ((4, 3),), (True, 4, 0, 0), (1, 1, 2, 3)),
    (2, 1, ((3, 3),), (True, 3, 0, 0), (1, 1, 3)),
    (2, 1, (), (True, 2, 0, 0), (1, 1, 2)),
    (0, 0, ((1, 1), (2, 1)), (True, 2, 0, 0), (1, 1, 2)),
    (5, 3, (), (False, 0, 0, 4), (1, 1, 2)),
    (2, 2, (), (False, 0, 1, 1), (1, 1, 2)),
    (3, 3, (), (False, 0, 2, 3), (1, 1, 2)),
])
def test_append(previous, previous_term, new, reply, terms):
    """Guards against a log that differs from the leader's."""
    state = make_follower()
    effects = receive(state, peer.AppendEntries(
        IDENTITIES[1], IDENTITIES[0], 'group', 3, previous, previous_term,
        tuple(entry(*item) for item in new), 0, 77), 100)
    answer, = messages_sent(effects, peer.AppendReply)
    assert (
        answer.success, answer.match_index, answer.conflict_term,
        answer.conflict_index) == reply
    assert answer.sent_at == 77
    assert tuple(item.term for item in state.log.entries) == terms


def test_commands_in_flight_are_unknown():
    """Guards against refusing a command that may still be committed."""
    state = make_follower()
    elect(state)
    replica.REPLICA.process(state, message.Propose(7, b'x'), 2010)
    acknowledge(state, 1, 4, 2000, 2020)
    effects = acknowledge(state, 1, 0, 2000, 2030, term=9)
    assert of_type(effects, message.ProposalUnknown) == [
        message.ProposalUnknown(7, '')]
    assert not of_type(effects, message.ProposalRefused)
    refused = replica.REPLICA.process(
        state, message.Propose(8, b'x'), 2040)
    assert refused == [message.ProposalRefused(8, 'not-leader', '')]


@pytest.mark.parametrize('match, sent_at, now, allowed', [
    (4, 2000, 2010, True),
    (4, 2000, 2599, True),
    (4, 2000, 2600, False),
    (3, 2000, 2010, False),
])
def test_read_needs_lease_and_no_op(match, sent_at, now, allowed):
    """Guards against a stale read by a new or a former leader."""
    state = make_follower()
    elect(state)
    assert not replica.read_allowed(state, 2001)
    effects = acknowledge(state, 1, match, sent_at, 2005)
    assert replica.read_allowed(state, now) is allowed
    assert of_type(effects, message.LeaseExtended) == (
        [message.LeaseExtended(2600)] if match == 4 else [])


def test_leader_counts_its_log_only_when_stored():
    """Guards against committing an entry that the leader has not synced."""
    state = make_follower(members=MEMBERS[:1])
    effects = replica.REPLICA.process(state, replica.TICK, 2000)
    assert state.role == states.LEADER and state.commit_index == 0
    replica.REPLICA.process(state, of_type(effects, message.Stored)[0], 2000)
    assert state.commit_index == 4


def test_storage_failure_and_recovery():
    """Guards against acknowledging an entry that is not on the disk."""
    state = make_follower()
    elect(state)
    acknowledge(state, 1, 4, 2000, 2005)
    replica.REPLICA.process(state, message.Propose(7, b'x'), 2010)
    assert state.log.last_index == 5
    effects = replica.REPLICA.process(
        state, message.StorageFailed('full'), 2010)
    assert state.log.last_index == 4
    assert message.ProposalUnknown(7, '') in effects
    assert of_type(effects, message.LeadershipChanged) == [
        message.LeadershipChanged('', 3, False)]
    append = peer.AppendEntries(
        IDENTITIES[1], IDENTITIES[0], 'group', 4, 4, 3, (), 4, 1)
    assert receive(state, append, 2020) == []
    probe = replica.REPLICA.process(state, replica.TICK, 3100)
    assert [type(item) for item in probe] == [
        message.SaveVote, message.TruncateLog, message.Stored]
    replica.REPLICA.process(state, probe[-1], 3100)
    assert messages_sent(
        receive(state, append, 3110), peer.AppendReply)[0].success


@pytest.mark.parametrize('prepare, action, name, reason', [
    ('follower', 'add', 'control-3', 'not-leader'),
    ('elected', 'add', 'control-3', 'not-ready'),
    ('ready', 'add', 'control-3', 'not-heard'),
    ('ready', 'add', 'control-1', 'not-heard'),
    ('ready', 'remove', 'control-3', 'not-member'),
    ('changing', 'remove', 'control-2', 'change-in-progress'),
    ('ready', 'grow', 'control-3',
     "unknown membership action 'grow'; known: add, remove, replace"),
    ('ready', 'replace', 'control-2 control-3', 'not-heard'),
])
def test_membership_change_is_refused(prepare, action, name, reason):
    """Guards against concurrent changes and changes of unknown hosts."""
    state = make_follower()
    if prepare != 'follower':
        elect(state)
    if prepare in ('ready', 'changing'):
        acknowledge(state, 1, 4, 2000, 2005)
    if prepare == 'changing':
        replica.REPLICA.process(
            state, message.ChangeMembership(1, 'remove', 'control-1'), 2006)
    effects = replica.REPLICA.process(
        state, message.ChangeMembership(2, action, name), 2010)
    assert [item.reason for item in effects] == [reason]


@pytest.mark.parametrize('size', [0, 1, 600000])
def test_snapshot_travels_in_chunks(size):
    """Guards against chunks that are too large or wrongly assembled."""
    leader = make_follower()
    elect(leader)
    acknowledge(leader, 1, 4, 2000, 2005)
    data = bytes(number % 251 for number in range(size))
    replica.REPLICA.process(leader, message.SnapshotTaken(4, data), 2006)
    leader.log.base_index = 4
    leader.log.base_term = 3
    leader.log.entries = []
    joiner = replica.make_replica(
        IDENTITIES[2], SEEDS[2].address, SEEDS, False, random.Random(2), 0)
    effects = replica.REPLICA.process(leader, replica.TICK, 2200)
    restored = []
    for now in range(2201, 2230):
        for peer_message in [
                item.message for item in of_type(effects, effect.SendControl)
                if item.destination == SEEDS[2].address]:
            assert len(getattr(peer_message, 'chunk', b'')) <= 256 * 1024
            answers = receive(joiner, peer_message, now)
            restored += of_type(answers, message.SnapshotRestored)
            effects = [
                follow for item in of_type(answers, effect.SendControl)
                for follow in receive(leader, item.message, now)]
    assert restored == [message.SnapshotRestored(4, data)]
    assert joiner.group == 'group'


def test_log_rolls_back_one_batch():
    """Guards against a log that differs from the disk after a failure."""
    replica_log = log.Log(
        message.Snapshot('group', 0, 0, MEMBERS, b''),
        [entry(index, 1) for index in range(1, 6)])
    replica_log.set_savepoint()
    replica_log.truncate(4)
    replica_log.append([entry(4, 2), entry(5, 2)])
    replica_log.compact(message.Snapshot('group', 3, 1, MEMBERS, b's'))
    replica_log.roll_back()
    assert [item.term for item in replica_log.entries] == [1, 1, 1]
    assert replica_log.snapshot.index == 0


@pytest.mark.parametrize('item', [
    peer.RequestVote(IDENTITIES[0], 'group', 1, True, 2, 1),
    peer.VoteReply(IDENTITIES[0], 'group', 1, True, False),
    peer.AppendEntries(
        IDENTITIES[0], IDENTITIES[1], 'group', 1, 0, 0,
        (entry(1, 1, b'x'), message.LogEntry(
            2, 1, message.MEMBERSHIP, b'', MEMBERS)), 1, 5),
    peer.AppendReply(IDENTITIES[0], 'group', 1, True, 2, 0, 0, 5),
    peer.InstallSnapshot(
        IDENTITIES[0], IDENTITIES[1], 'group', 1, 2, 1, MEMBERS, 0, 1,
        b'x', 5),
    peer.SnapshotReply(IDENTITIES[0], 'group', 1, 2, 1, True, 5),
    peer.Hello(IDENTITIES[0], SEEDS[0].address, '', 0, True),
    peer.HelloReply(
        IDENTITIES[0], SEEDS[0].address, 'group', 1, True, MEMBERS),
], ids=lambda item: type(item).__name__)
def test_peer_messages_survive_the_codec(item):
    """Guards against a message whose annotations don't match its fields."""
    links = codec.Codec(peer.PEER_MESSAGES)
    assert links.decode(links.encode(item)).unwrap() == item


def test_replace_takes_out_one_host_and_adds_a_learner():
    """Guards against a replacement that is a voter before it has the log."""
    state = make_follower()
    elect(state)
    acknowledge(state, 1, 4, 2000, 2005)
    receive(state, peer.Hello(
        message.HostIdentity('control-3', 'new'),
        address.Address('127.0.0.4', 1), '', 0, False), 2006)
    replica.REPLICA.process(state, message.ChangeMembership(
        2, 'replace', 'control-2 control-3'), 2010)
    assert [(item.identity.name, item.voter)
            for item in state.log.members] == [
        ('control-0', True), ('control-1', True), ('control-3', False)]
