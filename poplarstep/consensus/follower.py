r"""Appends and commits of a follower."""

from poplarstep.consensus import handlers
from poplarstep.consensus import message
from poplarstep.consensus import peer
from poplarstep.consensus import roles
from poplarstep.consensus import state as states


@handlers.PEER_MESSAGES.handles(peer.AppendEntries)
def answer_append(state: states.ReplicaState, received, now):
    r"""Follow the leader, append the missing entries, and reply."""
    request = received.message
    if not state.group:
        # Conflict index 0 asks for a snapshot, which contains the group and
        # its membership.
        return _reply(state, received, False, 0, 0, 0)
    if request.term < state.term:
        return _reply(state, received, False, 0, 0, 1)
    effects = roles.become_follower(state, request.term, request.sender, now)
    states.record_leader_contact(state, now)
    conflict = find_conflict(state.log, request)
    if conflict is not None:
        return effects + _reply(state, received, False, 0, *conflict)
    effects.extend(store_entries(state, request))
    last = request.previous_index + len(request.entries)
    effects.extend(_reply(state, received, True, last, 0, 0))
    state.commit_index = max(
        state.commit_index, min(request.commit_index, last))
    return effects + roles.apply_committed(state, now)


def find_conflict(log, request):
    r"""Return ``(conflict_term, conflict_index)``, or None without conflict.

    There is a conflict when the log lacks the entry before the new ones or
    holds it with another term.
    """
    previous = request.previous_index
    if previous < log.base_index:
        # Entries up to the base index are committed, so they are equal.
        return None
    if previous > log.last_index:
        return 0, log.last_index + 1
    term = log.term_at(previous)
    if term == request.previous_term:
        return None
    return term, log.first_index_of_term_at(previous)


def store_entries(state: states.ReplicaState, request):
    r"""Append the new entries; remove held ones from the first conflict on."""
    log = state.log
    new = list(request.entries)
    while new and (
            new[0].index <= log.base_index
            or log.term_at(new[0].index) == new[0].term):
        del new[0]
    if not new:
        return []
    effects = []
    if new[0].index <= log.last_index:
        if new[0].index <= state.commit_index:
            raise RuntimeError(
                'leader %s of term %d would replace the committed entry %d'
                % (request.sender.name, request.term, new[0].index))
        log.truncate(new[0].index)
        effects.append(message.TruncateLog(new[0].index))
    log.append(new)
    return effects + [message.AppendLog(
        tuple(new), state.commit_index)]


def _reply(
        state: states.ReplicaState, received, success, match_index,
        conflict_term, conflict_index):
    request = received.message
    return states.send(received.source, peer.AppendReply(
        state.identity, request.group, state.term, success, match_index,
        conflict_term, conflict_index, request.sent_at))
