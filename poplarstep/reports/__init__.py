"""Burn rates of service-level objectives, as tables, JSON and plots."""

__all__ = [
    'burn',
    'objective',
    'plot',
    'sample',
    'series',
    'table',
]
