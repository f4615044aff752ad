"""Replicated log: elections, replication, snapshots and membership."""

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
