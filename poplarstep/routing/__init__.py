"""Balancer decisions: lease gate, service lookup, target selection."""

__all__ = ['assembly', 'gate', 'opening', 'state']
