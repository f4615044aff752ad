r"""State of one replica, its factory, and functions that read it."""

import random

from poplarstep.consensus import commit_pause
from poplarstep.consensus import counters
from poplarstep.consensus import log
from poplarstep.consensus import message
from poplarstep.consensus import peer
from poplarstep.core import address
from poplarstep.core import effect
from poplarstep.core import record

HEARTBEAT_MS = 150
# A voter grants no vote within the minimum election timeout after a message
# from a leader. The lease is shorter, so that it has ended before another
# leader can be elected; the margin allows for clocks whose rates differ by
# up to 7%.
ELECTION_TIMEOUT_MINIMUM_MS = 700
ELECTION_TIMEOUT_MAXIMUM_MS = 1400
LEASE_MS = 600
# Used only in tests, when the mechanism ``short_lease`` is off.
UNSAFE_LEASE_MS = 2000
# A leader without replies from a quorum for this long steps down, because
# the others may have elected another leader.
QUORUM_TIMEOUT_MS = ELECTION_TIMEOUT_MAXIMUM_MS
HELLO_INTERVAL_MS = 500
STORAGE_PROBE_INTERVAL_MS = 1000

FOLLOWER = 'follower'
PRE_CANDIDATE = 'pre-candidate'
CANDIDATE = 'candidate'
LEADER = 'leader'


class Seed(record.Record):
    r"""Configured name and control address of a control host."""

    __slots__ = ('name', 'address')

    def __init__(self, name: str, address: address.Address):
        self.name = name
        self.address = address


class Mechanisms(record.Record):
    r"""Switches of the safety mechanisms; tests turn one off at a time.

    Explanation
    ===========

    A test that switches a mechanism off shows that the checks of the
    simulation detect its absence. Daemons run with all of them on.

    Parameters
    ==========

    pre_vote : bool
        A host asks whether it would win an election before it starts a new
        term.
    sync_first : bool
        Storage effects are synced before any message that depends on them
        is sent.
    disk_identity : bool
        A host is identified by name and disk, not by name alone.
    short_lease : bool
        The leader lease is shorter than the minimum election timeout.
    learner_catch_up : bool
        A new host is a learner until it holds the log.
    """

    __slots__ = (
        'pre_vote', 'sync_first', 'disk_identity', 'short_lease',
        'learner_catch_up')

    def __init__(
            self, pre_vote: bool = True, sync_first: bool = True,
            disk_identity: bool = True, short_lease: bool = True,
            learner_catch_up: bool = True):
        self.pre_vote = pre_vote
        self.sync_first = sync_first
        self.disk_identity = disk_identity
        self.short_lease = short_lease
        self.learner_catch_up = learner_catch_up


class DiscoveredHost(record.Record):
    r"""Host that sent ``Hello`` or ``HelloReply``; ``last_seen`` in ms."""

    __slots__ = (
        'identity', 'address', 'group', 'bootstrap', 'last_seen', 'observer')

    def __init__(
            self, identity: message.HostIdentity, address: address.Address,
            group: str, bootstrap: bool, last_seen: int,
            observer: bool = False):
        self.observer = observer
        self.identity = identity
        self.address = address
        self.group = group
        self.bootstrap = bootstrap
        self.last_seen = last_seen


class ReplicaState:
    r"""State that the stage ``REPLICA`` owns; built by ``make_replica``.

    Attributes
    ==========

    All times are in ms of the node's clock.

    reported_leadership : (leader, term, is_self) or None
        Content of the last ``LeadershipChanged``.
    vote_after : int
        Time before which this host grants no vote.
    term_start_index : int
        Index of the no-op that the leader appended at the start of its
        term, 0 when this host does not lead.
    stored_index : int
        Index of the last synced entry of the leader's own log.
    lease_until : int
        End of the leader lease, 0 when this host does not lead.
    key_by_index : dict
        Keys of the uncommitted proposals of this leader, by entry index.
    progress_by_identity : dict
        ``Progress`` of the other members; empty when this host does not
        lead.
    discovered_by_name : dict
        Hosts that sent ``Hello`` or ``HelloReply``, by host name.
    commit_pause : CommitPause
        Pause of this leader's commits for a learner.
    learned_addresses : tuple of Address
        Addresses of members that other hosts named in ``HelloReply``.
    group_exists : bool
        Some host has reported a group, so this host forms none.
    bootstrap_host : HostIdentity or None
        Host that an observer chose to form the group.
    incoming_snapshot : IncomingSnapshot or None
        Snapshot that is being received.
    storage_ready : bool
        False from a storage failure until a probe has been stored.
    probe_due : int
        Time of the next storage probe while storage is not ready.
    savepoint : (commit_index, applied_index)
        Values that ``roll_back`` restores.
    """

    __slots__ = (
        'identity', 'address', 'seeds', 'bootstrap', 'random', 'mechanisms',
        'counters', 'log', 'term', 'voted_for', 'role', 'leader',
        'reported_leadership', 'election_deadline', 'vote_after', 'votes',
        'commit_index', 'applied_index', 'term_start_index', 'leader_since',
        'stored_index', 'progress_by_identity', 'heartbeat_due',
        'lease_until', 'key_by_index', 'discovered_by_name', 'hello_due',
        'group_exists', 'incoming_snapshot', 'storage_ready', 'probe_due',
        'savepoint', 'learned_addresses', 'automatic_membership',
        'membership_check_due', 'observer', 'bootstrap_host',
        'observer_hello_due', 'commit_pause')

    @property
    def group(self):
        r"""Identity of the group, empty until this host belongs to one."""
        return self.log.snapshot.group if self.log.snapshot else ''

    @property
    def voters(self):
        r"""Identities of the voters of the latest membership."""
        return tuple(
            member.identity for member in self.log.members if member.voter)

    def set_savepoint(self):
        r"""Set the savepoint to which ``roll_back`` returns."""
        self.log.set_savepoint()
        self.savepoint = (self.commit_index, self.applied_index)

    def roll_back(self):
        r"""Undo what the last batch of effects may not have stored."""
        self.log.roll_back()
        self.commit_index, self.applied_index = self.savepoint


def make_replica(
        identity, address, seeds, bootstrap, generator, now, term=0,
        voted_for=None, snapshot=None, entries=(), mechanisms=None,
        kept_entries=log.KEPT_ENTRIES, automatic_membership=False,
        commit_index=0, observer=False):
    r"""Return the state of a replica, new or from what storage loaded.

    Parameters
    ==========

    identity : HostIdentity
        Name of the host and disk identity of its data folder.
    address : Address
        Address at which this host receives control messages.
    seeds : tuple of Seed
        All configured control hosts, this one included; the first one
        forms the group when all were started with ``bootstrap``.
    bootstrap : bool
        Whether this host may take part in forming a new group.
    generator : random.Random
        Source of election timeouts and of the group identity.
    now : int
        Milliseconds of the node's clock. This host grants no vote during
        the first ``ELECTION_TIMEOUT_MINIMUM_MS``, because a leader may still
        rely on a vote or a heartbeat reply that it sent before the restart.
    term, voted_for, snapshot, entries, commit_index
        What storage loaded; the defaults are those of an empty folder.
    automatic_membership : bool
        The leader adds hosts that send ``Hello`` and removes silent members
        without an operator.
    observer : bool
        The host has no disk: it tracks the addresses of the members and
        never becomes a member.
    """
    state = ReplicaState()
    state.observer = observer
    state.mechanisms = mechanisms or Mechanisms()
    state.identity = identity if state.mechanisms.disk_identity else (
        message.HostIdentity(identity.name, ''))
    state.address = address
    state.seeds = tuple(seeds)
    state.bootstrap = bootstrap
    state.random = generator
    state.counters = counters.Counters()
    state.log = log.Log(snapshot, entries, kept_entries)
    state.term = term
    state.voted_for = voted_for
    state.applied_index = state.log.base_index
    state.commit_index = max(
        state.log.base_index, min(commit_index, state.log.last_index))
    state.vote_after = now + ELECTION_TIMEOUT_MINIMUM_MS
    state.hello_due = state.probe_due = state.membership_check_due = now
    state.observer_hello_due = now
    state.automatic_membership = automatic_membership
    _set_defaults(state)
    restart_election_timer(state, now)
    state.set_savepoint()
    return state


def _set_defaults(state: 'ReplicaState'):
    state.discovered_by_name = {}
    state.learned_addresses = ()
    state.group_exists = False
    state.bootstrap_host = None
    state.incoming_snapshot = None
    state.storage_ready = True
    state.reported_leadership = ('', 0, False)
    state.role = FOLLOWER
    state.leader = None
    state.votes = set()
    state.term_start_index = 0
    state.leader_since = 0
    state.stored_index = 0
    state.progress_by_identity = {}
    state.heartbeat_due = 0
    state.lease_until = 0
    state.key_by_index = {}
    state.commit_pause = commit_pause.CommitPause()


def make_random(seed=None):
    r"""Return a random generator, seeded by the system by default."""
    return random.Random(seed)


def restart_election_timer(state: 'ReplicaState', now):
    r"""Set a random time at which the next election starts."""
    state.election_deadline = now + state.random.randint(
        ELECTION_TIMEOUT_MINIMUM_MS, ELECTION_TIMEOUT_MAXIMUM_MS)


def record_leader_contact(state: 'ReplicaState', now):
    r"""Record a message from a live leader: refuse votes for a while."""
    state.vote_after = max(state.vote_after, now + ELECTION_TIMEOUT_MINIMUM_MS)
    restart_election_timer(state, now)


def is_voter(state: 'ReplicaState'):
    r"""Return whether this host is a voter of the latest membership."""
    return state.identity in state.voters


def is_quorum(state: 'ReplicaState', identities):
    r"""Return whether the identities include a majority of the voters."""
    voters = state.voters
    return 2 * len(set(identities) & set(voters)) > len(voters)


def quorum_value(state: 'ReplicaState', own_value, value_of):
    r"""Return the greatest value that a majority of the voters reached.

    Parameters
    ==========

    own_value : int
        Value of this host.
    value_of : function
        Returns the value of another voter from its ``Progress``, or None.

    Returns
    =======

    int or None
        None when less than a majority has a value.
    """
    values = []
    for identity in state.voters:
        if identity == state.identity:
            value = own_value
        else:
            progress = state.progress_by_identity.get(identity)
            value = value_of(progress) if progress else None
        if value is not None:
            values.append(value)
    values.sort(reverse=True)
    needed = len(state.voters) // 2
    return values[needed] if len(values) > needed else None


def lease_ms(state: 'ReplicaState'):
    r"""Return the length of the leader lease in ms."""
    return LEASE_MS if state.mechanisms.short_lease else UNSAFE_LEASE_MS


def has_committed_in_term(state: 'ReplicaState'):
    r"""Return whether the leader committed the first entry of its term."""
    return (
        state.role == LEADER
        and state.commit_index >= state.term_start_index > 0)


def read_allowed(state: 'ReplicaState', now):
    r"""Return whether this host may answer reads from its applied state.

    True only on a leader that holds the lease and has committed the no-op
    of its term.
    """
    return has_committed_in_term(state) and now < state.lease_until


def leader_name(state: 'ReplicaState'):
    r"""Return the name of the leader, empty if unknown."""
    return state.leader.name if state.leader else ''


def set_leader(state: 'ReplicaState', identity):
    r"""Record the leader; return ``LeadershipChanged`` if it is another."""
    state.leader = identity
    is_self = state.role == LEADER
    leadership = (leader_name(state), state.term, is_self)
    reported = state.reported_leadership
    if leadership == reported or (
            reported is not None and not leadership[0] and not reported[0]):
        return []
    state.reported_leadership = leadership
    return [
        message.LeadershipChanged(*leadership),
        effect.LogEvent('leader-changed', (
            ('leader', leadership[0]), ('term', state.term))),
    ]


def send(destination, *messages):
    r"""Return effects that send messages to another control host."""
    return [effect.SendControl(destination, item) for item in messages]


def other_members(state: 'ReplicaState'):
    r"""Return the members of the latest membership except this host."""
    return [
        member for member in state.log.members
        if member.identity != state.identity]


def request_vote(state: 'ReplicaState', term, pre_vote):
    r"""Return the effects that ask the other voters for their vote."""
    request = peer.RequestVote(
        state.identity, state.group, term, pre_vote, state.log.last_index,
        state.log.last_term)
    return [
        effect.SendControl(member.address, request)
        for member in other_members(state) if member.voter]
