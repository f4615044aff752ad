r"""Replication: leadership, appends, commits and the leader lease."""

from poplarstep.consensus import handlers
from poplarstep.consensus import message
from poplarstep.consensus import peer
from poplarstep.consensus import roles
from poplarstep.consensus import snapshot
from poplarstep.consensus import state as states

MAXIMUM_PAYLOAD_BYTES = 1024 * 1024
# A write is one record of the log file, which is limited to 16 MiB.
MAXIMUM_WRITE_BYTES = 4 * 1024 * 1024
# Bounds the memory of a leader that cannot commit; at 2,500 changes a day
# the usual number is below 10.
MAXIMUM_IN_FLIGHT = 4096


def become_leader(state, now):
    r"""Take over the term that was won; start it with a no-op."""
    state.role = states.LEADER
    state.counters.terms_led += 1
    state.leader_since = now
    state.heartbeat_due = now + states.HEARTBEAT_MS
    state.lease_until = 0
    state.stored_index = 0
    state.key_by_index = {}
    state.progress_by_identity = {
        member.identity: states.Progress(state.log.last_index + 1)
        for member in states.others(state)}
    effects = states.set_leader(state, state.identity)
    state.term_start_index = state.log.last_index + 1
    return effects + append(state, now, [
        (message.NO_OP, b'', (), 0)])


def append(state, now, items):
    r"""Append ``(kind, payload, members, key)`` items to the leader's log."""
    entries = []
    effects = []
    for kind, payload, members, key in items:
        entry = message.LogEntry(
            state.log.last_index + 1, state.term, kind, payload, members)
        state.log.append([entry])
        entries.append(entry)
        if key:
            state.key_by_index[entry.index] = key
            effects.append(message.Proposed(key, entry.index, entry.term))
    return [
        message.AppendLog(tuple(entries), state.commit_index),
        roles.stored_mark(state),
    ] + effects + send_to_idle(state, now)


@handlers.handles(message.Propose)
def propose(state, proposal, now):
    r"""Append a command, or refuse it."""
    return propose_batch(state, message.ProposeBatch((proposal,)), now)


@handlers.handles(message.ProposeBatch)
def propose_batch(state, batch, now):
    r"""Append several commands with one write; refuse what does not fit."""
    effects = []
    items = []
    size = 0
    for proposal in batch.proposals:
        size += len(proposal.payload)
        reason = refusal(state, proposal, len(items), size)
        if reason:
            effects.append(message.ProposalRefused(
                proposal.key, reason, states.leader_name(state)))
        else:
            items.append(
                (message.COMMAND, proposal.payload, (), proposal.key))
    return effects + (append(state, now, items) if items else [])


def refusal(state, proposal, accepted, size):
    r"""Return the reason to refuse a command, or an empty text."""
    if not state.storage_ready:
        return 'storage-failed'
    if state.role != states.LEADER:
        return 'not-leader'
    if len(proposal.payload) > MAXIMUM_PAYLOAD_BYTES:
        return 'too-large'
    if len(state.key_by_index) + accepted >= MAXIMUM_IN_FLIGHT or (
            size > MAXIMUM_WRITE_BYTES):
        return 'overloaded'
    return ''


def lead(state, now):
    r"""Step down without a quorum; otherwise send due heartbeats."""
    if now - roles.quorum_contact(state, now) > states.CHECK_QUORUM_MS:
        return roles.step_down(state, now)
    if now < state.heartbeat_due:
        return []
    state.heartbeat_due = now + states.HEARTBEAT_MS
    effects = extend_lease(state, now)
    for member in states.others(state):
        effects.extend(send_to(state, member, now))
    return effects


def send_to_idle(state, now):
    r"""Send to the members that have answered the previous message."""
    effects = []
    for member in states.others(state):
        progress = progress_of(state, member.identity)
        if not progress.waiting:
            effects.extend(send_to(state, member, now))
    return effects


def progress_of(state, identity):
    r"""Return the progress of a member, new if it has just been added."""
    progress = state.progress_by_identity.get(identity)
    if progress is None:
        progress = states.Progress(state.log.last_index + 1)
        state.progress_by_identity[identity] = progress
    return progress


def send_to(state, member, now):
    r"""Send the entries that a member lacks, or a snapshot chunk.

    While an answer is missing, only an empty message is sent, so that a
    host that is down or slow is not sent the same data repeatedly.
    """
    progress = progress_of(state, member.identity)
    progress.last_sent = now
    if progress.next_index <= state.log.base_index or (
            progress.snapshot_index >= 0):
        return snapshot.send_chunk(state, member, progress, now)
    previous = progress.next_index - 1
    entries = ()
    if not progress.waiting:
        entries = state.log.batch(progress.next_index)
        progress.waiting = bool(entries)
    return states.send(member.address, peer.AppendEntries(
        state.identity, member.identity, state.group, state.term, previous,
        state.log.term_at(previous), entries, state.commit_index, now))


@handlers.PEERS.handles(peer.AppendReply)
def count_append(state, received, now):
    r"""Advance or step back a member's progress."""
    reply = received.message
    progress = accept_answer(state, reply)
    if progress is None:
        return yield_to_higher_term(state, reply, now)
    latest = is_latest(progress, reply)
    if reply.success:
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(
            progress.next_index, progress.match_index + 1)
    elif latest:
        latest = step_back(state, progress, reply)
    effects = extend_lease(state, now) + advance_commit(state, now)
    if latest:
        effects.extend(continue_sending(state, reply.sender, now))
    return effects


@handlers.PEERS.handles(peer.SnapshotReply)
def count_chunk(state, received, now):
    r"""Send the next chunk, or entries after the snapshot is complete."""
    reply = received.message
    progress = accept_answer(state, reply)
    if progress is None:
        return yield_to_higher_term(state, reply, now)
    if progress.snapshot_index != reply.index:
        return []
    latest = is_latest(progress, reply)
    if reply.done:
        progress.snapshot_index = -1
        progress.offset = 0
        progress.match_index = max(progress.match_index, reply.index)
        progress.next_index = progress.match_index + 1
    elif latest:
        progress.offset = reply.offset
    effects = extend_lease(state, now) + advance_commit(state, now)
    if latest:
        effects.extend(continue_sending(state, reply.sender, now))
    return effects


def accept_answer(state, reply):
    r"""Return the sender's progress if the answer is for this term.

    A host without a group has term 0; its answer asks for a snapshot and
    says nothing about the lease.
    """
    progress = state.progress_by_identity.get(reply.sender)
    if state.role != states.LEADER or progress is None or (
            reply.term not in (state.term, 0)):
        return None
    if reply.term == state.term:
        progress.answered = max(progress.answered or 0, reply.sent_at)
    return progress


def yield_to_higher_term(state, reply, now):
    r"""Step down for a member in a higher term, which cannot follow."""
    if reply.term > state.term and (
            reply.sender in state.progress_by_identity):
        return roles.become_follower(state, reply.term, None, now)
    return []


def is_latest(progress, reply):
    r"""Return whether this is the first answer to the latest message."""
    if progress.last_sent is None or reply.sent_at < progress.last_sent:
        return False
    progress.last_sent = None
    progress.waiting = False
    return True


def step_back(state, progress, reply):
    r"""Find the entry to send next after a conflict, by term.

    Returns
    =======

    bool
        Whether there is something else to send than before.
    """
    former = (progress.next_index, progress.snapshot_index)
    hint = reply.conflict_index
    if reply.conflict_term:
        known = state.log.last_index_of_term(
            reply.conflict_term, reply.conflict_index)
        if known is not None:
            hint = known + 1
    if hint == 0:
        progress.snapshot_index = state.log.snapshot.index
        progress.offset = 0
    progress.next_index = max(
        progress.match_index + 1, min(hint, progress.next_index))
    return former != (progress.next_index, progress.snapshot_index)


def continue_sending(state, identity, now):
    r"""Send more if the member still lacks entries."""
    progress = state.progress_by_identity.get(identity)
    if progress is None or progress.waiting or (
            state.role != states.LEADER):
        return []
    behind = progress.next_index <= state.log.last_index
    if not behind and progress.snapshot_index < 0:
        return []
    effects = []
    for member in states.others(state):
        if member.identity == identity:
            effects.extend(send_to(state, member, now))
    return effects


def extend_lease(state, now):
    r"""Extend the lease from the send time that a quorum answered."""
    contact = states.reached_by_quorum(
        state, now, lambda progress: progress.answered)
    if contact is None:
        return []
    until = contact + states.lease_ms(state)
    if until <= state.lease_until:
        return []
    state.lease_until = until
    if not states.has_committed_in_term(state):
        return []
    return [message.LeaseExtended(until)]


def advance_commit(state, now):
    r"""Commit what a quorum holds, if it is of the present term."""
    index = states.reached_by_quorum(
        state, state.stored_index, lambda progress: progress.match_index)
    if index is None or index <= state.commit_index or (
            state.log.term_at(index) != state.term):
        return []
    first = not states.has_committed_in_term(state)
    state.commit_index = index
    effects = roles.apply_committed(state, now)
    if first and states.read_allowed(state, now):
        effects.append(message.LeaseExtended(state.lease_until))
    if state.role == states.LEADER:
        effects.extend(send_to_idle(state, now))
    return effects
