r"""Stage of the replica and the registries that its modules fill."""

from poplarstep.consensus import message
from poplarstep.consensus import peer
from poplarstep.core import effect
from poplarstep.core import stage

REPLICA = stage.Stage('replica')
# Handlers of messages from other control hosts, ``(state, received, now)``.
PEERS = stage.Stage('replica-peers')

# Messages that hosts exchange before they belong to the same group.
GROUPLESS = (peer.Hello, peer.HelloReply)
# Messages that name their receiver, so that a host with a wiped disk does
# not take those meant for its former identity.
ADDRESSED = (peer.AppendEntries, peer.InstallSnapshot)

INDEPENDENT = (message.ProposalRefused, message.ProposalUnknown)


def handles(*message_types):
    r"""Return a decorator that registers a handler of ``REPLICA``.

    Each call is one batch: it can be undone after a storage failure, and
    its storage effects come before everything that depends on them.
    """
    def decorate(handler):
        def run(state, received, now):
            state.mark()
            return in_storage_order(state, handler(state, received, now))
        REPLICA.handles(*message_types)(run)
        return handler
    return decorate


def in_storage_order(state, effects):
    r"""Return the effects with the storage effects first.

    Outcomes that depend on no storage come before them, so that a storage
    failure does not drop them. Only the last of several votes is kept; it
    replaces the others.
    """
    early = []
    storage = []
    vote = []
    rest = []
    for item in effects:
        if type(item) is message.SaveVote:
            vote = [item]
        elif type(item) in message.STORAGE_EFFECTS:
            storage.append(item)
        elif type(item) in INDEPENDENT:
            early.append(item)
        else:
            rest.append(item)
    if state.mechanisms.sync_first:
        return early + vote + storage + rest
    return early + rest + vote + storage


@handles(effect.Received)
def receive(state, received, now):
    r"""Hand a message of another control host to its handler."""
    kind = type(received.message)
    if kind not in PEERS.handler_by_type:
        return [received]
    if not state.storage_ready:
        return []
    if state.observer and kind not in GROUPLESS:
        # Meant for a member that had this address before.
        return []
    if not _belongs(state, received.message):
        state.counters.foreign_messages += 1
        return []
    return PEERS.handler_by_type[kind](state, received, now)


def _belongs(state, inner):
    r"""Return whether a message is for this group and this disk.

    A host without a group may be addressed by the leader that adds it.
    """
    kind = type(inner)
    if kind in GROUPLESS:
        return True
    if kind in ADDRESSED and inner.receiver != state.identity:
        return False
    return inner.group == state.group or (
        kind in ADDRESSED and not state.group)
