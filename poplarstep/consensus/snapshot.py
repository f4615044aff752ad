r"""Snapshots: compaction of the log, and transfer in chunks."""

from poplarstep.consensus import handlers
from poplarstep.consensus import message
from poplarstep.consensus import peer
from poplarstep.consensus import roles
from poplarstep.consensus import state as states


class IncomingSnapshot:
    r"""Snapshot that is being received; ``total`` is its size in bytes."""

    __slots__ = ('index', 'term', 'total', 'data')

    def __init__(self, index, term, total):
        self.index = index
        self.term = term
        self.total = total
        self.data = bytearray()


@handlers.handles(message.SnapshotTaken)
def compact(state: states.ReplicaState, taken, now):
    r"""Save the state machine's state and drop the entries that it covers."""
    index = taken.index
    if not state.storage_ready or not (
            state.log.snapshot.index < index <= state.applied_index):
        return []
    snapshot = message.Snapshot(
        state.group, index, state.log.term_at(index),
        state.log.members_at(index), taken.state)
    state.log.compact(snapshot)
    return [message.SaveSnapshot(snapshot)]


def send_chunk(state: states.ReplicaState, member, progress, now):
    r"""Send the next chunk of the latest snapshot to a member.

    While the reply to the last chunk is missing, an empty chunk is sent; the
    reply to it names the offset at which to continue.
    """
    snapshot = state.log.snapshot
    if progress.snapshot_index != snapshot.index:
        progress.snapshot_index = snapshot.index
        progress.snapshot_offset = 0
    if progress.snapshot_offset == 0 and not progress.data_in_flight:
        state.counters.snapshots_sent += 1
    chunk = b''
    if not progress.data_in_flight:
        chunk = snapshot.state[
            progress.snapshot_offset:
            progress.snapshot_offset + peer.MAXIMUM_CHUNK_BYTES]
    if chunk:
        progress.count_sent(len(chunk))
        state.counters.snapshot_bytes_sent += len(chunk)
    progress.note_sent(not progress.data_in_flight, now)
    return states.send(member.address, peer.InstallSnapshot(
        state.identity, member.identity, state.group, state.term,
        snapshot.index, snapshot.term, snapshot.members,
        progress.snapshot_offset, len(snapshot.state), chunk, now))


@handlers.PEER_MESSAGES.handles(peer.InstallSnapshot)
def receive_chunk(state: states.ReplicaState, received, now):
    r"""Collect a chunk; install the snapshot when it is complete."""
    request = received.message
    if request.term < state.term:
        return _reply(state, received, 0, False)
    effects = roles.become_follower(
        state, request.term, request.sender, now)
    states.record_leader_contact(state, now)
    if state.group and request.index <= state.commit_index:
        return effects + _reply(state, received, request.total, True)
    incoming = _find_incoming(state, request)
    if request.offset == len(incoming.data):
        incoming.data.extend(request.chunk)
    if len(incoming.data) < incoming.total:
        return effects + _reply(
            state, received, len(incoming.data), False)
    return effects + _install(state, request) + _reply(
        state, received, request.total, True)


def _find_incoming(state: states.ReplicaState, request):
    current = state.incoming_snapshot
    if current is None or (
            current.index, current.term, current.total) != (
            request.index, request.snapshot_term, request.total):
        state.incoming_snapshot = IncomingSnapshot(
            request.index, request.snapshot_term, request.total)
    return state.incoming_snapshot


def _install(state: states.ReplicaState, request):
    snapshot = message.Snapshot(
        request.group, request.index, request.snapshot_term,
        request.members, bytes(state.incoming_snapshot.data))
    state.incoming_snapshot = None
    state.counters.snapshots_installed += 1
    effects = []
    if state.log.last_index > snapshot.index and (
            state.log.term_at(snapshot.index) != snapshot.term):
        # Conflicting entries are removed before the snapshot is saved; if
        # the host stops in between, they must not follow the snapshot.
        effects.append(message.TruncateLog(snapshot.index + 1))
    state.log.install(snapshot)
    state.commit_index = state.applied_index = snapshot.index
    effects.append(message.SaveSnapshot(snapshot))
    if snapshot.index:
        effects.append(
            message.SnapshotRestored(snapshot.index, snapshot.state))
    return effects


def _reply(state: states.ReplicaState, received, offset, done):
    request = received.message
    return states.send(received.source, peer.SnapshotReply(
        state.identity, request.group, state.term, request.index, offset,
        done, request.sent_at))
