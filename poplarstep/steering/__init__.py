"""Opaque flows: packets that only the two ends of a flow can read."""

__all__ = ['agent', 'balancer', 'message', 'placement', 'segment']
