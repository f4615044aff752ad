"""Replicated log: elections, replication, snapshots and membership."""

__all__ = [
    'bootstrap',
    'election',
    'handlers',
    'log',
    'membership',
    'message',
    'peer',
    'replica',
    'replication',
    'snapshot',
    'state',
]
