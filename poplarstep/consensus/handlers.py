r"""Stage of the replica, and checks on messages from other hosts.

Other modules register their handlers in the stages ``REPLICA`` (inputs of
this host) and ``PEER_MESSAGES`` (messages from other control hosts).
"""

from poplarstep.consensus import message
from poplarstep.consensus import peer
from poplarstep.core import effect
from poplarstep.core import stage

REPLICA = stage.Stage('replica')
# Handlers of messages from other control hosts, ``(state, received, now)``.
PEER_MESSAGES = stage.Stage('replica-peers')

# Messages that hosts accept from each other before they belong to one group.
DISCOVERY_MESSAGES = (peer.Hello, peer.HelloReply)
# Messages that name their receiver, so that a host whose disk was replaced
# ignores those for its former identity.
RECEIVER_MESSAGES = (peer.AppendEntries, peer.InstallSnapshot)

# Outputs that depend on no storage effect of their batch.
STORAGE_INDEPENDENT = (message.ProposalRefused, message.ProposalUnknown)


def handles(*message_types):
    r"""Return a decorator that registers a handler of ``REPLICA``.

    The effects of one call are one batch: they can be rolled back after a
    storage failure, and the storage effects precede all that depends on
    them.
    """
    def decorate(handler):
        def run(state, received, now):
            state.set_savepoint()
            return in_storage_order(state, handler(state, received, now))
        REPLICA.handles(*message_types)(run)
        return handler
    return decorate


def in_storage_order(state, effects):
    r"""Return the effects with the storage effects first.

    Only the outputs that depend on no storage effect precede them, so that
    a storage failure does not drop these outputs. Of several ``SaveVote``
    only the last is kept, because it replaces the others.
    """
    independent = []
    storage = []
    vote = []
    rest = []
    for item in effects:
        if type(item) is message.SaveVote:
            vote = [item]
        elif type(item) in message.STORAGE_EFFECTS:
            storage.append(item)
        elif type(item) in STORAGE_INDEPENDENT:
            independent.append(item)
        else:
            rest.append(item)
    if state.mechanisms.sync_first:
        return independent + vote + storage + rest
    return independent + rest + vote + storage


@handles(effect.Received)
def receive(state, received, now):
    r"""Pass a message to its handler in ``PEER_MESSAGES``."""
    message_type = type(received.message)
    if message_type not in PEER_MESSAGES.handler_by_type:
        return [received]
    if not state.storage_ready:
        return []
    if state.observer and message_type not in DISCOVERY_MESSAGES:
        # The message is for a member that had this address before.
        return []
    if not _is_for_this_host(state, received.message):
        state.counters.foreign_messages += 1
        return []
    return PEER_MESSAGES.handler_by_type[message_type](state, received, now)


def _is_for_this_host(state, peer_message):
    r"""Return whether a message is for this group and this disk identity.

    A host without a group accepts the appends and snapshots of the leader
    that adds it.
    """
    message_type = type(peer_message)
    if message_type in DISCOVERY_MESSAGES:
        return True
    if message_type in RECEIVER_MESSAGES and (
            peer_message.receiver != state.identity):
        return False
    return peer_message.group == state.group or (
        message_type in RECEIVER_MESSAGES and not state.group)
