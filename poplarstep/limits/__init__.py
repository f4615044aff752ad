"""Ramp, admission queue, retry budget and priority shedding."""

__all__ = ['budget', 'queue', 'ramp', 'shedder']
