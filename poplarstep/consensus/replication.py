r"""Leader: proposals, replication, commits and the leader lease."""

from poplarstep.consensus import handlers
from poplarstep.consensus import message
from poplarstep.consensus import peer
from poplarstep.consensus import progress as progresses
from poplarstep.consensus import roles
from poplarstep.consensus import snapshot
from poplarstep.consensus import state as states

# Payload of one command.
MAXIMUM_PAYLOAD_BYTES = 1024 * 1024
# Payloads of one batch. A batch is written as one record of the log file,
# and a record is limited to 16 MiB.
MAXIMUM_WRITE_BYTES = 4 * 1024 * 1024
# Uncommitted proposals and their payloads. They bound the memory and the log
# of a leader that cannot commit; at 2,500 changes a day fewer than 10 are in
# flight.
MAXIMUM_PROPOSALS_IN_FLIGHT = 4096
MAXIMUM_BYTES_IN_FLIGHT = 16 * 1024 * 1024


def become_leader(state: states.ReplicaState, now):
    r"""Become leader of the current term; append its no-op."""
    state.role = states.LEADER
    state.counters.terms_led += 1
    state.leader_since = now
    state.heartbeat_due = now + states.HEARTBEAT_MS
    state.lease_until = 0
    state.stored_index = 0
    state.key_by_index = {}
    state.progress_by_identity = {
        member.identity: progresses.Progress(
            state.log.last_index + 1, now)
        for member in states.other_members(state)}
    effects = states.set_leader(state, state.identity)
    state.term_start_index = state.log.last_index + 1
    return effects + append(state, now, [
        (message.NO_OP, b'', (), 0)])


def append(state: states.ReplicaState, now, items):
    r"""Append ``(kind, payload, members, key)`` items to the leader's log.

    Nothing is reported about an item with key 0.
    """
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
        roles.stored_effect(state),
    ] + effects + send_to_idle(state, now)


@handlers.handles(message.Propose)
def propose(state: states.ReplicaState, proposal, now):
    r"""Append a command, or refuse it."""
    return propose_batch(state, message.ProposeBatch((proposal,)), now)


@handlers.handles(message.ProposeBatch)
def propose_batch(state: states.ReplicaState, batch, now):
    r"""Append the commands of a batch with one write, except refused ones."""
    effects = []
    items = []
    size = 0
    in_flight = state.log.payload_bytes(state.commit_index + 1)
    for proposal in batch.proposals:
        size += len(proposal.payload)
        reason = proposal_refusal_reason(
            state, proposal, len(items), size, in_flight)
        if reason:
            effects.append(message.ProposalRefused(
                proposal.key, reason, states.leader_name(state)))
        else:
            items.append(
                (message.COMMAND, proposal.payload, (), proposal.key))
    return effects + (append(state, now, items) if items else [])


def proposal_refusal_reason(
        state: states.ReplicaState, proposal, accepted, size, in_flight):
    r"""Return the reason to refuse a command, or an empty text.

    Parameters
    ==========

    accepted : int
        Commands of the same batch that have been accepted.
    size : int
        Payload bytes of the batch up to and including this command.
    in_flight : int
        Payload bytes of the uncommitted entries before the batch.
    """
    if not state.storage_ready:
        return 'storage-failed'
    if state.role != states.LEADER:
        return 'not-leader'
    if len(proposal.payload) > MAXIMUM_PAYLOAD_BYTES:
        return 'too-large'
    if len(state.key_by_index) + accepted >= MAXIMUM_PROPOSALS_IN_FLIGHT:
        return 'overloaded'
    if size > MAXIMUM_WRITE_BYTES or (
            in_flight + size > MAXIMUM_BYTES_IN_FLIGHT):
        return 'overloaded'
    return ''


def tick(state: states.ReplicaState, now):
    r"""Step down if no quorum replies; otherwise send due heartbeats."""
    if now - roles.last_quorum_contact(state, now) > states.QUORUM_TIMEOUT_MS:
        return roles.step_down(state, now)
    if now < state.heartbeat_due:
        return []
    state.heartbeat_due = now + states.HEARTBEAT_MS
    effects = extend_lease(state, now)
    for member in states.other_members(state):
        effects.extend(send_to(state, member, now))
    return effects + progresses.report_learners(state, now)


def send_to_idle(state: states.ReplicaState, now):
    r"""Send to the members that have no data in flight."""
    effects = []
    for member in states.other_members(state):
        progress = progress_of(state, member.identity, now)
        if not progress.data_in_flight:
            effects.extend(send_to(state, member, now))
    return effects


def progress_of(state: states.ReplicaState, identity, now):
    r"""Return the progress of a member; create it for a new member."""
    progress = state.progress_by_identity.get(identity)
    if progress is None:
        progress = progresses.Progress(state.log.last_index + 1, now)
        state.progress_by_identity[identity] = progress
    return progress


def send_to(state: states.ReplicaState, member, now):
    r"""Send the entries that a member lacks, or a snapshot chunk.

    While the reply to earlier data is missing, an empty message is sent, so
    that a host that is down or slow does not get the same data repeatedly.
    """
    progress = progress_of(state, member.identity, now)
    if progress.next_index <= state.log.base_index or (
            progress.snapshot_index >= 0):
        return snapshot.send_chunk(state, member, progress, now)
    previous = progress.next_index - 1
    entries = ()
    if not progress.data_in_flight:
        entries = state.log.batch(progress.next_index)
    progress.note_sent(bool(entries), now)
    if entries:
        count_entries(state, progress, entries)
    return states.send(member.address, peer.AppendEntries(
        state.identity, member.identity, state.group, state.term, previous,
        state.log.term_at(previous), entries, state.commit_index, now))


def count_entries(state: states.ReplicaState, progress, entries):
    r"""Count entries that are sent to a member."""
    size = sum(len(entry.payload) for entry in entries)
    progress.count_sent(size)
    state.counters.entries_sent += len(entries)
    state.counters.entry_bytes_sent += size


def extend_lease(state: states.ReplicaState, now):
    r"""Extend the lease, counted from the send time of messages.

    The start is the latest send time up to which a quorum has replied.
    """
    contact = states.quorum_value(
        state, now, lambda progress: progress.acknowledged_send_time)
    if contact is None:
        return []
    until = contact + states.lease_ms(state)
    if until <= state.lease_until:
        return []
    state.lease_until = until
    if not states.has_committed_in_term(state):
        return []
    return [message.LeaseExtended(until)]


def advance_commit(state: states.ReplicaState, now):
    r"""Commit what a quorum has synced, if it is of the current term.

    Nothing is committed during a pause for a learner.
    """
    if state.commit_pause.holds(now):
        return []
    index = states.quorum_value(
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
