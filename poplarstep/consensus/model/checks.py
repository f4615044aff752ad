r"""Safety properties that hold at all times in every schedule.

Explanation
===========

A check is a function that returns a description of the violation, or an
empty text. It is registered for the events that can violate its property:
effects of some types, deliveries of messages, or all events.
"""

from poplarstep.consensus import message
from poplarstep.consensus.model import disk
from poplarstep.consensus import peer
from poplarstep.consensus import state as states
from poplarstep.core import effect

# Checks are pairs of (name, function).
EFFECT_CHECKS_BY_TYPE = {}
EVENT_CHECKS = []
DELIVERY_CHECKS = []


class ViolationError(Exception):
    r"""A checked property does not hold."""

    def __init__(self, check, text, now):
        super().__init__('%s at %d ms: %s' % (check, now, text))
        self.check = check


class History:
    r"""What the checks record about one simulated run.

    Attributes
    ==========

    skipped : frozenset of str
        Names of the checks that are skipped.
    leader_by_term : dict
        Name of the leader of each term.
    entry_by_position : dict
        Log entries by (index, term), with the term of the previous entry.
    command_by_index : dict
        Committed commands.
    digest_by_index : dict
        Hash of the commands up to an index.
    acknowledged : int
        Highest index whose proposer was told that it is committed.
    outcome_by_key : dict
        Outcome of each proposal.
    disk_by_identity : dict
        Disk that a host had when its identity became a member.
    promotions : int
        Voters that were added after the group was formed.
    lease_changes : int
        How often the lease went to another host.
    last_lease_holder : str or None
        Name of the host that last held the lease.
    """

    __slots__ = (
        'skipped', 'leader_by_term', 'entry_by_position',
        'command_by_index', 'digest_by_index', 'acknowledged',
        'outcome_by_key', 'disk_by_identity', 'promotions', 'lease_changes',
        'last_lease_holder')

    def __init__(self, skipped=()):
        self.skipped = frozenset(skipped)
        self.leader_by_term = {}
        self.entry_by_position = {}
        self.command_by_index = {}
        self.digest_by_index = {0: 0}
        self.acknowledged = 0
        self.outcome_by_key = {}
        self.disk_by_identity = {}
        self.promotions = 0
        self.lease_changes = 0
        self.last_lease_holder = None


def on_effect(name, *effect_types):
    r"""Register a check ``(cluster, host, effect)`` after some effects."""
    def decorate(check):
        for effect_type in effect_types:
            EFFECT_CHECKS_BY_TYPE.setdefault(effect_type, []).append(
                (name, check))
        return check
    return decorate


def on_event(name):
    r"""Register a check ``(cluster)`` after every event."""
    def decorate(check):
        EVENT_CHECKS.append((name, check))
        return check
    return decorate


def on_delivery(name):
    r"""Register a check ``(cluster, host, delivery, before)``.

    ``before`` is what ``recorded_progress`` returned before the delivery.
    """
    def decorate(check):
        DELIVERY_CHECKS.append((name, check))
        return check
    return decorate


def _run(cluster, registered, *arguments):
    for name, check in registered:
        if name in cluster.history.skipped:
            continue
        text = check(cluster, *arguments)
        if text:
            raise ViolationError(name, text, cluster.now)


def after_effect(cluster, host, item):
    _run(cluster, EFFECT_CHECKS_BY_TYPE.get(type(item), ()), host, item)


def after_event(cluster):
    _run(cluster, EVENT_CHECKS)


def after_delivery(cluster, host, delivery, before):
    _run(cluster, DELIVERY_CHECKS, host, delivery, before)


def recorded_progress(host, received):
    r"""Return the vote and match index recorded for the sender of a reply.

    Returns
    =======

    tuple or None
        Term of the host, whether it holds a vote of the sender, and the match
        index of the sender; None if the message is neither a ``VoteReply``
        nor an ``AppendReply``.
    """
    if host.state is None or type(received) not in (
            peer.VoteReply, peer.AppendReply):
        return None
    progress = host.state.progress_by_identity.get(received.sender)
    return (
        host.state.term, received.sender in host.state.votes,
        progress.match_index if progress else 0)


@on_delivery('wiped-host-counted')
def check_wiped_identity(cluster, host, delivery, before):
    r"""No reply counts for an identity whose disk has been replaced."""
    after = recorded_progress(host, delivery.message)
    # Compares (vote, match index): the reply must have added to them.
    if after is None or before is None or after[0] != before[0] or (
            after[1:] <= before[1:]):
        return ''
    sender = delivery.message.sender
    known = cluster.history.disk_by_identity.get(sender, delivery.disk)
    if known == delivery.disk:
        return ''
    return '%s counts %s with %s instead of %s' % (
        host.name, sender.name, delivery.disk, known)


@on_effect('one-leader-per-term', message.LeadershipChanged)
def check_leader(cluster, host, item):
    if not item.is_self:
        return ''
    known = cluster.history.leader_by_term.setdefault(item.term, host.name)
    if known != host.name:
        return '%s and %s lead term %d' % (known, host.name, item.term)
    return ''


@on_effect('log-matching', message.AppendLog)
def check_log(cluster, host, item):
    r"""Entries of equal index and term have equal content and predecessors."""
    known = cluster.history.entry_by_position
    previous = disk.term_at(host.disk, item.entries[0].index - 1)
    for entry in item.entries:
        value = (previous, entry.kind, entry.payload, entry.members)
        previous = entry.term
        position = (entry.index, entry.term)
        held = known.setdefault(position, value)
        if held[1:] != value[1:] or (
                None not in (held[0], value[0]) and held[0] != value[0]):
            return 'entry %d of term %d differs on %s' % (
                position + (host.name,))
    return ''


@on_effect('applied-prefix', message.Committed)
def check_command(cluster, host, item):
    r"""All hosts apply the same commands, and none that was refused."""
    history = cluster.history
    known = history.command_by_index.setdefault(item.index, item.payload)
    if known != item.payload:
        return '%s applies %r at %d, another host %r' % (
            host.name, item.payload, item.index, known)
    key = int(item.payload.rpartition(b'-')[2])
    if history.outcome_by_key[key] == 'refused':
        return 'refused command %d is applied' % key
    digest = history.digest_by_index.setdefault(item.index, host.digest)
    if item.index == host.applied_index and digest != host.digest:
        return '%s applied other commands up to entry %d' % (
            host.name, item.index)
    return ''


@on_effect('applied-prefix', message.SnapshotRestored)
def check_restored(cluster, host, item):
    known = cluster.history.digest_by_index.get(item.index)
    if known != host.digest:
        return '%s restores another state at entry %d' % (
            host.name, item.index)
    return ''


@on_effect('acknowledged-on-quorum', message.Committed)
def check_quorum(cluster, host, item):
    r"""A command that is reported as committed is on a majority of disks."""
    if not item.key:
        return ''
    cluster.history.acknowledged = max(
        cluster.history.acknowledged, item.index)
    cluster.history.outcome_by_key[item.key] = 'committed'
    if not cluster.mechanisms.disk_identity:
        return ''
    disk_by_identity = {
        host.disk.identity: host.disk for host in cluster.hosts}
    voters = host.state.voters
    # A disk that was wiped since counts: it may have held the entry when it
    # was acknowledged.
    holding = [
        identity for identity in voters
        if identity.disk not in disk_by_identity
        or disk_by_identity[identity.disk].holds(item.index, item.term)]
    if 2 * len(holding) > len(voters):
        return ''
    return 'entry %d is on %d of %d voters' % (
        item.index, len(holding), len(voters))


@on_effect('reply-is-durable', effect.SendControl)
def check_reply(cluster, host, item):
    r"""A reply promises no vote or entry that is not synced."""
    reply = item.message
    if type(reply) is peer.VoteReply:
        if reply.granted and not reply.pre_vote and (
                host.disk.term != reply.term or not host.disk.voted_for):
            return '%s grants a vote that is not synced' % host.name
    if type(reply) is peer.AppendReply and reply.success and (
            reply.match_index > host.disk.last_index):
        return '%s acknowledges entry %d, its disk ends at %d' % (
            host.name, reply.match_index, host.disk.last_index)
    return ''


@on_effect('admission', message.SaveSnapshot, message.AppendLog)
def record_disks(cluster, host, item):
    r"""Record the disk of each new member, for ``check_wiped_identity``."""
    known = cluster.history.disk_by_identity
    for member in host.state.log.members:
        if member.identity not in known:
            known[member.identity] = (
                cluster.host_by_name[member.identity.name].disk.identity)
    return ''


@on_effect('promotion-is-complete', message.AppendLog)
def check_promotion(cluster, host, item):
    r"""A learner becomes a voter only when it holds all committed entries."""
    state = host.state
    if state.role != states.LEADER or len(state.log.memberships) < 2 or (
            item.entries[-1].kind != message.MEMBERSHIP):
        return ''
    former = {
        member.identity for member in state.log.memberships[-2][1]
        if member.voter}
    for identity in state.voters:
        if identity in former:
            continue
        cluster.history.promotions += 1
        held = cluster.host_by_name[identity.name].disk
        if held.identity == identity.disk and (
                held.last_index < state.commit_index):
            return '%s becomes a voter with %d of %d entries' % (
                identity.name, held.last_index, state.commit_index)
    return ''


@on_event('one-lease')
def check_lease(cluster):
    r"""At most one host may answer reads, and it has all that is committed."""
    holders = [
        host for host in cluster.live
        if states.read_allowed(host.state, host.clock(cluster.now))]
    if len(holders) > 1:
        return 'the lease is held by %s' % ' and '.join(
            '%s (term %d)' % (host.name, host.state.term)
            for host in holders)
    for host in holders:
        if host.state.commit_index < cluster.history.acknowledged:
            return '%s may answer reads but lacks entry %d' % (
                host.name, cluster.history.acknowledged)
        if host.name != cluster.history.last_lease_holder:
            cluster.history.last_lease_holder = host.name
            cluster.history.lease_changes += 1
    return ''


@on_event('acknowledged-entry-kept')
def check_kept(cluster):
    r"""A leader that has committed in its term holds all committed entries.

    Only the leader of the highest term is checked, because an older one may
    not know yet that it was replaced.
    """
    leaders = [
        host.state for host in cluster.live
        if states.has_committed_in_term(host.state)]
    if not leaders:
        return ''
    newest = max(leaders, key=lambda state: state.term)
    if newest.term < max(cluster.history.leader_by_term, default=0) or (
            newest.log.last_index >= cluster.history.acknowledged):
        return ''
    return '%s leads term %d without entry %d' % (
        newest.identity.name, newest.term, cluster.history.acknowledged)
