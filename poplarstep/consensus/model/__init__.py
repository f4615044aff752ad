"""Simulation of control hosts with faults and checks.

The random fault schedules and the tests run the replicated log on it.
"""

__all__ = ['checks', 'cluster', 'disk', 'faults', 'network']
