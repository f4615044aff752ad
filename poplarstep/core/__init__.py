"""Records, verdicts, registries, stages and timers that all parts share."""

__all__ = [
    'address',
    'effect',
    'record',
    'registry',
    'simulation',
    'stage',
    'timer',
    'verdict',
]
