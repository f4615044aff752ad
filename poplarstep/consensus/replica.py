r"""Entry point of the replicated log: the stage ``REPLICA`` and its timer.

Explanation
===========

Importing this module registers all handlers of the stage. ``make_replica``
builds the state, and ``start`` returns the effects that restore the state
machine from what storage loaded.

See Also
========

poplarstep.consensus.message : inputs and outputs inside a host.
poplarstep.consensus.peer : messages between hosts.
"""

from poplarstep.consensus import automatic_membership
from poplarstep.consensus import bootstrap
from poplarstep.consensus import election
from poplarstep.consensus import follower  # noqa: F401
from poplarstep.consensus import handlers
from poplarstep.consensus import message
from poplarstep.consensus import persistence
from poplarstep.consensus import promotion
from poplarstep.consensus import replication
from poplarstep.consensus import replies  # noqa: F401
from poplarstep.consensus import roles
from poplarstep.consensus import snapshot  # noqa: F401
from poplarstep.consensus import state as states
from poplarstep.core import timer

TICK = timer.Tick('consensus')
TICK_MS = 50

REPLICA = handlers.REPLICA
make_replica = states.make_replica
read_allowed = states.read_allowed


def start(state: states.ReplicaState):
    r"""Return the effects that restore the state machine after a start.

    Entries that were known to be committed are applied before a leader is
    known, so that nodes that restart at the same time get the configuration
    without waiting for an election.
    """
    saved = state.log.snapshot
    effects = []
    if saved is not None and saved.index:
        effects.append(message.SnapshotRestored(saved.index, saved.state))
    return effects + roles.apply_committed(state, 0)


@handlers.handles(timer.Tick)
def tick(state: states.ReplicaState, ticked, now):
    r"""Run what is due: storage probe, ``Hello``, heartbeat or election."""
    if ticked != TICK:
        return [ticked]
    if not state.storage_ready:
        return persistence.probe_storage(state, now)
    effects = bootstrap.tick(state, now)
    if not state.group or state.observer:
        return effects
    if state.role == states.LEADER:
        effects.extend(replication.tick(state, now))
        return (
            effects + promotion.tick(state, now)
            + automatic_membership.tick(state, now))
    return effects + election.tick(state, now)
