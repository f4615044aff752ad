r"""State of one replica, its factories, and questions about it."""

import random

from poplarstep.consensus import log
from poplarstep.consensus import message
from poplarstep.consensus import peer
from poplarstep.core import address
from poplarstep.core import effect
from poplarstep.core import record

HEARTBEAT_MS = 150
# A voter gives no vote within the minimum after it heard from a leader, and
# the lease ends before; the difference allows clocks that run 7% apart.
ELECTION_MINIMUM_MS = 700
ELECTION_MAXIMUM_MS = 1400
LEASE_MS = 600
# Used only when the mechanism ``short_lease`` is switched off in tests.
UNSAFE_LEASE_MS = 2000
# A leader that no quorum has answered for this long has been replaced.
CHECK_QUORUM_MS = ELECTION_MAXIMUM_MS
HELLO_MS = 500
STORAGE_PROBE_MS = 1000

FOLLOWER = 'follower'
PRE_CANDIDATE = 'pre-candidate'
CANDIDATE = 'candidate'
LEADER = 'leader'


class Seed(record.Record):
    r"""Configured name and address of a control host."""

    __slots__ = ('name', 'address')

    def __init__(self, name: str, address: address.Address):
        self.name = name
        self.address = address


class Mechanisms(record.Record):
    r"""Switches of the safety mechanisms; tests turn one off at a time.

    Explanation
    ===========

    A test that switches a mechanism off shows that the checks notice its
    absence. Daemons run with all of them on.
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


class Progress:
    r"""What the leader knows about the log of one other member.

    Parameters
    ==========

    match_index, next_index : int
        End of the log known to be equal and synced; next entry to send.
    answered : int
        Send time in ms of the latest message that was answered.
    last_sent : int or None
        Send time of the latest message, None once it has been answered.
        Answers to earlier ones cause no further message, so that copies
        of an answer do not multiply.
    waiting : bool
        Entries or a chunk are on the way and not answered.
    offset : int
        Next offset of the snapshot to send.
    snapshot_index : int
        Index of the snapshot that is being sent, or -1.
    """

    __slots__ = (
        'match_index', 'next_index', 'answered', 'last_sent', 'waiting',
        'offset', 'snapshot_index')

    def __init__(self, next_index):
        self.match_index = 0
        self.next_index = next_index
        self.answered = None
        self.last_sent = None
        self.waiting = False
        self.offset = 0
        self.snapshot_index = -1


class Applicant(record.Record):
    r"""Host that said ``Hello``; ``heard_at`` in ms."""

    __slots__ = (
        'identity', 'address', 'group', 'bootstrap', 'heard_at', 'observer')

    def __init__(
            self, identity: message.HostIdentity, address: address.Address,
            group: str, bootstrap: bool, heard_at: int,
            observer: bool = False):
        self.observer = observer
        self.identity = identity
        self.address = address
        self.group = group
        self.bootstrap = bootstrap
        self.heard_at = heard_at


class Counters:
    r"""Counts for metrics, read at scrape time."""

    __slots__ = (
        'elections', 'terms_led', 'foreign_messages', 'storage_failures',
        'snapshots_sent', 'snapshots_installed')

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)


class ReplicaState:
    r"""State that the stage ``REPLICA`` owns; build it with a factory."""

    __slots__ = (
        'identity', 'inbox', 'seeds', 'bootstrap', 'random', 'mechanisms',
        'counters', 'log', 'term', 'voted_for', 'role', 'leader',
        'announced', 'election_deadline', 'vote_after', 'votes',
        'commit_index', 'applied_index', 'term_start_index', 'leader_since',
        'stored_index', 'progress_by_identity', 'heartbeat_due',
        'lease_until', 'key_by_index', 'applicant_by_name', 'hello_due',
        'group_exists', 'incoming', 'storage_ready', 'probe_due', 'marked',
        'learned_inboxes', 'automatic_membership', 'upkeep_due',
        'observer', 'appointed', 'observer_hello_due')

    @property
    def group(self):
        r"""Identity of the group, empty before this host belongs to one."""
        return self.log.snapshot.group if self.log.snapshot else ''

    @property
    def voters(self):
        r"""Identities of the voters of the latest membership."""
        return tuple(
            member.identity for member in self.log.members if member.voter)

    def mark(self):
        r"""Start a batch of effects that a storage failure can undo."""
        self.log.mark()
        self.marked = (self.commit_index, self.applied_index)

    def roll_back(self):
        r"""Undo the last batch as far as it may not be on disk."""
        self.log.roll_back()
        self.commit_index, self.applied_index = self.marked


def make_replica(
        identity, inbox, seeds, bootstrap, generator, now, term=0,
        voted_for=None, snapshot=None, entries=(), mechanisms=None,
        kept_entries=log.KEPT_ENTRIES, automatic_membership=False,
        commit_index=0, observer=False):
    r"""Return the state of a replica, fresh or from what storage loaded.

    Parameters
    ==========

    identity : HostIdentity
        Name of the host and disk identity of its data folder.
    inbox : Address
        Where this host receives control messages.
    seeds : tuple of Seed
        All configured control hosts, this one included; the first one
        founds the group when all were started with ``bootstrap``.
    bootstrap : bool
        Whether this host may take part in forming a new group.
    generator : random.Random
        Source of election timeouts and of the group identity.
    now : int
        Milliseconds of the node's clock. No vote is given during the first
        700 ms, because a vote or heartbeat of the previous run may count.
    term, voted_for, snapshot, entries, commit_index
        What storage loaded; the defaults are those of an empty folder.
    automatic_membership : bool
        The leader adds hosts that ask to join and removes lost ones; no
        operator is needed.
    observer : bool
        The host has no disk: it knows the members and is never one.
    """
    state = ReplicaState()
    state.observer = observer
    state.mechanisms = mechanisms or Mechanisms()
    state.identity = identity if state.mechanisms.disk_identity else (
        message.HostIdentity(identity.name, ''))
    state.inbox = inbox
    state.seeds = tuple(seeds)
    state.bootstrap = bootstrap
    state.random = generator
    state.counters = Counters()
    state.log = log.Log(snapshot, entries, kept_entries)
    state.term = term
    state.voted_for = voted_for
    state.applied_index = state.log.base_index
    state.commit_index = max(
        state.log.base_index, min(commit_index, state.log.last_index))
    state.vote_after = now + ELECTION_MINIMUM_MS
    state.hello_due = state.probe_due = state.upkeep_due = now
    state.observer_hello_due = now
    state.automatic_membership = automatic_membership
    _set_defaults(state)
    restart_election_timer(state, now)
    state.mark()
    return state


def _set_defaults(state):
    state.applicant_by_name = {}
    state.learned_inboxes = ()
    state.group_exists = False
    state.appointed = None
    state.incoming = None
    state.storage_ready = True
    state.announced = ('', 0, False)
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


def make_random(seed=None):
    r"""Return a generator, from system entropy by default."""
    return random.Random(seed)


def restart_election_timer(state, now):
    r"""Draw the time at which the next election starts."""
    state.election_deadline = now + state.random.randint(
        ELECTION_MINIMUM_MS, ELECTION_MAXIMUM_MS)


def hear_leader(state, now):
    r"""Refuse votes for a while: the sender is a live leader."""
    state.vote_after = max(state.vote_after, now + ELECTION_MINIMUM_MS)
    restart_election_timer(state, now)


def is_voter(state):
    r"""Return whether this host is a voter of the latest membership."""
    return state.identity in state.voters


def is_quorum(state, identities):
    r"""Return whether the identities hold a majority of the voters."""
    voters = state.voters
    return 2 * len(set(identities) & set(voters)) > len(voters)


def reached_by_quorum(state, own, value_of):
    r"""Return the greatest value that a majority of the voters reached.

    Returns
    =======

    int or None
        None when less than a majority has a value.
    """
    values = []
    for identity in state.voters:
        if identity == state.identity:
            value = own
        else:
            progress = state.progress_by_identity.get(identity)
            value = value_of(progress) if progress else None
        if value is not None:
            values.append(value)
    values.sort(reverse=True)
    needed = len(state.voters) // 2
    return values[needed] if len(values) > needed else None


def lease_ms(state):
    r"""Return the length of the leader lease in ms."""
    return LEASE_MS if state.mechanisms.short_lease else UNSAFE_LEASE_MS


def has_committed_in_term(state):
    r"""Return whether the leader committed the first entry of its term."""
    return (
        state.role == LEADER
        and state.commit_index >= state.term_start_index > 0)


def read_allowed(state, now):
    r"""Return whether a read of the applied state is current.

    True only under the leader lease and after the leader has committed
    the no-op of its term.
    """
    return has_committed_in_term(state) and now < state.lease_until


def leader_name(state):
    r"""Return the name of the leader, empty if unknown."""
    return state.leader.name if state.leader else ''


def set_leader(state, identity):
    r"""Record who leads; return ``LeadershipChanged`` if that is new."""
    state.leader = identity
    is_self = state.role == LEADER
    announced = (leader_name(state), state.term, is_self)
    known = state.announced
    if announced == known or (
            known is not None and not announced[0] and not known[0]):
        return []
    state.announced = announced
    return [
        message.LeadershipChanged(*announced),
        effect.LogChange('leader-changed', (
            ('leader', announced[0]), ('term', state.term))),
    ]


def send(destination, *messages):
    r"""Return effects that send messages to the inbox of another host."""
    return [effect.SendControl(destination, item) for item in messages]


def others(state):
    r"""Return the members of the latest membership but this host."""
    return [
        member for member in state.log.members
        if member.identity != state.identity]


def request_vote(state, term, pre_vote):
    r"""Return the effects that ask the other voters for their vote."""
    request = peer.RequestVote(
        state.identity, state.group, term, pre_vote, state.log.last_index,
        state.log.last_term)
    return [
        effect.SendControl(member.address, request)
        for member in others(state) if member.voter]
