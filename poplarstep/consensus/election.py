r"""Elections: election timeout, pre-vote and votes."""

from poplarstep.consensus import handlers
from poplarstep.consensus import message
from poplarstep.consensus import peer
from poplarstep.consensus import replication
from poplarstep.consensus import roles
from poplarstep.consensus import state as states


def tick(state: states.ReplicaState, now):
    r"""Start an election when the election timeout has passed."""
    if now < state.election_deadline:
        return []
    states.restart_election_timer(state, now)
    if not states.is_voter(state):
        # A host without a leader sends ``Hello``, so it can be added again.
        return states.set_leader(state, None)
    state.role = states.PRE_CANDIDATE
    effects = states.set_leader(state, None)
    if not state.mechanisms.pre_vote:
        return effects + start_election(state, now)
    state.votes = {state.identity}
    if states.is_quorum(state, state.votes):
        return effects + start_election(state, now)
    return effects + states.request_vote(
        state, state.term + 1, pre_vote=True)


def start_election(state: states.ReplicaState, now):
    r"""Start an election: become a candidate in the next term."""
    state.role = states.CANDIDATE
    state.counters.elections += 1
    state.term += 1
    state.voted_for = state.identity
    state.votes = {state.identity}
    effects = [message.SaveVote(state.term, state.voted_for)]
    if states.is_quorum(state, state.votes):
        return effects + replication.become_leader(state, now)
    return effects + states.request_vote(state, state.term, pre_vote=False)


def is_up_to_date(state: states.ReplicaState, request):
    r"""Return whether the candidate's log is up to date with the local one."""
    return (request.last_term, request.last_index) >= (
        state.log.last_term, state.log.last_index)


def has_live_leader(state: states.ReplicaState, now):
    r"""Return whether there is a live leader, so that votes are refused.

    A leader counts itself as live while a quorum follows it.
    """
    if state.role == states.LEADER:
        return now < roles.last_quorum_contact(
            state, now) + states.ELECTION_TIMEOUT_MINIMUM_MS
    return now < state.vote_after


@handlers.PEER_MESSAGES.handles(peer.RequestVote)
def answer_vote_request(state: states.ReplicaState, received, now):
    r"""Grant or refuse a vote or pre-vote.

    While there is a live leader, the term of the request is not adopted
    either: a host that is cut off from the leader must not depose it.
    """
    request = received.message
    effects = []
    granted = False
    if not has_live_leader(state, now) and request.term >= state.term:
        if request.pre_vote:
            granted = (
                request.term > state.term and is_up_to_date(state, request))
        else:
            effects, granted = _decide_vote(state, request, now)
    term = request.term if granted else state.term
    return effects + states.send(received.source, peer.VoteReply(
        state.identity, state.group, term, request.pre_vote, granted))


def _decide_vote(state: states.ReplicaState, request, now):
    effects = []
    if request.term > state.term:
        effects = roles.become_follower(state, request.term, None, now)
    granted = (
        state.voted_for in (None, request.sender)
        and is_up_to_date(state, request))
    if granted:
        state.role = states.FOLLOWER
        state.voted_for = request.sender
        states.restart_election_timer(state, now)
        effects.append(message.SaveVote(state.term, state.voted_for))
    return effects, granted


@handlers.PEER_MESSAGES.handles(peer.VoteReply)
def count_vote(state: states.ReplicaState, received, now):
    r"""Count a vote if its sender, by name and disk identity, is a voter."""
    reply = received.message
    if not reply.granted:
        if reply.term > state.term:
            return roles.become_follower(state, reply.term, None, now)
        return []
    if reply.sender not in state.voters:
        return []
    if reply.pre_vote:
        if state.role != states.PRE_CANDIDATE or (
                reply.term != state.term + 1):
            return []
    elif state.role != states.CANDIDATE or reply.term != state.term:
        return []
    state.votes.add(reply.sender)
    if not states.is_quorum(state, state.votes):
        return []
    if reply.pre_vote:
        return start_election(state, now)
    return replication.become_leader(state, now)
