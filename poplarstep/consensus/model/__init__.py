"""Control hosts in memory with faults and checks, for schedules and tests."""

__all__ = ['checks', 'cluster', 'disk', 'faults', 'network']
