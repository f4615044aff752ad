"""Records, verdicts, registries, stages and timers that all parts share."""

__all__ = [
    'address',
    'effect',
    'memory',
    'record',
    'registry',
    'stage',
    'timer',
    'verdict',
]
