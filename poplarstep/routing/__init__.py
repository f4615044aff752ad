"""Balancer decisions: lease gate, service lookup, target selection."""

__all__ = ['gate', 'opening', 'state']
