"""Concurrency ramp, admission queue, retry budget and load shedding."""

__all__ = ['budget', 'queue', 'ramp', 'shedder']
