"""Service-level burn report: objectives, burn rates, tables and plots."""

__all__ = [
    'burn',
    'objective',
    'plot',
    'sample',
    'series',
    'table',
]
