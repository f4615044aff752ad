"""Replicated log of the control hosts, after the Raft algorithm.

It covers elections with pre-vote, replication, a leader lease for reads,
snapshots, and changes of the membership. The modules decide only: they take
messages and return effects, which ``poplarstep.edge`` carries out.
"""

__all__ = [
    'bootstrap',
    'election',
    'follower',
    'handlers',
    'log',
    'membership',
    'message',
    'model',
    'peer',
    'persistence',
    'replica',
    'replication',
    'roles',
    'schedules',
    'snapshot',
    'state',
]
